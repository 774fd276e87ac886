"""Start of urgent jobs: in the headroom, in free resources, then by preemption."""

from __future__ import annotations

from ..accounts import Account
from ..resources import ResourceVector
from ..results import ResultCode
from ._engine import PolicyEngine
from ._model import Job, Pool, Worker

MAX_RECLAIMS_PER_DECISION = 16


class UrgentStarter:
    """Starts urgent jobs before all other jobs.

    Args:
        engine: policy engine with the tables.
    """

    def __init__(self, engine: PolicyEngine) -> None:
        self.engine = engine

    def start_urgent_jobs(self, now_s: float) -> None:
        """Start urgent tasks, and reclaim resources for those that do not fit."""
        engine = self.engine
        if not engine.queue.urgent:
            return
        starts = engine.policy.max_starts_per_decision
        reclaims = MAX_RECLAIMS_PER_DECISION
        for entry in list(engine.queue.urgent.islice(0, 2 * starts)):
            job = entry[2]
            account = engine.ledger.accounts_.get(job.spec.customer)
            if account is None:
                job.wait_code = ResultCode.UNKNOWN_CUSTOMER
                job.wait_detail = "its customer has no contract in force"
                continue
            size = engine.size_of_job(job, now_s)
            while starts and job.waiting_count and self._start(job, account, size, now_s):
                starts -= 1
            engine.dequeue_if_all_started(job)
            while reclaims and self._needs_reclaim(job, account, size):
                worker = engine.reclaimer.find_reclaimable_worker(size)
                step_interval_s = engine.policy.urgent_escalation_s
                if worker is None:
                    break
                if not engine.reclaimer.reclaim_for_job(worker, job, size, step_interval_s, now_s):
                    break
                reclaims -= 1

    def _start(self, job: Job, account: Account, size: ResourceVector, now_s: float) -> bool:
        engine = self.engine
        if not engine.is_within_quota(job, account, size, 1):
            return False
        worker = self._find_worker(job, account, size)
        if worker is None:
            job.wait_code, job.wait_detail = ResultCode.ACCEPTED, "it waits for reclaimed resources"
            return False
        if worker.pool is Pool.RESERVED:
            engine.reclaimer.cancel_worker_reservation(job.spec.job_id, worker)
        estimate_s = engine.run_times_.predict(job.spec)
        engine.attempts.launch(job, worker, size, now_s, estimate_s)
        return True

    def _find_worker(self, job: Job, account: Account, size: ResourceVector) -> Worker | None:
        pools, worker = self.engine.pools, None
        avoided_workers = (
            job.avoided_workers.get(job.peek_waiting(), ()) if job.avoided_workers else ()
        )
        if account.contract.urgent_reserve_percent > 0:
            worker = pools.find_worker(size, Pool.HEADROOM, avoided_workers)
        worker = worker or self.engine.reclaimer.find_reserved_worker(job, size)
        worker = worker or pools.find_worker(size, Pool.GENERAL, avoided_workers)
        return worker or pools.find_worker(size, Pool.GANG, avoided_workers)

    def _needs_reclaim(self, job: Job, account: Account, size: ResourceVector) -> bool:
        reserved_count = len(self.engine.reclaimer.reserved_workers.get(job.spec.job_id, ()))
        if job.is_final or reserved_count >= job.waiting_count:
            return False
        return self.engine.is_within_quota(job, account, size, reserved_count + 1)
