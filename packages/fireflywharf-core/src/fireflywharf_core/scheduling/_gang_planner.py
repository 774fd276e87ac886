"""Placement of gangs, all tasks at once, and a reservation for the oldest blocked job."""

import math

from ..jobs import JobKind
from ..resources import ResourceVector
from ._attempts import AttemptTable
from ._model import Attempt, Job, Pool, Worker
from ._worker_pools import WorkerPools, count_tasks_that_fit

RETRY_S = 0.25
RESERVE_AFTER_S = 1.0
# Smaller tasks may overtake a blocked single task for this long before it may reserve a worker.
RESERVE_SINGLE_AFTER_S = 5.0
RESERVE_SINGLE_FRACTION = 0.1
MAX_EXAMINED_PER_DECISION = 128
OVERDUE_S = 10.0


def expected_end_s(attempt: Attempt, now_s: float) -> float:
    """Return the time at which an attempt is expected to end.

    An attempt that exceeds its estimate is expected to run for as long again as it has run. The
    result is infinite for services and for attempts of unknown jobs.
    """
    if attempt.job is None or attempt.job.spec.kind is JobKind.SERVICE:
        return math.inf
    end_s = attempt.started_s + attempt.estimate_s
    return end_s if end_s > now_s else 2 * now_s - attempt.started_s


