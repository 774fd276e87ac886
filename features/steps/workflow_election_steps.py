"""Steps for the election of the workflow scheduler."""

import asyncio
import random
import time
import unittest.mock

from behave import given, then, when
from prometheus_client import CollectorRegistry
from workflow_support import make_job_record

from fireflywharf_core.workflows import (
    TenureRecord,
    VmPresent,
)
from fireflywharf_daemon.workflows import (
    Appended,
    AppendRejected,
    AppendUncertain,
    WorkflowMetrics,
)
from fireflywharf_daemon.workflows._election import Election, JournalWriter

STEP_S = 0.05


class SerialLog:
    """Log that executes one append after the other, each in `append_s` seconds."""

    def __init__(self, append_s):
        self.append_s = append_s
        self.turn = None
        self.end = 0

    async def append(self, topic, records, *, timeout_s, writer=None):
        """Append when all earlier appends are done, or time out."""
        self.turn = self.turn or asyncio.Lock()
        try:
            async with asyncio.timeout(timeout_s), self.turn:
                await asyncio.sleep(self.append_s)
        except TimeoutError:
            return AppendUncertain("no answer in time")
        self.end += len(records)
        return Appended(self.end - len(records))


def make_vm_presence(name, incarnation="", **size):
    """Return the presence record of a VM."""
    return VmPresent(vm=name, incarnation=incarnation or f"{name}#1", address="", **size)


@given("a daemon that received records of the scheduler every {gap_s:g} s")
def receive_records_every(context, gap_s):
    context.now_s = 10.0
    context.election = Election(make_vm_presence("vm-1", "vm-1#2"), random.Random(1), dict)
    for renewal in range(8):
        record = TenureRecord(holder="vm-2#1", epoch=70000, ordinal=1, renewal=renewal)
        context.election.observe(record, context.now_s)
        context.now_s += gap_s
    context.now_s -= gap_s


@when("the scheduler is silent for {silence_s:g} s while the log {state}")
def stay_silent(context, silence_s, state):
    end_s = context.now_s + silence_s
    context.has_stood = False
    while context.now_s < end_s:
        context.now_s += STEP_S
        if state == "cannot be read":
            context.election.record_outage(context.now_s)
        context.has_stood = context.has_stood or context.election.is_due(context.now_s)


@then("the daemon stands for election")
def check_stands(context):
    assert context.has_stood


@then("the daemon does not stand for election")
def check_does_not_stand(context):
    assert not context.has_stood


@when("a daemon starts on the VM of the scheduler")
def start_on_vm_of_scheduler(context):
    context.election = Election(make_vm_presence("vm-1", "vm-1#2"), random.Random(1), dict)
    context.election.observe(TenureRecord(holder="vm-1#1", epoch=70000, ordinal=1), 1.0)


@then("it stands for election at once")
def check_stands_at_once(context):
    assert context.election.is_due(1.0)


@when("the scheduler resigns")
def resign_scheduler(context):
    record = TenureRecord(holder="vm-2#1", epoch=70000, ordinal=1, resigned=True)
    context.election.observe(record, context.now_s)


@then("the daemon stands for election within {seconds:g} s")
def check_stands_within(context, seconds):
    assert context.election.is_due(context.now_s + seconds)


@given(
    "{large:d} VMs of 2.1 processors and {small:d} of half a processor with a tenth of the"
    " bandwidth"
)
def make_vms_of_two_sizes(context, large, small):
    names = [f"large-{number}" for number in range(large)]
    context.vms = {
        name: make_vm_presence(name, processors_millicores=2150, link_mbps=200.0) for name in names
    }
    names = [f"small-{number}" for number in range(small)]
    context.vms |= {
        name: make_vm_presence(name, processors_millicores=516, link_mbps=20.0) for name in names
    }


@when(
    "their scheduler dies, they notice it within {notice_s:g} s, and a record is read after "
    "{read_s:g} s"
)
def run_elections(context, notice_s, read_s):
    """Simulate 50 deaths; every candidate reads the records that are older than `read_s`."""
    context.accepted_by_death = []
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
        context.accepted_by_death.append(simulate_election(elections, read_s))


def simulate_election(elections, read_s):
    """Return the tenures that a log accepts until none is accepted for one second."""
    accepted = []
    now_s = 0.0
    while not accepted or now_s < accepted[-1][0] + 1.0:
        now_s += STEP_S
        for election in elections:
            for appended_s, record in accepted:
                if appended_s + read_s <= now_s and record.epoch > election.latest.epoch:
                    election.observe(record, now_s)
            if election.is_due(now_s):
                tenure = election.next_tenure()
                if not accepted or tenure.epoch > accepted[-1][1].epoch:
                    accepted.append((now_s, tenure))
                election.record_activity(now_s)
    return [record for _, record in accepted]


