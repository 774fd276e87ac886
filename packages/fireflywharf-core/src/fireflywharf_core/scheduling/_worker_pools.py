"""Indexes of the free resources of usable workers by pool, and the total capacity."""

from collections import Counter
from collections.abc import Iterable

from ..resources import ResourceVector
from ._free_index import FreeIndex
from ._model import Job, Pool, Worker
from ._workers import WorkerTable

# Workers examined when tasks of a service are spread over racks.
SPREAD_CANDIDATES_PER_LEVEL = 16
SPREAD_CANDIDATES = 48


class WorkerPools:
    """Indexes of workers by free resources, one for each pool.

    Args:
        workers: table of workers.
        candidates_count: number of workers compared for one placement.
    """

    def __init__(self, workers: WorkerTable, candidates_count: int) -> None:
        self.workers = workers
        self.candidates_count = candidates_count
        self.indexes = {pool: FreeIndex() for pool in Pool if pool is not Pool.CLOSED}
        self.total = ResourceVector()
        self.capacity_counts: Counter[ResourceVector] = Counter()
        self._counted_capacities: dict[int, ResourceVector] = {}
        self._unplaceable_sizes: list[ResourceVector] = []

    def update_free_resources(self, worker: Worker, increased: bool) -> None:
        """Update the indexes after the free resources or the state of a worker changed."""
        if not worker.is_usable:
            self.move_to_pool(worker, Pool.CLOSED)
            return
        if worker.pool is Pool.CLOSED:
            self.move_to_pool(worker, Pool.GENERAL)
            return
        free = worker.free
        accelerated = worker.vm.capacity.accelerators_count > 0
        self.indexes[worker.pool].put(worker.worker_number, free, accelerated)
        if increased and self._unplaceable_sizes:
            self._unplaceable_sizes = [
                size for size in self._unplaceable_sizes if not size.fits_in(free)
            ]

    def move_to_pool(self, worker: Worker, pool: Pool) -> None:
        """Move a worker to a pool."""
        if worker.pool is not pool:
            if worker.pool is not Pool.CLOSED:
                self.indexes[worker.pool].remove(worker.worker_number)
            worker.pool = pool
            if pool is not Pool.CLOSED:
                self.update_free_resources(worker, True)

    def update_capacity(self, worker: Worker) -> None:
        """Update the total capacity after a worker joined, left or changed its capacity."""
        before = self._counted_capacities.pop(worker.worker_number, None)
        if before is not None:
            self.total -= before
            self.capacity_counts[before] -= 1
        if worker.reported and not worker.lost and not worker.leaving:
            capacity = worker.vm.capacity
            self._counted_capacities[worker.worker_number] = capacity
            self.total += capacity
            self.capacity_counts[capacity] += 1

    def is_known_unplaceable(self, size: ResourceVector) -> bool:
        """Return whether this or a smaller size was found to fit on no worker of the general pool.

        A size is forgotten when the free resources of some worker grow enough to hold it.
        """
        for blocked in self._unplaceable_sizes:
            if (
                blocked.processors_millicores <= size.processors_millicores
                and blocked.memory_mb <= size.memory_mb
                and blocked.accelerators_count <= size.accelerators_count
            ):
                return True
        return False

    def find_worker(
        self,
        size: ResourceVector,
        pool: Pool = Pool.GENERAL,
        avoided_workers: Iterable[str] = (),
        spread_job: Job | None = None,
    ) -> Worker | None:
        """Return the best fit: the worker with the least free resources after placement.

        Args:
            size: resources that the task needs.
            pool: pool to search.
            avoided_workers: names of workers to use only if no other fits.
            spread_job: service whose tasks are spread over racks and workers, or None.

        Returns:
            A worker on which the task fits, or None.
        """
        if pool is Pool.GENERAL and self.is_known_unplaceable(size):
            return None
        best, best_score, fallback, seen = None, None, None, 0
        max_per_level = 1 if spread_job is None else SPREAD_CANDIDATES_PER_LEVEL
        limit = self.candidates_count if spread_job is None else SPREAD_CANDIDATES
        for worker_number, _, _ in self.indexes[pool].iter_fitting(size, max_per_level):
            worker = self.workers.by_number[worker_number]
            seen += 1
            if worker.name in avoided_workers:
                fallback = worker
            else:
                score = self._score(worker, size, spread_job)
                if best_score is None or score < best_score:
                    best, best_score = worker, score
            if seen >= limit:
                break
        if seen == 0 and pool is Pool.GENERAL:
            self._unplaceable_sizes = [
                b for b in self._unplaceable_sizes if not size.fits_in(b)
            ] + [size]
        return best or fallback

    def _score(self, worker: Worker, size: ResourceVector, spread_job: Job | None) -> tuple:
        capacity = worker.vm.capacity
        remaining_fraction = (
            worker.free_processors_millicores - size.processors_millicores
        ) / capacity.processors_millicores + (
            worker.free_memory_mb - size.memory_mb
        ) / capacity.memory_mb
        # Tasks without accelerators use workers with accelerators last.
        wastes_accelerators = capacity.accelerators_count > 0 and size.accelerators_count == 0
        if spread_job is None:
            return wastes_accelerators, remaining_fraction
        on_worker = sum(1 for attempt in worker.attempts.values() if attempt.job is spread_job)
        return (
            spread_job.tasks_per_rack.get(worker.vm.rack, 0),
            on_worker,
            wastes_accelerators,
            remaining_fraction,
        )

    def fits_an_empty_worker(self, size: ResourceVector) -> bool:
        """Return whether a task of this size fits on one of the workers when it is empty."""
        return any(
            count and size.fits_in(empty_capacity)
            for empty_capacity, count in self.capacity_counts.items()
        )

    def max_tasks_if_empty(self, size: ResourceVector) -> int:
        """Return how many tasks of a size fit on all workers together when they are empty."""
        return sum(
            count * count_tasks_that_fit(capacity, size)
            for capacity, count in self.capacity_counts.items()
            if count
        )


def count_tasks_that_fit(available: ResourceVector, size: ResourceVector) -> int:
    """Return how many tasks of a size fit into an amount of free resources."""
    counts = []
    for have, need in (
        (available.processors_millicores, size.processors_millicores),
        (available.memory_mb, size.memory_mb),
        (available.accelerators_count, size.accelerators_count),
    ):
        if need > 0:
            counts.append(max(0, have) // need)
    return min(counts) if counts else 0
