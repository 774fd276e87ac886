"""Steps for pauses, unexpected errors and malformed answers."""

import asyncio
import json
import logging
import time
import unittest.mock

from behave import given, then, when
from prometheus_client import CollectorRegistry
from workflow_daemon_steps import PresetLog
from workflow_support import encode_log_record, make_job_record
from workflow_world import WorkflowWorld, make_step

from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.workflows import (
    ReportedRun,
    StartRun,
    StopRun,
    WorkerInfo,
    WorkerReported,
    WorkerSilent,
    WorkflowState,
)
from fireflywharf_daemon.workflows import (
    Answer,
    Appended,
    AppendUncertain,
    Partition,
    PollFailed,
    ReadFailed,
    ReadRecords,
    Topic,
    WorkerReport,
    WorkflowMetrics,
)
from fireflywharf_daemon.workflows._appends import GroupAppender
from fireflywharf_daemon.workflows._background import BackgroundTasks
from fireflywharf_daemon.workflows._decision_log import DecisionLog
from fireflywharf_daemon.workflows._journal import JournalReader
from fireflywharf_daemon.workflows._sessions import WorkerSession
from fireflywharf_platform._store import StoreClient
from fireflywharf_platform._workers import WorkerClient

CONFIRMATION_AGE_S = 0.125
WORKER = WorkerInfo(
    worker_id="w0",
    incarnation=1,
    address="127.0.0.1:1",
    service="s",
    domain="d",
    labels=frozenset(),
    capacity=ResourceVector(4000, 8000),
)


@given("a worker whose run makes progress")
def start_run_with_progress(context):
    context.world = WorkflowWorld(workers_count=1)
    context.world.workers["w0"].run_time_s = 60.0
    context.world.submit("a", [make_step(1)])
    context.world.run(2.0)


@when("the scheduler is paused for {seconds:g} s and then reads the report from before the pause")
def read_report_after_pause(context, seconds):
    world = context.world
    order = next(action for action in world.actions if isinstance(action, StartRun))
    (run,) = world.scheduler.workers["w0"].runs.values()
    report = WorkerReported(
        worker_id="w0",
        incarnation=1,
        sent_s=world.now_s,
        running=(ReportedRun(order.task, order.number, "", run.percent),),
        ended=(),
    )
    world.now_s += seconds
    world.scheduler.observe(report, world.now_s)
    context.paused_actions = world.scheduler.decide(world.now_s, 0.0)


@then("the run is not stopped")
def check_not_stopped(context):
    stops = [action for action in context.paused_actions if isinstance(action, StopRun)]
    assert not stops, stops


@given("a daemon that has read the journal to its end")
def create_current_reader(context):
    context.log = PresetLog()
    context.reader = JournalReader(context.log, lambda *row: None)
    context.reader.loaded = True
    context.reader.offset = 9
    asyncio.run(context.reader._read(0.0))
    assert context.reader.is_current
    context.boot_offset_s = 0.0


def shift_boot_time(seconds):
    """Replace the boot time by one that is later by a number of seconds."""
    read_clock = time.clock_gettime
    return unittest.mock.patch("time.clock_gettime", lambda clock: read_clock(clock) + seconds)


@when("its VM is suspended for {seconds:g} s")
def suspend_reader(context, seconds):
    context.boot_offset_s = seconds


@when("it is paused for {seconds:g} s while the answer of a long poll with a record waits")
def pause_during_long_poll(context, seconds):
    async def read(topic, offset, *, wait_s):
        context.boot_offset_s = seconds
        patch = shift_boot_time(seconds)
        patch.start()
        context.add_cleanup(patch.stop)
        return ReadRecords(10, ((9, encode_log_record(make_job_record("a"))),))

    context.log.read = read
    asyncio.run(context.reader._read(1.0))
    context.boot_offset_s = 0.0


@then("it does not use its state to deny jobs")
def check_state_not_used(context):
    async def refresh():
        return await context.reader.refresh(0.05)

    with shift_boot_time(context.boot_offset_s):
        assert not context.reader.is_current, context.reader.age_s
        context.reader._waiting = True
        assert not asyncio.run(refresh())


@when("a long poll of {seconds:g} s ends without a record")
def finish_long_poll(context, seconds):
    async def read(topic, offset, *, wait_s):
        await asyncio.sleep(wait_s)
        return ReadRecords(9, ())

    context.log.read = read
    asyncio.run(context.reader._read(seconds))


@then("its state is less than {seconds:g} s old")
def check_state_age(context, seconds):
    assert context.reader.age_s < seconds, context.reader.age_s


class OneAnswerHttp:
    """HTTP client that gives the same answer to every request and keeps the requests."""

    def __init__(self, body):
        self.answer = Answer(200, json.dumps(body).encode())
        self.requests = []

    async def call_json(self, url, value, **options):
        """Return the answer to a request with a JSON body."""
        self.requests.append(value)
        return self.answer

    async def call(self, method, url, **options):
        """Return the answer to any request."""
        self.requests.append(url)
        return self.answer


