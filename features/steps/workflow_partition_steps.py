"""Steps for the partitions of the journal and for what precedes the first start of a job."""

import asyncio
import time

from behave import given, then, when
from prometheus_client import CollectorRegistry
from workflow_support import encode_log_record, make_job_record
from workflow_world import WorkflowWorld, make_step

from fireflywharf_core.workflows import (
    MAIN_PARTITION,
    JournalState,
    StartRun,
    TenureRecord,
    VmPresent,
    WorkersInUse,
    WorkflowAccepted,
    WorkflowCancelled,
    WorkflowClosed,
    WorkflowProgress,
    WorkflowSpec,
    WorkflowState,
    encode_record,
    find_partition,
)
from fireflywharf_daemon.workflows import (
    Appended,
    JobStateReply,
    ReadFailed,
    ReadRecords,
    Rejected,
    UnknownJob,
    WorkflowMetrics,
)
from fireflywharf_daemon.workflows._appends import JournalAppender
from fireflywharf_daemon.workflows._journal import JournalReader
from fireflywharf_daemon.workflows._service import WorkflowService
from fireflywharf_daemon.workflows._submissions import Submissions


class MemoryLog:
    """Log in memory whose partitions process one append at a time.

    Args:
        partitions_count: number of partitions.
        append_s: duration of an append, in seconds.
    """

    def __init__(self, partitions_count, append_s=0.0):
        self.partitions_count = partitions_count
        self.append_s = append_s
        self.rows = {number: [] for number in range(partitions_count)}
        self.unreadable = set()
        self._locks = {number: asyncio.Lock() for number in range(partitions_count)}

    async def append(self, partition, records, *, timeout_s, writer=None):
        """Append records after the earlier appends to the partition."""
        async with self._locks[partition.number]:
            await asyncio.sleep(self.append_s)
        return Appended(self.put(partition.number, records))

    def put(self, number, records):
        """Add records at once and return the offset of the first one."""
        rows = self.rows[number]
        first = len(rows)
        rows += [(first + index, record) for index, record in enumerate(records)]
        return first

    async def read(self, partition, offset, *, wait_s):
        """Return the records from an offset on."""
        if partition.number in self.unreadable:
            return ReadFailed("planted by the scenario")
        rows = self.rows[partition.number]
        return ReadRecords(len(rows), tuple(rows[offset:]))

    async def newest(self, partition):
        """Return all records; the newest one of each key is among them."""
        return await self.read(partition, 0, wait_s=0.0)


@given("a log with {count:d} partitions whose appends take {append_ms:g} ms each")
def create_slow_log(context, count, append_ms):
    context.log = MemoryLog(count, append_ms / 1000.0)


@when("each of {count:d} VMs submits a job with a time limit of {limit_s:g} s")
def submit_from_all(context, count, limit_s):
    async def submit(number):
        appender = JournalAppender(context.log)
        loops = [asyncio.create_task(row.run()) for row in appender.appenders]
        record = make_job_record(f"{number:016x}")
        future = appender.put_record(record, time.monotonic() + limit_s)
        try:
            async with asyncio.timeout(limit_s):
                return isinstance(await future, Appended)
        except TimeoutError:
            return False
        finally:
            for loop in loops:
                loop.cancel()

    async def run():
        return await asyncio.gather(*(submit(number) for number in range(count)))

    context.stored_count = sum(asyncio.run(run()))


@then("less than {count:d} of the submissions are stored in time")
def check_few_stored(context, count):
    assert context.stored_count < count, context.stored_count


@then("at least {count:d} of the submissions are stored in time")
def check_many_stored(context, count):
    assert context.stored_count >= count, context.stored_count


@given("a journal with {count:d} partitions")
def set_partitions(context, count):
    context.partitions_count = count


@then(
    "submissions and cancellations of {count:d} jobs are together, in all partitions but the first"
)
def check_submission_partitions(context, count):
    used = set()
    for number in range(count):
        job_id = f"{number:016x}"
        records = [
            make_job_record(job_id),
            WorkflowCancelled(job_id=job_id),
            WorkflowClosed(job_id=job_id),
        ]
        keys = [encode_record(record)[0] for record in records]
        partitions = {find_partition(key, context.partitions_count) for key in keys}
        assert len(partitions) == 1, partitions
        used |= partitions
    assert used == set(range(1, context.partitions_count)), used


@then("the records of the scheduler and of the VMs are in the first partition")
def check_main_partition(context):
    records = [
        TenureRecord(holder="a#1", epoch=1, ordinal=1),
        WorkersInUse(worker_ids=()),
        VmPresent(vm="a", incarnation="a#1", address=""),
        WorkflowProgress(job_id="a", state=WorkflowState.QUEUED),
    ]
    for record in records:
        key, _ = encode_record(record)
        assert find_partition(key, context.partitions_count) == MAIN_PARTITION, key


@then("a journal with 1 partition has all records in the first")
def check_single_partition(context):
    key, _ = encode_record(make_job_record("a"))
    assert find_partition(key, 1) == MAIN_PARTITION


class UnrecordedWorld(WorkflowWorld):
    """World whose journal takes the progress of jobs only if `records_progress` is true."""

    records_progress = True

    def record_progress(self):
        """Append the progress, or leave it to a later step."""
        if self.records_progress:
            super().record_progress()


@given("a job whose first progress is not durable yet")
def submit_unrecorded_job(context):
    context.world = UnrecordedWorld()
    context.world.records_progress = False
    context.world.submit("a", [make_step(2)])


@when("{seconds:g} s pass")
def let_time_pass(context, seconds):
    context.world.run(seconds)


