"""Steps for the journal, the election and the approvals of the daemon of workflows."""

import asyncio
import logging
import os
import random
import time
import unittest.mock

from behave import given, then, when
from prometheus_client import CollectorRegistry

from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.workflows import (
    EndKind,
    ListedEnd,
    Queue,
    StepName,
    TaskName,
    TenureRecord,
    VmPresent,
    WorkerInfo,
    WorkflowAccepted,
    WorkflowSpec,
    encode_record,
)
from fireflywharf_daemon.logs import BoundedStream
from fireflywharf_daemon.workflows import (
    Appended,
    AppendRejected,
    AppendUncertain,
    ApprovalGranted,
    Lists,
    LogRecord,
    ReadFailed,
    ReadRecords,
    Topic,
    WorkflowMetrics,
)
from fireflywharf_daemon.workflows._approvals import ApprovalQueue
from fireflywharf_daemon.workflows._journal import AppendTimes, GroupAppender, JournalReader
from fireflywharf_daemon.workflows._peers import ApprovalPool, lane
from fireflywharf_daemon.workflows._sessions import WorkerSession
from fireflywharf_daemon.workflows._tenure import Election, JournalWriter

STEP_S = 0.05


def job_record(job_id):
    """Return the journal record of a job."""
    queue = Queue(name="q", host="h", path_prefix="/", service="s")
    spec = WorkflowSpec(payload="", steps=())
    return WorkflowAccepted(job_id=job_id, queue=queue, spec=spec, accepted_utc_s=0.0)


def stored(record):
    """Return the stored form of a record."""
    return LogRecord(*encode_record(record))


class ScriptedLog:
    """A log whose reads return what a scenario has set."""

    def __init__(self):
        self.rows = ()

    async def read(self, topic, offset, *, wait_s):
        """Return the rows from an offset on."""
        return ReadRecords(9, tuple(row for row in self.rows if row[0] >= offset))


@given("a daemon that has read the journal up to offset {offset:d}")
def reader_at(context, offset):
    context.heard = []
    context.log = ScriptedLog()
    context.reader = JournalReader(context.log, lambda *row: context.heard.append(row))
    context.reader.loaded = True
    context.reader.offset = offset


@when("it is told of a job with offset {offset:d}")
def told(context, offset):
    context.record = stored(job_record("a"))
    context.reader.inject(offset, context.record)


@then("it does not know the job")
def check_unknown(context):
    assert not context.reader.fold.jobs


@when("the record with offset {offset:d} is a tenure of another daemon and is read")
def read_tenure(context, offset):
    tenure = TenureRecord(holder="b#1", epoch=5, ordinal=1)
    context.log.rows = ((offset, stored(tenure)),)
    asyncio.run(context.reader._read(0.0))


@then("it knows the other tenure and the job")
def check_order(context):
    kinds = [type(record).__name__ for record, _ in context.heard]
    assert kinds == ["TenureRecord", "WorkflowAccepted"], kinds


@when("the record with offset {offset:d} is read")
def read_again(context, offset):
    context.log.rows = ((offset, context.record),)
    asyncio.run(context.reader._read(0.0))


@then("its listener was called once")
def check_once(context):
    assert len(context.heard) == 1, context.heard


class StuckLog(ScriptedLog):
    """A log that answers no read, or none of those that wait."""

    def __init__(self, waiting_only):
        super().__init__()
        self.waiting_only = waiting_only

    async def read(self, topic, offset, *, wait_s):
        """Answer a read that does not wait, if such are answered."""
        if wait_s > 0 or not self.waiting_only:
            await asyncio.sleep(60)
        return await super().read(topic, offset, wait_s=wait_s)


@when("it reads at once from a log that {kind}")
def read_at_once(context, kind):
    if kind != "holds the tenure of another daemon":
        context.log = context.reader._log = StuckLog(kind.endswith("waits already"))
    tenure = TenureRecord(holder="b#1", epoch=5, ordinal=1)
    context.log.rows = ((3, stored(tenure)),)

    async def read():
        waiting = asyncio.create_task(context.reader._read(1.0))
        context.answered = await context.reader.read_now(0.05)
        waiting.cancel()

    asyncio.run(read())


@then("the read {succeeds} and the daemon {knows} of the new scheduler")
def check_read(context, succeeds, knows):
    assert context.answered == (succeeds == "succeeds")
    assert (context.reader.fold.tenure is not None) == (knows == "has read")


def vm_presence(name, incarnation="", **size):
    """Return the record of a VM."""
    return VmPresent(vm=name, incarnation=incarnation or f"{name}#1", address="", **size)


