"""Steps for the acknowledgement of ended runs in sessions with workers."""

import asyncio
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


async def run_session(info, gateway, is_over):
    """Run a session whose events are durable at once until `is_over` returns true."""

    async def flush():
        return True

    session = WorkerSession(
        info,
        epoch=1,
        gateway=gateway,
        observe=lambda event: None,
        flush=flush,
        on_fenced=lambda worker_id: None,
        may_renew=lambda: True,
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


@then('the polls acknowledge "{numbers}"')
def check_acknowledged(context, numbers):
    expected = [int(number) for number in numbers.split()]
    assert context.polls.acknowledged == expected, context.polls.acknowledged


class RestartingWorker:
    """Server whose first connection leads to one process, and all others to the next one.

    Args:
        ends_count: number of ends that the first process reports.
        answers_once: whether the first process closes its connection right after its report, and
            not when the next poll arrives.
    """

    def __init__(self, ends_count, answers_once):
        self.ends_count = ends_count
        self.answers_once = answers_once
        self.connections_count = 0
        self.polls = {EARLIER: [], LATER: []}

    async def serve(self, reader, writer):
        """Answer the polls on a connection."""
        self.connections_count += 1
        incarnation = EARLIER if self.connections_count == 1 else LATER
        polls = self.polls[incarnation]
        try:
            while True:
                polls.append(await self._read_poll(reader))
                if incarnation == EARLIER and len(polls) > 1:
                    break
                writer.write(self._make_answer(incarnation))
                await writer.drain()
                if incarnation == EARLIER and self.answers_once:
                    break
        except asyncio.IncompleteReadError:
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


@given("a worker that reports {count:d} ends over its first connection")
def describe_restarting_worker(context, count):
    context.ends_count = count


@when("it closes that connection {time} and a new process answers all others")
def run_restarting_worker(context, time):
    worker = RestartingWorker(context.ends_count, answers_once=time == "after its report")
    context.polls_by_process = worker.polls

    async def run():
        http = HttpClient(4)
        await http.open()
        server = await asyncio.start_server(worker.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        info = attrs.evolve(WORKER, address=f"127.0.0.1:{port}")
        try:
            await run_session(info, WorkerClient(http, 6.0), lambda: worker.polls[LATER])
        finally:
            server.close()
            await http.close()

    asyncio.run(run())


@then("the first poll that the new process gets acknowledges nothing")
def check_first_poll(context):
    polls = context.polls_by_process
    assert not polls[LATER][0].get("acknowledged"), polls
