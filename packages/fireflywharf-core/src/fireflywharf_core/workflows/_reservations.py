"""Room that is kept for gangs until enough of it is free."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from ..resources import ResourceVector
from ._placement import fit_count, limit_count, placeable_count
from ._state import Reservation, Step, Worker

RESERVED_SHARE_MAX = 0.3
"""Largest share of all processors that is kept; a tenth of the load are gangs of 20 tasks, and more
would leave room idle that single tasks can use."""
_RESERVATION_TTL_S = 0.5
"""Time after which a reservation that is not renewed by a decision ends."""


def eventual_count(step: Step, worker: Worker, now_s: float) -> int:
    """Return how many tasks of a step fit on a worker once its present short runs have ended."""
    free = worker.available_capacity(step, now_s) + worker.finite_demand
    return limit_count(step, worker, fit_count(free, step.spec.demand))


@attrs.frozen(slots=True)
class WorkerFit:
    """Tasks of a gang that a worker could take, now and once its short runs have ended."""

    worker: Worker
    count: int
    later_count: int


class Reservations:
    """Keeps room on few workers for gangs that do not fit yet.

    Pattern: the workers are nearly full of single tasks, and each end leaves room for some of them
    but never for a gang at once, so that wide gangs wait until their objective has passed. A gang
    keeps the room that gets free on the workers that may run it, until all of its members fit. Work
    of a higher priority uses that room until then.

    Args:
        workers: all workers.
        reserved_share_max: largest share of all processors that is kept.
    """

    def __init__(
        self, workers: Mapping[str, Worker], reserved_share_max: float = RESERVED_SHARE_MAX
    ) -> None:
        self.reserved_share_max = reserved_share_max
        self._workers = workers

    def reserve(self, step: Step, allowed: Iterable[Worker], now_s: float) -> list[Worker]:
        """Keep room for a gang, or keep on doing so.

        Args:
            step: the gang.
            allowed: workers that may run it.
            now_s: present time.

        Returns:
            The workers whose room is kept; empty if it would not suffice or be too much.
        """
        rows = [
            WorkerFit(
                worker,
                placeable_count(step, worker, worker.available_capacity(step, now_s)),
                eventual_count(step, worker, now_s),
            )
            for worker in allowed
        ]
        rows.sort(key=lambda place: (-place.count, -place.later_count))
        fits = sum(place.count for place in rows) >= len(step.waiting)
        usable = {place.worker for place in rows if place.later_count > 0}
        if fits or not step.reserved_counts or not set(step.reserved_counts) <= usable:
            self.release(step)
            step.reserved_counts = self._choose_workers(step, rows, fits, now_s)
        for worker, count in step.reserved_counts.items():
            size = step.spec.demand.scaled(count)
            worker.reservations[step] = Reservation(size, now_s + _RESERVATION_TTL_S, fits)
        return list(step.reserved_counts)

    def release(self, step: Step) -> None:
        """Give up the room that is kept for a gang."""
        for worker in step.reserved_counts:
            worker.reservations.pop(step, None)
        step.reserved_counts = {}

    def _choose_workers(
        self, step: Step, rows: list[WorkerFit], fits: bool, now_s: float
    ) -> dict[Worker, int]:
        chosen: dict[Worker, int] = {}
        left = len(step.waiting)
        for place in rows:
            count = min(left, place.count if fits else place.later_count)
            if count > 0:
                chosen[place.worker] = count
                left -= count
        size = step.spec.demand.scaled(len(step.waiting))
        if left > 0 or not (fits or self._is_within_limit(size, now_s)):
            return {}
        return chosen

    def _is_within_limit(self, size: ResourceVector, now_s: float) -> bool:
        capacity = sum(w.info.capacity.processors_millicores for w in self._workers.values())
        held = sum(
            hold.size.processors_millicores
            for worker in self._workers.values()
            for hold in worker.reservations.values()
            if now_s < hold.until_s
        )
        # The first gang may keep more, or a very wide one would never start.
        return held == 0 or held + size.processors_millicores <= self.reserved_share_max * capacity