@given("a daemon that heard the scheduler every {gap_s:g} s")
def heard_every(context, gap_s):
    context.now_s = 10.0
    context.election = Election(vm_presence("vm-1", "vm-1#2"), random.Random(1), dict)
    for renewal in range(8):
        record = TenureRecord(holder="vm-2#1", epoch=70000, ordinal=1, renewal=renewal)
        context.election.observe(record, context.now_s)
        context.now_s += gap_s
    context.now_s -= gap_s


@when("the scheduler is silent for {silence_s:g} s while the log {state}")
def silent(context, silence_s, state):
    end_s = context.now_s + silence_s
    context.stood = False
    while context.now_s < end_s:
        context.now_s += STEP_S
        if state == "cannot be read":
            context.election.unavailable(context.now_s)
        context.stood = context.stood or context.election.due(context.now_s)


@then("the daemon stands")
def check_stands(context):
    assert context.stood


@then("the daemon does not stand")
def check_not(context):
    assert not context.stood


@when("a daemon starts on the VM of the scheduler")
def same_vm(context):
    context.election = Election(vm_presence("vm-1", "vm-1#2"), random.Random(1), dict)
    context.election.observe(TenureRecord(holder="vm-1#1", epoch=70000, ordinal=1), 1.0)


@then("it stands at once")
def check_at_once(context):
    assert context.election.due(1.0)


@when("the scheduler resigns")
def resign(context):
    record = TenureRecord(holder="vm-2#1", epoch=70000, ordinal=1, resigned=True)
    context.election.observe(record, context.now_s)


@then("the daemon stands within {seconds:g} s")
def check_soon(context, seconds):
    assert context.election.due(context.now_s + seconds)


@given("{large:d} VMs of 2.1 processors and {small:d} of half a processor with a tenth of the link")
def two_sizes(context, large, small):
    names = [f"large-{number}" for number in range(large)]
    context.vms = {
        name: vm_presence(name, processors_millicores=2150, link_mbps=200.0) for name in names
    }
    names = [f"small-{number}" for number in range(small)]
    context.vms |= {
        name: vm_presence(name, processors_millicores=516, link_mbps=20.0) for name in names
    }


@when(
    "their scheduler dies, they notice it within {notice_s:g} s, and a record is read after "
    "{read_s:g} s"
)
def many_candidates(context, notice_s, read_s):
    """Play 50 deaths; every candidate sees the records that are older than `read_s`."""
    context.played = []
    for seed in range(50):
        rng = random.Random(seed)
        holder = rng.choice(sorted(context.vms))
        first = TenureRecord(holder=f"{holder}#1", epoch=2 << 24, ordinal=2)
        elections = []
        for name in sorted(context.vms):
            if name != holder:
                election = Election(context.vms[name], random.Random(name), lambda: context.vms)
                election.observe(first, rng.uniform(0.0, notice_s))
                elections.append(election)
        context.played.append(play_election(elections, read_s))


def play_election(elections, read_s):
    """Return the tenures that a log accepts until one has been known to all for a second."""
    accepted = []
    now_s = 0.0
    while not accepted or now_s < accepted[-1][0] + 1.0:
        now_s += STEP_S
        for election in elections:
            for appended_s, record in accepted:
                if appended_s + read_s <= now_s and record.epoch > election.latest.epoch:
                    election.observe(record, now_s)
            if election.due(now_s):
                tenure = election.next_tenure()
                if not accepted or tenure.epoch > accepted[-1][1].epoch:
                    accepted.append((now_s, tenure))
                election.heard(now_s)
    return [record for _, record in accepted]


@then("the first or second candidate stays scheduler")
def check_few_candidates(context):
    counts = [len(accepted) for accepted in context.played]
    assert max(counts) <= 2, counts


@then("the scheduler is one of the large VMs")
def check_large(context):
    holders = [accepted[-1].holder for accepted in context.played]
    assert all(holder.startswith("large-") for holder in holders), holders


@when("the boot time goes on by {seconds:d} s after an append and the monotonic time does not")
def suspend(context, seconds):
    metrics = WorkflowMetrics(CollectorRegistry())
    writer = JournalWriter(SerialLog(0.0), 70000, lambda *row: None, metrics)
    asyncio.run(writer.append([job_record("a")]))
    shifted = time.clock_gettime(time.CLOCK_BOOTTIME) + seconds
    with unittest.mock.patch("time.clock_gettime", return_value=shifted):
        context.age_s = writer.confirmation_age_s


@then("the confirmation of the tenure is at least {seconds:d} s old")
def check_confirmation(context, seconds):
    assert context.age_s >= seconds, context.age_s