@when('a worker answers a poll with {row} in "{name}"')
def poll_malformed_worker(context, row, name):
    body = {"clock_ms": 5, "born": 1, "running": [], "finished": []}
    body[name] = [json.loads(row)]
    client = WorkerClient(OneAnswerHttp(body))
    poll = client.poll_worker(WORKER, epoch=1, acknowledged=0, wait_s=0.0, lease_s=0.0)
    context.poll_result = asyncio.run(poll)


@then("the poll has failed and the worker was told no more")
def check_failed_poll(context):
    assert isinstance(context.poll_result, PollFailed), context.poll_result


class FailingOnceWorkers:
    """Gateway whose first poll raises an error that no client foresees."""

    def __init__(self):
        self.polls_count = 0

    async def poll_worker(self, info, **options):
        """Raise an error at the first poll, then report an idle worker."""
        self.polls_count += 1
        if self.polls_count == 1:
            raise AttributeError("planted by the scenario")
        await asyncio.sleep(0.05)
        return WorkerReport(incarnation=1, running=(), ended=())


@given("a worker client that raises an unexpected error at the first poll")
def create_failing_gateway(context):
    context.gateway = FailingOnceWorkers()


@when("a session with the worker runs for {seconds:g} s")
def run_session(context, seconds):
    context.events = []
    session = WorkerSession(
        WORKER,
        epoch=1,
        gateway=context.gateway,
        observe=context.events.append,
        flush=None,
        on_fenced=lambda worker_id: None,
        find_lease_s=lambda: 6.0,
        metrics=WorkflowMetrics(CollectorRegistry()),
    )

    async def run():
        task = asyncio.create_task(session.run())
        await asyncio.sleep(seconds)
        assert not task.done(), task.exception()
        task.cancel()

    asyncio.run(run())


@then("the scheduler has seen the worker silent and then a report")
def check_events(context):
    kinds = [type(event) for event in context.events[:2]]
    assert kinds == [WorkerSilent, WorkerReported], context.events


@given("a daemon whose loop raises an unexpected error at its first turn")
def create_failing_loop(context):
    context.turns_count = 0

    async def loop():
        context.turns_count += 1
        if context.turns_count == 1:
            raise AttributeError("planted by the scenario")
        await asyncio.sleep(60)

    context.loop = loop


@when("{seconds:g} s passes")
def run_loop(context, seconds):
    async def run():
        background = BackgroundTasks("daemon")
        background.spawn_loop(context.loop)
        await asyncio.sleep(seconds)
        await background.close()

    asyncio.run(run())


@then("the loop runs again")
def check_loop(context):
    assert context.turns_count == 2, context.turns_count


@given("a log whose first append {fails}")
def create_malformed_log(context, fails):
    http = OneAnswerHttp({"offset": 7, "end": 8})
    context.log = StoreClient(http, "127.0.0.1:1")
    malformed = Answer(200, b'{"offset": null}')
    answers = [malformed, *[http.answer] * 9]

    async def call(method, url, **options):
        answer = answers.pop(0)
        if answer is malformed and fails == "raises an unexpected error":
            raise AttributeError("planted by the scenario")
        return answer

    http.call = call


@when("two records are appended one after the other")
def append_two_records(context):
    async def run():
        appender = GroupAppender(context.log, Partition(Topic.JOURNAL))
        background = BackgroundTasks("test")
        background.spawn(appender.run())
        context.results = []
        for name in ("a", "b"):
            deadline_s = time.monotonic() + 0.1
            future = appender.put_record(make_job_record(name), deadline_s)
            async with asyncio.timeout(2.0):
                context.results.append(await future)
        await background.close()

    asyncio.run(run())


@then("the first append is {outcome} and the second one is stored")
def check_results(context, outcome):
    first, second = context.results
    assert isinstance(first, AppendUncertain if outcome == "uncertain" else Appended), first
    assert isinstance(second, Appended), second


class SilencedLog(PresetLog):
    """Log that leaves the reads unanswered that it receives during its silence."""

    READ_SILENCE_S = 1.2

    def __init__(self):
        super().__init__()
        self.silent = False

    async def read(self, topic, offset, *, wait_s):
        """Answer at the end of the wait, or fail after the usual timeout of a read."""
        if self.silent:
            await asyncio.sleep(wait_s + self.READ_SILENCE_S)
            return ReadFailed("no answer in time")
        await asyncio.sleep(wait_s)
        return ReadRecords(9, ())


@given("a daemon that follows a log")
def create_following_reader(context):
    context.log = SilencedLog()
    context.reader = JournalReader(context.log, lambda *row: None)
    context.reader.loaded = True
    context.reader.offset = 9


