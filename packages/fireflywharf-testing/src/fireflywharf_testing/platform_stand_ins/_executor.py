"""Stand-in for an executor, with fencing tokens, leases and a check for overlapping runs."""

from __future__ import annotations

import asyncio
import json
import time

import attrs
from aiohttp import web

from ._events import EndsAcknowledged, Event, LeaseLapsed, RunEnded, RunStarted
from ._gangs import GangBoard

SERVICE = "svc"

MAX_HOLD_S = 6.0
WAIT_MAX_S = 2.0
GANG_TIMEOUT_S = 3.0
LISTED_ENDS_MAX = 500
CLOCK_OFFSET_S = 1.0
"""Reading of the clock at the start of a process that is not the first under its id."""


@attrs.define(slots=True, eq=False)
class Run:
    """A run of a task in progress.

    Args:
        task: name of the task.
        number: number of the run, which increases with each run of the task.
        started_s: time of the start in seconds.
        ends_s: time in seconds at which the run completes; unused for a member of a gang.
        work_s: run time of the task in seconds.
        members_count: number of tasks of its gang; 0 if it is no member of a gang.
    """

    task: str
    number: int
    started_s: float
    ends_s: float
    work_s: float
    members_count: int = 0


def parse_work(spec: str, default_work_s: float) -> tuple[float, int]:
    """Return run time in seconds and size of the gang that the JSON object of a task names."""
    try:
        fields = json.loads(spec)
    except ValueError:
        fields = None
    if not isinstance(fields, dict):
        return default_work_s, 0
    return float(fields.get("work_s", default_work_s)), int(fields.get("members_count", 0))


