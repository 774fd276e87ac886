"""Preemption: reclaims resources from running attempts in the steps that contracts allow."""

from collections.abc import Callable

import attrs

from ..contracts import Contract, ReclaimStep
from ..jobs import JobKind
from ..resources import ResourceVector
from ._attempts import AttemptTable
from ._free_index import FreeIndex
from ._model import Attempt, Job, Pool, Worker
from ._worker_pools import WorkerPools

RESERVATION_S = 10.0


@attrs.define(slots=True)
class _ActiveReclaim:
    attempt: Attempt
    steps: list[ReclaimStep]
    next_step: int
    due_s: float
    step_interval_s: float


class Reclaimer:
    """Reclaims resources of attempts and reserves the worker for the job that needs them.

    Args:
        pools: pools of workers by the work they accept.
        attempts: table of attempts.
        contract_of: function that returns the contract of a customer, or None.
    """

    def __init__(
        self,
        pools: WorkerPools,
        attempts: AttemptTable,
        contract_of: Callable[[str], Contract | None],
    ) -> None:
        self.pools = pools
        self.attempts = attempts
        self.contract_of = contract_of
        self.reclaimable_by_customer: dict[str, dict[object, Attempt]] = {}
        self.reserved_workers: dict[str, list[Worker]] = {}
        self._index = FreeIndex()
        self._active_reclaims: list[_ActiveReclaim] = []

    def add_reclaimable(self, attempt: Attempt) -> None:
        """Count a new attempt as reclaimable if its job and contract allow it."""
        attempt.reclaimable = self._is_reclaimable(attempt)
        if attempt.reclaimable:
            self._add(attempt.worker, attempt.charged, 1)
            of_customer = self.reclaimable_by_customer.setdefault(attempt.job.spec.customer, {})
            of_customer[attempt.attempt_id] = attempt

    def remove_reclaimable(self, attempt: Attempt) -> None:
        """Stop counting an attempt as reclaimable."""
        if attempt.reclaimable:
            self._add(attempt.worker, attempt.charged, -1)
            self.reclaimable_by_customer[attempt.job.spec.customer].pop(attempt.attempt_id, None)
            attempt.reclaimable = False

    def update_reclaimable_charge(self, attempt: Attempt, before: ResourceVector) -> None:
        """Update the reclaimable resources after the charge of an attempt changed."""
        if attempt.reclaimable:
            self._add(attempt.worker, attempt.charged - before, 1)

    def _is_reclaimable(self, attempt: Attempt) -> bool:
        job = attempt.job
        if job is None or not job.spec.restartable or job.spec.kind is not JobKind.BATCH:
            return False
        contract = self.contract_of(job.spec.customer)
        steps = () if contract is None else contract.reclaim_steps
        return ReclaimStep.CHECKPOINT in steps or ReclaimStep.STOP in steps

    def _add(self, worker: Worker, size: ResourceVector, sign: int) -> None:
        worker.reclaimable_processors_millicores += sign * size.processors_millicores
        worker.reclaimable_memory_mb += sign * size.memory_mb
        worker.reclaimable_accelerators_count += sign * size.accelerators_count

    def update_free_resources(self, worker: Worker) -> None:
        """Update the index after the free resources or the pool of a worker changed."""
        if (
            worker.pool in (Pool.CLOSED, Pool.RESERVED)
            or not worker.reclaimable_processors_millicores
        ):
            self._index.remove(worker.worker_number)
            return
        available = worker.free + ResourceVector(
            worker.reclaimable_processors_millicores,
            worker.reclaimable_memory_mb,
            worker.reclaimable_accelerators_count,
        )
        self._index.put(worker.worker_number, available, worker.vm.capacity.accelerators_count > 0)

    def find_reclaimable_worker(self, size: ResourceVector) -> Worker | None:
        """Return a worker whose free and reclaimable resources together suffice, or None."""
        for worker_number, _, _ in self._index.iter_fitting(size):
            return self.pools.workers.by_number[worker_number]
        return None

    def reclaim_for_job(
        self, worker: Worker, job: Job, size: ResourceVector, step_interval_s: float, now_s: float
    ) -> int:
        """Reclaim resources for one task of a job and reserve the worker for the job.

        Args:
            worker: worker on which to reclaim.
            job: job that gets the resources.
            size: resources that its task needs.
            step_interval_s: time in seconds between two reclaim steps.
            now_s: current time in seconds.

        Returns:
            Number of attempts that are reclaimed; 0 if reclaiming them all would not suffice.
        """
        victims = [a for a in worker.attempts.values() if a.reclaimable]
        # The newest attempts lose the least work when they are stopped.
        victims.sort(key=lambda attempt: -attempt.started_s)
        available, chosen = worker.free, []
        for victim in victims:
            if size.fits_in(available):
                break
            available, chosen = available + victim.charged, [*chosen, victim]
        if not size.fits_in(available):
            return 0
        worker.reserved_for_job_id, worker.reservation_ends_s = (
            job.spec.job_id,
            now_s + RESERVATION_S,
        )
        self.reserved_workers.setdefault(job.spec.job_id, []).append(worker)
        self.pools.move_to_pool(worker, Pool.RESERVED)
        for victim in chosen:
            self.start_reclaim(victim, step_interval_s, now_s)
        self.update_free_resources(worker)
        return len(chosen)

    def start_reclaim(self, attempt: Attempt, step_interval_s: float, now_s: float) -> None:
        """Start the reclaim steps of the customer's contract for one attempt."""
        contract = self.contract_of(attempt.job.spec.customer)
        step_order = (ReclaimStep.CHECKPOINT, ReclaimStep.THROTTLE, ReclaimStep.STOP)
        steps = [step for step in step_order if step in contract.reclaim_steps]
        self.remove_reclaimable(attempt)
        active_reclaim = _ActiveReclaim(attempt, steps, 0, now_s, step_interval_s)
        self._active_reclaims.append(active_reclaim)
        self._send_next_step(active_reclaim, now_s)

    def _send_next_step(self, active_reclaim: _ActiveReclaim, now_s: float) -> None:
        self.attempts.send_reclaim_step(
            active_reclaim.attempt, active_reclaim.steps[active_reclaim.next_step], now_s
        )
        active_reclaim.next_step += 1
        active_reclaim.due_s = now_s + active_reclaim.step_interval_s

    def advance(self, now_s: float) -> None:
        """Send due reclaim steps, and cancel reservations that were not used in time."""
        active = []
        for active_reclaim in self._active_reclaims:
            attempt = active_reclaim.attempt
            if attempt.worker.attempts.get(attempt.attempt_id) is not attempt:
                continue
            if now_s >= active_reclaim.due_s:
                active_reclaim.next_step = min(
                    active_reclaim.next_step, len(active_reclaim.steps) - 1
                )
                self._send_next_step(active_reclaim, now_s)
            active.append(active_reclaim)
        self._active_reclaims = active
        for job_id, workers in list(self.reserved_workers.items()):
            for worker in list(workers):
                if now_s >= worker.reservation_ends_s or worker.pool is not Pool.RESERVED:
                    self.cancel_worker_reservation(job_id, worker)

    def cancel_worker_reservation(self, job_id: str, worker: Worker) -> None:
        """End the reservation of a worker and return it to the general pool."""
        workers = self.reserved_workers.get(job_id, [])
        if worker in workers:
            workers.remove(worker)
        if not workers:
            self.reserved_workers.pop(job_id, None)
        worker.reserved_for_job_id = ""
        if worker.pool is Pool.RESERVED:
            self.pools.move_to_pool(worker, Pool.GENERAL)
        self.update_free_resources(worker)

    def find_reserved_worker(self, job: Job, size: ResourceVector) -> Worker | None:
        """Return a worker reserved for the job on which a task of this size fits now, or None."""
        for worker in self.reserved_workers.get(job.spec.job_id, ()):
            if worker.pool is Pool.RESERVED and worker.can_fit(size):
                return worker
        return None

    def cancel_reservations_of(self, job: Job) -> None:
        """End the reservations for a job that needs no more resources."""
        for worker in list(self.reserved_workers.get(job.spec.job_id, ())):
            self.cancel_worker_reservation(job.spec.job_id, worker)
