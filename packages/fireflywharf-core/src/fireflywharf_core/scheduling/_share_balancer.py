"""Reclaims resources from customers above their fair share for customers below it."""

from __future__ import annotations

from itertools import islice

from ..accounts import Account
from ..contracts import ReclaimStep
from ._engine import PolicyEngine
from ._model import Attempt, Job, Worker

# Relative distance from the fair share within which no running task is reclaimed.
SHARE_TOLERANCE = 0.02
MAX_RECLAIMS_PER_DECISION = 4
MAX_RESERVATIONS_PER_CUSTOMER = 16
# Short tasks wait this long for free resources before long tasks of their customer are reclaimed.
SHORT_WAIT_S = 1.0
LONG_ATTEMPTS_EXAMINED = 64
MAX_MOVES_PER_DECISION = 32


class ShareBalancer:
    """Compares the resources customers hold with their fair shares and reclaims the excess.

    Args:
        engine: policy engine with the tables.
    """

    def __init__(self, engine: PolicyEngine) -> None:
        self.engine = engine
        self.leaving_workers: dict[str, Worker] = {}
        self._below_since_: dict[str, float] = {}
        self._jobs_with_reservations: dict[str, set[str]] = {}
        self._reclaims_left_count = 0

    def fair_shares(self) -> dict[str, float]:
        """Return the fair share of each customer that holds resources or has waiting jobs.

        Returns:
            Fraction of the domain by customer; the fractions add up to 1.
        """
        engine = self.engine
        active = [
            account
            for name, account in engine.ledger.accounts_.items()
            if account.held_share > 0 or name in engine.queue.customers
        ]
        total_weight = sum(account.weight for account in active) or 1.0
        return {account.name: account.weight / total_weight for account in active}

    def reclaim_for_customers_below_share(self, now_s: float) -> None:
        """Reclaim resources for customers that were below their share for `reclaim_delay_s`."""
        self._reclaims_left_count = MAX_RECLAIMS_PER_DECISION
        self._reclaim_for_short_tasks(now_s)
        engine, shares = self.engine, self.fair_shares()
        accounts = engine.ledger.accounts_
        customers_above_share = sorted(
            (accounts[name].held_share / share, name)
            for name, share in shares.items()
            if accounts[name].held_share > share * (1 + SHARE_TOLERANCE)
            and engine.reclaimer.reclaimable_by_customer.get(name)
        )
        for name, share in sorted(
            shares.items(), key=lambda row: accounts[row[0]].held_share / row[1]
        ):
            account = accounts[name]
            if name not in engine.queue.customers or account.held_share >= share * (
                1 - SHARE_TOLERANCE
            ):
                self._below_since_.pop(name, None)
                continue
            since_s = self._below_since_.setdefault(name, now_s)
            if now_s - since_s >= engine.policy.reclaim_delay_s and customers_above_share:
                self._reclaim_from(
                    account,
                    [name_above_share for _, name_above_share in reversed(customers_above_share)],
                    now_s,
                )

    def checkpoint_on_leaving_workers(self, now_s: float) -> None:
        """Checkpoint attempts on leaving workers where contracts allow it, to restart elsewhere."""
        remaining_moves = MAX_MOVES_PER_DECISION
        for worker in list(self.leaving_workers.values()):
            movable = [attempt for attempt in worker.attempts.values() if attempt.reclaimable]
            for attempt in movable[:remaining_moves]:
                if (
                    ReclaimStep.CHECKPOINT
                    in self.engine.contract_of(attempt.job.spec.customer).reclaim_steps
                ):
                    step_interval_s = self.engine.policy.reclaim_escalation_s
                    self.engine.reclaimer.start_reclaim(attempt, step_interval_s, now_s)
            remaining_moves -= min(remaining_moves, len(movable))
            if len(movable) <= remaining_moves or worker.lost or not worker.attempts:
                del self.leaving_workers[worker.name]

    def _reclaim_for_short_tasks(self, now_s: float) -> None:
        """Checkpoint long tasks of customers whose own short tasks find no free resources."""
        engine = self.engine
        for name in list(engine.queue.customers):
            account = engine.ledger.accounts_.get(name)
            if account is None or ReclaimStep.CHECKPOINT not in account.contract.reclaim_steps:
                continue
            while self._reclaims_left_count > 0:
                victim, job = self._newest_long_attempt(name), self._blocked_short_job(
                    account, now_s
                )
                if victim is None or job is None or self._has_max_reservations(account):
                    break
                size = engine.size_of_job(job, now_s)
                step_interval_s = engine.policy.reclaim_escalation_s
                if not engine.reclaimer.reclaim_for_job(
                    victim.worker, job, size, step_interval_s, now_s
                ):
                    break
                self._reclaims_left_count -= 1
                self._jobs_with_reservations[name].add(job.spec.job_id)

    def _newest_long_attempt(self, name: str) -> Attempt | None:
        attempts = self.engine.reclaimer.reclaimable_by_customer.get(name, {}).values()
        for attempt in islice(reversed(attempts), LONG_ATTEMPTS_EXAMINED):
            if attempt.counts_as_long and not attempt.job.short:
                return attempt
        return None

    def _blocked_short_job(self, account: Account, now_s: float) -> Job | None:
        engine = self.engine
        for queue in engine.queue.customers.get(account.name, {}).values():
            if not queue.size_class.short:
                continue
            for job in queue.first_jobs(engine.policy.lookahead_count):
                reserved_count = len(engine.reclaimer.reserved_workers.get(job.spec.job_id, ()))
                waited = (
                    job.blocked_since_s is not None and now_s - job.blocked_since_s >= SHORT_WAIT_S
                )
                if waited and reserved_count < job.waiting_count:
                    return job
        return None

    def _has_max_reservations(self, account: Account) -> bool:
        reserved_workers = self.engine.reclaimer.reserved_workers
        job_ids = self._jobs_with_reservations.setdefault(account.name, set())
        job_ids &= reserved_workers.keys()
        count = sum(len(reserved_workers[job_id]) for job_id in job_ids)
        return count >= MAX_RESERVATIONS_PER_CUSTOMER

    def _reclaim_from(self, account: Account, names_above_share: list[str], now_s: float) -> None:
        engine = self.engine
        while self._reclaims_left_count > 0:
            if self._has_max_reservations(account):
                return
            job = self._find_job_within_quota(account, now_s)
            victim = self._choose_victim(names_above_share)
            if job is None or victim is None:
                return
            size = engine.size_of_job(job, now_s)
            step_interval_s = engine.policy.reclaim_escalation_s
            if not engine.reclaimer.reclaim_for_job(
                victim.worker, job, size, step_interval_s, now_s
            ):
                return
            self._reclaims_left_count -= 1
            self._jobs_with_reservations[account.name].add(job.spec.job_id)

    def _find_job_within_quota(self, account: Account, now_s: float) -> Job | None:
        engine = self.engine
        for queue in sorted(
            engine.queue.customers.get(account.name, {}).values(), key=lambda q: q.head_key
        ):
            for job in queue.first_jobs(engine.policy.lookahead_count):
                reserved_count = len(engine.reclaimer.reserved_workers.get(job.spec.job_id, ()))
                if job.is_gang or reserved_count >= job.waiting_count:
                    continue
                size = engine.size_of_job(job, now_s)
                if engine.is_within_quota(job, account, size, reserved_count + 1):
                    return job
        return None

    def _choose_victim(self, names_above_share: list[str]) -> Attempt | None:
        # The newest attempt of the customer furthest above its share.
        for name in names_above_share:
            attempts = self.engine.reclaimer.reclaimable_by_customer.get(name)
            if attempts:
                return next(reversed(attempts.values()))
        return None

    def start_on_reserved_workers(self, now_s: float) -> None:
        """Start tasks on the workers reserved for their jobs, once the resources are free."""
        engine = self.engine
        for job_id in list(engine.reclaimer.reserved_workers):
            job = engine.jobs.get(job_id)
            if job is None or not job.queued:
                continue
            account = engine.ledger.accounts_.get(job.spec.customer)
            size = engine.size_of_job(job, now_s)
            worker = engine.reclaimer.find_reserved_worker(job, size)
            while worker is not None and job.waiting_count:
                if not engine.is_within_quota(job, account, size, 1):
                    break
                engine.reclaimer.cancel_worker_reservation(job_id, worker)
                estimate_s = engine.run_times_.predict(job.spec)
                engine.attempts.launch(job, worker, size, now_s, estimate_s)
                engine.dequeue_if_all_started(job)
                worker = engine.reclaimer.find_reserved_worker(job, size)
