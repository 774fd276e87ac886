"""Steps for what must end together with the tenure of a scheduler."""

import asyncio
import time

from behave import given, then, when
from prometheus_client import CollectorRegistry
from workflow_daemon_steps import PresetLog
from workflow_partition_steps import MemoryLog
from workflow_resilience_steps import WORKER, shift_boot_time
from workflow_world import WorkflowWorld, make_step

from fireflywharf_core.workflows import (
    DirectoryChanged,
    JobAdded,
    JobsRecorded,
    JournalState,
    StartResult,
    TenureConfirmed,
    TenureRecord,
    Timing,
    WorkerReported,
)
from fireflywharf_daemon.workflows import (
    Appended,
    AppendFenced,
    PlatformServices,
    PollFailed,
    ReadRecords,
    WorkflowMetrics,
)
from fireflywharf_daemon.workflows._active_scheduler import ActiveScheduler
from fireflywharf_daemon.workflows._background import BackgroundTasks
from fireflywharf_daemon.workflows._election import JournalWriter
from fireflywharf_daemon.workflows._journal import JournalReader
from fireflywharf_daemon.workflows._submissions import Submissions

WAIT_MAX_S = 1.0


class PendingLog(MemoryLog):
    """Log whose appends wait until the scenario sets their result."""

    def __init__(self):
        super().__init__(1)
        self.pending = None

    async def append(self, partition, records, *, timeout_s, writer=None):
        """Wait for the result; an exception is raised."""
        self.pending = asyncio.get_running_loop().create_future()
        return await self.pending


class SilentWorkers:
    """Gateway that counts the polls and answers none."""

    def __init__(self):
        self.polls_count = 0

    async def poll_worker(self, info, **options):
        """Fail at once."""
        self.polls_count += 1
        return PollFailed("planted by the scenario")


def make_scheduler(log, workers, on_appended=lambda *row: None):
    """Return an active scheduler that has read an empty journal."""
    state = JournalState()
    metrics = WorkflowMetrics(CollectorRegistry())
    scheduler = ActiveScheduler(
        TenureRecord(holder="a#1", epoch=5, ordinal=1),
        JournalWriter(log, 5, on_appended, metrics),
        state,
        Submissions(log, state, lambda *row: None),
        PlatformServices(
            log=log, directory=None, configuration=None, workers=workers, approvals=None
        ),
        Timing(),
        on_tenure_end=lambda reason: asyncio.create_task(scheduler.close()),
        on_loaded=lambda: None,
        approvals=None,
        metrics=metrics,
        process_started_s=time.monotonic(),
    )
    return scheduler


@given("an active scheduler that waits until a new worker is recorded")
def create_waiting_scheduler(context):
    context.workers = SilentWorkers()
    context.close_when_stored = False


async def record_worker(context, end_tenure):
    """Let a scheduler record a worker, end its tenure, and return whether the recorder returned."""
    log = PendingLog()

    def handle_appended(offset, record):
        if context.close_when_stored:
            asyncio.create_task(scheduler.close())

    scheduler = make_scheduler(log, context.workers, handle_appended)
    scheduler._background.spawn(scheduler._record_loop())
    await scheduler._follow_submissions()
    recorder = asyncio.create_task(scheduler.handle_directory({"w0": WORKER}))
    while log.pending is None or not recorder.get_coro().cr_await:
        await asyncio.sleep(0.01)
    await end_tenure(log, scheduler)
    done, _ = await asyncio.wait([recorder], timeout=WAIT_MAX_S)
    recorder.cancel()
    await asyncio.sleep(0.1)
    return bool(done)


@when("the log rejects its epoch as stale")
def fence_append(context):
    async def end(log, scheduler):
        log.pending.set_result(AppendFenced())

    context.returned = asyncio.run(record_worker(context, end))


@when("the scheduler is closed")
def close_scheduler(context):
    async def end(log, scheduler):
        await scheduler.close()

    context.returned = asyncio.run(record_worker(context, end))


@when("the append raises an unexpected error")
def fail_append(context):
    async def end(log, scheduler):
        log.pending.set_exception(AttributeError("planted by the scenario"))

    context.returned = asyncio.run(record_worker(context, end))


