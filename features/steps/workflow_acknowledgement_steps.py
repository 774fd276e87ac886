"""Steps for the acknowledgement of ended runs in sessions with workers."""

import asyncio
import contextlib
import functools
import json

import attrs
from behave import given, then, when
from prometheus_client import CollectorRegistry
from workflow_resilience_steps import WORKER

from fireflywharf_core.workflows import EndKind, ReportedEnd, StepName, TaskName
from fireflywharf_daemon.workflows import HttpClient, PollFailed, WorkerReport, WorkflowMetrics
from fireflywharf_daemon.workflows._sessions import WorkerSession
from fireflywharf_platform._workers import WorkerClient

EARLIER, LATER = 1, 2
WAIT_MAX_S = 5.0


def make_report(incarnation, ends_count):
    """Return a report with ends that are numbered from 1."""
    ends = tuple(
        ReportedEnd(number, TaskName(StepName("a", 0, 0), number), 1, EndKind.DONE, "")
        for number in range(1, ends_count + 1)
    )
    return WorkerReport(incarnation=incarnation, running=(), ended=ends)


class ScriptedPolls:
    """Gateway whose polls have the given results, and that keeps what they acknowledge."""

    def __init__(self, results):
        self.results = list(results)
        self.acknowledged = []

    async def poll_worker(self, info, *, acknowledged, **options):
        """Return the next result; without one, wait until the session ends."""
        self.acknowledged.append(acknowledged)
        if not self.results:
            await asyncio.sleep(60)
        return self.results.pop(0)

    def has_received(self, count):
        """Return whether a number of polls were sent."""
        return len(self.acknowledged) >= count


async def run_session(info, gateway, is_over, info_at_flush=None):
    """Run a session whose events are durable at once until `is_over` returns true.

    If `info_at_flush` is given, the session gets this entry while the events become durable.
    """

    async def flush():
        if info_at_flush is not None:
            session.update_info(info_at_flush)
        return True

    session = WorkerSession(
        info,
        epoch=1,
        gateway=gateway,
        observe=lambda event: None,
        flush=flush,
        on_fenced=lambda worker_id: None,
        find_lease_s=lambda: 6.0,
        metrics=WorkflowMetrics(CollectorRegistry()),
    )
    task = asyncio.create_task(session.run())
    async with asyncio.timeout(WAIT_MAX_S):
        while not is_over() and not task.done():
            await asyncio.sleep(0.01)
    assert not task.done(), task.exception()
    task.cancel()


@given("a session with a worker whose first report has {count:d} ends")
def describe_first_report(context, count):
    context.ends_count = count


@when("the next poll fails and then the same process reports its ends again")
def report_same_process(context):
    run_scripted(context, make_report(EARLIER, context.ends_count))


@when("the next poll fails and then a new process reports {count:d} ends")
def report_new_process(context, count):
    run_scripted(context, make_report(LATER, count))


def run_scripted(context, report):
    """Run a session until its poll after the report that follows the failed poll."""
    results = [make_report(EARLIER, context.ends_count), PollFailed("planted"), report]
    context.polls = ScriptedPolls(results)
    polls_count = len(results) + 1
    is_over = functools.partial(context.polls.has_received, polls_count)
    asyncio.run(run_session(WORKER, context.polls, is_over))


@when("the directory shows a new process while they are recorded, which then reports no ends")
def restart_during_flush(context):
    results = [make_report(EARLIER, context.ends_count), make_report(LATER, 0)]
    context.polls = ScriptedPolls(results)
    is_over = functools.partial(context.polls.has_received, len(results) + 1)
    later = attrs.evolve(WORKER, incarnation=LATER)
    asyncio.run(run_session(WORKER, context.polls, is_over, later))


@then('the polls acknowledge "{numbers}"')
def check_acknowledged(context, numbers):
    expected = [int(number) for number in numbers.split()]
    assert context.polls.acknowledged == expected, context.polls.acknowledged


