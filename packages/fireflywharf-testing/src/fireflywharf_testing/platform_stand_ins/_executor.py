"""Stand-in for an executor, with fencing tokens, leases and a check for overlapping runs."""

from __future__ import annotations

import asyncio
import time

import attrs
from aiohttp import web

MAX_HOLD_S = 6.0
STOP_S = 0.2


@attrs.define(slots=True, eq=False)
class Run:
    """A run of a task in progress.

    Args:
        task: name of the task.
        number: number of the run, which increases with each run of the task.
        started_s: time of the start in seconds.
        ends_s: time in seconds at which the run completes.
    """

    task: str
    number: int
    started_s: float
    ends_s: float


class StandInExecutor:
    """Simulates an executor that runs each task for a fixed time.

    Args:
        executor_id: id of the executor in the store.
        work_s: run time of a task in seconds.

    Attributes:
        born: start of the executor in milliseconds since the epoch of Unix.
        highest_fencing_token: highest fencing token of an accepted call.
        lease_end_s: time in seconds at which the leases of all runs expire.
        runs: present run by task.
        highest_run_numbers: highest number of an ended or stopped run by task.
        unacknowledged_ends: ends reported to the daemon until it acknowledges them.
        ends_count: number of ended runs; the newest end has it as its sequence number.
        history: task, run number and kind of end of each ended run.
        intervals: task, start and end in seconds, and kind of end of each ended run.
        overlaps: tasks for which another run was started while one was running.
    """

    def __init__(self, executor_id: str, work_s: float = 0.2) -> None:
        self.executor_id = executor_id
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.highest_fencing_token = 0
        self.lease_end_s = 0.0
        self.runs: dict[str, Run] = {}
        self.highest_run_numbers: dict[str, int] = {}
        self.unacknowledged_ends: list[list] = []
        self.ends_count = 0
        self.history: list[tuple[str, int, str]] = []
        self.intervals: list[tuple[str, float, float, str]] = []
        self.overlaps: list[str] = []

    def clock_ms(self) -> int:
        """Return the clock of the executor in milliseconds."""
        return int(time.monotonic() * 1000)

    def _end_expired_runs(self) -> None:
        """End the runs that are complete or whose lease has expired."""
        now_s = time.monotonic()
        for run in list(self.runs.values()):
            if now_s >= run.ends_s and run.ends_s <= self.lease_end_s:
                self._end_run(run, "done")
            elif now_s >= self.lease_end_s:
                self._end_run(run, "lapsed")

    def _end_run(self, run: Run, end_kind: str) -> None:
        del self.runs[run.task]
        self.highest_run_numbers[run.task] = max(
            self.highest_run_numbers.get(run.task, 0), run.number
        )
        self.ends_count += 1
        self.unacknowledged_ends.append([self.ends_count, run.task, run.number, end_kind, ""])
        self.history.append((run.task, run.number, end_kind))
        # Expired runs are detected late; they end when they were due, not at this call.
        now_s = time.monotonic()
        end_s = {"done": run.ends_s, "lapsed": min(now_s, self.lease_end_s)}.get(end_kind, now_s)
        self.intervals.append((run.task, run.started_s, end_s, end_kind))

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one HTTP request."""
        if request.headers.get("X-Fireflywharf-Expected-Instance") != self.executor_id:
            return web.Response(status=421)
        body = await request.json()
        self._end_expired_runs()
        if body.get("fencing_token", 0) < self.highest_fencing_token:
            return self._answer(409, {"reason": "fence"})
        self.highest_fencing_token = body.get("fencing_token", 0)
        match request.path.rpartition("/")[2]:
            case "run-start":
                return self._start_run(body)
            case "run-stop":
                run = self.runs.get(body["task"])
                if run is not None and run.number == body["run"]:
                    self._end_run(run, "stopped")
                self.highest_run_numbers[body["task"]] = max(
                    self.highest_run_numbers.get(body["task"], 0), body["run"]
                )
                return self._answer(200, {})
            case "hold":
                return await self._handle_hold(body)
        return web.Response(status=404)

    def _renew_lease(self, deadline_ms: int) -> None:
        left_s = (deadline_ms - self.clock_ms()) / 1000.0
        self.lease_end_s = max(self.lease_end_s, time.monotonic() + min(left_s, MAX_HOLD_S))

    def _answer(self, status: int, body: dict) -> web.Response:
        body = {"clock_ms": self.clock_ms(), "born": self.born, **body}
        return web.json_response(body, status=status)

    def _start_run(self, body: dict) -> web.Response:
        """Start a run, unless it is late, a repeat or older than the newest run of its task."""
        task, number = body["task"], body["run"]
        if body["deadline_ms"] < self.clock_ms():
            return self._answer(409, {"reason": "late"})
        self._renew_lease(body["deadline_ms"])
        run = self.runs.get(task)
        if run is not None:
            if run.number != number:
                self.overlaps.append(task)
            return self._answer(200, {})
        if number <= self.highest_run_numbers.get(task, 0):
            return self._answer(409, {"reason": "old"})
        now_s = time.monotonic()
        self.runs[task] = Run(task, number, now_s, now_s + self.work_s)
        return self._answer(200, {})

    async def _handle_hold(self, body: dict) -> web.Response:
        """Renew the lease and answer as soon as a run has ended, or after `wait_ms`."""
        if "deadline_ms" in body:
            self._renew_lease(body["deadline_ms"])
        self.unacknowledged_ends = [
            end for end in self.unacknowledged_ends if end[0] > body.get("acknowledged", 0)
        ]
        limit_s = time.monotonic() + body.get("wait_ms", 0) / 1000.0
        while not self.unacknowledged_ends and time.monotonic() < limit_s:
            await asyncio.sleep(0.01)
            self._end_expired_runs()
        running = [[run.task, run.number, "", 50] for run in self.runs.values()]
        return self._answer(200, {"running": running, "finished": self.unacknowledged_ends})
