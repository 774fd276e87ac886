"""Steps for the confirmations that the journal gives to an active scheduler."""

import asyncio
import contextlib
import time
import types
import unittest.mock

from behave import given, then, when
from prometheus_client import CollectorRegistry
from workflow_election_steps import SerialLog
from workflow_partition_steps import MemoryLog
from workflow_resilience_steps import WORKER
from workflow_support import make_job_record
from workflow_tenure_steps import AcceptingWorkers, SilentWorkers, make_scheduler
from workflow_world import WorkflowWorld, make_step

from fireflywharf_core.workflows import (
    DirectoryChanged,
    JobAdded,
    TenureRecord,
    WorkerReported,
    decode_record,
)
from fireflywharf_daemon.workflows import (
    AppendRejected,
    AppendUncertain,
    WorkflowMetrics,
)
from fireflywharf_daemon.workflows import _active_scheduler as active_scheduler
from fireflywharf_daemon.workflows._clocks import boot_time_s
from fireflywharf_daemon.workflows._election import JournalWriter

LONG_S = 30.0
"""Interval of what must not be waited for."""
ATTEMPT_S = 0.1
LIMIT_S = 0.7
"""Time after which a start is not awaited any longer."""
QUIET_S = 0.2
"""Time for which nothing is appended without a want; below the time of a permission to start."""


def read_clocks():
    """Return the monotonic and the boot time, in seconds."""
    return time.monotonic(), boot_time_s()


class NotingLog(MemoryLog):
    """Log that notes when each append was sent and answered."""

    def __init__(self, append_s):
        super().__init__(1, append_s)
        self.sent_s, self.answered_s = [], []

    async def append(self, *row, **options):
        """Append and note the times."""
        self.sent_s.append(time.monotonic())
        result = await super().append(*row, **options)
        self.answered_s.append(time.monotonic())
        return result


class ScriptedLog(SerialLog):
    """Log that gives the answers of a script to the attempts of one append.

    Args:
        answers: descriptions of the answers.
    """

    def __init__(self, answers):
        super().__init__(ATTEMPT_S)
        self.answers = list(answers)
        self.sent, self.answered = [], []

    async def append(self, *row, **options):
        """Note the clocks before the attempt and after it."""
        self.sent.append(read_clocks())
        stored = await super().append(*row, **options)
        result = {
            "stored": stored,
            "no answer": AppendUncertain("planted by the scenario"),
            "rejected": AppendRejected("planted by the scenario"),
        }[self.answers.pop(0)]
        self.answered.append(read_clocks())
        return result


@given("an active scheduler on a log that answers an append after {seconds:g} s")
def create_slow_scheduler(context, seconds):
    """Note the duration; the scheduler is made with the event loop."""
    context.log = NotingLog(seconds)


@when("the log has answered the first append")
def answer_first_append(context):
    """Run the record loop until the scheduler was told."""

    async def run():
        scheduler = make_scheduler(context.log, SilentWorkers())
        confirmation = scheduler.scheduler.confirmation
        context.begun_s = confirmation.confirmed_s
        scheduler._background.spawn(scheduler._record_loop())
        async with asyncio.timeout(5.0):
            while confirmation.confirmed_s == context.begun_s:
                await asyncio.sleep(0.01)
        context.confirmed_s = confirmation.confirmed_s
        await scheduler.close()

    asyncio.run(run())


@then("the scheduler counts the confirmation from the sending of that append")
def check_counts_from_sending(context):
    """Check the time against those that the log noted."""
    sent_s, answered_s = context.log.sent_s[0], context.log.answered_s[0]
    late_s = context.confirmed_s - sent_s
    assert (
        context.begun_s < context.confirmed_s <= sent_s
    ), f"{late_s:.3f} s after the sending, with the answer after {answered_s - sent_s:.3f} s"


@when("the attempts of an append end with {answers}")
def end_attempts(context, answers):
    """Append with a writer; keep what it says just after."""
    context.log = ScriptedLog(answers.split(", "))
    context.begun = read_clocks()

    async def run():
        metrics = WorkflowMetrics(CollectorRegistry())
        writer = JournalWriter(context.log, 70000, lambda *row: None, metrics)
        await writer.append([make_job_record("a")])
        context.read_from_s = boot_time_s()
        context.age_s = writer.confirmation_age_s
        context.read_until_s = boot_time_s()
        context.confirmed_s = writer.confirmed_s

    asyncio.run(run())
    assert not context.log.answers, context.log.answers


