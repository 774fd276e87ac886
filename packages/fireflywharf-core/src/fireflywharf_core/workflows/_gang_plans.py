"""Choice of the workers of a waiting gang, by the time at which they are expected to have room."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from operator import attrgetter, itemgetter

import attrs

from ._estimates import RunTimes
from ._placement import UNLIMITED, fit_count, limit_count
from ._state import GangPlan, Run, RunPhase, Step, Worker

_STOP_S = 0.2
"""Expected time until a run that was ordered to stop has ended."""
_OVERDUE_SHARE = 0.5
"""Expected remaining time of a run beyond its estimate, as a share of its elapsed time.

Run times have a long tail, so a run that has outlasted its estimate tends to last much longer."""
_UNSOUND_DELAY_S = 5.0
"""Time that a gang waits rather than use a worker that is slow or on which a member has failed."""
_EARLIER_MIN_S = 0.3
"""Minimum gain in time for which a gang changes its workers."""


@attrs.frozen(slots=True)
class _Gain:
    """Further members of a gang that fit on a worker from some time on.

    Args:
        rank_s: time by which gains are compared; later than `free_s` for an unsound worker.
        free_s: local time from which the members fit, in seconds.
        count: number of members.
        worker: the worker.
    """

    rank_s: float
    free_s: float
    count: int
    worker: Worker


def expected_end_s(run: Run, run_times: RunTimes, now_s: float) -> float:
    """Return the local time, in seconds, at which a run is expected to free its capacity."""
    if run.phase is RunPhase.STOPPING:
        return now_s + _STOP_S
    if run.projected_s > 0:
        return max(now_s, run.speed_read_s + run.projected_s * (1 - run.speed_read_percent / 100.0))
    expected_s = 0.0 if run.step is None else run_times.predict(run.step)
    return max(run.started_s + expected_s, now_s + _OVERDUE_SHARE * (now_s - run.started_s))


class GangPlanner:
    """Finds the earliest start of a gang on the workers that may run it.

    Load pattern: workers are nearly full of single tasks with a long-tailed run time, and a gang
    needs several of them almost empty at once. If the workers are chosen by size, most choices
    contain one with a run of the tail, and the others stay idle until that run has ended. The
    planner therefore chooses the workers that have enough room first.

    Args:
        run_times: predicted run times.
    """

    def __init__(self, run_times: RunTimes) -> None:
        self._run_times = run_times
        self._ends_s: dict[Step, float] = {}
        self._computed_s = float("-inf")

    def plan(
        self, step: Step, allowed: Iterable[Worker], present: GangPlan | None, now_s: float
    ) -> GangPlan | None:
        """Return the plan with the earliest start, or None if the workers never suffice.

        Args:
            step: the gang.
            allowed: workers that may run it.
            present: present plan of the gang; its workers are kept unless others are free clearly
                earlier, because they have been kept free meanwhile.
            now_s: current local time, in seconds.
        """
        if now_s != self._computed_s:
            self._ends_s.clear()
            self._computed_s = now_s
        needed = len(step.waiting)
        avoided = set(step.avoided.values())
        gains: list[_Gain] = []
        for worker in allowed:
            unsound = worker.worker_id in avoided or now_s < worker.slow_until_s
            self._add_gains(gains, step, worker, now_s, _UNSOUND_DELAY_S if unsound else 0.0)
        gains.sort(key=attrgetter("rank_s"))
        used = _find_needed(gains, needed)
        if present is not None and used:
            kept = _find_needed([gain for gain in gains if gain.worker in present.counts], needed)
            if kept and kept[-1].rank_s <= used[-1].rank_s + _EARLIER_MIN_S:
                used = kept
        return _make_plan(used, needed) if used else None

    def _add_gains(
        self, gains: list[_Gain], step: Step, worker: Worker, now_s: float, delay_s: float
    ) -> None:
        """Append each time at which more members fit on a worker, with the number of these."""
        most = min(len(step.waiting), limit_count(step, worker, UNLIMITED))
        free = worker.available_capacity(step, now_s)
        count = min(most, fit_count(free, step.spec.demand))
        if count > 0:
            gains.append(_Gain(now_s + delay_s, now_s, count, worker))
        if count >= most:
            return
        runs = [run for run in worker.runs.values() if run.is_finite]
        ends = sorted(((self._end_s(run, now_s), run.demand) for run in runs), key=itemgetter(0))
        for end_s, demand in ends:
            free = free + demand
            later_count = min(most, fit_count(free, step.spec.demand))
            if later_count > count:
                gains.append(_Gain(end_s + delay_s, end_s, later_count - count, worker))
                count = later_count

    def _end_s(self, run: Run, now_s: float) -> float:
        step = run.step
        if step is None or not step.spec.gang or run.phase is RunPhase.STOPPING:
            return expected_end_s(run, self._run_times, now_s)
        # The members of a gang end together.
        if step not in self._ends_s:
            self._ends_s[step] = max(
                expected_end_s(member, self._run_times, now_s) for member in step.runs.values()
            )
        return self._ends_s[step]


def _find_needed(gains: Iterable[_Gain], needed: int) -> list[_Gain]:
    """Return the first gains that together fit `needed` members; empty if all do not suffice."""
    used = []
    for gain in gains:
        used.append(gain)
        needed -= gain.count
        if needed <= 0:
            return used
    return []


def _make_plan(gains: Iterable[_Gain], needed: int) -> GangPlan:
    """Return the plan that uses these gains.

    It starts when there is room, without the delay of unsound workers. Otherwise, the start of a
    gang that may run on these only would recede for ever, and its tickets never be renewed.
    """
    counts: dict[Worker, int] = {}
    for gain in gains:
        counts[gain.worker] = counts.get(gain.worker, 0) + gain.count
    return GangPlan(_keep_largest(counts, needed), max(gain.free_s for gain in gains))


def _keep_largest(counts: Mapping[Worker, int], needed: int) -> dict[Worker, int]:
    """Return the members on as few workers as possible."""
    kept = {}
    for worker, count in sorted(counts.items(), key=lambda row: -row[1]):
        kept[worker] = min(count, needed)
        needed -= kept[worker]
        if needed == 0:
            break
    return kept
