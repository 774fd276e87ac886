"""Steps for what the answers and entries of a worker tell about its process."""

import asyncio
import functools
import json
import socket

import attrs
from behave import given, then, when
from platform_inputs import ENTRY, REPORT, KeyedStore, encode_with, encode_without
from prometheus_client import CollectorRegistry
from workflow_partition_steps import MemoryLog
from workflow_resilience_steps import WORKER, OneAnswerHttp
from workflow_tenure_steps import make_scheduler
from workflow_world import WorkflowWorld, make_step

from fireflywharf_core.workflows import (
    DirectoryChanged,
    RunLost,
    StartResult,
    StartRun,
    WorkflowState,
)
from fireflywharf_daemon.workflows import Answer, HttpClient, WorkflowMetrics
from fireflywharf_daemon.workflows._sessions import WorkerSession
from fireflywharf_platform._sources import StoreDirectory, parse_worker
from fireflywharf_platform._tasks import MalformedError
from fireflywharf_platform._workers import WorkerClient

RUN_TIME_S = 4.0


def poll(http, info=WORKER):
    """Return the result of a poll by the client of the platform."""
    client = WorkerClient(http)
    return client.poll_worker(info, epoch=1, acknowledged=0, wait_s=0.0, lease_s=0.0)


def reserve_address():
    """Return a bound socket that refuses connections, and its address."""
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    return sock, f"127.0.0.1:{sock.getsockname()[1]}"


@when("a worker is polled that refuses the connection")
def poll_refusing(context):
    async def run():
        http = HttpClient(4)
        await http.open()
        sock, address = reserve_address()
        with sock:
            result = await poll(http, attrs.evolve(WORKER, address=address))
        await http.close()
        return result

    context.poll_result = asyncio.run(run())


@when("a worker is polled that answers that it is another process")
def poll_other_process(context):
    http = OneAnswerHttp({})
    http.answer = Answer(421, b"")
    context.poll_result = asyncio.run(poll(http))


@when('a worker answers a poll with a list without "born"')
def poll_without_start(context):
    http = OneAnswerHttp({})
    http.answer = Answer(200, encode_without(REPORT, "born"))
    context.poll_result = asyncio.run(poll(http))


@when('a worker answers a poll with a list whose "born" is {value}')
def poll_with_odd_start(context, value):
    http = OneAnswerHttp({})
    http.answer = Answer(200, encode_with(REPORT, "born", value))
    context.poll_result = asyncio.run(poll(http))


@when('an entry without "born" is parsed')
def parse_without_start(context):
    parse_entry(context, encode_without(ENTRY, "born"))


@when('an entry whose "born" is {value} is parsed')
def parse_with_odd_start(context, value):
    parse_entry(context, encode_with(ENTRY, "born", value))


def parse_entry(context, content):
    """Parse an entry and keep the error."""
    context.error = None
    try:
        parse_worker("w0", content)
    except MalformedError as error:
        context.error = error


@given("a task that runs on one of 2 workers")
def start_task(context):
    """Start a task on workers whose entries are read from a store."""
    world = context.world = WorkflowWorld(workers_count=2)
    context.store = KeyedStore()
    context.directory = StoreDirectory(context.store)
    for name, worker in world.workers.items():
        context.store.put(name, json.dumps({**ENTRY, "born": 1}).encode())
        worker.run_time_s = RUN_TIME_S
    read_directory(context)
    for name, worker in world.workers.items():
        worker.info = context.entries[name]
    world.submit("a", [make_step(1)])
    world.run(1.0)
    (context.order,) = (action for action in world.actions if isinstance(action, StartRun))


def observe(world, event):
    """Pass an event to the scheduler and execute what it decides before any other event."""
    world.scheduler.observe(event, world.now_s)
    for action in world.scheduler.decide(world.now_s, 0.0):
        world.execute(action)


def read_directory(context):
    """Read the directory and pass it to the scheduler of the world."""
    context.entries = asyncio.run(context.directory.poll())
    observe(context.world, DirectoryChanged(context.entries))


@when("that worker refuses connections for {seconds:g} s and its run goes on")
def refuse_connections(context, seconds):
    world = context.world

    async def run():
        http = HttpClient(4)
        await http.open()
        sock, address = reserve_address()
        session = WorkerSession(
            attrs.evolve(context.entries[context.order.worker_id], address=address),
            epoch=1,
            gateway=WorkerClient(http),
            observe=functools.partial(observe, world),
            flush=None,
            on_fenced=lambda worker_id: None,
            find_lease_s=lambda: 6.0,
            metrics=WorkflowMetrics(CollectorRegistry()),
        )
        task = asyncio.create_task(session.run())
        with sock:
            await asyncio.sleep(seconds)
        assert not task.done(), task.exception()
        task.cancel()
        await http.close()

    asyncio.run(run())
    world.run(0.2)


@then("the run is neither lost nor started elsewhere")
def check_one_run(context):
    world, task = context.world, context.order.task
    orders = [
        action
        for action in world.actions
        if isinstance(action, StartRun | RunLost) and action.task == task
    ]
    assert orders == [context.order] and not world.violations, (world.violations, orders[1:])


@then("its job is complete after one start")
def check_complete(context):
    context.world.run(RUN_TIME_S)
    check_one_run(context)
    state = context.world.job_state("a")
    assert state is WorkflowState.COMPLETE, state


@when('the entry of that worker is replaced by one without "born"')
def replace_entry(context):
    context.store.put(context.order.worker_id, encode_without(ENTRY, "born"))
    read_directory(context)
    context.world.run(0.5)


@when("its entry is written again as it was")
def restore_entry(context):
    entry = json.dumps({**ENTRY, "born": 1}).encode()
    context.store.put(context.order.worker_id, entry)
    read_directory(context)
    context.world.run(0.5)


@then("the worker is {presence} the directory and has lost no run")
def check_presence(context, presence):
    check_one_run(context)
    present = context.order.worker_id in context.entries
    assert present == (presence == "in"), context.entries


class OtherProcess:
    """Gateway to an address where another process answers."""

    async def start(self, info, order, epoch):
        """Refuse a start order."""
        return StartResult.OTHER_INCARNATION


@when("another process at the address of that worker refuses a further start")
def refuse_start(context):
    world = context.world
    daemon_scheduler = make_scheduler(MemoryLog(1), OtherProcess())
    daemon_scheduler.scheduler = world.scheduler
    daemon_scheduler._now_s = lambda: world.now_s
    world.submit("b", [make_step(1)])
    world.record_progress()
    world.now_s += 0.1
    actions = world.scheduler.decide(world.now_s, 0.0)
    (order,) = (action for action in actions if isinstance(action, StartRun))
    context.refused = attrs.evolve(order, worker_id=context.order.worker_id)
    asyncio.run(daemon_scheduler._orders.start_run(context.refused))
    world.run(0.2)