@then("the first or second candidate stays scheduler")
def check_few_candidates(context):
    counts = [len(accepted) for accepted in context.accepted_by_death]
    assert max(counts) <= 2, counts


@then("the scheduler is one of the large VMs")
def check_large(context):
    holders = [accepted[-1].holder for accepted in context.accepted_by_death]
    assert all(holder.startswith("large-") for holder in holders), holders


@when("the boot time advances by {seconds:d} s after an append and the monotonic time does not")
def suspend_vm(context, seconds):
    metrics = WorkflowMetrics(CollectorRegistry())
    writer = JournalWriter(SerialLog(0.0), 70000, lambda *row: None, metrics)
    asyncio.run(writer.append([make_job_record("a")]))
    shifted = time.clock_gettime(time.CLOCK_BOOTTIME) + seconds
    with unittest.mock.patch("time.clock_gettime", return_value=shifted):
        context.age_s = writer.confirmation_age_s


@then("the latest confirmation of the tenure is at least {seconds:d} s old")
def check_confirmation(context, seconds):
    assert context.age_s >= seconds, context.age_s


@when("the process is paused for {seconds:d} s while the answer of an append waits")
def pause_during_append(context, seconds):
    clock = unittest.mock.Mock(return_value=100.0)

    class PausedLog(SerialLog):
        """Log whose answers are read after a pause."""

        async def append(self, *row, **options):
            """Append, then let the pause pass."""
            result = await super().append(*row, **options)
            clock.return_value += seconds
            return result

    metrics = WorkflowMetrics(CollectorRegistry())
    with unittest.mock.patch("time.clock_gettime", clock):
        writer = JournalWriter(PausedLog(0.0), 70000, lambda *row: None, metrics)
        asyncio.run(writer.append([make_job_record("a")]))
        context.age_s = writer.confirmation_age_s


@when("an append gets no answer for {seconds:d} s and the log answers its repetition")
def repeat_append(context, seconds):
    clock = unittest.mock.Mock(return_value=100.0)

    class ForgetfulLog(SerialLog):
        """Log whose first answer is lost."""

        answers_count = 0

        async def append(self, *row, **options):
            """Append; answer only a repetition."""
            result = await super().append(*row, **options)
            self.answers_count += 1
            if self.answers_count > 1:
                return result
            clock.return_value += seconds
            return AppendUncertain("no answer in time")

    metrics = WorkflowMetrics(CollectorRegistry())
    with unittest.mock.patch("time.clock_gettime", clock):
        writer = JournalWriter(ForgetfulLog(0.0), 70000, lambda *row: None, metrics)
        asyncio.run(writer.append([make_job_record("a")]))
        context.age_s = writer.confirmation_age_s


@when("{count:d} daemons stand for election after the same tenure")
def make_many_candidates(context, count):
    context.epochs = []
    for number in range(count):
        election = Election(make_vm_presence(f"vm-{number}"), random.Random(number), dict)
        election.observe(TenureRecord(holder="vm-x#1", epoch=70000, ordinal=1), 1.0)
        context.epochs.append(election.next_tenure().epoch)


@then("all their epochs are higher than that of the tenure and no two are equal")
def check_epochs(context):
    assert min(context.epochs) > 70000
    assert len(set(context.epochs)) == len(context.epochs)


class RejectingLog:
    """Log that rejects all appends and counts them."""

    def __init__(self):
        self.appends_count = 0

    async def append(self, topic, records, *, timeout_s, writer=None):
        """Reject the append."""
        self.appends_count += 1
        return AppendRejected("down")


@given("a log that rejects appends")
def create_rejecting_log(context):
    context.log = RejectingLog()


@when("a daemon stands for election")
def stand_for_election(context):
    metrics = WorkflowMetrics(CollectorRegistry())
    writer = JournalWriter(context.log, 70000, lambda *row: None, metrics)
    tenure = TenureRecord(holder="vm-1#1", epoch=70000, ordinal=1)
    append = writer.append([tenure], fail_fast=True)
    context.result = asyncio.run(asyncio.wait_for(append, 5.0))


@then("its candidacy ends with the rejection after one append")
def check_candidacy_ended(context):
    assert isinstance(context.result, AppendRejected)
    assert context.log.appends_count == 1
