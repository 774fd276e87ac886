"""Steps for the journal that every daemon reads."""

import asyncio

from behave import given, then, when
from workflow_support import encode_log_record, make_job_record

from fireflywharf_core.workflows import (
    TenureRecord,
)
from fireflywharf_daemon.workflows import (
    ReadFailed,
    ReadRecords,
)
from fireflywharf_daemon.workflows._journal import JournalReader


class PresetLog:
    """Log whose reads return the rows that a scenario has set."""

    def __init__(self):
        self.rows = ()

    async def read(self, topic, offset, *, wait_s):
        """Return the rows from an offset on, of a log that ends at offset 9."""
        return ReadRecords(9, tuple(row for row in self.rows if row[0] >= offset))


@given("a daemon that has read the journal up to offset {offset:d}")
def create_reader_at(context, offset):
    context.applied_records = []
    context.log = PresetLog()
    context.reader = JournalReader(context.log, lambda *row: context.applied_records.append(row))
    context.reader.loaded = True
    context.reader.offset = offset


@when("it is notified of a job with offset {offset:d}")
def notify_of_job(context, offset):
    context.record = encode_log_record(make_job_record("a"))
    context.reader.add_early_record(offset, context.record)


@then("it does not know the job")
def check_unknown(context):
    assert not context.reader.journal_state.jobs


@when("the record with offset {offset:d} is a tenure of another daemon and is read")
def read_tenure(context, offset):
    tenure = TenureRecord(holder="b#1", epoch=5, ordinal=1)
    context.log.rows = ((offset, encode_log_record(tenure)),)
    asyncio.run(context.reader._read(0.0))


@then("it knows the other tenure and the job")
def check_order(context):
    kinds = [type(record).__name__ for record, _ in context.applied_records]
    assert kinds == ["TenureRecord", "WorkflowAccepted"], kinds


@when("the record with offset {offset:d} is read")
def read_again(context, offset):
    context.log.rows = ((offset, context.record),)
    asyncio.run(context.reader._read(0.0))


@then("its listener was called once")
def check_once(context):
    assert len(context.applied_records) == 1, context.applied_records


class StuckLog(PresetLog):
    """Log that answers no read, or only those that do not wait."""

    def __init__(self, waiting_only):
        super().__init__()
        self.waiting_only = waiting_only

    async def read(self, topic, offset, *, wait_s):
        """Return the rows, unless this kind of read gets no answer."""
        if wait_s > 0 or not self.waiting_only:
            await asyncio.sleep(60)
        return await super().read(topic, offset, wait_s=wait_s)


@when("it reads without waiting from a log that {kind}")
def read_at_once(context, kind):
    if kind != "holds the tenure of another daemon":
        context.log = context.reader._log = StuckLog(kind.endswith("pending read"))
    tenure = TenureRecord(holder="b#1", epoch=5, ordinal=1)
    context.log.rows = ((3, encode_log_record(tenure)),)

    async def read():
        waiting = asyncio.create_task(context.reader._read(1.0))
        context.answered = await context.reader.read_now(0.05)
        waiting.cancel()

    asyncio.run(read())


@then("the read {succeeds} and the daemon {knows} the new scheduler")
def check_read(context, succeeds, knows):
    assert context.answered == (succeeds == "succeeds")
    assert (context.reader.journal_state.tenure is not None) == (knows == "knows")


def make_tenure_rows(offsets):
    """Return a row with a tenure record for each offset."""
    return tuple(
        (offset, encode_log_record(TenureRecord(holder="b#1", epoch=5, ordinal=offset)))
        for offset in offsets
    )


@when("a read returns records up to offset {last:d} of a journal that ends at {end:d}")
def read_part(context, last, end):
    context.log.rows = make_tenure_rows(range(3, last + 1))
    asyncio.run(context.reader._read(0.0))


@when("the remaining records are read")
def read_rest(context):
    context.log.rows = make_tenure_rows(range(3, 9))
    asyncio.run(context.reader._read(0.0))


@then("its state is not current")
def check_not_current(context):
    assert not context.reader.is_current


@then("its state is current")
def check_current(context):
    assert context.reader.is_current


@when("its reads succeed and then fail")
def read_then_fail(context):
    async def fail(topic, offset, *, wait_s):
        return ReadFailed("down")

    context.log.rows = make_tenure_rows(range(3, 9))
    asyncio.run(context.reader._read(0.0))
    context.was_following = [context.reader.is_following]
    context.log.read = fail
    asyncio.run(context.reader._read(0.0))
    context.was_following.append(context.reader.is_following)


@then("it follows the journal after the first read only")
def check_follows(context):
    assert context.was_following == [True, False], context.was_following
