"""Steps for the sessions of the workflow scheduler with workers."""

import asyncio
import logging
import unittest.mock

from behave import given, then, when
from prometheus_client import CollectorRegistry

from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.workflows import (
    EndKind,
    ReportedEnd,
    StepName,
    TaskName,
    WorkerInfo,
)
from fireflywharf_daemon.workflows import (
    WorkerReport,
    WorkflowMetrics,
)
from fireflywharf_daemon.workflows._sessions import WorkerSession


class RepeatingWorker:
    """Worker that reports the same ends at every poll."""

    def __init__(self):
        self.incarnation = 0
        self.ended = ()
        self.polls_count = 0

    def restart(self, ends_count):
        """Restart with a number of new ends."""
        self.incarnation += 1
        step = StepName("a", 0, 0)
        self.ended = tuple(
            ReportedEnd(
                serial=number + 1,
                task=TaskName(step, number),
                number=1,
                kind=EndKind.DONE,
                checkpoint="",
            )
            for number in range(ends_count)
        )

    async def poll_worker(self, info, **options):
        """Return the report of the worker."""
        self.polls_count += 1
        return WorkerReport(incarnation=self.incarnation, running=(), ended=self.ended)


@given("a worker with {count:d} ends and a log that does not answer")
def add_repeating_worker(context, count):
    context.worker = RepeatingWorker()
    context.worker.restart(count)
    context.metrics = WorkflowMetrics(CollectorRegistry())
    context.logged_messages = []

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
        on_fenced=lambda worker_id: None,
        may_renew=lambda: True,
        metrics=context.metrics,
    )


def poll_repeatedly(context, count):
    async def run():
        task = asyncio.create_task(context.session.run())
        target_count = context.worker.polls_count + count
        while context.worker.polls_count < target_count and not task.done():
            await asyncio.sleep(0.01)
        assert not task.done(), task.exception()
        task.cancel()

    logger = logging.getLogger("fireflywharf_daemon.workflows._sessions")
    with (
        unittest.mock.patch("fireflywharf_daemon.workflows._sessions._FLUSH_S", 0.02),
        unittest.mock.patch.object(
            logger, "info", lambda *row, **_: context.logged_messages.append(row[0])
        ),
    ):
        asyncio.run(run())


@when("the scheduler has polled the worker {count:d} times")
def poll_worker_repeatedly(context, count):
    poll_repeatedly(context, count)


@when("the worker restarts and has {count:d} ends")
def restart_worker(context, count):
    context.worker.restart(count)
    poll_repeatedly(context, 3)


@then("{count:d} ends are counted and logged")
def check_ends(context, count):
    assert context.metrics.ends.labels("done")._value.get() == count
    assert context.logged_messages.count("run ended") == count, context.logged_messages
