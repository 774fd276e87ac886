"""Capacity that is kept for urgent tasks that have not arrived yet."""

from __future__ import annotations

from collections.abc import Iterable

from ..resources import ResourceVector
from ._placement import fit_count
from ._state import Job, Worker

_WINDOW_S = 0.5
"""Time for which the expected arrivals are covered; then enough runs have ended again."""
_DECAY_S = 4.0
"""Time constant of the learned arrival rate, in seconds."""
_QUIET_S = _DECAY_S
"""Time after the last urgent job from which no further ones are expected.

The decay alone never reaches zero, and any rate above zero keeps a place. After one time constant
without an arrival, the rate is most likely below one place in `_WINDOW_S`."""
LONG_RUNNING_WAIT_MAX_S = 1.5
"""Time for which a long-running task waits for a place at most while places are kept.

It must be started again within 3 s where there is room, and attempts are up to 1 s apart."""
_SCARCE_SHARE = 0.5
"""Used share of all capacity from which free places count as scarce."""
_SIZE_WEIGHT = 0.05
"""Weight of a new job in the mean size of urgent tasks."""


class Headroom:
    """Keeps places for urgent tasks free from work of lower priorities.

    Load pattern: all workers are nearly full, and more wide steps and gangs wait. Their tasks are
    smaller than the urgent ones, or wait already when capacity becomes free, so they take every
    piece before it is large enough for an urgent task. The urgent tasks of the next moments
    therefore have places on some workers, where other work only uses what is too small for them.
    Places are kept until `_QUIET_S` after the last urgent job, and from a long-running task for
    `LONG_RUNNING_WAIT_MAX_S` at most.

    Attributes:
        rate_: learned number of urgent tasks that arrive per second; 0 once none are expected.
        size_: learned mean size of an urgent task; None before the first.
        workers_: workers on which places are kept.
        is_scarce_: whether so much capacity is used that other work may not take kept places.
    """

    def __init__(self) -> None:
        self.rate_ = 0.0
        self.size_: ResourceVector | None = None
        self.workers_: frozenset[Worker] = frozenset()
        self.is_scarce_ = False
        self._priority: int | None = None
        self._observed_s = 0.0
        self._arrived_s = float("-inf")

    def is_urgent(self, job: Job) -> bool:
        """Return whether a job has the highest priority seen so far."""
        return self._priority is None or job.queue.priority <= self._priority

    def observe(self, job: Job, now_s: float) -> None:
        """Update the arrival rate with a new job."""
        if not self.is_urgent(job):
            return
        if self._priority is None or job.queue.priority < self._priority:
            self._priority = job.queue.priority
            self.rate_, self.size_, self._observed_s = 0.0, None, now_s
        self._decay(now_s)
        for spec in job.spec.steps:
            if spec.after or spec.long_running:
                continue
            self._arrived_s = now_s
            self.rate_ += spec.tasks_count / _DECAY_S
            size = spec.demand
            self.size_ = size if self.size_ is None else _blend(self.size_, size)

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._observed_s)
        self.rate_ *= max(0.0, 1.0 - elapsed_s / _DECAY_S)
        if now_s >= self._arrived_s + _QUIET_S:
            self.rate_ = 0.0
        self._observed_s = now_s

    def choose_workers(self, workers: Iterable[Worker], now_s: float) -> None:
        """Choose the workers on which places are kept.

        Args:
            workers: usable workers, in an order that changes little between calls.
            now_s: current local time, in seconds.
        """
        self._decay(now_s)
        missing = self.rate_ * _WINDOW_S
        chosen = []
        candidates = list(workers)
        self.is_scarce_ = _used_share(candidates) >= _SCARCE_SHARE
        if self.size_ is not None:
            for worker in candidates:
                if missing <= 0:
                    break
                missing -= fit_count(worker.free, self.size_)
                chosen.append(worker)
        self.workers_ = frozenset(chosen)

    def limit(self, worker: Worker, free: ResourceVector) -> ResourceVector:
        """Return the part of the free capacity of a worker that other work may use."""
        if worker not in self.workers_ or self.size_ is None:
            return free
        return free - self.size_.scaled(fit_count(free, self.size_))


def _used_share(workers: list[Worker]) -> float:
    """Return the used share of the capacity of all workers, by the resource that is used most."""
    capacities = [worker.info.capacity for worker in workers]
    frees = [worker.free for worker in workers]
    capacity, free = (
        ResourceVector(
            sum(vector.processors_millicores for vector in vectors),
            sum(vector.memory_mb for vector in vectors),
            sum(vector.accelerators_count for vector in vectors),
        )
        for vectors in (capacities, frees)
    )
    return (capacity - free).dominant_share(capacity)


def _blend(mean: ResourceVector, size: ResourceVector) -> ResourceVector:
    def blend(old: int, new: int) -> int:
        return round(old + _SIZE_WEIGHT * (new - old))

    return ResourceVector(
        blend(mean.processors_millicores, size.processors_millicores),
        blend(mean.memory_mb, size.memory_mb),
        blend(mean.accelerators_count, size.accelerators_count),
    )
