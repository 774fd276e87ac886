"""Steps for the sessions of the workflow scheduler with workers."""

import asyncio
import logging
import time
import unittest.mock

from behave import given, then, when
from prometheus_client import CollectorRegistry
from workflow_resilience_steps import WORKER, OneAnswerHttp

from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.workflows import (
    EndKind,
    ReportedEnd,
    StartRun,
    StepName,
    TaskName,
    WorkerInfo,
)
from fireflywharf_daemon.workflows import (
    WorkerReport,
    WorkflowMetrics,
)
from fireflywharf_daemon.workflows._sessions import WorkerSession
from fireflywharf_platform._workers import WorkerClient


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
        find_lease_s=lambda: 6.0,
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


class ForgettingWorker(RepeatingWorker):
    """Worker that forgets acknowledged ends."""

    async def poll_worker(self, info, *, acknowledged, **options):
        """Forget the acknowledged ends and report the others."""
        await asyncio.sleep(0.005)
        self.ended = tuple(end for end in self.ended if end.serial > acknowledged)
        return await super().poll_worker(info, **options)


@given("a worker whose {count:d} ends are durable and acknowledged")
def acknowledge_ends(context, count):
    add_repeating_worker(context, count)
    context.worker = ForgettingWorker()
    context.worker.restart(count)
    context.events = []

    async def flush():
        return True

    context.session._gateway = context.worker
    context.session._flush = flush
    context.session._observe = context.events.append
    poll_repeatedly(context, 4)
    assert not context.worker.ended, context.worker.ended


@when("it restarts and {count:d} runs end before the next poll")
def restart_with_ends(context, count):
    context.events.clear()
    context.worker.restart(count)
    poll_repeatedly(context, 3)


@then("the scheduler gets the {count:d} ends")
def check_reported_ends(context, count):
    serials = {end.serial for event in context.events for end in event.ended}
    assert len(serials) == count, context.events


@given("a worker client that knows the clock of a worker")
def create_client_with_clock(context):
    context.http = OneAnswerHttp({"clock_ms": 50_000, "born": 1})
    context.client = WorkerClient(context.http)
    poll = context.client.poll_worker(WORKER, epoch=1, acknowledged=0, wait_s=0.0, lease_s=0.0)
    asyncio.run(poll)
    context.read_s = time.monotonic()


@when("a start that was decided {seconds:g} s ago is sent")
def send_delayed_start(context, seconds):
    context.decided_s = time.monotonic() - seconds
    order = StartRun(
        worker_id="w0",
        task=TaskName(StepName("a", 0, 0), 0),
        number=1,
        payload="",
        checkpoint="",
        ticket="",
        ordered_s=context.decided_s,
    )
    asyncio.run(context.client.start(WORKER, order, 1))


@when("a poll with a renewal that was decided {seconds:g} s ago is sent")
def send_delayed_poll(context, seconds):
    context.decided_s = time.monotonic() - seconds
    options = {"epoch": 1, "acknowledged": 0, "wait_s": 0.0, "lease_s": 6.0}
    poll = context.client.poll_worker(WORKER, asked_s=context.decided_s, **options)
    asyncio.run(poll)


@then("its deadline is {ahead_s:g} s ahead of the worker's clock at the decision")
def check_deadline(context, ahead_s):
    clock_at_decision_ms = 50_000 + (context.decided_s - context.read_s) * 1000
    deadline_ms = context.http.requests[-1]["deadline_ms"]
    assert abs(deadline_ms - clock_at_decision_ms - ahead_s * 1000) < 100, deadline_ms
