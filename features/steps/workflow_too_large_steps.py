"""Steps for records that the log rejects for their size."""

import asyncio
import json
import logging
import time

from behave import given, then, when
from prometheus_client import CollectorRegistry
from workflow_tenure_steps import SilentWorkers
from workflow_world import WorkflowWorld, make_step

from fireflywharf_core.workflows import (
    JobAdded,
    JobLimits,
    JournalState,
    Queue,
    StepProgress,
    TenureRecord,
    Timing,
    WorkflowProgress,
    WorkflowSpec,
    WorkflowState,
)
from fireflywharf_daemon.workflows import (
    Appended,
    AppendRejected,
    LogRecord,
    Partition,
    PlatformServices,
    Topic,
    WorkflowMetrics,
    WorkflowService,
    _active_scheduler,
)
from fireflywharf_daemon.workflows._active_scheduler import ActiveScheduler
from fireflywharf_daemon.workflows._appends import GroupAppender
from fireflywharf_daemon.workflows._election import JournalWriter
from fireflywharf_daemon.workflows._submissions import Submissions
from fireflywharf_platform._entry import to_response

FRAME_BYTES = 4
WAIT_S = 3.0


class LimitedLog:
    """Log that rejects appends above its limits, and checks the sequence numbers of the others."""

    def __init__(self, record_max_bytes=1 << 30, request_max_bytes=1 << 30):
        self.record_max_bytes = record_max_bytes
        self.request_max_bytes = request_max_bytes
        self.partitions_count = 1
        self.records = []
        self.sequence = 0

    async def append(self, partition, records, *, timeout_s, writer=None):
        """Store the records, or reject all of them."""
        sizes_bytes = [1 + len(record.key) + len(record.value) for record in records]
        total_bytes = sum(sizes_bytes) + FRAME_BYTES * len(records)
        if max(sizes_bytes) > self.record_max_bytes or total_bytes > self.request_max_bytes:
            return AppendRejected("the store answered 413", is_permanent=True)
        if writer is not None:
            assert writer.sequence == self.sequence, (writer, self.sequence)
            self.sequence += 1
        self.records += records
        return Appended(len(self.records) - len(records))


def make_progress(job_id, size_bytes):
    """Return a progress record of about a size."""
    row = StepProgress(occurrence=0, step=0, done_bits=1 << 8 * size_bytes, failures={})
    return WorkflowProgress(job_id=job_id, state=WorkflowState.RUNNING, steps=(row,))


def append_all(context, records):
    """Append records as the scheduler does."""
    context.writer = JournalWriter(
        context.log, 5, lambda *row: None, WorkflowMetrics(CollectorRegistry()), context.limits
    )

    async def run():
        async with asyncio.timeout(WAIT_S):
            await context.writer.append(records)
            await context.writer.append([TenureRecord(holder="a", epoch=5, ordinal=1, renewal=2)])

    asyncio.run(run())


@given(
    "a log whose largest record is {stored:d} bytes, and a scheduler that assumes {assumed:d} bytes"
)
def create_record_log(context, stored, assumed):
    context.log = LimitedLog(record_max_bytes=stored)
    context.limits = JobLimits(record_max_bytes=assumed)


@when(
    "it appends its tenure with the progress of three jobs, of which one is of {size_bytes:d} bytes"
)
def append_large_progress(context, size_bytes):
    tenure = TenureRecord(holder="a", epoch=5, ordinal=1, renewal=1)
    progress = [make_progress("a", 10), make_progress("b", size_bytes), make_progress("c", 10)]
    append_all(context, [*progress, tenure])


@then("the log has the tenure and the two others, in order")
def check_other_records(context):
    keys = [record.key for record in context.log.records]
    assert keys == ["pa", "pc", "tenure", "tenure"], keys


@then("the large one is reported as left out")
def check_left_out(context):
    keys = [record.key for record in context.writer.pop_too_large()]
    assert keys == ["pb"], keys


@given("a log whose largest append is {limit_bytes:d} bytes, and a scheduler that knows it")
def create_request_log(context, limit_bytes):
    context.log = LimitedLog(request_max_bytes=limit_bytes)
    context.limits = JobLimits(request_max_bytes=limit_bytes)


@when("it appends {count:d} records of {size_bytes:d} bytes")
def append_many(context, count, size_bytes):
    context.keys = [f"p{number:04}" for number in range(count)]
    append_all(context, [LogRecord(key, b"v" * size_bytes) for key in context.keys])


@then("the log has all of them in order")
def check_all_records(context):
    keys = [record.key for record in context.log.records]
    assert keys == [*context.keys, "tenure"], keys
    assert not context.writer.pop_too_large()


@given(
    "a log whose largest record is {stored:d} bytes, and an appender that assumes {assumed:d} bytes"
)
def create_appender_log(context, stored, assumed):
    create_record_log(context, stored, assumed)


@when("records of {first:d}, {second:d} and {third:d} bytes are appended together")
def append_group(context, first, second, third):
    async def run():
        appender = GroupAppender(context.log, Partition(Topic.JOURNAL), limits=context.limits)
        futures = [
            appender.put(LogRecord(f"a{size}", b"v" * size), time.monotonic() + WAIT_S)
            for size in (first, second, third)
        ]
        loop = asyncio.create_task(appender.run())
        context.results = await asyncio.gather(*futures)
        loop.cancel()

    asyncio.run(run())


