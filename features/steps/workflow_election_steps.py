"""Steps for the election of the scheduler."""

import asyncio
import random
import time
import unittest.mock

from behave import given, then, when
from prometheus_client import CollectorRegistry
from workflow_support import job_record

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
            context.election.record_outage(context.now_s)
        context.stood = context.stood or context.election.is_due(context.now_s)


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
    assert context.election.is_due(1.0)


@when("the scheduler resigns")
def resign(context):
    record = TenureRecord(holder="vm-2#1", epoch=70000, ordinal=1, resigned=True)
    context.election.observe(record, context.now_s)


@then("the daemon stands within {seconds:g} s")
def check_soon(context, seconds):
    assert context.election.is_due(context.now_s + seconds)


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
            if election.is_due(now_s):
                tenure = election.next_tenure()
                if not accepted or tenure.epoch > accepted[-1][1].epoch:
                    accepted.append((now_s, tenure))
                election.record_activity(now_s)
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
    append = writer.append([tenure], fail_fast=True)
    context.result = asyncio.run(asyncio.wait_for(append, 5.0))


@then("its try ends with the rejection after one append")
def check_gave_up(context):
    assert isinstance(context.result, AppendRejected)
    assert context.log.appends_count == 1