@when("the log gives no answer for {seconds:g} s and then answers again")
def silence_log(context, seconds):
    async def run():
        loop = asyncio.create_task(context.reader.run())
        await asyncio.sleep(0.5)
        context.log.silent = True
        await asyncio.sleep(seconds)
        assert not context.reader.is_current
        context.log.silent = False
        returned_s = time.monotonic()
        async with asyncio.timeout(10.0):
            while not context.reader.is_current:
                await asyncio.sleep(0.02)
        context.recovery_s = time.monotonic() - returned_s
        loop.cancel()

    asyncio.run(run())


@then("the daemon's state is current within {seconds:g} s")
def check_recovery(context, seconds):
    assert context.recovery_s < seconds, context.recovery_s


@given("a worker with {count:d} tasks that all end while it is cut off")
def end_tasks_during_cut(context, count):
    world = WorkflowWorld(workers_count=1, capacity=ResourceVector(count * 1000, count * 1000))
    context.world, context.tasks_count = world, count
    worker = world.workers["w0"]
    worker.run_time_s = 2.0
    world.run(0.2)
    for number in range(count // 60):
        world.submit(f"{number:016x}", [make_step(60)])
    while len(worker.active_runs) < count:
        world.step()
    worker.reachable = False
    world.run(3.0)
    assert not worker.active_runs and len(worker.ends) == count, len(worker.ends)


@when("it answers again the scheduler that started them")
def answer_same_scheduler(context):
    context.world.workers["w0"].reachable = True
    context.world.run(3.0)


@when("it answers again the successor of that scheduler")
def answer_successor(context):
    context.world.begin_tenure()
    answer_same_scheduler(context)


@then("every task has been started once and its job is complete")
def check_started_once(context):
    world = context.world
    starts = [action.task for action in world.actions if isinstance(action, StartRun)]
    assert len(starts) == len(set(starts)) == context.tasks_count, len(starts)
    states = {world.job_state(job_id) for job_id in world.journal_state.jobs}
    assert states == {WorkflowState.COMPLETE}, states


@when("a worker answers a poll with {count:d} ends")
def poll_worker_with_ends(context, count):
    rows = [[number, f"{'a' * 16}.0.0.{number}", 1, "done", ""] for number in range(1, count + 1)]
    body = {"clock_ms": 5, "born": 1, "running": [], "finished": rows}
    client = WorkerClient(OneAnswerHttp(body))
    poll = client.poll_worker(WORKER, epoch=1, acknowledged=0, wait_s=0.0, lease_s=0.0)
    context.poll_result = asyncio.run(poll)


@then("the list of ends counts as {complete}")
def check_complete(context, complete):
    assert context.poll_result.ends_complete == (complete == "complete"), context.poll_result


def run_with_log(world, seconds):
    """Advance the time and return the log lines about decisions as pairs of message and fields."""
    rows = []

    def keep(message, extra):
        rows.append((message, extra))

    logger = logging.getLogger("fireflywharf_daemon.workflows._decision_log")
    decision_log = DecisionLog(world.scheduler, 1, world.now_s, lambda: CONFIRMATION_AGE_S)
    known_count = len(world.actions)
    with (
        unittest.mock.patch.object(logger, "info", keep),
        unittest.mock.patch.object(logger, "warning", keep),
    ):
        world.run(seconds)
        for action in world.actions[known_count:]:
            decision_log.log_action(action)
        decision_log.log_state(world.now_s)
    return rows


@when("the worker is silent for {seconds:g} s")
def silence_worker(context, seconds):
    context.world.workers["w0"].reachable = False
    context.rows = run_with_log(context.world, seconds)


@when("the worker restarts and reports so")
def restart_reporting_worker(context):
    event = WorkerReported(
        worker_id="w0", incarnation=2, sent_s=context.world.now_s, running=(), ended=()
    )
    context.world.scheduler.observe(event, context.world.now_s)
    context.rows = run_with_log(context.world, 0.1)


@when("the worker reports an empty list")
def report_empty_list(context):
    context.world.workers["w0"].active_runs.clear()
    context.rows = run_with_log(context.world, 0.1)


@then('the log names the run as lost because "{cause}"')
def check_lost_line(context, cause):
    lost = [fields for message, fields in context.rows if message.startswith("run lost")]
    assert [fields["cause"] for fields in lost] == [cause], context.rows
    assert lost[0]["run"] == "a.0.0.0#1" and lost[0]["worker"] == "w0", lost
    assert lost[0]["confirmation_age_s"] == CONFIRMATION_AGE_S, lost


@when("another scheduler takes over and the worker answers it")
def take_over_running(context):
    context.world.begin_tenure()
    context.rows = run_with_log(context.world, 0.5)


@then("the log names the run as adopted and no worker as assumed to have ended its runs")
def check_take_over_lines(context):
    rows = dict(context.rows)
    assert rows["run of an earlier tenure adopted"]["run"] == "a.0.0.0#1", context.rows
    assert rows["earlier runs are reconciled"]["assumed_ended"] == [], context.rows
