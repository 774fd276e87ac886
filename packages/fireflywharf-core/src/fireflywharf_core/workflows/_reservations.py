"""Capacity reservations for gangs that do not fit yet."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from ..resources import ResourceVector
from ._placement import fit_count, limit_count, placeable_count
from ._state import Reservation, Step, Worker

RESERVED_SHARE_MAX = 0.3
"""Maximum share of all processors that is reserved.

Gangs of 20 tasks make up a tenth of the load; a larger share would leave capacity idle that
single tasks can use."""
_RESERVATION_TTL_S = 0.5
"""Time after which a reservation expires unless a decision renews it."""


def eventual_count(step: Step, worker: Worker, now_s: float) -> int:
    """Return how many tasks of a step fit on a worker once its current finite runs have ended."""
    free = worker.available_capacity(step, now_s) + worker.finite_demand
    return limit_count(step, worker, fit_count(free, step.spec.demand))


@attrs.frozen(slots=True)
class WorkerFit:
    """Number of gang members that fit on a worker now and once its finite runs have ended."""

    worker: Worker
    count: int
    later_count: int


class Reservations:
    """Reserves capacity on few workers for gangs that do not fit yet.

    When workers are nearly full of single tasks, each run that ends frees capacity for another
    single task but never for a whole gang, so wide gangs would wait until they are late. A gang
    therefore reserves capacity as it becomes free on eligible workers, until all of its members
    fit. Work of a higher priority may use that capacity in the meantime.

    Args:
        workers: all workers by id.
        reserved_share_max: maximum share of all processors that is reserved.
    """

    def __init__(
        self, workers: Mapping[str, Worker], reserved_share_max: float = RESERVED_SHARE_MAX
    ) -> None:
        self.reserved_share_max = reserved_share_max
        self._workers = workers

    def reserve(self, step: Step, allowed: Iterable[Worker], now_s: float) -> list[Worker]:
        """Create or renew the reservations of a gang.

        Args:
            step: the gang.
            allowed: workers that may run it.
            now_s: current local time, in seconds.

        Returns:
            Workers with reserved capacity; empty if they would not suffice for the gang, or if the
            total would exceed `reserved_share_max`.
        """
        worker_fits = [
            WorkerFit(
                worker,
                placeable_count(step, worker, worker.available_capacity(step, now_s)),
                eventual_count(step, worker, now_s),
            )
            for worker in allowed
        ]
        worker_fits.sort(key=lambda worker_fit: (-worker_fit.count, -worker_fit.later_count))
        fits = sum(worker_fit.count for worker_fit in worker_fits) >= len(step.waiting)
        usable = {worker_fit.worker for worker_fit in worker_fits if worker_fit.later_count > 0}
        if fits or not step.reserved_counts or not set(step.reserved_counts) <= usable:
            self.release(step)
            step.reserved_counts = self._choose_workers(step, worker_fits, fits, now_s)
        for worker, count in step.reserved_counts.items():
            size = step.spec.demand.scaled(count)
            worker.reservations[step] = Reservation(size, now_s + _RESERVATION_TTL_S, fits)
        return list(step.reserved_counts)

    def release(self, step: Step) -> None:
        """Remove all reservations of a gang."""
        for worker in step.reserved_counts:
            worker.reservations.pop(step, None)
        step.reserved_counts = {}

    def _choose_workers(
        self, step: Step, worker_fits: list[WorkerFit], fits: bool, now_s: float
    ) -> dict[Worker, int]:
        chosen: dict[Worker, int] = {}
        left = len(step.waiting)
        for worker_fit in worker_fits:
            count = min(left, worker_fit.count if fits else worker_fit.later_count)
            if count > 0:
                chosen[worker_fit.worker] = count
                left -= count
        size = step.spec.demand.scaled(len(step.waiting))
        if left > 0 or not (fits or self._is_within_limit(size, now_s)):
            return {}
        return chosen

    def _is_within_limit(self, size: ResourceVector, now_s: float) -> bool:
        capacity = sum(w.info.capacity.processors_millicores for w in self._workers.values())
        reserved = sum(
            reservation.size.processors_millicores
            for worker in self._workers.values()
            for reservation in worker.reservations.values()
            if now_s < reservation.until_s
        )
        # The first gang may exceed the limit; otherwise a very wide one would never start.
        return (
            reserved == 0
            or reserved + size.processors_millicores <= self.reserved_share_max * capacity
        )