def count_starts(world, job_id):
    """Return the number of start orders for runs of a job."""
    starts = [action for action in world.actions if isinstance(action, StartRun)]
    return sum(1 for action in starts if action.task.step_name.job_id == job_id)


@then("no run of the job has been started")
def check_no_start(context):
    assert count_starts(context.world, "a") == 0, context.world.actions


@then("its runs start once the progress is durable")
def check_start(context):
    context.world.records_progress = True
    context.world.run(1.0)
    assert count_starts(context.world, "a") == 2, context.world.actions


@given("a scheduler with a started job and a worker that has become silent")
def start_job_and_silence(context):
    world = context.world = WorkflowWorld(workers_count=3)
    world.workers["w0"].run_time_s = 60.0
    world.submit("a", [make_step(12)])
    world.run(1.0)
    assert any(world.workers["w0"].active_runs)
    world.workers["w0"].reachable = False
    world.run(0.5)


@when("another scheduler takes over with a further job that has no progress")
def take_over_with_new_job(context):
    world = context.world
    spec = WorkflowSpec(payload="p", steps=(make_step(1),))
    world.steps_by_job["b"] = spec.steps
    world.append(WorkflowAccepted(job_id="b", queue=world.queue, spec=spec, accepted_utc_s=0.0))
    context.starts_before = count_starts(world, "a")
    world.begin_tenure()
    world.run(0.5)


@then("the further job has started within 0.5 s")
def check_new_job(context):
    assert count_starts(context.world, "b") == 1
    assert not context.world.violations, context.world.violations


@then("the job with progress waits for the silent worker")
def check_inherited_job(context):
    assert count_starts(context.world, "a") == context.starts_before


@given("a running job that is cancelled while its scheduler cannot read the journal")
def cancel_unread(context):
    context.world = WorkflowWorld()
    context.world.submit("a", [make_step(1)])
    context.world.run(0.2)
    context.world.cancel("a", scheduler_informed=False)


@given("a job that is complete and whose closing record was lost")
def lose_closing_record(context):
    context.world = WorkflowWorld()
    context.world.submit("a", [make_step(1)])
    append = context.world.append

    def append_unless_closing(record):
        if not isinstance(record, WorkflowClosed):
            append(record)

    context.world.append = append_unless_closing
    context.world.run(2.0)
    context.world.append = append
    assert context.world.job_state("a") is WorkflowState.COMPLETE
    context.starts_before = count_starts(context.world, "a")


@when("its progress is deleted and another scheduler takes over again")
def delete_progress(context):
    world = context.world
    del world.newest_records["pa"]
    world.journal_state = JournalState()
    for key, (offset, value) in world.newest_records.items():
        world.journal_state.apply(offset, key, value, now_s=world.now_s)
    world.begin_tenure()
    world.run(1.0)


@then("no run of the job is started again")
def check_not_started_again(context):
    assert count_starts(context.world, "a") == context.starts_before == 1


@when("another scheduler takes over")
def take_over(context):
    context.world.begin_tenure()
    context.world.run(0.2)


@then("the main partition shows the job as cancelled")
def check_main_cancelled(context):
    state = JournalState()
    for key, (offset, value) in context.world.newest_records.items():
        if find_partition(key, 17) == MAIN_PARTITION:
            state.apply(offset, key, value, now_s=0.0)
    assert state.jobs["a"].state is WorkflowState.CANCELLED, state.jobs["a"]


@given("a daemon, a log that {answers}, and a job that another daemon has accepted")
def create_query_daemon(context, answers):
    context.log = MemoryLog(17)
    stored = encode_log_record(make_job_record("a" * 16))
    context.log.put(find_partition(stored.key, 17), [stored])
    if answers != "answers":
        context.log.unreadable = set(range(1, 17))


@when("a caller asks the daemon for the job and for one that does not exist")
def query_jobs(context):
    def ignore(*row):
        pass

    async def run():
        reader = JournalReader(context.log, ignore)
        submissions = Submissions(context.log, reader.journal_state, ignore)
        service = WorkflowService(
            reader, submissions, None, ignore, ignore, WorkflowMetrics(CollectorRegistry())
        )
        loop = asyncio.create_task(reader.run())
        replies = [await service.get_state(name * 16) for name in "ab"]
        loop.cancel()
        return replies

    context.replies = asyncio.run(run())


@then("the answers are {known} and {unknown}")
def check_replies(context, known, unknown):
    def describe(reply):
        match reply:
            case JobStateReply(state):
                return state.value
            case UnknownJob():
                return "no job"
            case Rejected():
                return "rejected"

    assert [describe(reply) for reply in context.replies] == [known, unknown], context.replies


@given("a journal state in which {count:d} jobs were stored and deleted over {seconds:g} s")
def store_and_delete_jobs(context, count, seconds):
    context.state = JournalState()
    for number in range(count):
        now_s = seconds * number / count
        record = WorkflowProgress(job_id=f"{number:016x}", state=WorkflowState.COMPLETE)
        context.key, context.value = encode_record(record)
        context.state.apply(2 * number, context.key, context.value, now_s)
        context.state.apply(2 * number + 1, context.key, b"", now_s)
    context.last_offset, context.now_s = 2 * count - 2, seconds


@then("it keeps the offsets of fewer than {count:d} keys")
def check_keys_count(context, count):
    assert context.state.keys_count < count, context.state.keys_count


@then("an older record of the job deleted last changes nothing")
def check_old_record(context):
    changed = context.state.apply(context.last_offset, context.key, context.value, context.now_s)
    assert changed is None and not context.state.jobs, context.state.jobs
