"""Steps for cancellations of jobs whose submission is not stored yet."""

import asyncio
import random
import time
import unittest.mock

from behave import given, then, when
from prometheus_client import CollectorRegistry
from workflow_partition_steps import MemoryLog, count_starts
from workflow_world import WorkflowWorld, make_step

from fireflywharf_core.workflows import (
    MAIN_PARTITION,
    JournalState,
    Queue,
    TeamsChanged,
    WorkflowCancelled,
    WorkflowSpec,
    WorkflowState,
    encode_record,
    find_partition,
    job_keys,
)
from fireflywharf_daemon.workflows import (
    Accepted,
    Appended,
    AppendRejected,
    AppendUncertain,
    JobStateReply,
    Rejected,
    UnknownJob,
    WorkflowMetrics,
)
from fireflywharf_daemon.workflows._appends import JournalAppender
from fireflywharf_daemon.workflows._journal import JournalReader
from fireflywharf_daemon.workflows._service import WorkflowService
from fireflywharf_daemon.workflows._submissions import Submissions
from fireflywharf_testing.histories._loop import Simulator, VirtualLoop

PARTITIONS_COUNT = 5
JOB_ID = "a" * 16
QUEUE = Queue(name="q", host="h", path_prefix="/", service="s")
SPEC = WorkflowSpec(payload="", steps=(make_step(2),))
TEAMS = ("", "austral", "boreal")


class UnreliableLog(MemoryLog):
    """Log whose appends may be slow, rejected, or get no answer.

    Args:
        draw_fault: returns what happens to the next append: its duration in seconds, `rejected`, or
            the delay after which an append without an answer takes effect; None if it never does.
    """

    def __init__(self, draw_fault):
        super().__init__(PARTITIONS_COUNT)
        self.draw_fault = draw_fault

    async def append(self, partition, records, *, timeout_s, writer=None):
        """Append records, unless there is a fault."""
        match self.draw_fault():
            case "rejected":
                return AppendRejected("planted")
            case "slow", duration_s:
                await asyncio.sleep(min(duration_s, timeout_s))
                if duration_s >= timeout_s:
                    self._put_later(duration_s - timeout_s, partition, records)
                    return AppendUncertain("planted")
                return Appended(self.put(partition.number, records))
            case "no answer", delay_s:
                if delay_s is not None:
                    self._put_later(delay_s, partition, records)
                await asyncio.sleep(timeout_s)
                return AppendUncertain("planted")
        return Appended(self.put(partition.number, records))

    def _put_later(self, delay_s, partition, records):
        asyncio.get_running_loop().call_later(delay_s, self.put, partition.number, records)


class Daemon:
    """The parts of a daemon that serve callers.

    Args:
        log: the shared log.
    """

    def __init__(self, log):
        self.reader = JournalReader(log, lambda *row: None)
        state = self.reader.journal_state
        self.submissions = Submissions(log, state, lambda *row: None)
        self.appender = JournalAppender(log)
        self.service = WorkflowService(
            self.reader,
            self.submissions,
            self.appender,
            lambda record: None,
            self.handle_stored,
            WorkflowMetrics(CollectorRegistry()),
        )
        self.service.configuration = unittest.mock.Mock(find_quota=lambda team: None)

    def start(self):
        """Start the loops."""
        self.tasks = [asyncio.ensure_future(self.reader.run())]
        self.tasks += [asyncio.ensure_future(row.run()) for row in self.appender.appenders]

    def handle_stored(self, record, offset):
        """Apply a record that this daemon stored."""
        key, value = encode_record(record)
        row = unittest.mock.Mock(key=key, value=value)
        reader = self.submissions.find_reader(key)
        if reader is not None and offset >= 0:
            reader.apply_record(offset, row)


def run_in_virtual_time(play):
    """Run a coroutine function to its end and return its result."""
    simulator, errors = Simulator(), []
    loop = VirtualLoop(simulator, errors.append)
    simulator.loops.append(loop)
    with (
        unittest.mock.patch("time.monotonic", simulator.monotonic),
        unittest.mock.patch("time.clock_gettime", lambda _: simulator.now_s),
        unittest.mock.patch("time.time", simulator.time),
    ):
        task = loop.create_task(play())
        while not task.done():
            simulator.run_until(simulator.now_s + 1.0)
        result = task.result()
        loop.cancel_and_close()
    assert not errors, errors
    return result


def replay(log, compacted):
    """Return the state of a reader of the whole log, or of the newest record of each key only."""
    state = JournalState()
    for number in log.rows:
        rows = log.rows[number]
        if compacted:
            newest = {record.key: (offset, record) for offset, record in rows}
            rows = sorted(newest.values(), key=lambda row: row[0])
        for offset, record in rows:
            state.apply(offset, record.key, record.value, now_s=0.0)
    return state