@when("{count:d} daemons stand after the same tenure")
def many_stand(context, count):
    context.epochs = []
    for number in range(count):
        election = Election(vm_presence(f"vm-{number}"), random.Random(number), dict)
        election.observe(TenureRecord(holder="vm-x#1", epoch=70000, ordinal=1), 1.0)
        context.epochs.append(election.next_tenure().epoch)


@then("all their epochs are higher than that tenure's and no two are equal")
def check_epochs(context):
    assert min(context.epochs) > 70000
    assert len(set(context.epochs)) == len(context.epochs)


class ForgetfulLog:
    """A log that keeps writers apart and loses the first answer to each append."""

    def __init__(self):
        self.records = []
        self.seen = {}

    async def append(self, topic, records, *, timeout_s, writer=None):
        """Append once for each sequence."""
        if writer.sequence not in self.seen:
            self.seen[writer.sequence] = len(self.records)
            self.records += records
            return AppendUncertain("answer lost")
        return Appended(self.seen[writer.sequence])


@given("a log that loses the first answer to each append")
def forgetful(context):
    context.log = ForgetfulLog()
    context.told = []


@when("the scheduler appends {count:d} groups of records")
def append_groups(context, count):
    metrics = WorkflowMetrics(CollectorRegistry())
    writer = JournalWriter(context.log, 70000, lambda *row: context.told.append(row), metrics)

    async def append():
        for number in range(count):
            records = [
                VmPresent(vm=f"{number}{letter}", incarnation="", address="") for letter in "ab"
            ]
            await writer.append(records)

    asyncio.run(append())


@then("every record is in the log once and in order")
def check_log(context):
    keys = [record.key for record in context.log.records]
    assert keys == ["v0a", "v0b", "v1a", "v1b", "v2a", "v2b"], keys
    assert [(offset, record.key) for offset, record in context.told] == list(enumerate(keys))


class SlowService:
    """An approval service that serves one request at a time."""

    def __init__(self, scale):
        self.scale = scale
        self.order = []
        self.lock = asyncio.Lock()

    async def ask(self, step, worker_ids, *, timeout_s):
        """Answer after a time that depends on the step."""
        async with self.lock:
            wide = step.step == 1
            await asyncio.sleep((0.4 if wide else 0.008) * self.scale)
            self.order.append("wide" if wide else "small")
        return ApprovalGranted(tickets={}, validity_s=1.0)


@given("an approval service that needs 400 ms for wide steps and 8 ms for small ones")
def slow_service(context):
    context.service = None


@when("{wide:d} wide and {small:d} small requests wait")
def ask_all(context, wide, small):
    async def ask():
        context.service = SlowService(scale=0.1)
        queue = ApprovalQueue(context.service)
        running = asyncio.create_task(queue.run())
        requests = [queue.ask(StepName("a", 0, 1), (), 400.0) for _ in range(wide + 1)]
        requests += [queue.ask(StepName("a", 0, 0), (), 8.0) for _ in range(small)]
        await asyncio.gather(*requests)
        running.cancel()

    asyncio.run(ask())


@then("every small request is answered before the last wide one")
def check_service_order(context):
    assert context.service.order[-1] == "wide", context.service.order


@given('VMs "{first}" in one failure domain and "{second}" in another')
def vms_in_domains(context, first, second):
    context.vms = {
        vm: VmPresent(vm=vm, incarnation="", address=vm, domain=vm[0])
        for vm in [*first.split(), *second.split()]
    }


@then('"{short}" take short requests and "{long}" take long ones')
def check_lanes(context, short, long):
    assert sorted(lane(context.vms, short=True)) == short.split()
    assert sorted(lane(context.vms, short=False)) == long.split()


class RecordingPool(ApprovalPool):
    """A pool that records which VM gets a request."""

    def __init__(self, own_name, vms):
        super().__init__(None, None, own_name, lambda: vms)
        self.sent = []

    async def _ask_peer(self, name, address, step, worker_ids, cost_ms):
        self.sent.append((name, cost_ms))
        return ApprovalGranted(tickets={}, validity_s=1.0)


@when("a VM of each failure domain sends a short request and a long one")
def send_both(context):
    context.sent = []
    for own_name in ("a3", "b1"):
        pool = RecordingPool(own_name, context.vms)
        pool._local = SlowService(scale=0.0)
        pool._local.ask = lambda *_, p=pool: p._ask_peer(p._own_name, "", *_)
        for short, cost_ms in ((True, 10.0), (False, 500.0)):
            asyncio.run(pool.ask(StepName("a", 0, 0), ("w",), cost_ms, short=short))
        context.sent += pool.sent