@when("the scheduler is closed as the log stores the record")
def close_as_stored(context):
    async def end(log, scheduler):
        context.close_when_stored = True
        log.pending.set_result(Appended(0))

    context.returned = asyncio.run(record_worker(context, end))


@then("the daemon waits no longer and no session was opened")
def check_returned(context):
    assert context.returned, f"still waiting after {WAIT_MAX_S} s"
    assert context.workers.polls_count == 0, context.workers.polls_count


@given("background tasks of which one spawns another when it is cancelled")
def create_spawning_tasks(context):
    context.ran = []

    async def run_long(name):
        context.ran.append(name)
        await asyncio.sleep(60)

    async def spawn_at_end(background):
        try:
            await asyncio.sleep(60)
        finally:
            background.spawn(run_long("at the end"))

    context.run_long, context.spawn_at_end = run_long, spawn_at_end


@when("their owner closes")
def close_owner(context):
    async def run():
        background = BackgroundTasks("test")
        background.spawn(context.spawn_at_end(background))
        await asyncio.sleep(0.01)
        await background.close()
        background.spawn(context.run_long("later"))
        await asyncio.sleep(0.01)
        others = asyncio.all_tasks() - {asyncio.current_task()}
        context.running_count = len(others)

    asyncio.run(run())


@then("no task runs and a task that is spawned later does not start")
def check_no_tasks(context):
    assert context.running_count == 0, context.running_count
    assert context.ran == [], context.ran


@given("a query that waits for a journal read that is cut short")
def create_cut_reader(context):
    context.log = PresetLog()
    context.reader = JournalReader(context.log, lambda *row: None)
    context.reader.loaded = True


@when("the next read is answered")
def answer_next_read(context):
    async def read_silent(topic, offset, *, wait_s):
        await asyncio.sleep(60)

    async def read(topic, offset, *, wait_s):
        return ReadRecords(9, ())

    async def run():
        reader = context.reader
        query = asyncio.create_task(reader.refresh(2.0))
        await asyncio.sleep(0)
        started_s = time.monotonic()
        context.log.read = read_silent
        cut = asyncio.create_task(reader._read(0.0))
        await asyncio.sleep(0.05)
        cut.cancel()
        await asyncio.sleep(0)
        context.log.read = read
        await reader._read(0.0)
        await query
        context.waited_s = time.monotonic() - started_s

    asyncio.run(run())


@then("the query has waited less than {limit_s:g} s")
def check_waited(context, limit_s):
    assert context.waited_s < limit_s, context.waited_s


class AcceptingWorkers:
    """Gateway that keeps the start orders and confirms them."""

    def __init__(self):
        self.orders = []

    async def start(self, info, order, epoch):
        """Confirm a start order."""
        self.orders.append(order)
        return StartResult.STARTED


@given("an active scheduler that has decided to start a run")
def decide_start(context):
    context.workers = AcceptingWorkers()
    context.scheduler = make_scheduler(MemoryLog(1), context.workers)
    world = WorkflowWorld(workers_count=0)
    world.submit("a", [make_step(1)])
    report = WorkerReported(
        worker_id=WORKER.worker_id,
        incarnation=WORKER.incarnation,
        sent_s=time.monotonic(),
        running=(),
        ended=(),
    )
    for event in (
        DirectoryChanged({WORKER.worker_id: WORKER}),
        report,
        JobAdded(job_id="a", journaled=world.journal_state.jobs["a"]),
        JobsRecorded(("a",)),
    ):
        context.scheduler.observe(event)
    context.scheduler.observe(TenureConfirmed(time.monotonic()))
    (context.order,) = context.scheduler.scheduler.decide(time.monotonic(), time.time())


@when("its process is paused for {pause_s:g} s before the order is sent")
def pause_before_order(context, pause_s):
    with shift_boot_time(pause_s):
        asyncio.run(context.scheduler._orders.start_run(context.order))


@then("{count:d} orders are sent")
def check_orders(context, count):
    assert len(context.workers.orders) == count, context.workers.orders