def parse_fault(text):
    """Return the fault of an append that a scenario names."""
    match text.split():
        case ["gets", "no", "answer"]:
            return "no answer", None
        case ["takes", "effect", "after", seconds, "s"]:
            return "no answer", float(seconds)
        case ["takes", seconds, "s"]:
            return "slow", float(seconds)


@given("two daemons and a log whose first append {fault}")
def plan_first_fault(context, fault):
    faults = [parse_fault(fault)]
    context.log = UnreliableLog(lambda: faults.pop() if faults else None)


@given("two daemons and a log without faults")
def plan_no_fault(context):
    context.log = UnreliableLog(lambda: None)


@when("a job is submitted at one daemon and cancelled 0.2 s later at {place}")
def submit_and_cancel(context, place):
    async def play():
        first, second, later = (Daemon(context.log) for _ in range(3))
        first.start()
        second.start()
        await asyncio.sleep(1.0)
        submission = asyncio.ensure_future(first.service.submit(QUEUE, JOB_ID, SPEC))
        await asyncio.sleep(0.2)
        canceller = second if place == "the other" else first
        reply = await canceller.service.cancel(JOB_ID)
        await asyncio.sleep(10.0)
        later.start()
        await asyncio.sleep(1.0)
        states = [await daemon.service.get_state(JOB_ID) for daemon in (canceller, later)]
        return await submission, reply, states

    context.submission, context.reply, context.states = run_in_virtual_time(play)


@then("the cancellation is acknowledged")
def check_acknowledged(context):
    assert isinstance(context.reply, Accepted | UnknownJob), context.reply


@then("10 s later that daemon, and one that starts then, show the job as cancelled")
def check_states(context):
    assert isinstance(context.submission, Accepted), context.submission
    assert context.states == [JobStateReply(WorkflowState.CANCELLED)] * 2, context.states


