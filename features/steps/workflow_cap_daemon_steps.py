"""Steps for the messages by which a daemon tells its scheduler of the teams."""

import asyncio

from behave import given, then, when
from prometheus_client import CollectorRegistry
from workflow_partition_steps import MemoryLog
from workflow_team_world import make_team

from fireflywharf_core.workflows import Configuration, Timing, VmPresent
from fireflywharf_daemon.workflows import PlatformServices, WorkflowDaemon, WorkflowMetrics


class QueuedConfiguration:
    """Source of the configuration that returns queued versions of the teams."""

    complete_s = 0.0

    def __init__(self):
        self.versions = asyncio.Queue()
        self.count = 0

    def put(self, *teams):
        """Queue a version."""
        self.count += 1
        self.versions.put_nowait(Configuration(version=self.count, queues=(), teams=teams))

    async def next_version(self, known):
        """Return the next version."""
        return await self.versions.get()


async def wait_until(holds, timeout_s):
    """Wait until a condition holds."""
    async with asyncio.timeout(timeout_s):
        while not holds():
            await asyncio.sleep(0.01)


async def observe_teams(context):
    """Run a daemon over three versions of the teams, and note what its scheduler knows."""
    source = QueuedConfiguration()
    services = PlatformServices(
        log=MemoryLog(1),
        directory=None,
        configuration=source,
        workers=None,
        approvals=None,
    )
    presence = VmPresent(vm="vm-1", incarnation="vm-1#1", address="127.0.0.1:1")
    metrics = WorkflowMetrics(CollectorRegistry())
    daemon = WorkflowDaemon(presence, services, Timing(), metrics)
    for loop in (daemon.reader.run, daemon._configuration_loop):
        daemon._background.spawn_loop(loop)
    source.put(make_team("t", 6000))
    source.put(make_team("u"))
    await wait_until(source.versions.empty, 2.0)
    daemon._background.spawn_loop(daemon._election_loop)
    await wait_until(lambda: daemon.active_scheduler is not None, 10.0)
    ledger = daemon.active_scheduler.scheduler.ledger
    context.listed = ledger.listed_teams
    context.first_cap = ledger.accounts["t"].quota.processors_millicores
    source.put(make_team("t", 2000))
    await wait_until(lambda: ledger.accounts["t"].quota.processors_millicores == 2000, 1.0)
    context.was_applied = True
    await daemon.active_scheduler.close()
    await daemon._background.close()


@given("a daemon that has read a cap of 6 processors for team t, and then its removal")
def prepare_daemon(context):
    context.was_applied = False


@when("the daemon becomes scheduler")
def run_daemon(context):
    asyncio.run(asyncio.wait_for(observe_teams(context), 20.0))


@then("its scheduler applies the cap of 6 processors to the team, which is not listed")
def check_first_cap(context):
    assert context.first_cap == 6000, context.first_cap
    assert context.listed == {"u"}, context.listed


@then("it applies a cap of 2 processors within 1 s of reading the version that sets it")
def check_second_cap(context):
    assert context.was_applied


class SilentConfiguration(QueuedConfiguration):
    """Source whose first read gets no answer."""

    reads_count = 0

    async def next_version(self, known):
        """Return the next version, but not to the first read."""
        self.reads_count += 1
        if self.reads_count == 1:
            await asyncio.Event().wait()
        return await self.versions.get()


async def read_after_return(context):
    """Run a daemon whose read of the configuration gets no answer until the log returns."""
    source = SilentConfiguration()
    source.put(make_team("t"))
    services = PlatformServices(
        log=MemoryLog(1), directory=None, configuration=source, workers=None, approvals=None
    )
    presence = VmPresent(vm="vm-1", incarnation="vm-1#1", address="127.0.0.1:1")
    daemon = WorkflowDaemon(presence, services, Timing(), WorkflowMetrics(CollectorRegistry()))
    daemon._background.spawn_loop(daemon._configuration_loop)
    await wait_until(lambda: source.reads_count == 1, 1.0)
    daemon.reader.on_return()
    await wait_until(lambda: daemon.workflow_service.configuration is not None, 0.25)
    context.was_applied = True
    await daemon._background.close()


@when("a read of the configuration gets no answer and the log answers again")
def run_silent_read(context):
    context.was_applied = False
    asyncio.run(asyncio.wait_for(read_after_return(context), 5.0))


@then("the newest version is applied within 0.25 s")
def check_applied(context):
    assert context.was_applied
