"""Decaying evidence on how much one group of tasks slows another."""

from __future__ import annotations

import math
import zlib

import attrs

from ._state import Step

Group = tuple[str, str]
"""Queue and image of tasks; the image is empty if a task has none."""
Pair = tuple[Group, Group]
"""Group that is slowed down, and the group that slows it."""
LOG_RATIO_MAX = math.log(3.0)
"""Limit of the logarithm of the slowdown of one run, for runs that stall for other reasons."""
HALF_LIFE_S = 45.0
"""Half-life of evidence. A significant pair without new evidence ends within about 3 minutes."""
_WEIGHT_MAX = 30.0
"""Maximum weight of a pair in runs, so that new observations replace earlier ones."""
_SLOTS_COUNT = 16
"""Number of sums over workers; workers with the same hash share one and count as one worker."""
_SLOT_WEIGHT_MIN = 0.5
"""Weight in runs from which a worker counts."""
_WORKERS_MIN = 3
"""Minimum number of workers; the fault of one worker may coincide with its neighbours."""
_WEIGHT_MIN = 5.0
"""Minimum weight in runs for a pair to become significant."""
_KEPT_WEIGHT_MIN = 2.0
"""Weight below which a pair is not significant any longer."""
_DEVIATIONS = 3.0
"""Width of the confidence interval on each side, in standard errors.

Hundreds of pairs are tested again and again, so two would lead to false detections."""
_PRIOR_WEIGHT = 2.0
_PRIOR_DEVIATION = 0.3
"""Assumed standard deviation of one observation, with the weight of two runs.

A few observations in whole percent may be equal by chance."""
_SLOWDOWN_MIN = 0.1
"""Slowdown that the lower end of the interval must exceed for a pair to become significant."""
_KEPT_SLOWDOWN_MIN = 0.05
"""Slowdown below which a pair ends; lower, so that pairs do not begin and end repeatedly."""


def find_group(step: Step) -> Group:
    """Return the group of the tasks of a step."""
    return step.job.queue.name, step.spec.image


@attrs.frozen(slots=True)
class PairEstimate:
    """Estimated slowdown of a pair.

    Args:
        slowdown: additional run time as a share of the run time without the neighbour.
        slowdown_min: lower end of its confidence interval.
        slowdown_without_largest: slowdown without the worker with the strongest evidence.
        weight: weight of the evidence, in runs.
        workers_count: number of workers.
        observations_count: number of observations since the evidence began.
    """

    slowdown: float
    slowdown_min: float
    slowdown_without_largest: float
    weight: float
    workers_count: int
    observations_count: int

    def is_significant(self, was_significant: bool) -> bool:
        """Return whether the pair takes effect."""
        if was_significant:
            return self.weight >= _KEPT_WEIGHT_MIN and self.slowdown_min > _KEPT_SLOWDOWN_MIN
        return (
            self.weight >= _WEIGHT_MIN
            and self.workers_count >= _WORKERS_MIN
            and min(self.slowdown_min, self.slowdown_without_largest) > _SLOWDOWN_MIN
        )


class PairEvidence:
    """Decaying sums over the observations of one pair.

    Args:
        now_s: current local time, in seconds.
    """

    __slots__ = ("observations_count_", "_slots", "_squares", "_sum", "_updated_s", "_weight")

    def __init__(self, now_s: float) -> None:
        self.observations_count_ = 0
        self._updated_s = now_s
        self._weight = self._sum = self._squares = 0.0
        self._slots = [[0.0, 0.0] for _ in range(_SLOTS_COUNT)]

    def add(self, worker_id: str, weight: float, ratio: float, now_s: float) -> None:
        """Add the observation of one run.

        Args:
            worker_id: worker of the run.
            weight: weight of the observation, at most 1.
            ratio: logarithm of the slowdown, which is limited.
            now_s: current local time, in seconds.
        """
        ratio = max(-LOG_RATIO_MAX, min(LOG_RATIO_MAX, ratio))
        self._scale(self._decay(now_s))
        self._updated_s = now_s
        self._weight += weight
        self._sum += weight * ratio
        self._squares += weight * ratio * ratio
        slot = self._slots[zlib.crc32(worker_id.encode()) % _SLOTS_COUNT]
        slot[0] += weight
        slot[1] += weight * ratio
        if self._weight > _WEIGHT_MAX:
            self._scale(_WEIGHT_MAX / self._weight)
        self.observations_count_ += 1

    def estimate(self, now_s: float) -> PairEstimate:
        """Return the estimate at `now_s`; its uncertainty grows with the age of the evidence."""
        decay = self._decay(now_s)
        weight = self._weight * decay
        if weight <= 0:
            return PairEstimate(0.0, -1.0, 0.0, 0.0, 0, self.observations_count_)
        mean = self._sum / self._weight
        squares = max(0.0, self._squares - mean * self._sum) * decay
        variance = (squares + _PRIOR_WEIGHT * _PRIOR_DEVIATION**2) / (weight + _PRIOR_WEIGHT)
        error = math.sqrt(max(variance / weight, self._variance_across_workers(mean)))
        return PairEstimate(
            slowdown=math.expm1(mean),
            slowdown_min=math.expm1(mean - _DEVIATIONS * error),
            slowdown_without_largest=math.expm1(self._mean_without_largest()),
            weight=weight,
            workers_count=sum(slot[0] * decay >= _SLOT_WEIGHT_MIN for slot in self._slots),
            observations_count=self.observations_count_,
        )

    def _variance_across_workers(self, mean: float) -> float:
        """Return the variance of the mean if the runs of one worker depend on each other."""
        used = [slot for slot in self._slots if slot[0] > 0]
        if len(used) < 2:
            return 0.0
        squares = sum((total - mean * weight) ** 2 for weight, total in used)
        return squares / self._weight**2 * len(used) / (len(used) - 1)

    def _mean_without_largest(self) -> float:
        weight, total = max(self._slots, key=lambda slot: slot[1])
        rest = self._weight - weight
        return (self._sum - total) / rest if rest > 1e-9 else 0.0

    def _decay(self, now_s: float) -> float:
        return 0.5 ** (max(0.0, now_s - self._updated_s) / HALF_LIFE_S)

    def _scale(self, factor: float) -> None:
        self._weight *= factor
        self._sum *= factor
        self._squares *= factor
        for slot in self._slots:
            slot[0] *= factor
            slot[1] *= factor
