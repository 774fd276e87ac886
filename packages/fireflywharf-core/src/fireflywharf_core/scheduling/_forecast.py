"""Expected fate of a job at its admission."""

from __future__ import annotations

import math

from ..jobs import JobKind, JobSpec
from ..resources import ResourceVector
from ..results import ResultCode
from ._actions import AdmissionForecast
from ._engine import PolicyEngine
from ._lending import Lending
from ._model import Job, Zone
from ._share import Account

# Jobs of a customer that are looked at to estimate the work ahead of a new one.
SAMPLED_JOBS = 64


class Forecaster:
    """Estimates start and end from the queue, the share and learned run times.

    Args:
        engine: policy engine with the tables.
        lending: predicts shares.
    """

    def __init__(self, engine: PolicyEngine, lending: Lending) -> None:
        self.engine = engine
        self.lending = lending

    def obstacle(self, spec: JobSpec) -> tuple[ResultCode, str] | None:
        """Return why a job can never run with the present workers and contracts, or None."""
        engine = self.engine
        account = engine.ledger.accounts_.get(spec.customer)
        if account is None:
            return ResultCode.UNKNOWN_CUSTOMER, f"no contract of {spec.customer} is in force"
        if spec.team and spec.team not in account.teams:
            return ResultCode.REFUSED_BY_CONTRACT, f"team {spec.team} is not in the contract"
        together = spec.tasks_count if spec.kind is JobKind.GANG else 1
        for holder in (account, account.teams.get(spec.team)):
            if holder is not None and not _quota_can_hold(holder, spec.size, together):
                detail = f"the quota of {holder.name} is below the size of the job"
                return ResultCode.QUOTA_EXCEEDED, detail
        count = engine.rooms.largest_count(spec.size)
        if count == 0:
            return ResultCode.INFEASIBLE, "no worker can ever hold a task of this size"
        if count < together:
            detail = f"all workers together hold {count} of its {together} tasks"
            return ResultCode.INFEASIBLE, detail
        return None

    def predict(self, spec: JobSpec, now_s: float) -> AdmissionForecast:
        """Return the expected fate of a job that is not yet admitted."""
        obstacle = self.obstacle(spec)
        if obstacle is not None:
            code, detail = obstacle
            return AdmissionForecast(
                feasible=False,
                expected_start_s=math.inf,
                expected_late=spec.deadline_s is not None,
                code=code,
                detail=detail,
            )
        start_s = self._start_s(spec, now_s)
        end_s = start_s + self._span_s(spec)
        late = spec.deadline_s is not None and end_s > spec.deadline_s
        detail = f"expected start in {start_s:.1f} s, end in {end_s:.1f} s"
        return AdmissionForecast(
            feasible=True,
            expected_start_s=start_s,
            expected_late=late,
            code=ResultCode.ACCEPTED_LATE if late else ResultCode.OK,
            detail=detail,
        )

    def _span_s(self, spec: JobSpec) -> float:
        engine = self.engine
        run_s = engine.times_.predict(spec, 0.75)
        if spec.kind is JobKind.GANG:
            return run_s
        at_once = max(1, engine.rooms.largest_count(spec.size))
        return run_s * math.ceil(spec.tasks_count / at_once)

    def _start_s(self, spec: JobSpec, now_s: float) -> float:
        engine = self.engine
        if spec.kind is JobKind.URGENT:
            zones = (Zone.HEADROOM, Zone.GENERAL)
            if any(engine.rooms.find(spec.size, zone) for zone in zones):
                return 0.0
            return 2 * engine.policy.urgent_escalation_s
        waiting = engine.queue.customers.get(spec.customer)
        together = spec.tasks_count if spec.kind is JobKind.GANG else 1
        if not waiting and together == 1 and engine.rooms.find(spec.size) is not None:
            return 0.0
        account = engine.ledger.accounts_[spec.customer]
        shares = self.lending.predict()
        share = shares.get(account.name, account.weight / (account.weight + sum(shares.values())))
        return self._work_ahead(spec, now_s) / max(share, 1e-6)

    def _work_ahead(self, spec: JobSpec, now_s: float) -> float:
        """Return the share-seconds of the customer's work that is due before the job."""
        engine = self.engine
        predicted_s = engine.times_.predict(spec)
        due_s = now_s + (spec.deadline_s or engine.policy.slack_factor * predicted_s)
        ahead = self._mean_rest(spec.customer)
        for queue in engine.queue.customers.get(spec.customer, {}).values():
            jobs = queue.first(SAMPLED_JOBS)
            earlier = [job for job in jobs if job.order_key <= due_s]
            work = sum(self._work_of(job) for job in earlier)
            scale = len(queue) / len(jobs) if len(earlier) == len(jobs) else 1.0
            ahead += work * scale
        return ahead

    def _work_of(self, job: Job) -> float:
        engine = self.engine
        share = engine.size_of(job.spec).dominant_share(engine.rooms.total)
        return job.waiting_count * share * engine.times_.predict(job.spec)

    def _mean_rest(self, customer: str) -> float:
        # Room frees up on average after half the mean run time of what the customer holds now.
        engine = self.engine
        account = engine.ledger.accounts_[customer]
        return 0.5 * account.rate * engine.times_.predict_any()


def _quota_can_hold(account: Account, size: ResourceVector, count: int) -> bool:
    held, account.held = account.held, ResourceVector()
    try:
        return account.allows(size, count)
    finally:
        account.held = held
