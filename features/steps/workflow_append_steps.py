"""Steps for appends to the journal and their timeouts."""

import asyncio
import time

from behave import given, then, when
from prometheus_client import CollectorRegistry
from workflow_support import make_job_record

from fireflywharf_core.workflows import (
    VmPresent,
)
from fireflywharf_daemon.workflows import (
    Appended,
    AppendRejected,
    AppendUncertain,
    ReadRecords,
    WorkflowMetrics,
)
from fireflywharf_daemon.workflows._append_timeouts import AppendTimeouts
from fireflywharf_daemon.workflows._appends import JournalAppender
from fireflywharf_daemon.workflows._election import JournalWriter
from fireflywharf_daemon.workflows._journal import JournalReader


class LostAnswerLog:
    """Log that detects repeated sequences and loses the first answer to each append."""

    def __init__(self):
        self.records = []
        self.offset_by_sequence = {}

    async def append(self, topic, records, *, timeout_s, writer=None):
        """Append a new sequence without an answer; answer its repetition with its offset."""
        if writer.sequence not in self.offset_by_sequence:
            self.offset_by_sequence[writer.sequence] = len(self.records)
            self.records += records
            return AppendUncertain("answer lost")
        return Appended(self.offset_by_sequence[writer.sequence])


@given("a log that loses the first answer to each append")
def create_lost_answer_log(context):
    context.log = LostAnswerLog()
    context.notified = []


@when("the scheduler appends {count:d} groups of records")
def append_record_groups(context, count):
    metrics = WorkflowMetrics(CollectorRegistry())
    writer = JournalWriter(context.log, 70000, lambda *row: context.notified.append(row), metrics)

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
    assert [(offset, record.key) for offset, record in context.notified] == list(enumerate(keys))


class RecoveringLog:
    """Log that rejects a number of appends and accepts all later ones."""

    def __init__(self, rejections_count):
        self.rejections_left_count = rejections_count
        self.records = []

    async def append(self, topic, records, *, timeout_s, writer=None):
        """Reject the append, or store its records if no rejections are left."""
        if self.rejections_left_count > 0:
            self.rejections_left_count -= 1
            return AppendRejected("down")
        self.records += records
        return Appended(len(self.records) - len(records))


@when(
    "{count:d} appends have taken {took_s:g} s each"
    " and {unanswered:d} attempts at the next one had no answer"
)
def learn_append_times(context, count, took_s, unanswered):
    times = AppendTimeouts()
    for _ in range(count):
        times.observe(took_s)
    context.attempt_s = times.predict(unanswered)


@then("the timeout of the next attempt is {wait_s:g} s")
def check_attempt(context, wait_s):
    assert abs(context.attempt_s - wait_s) < 0.01, context.attempt_s


class SlowLog(RecoveringLog):
    """Log that answers every call late, and an append that timed out not at all."""

    def __init__(self, read_s, append_s):
        super().__init__(0)
        self.partitions_count = 1
        self.read_s, self.append_s = read_s, append_s

    async def read(self, partition, offset, *, wait_s):
        """Return no records."""
        await asyncio.sleep(self.read_s)
        return ReadRecords(offset, ())

    async def append(self, partition, records, *, timeout_s, writer=None):
        """Store the records; the answer comes within the timeout or not at all."""
        self.records += records
        if self.append_s > timeout_s:
            await asyncio.sleep(timeout_s)
            return AppendUncertain("no answer in time")
        await asyncio.sleep(self.append_s)
        return Appended(0)


@given("a log whose reads take {read_s:g} s and whose appends take {append_s:g} s")
def create_slow_log(context, read_s, append_s):
    context.log = SlowLog(read_s, append_s)


@when("a daemon has read the log {count:d} times and then appends a record")
def read_then_append(context, count):
    async def run():
        times = AppendTimeouts()
        reader = JournalReader(context.log, lambda *row: None, times=times)
        reader.loaded = True
        for _ in range(count):
            await reader.catch_up()
        appender = JournalAppender(context.log, times)
        loop = asyncio.create_task(appender.appenders[0].run())
        await appender.put_record(make_job_record("a"), time.monotonic() + 3.0)
        loop.cancel()

    asyncio.run(run())


@then("the log has received the record once")
def check_appended_once(context):
    assert len(context.log.records) == 1, len(context.log.records)