@then("no VM with others in its domain gets both")
def check_apart(context):
    costs = {}
    for name, cost_ms in context.sent:
        costs.setdefault(name, set()).add(cost_ms)
    assert len(context.sent) == 4, context.sent
    assert all(len(kinds) == 1 for name, kinds in costs.items() if name != "b1"), costs


class SerialLog:
    """A log that takes one append after the other."""

    def __init__(self, append_s):
        self.append_s = append_s
        self.turn = None
        self.end = 0

    async def append(self, topic, records, *, timeout_s, writer=None):
        """Append when it is this call's turn."""
        self.turn = self.turn or asyncio.Lock()
        try:
            async with asyncio.timeout(timeout_s), self.turn:
                await asyncio.sleep(self.append_s)
        except TimeoutError:
            return AppendUncertain("no answer in time")
        self.end += len(records)
        return Appended(self.end - len(records))


class RecoveringLog:
    """A log that rejects some appends and then takes them."""

    def __init__(self, rejections_count):
        self.left = rejections_count
        self.records = []

    async def append(self, topic, records, *, timeout_s, writer=None):
        """Reject or append."""
        if self.left > 0:
            self.left -= 1
            return AppendRejected("down")
        self.records += records
        return Appended(len(self.records) - len(records))


@given("a log that rejects the first {count:d} appends and takes the next one")
def recovering_log(context, count):
    context.log = RecoveringLog(count)


@when("a record with {first_s:g} s and one with {second_s:g} s are appended together")
def append_together(context, first_s, second_s):
    async def run():
        appender = GroupAppender(context.log, Topic.JOURNAL)
        now_s = time.monotonic()
        futures = [
            appender.put_record(job_record(name), now_s + seconds)
            for name, seconds in (("a", first_s), ("b", second_s))
        ]
        loop = asyncio.create_task(appender.run())
        context.results = await asyncio.gather(*futures)
        loop.cancel()

    asyncio.run(run())


@then("the first has an uncertain outcome and the second is stored")
def check_uncertain(context):
    assert len(context.log.records) == 2, context.log.records
    assert isinstance(context.results[0], AppendUncertain), context.results
    assert isinstance(context.results[1], Appended), context.results


@when(
    "{count:d} appends have taken {took_s:g} s each"
    " and {unanswered:d} attempts at the next one had no answer"
)
def learn_times(context, count, took_s, unanswered):
    times = AppendTimes()
    for _ in range(count):
        times.observe(took_s)
    context.attempt_s = times.predict(unanswered)


@then("the next attempt lasts {wait_s:g} s")
def check_attempt(context, wait_s):
    assert abs(context.attempt_s - wait_s) < 0.01, context.attempt_s


@given("a stream for log lines that nobody reads")
def unread_stream(context):
    context.read_end, write_end = os.pipe()
    context.add_cleanup(os.close, context.read_end)
    context.add_cleanup(os.close, write_end)
    context.stream = BoundedStream(write_end)


@when("{count:d} lines of {length:d} characters are logged")
def log_lines(context, count, length):
    started_s = time.monotonic()
    for _ in range(count):
        context.stream.write("x" * length + "\n")
        context.stream.pump()
    context.took_s = time.monotonic() - started_s


@when("{count:d} lines of {length:d} characters are logged at once")
def log_burst(context, count, length):
    context.writes = []

    def write(descriptor, data):
        context.writes.append(bytes(data))
        return len(data)

    for _ in range(count):
        context.stream.write("x" * length + "\n")
    with unittest.mock.patch("os.write", write):
        context.stream.pump()


@then("each write holds whole lines and at most {limit:d} bytes")
def check_writes(context, limit):
    assert sum(map(len, context.writes)) == 200 * 251
    assert max(map(len, context.writes)) <= limit, max(map(len, context.writes))
    assert all(data.endswith(b"\n") for data in context.writes)


@then("no call has blocked and the lines left out are counted")
def check_not_blocked(context):
    assert context.took_s < 20.0, context.took_s
    assert context.stream.left_out_count > 0


@then("after the reader comes back the count is written")
def check_count_written(context):
    text = b""
    for _ in range(100):
        text += os.read(context.read_end, 1 << 16)
        context.stream.pump()
        if b"log lines left out" in text:
            return
    raise AssertionError(text[-200:])


class RejectingLog:
    """A log that rejects appends and counts them."""

    def __init__(self):
        self.appends_count = 0

    async def append(self, topic, records, *, timeout_s, writer=None):
        """Reject."""
        self.appends_count += 1
        return AppendRejected("down")


