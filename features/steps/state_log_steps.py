"""Steps for the log writer, the stream reader and the folds."""

import random
from collections import Counter

from behave import then, when
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from state_model import RESPONSES, ModelLog, execute_writer_action, make_reader

from fireflywharf_core.jobs import AttemptEnd, AttemptId, JobKind, JobSpec, JobState, TaskId
from fireflywharf_core.log import (
    AppendBatch,
    AppendPacer,
    AppendTicket,
    DomainFold,
    GroupCommitWriter,
    JobBecameLive,
    JobConflict,
    JobRehomed,
    JobRepeated,
    JobsFold,
    ReadBack,
)
from fireflywharf_core.platform import LogEntry, ReadAnswer
from fireflywharf_core.records import (
    RECORD_CODEC,
    DomainLost,
    JobAccepted,
    JobCancelRequested,
    JobFinished,
    JobLate,
    StartIntent,
    TaskEnded,
    WorkerRemoved,
)
from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.results import NotRun, ResultCode


def make_payload(number):
    """Return an encoded record with a number."""
    return RECORD_CODEC.encode(WorkerRemoved(f"record-{number}"))


APPEND_STEP = st.tuples(
    st.sampled_from(("submit", "submit", "write", "write", "late copy", "read", "truncate")),
    st.integers(0, 1),
    st.integers(0, 9),
    st.sampled_from(RESPONSES),
)