@then("only the second is refused, and for good")
def check_group(context):
    first, second, third = context.results
    assert isinstance(first, Appended) and isinstance(third, Appended), context.results
    assert second == AppendRejected("the store answered 413", is_permanent=True), second


class CurrentReader:
    """Reader of an empty journal that is always up to date."""

    def __init__(self):
        self.journal_state = JournalState()
        self.is_current = True
        self.is_down = False
        self.age_s = self.outage_s = 0.0


@given("a service with records of {record_bytes:d} bytes and appends of {request_bytes:d} bytes")
def create_service(context, record_bytes, request_bytes):
    limits = JobLimits(record_max_bytes=record_bytes, request_max_bytes=request_bytes)
    context.accepted = []
    context.service = WorkflowService(
        CurrentReader(),
        None,
        None,
        context.accepted.append,
        None,
        WorkflowMetrics(CollectorRegistry()),
        limits=limits,
    )


def submit(context, spec):
    """Submit a job, and keep the response."""
    queue = Queue(name="q", host="h", path_prefix="/", service="s", max_attempts=3)
    reply = asyncio.run(context.service.submit(queue, "a" * 16, spec))
    context.response = to_response(reply)


@when("a job with a text of {count:d} characters is submitted")
def submit_text(context, count):
    submit(context, WorkflowSpec(payload="x" * count, steps=(make_step(1),)))


@when("a job with {steps:d} steps of {tasks:d} tasks is submitted")
def submit_tasks(context, steps, tasks):
    submit(context, WorkflowSpec(payload="", steps=(make_step(tasks),) * steps))


@when("a job with {steps:d} steps of {tasks:d} long-running tasks, {times:d} times is submitted")
def submit_long_running(context, steps, tasks, times):
    step = make_step(tasks, long_running=True)
    submit(context, WorkflowSpec(payload="", steps=(step,) * steps, times_count=times))


@then('the answer is 400 with the field "{field}", its value and a limit below it')
def check_rejection(context, field):
    body = json.loads(context.response.body)
    assert context.response.status == 400, (context.response.status, body)
    assert body["field"] == field, body
    assert body["value"] > body["limit"] > 0, body
    assert str(body["limit"]) in body["reason"], body


@then("no record was appended")
def check_nothing_appended(context):
    assert not context.accepted, context.accepted


class LineHandler(logging.Handler):
    """Keeps the log records that it gets."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        """Keep a log record."""
        self.lines.append(record)


def make_active_scheduler(context):
    """Return an active scheduler that knows the jobs of a journal."""
    world = WorkflowWorld(workers_count=0)
    for job_id in ("a", "b"):
        world.submit(job_id, [make_step(2)])
    context.metrics = WorkflowMetrics(CollectorRegistry())
    state = JournalState()
    scheduler = ActiveScheduler(
        TenureRecord(holder="a#1", epoch=5, ordinal=1),
        JournalWriter(context.log, 5, lambda *row: None, context.metrics, context.limits),
        state,
        Submissions(context.log, state, lambda *row: None),
        PlatformServices(
            log=context.log,
            directory=None,
            configuration=None,
            workers=SilentWorkers(),
            approvals=None,
        ),
        Timing(),
        on_tenure_end=lambda reason: None,
        on_loaded=lambda: None,
        approvals=None,
        metrics=context.metrics,
        process_started_s=time.monotonic(),
    )
    for job_id, journaled in world.journal_state.jobs.items():
        scheduler.observe(JobAdded(job_id=job_id, journaled=journaled))
    return scheduler


@when(
    'an active scheduler stores the progress of job "{large}" of {size_bytes:d} bytes beside that'
    ' of job "{small}"'
)
def store_progress(context, large, size_bytes, small):
    handler = LineHandler()

    async def run():
        context.scheduler = make_active_scheduler(context)
        step = context.scheduler.scheduler.jobs[large].steps[0, 0]
        step.failures[0] = tuple(range(1 << 20, (1 << 20) + size_bytes // 5))
        context.scheduler._background.spawn(context.scheduler._record_loop())
        async with asyncio.timeout(WAIT_S):
            await context.scheduler.flush()
            while sum(record.key == "tenure" for record in context.log.records) < 2:
                await asyncio.sleep(0.01)
        await context.scheduler.close()

    logger = logging.getLogger(_active_scheduler.__name__)
    logger.addHandler(handler)
    try:
        asyncio.run(run())
    finally:
        logger.removeHandler(handler)
    context.lines = handler.lines


@then('the log has the progress of "{job_id}", and the tenure is renewed')
def check_small_progress(context, job_id):
    keys = [record.key for record in context.log.records]
    assert set(keys) == {f"p{job_id}", "tenure"}, keys


@then('a log line names job "{job_id}", the size of its record and the limit')
def check_line(context, job_id):
    (line,) = (line for line in context.lines if "too large" in line.getMessage())
    assert line.job_id == job_id and line.size_bytes > 3000, vars(line)
    assert line.limit_bytes == context.limits.value_max_bytes, vars(line)


@then('the metric for such records is {count:d}, and only "{job_id}" is blocked')
def check_metric(context, count, job_id):
    value = context.metrics.registry.get_sample_value(
        "fireflywharf_progress_too_large_total", {"queue": "q"}
    )
    assert value == count, value
    jobs = context.scheduler.scheduler.jobs
    blocked = [name for name, job in jobs.items() if job.blocked_s is not None]
    assert blocked == [job_id], blocked
    assert [name for name, job in jobs.items() if job.recorded] == ["b"], jobs