@then("the confirmation counts from attempt {number:d}, on both clocks")
def check_attempt(context, number):
    """Check that both times lie between the attempt and the answer to the one before."""
    sent = context.log.sent[number - 1]
    before = context.log.answered[number - 2] if number > 1 else context.begun
    assert (
        before[0] <= context.confirmed_s <= sent[0]
    ), f"monotonic time: {context.confirmed_s - sent[0]:.3f} s after attempt {number}"
    from_s, until_s = context.read_from_s - sent[1], context.read_until_s - before[1]
    assert (
        from_s <= context.age_s <= until_s
    ), f"boot time: age {context.age_s:.3f} s, not {from_s:.3f} to {until_s:.3f} s"


def count_tenure_records(log):
    """Return the number of the tenure records in a log."""
    records = [decode_record(record.value) for _, record in log.rows[0]]
    return sum(isinstance(record, TenureRecord) for record in records)


async def wait_for(is_reached, limit_s):
    """Wait until a condition holds, and return whether it does within the limit."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(limit_s):
            while not is_reached():
                await asyncio.sleep(0.005)
    return is_reached()


async def begin_waiting_task(scheduler):
    """Let both loops run until the task waits for a worker and its progress is durable."""
    world = WorkflowWorld(workers_count=0)
    world.submit("a", [make_step(1)])
    scheduler._approvals = types.SimpleNamespace(long_requests_vms_count=0)
    scheduler.observe(DirectoryChanged({WORKER.worker_id: WORKER}))
    scheduler.observe(JobAdded(job_id="a", journaled=world.journal_state.jobs["a"]))
    scheduler._background.spawn(scheduler._decision_loop())
    scheduler._background.spawn(scheduler._record_loop())
    job = scheduler.scheduler.jobs["a"]
    assert await wait_for(lambda: job.recorded, 0.8), "the progress was not recorded"


async def report_first(context):
    """Count the tenure records before and after the report that makes a confirmation wanted."""
    workers = AcceptingWorkers()
    scheduler = make_scheduler(context.log, workers)
    await begin_waiting_task(scheduler)
    await asyncio.sleep(QUIET_S)
    context.quiet_count = count_tenure_records(context.log)
    reported_s = time.monotonic()
    report = WorkerReported(
        worker_id=WORKER.worker_id,
        incarnation=WORKER.incarnation,
        sent_s=reported_s,
        running=(),
        ended=(),
    )
    scheduler.observe(report)
    await wait_for(lambda: workers.orders, LIMIT_S)
    context.elapsed_s = time.monotonic() - reported_s
    context.orders_count = len(workers.orders)
    context.wanted_count = count_tenure_records(context.log) - context.quiet_count
    await scheduler.close()


@given("an active scheduler that renews its tenure and decides without a cause only every 30 s")
def lengthen_intervals(context):
    """Patch the intervals until the scenario ends."""
    for name in ("RENEWAL_S", "_DECISION_INTERVAL_MAX_S"):
        patch = unittest.mock.patch.object(active_scheduler, name, LONG_S)
        patch.start()
        context.add_cleanup(patch.stop)


@given("a log that answers an append after {seconds:g} s")
def create_log(context, seconds):
    """Create the log; a step is placed again only 0.03 s after the attempt before."""
    context.log = MemoryLog(1, seconds)


@when("a worker reports for the first time while a task waits for it")
def report_to_waiting_task(context):
    """Let the scheduler run until the task is started."""
    asyncio.run(report_first(context))


@then("one tenure record is appended and the task is started within {seconds:g} s")
def check_started_within(context, seconds):
    """Check what the log and the worker got."""
    assert context.wanted_count == 1, f"{context.wanted_count} tenure records after the report"
    assert context.orders_count == 1, f"{context.orders_count} start orders within {LIMIT_S} s"
    assert context.elapsed_s <= seconds, f"started after {context.elapsed_s:.3f} s"


@then("no tenure record was appended before the report")
def check_quiet(context):
    """Check that nothing is requested without a want."""
    assert context.quiet_count == 0, context.quiet_count