class StandInExecutor:
    """Simulates an executor that runs each task for a fixed time, or for the time in its `spec`.

    Args:
        executor_id: id of the executor in the store.
        work_s: run time in seconds of a task whose `spec` names none.
        gangs: members of gangs, shared by all executors of a world.
        events: list to which the executor adds what it sees.

    Attributes:
        life: number of the process under this id.
        clock_rate: speed of the executor's clock.
        forgets_later_ends: whether an acknowledged number also forgets the ends up to it that
            come later in the same life, and not only those that are listed.
        born: start of the process in milliseconds since the epoch of Unix.
        highest_fencing_token: highest fencing token of an accepted call.
        lease_end_s: time in seconds at which the leases of all runs expire.
        runs: present runs by task and number.
        highest_run_numbers: highest number of an ended or stopped run by task.
        unacknowledged_ends: ends reported to the daemon until it acknowledges them.
        highest_acknowledged: highest number of an end that was acknowledged in this life.
        ends_count: number of ended runs; the newest end has it as its sequence number.
        history: task, run number and kind of end of each ended run.
        intervals: task, start and end in seconds, and kind of end of each ended run.
        overlaps: tasks for which another run was started while one was running.
    """

    def __init__(
        self,
        executor_id: str,
        work_s: float = 0.2,
        gangs: GangBoard | None = None,
        events: list[Event] | None = None,
    ) -> None:
        self.executor_id = executor_id
        self.work_s = work_s
        self.gangs = GangBoard() if gangs is None else gangs
        self.events = [] if events is None else events
        self.clock_rate = 1.0
        self.forgets_later_ends = True
        self.life = 0
        self.born = 0
        self._clock_from_s = 0.0
        self.history: list[tuple[str, int, str]] = []
        self.intervals: list[tuple[str, float, float, str]] = []
        self.overlaps: list[str] = []
        self.runs: dict[tuple[str, int], Run] = {}
        self.begin_life()

    def begin_life(self) -> None:
        """Start as a new process that knows nothing of the one before."""
        self.life += 1
        self.born = max(int(time.time() * 1000), self.born + 1)
        if self.life > 1:
            self._clock_from_s = time.monotonic() - CLOCK_OFFSET_S
        self.highest_fencing_token = 0
        self.lease_end_s = 0.0
        self._lease_lapsed = True
        self.highest_run_numbers: dict[str, int] = {}
        self.unacknowledged_ends: list[list] = []
        self.highest_acknowledged = 0
        self.ends_count = 0

    def end_life(self) -> None:
        """End the process at once, with everything that runs on it."""
        self.end_due_runs()
        for run in list(self.runs.values()):
            self._remove_run(run, "gone", time.monotonic(), 0)

    def make_entry(self, address: str, capacity: dict) -> dict:
        """Return the entry of the directory for the present process at an address."""
        return {
            "service": SERVICE,
            "address": address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": capacity,
            "labels": ["a", "r1-1"],
            "born": self.born,
            "sequence": 1,
        }

    def clock_ms(self) -> int:
        """Return the clock of the executor in milliseconds."""
        return int((time.monotonic() - self._clock_from_s) * self.clock_rate * 1000)

    def end_due_runs(self) -> None:
        """End the runs that are complete, broken or whose lease has expired."""
        now_s = time.monotonic()
        for run in list(self.runs.values()):
            if run.members_count:
                self._end_due_member(run, now_s)
            elif now_s >= run.ends_s and run.ends_s <= self.lease_end_s:
                self._end_run(run, "done")
            elif now_s >= self.lease_end_s:
                self._end_run(run, "lapsed")
        if now_s >= self.lease_end_s and not self._lease_lapsed:
            self._lease_lapsed = True
            self.events.append(LeaseLapsed(self.lease_end_s, self.executor_id, self.life))

    def _end_due_member(self, run: Run, now_s: float) -> None:
        gang = self.gangs.find(run.task, run.number)
        if len(gang.present) == run.members_count and gang.ends_s is None:
            gang.ends_s = now_s + run.work_s
        # Members whose gang is done end as done, even if another one is noticed later.
        if gang.ends_s is not None and gang.ends_s <= min(now_s, self.lease_end_s):
            if not gang.broken:
                run.ends_s = gang.ends_s
                self._end_run(run, "done")
                return
        elif now_s >= self.lease_end_s:
            self._end_run(run, "lapsed")
            return
        if gang.broken:
            self._end_run(run, "broken")
        elif gang.ends_s is None and now_s >= run.started_s + GANG_TIMEOUT_S:
            self._end_run(run, "alone")

    def _end_run(self, run: Run, end_kind: str) -> None:
        self.ends_count += 1
        number = self.ends_count
        self.highest_run_numbers[run.task] = max(
            self.highest_run_numbers.get(run.task, 0), run.number
        )
        if number > self.highest_acknowledged or not self.forgets_later_ends:
            self.unacknowledged_ends.append([number, run.task, run.number, end_kind, ""])
        # Expired runs are detected late; they end when they were due, not at this call.
        now_s = time.monotonic()
        end_s = {"done": run.ends_s, "lapsed": min(now_s, self.lease_end_s)}.get(end_kind, now_s)
        self._remove_run(run, end_kind, end_s, number)

    def _remove_run(self, run: Run, end_kind: str, end_s: float, end_number: int) -> None:
        del self.runs[run.task, run.number]
        if run.members_count and end_kind != "done":
            self.gangs.find(run.task, run.number).broken = True
        self.history.append((run.task, run.number, end_kind))
        self.intervals.append((run.task, run.started_s, end_s, end_kind))
        self.events.append(
            RunEnded(end_s, self.executor_id, self.life, run.task, run.number, end_kind, end_number)
        )

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one HTTP request."""
        if request.headers.get("X-Fireflywharf-Expected-Instance") != self.executor_id:
            return web.Response(status=421)
        return await self.execute(request.path.rpartition("/")[2], await request.json())

    async def execute(self, call: str, body: dict) -> web.StreamResponse:
        """Check the fencing token of a call, execute it and return the answer."""
        self.end_due_runs()
        if body.get("fencing_token", 0) < self.highest_fencing_token:
            return self._answer(409, {"reason": "fence"})
        self.highest_fencing_token = body.get("fencing_token", 0)
        match call:
            case "run-start":
                return self._start_run(body)
            case "run-stop":
                return self._stop_run(body["task"], body["run"])
            case "hold":
                return await self._handle_hold(body)
        return web.Response(status=404)

    def _stop_run(self, task: str, number: int) -> web.Response:
        run = self.runs.get((task, number))
        if run is not None:
            self._end_run(run, "stopped")
        self.highest_run_numbers[task] = max(self.highest_run_numbers.get(task, 0), number)
        return self._answer(200, {})

    def _renew_lease(self, deadline_ms: int) -> None:
        left_s = (deadline_ms - self.clock_ms()) / 1000.0
        end_s = time.monotonic() + min(left_s, MAX_HOLD_S) / self.clock_rate
        self.lease_end_s = max(self.lease_end_s, end_s)
        self._lease_lapsed = self.lease_end_s <= time.monotonic()

    def _answer(self, status: int, body: dict) -> web.Response:
        body = {"clock_ms": self.clock_ms(), "born": self.born, **body}
        return web.json_response(body, status=status)

    def _start_run(self, body: dict) -> web.Response:
        """Start a run, unless it is late, a repeat or older than the newest run of its task."""
        task, number = body["task"], body["run"]
        if body["deadline_ms"] < self.clock_ms():
            return self._answer(409, {"reason": "late"})
        self._renew_lease(body["deadline_ms"])
        if (task, number) in self.runs:
            return self._answer(200, {})
        if number <= self.highest_run_numbers.get(task, 0):
            return self._answer(409, {"reason": "old"})
        if any(run.task == task for run in self.runs.values()):
            self.overlaps.append(task)
        now_s = time.monotonic()
        work_s, members_count = parse_work(body.get("spec", ""), self.work_s)
        self.runs[task, number] = Run(task, number, now_s, now_s + work_s, work_s, members_count)
        if members_count:
            self.gangs.find(task, number).present.add(task)
        self.events.append(RunStarted(now_s, self.executor_id, self.life, task, number))
        return self._answer(200, {})

    def _acknowledge(self, number: int) -> None:
        ends = [end for end in self.unacknowledged_ends if end[0] > number]
        if number <= self.highest_acknowledged and len(ends) == len(self.unacknowledged_ends):
            return
        self.highest_acknowledged = max(self.highest_acknowledged, number)
        self.unacknowledged_ends = ends
        self.events.append(EndsAcknowledged(time.monotonic(), self.executor_id, self.life, number))

    def _percent(self, run: Run, now_s: float) -> int:
        """Return the share of the work that a run has done; a gang works once all are present."""
        ends_s = run.ends_s
        if run.members_count:
            ends_s = self.gangs.find(run.task, run.number).ends_s
        if ends_s is None or run.work_s <= 0:
            return 0
        return max(0, min(99, int(100 * (1 - (ends_s - now_s) / run.work_s))))

    async def _handle_hold(self, body: dict) -> web.Response:
        """Renew the lease and answer as soon as a run has ended, or after `wait_ms`."""
        if "deadline_ms" in body:
            self._renew_lease(body["deadline_ms"])
        self._acknowledge(body.get("acknowledged", 0))
        life = self.life
        limit_s = time.monotonic() + min(WAIT_MAX_S, body.get("wait_ms", 0) / 1000.0)
        while not self.unacknowledged_ends and time.monotonic() < limit_s:
            await asyncio.sleep(0.01)
            if self.life != life:
                break
            self.end_due_runs()
        now_s = time.monotonic()
        running = [
            [run.task, run.number, "", self._percent(run, now_s)] for run in self.runs.values()
        ]
        finished = self.unacknowledged_ends[:LISTED_ENDS_MAX]
        return self._answer(200, {"running": running, "finished": finished})