def run_appends(steps, ignores_repeats):
    """Run generated appends and reads, check the records, and return how many were submitted."""
    log = ModelLog(ignores_repeats)
    writers = [GroupCommitWriter(f"vm{i}#0", "s", max_batch_records=4) for i in range(2)]
    submitted, durable, seen = {}, {}, []
    reader = make_reader("s")
    now_s = 0.0

    def write(index, response):
        for item in execute_writer_action(writers[index], log, now_s, response):
            assert (index, item.ticket) not in durable
            durable[index, item.ticket] = item.offset

    def read(limit):
        seen.extend(r.record.name for r in reader.on_read(log.read(reader.next_offset, limit)))

    for kind, index, number, response in steps:
        now_s += 0.2
        match kind:
            case "submit":
                name = len(submitted)
                submitted[index, writers[index].submit(make_payload(name), now_s)] = name
            case "write":
                write(index, response)
            case "late copy" if log.delayed:
                log.append(*log.delayed[number % len(log.delayed)])
            case "read":
                read(1 + number)
            case "truncate":
                # Only records that were read are removed, so that the reader gets every record.
                log.first_available = max(log.first_available, reader.next_offset * number // 9)
    for _ in range(80):
        now_s += 10.0
        write(0, "done")
        write(1, "done")
    for call in log.delayed:
        log.append(*call)
    read(100)
    while not reader.at_end:
        read(100)
    assert set(durable) == set(submitted), (submitted, durable)
    for place, offset in durable.items():
        assert log.entries[offset].payload == make_payload(submitted[place])
    expected = Counter(f"record-{name}" for name in submitted.values())
    assert Counter(seen) == expected, (seen, expected)
    return len(submitted)


@when("{count:d} generated histories of appends meet lost answers, delayed copies and truncation")
def run_append_histories(context, count):
    context.records_count = 0

    @settings(
        max_examples=count, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
    )
    @given(st.lists(APPEND_STEP, min_size=10, max_size=100), st.booleans())
    def histories(steps, ignores_repeats):
        context.records_count += run_appends(steps, ignores_repeats)

    histories()


@then("every ticket becomes durable and every reader gets each record once")
def check_append_histories(context):
    # The records are compared in each history; here, fails if the histories have few records.
    assert context.records_count > 300, context.records_count


@when("{rate:d} records a second are submitted for two hours and the log is down in the first")
def run_outage(context, rate):
    log, writer = ModelLog(True), GroupCommitWriter("vm#0", "s")
    refused, durable, tickets, backlog_max = [], [], set(), 0
    for step in range(2 * 3600 * rate):
        now_s = step / rate
        answer = writer.submit(b"record", now_s)
        if isinstance(answer, AppendTicket):
            tickets.add(answer)
        else:
            refused.append((now_s, answer))
        durable += execute_writer_action(
            writer, log, now_s, "lost before" if now_s < 3600 else "done"
        )
        backlog_max = max(backlog_max, writer.backlog_count)
        if now_s == 3599:
            context.outage = (writer.available, writer.outage_s(now_s))
            context.attempts_in_outage_count = writer.appends_count_ + writer.read_backs_count_
    for step in range(100):
        durable += execute_writer_action(writer, log, 7200 + step, "done")
    context.log, context.refused, context.durable = log, refused, durable
    context.tickets, context.backlog_max = tickets, backlog_max


@then("the backlog stays within its limit and later records are refused as not run")
def check_backlog(context):
    assert context.backlog_max == 10_000, context.backlog_max
    assert context.refused
    assert all(isinstance(answer, NotRun) for _, answer in context.refused)
    assert context.refused[0][1].code is ResultCode.STORE_UNAVAILABLE
    assert context.refused[0][0] > 400 and context.refused[-1][0] < 3610, context.refused[-1]
    assert context.outage[0] is False and context.outage[1] > 3590
    # With a maximum delay of 5 s and a jitter of one half, attempts are at least 2.5 s apart.
    assert context.attempts_in_outage_count < 3600 / 2.5 + 20, context.attempts_in_outage_count


@then("at most one append was made per interval and all accepted records are durable once")
def check_drain(context):
    times = context.log.append_times
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert min(gaps) >= 0.1 - 1e-9, min(gaps)
    assert Counter(item.ticket for item in context.durable) == Counter(context.tickets)
    assert len(context.log.entries) == len(context.tickets)


@when(
    "{count:d} writers of one process share a minimum append interval of {interval_s:f} seconds"
    " for 60 seconds"
)
def share_append_interval(context, count, interval_s):
    pacer = AppendPacer(interval_s)
    # The last stream has few records and would get no turn if the others were served first.
    writers = [
        GroupCommitWriter("vm#0", f"s{i}", append_interval_s=interval_s, pacer=pacer)
        for i in range(count)
    ]
    context.append_times, context.served = [], Counter()
    for step in range(60 * 50):
        now_s = step / 50
        for index, writer in enumerate(writers):
            if index < count - 1 or step % 100 == 0:
                writer.submit(b"record", now_s)
            if writer.next_action(now_s) is not None:
                writer.on_appended(0, now_s)
                context.append_times.append(now_s)
                context.served[index] += 1


@then("they make at most {limit:d} appends a second together and all streams get turns")
def check_shared_rate(context, limit):
    times = context.append_times
    assert all(later - times[i] >= 0.99 for i, later in enumerate(times[limit:])), times
    assert len(times) > 0.9 * 60 * limit, len(times)
    # The last stream has a record every 2 seconds.
    assert context.served[3] >= 29 and min(context.served.values()) >= 29, context.served


@when("an append takes effect, its answer is lost and its record is truncated before the read-back")
def truncate_before_read_back(context):
    writer = GroupCommitWriter("vm#0", "s")
    writer.submit(b"record", 0.0)
    context.first = writer.next_action(0.0)
    writer.on_uncertain(1.0)
    assert writer.next_action(10.0) == ReadBack(0)
    assert writer.on_read_back([], 5, 5, 10.0) == []
    context.second = writer.next_action(20.0)


@then("the writer repeats the same sequence with the same records")
def check_repeat(context):
    assert context.first == context.second == AppendBatch(0, (b"record",))


@when("a record is withdrawn before and another one after its append was sent")
def withdraw_records(context):
    writer = GroupCommitWriter("vm#0", "s", max_batch_records=1)
    sent = writer.submit(b"sent", 0.0)
    waiting = writer.submit(b"waiting", 0.0)
    writer.next_action(0.0)
    context.results = (writer.withdraw(waiting), writer.withdraw(sent))
    writer.on_appended(0, 0.1)
    context.next = writer.next_action(10.0)


@then("only the first withdrawal succeeds and its record is never appended")
def check_withdraw(context):
    assert context.results == (True, False)
    assert context.next is None


@when("a reader gets an unknown record, a damaged record and a valid one")
def read_bad_records(context):
    context.reader = make_reader("s")
    payloads = [RECORD_CODEC.encode(ResourceVector()), b"\xff\x00", make_payload(1)]
    entries = [LogEntry(i, "vm#0", i, 0, payload) for i, payload in enumerate(payloads)]
    context.records = context.reader.on_read(ReadAnswer(entries, 3, 0))


@then("it returns the valid record and counts the other two")
def check_bad_records(context):
    assert [(r.offset, r.record) for r in context.records] == [(2, WorkerRemoved("record-1"))]
    reader = context.reader
    assert (reader.unknown_count_, reader.undecodable_count_, reader.next_offset) == (1, 1, 3)
    assert not reader.at_end
    assert reader.on_read(ReadAnswer([], 3, 0)) == [] and reader.at_end


@when("the first append of a writer is repeated after {count:d} records of another writer")
def repeat_late(context, count):
    context.reader = make_reader("s")
    entries = [LogEntry(0, "vm0#0", 0, 0, make_payload(0))]
    entries += [LogEntry(1 + i, "vm1#0", i, 0, make_payload(i)) for i in range(count)]
    entries.append(LogEntry(count + 1, "vm0#0", 0, 0, make_payload(0)))
    context.count = count
    context.records = context.reader.on_read(ReadAnswer(entries, count + 2, 0))


@then("the reader drops the repetition")
def check_late_repeat_dropped(context):
    assert len(context.records) == context.count + 1
    assert context.reader.duplicates_count_ == 1


def make_spec(job_id):
    return JobSpec(job_id=job_id, customer="austral", kind=JobKind.BATCH, size=ResourceVector(1, 1))


def make_accepted(job_id, digest="", domain="centro"):
    return JobAccepted(
        spec=make_spec(job_id), home_domain=domain, accepted_utc_s=0.0, submission_digest=digest
    )


class RetentionRun:
    """Stream with deletion by age, and a home scheduler whose refreshes are delayed."""

    def __init__(self, rng, retention_s=100.0):
        self.rng = rng
        self.retention_s = retention_s
        self.records = []
        self.home = JobsFold("centro", retention_s, 50.0)
        self.backlog = []
        self.jobs_count = 0

    def append(self, record, now_s):
        """Append a record to the stream and fold it at the home scheduler."""
        self.home.fold(len(self.records), record, now_s)
        self.records.append((now_s, record))

    def step(self, now_s):
        """Accept and change random jobs, and append the refreshes that are due."""
        rng = self.rng
        live = list(self.home.live_)
        if rng.random() < 0.3:
            self.jobs_count += 1
            self.append(make_accepted(f"j-{self.jobs_count}"), now_s)
        if live and rng.random() < 0.3:
            job_id = rng.choice(live)
            kinds = (JobCancelRequested, JobLate, lambda j: JobFinished(j, JobState.DONE))
            self.append(rng.choice(kinds)(job_id), now_s)
        # Refreshes wait in the backlog, so that later facts are recorded before them.
        for record in self.home.due_records(now_s):
            self.backlog.append((now_s + rng.uniform(0, 4), record))
        due = [item for item in self.backlog if item[0] <= now_s]
        self.backlog = [item for item in self.backlog if item[0] > now_s]
        for _, record in due:
            self.append(record, now_s)

    def fold_retained_records(self, now_s):
        """Return the fold of a reader that starts now."""
        fold = JobsFold("centro", self.retention_s, 50.0)
        for offset, (time_s, record) in enumerate(self.records):
            if now_s - time_s < self.retention_s:
                fold.fold(offset, record, now_s, live=False)
        return fold


def job_facts(fold):
    """Return whether each live job is cancelled and late, by job id."""
    return {j: (job.cancel_requested, job.late) for j, job in fold.live_.items()}


@when("jobs run for six retention times in {count:d} generated histories")
def run_retention(context, count):
    context.compared_jobs_count = 0
    for seed in range(count):
        run = RetentionRun(random.Random(seed))
        for now_s in range(600):
            run.step(float(now_s))
            if now_s % 7 == 0:
                late, home = job_facts(run.fold_retained_records(float(now_s))), job_facts(run.home)
                assert late == home, (seed, now_s, late, home)
                context.compared_jobs_count += len(home)


@then("a reader that starts at any time knows the same live jobs as one that has read all records")
def check_retention(context):
    assert context.compared_jobs_count > 1000, context.compared_jobs_count


@when("a late reader gets a cancellation and a late mark before the refreshed job")
def read_facts_first(context):
    source, context.fold = JobsFold("centro", 100.0), JobsFold("centro", 100.0)
    source.fold(0, make_accepted("j-1"), 0.0)
    refreshed = source.refreshed(source.lookup("j-1"))
    records = (JobCancelRequested("j-1"), JobLate("j-1"), refreshed)
    for offset, record in enumerate(records, start=7):
        context.fold.fold(offset, record, 0.0, live=False)


@then("the job is cancelled and late")
def check_facts_first(context):
    job = context.fold.lookup("j-1")
    assert job.cancel_requested and job.late


@when("{count:d} jobs finish and the log deletes the records of the first {deleted:d}")
def delete_outcomes(context, count, deleted):
    context.fold = fold = JobsFold("centro", 100.0)
    for number in range(count):
        fold.fold(2 * number, make_accepted(f"j-{number}"), 0.0)
        fold.fold(2 * number + 1, JobFinished(f"j-{number}", JobState.DONE), 0.0)
    # The outcome of the first job is kept, because it is recorded again.
    fold.fold(2 * count, JobFinished("j-0", JobState.DONE), 0.0)
    fold.drop_truncated(2 * deleted)


@then("{kept:d} outcomes are kept, one of them because it was recorded again")
def check_deleted(context, kept):
    assert len(context.fold.finished_) == kept
    assert context.fold.is_finished("j-0") and not context.fold.is_finished("j-1")


@when("a job is accepted twice with equal digests and once with another")
def accept_three_times(context):
    fold = JobsFold("centro", 100.0)
    context.events = [fold.fold(i, make_accepted("j-1", d), 0.0) for i, d in enumerate("aab")]


@then("the fold reports one accepted job, one repetition and one conflict")
def check_submissions(context):
    assert context.events == [JobBecameLive("j-1"), JobRepeated("j-1"), JobConflict("j-1")]


@when('domain "{domain}" is declared lost and two domains take over its job')
def declare_domain_lost(context, domain):
    context.fold = fold = JobsFold("centro", 100.0)
    fold.fold(0, make_accepted("j-1", domain=domain), 0.0)
    fold.fold(1, DomainLost(domain), 5.0)
    job = fold.lookup("j-1")
    stale = fold.refreshed(job)
    context.orphans = (fold.orphans(36.0, 31.5), fold.orphans(36.5, 31.5))
    records = (stale, fold.refreshed(job, "pacifico"), fold.refreshed(job, "oriente"), stale)
    context.events = [fold.fold(2 + i, record, 40.0) for i, record in enumerate(records)]


@then('only the first one has the job and a refresh by "{domain}" changes nothing')
def check_lost_domain(context, domain):
    assert context.orphans == ([], [context.fold.lookup("j-1")])
    assert context.events == [None, JobRehomed("j-1", "pacifico"), None, None]
    assert context.fold.live_jobs(domain) == []
    assert [job.spec.job_id for job in context.fold.live_jobs("pacifico")] == ["j-1"]


@when("a task has an intent, a failed end, a repeated intent and a successful end")
def fold_task(context):
    context.fold = fold = DomainFold(100.0)
    task = TaskId("j-1", 0)
    first, second = AttemptId(task, 1), AttemptId(task, 2)
    records = (
        StartIntent(first, "w1"),
        TaskEnded(first, AttemptEnd.FAILED, "w1"),
        StartIntent(first, "w1"),
        StartIntent(second, "w2"),
        TaskEnded(second, AttemptEnd.SUCCEEDED, "w2"),
        TaskEnded(second, AttemptEnd.SUCCEEDED, "w2"),
    )
    context.events = [fold.fold(i, record, 0.0) for i, record in enumerate(records)]
    context.task_state = fold.task_state(task)
    context.next = fold.next_attempt(task)
    context.done = fold.done_tasks("j-1")
    assert fold.drop_finished_jobs(JobsFold("centro", 100.0).is_finished) == 0 and fold.tasks_of(
        "j-1"
    )
    fold.drop_finished_jobs(lambda job_id: True)


@then("its state is correct and nothing is left after its job was forgotten")
def check_task(context):
    task_state = context.task_state
    assert sum(event is not None for event in context.events) == 2
    assert (task_state.done, task_state.failures_count, task_state.open_intent) == (True, 1, 0)
    assert context.next.number == 3 and context.done == {0}
    assert context.fold.tasks_of("j-1") == {}
    assert context.fold.due_records(1000.0) == [] == context.fold.due_records(2000.0)
