"""Detection of tasks that slow each other down when they share a worker."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from weakref import WeakKeyDictionary

import attrs

from ._events import EndKind, ReportedRun, WorkerReported
from ._interference_evidence import Group, Pair, PairEstimate, PairEvidence, find_group
from ._start_neighbours import RUN_PAIR_WEIGHT, StartNeighbours
from ._state import Run, RunPhase, Step, Worker

PAIRS_MAX = 256
_PRESENT_SHARE = 0.6
"""Minimum share of an interval for which a neighbour that counts as present has run.

Neighbours that are shorter than the interval between two reports would otherwise never count. The
rest of the interval makes the estimate smaller than the slowdown, never larger."""
_ABSENT_SHARE = 0.1
"""Maximum share for a neighbour that counts as absent; intervals in between are not used."""
_INTERVAL_MAX_S = 3.0
"""Maximum time between two reports that are compared; a worker answers at least every 1.5 s."""
_REPORT_AGE_MAX_S = 2.0
"""Maximum age of the poll of a report; an older report was read late, for instance after a pause
of the scheduler, and its time of arrival does not tell the speed."""
_WINDOW_S = 15.0
"""Observed time of a run after which its evidence is added to the table, if it has not ended."""
_SPAN_MIN_S = 0.25
"""Minimum time with, and without, a neighbour; shorter times are dominated by network delays."""
_GAIN_MIN_PERCENT = 3.0
"""Minimum expected progress in each of these times, because progress comes in whole percent."""
_FULL_SPAN_S = 0.5
"""Harmonic sum of the times with and without a neighbour from which a run has its full weight."""
_LAST_PERCENT = 99.0
"""Progress from which a run is not observed: finished members of a gang wait for the others."""
_EXPOSURES_MAX = 12
"""Maximum number of different sets of neighbours that are kept for a run."""
_REFRESH_S = 1.0
"""Time between two checks whether significant pairs are still significant."""
_COST_DIGITS = 1
"""Decimal places of a cost; smaller differences are uncertain and do not override the best fit."""


@attrs.frozen(slots=True)
class InterferenceCosts:
    """Costs of the placement of a step's tasks.

    Args:
        by_worker: expected slowdown, of the task and of the present runs together, on each worker;
            workers that are missing have none.
        same_step: additional slowdown for each further task of the step on a worker.
    """

    by_worker: Mapping[Worker, float] = attrs.field(factory=dict)
    same_step: float = 0.0


NO_COSTS = InterferenceCosts()


@attrs.define(slots=True, eq=False)
class _Exposure:
    """Progress of a run by the groups that were present.

    Args:
        group: group of the run.
        objective_ms: tail objective of a long-running task; 0 for a task that makes progress.
        sums: progress in percent and time in seconds, by present groups. For a long-running task,
            the first is the integral of the logarithm of its tail response time relative to its
            objective.
        span_s: total time, in seconds.
    """

    group: Group
    objective_ms: float
    sums: dict[frozenset[Group], list[float]] = attrs.field(factory=dict)
    span_s: float = 0.0

    def add(self, present: frozenset[Group], gained: float, span_s: float) -> None:
        """Add an interval between two reports."""
        sums = self.sums.get(present)
        if sums is None:
            if len(self.sums) >= _EXPOSURES_MAX:
                return
            sums = self.sums[present] = [0.0, 0.0]
        sums[0] += gained
        sums[1] += span_s
        self.span_s += span_s

    def find_slowdowns(self) -> dict[Group, tuple[float, float]]:
        """Return weight and logarithm of the slowdown by neighbour.

        Only times are compared between which the presence of one group is the only difference.
        """
        found: dict[Group, list[float]] = {}
        for present, with_sums in self.sums.items():
            for group in present:
                without_sums = self.sums.get(present - {group})
                row = None if without_sums is None else self._compare(without_sums, with_sums)
                if row is not None:
                    total = found.setdefault(group, [0.0, 0.0])
                    total[0] += row[0]
                    total[1] += row[0] * row[1]
        return {
            group: (min(1.0, weight), weighted / weight)
            for group, (weight, weighted) in found.items()
        }

    def _compare(
        self, without_sums: list[float], with_sums: list[float]
    ) -> tuple[float, float] | None:
        (gain, span_s), (with_gain, with_span_s) = without_sums, with_sums
        if min(span_s, with_span_s) < _SPAN_MIN_S:
            return None
        if self.objective_ms > 0:
            ratio = with_gain / with_span_s - gain / span_s
        else:
            rate = (gain + with_gain) / (span_s + with_span_s)
            if rate * min(span_s, with_span_s) < _GAIN_MIN_PERCENT:
                return None
            # Half a percent is the error of a reading in whole percent.
            ratio = math.log(max(0.5, gain) / span_s * with_span_s / max(0.5, with_gain))
        weight = min(1.0, span_s * with_span_s / (span_s + with_span_s) / _FULL_SPAN_S)
        return weight, ratio


@attrs.define(slots=True, eq=False)
class _Reading:
    """Latest report of a worker.

    Args:
        received_s: local time of the report, in seconds.
        incarnation: process of the worker.
        percents: progress by run.
        exposures: evidence of the runs since it was last added to the table.
    """

    received_s: float
    incarnation: int
    percents: dict[Run, float]
    exposures: dict[Run, _Exposure] = attrs.field(factory=dict)


class InterferenceModel:
    """Learns from progress reports which groups of tasks slow each other down.

    The speed of a run while a neighbour is present is compared with the speed of the same run while
    that neighbour is absent and all others are the same. The size of the task and the constant
    speed of the worker cancel out. Each run contributes one observation per neighbour.

    Load pattern: workers run several tasks of a few images at a time; runs last seconds, and 3% of
    them seven times as long. Reports arrive 0.1 to 1.5 s apart.

    Attributes:
        pairs_: evidence by pair; the pair that was updated last comes last.
        significant_: pairs with a significant slowdown.
        found_count_: number of times that a pair became significant.
        ended_count_: number of times that a pair stopped being significant.
    """

    def __init__(self) -> None:
        self.pairs_: OrderedDict[Pair, PairEvidence] = OrderedDict()
        self.significant_: dict[Pair, PairEstimate] = {}
        self.found_count_ = 0
        self.ended_count_ = 0
        self._readings: WeakKeyDictionary[Worker, _Reading] = WeakKeyDictionary()
        self._refreshed_s = float("-inf")
        self._start_neighbours = StartNeighbours()

    def observe_start(self, run: Run) -> None:
        """Add a run that is about to start."""
        self._start_neighbours.observe_start(run)

    def observe(self, worker: Worker, event: WorkerReported, now_s: float) -> None:
        """Add a report of a worker.

        Must be called before the ends in the report are processed, because the ended runs were
        present until now.

        Args:
            worker: the worker.
            event: its report.
            now_s: current local time, in seconds.
        """
        rows = [(worker.runs.get((row.task, row.number)), row) for row in event.running]
        earlier = self._readings.get(worker)
        reading = _Reading(
            now_s,
            event.incarnation,
            {run: row.percent for run, row in rows if run is not None},
        )
        self._readings[worker] = reading
        if earlier is None or earlier.incarnation != event.incarnation:
            return
        if not _is_comparable(worker, event, earlier, rows, now_s):
            # What was observed before the fault may differ from now on for other reasons.
            self._start_neighbours.forget(worker)
            return
        ended = [(worker.runs.get((end.task, end.number)), end.kind) for end in event.ended]
        ended = [(run, kind) for run, kind in ended if run is not None and run.step is not None]
        for run, kind in ended:
            row = self._start_neighbours.observe_end(run, now_s) if kind is EndKind.DONE else None
            if row is not None:
                pair = (row.group, row.neighbour)
                self._add_observation(worker, pair, RUN_PAIR_WEIGHT, row.ratio, now_s)
        runs = [run for run, _ in rows] + [run for run, _ in ended]
        shares = _presence_shares(runs, earlier, now_s)
        reading.exposures = earlier.exposures
        span_s = now_s - earlier.received_s
        for run, row in rows:
            if run in earlier.percents:
                self._add_interval(reading, earlier, run, row, shares, span_s)
        for run, exposure in list(reading.exposures.items()):
            if run not in reading.percents or exposure.span_s >= _WINDOW_S:
                del reading.exposures[run]
                self._add_evidence(worker, exposure, now_s)

    def _add_interval(
        self,
        reading: _Reading,
        earlier: _Reading,
        run: Run,
        row: ReportedRun,
        shares: Mapping[Group, list[float]],
        span_s: float,
    ) -> None:
        spec = run.step.spec
        gained = row.percent - earlier.percents[run]
        objective_ms = spec.tail_objective_ms if spec.long_running else 0.0
        if run.phase is not RunPhase.RUNNING or spec.fills:
            return
        if spec.long_running:
            if objective_ms <= 0 or row.load <= 0:
                return
            gained = math.log(max(1.0, row.load / objective_ms)) * span_s
        elif gained < 0 or earlier.percents[run] <= 0 or row.percent >= _LAST_PERCENT:
            # A run without progress may still load its program.
            return
        group = find_group(run.step)
        present = []
        for other, run_shares in shares.items():
            share = run_shares[1] if other == group else run_shares[0]
            if share >= _PRESENT_SHARE:
                present.append(other)
            elif share > _ABSENT_SHARE:
                return
        exposure = reading.exposures.get(run)
        if exposure is None:
            exposure = reading.exposures[run] = _Exposure(group, objective_ms)
        exposure.add(frozenset(present), gained, span_s)

    def _add_evidence(self, worker: Worker, exposure: _Exposure, now_s: float) -> None:
        for neighbour, (weight, ratio) in exposure.find_slowdowns().items():
            self._add_observation(worker, (exposure.group, neighbour), weight, ratio, now_s)

    def _add_observation(
        self, worker: Worker, pair: Pair, weight: float, ratio: float, now_s: float
    ) -> None:
        evidence = self.pairs_.get(pair)
        if evidence is None:
            if len(self.pairs_) >= PAIRS_MAX:
                self._evict_oldest()
            evidence = self.pairs_[pair] = PairEvidence(now_s)
        self.pairs_.move_to_end(pair)
        evidence.add(worker.worker_id, weight, ratio, now_s)
        self._update_significance(pair, now_s)

    def _evict_oldest(self) -> None:
        """Remove the pair that was not updated for longest, if possible an insignificant one."""
        oldest = next((pair for pair in self.pairs_ if pair not in self.significant_), None)
        if oldest is None:
            oldest = next(iter(self.pairs_))
            del self.significant_[oldest]
            self.ended_count_ += 1
        del self.pairs_[oldest]

    def _update_significance(self, pair: Pair, now_s: float) -> None:
        was_significant = pair in self.significant_
        estimate = self.pairs_[pair].estimate(now_s)
        if estimate.is_significant(was_significant):
            self.significant_[pair] = estimate
            self.found_count_ += not was_significant
        elif was_significant:
            del self.significant_[pair]
            self.ended_count_ += 1

    def refresh(self, now_s: float) -> None:
        """Drop the pairs whose evidence has become too old."""
        if now_s >= self._refreshed_s + _REFRESH_S:
            self._refreshed_s = now_s
            for pair in list(self.significant_):
                self._update_significance(pair, now_s)

    def predict(self, step: Step, workers: Iterable[Worker], now_s: float) -> InterferenceCosts:
        """Return the costs of placing tasks of a step on the workers.

        Args:
            step: the step.
            workers: the workers to choose from.
            now_s: current local time, in seconds.
        """
        if not self.significant_:
            return NO_COSTS
        self.refresh(now_s)
        group = find_group(step)
        caused: dict[Group, float] = {}
        suffered: dict[Group, float] = {}
        for (slowed, neighbour), estimate in self.significant_.items():
            if neighbour == group:
                caused[slowed] = estimate.slowdown
            if slowed == group:
                suffered[neighbour] = estimate.slowdown
        if not caused and not suffered:
            return NO_COSTS
        by_worker = {}
        for worker in workers:
            cost = _cost(worker, caused, suffered)
            if cost > 0:
                by_worker[worker] = cost
        return InterferenceCosts(by_worker, suffered.get(group, 0.0))

    def find_significant(self, step: Step) -> list[tuple[Pair, PairEstimate]]:
        """Return the significant pairs that concern a step."""
        group = find_group(step)
        return [row for row in self.significant_.items() if group in row[0]]


def describe_pair(pair: Pair, estimate: PairEstimate) -> dict:
    """Return log fields that describe a pair and its estimate."""
    slowed, neighbour = (" ".join(filter(None, group)) for group in pair)
    return {
        "slowed": slowed,
        "neighbour": neighbour,
        "slowdown": round(estimate.slowdown, 2),
        "slowdown_min": round(estimate.slowdown_min, 2),
        "observations": estimate.observations_count,
        "workers": estimate.workers_count,
    }


def _is_comparable(
    worker: Worker,
    event: WorkerReported,
    earlier: _Reading,
    rows: list[tuple[Run | None, ReportedRun]],
    now_s: float,
) -> bool:
    """Return whether the progress since the earlier report tells the speed of the runs."""
    return (
        0 < now_s - earlier.received_s <= _INTERVAL_MAX_S
        and now_s - event.sent_s <= _REPORT_AGE_MAX_S
        and now_s >= max(worker.slow_until_s, worker.set_aside_until_s)
        and all(run is not None and run.step is not None for run, _ in rows)
    )


def _presence_shares(
    runs: Iterable[Run], earlier: _Reading, now_s: float
) -> dict[Group, list[float]]:
    """Return the two largest shares of the interval for which a run of each group was present.

    A run that is itself of a group has the second one as its neighbour.
    """
    span_s = now_s - earlier.received_s
    shares: dict[Group, list[float]] = {}
    for run in runs:
        if run in earlier.percents:
            share = 1.0
        else:
            share = min(1.0, max(0.0, now_s - run.started_s) / span_s)
        largest = shares.setdefault(find_group(run.step), [0.0, 0.0])
        if share > largest[0]:
            largest[:] = share, largest[0]
        elif share > largest[1]:
            largest[1] = share
    return shares


def _cost(worker: Worker, caused: Mapping[Group, float], suffered: Mapping[Group, float]) -> float:
    total = 0.0
    present = set()
    for run in worker.runs.values():
        if run.step is not None and run.phase is not RunPhase.STOPPING:
            group = find_group(run.step)
            total += caused.get(group, 0.0)
            present.add(group)
    total += sum(suffered.get(group, 0.0) for group in present)
    return round(total, _COST_DIGITS)