@given("a log that rejects appends")
def rejecting(context):
    context.log = RejectingLog()


@when("a daemon stands for scheduler")
def stand(context):
    metrics = WorkflowMetrics(CollectorRegistry())
    writer = JournalWriter(context.log, 70000, lambda *row: None, metrics)
    tenure = TenureRecord(holder="vm-1#1", epoch=70000, ordinal=1)
    append = writer.append([tenure], give_up=True)
    context.result = asyncio.run(asyncio.wait_for(append, 5.0))


@then("its try ends with the rejection after one append")
def check_gave_up(context):
    assert isinstance(context.result, AppendRejected)
    assert context.log.appends_count == 1


def tenures(offsets):
    """Return rows with records that are always taken up."""
    return tuple(
        (offset, stored(TenureRecord(holder="b#1", epoch=5, ordinal=offset))) for offset in offsets
    )


@when("a read returns records up to offset {last:d} of a journal that ends at {end:d}")
def read_part(context, last, end):
    context.log.rows = tenures(range(3, last + 1))
    asyncio.run(context.reader._read(0.0))


@when("the rest is read")
def read_rest(context):
    context.log.rows = tenures(range(3, 9))
    asyncio.run(context.reader._read(0.0))


@then("its state is not current")
def check_not_current(context):
    assert not context.reader.current


@then("its state is current")
def check_current(context):
    assert context.reader.current


@when("its reads succeed and then fail")
def read_then_fail(context):
    async def fail(topic, offset, *, wait_s):
        return ReadFailed("down")

    context.log.rows = tenures(range(3, 9))
    asyncio.run(context.reader._read(0.0))
    context.followed = [context.reader.follows]
    context.log.read = fail
    asyncio.run(context.reader._read(0.0))
    context.followed.append(context.reader.follows)


@then("it follows the journal after the first read only")
def check_follows(context):
    assert context.followed == [True, False], context.followed


class RepeatingWorker:
    """A worker that lists the same ends until they are acknowledged."""

    def __init__(self):
        self.incarnation = 0
        self.ended = ()
        self.asked_count = 0

    def begin_life(self, ends_count):
        """Start anew with some ends."""
        self.incarnation += 1
        step = StepName("a", 0, 0)
        self.ended = tuple(
            ListedEnd(
                serial=number + 1,
                task=TaskName(step, number),
                number=1,
                kind=EndKind.DONE,
                checkpoint="",
            )
            for number in range(ends_count)
        )

    async def hold(self, info, **options):
        """Return the lists."""
        self.asked_count += 1
        return Lists(incarnation=self.incarnation, running=(), ended=self.ended)


@given("a worker with {count:d} ends and a log that does not answer")
def repeating_worker(context, count):
    context.worker = RepeatingWorker()
    context.worker.begin_life(count)
    context.metrics = WorkflowMetrics(CollectorRegistry())
    context.lines = []

    async def flush():
        await asyncio.sleep(60)

    context.session = WorkerSession(
        WorkerInfo(
            worker_id="w-1",
            incarnation=1,
            address="",
            service="s",
            domain="a",
            labels=frozenset(),
            capacity=ResourceVector(1000, 1000),
        ),
        epoch=1,
        gateway=context.worker,
        observe=lambda event: None,
        flush=flush,
        stale=lambda worker_id: None,
        may_renew=lambda: True,
        metrics=context.metrics,
    )


def ask_repeatedly(context, count):
    async def run():
        task = asyncio.create_task(context.session.run())
        target_count = context.worker.asked_count + count
        while context.worker.asked_count < target_count and not task.done():
            await asyncio.sleep(0.01)
        assert not task.done(), task.exception()
        task.cancel()

    logger = logging.getLogger("fireflywharf_daemon.workflows._sessions")
    with (
        unittest.mock.patch("fireflywharf_daemon.workflows._sessions._FLUSH_S", 0.02),
        unittest.mock.patch.object(logger, "info", lambda *row, **_: context.lines.append(row[0])),
    ):
        asyncio.run(run())


@when("the scheduler has asked the worker {count:d} times")
def ask_worker(context, count):
    ask_repeatedly(context, count)


@when("the worker starts anew and has {count:d} ends")
def start_anew(context, count):
    context.worker.begin_life(count)
    ask_repeatedly(context, 3)


@then("{count:d} ends are counted and logged")
def check_ends(context, count):
    assert context.metrics.ends.labels("done")._value.get() == count
    assert context.lines.count("run ended") == count, context.lines