class RandomCallers:
    """Callers of two daemons that submit, repeat, cancel and query jobs at random times.

    Args:
        seed: seed of the callers and of the faults.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.log = UnreliableLog(self._draw_fault)
        self.replies = []

    def _draw_fault(self):
        if self.rng.random() < 0.5:
            return None
        late_s = self.rng.choice([None, self.rng.uniform(0.0, 6.0)])
        slow_s = self.rng.uniform(0.1, 2.0)
        return self.rng.choice(["rejected", ("slow", slow_s), ("no answer", late_s)])

    async def call(self, kind, job_id, team):
        """Call one of the daemons after a random time and note the reply."""
        await asyncio.sleep(self.rng.uniform(1.0, 8.0))
        service = self.rng.choice(self.daemons).service
        match kind:
            case "submit":
                reply = await service.submit(QUEUE, job_id, SPEC, team=team)
            case "cancel":
                reply = await service.cancel(job_id, team=team)
            case "query":
                reply = await service.get_state(job_id, team=team)
        self.replies.append((kind, job_id, team, reply))

    async def play(self):
        """Make all calls, and wait until late appends have taken effect."""
        self.daemons = [Daemon(self.log) for _ in range(2)]
        for daemon in self.daemons:
            daemon.start()
        calls = []
        for number in range(12):
            job_id, team = f"{number:016x}", self.rng.choice(TEAMS)
            calls += [("submit", job_id, team)] * self.rng.choice([0, 1, 2, 3])
            for kind in ("cancel", "query"):
                teams = self.rng.choices([team, *TEAMS], k=self.rng.choice([0, 1, 2]))
                calls += [(kind, job_id, other) for other in teams]
        await asyncio.gather(*(self.call(*call) for call in calls))
        await asyncio.sleep(10.0)
        return calls


def find_problems(seed):
    """Play a seed and return the problems by kind."""
    callers = RandomCallers(seed)
    calls = run_in_virtual_time(callers.play)
    owners = {job_id: team for kind, job_id, team in calls if kind == "submit"}
    held, foreign, shown = [], [], []
    for compacted in (False, True):
        state = replay(callers.log, compacted)
        for job_id, owner in owners.items():
            entitled = [
                reply
                for kind, name, team, reply in callers.replies
                if kind == "cancel" and name == job_id and owner in ("", team)
            ]
            job = state.jobs.get(job_id)
            exists = job is not None and job.exists
            acknowledged = any(isinstance(reply, Accepted | UnknownJob) for reply in entitled)
            if exists and acknowledged and job.state is not WorkflowState.CANCELLED:
                held.append((seed, compacted, job_id))
            if exists and not entitled and job.state is WorkflowState.CANCELLED:
                foreign.append((seed, compacted, job_id))
    for kind, job_id, team, reply in callers.replies:
        owner = owners.get(job_id)
        if kind == "query" and isinstance(reply, JobStateReply) and owner not in ("", team):
            shown.append((seed, job_id, team))
    return held, foreign, shown


@when("two daemons serve callers over a log with faults for seeds {first:d} to {last:d}")
def play_seeds(context, first, last):
    rows = [find_problems(seed) for seed in range(first, last + 1)]
    context.held, context.foreign, context.shown = (
        [p for r in rows for p in r[i]] for i in range(3)
    )


@then("each acknowledged cancellation by the team of a job holds for every reader")
def check_held(context):
    assert not context.held, (len(context.held), context.held[:5])


@then("no cancellation by another team has an effect")
def check_foreign(context):
    assert not context.foreign, (len(context.foreign), context.foreign[:5])


@then("no job is shown that nobody submitted")
def check_shown(context):
    assert not context.shown, (len(context.shown), context.shown[:5])


@given('a journal with a cancellation of an unknown {kind} by team "{team}"')
@given('a journal with a cancellation of an unknown {kind} by team ""')
def cancel_unknown(context, kind, team=""):
    context.world = WorkflowWorld()
    context.kind = kind
    context.world.append(WorkflowCancelled(job_id="a", team=team))


@when('the job is submitted by team "{team}"')
@when('the job is submitted by team ""')
def submit_cancelled(context, team=""):
    steps = [make_step(2, gang=context.kind == "gang")]
    timing = {"times_count": 3, "interval_s": 1.0} if context.kind == "timed job" else {}
    with unittest.mock.patch(
        "workflow_world.WorkflowSpec", lambda **fields: WorkflowSpec(**fields, **timing)
    ):
        context.world.submit("a", steps, team=team)
    context.world.scheduler.observe(TeamsChanged(()), context.world.now_s)
    context.world.run(3.0)


@then("{count:d} of its tasks are started, also after another scheduler has taken over")
def check_starts(context, count):
    assert count_starts(context.world, "a") == count
    context.world.begin_tenure()
    context.world.scheduler.observe(TeamsChanged(()), context.world.now_s)
    context.world.run(3.0)
    assert count_starts(context.world, "a") == count
    assert not context.world.violations, context.world.violations


@then("the main partition shows it as {state}")
def check_main_state(context, state):
    shown = JournalState()
    for key, (offset, value) in context.world.newest_records.items():
        if find_partition(key, PARTITIONS_COUNT) == MAIN_PARTITION:
            shown.apply(offset, key, value, now_s=0.0)
    assert shown.jobs["a"].state.value == state, shown.jobs["a"]
    assert shown.jobs["a"].team == context.world.journal_state.jobs["a"].team


@given(
    'a journal with cancellations of two unknown jobs by "austral" and of one of them by "boreal" '
    "60 s later"
)
def cancel_twice(context):
    context.world = WorkflowWorld()
    context.world.now_s = context.started_s = 0.0
    for job_id in ("a", "b"):
        context.world.append(WorkflowCancelled(job_id=job_id, team="austral"))
    context.world.now_s = 60.0
    context.world.append(WorkflowCancelled(job_id="a", team="boreal"))


@when(
    "150 s have passed since the first ones, and the other job is submitted by "
    '"boreal" meanwhile'
)
def pass_retention(context):
    context.world.now_s = 149.0
    context.expired = context.world.journal_state.find_expired_cancellations(150.0, 150.0)
    context.world.submit("b", [make_step(2)], team="boreal")


@then(
    'those by "austral" expire, and their deletion leaves the job of "boreal" and its cancellation'
)
def check_expired(context):
    state = context.world.journal_state
    expected = {job_keys(job_id, ["austral"])[-1] for job_id in ("a", "b")}
    assert set(context.expired) == expected, context.expired
    for number, key in enumerate(context.expired):
        state.apply(1000 + number, key, b"", now_s=150.0)
    assert state.jobs["b"].exists and not state.jobs["b"].cancelled
    assert list(state.jobs["a"].early_cancellations) == ["boreal"]
    assert state.find_expired_cancellations(210.0, 150.0) == [job_keys("a", ["boreal"])[-1]]


@when("{count:d} unknown jobs are cancelled at one daemon at once")
def cancel_many(context, count):
    async def play():
        daemon = Daemon(context.log)
        daemon.start()
        await asyncio.sleep(1.0)
        calls = (daemon.service.cancel(f"{number:016x}") for number in range(count))
        context.replies = await asyncio.gather(*calls)
        await daemon.service.submit(QUEUE, JOB_ID, SPEC)
        context.known_reply = await daemon.service.cancel(JOB_ID)

    started_s = time.monotonic()
    run_in_virtual_time(play)
    assert time.monotonic() - started_s < 30.0


@then("{least:d} to {most:d} of them are stored, and the others are rejected")
def check_stored(context, least, most):
    stored = sum(isinstance(reply, UnknownJob) for reply in context.replies)
    rejected = sum(isinstance(reply, Rejected) for reply in context.replies)
    assert least <= stored <= most and stored + rejected == len(context.replies), (stored, rejected)


@then("a job that exists can still be cancelled there")
def check_known(context):
    assert context.known_reply == Accepted(), context.known_reply
