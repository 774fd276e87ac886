"""Steps for the reading of a candidate before it becomes scheduler."""

import asyncio

from behave import given, then, when
from prometheus_client import CollectorRegistry
from workflow_partition_steps import MemoryLog

from fireflywharf_core.workflows import (
    TenureRecord,
    Timing,
    VmPresent,
    WorkflowProgress,
    WorkflowState,
    encode_record,
)
from fireflywharf_daemon.workflows import (
    LogRecord,
    PlatformServices,
    ReadExpired,
    ReadRecords,
    WorkflowDaemon,
    WorkflowMetrics,
)

TENURE = TenureRecord(holder="vm-1#1", epoch=70000, ordinal=1)


READ_S = 0.1
DROPPED = VmPresent(vm="vm-2", incarnation="vm-2#1", address="127.0.0.1:2")


class TornLog(MemoryLog):
    """Log without its first record, whose pages lack the progress, but have the tenure after it."""

    async def read(self, partition, offset, *, wait_s):
        """Return the records from an offset on, unless the first of them was dropped."""
        if offset == 0:
            return ReadExpired(1)
        await asyncio.sleep(READ_S)
        return await super().read(partition, offset, wait_s=wait_s)

    async def newest(self, partition):
        """Return the tenure record, and the end that the log had before the progress."""
        return ReadRecords(1, tuple(self.rows[partition.number][2:]))


@given("a log whose history was dropped, and whose pages lack the latest progress")
def create_torn_log(context):
    context.log = TornLog(1)
    progress = WorkflowProgress(job_id="a", state=WorkflowState.RUNNING)
    records = (DROPPED, progress, TENURE)
    context.log.put(0, [LogRecord(*encode_record(record)) for record in records])


@when("a candidate reads up to its own tenure record")
def read_own_tenure(context):
    async def read():
        presence = VmPresent(vm="vm-1", incarnation="vm-1#1", address="127.0.0.1:1")
        services = PlatformServices(
            log=context.log, directory=None, configuration=None, workers=None, approvals=None
        )
        metrics = WorkflowMetrics(CollectorRegistry())
        daemon = WorkflowDaemon(presence, services, Timing(), metrics)
        daemon.reader.loaded = True
        reading = asyncio.create_task(daemon.reader.run())
        is_newest = await daemon._read_own_tenure(TENURE, 2)
        reading.cancel()
        return is_newest, daemon.reader.journal_state

    context.is_newest, context.state = asyncio.run(asyncio.wait_for(read(), 3.0))


@then("it knows the job with this progress")
def check_progress(context):
    assert context.is_newest
    assert "a" in context.state.jobs, context.state.jobs
