"""Start of urgent work: headroom, free room, then preemption."""

from __future__ import annotations

from ..resources import ResourceVector
from ..results import ResultCode
from ._engine import PolicyEngine
from ._model import Job, Worker, Zone
from ._share import Account

MAX_RECLAIMS_PER_DECISION = 16


class UrgentStarter:
    """Starts urgent jobs before all other work.

    Args:
        engine: policy engine with the tables.
    """

    def __init__(self, engine: PolicyEngine) -> None:
        self.engine = engine

    def decide(self, now_s: float) -> None:
        """Start urgent tasks, and make room for those that find none."""
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
                job.wait_detail = "no contract of its customer is in force"
                continue
            size = engine.size_of_job(job, now_s)
            while starts and job.waiting_count and self._start(job, account, size, now_s):
                starts -= 1
            engine.dequeue_if_done(job)
            while reclaims and self._needs_reclaim(job, account, size):
                worker = engine.reclaimer.candidate(size)
                wait_s = engine.policy.urgent_escalation_s
                if worker is None:
                    break
                if not engine.reclaimer.reclaim(worker, job, size, wait_s, now_s):
                    break
                reclaims -= 1

    def _start(self, job: Job, account: Account, size: ResourceVector, now_s: float) -> bool:
        engine = self.engine
        if not engine.allowed_by_quota(job, account, size, 1):
            return False
        worker = self._find(job, account, size)
        if worker is None:
            job.wait_code, job.wait_detail = ResultCode.ACCEPTED, "room is being taken back for it"
            return False
        if worker.zone is Zone.PROMISED:
            engine.reclaimer.end_promise(job.spec.job_id, worker)
        estimate_s = engine.times_.predict(job.spec)
        engine.attempts.launch(job, worker, size, now_s, estimate_s)
        return True

    def _find(self, job: Job, account: Account, size: ResourceVector) -> Worker | None:
        rooms, worker = self.engine.rooms, None
        avoided = job.avoided.get(job.peek_waiting(), ()) if job.avoided else ()
        if account.contract.urgent_reserve_percent > 0:
            worker = rooms.find(size, Zone.HEADROOM, avoided)
        worker = worker or self.engine.reclaimer.promised_room(job, size)
        worker = worker or rooms.find(size, Zone.GENERAL, avoided)
        return worker or rooms.find(size, Zone.GANG, avoided)

    def _needs_reclaim(self, job: Job, account: Account, size: ResourceVector) -> bool:
        promised = len(self.engine.reclaimer.promises.get(job.spec.job_id, ()))
        if job.final or promised >= job.waiting_count:
            return False
        return self.engine.allowed_by_quota(job, account, size, promised + 1)
