"""Forecast of start and end of a job at its admission."""

from __future__ import annotations

import math

from ..accounts import Account
from ..jobs import JobKind, JobSpec
from ..resources import ResourceVector
from ..results import ResultCode
from ._actions import AdmissionForecast
from ._engine import PolicyEngine
from ._model import Job, Pool
from ._share_balancer import ShareBalancer

# Jobs of each size queue that are examined to estimate the work ahead of a new job.
SAMPLED_JOBS = 64


class Forecaster:
    """Estimates start and end of a job from the queue, the fair share and learned run times.

    Args:
        engine: policy engine with the tables.
        balancer: computes fair shares.
    """

    def __init__(self, engine: PolicyEngine, balancer: ShareBalancer) -> None:
        self.engine = engine
        self.balancer = balancer

    def rejection_reason(self, spec: JobSpec) -> tuple[ResultCode, str] | None:
        """Return why a job can never run with the current workers and contracts, or None."""
        engine = self.engine
        account = engine.ledger.accounts_.get(spec.customer)
        if account is None:
            return ResultCode.UNKNOWN_CUSTOMER, f"customer {spec.customer} has no contract in force"
        if spec.team and spec.team not in account.teams:
            return ResultCode.REFUSED_BY_CONTRACT, f"team {spec.team} is not in the contract"
        simultaneous_count = spec.tasks_count if spec.kind is JobKind.GANG else 1
        for holder in (account, account.teams.get(spec.team)):
            if holder is not None and not _quota_can_hold(holder, spec.size, simultaneous_count):
                detail = f"the quota of {holder.name} is smaller than the job"
                return ResultCode.QUOTA_EXCEEDED, detail
        count = engine.pools.max_tasks_if_empty(spec.size)
        if count == 0:
            return ResultCode.INFEASIBLE, "a task of this size fits on no worker, even an empty one"
        if count < simultaneous_count:
            detail = f"all workers together can hold only {count} of its {simultaneous_count} tasks"
            return ResultCode.INFEASIBLE, detail
        return None

    def forecast_admission(self, spec: JobSpec, now_s: float) -> AdmissionForecast:
        """Return the expected start and lateness of a job that is not yet admitted."""
        rejection_reason = self.rejection_reason(spec)
        if rejection_reason is not None:
            code, detail = rejection_reason
            return AdmissionForecast(
                feasible=False,
                expected_start_s=math.inf,
                expected_late=spec.deadline_s is not None,
                code=code,
                detail=detail,
            )
        start_s = self._expected_wait_s(spec, now_s)
        end_s = start_s + self._expected_duration_s(spec)
        late = spec.deadline_s is not None and end_s > spec.deadline_s
        detail = f"expected start in {start_s:.1f} s, end in {end_s:.1f} s"
        return AdmissionForecast(
            feasible=True,
            expected_start_s=start_s,
            expected_late=late,
            code=ResultCode.ACCEPTED_LATE if late else ResultCode.OK,
            detail=detail,
        )

    def _expected_duration_s(self, spec: JobSpec) -> float:
        engine = self.engine
        run_s = engine.run_times_.predict(spec, 0.75)
        if spec.kind is JobKind.GANG:
            return run_s
        parallel_count = max(1, engine.pools.max_tasks_if_empty(spec.size))
        return run_s * math.ceil(spec.tasks_count / parallel_count)

    def _expected_wait_s(self, spec: JobSpec, now_s: float) -> float:
        engine = self.engine
        if spec.kind is JobKind.URGENT:
            searched_pools = (Pool.HEADROOM, Pool.GENERAL)
            if any(engine.pools.find_worker(spec.size, pool) for pool in searched_pools):
                return 0.0
            return 2 * engine.policy.urgent_escalation_s
        waiting = engine.queue.customers.get(spec.customer)
        simultaneous_count = spec.tasks_count if spec.kind is JobKind.GANG else 1
        if (
            not waiting
            and simultaneous_count == 1
            and engine.pools.find_worker(spec.size) is not None
        ):
            return 0.0
        account = engine.ledger.accounts_[spec.customer]
        shares = self.balancer.fair_shares()
        share = shares.get(account.name, account.weight / (account.weight + sum(shares.values())))
        return self._share_seconds_ahead(spec, now_s) / max(share, 1e-6)

    def _share_seconds_ahead(self, spec: JobSpec, now_s: float) -> float:
        """Return the share-seconds of the customer's tasks that are due before the job."""
        engine = self.engine
        predicted_s = engine.run_times_.predict(spec)
        due_s = now_s + (spec.deadline_s or engine.policy.slack_factor * predicted_s)
        share_seconds = self._remaining_share_seconds(spec.customer)
        for queue in engine.queue.customers.get(spec.customer, {}).values():
            jobs = queue.first_jobs(SAMPLED_JOBS)
            earlier = [job for job in jobs if job.order_key <= due_s]
            work = sum(self._waiting_share_seconds(job) for job in earlier)
            scale = len(queue) / len(jobs) if len(earlier) == len(jobs) else 1.0
            share_seconds += work * scale
        return share_seconds

    def _waiting_share_seconds(self, job: Job) -> float:
        engine = self.engine
        share = engine.size_of(job.spec).dominant_share(engine.pools.total)
        return job.waiting_count * share * engine.run_times_.predict(job.spec)

    def _remaining_share_seconds(self, customer: str) -> float:
        # Running tasks are on average half done, so half of their run time remains.
        engine = self.engine
        account = engine.ledger.accounts_[customer]
        return 0.5 * account.held_share * engine.run_times_.predict_any()


def _quota_can_hold(account: Account, size: ResourceVector, count: int) -> bool:
    held, account.held = account.held, ResourceVector()
    try:
        return account.has_quota_for(size, count)
    finally:
        account.held = held