class ClosingWorker:
    """Server whose first connection leads to a process that closes it.

    Args:
        ends_count: number of ends that this process reports.
        closes_early: whether it closes the connection right after its report, and not when the next
            poll arrives.
        next_incarnation: incarnation of the process that answers all other connections.
    """

    def __init__(self, ends_count, closes_early, next_incarnation):
        self.ends_count = ends_count
        self.closes_early = closes_early
        self.next_incarnation = next_incarnation
        self.connections_count = 0
        self.first_polls = []
        self.other_polls = []

    async def serve(self, reader, writer):
        """Answer the polls on a connection."""
        self.connections_count += 1
        is_first = self.connections_count == 1
        polls = self.first_polls if is_first else self.other_polls
        incarnation = EARLIER if is_first else self.next_incarnation
        try:
            while True:
                polls.append(await self._read_poll(reader))
                if is_first and len(polls) > 1:
                    break
                writer.write(self._make_answer(incarnation))
                await writer.drain()
                if is_first and self.closes_early:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    @staticmethod
    async def _read_poll(reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        length = head.partition("content-length:")[2].partition("\r\n")[0]
        return json.loads(await reader.readexactly(int(length)))

    def _make_answer(self, incarnation):
        count = self.ends_count if incarnation == EARLIER else 0
        rows = [
            [number, f"{'a' * 16}.0.0.{number}", 1, "done", ""] for number in range(1, count + 1)
        ]
        body = {"clock_ms": 5, "born": incarnation, "running": [], "finished": rows}
        data = json.dumps(body).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(data)}\r\n\r\n"
        return head.encode() + data

    def acknowledges_ends(self):
        """Return whether a poll on another connection than the first acknowledges the ends."""
        return any(poll.get("acknowledged") == self.ends_count for poll in self.other_polls)


async def run_socket_session(worker, is_over):
    """Run a session over real connections until `is_over` returns true."""

    async def use(info, client):
        await run_session(info, client, is_over)

    await serve_worker(worker, use)


async def serve_worker(worker, use):
    """Serve a worker over real connections while `use` runs with its entry and a client."""
    http = HttpClient(4)
    await http.open()
    server = await asyncio.start_server(worker.serve, "127.0.0.1", 0)
    info = attrs.evolve(WORKER, address=f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
    try:
        await use(info, WorkerClient(http))
    finally:
        server.close()
        await http.close()


@given("a worker that reports {count:d} ends over its first connection")
def describe_closing_worker(context, count):
    context.ends_count = count


@when("it closes that connection {time} and a new process answers all others")
def close_and_restart(context, time):
    closes_early = time == "after its report"
    context.worker = worker = ClosingWorker(context.ends_count, closes_early, LATER)
    asyncio.run(run_socket_session(worker, lambda: worker.other_polls))


@then("the first poll that the new process gets acknowledges nothing")
def check_first_poll(context):
    first = context.worker.other_polls[0]
    assert not first.get("acknowledged"), (context.worker.first_polls, first)


@when("it closes that connection after its report and the same process answers all others")
def close_and_answer(context):
    context.worker = ClosingWorker(context.ends_count, True, EARLIER)
    with contextlib.suppress(TimeoutError):
        asyncio.run(run_socket_session(context.worker, context.worker.acknowledges_ends))


@then("a later poll acknowledges the {count:d} ends")
def check_acknowledged_later(context, count):
    assert context.worker.ends_count == count
    assert context.worker.acknowledges_ends(), context.worker.other_polls[:9]


@when("it closes that connection and another worker at its address is polled before it")
def poll_two_workers(context):
    context.worker = ClosingWorker(context.ends_count, True, LATER)

    async def poll(info, client):
        other = attrs.evolve(info, worker_id="other")
        for polled, acknowledged in ((info, 0), (other, 0), (info, context.ends_count)):
            await client.poll_worker(
                polled, epoch=1, acknowledged=acknowledged, wait_s=0.0, lease_s=6.0
            )
            # The end of the connection has to be read before the next poll.
            await asyncio.sleep(0.05)

    asyncio.run(serve_worker(context.worker, poll))


@then("no poll that the new process gets acknowledges ends")
def check_later_polls(context):
    polls = context.worker.other_polls
    assert len(polls) == 2 and not any(poll["acknowledged"] for poll in polls), polls
