"""Free room of usable workers by zone, and the sum of capacities."""

from collections import Counter
from collections.abc import Iterable

from ..resources import ResourceVector
from ._model import Job, Worker, Zone
from ._placement import FreeIndex
from ._workers import WorkerTable

SPREAD_CANDIDATES_PER_LEVEL = 16
SPREAD_CANDIDATES = 48


class Rooms:
    """Indexes of free room, one for each zone.

    Args:
        workers: table of workers.
        candidates_count: workers compared for one placement.
    """

    def __init__(self, workers: WorkerTable, candidates_count: int) -> None:
        self.workers = workers
        self.candidates_count = candidates_count
        self.indexes = {zone: FreeIndex() for zone in Zone if zone is not Zone.CLOSED}
        self.total = ResourceVector()
        self.shapes: Counter[ResourceVector] = Counter()
        self._counted: dict[int, ResourceVector] = {}
        self._blocked: list[ResourceVector] = []

    def observe_room(self, worker: Worker, grew: bool) -> None:
        """Take up a change of the free room or the state of a worker."""
        if not worker.usable:
            self.set_zone(worker, Zone.CLOSED)
            return
        if worker.zone is Zone.CLOSED:
            self.set_zone(worker, Zone.GENERAL)
            return
        free = worker.free
        accelerated = worker.vm.capacity.accelerators_count > 0
        self.indexes[worker.zone].put(worker.order, free, accelerated)
        if grew and self._blocked:
            self._blocked = [size for size in self._blocked if not size.fits_in(free)]

    def set_zone(self, worker: Worker, zone: Zone) -> None:
        """Move a worker to a zone."""
        if worker.zone is not zone:
            if worker.zone is not Zone.CLOSED:
                self.indexes[worker.zone].remove(worker.order)
            worker.zone = zone
            if zone is not Zone.CLOSED:
                self.observe_room(worker, True)

    def observe_capacity(self, worker: Worker) -> None:
        """Take up that a worker joined, went or changed its capacity."""
        before = self._counted.pop(worker.order, None)
        if before is not None:
            self.total -= before
            self.shapes[before] -= 1
        if worker.reported and not worker.lost and not worker.leaving:
            capacity = worker.vm.capacity
            self._counted[worker.order] = capacity
            self.total += capacity
            self.shapes[capacity] += 1

    def known_blocked(self, size: ResourceVector) -> bool:
        """Return whether this or a smaller size found no general room since any room grew."""
        for blocked in self._blocked:
            if (
                blocked.processors_millicores <= size.processors_millicores
                and blocked.memory_mb <= size.memory_mb
                and blocked.accelerators_count <= size.accelerators_count
            ):
                return True
        return False

    def find(
        self,
        size: ResourceVector,
        zone: Zone = Zone.GENERAL,
        avoided: Iterable[str] = (),
        spread: Job | None = None,
    ) -> Worker | None:
        """Return the worker that a task of this size leaves with the least free room.

        Args:
            size: size to place.
            zone: zone to search.
            avoided: workers that are used only if no other fits.
            spread: service whose tasks go to different racks and workers.

        Returns:
            A worker with room, or None.
        """
        if zone is Zone.GENERAL and self.known_blocked(size):
            return None
        best, best_score, fallback, seen = None, None, None, 0
        per_level = 1 if spread is None else SPREAD_CANDIDATES_PER_LEVEL
        limit = self.candidates_count if spread is None else SPREAD_CANDIDATES
        for order, _, _ in self.indexes[zone].fitting(size, per_level):
            worker = self.workers.by_order[order]
            seen += 1
            if worker.name in avoided:
                fallback = worker
            else:
                score = self._score(worker, size, spread)
                if best_score is None or score < best_score:
                    best, best_score = worker, score
            if seen >= limit:
                break
        if seen == 0 and zone is Zone.GENERAL:
            self._blocked = [b for b in self._blocked if not size.fits_in(b)] + [size]
        return best or fallback

    def _score(self, worker: Worker, size: ResourceVector, spread: Job | None) -> tuple:
        capacity = worker.vm.capacity
        left = (worker.free_cpu - size.processors_millicores) / capacity.processors_millicores + (
            worker.free_mem - size.memory_mb
        ) / capacity.memory_mb
        # Workers with accelerators come last for work that needs none.
        wasted = capacity.accelerators_count > 0 and size.accelerators_count == 0
        if spread is None:
            return wasted, left
        on_worker = sum(1 for attempt in worker.attempts.values() if attempt.job is spread)
        return spread.racks.get(worker.vm.rack, 0), on_worker, wasted, left

    def can_hold(self, size: ResourceVector) -> bool:
        """Return whether an empty present worker holds the size."""
        return any(count and size.fits_in(shape) for shape, count in self.shapes.items())

    def largest_count(self, size: ResourceVector) -> int:
        """Return how many tasks of a size all present workers together can hold when empty."""
        return sum(
            count * rooms_in(capacity, size) for capacity, count in self.shapes.items() if count
        )


def rooms_in(room: ResourceVector, size: ResourceVector) -> int:
    """Return how many tasks of a size fit in a room."""
    counts = []
    for have, need in (
        (room.processors_millicores, size.processors_millicores),
        (room.memory_mb, size.memory_mb),
        (room.accelerators_count, size.accelerators_count),
    ):
        if need > 0:
            counts.append(max(0, have) // need)
    return min(counts) if counts else 0