class GangPlanner:
    """Starts gangs as a whole and reserves workers for one blocked job at a time.

    There is only one reservation, so that two gangs cannot block each other by each holding a part
    of the workers.

    Args:
        pools: pools of workers by the work they accept.
        attempts: table of attempts.
    """

    def __init__(self, pools: WorkerPools, attempts: AttemptTable) -> None:
        self.pools = pools
        self.attempts = attempts
        self.holder: Job | None = None
        self.holder_size = ResourceVector()
        self.ready_s = math.inf
        self.reserved: list[Worker] = []
        self._examine_count = 0
        self._candidates: dict[str, tuple[Job, ResourceVector]] = {}

    def try_start(self, job: Job, size: ResourceVector, estimate_s: float, now_s: float) -> bool:
        """Start all waiting tasks of a gang if they all fit now; return whether they started."""
        if now_s < job.next_try_s:
            return False
        placed = self._place_all(job, size, now_s)
        if placed is None:
            job.next_try_s = now_s + RETRY_S
            return False
        for worker in placed:
            self.attempts.launch(job, worker, size, now_s, estimate_s)
        if self.holder is job:
            self.end_reservation()
        return True

    def _place_all(self, job: Job, size: ResourceVector, now_s: float) -> list[Worker] | None:
        searched_pools = (Pool.GANG, Pool.GENERAL) if self.holder is job else (Pool.GENERAL,)
        workers, placed = self.attempts.workers, []
        for _ in range(job.waiting_count):
            worker = None
            for pool in searched_pools:
                worker = worker or self.pools.find_worker(size, pool)
            if worker is None:
                break
            workers.charge(worker, size, now_s)
            placed.append(worker)
        for worker in placed:
            workers.discharge(worker, size, now_s)
        return placed if len(placed) == job.waiting_count else None

    def note_blocked(self, job: Job, size: ResourceVector, now_s: float) -> None:
        """Make a job that fits on no worker a candidate for the reservation."""
        if job.blocked_since_s is None:
            job.blocked_since_s = now_s
        if not job.is_gang:
            largest = max((c.processors_millicores for c in self.pools.capacity_counts), default=0)
            if size.processors_millicores < RESERVE_SINGLE_FRACTION * largest:
                return
        self._candidates[job.spec.job_id] = (job, size)

    def update_reservation(self, now_s: float) -> None:
        """Choose the job that holds the reservation and reserve workers until they suffice."""
        self._candidates = {
            key: (job, size)
            for key, (job, size) in self._candidates.items()
            if job.queued and job.waiting_count and job.blocked_since_s is not None
        }
        holder = self.holder
        if holder is not None and holder.spec.job_id not in self._candidates:
            self.end_reservation()
        if self.holder is None:
            self._choose_holder(now_s)
        if self.holder is not None and (
            now_s >= self.ready_s or not self._has_enough(self.reserved)
        ):
            self._reserve(now_s)

    def _choose_holder(self, now_s: float) -> None:
        eligible = []
        for job, size in self._candidates.values():
            is_prioritized = job.is_gang or job.short
            wait_s = RESERVE_AFTER_S if is_prioritized else RESERVE_SINGLE_AFTER_S
            if now_s - job.blocked_since_s >= wait_s:
                eligible.append((job.sequence, job, size))
        if eligible:
            _, self.holder, self.holder_size = min(eligible)
            self._examine_count = max(32, 2 * self._tasks_count())

    def _tasks_count(self) -> int:
        return self.holder.waiting_count if self.holder.is_gang else 1

    def _has_enough(self, workers: list[Worker]) -> bool:
        tasks_that_fit = sum(self._count_tasks_on(worker) for worker in workers)
        return tasks_that_fit >= self._tasks_count()

    def _count_tasks_on(self, worker: Worker) -> int:
        unending_charge = ResourceVector()
        for attempt in worker.attempts.values():
            if attempt.job is None or attempt.job.spec.kind is JobKind.SERVICE:
                unending_charge += attempt.charged
        return count_tasks_that_fit(worker.vm.capacity - unending_charge, self.holder_size)

    def _reserve(self, now_s: float) -> None:
        index = self.pools.indexes[Pool.GENERAL]
        limit = min(self._examine_count, MAX_EXAMINED_PER_DECISION)
        needed_accelerators_count = self.holder_size.accelerators_count
        found = [worker for worker in self.reserved if worker.pool is Pool.GANG]
        for worker_number in index.iter_by_free_descending(needed_accelerators_count > 0):
            if limit == 0:
                break
            limit -= 1
            worker = self.pools.workers.by_number[worker_number]
            if self.holder_size.fits_in(worker.vm.capacity):
                found.append(worker)
        self._examine_count *= 2
        by_ready_time = sorted((self._ready_s(w, now_s), w.worker_number, w) for w in found)
        chosen, tasks_that_fit = [], 0
        for ready_s, _, worker in by_ready_time:
            if tasks_that_fit >= self._tasks_count() or ready_s == math.inf:
                break
            chosen.append((ready_s, worker))
            tasks_that_fit += self._count_tasks_on(worker)
        kept = {worker.worker_number for _, worker in chosen}
        for worker in self.reserved:
            if worker.worker_number not in kept and worker.pool is Pool.GANG:
                self.pools.move_to_pool(worker, Pool.GENERAL)
        self.reserved = [worker for _, worker in chosen]
        self.ready_s = max((ready_s for ready_s, _ in chosen), default=now_s) + RETRY_S
        for worker in self.reserved:
            self.pools.move_to_pool(worker, Pool.GANG)

    def _ready_s(self, worker: Worker, now_s: float) -> float:
        available = worker.free
        if self.holder_size.fits_in(available):
            return now_s
        ends = sorted(
            (expected_end_s(attempt, now_s), number, attempt)
            for number, attempt in enumerate(worker.attempts.values())
        )
        for end_s, _, attempt in ends:
            available = available + attempt.charged
            if self.holder_size.fits_in(available):
                return end_s
        return math.inf

    def end_reservation(self) -> None:
        """End the reservation and return its workers to the general pool."""
        for worker in self.reserved:
            if worker.pool is Pool.GANG:
                self.pools.move_to_pool(worker, Pool.GENERAL)
        if self.holder is not None:
            self._candidates.pop(self.holder.spec.job_id, None)
        self.holder, self.reserved, self.ready_s = None, [], math.inf

    def backfill(self, size: ResourceVector, estimate_s: float, now_s: float) -> Worker | None:
        """Return a reserved worker for a task that is expected to end before the gang can start."""
        if self.holder is None or now_s + estimate_s >= self.ready_s:
            return None
        return self.pools.find_worker(size, Pool.GANG)
