"""Taking lent room back for customers below their share."""

from __future__ import annotations

from itertools import islice

from ..contracts import ReclaimStep
from ._engine import PolicyEngine
from ._model import Attempt, Job, Worker
from ._share import Account

# Distance from the share, in parts of it, below which no running work is taken back.
TOLERANCE = 0.02
MAX_RECLAIMS_PER_DECISION = 4
MAX_PROMISES_PER_CUSTOMER = 16
# Short work waits this long for room to become free before long work of its customer is recalled.
SHORT_WAIT_S = 1.0
LONG_ATTEMPTS_EXAMINED = 64
MAX_MOVES_PER_DECISION = 32


class Lending:
    """Compares what customers hold with their shares, and reclaims from those above.

    Args:
        engine: policy engine with the tables.
    """

    def __init__(self, engine: PolicyEngine) -> None:
        self.engine = engine
        self.leaving: dict[str, Worker] = {}
        self._below_since_: dict[str, float] = {}
        self._promised: dict[str, set[str]] = {}
        self._left_count = 0

    def predict(self) -> dict[str, float]:
        """Return the share of each customer that holds or waits for something."""
        engine = self.engine
        active = [
            account
            for name, account in engine.ledger.accounts_.items()
            if account.rate > 0 or name in engine.queue.customers
        ]
        weights = sum(account.weight for account in active) or 1.0
        return {account.name: account.weight / weights for account in active}

    def decide(self, now_s: float) -> None:
        """Take room back for customers that waited long enough below their share."""
        self._left_count = MAX_RECLAIMS_PER_DECISION
        self._help_short_work(now_s)
        engine, shares = self.engine, self.predict()
        accounts = engine.ledger.accounts_
        above = sorted(
            (accounts[name].rate / share, name)
            for name, share in shares.items()
            if accounts[name].rate > share * (1 + TOLERANCE)
            and engine.reclaimer.by_customer.get(name)
        )
        for name, share in sorted(shares.items(), key=lambda row: accounts[row[0]].rate / row[1]):
            account = accounts[name]
            if name not in engine.queue.customers or account.rate >= share * (1 - TOLERANCE):
                self._below_since_.pop(name, None)
                continue
            since_s = self._below_since_.setdefault(name, now_s)
            if now_s - since_s >= engine.policy.reclaim_delay_s and above:
                self._take_back(account, [donor for _, donor in reversed(above)], now_s)

    def empty_leaving(self, now_s: float) -> None:
        """Move work off leaving workers by checkpoint where contracts allow it."""
        left = MAX_MOVES_PER_DECISION
        for worker in list(self.leaving.values()):
            movable = [attempt for attempt in worker.attempts.values() if attempt.reclaimable]
            for attempt in movable[:left]:
                if (
                    ReclaimStep.CHECKPOINT
                    in self.engine.contract_of(attempt.job.spec.customer).reclaim_steps
                ):
                    wait_s = self.engine.policy.reclaim_escalation_s
                    self.engine.reclaimer.recall(attempt, wait_s, now_s)
            left -= min(left, len(movable))
            if len(movable) <= left or worker.lost or not worker.attempts:
                del self.leaving[worker.name]

    def _help_short_work(self, now_s: float) -> None:
        """Recall long work by checkpoint where short work of the same customer waits."""
        engine = self.engine
        for name in list(engine.queue.customers):
            account = engine.ledger.accounts_.get(name)
            if account is None or ReclaimStep.CHECKPOINT not in account.contract.reclaim_steps:
                continue
            while self._left_count > 0:
                victim, job = self._newest_long(name), self._blocked_short(account, now_s)
                if victim is None or job is None or self._promises_used(account):
                    break
                size = engine.size_of_job(job, now_s)
                wait_s = engine.policy.reclaim_escalation_s
                if not engine.reclaimer.reclaim(victim.worker, job, size, wait_s, now_s):
                    break
                self._left_count -= 1
                self._promised[name].add(job.spec.job_id)

    def _newest_long(self, name: str) -> Attempt | None:
        attempts = self.engine.reclaimer.by_customer.get(name, {}).values()
        for attempt in islice(reversed(attempts), LONG_ATTEMPTS_EXAMINED):
            if attempt.long and not attempt.job.short:
                return attempt
        return None

    def _blocked_short(self, account: Account, now_s: float) -> Job | None:
        engine = self.engine
        for queue in engine.queue.customers.get(account.name, {}).values():
            if not queue.size_class.short:
                continue
            for job in queue.first(engine.policy.lookahead_count):
                promised = len(engine.reclaimer.promises.get(job.spec.job_id, ()))
                waited = job.blocked_s is not None and now_s - job.blocked_s >= SHORT_WAIT_S
                if waited and promised < job.waiting_count:
                    return job
        return None

    def _promises_used(self, account: Account) -> bool:
        promises = self.engine.reclaimer.promises
        promised = self._promised.setdefault(account.name, set())
        promised &= promises.keys()
        count = sum(len(promises[job_id]) for job_id in promised)
        return count >= MAX_PROMISES_PER_CUSTOMER

    def _take_back(self, account: Account, donors: list[str], now_s: float) -> None:
        engine = self.engine
        while self._left_count > 0:
            if self._promises_used(account):
                return
            job = self._next_job(account, now_s)
            victim = self._victim(donors)
            if job is None or victim is None:
                return
            size = engine.size_of_job(job, now_s)
            wait_s = engine.policy.reclaim_escalation_s
            if not engine.reclaimer.reclaim(victim.worker, job, size, wait_s, now_s):
                return
            self._left_count -= 1
            self._promised[account.name].add(job.spec.job_id)

    def _next_job(self, account: Account, now_s: float) -> Job | None:
        engine = self.engine
        for queue in sorted(
            engine.queue.customers.get(account.name, {}).values(), key=lambda q: q.head_key
        ):
            for job in queue.first(engine.policy.lookahead_count):
                promised = len(engine.reclaimer.promises.get(job.spec.job_id, ()))
                if job.is_gang or promised >= job.waiting_count:
                    continue
                size = engine.size_of_job(job, now_s)
                if engine.allowed_by_quota(job, account, size, promised + 1):
                    return job
        return None

    def _victim(self, donors: list[str]) -> Attempt | None:
        # The newest attempt of the customer that is furthest above its share.
        for name in donors:
            attempts = self.engine.reclaimer.by_customer.get(name)
            if attempts:
                return next(reversed(attempts.values()))
        return None

    def start_promised(self, now_s: float) -> None:
        """Start the jobs whose promised room has become free."""
        engine = self.engine
        for job_id in list(engine.reclaimer.promises):
            job = engine.jobs.get(job_id)
            if job is None or not job.queued:
                continue
            account = engine.ledger.accounts_.get(job.spec.customer)
            size = engine.size_of_job(job, now_s)
            worker = engine.reclaimer.promised_room(job, size)
            while worker is not None and job.waiting_count:
                if not engine.allowed_by_quota(job, account, size, 1):
                    break
                engine.reclaimer.end_promise(job_id, worker)
                estimate_s = engine.times_.predict(job.spec)
                engine.attempts.launch(job, worker, size, now_s, estimate_s)
                engine.dequeue_if_done(job)
                worker = engine.reclaimer.promised_room(job, size)
