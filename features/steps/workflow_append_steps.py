"""Steps for appends to the journal."""

import asyncio
import time

from behave import given, then, when
from prometheus_client import CollectorRegistry
from workflow_support import job_record

from fireflywharf_core.workflows import (
    VmPresent,
)
from fireflywharf_daemon.workflows import (
    Appended,
    AppendRejected,
    AppendUncertain,
    Topic,
    WorkflowMetrics,
)
from fireflywharf_daemon.workflows._election import JournalWriter
from fireflywharf_daemon.workflows._journal import AppendTimeouts, GroupAppender


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
    times = AppendTimeouts()
    for _ in range(count):
        times.observe(took_s)
    context.attempt_s = times.predict(unanswered)


@then("the next attempt lasts {wait_s:g} s")
def check_attempt(context, wait_s):
    assert abs(context.attempt_s - wait_s) < 0.01, context.attempt_s
