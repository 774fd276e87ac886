"""Policy engine with fair share, learned times, gangs, urgent work and reclaim."""

import heapq
import math
import random

from ..contracts import Contract
from ..jobs import JobKind, JobSpec
from ..resources import ResourceVector
from ..results import ResultCode
from ._actions import AdmissionForecast
from ._attempts import AttemptTable
from ._estimators import RunTimes, Sizes
from ._facts import (
    AttemptCharged,
    AttemptConfirmed,
    AttemptHeld,
    AttemptMeasured,
    AttemptReleased,
    CapacityChanged,
    ContractSet,
    Fact,
    JobGone,
    JobReady,
    RoomChanged,
)
from ._forecast import Forecaster
from ._gangs import GangPlanner
from ._headroom import Headroom
from ._jobs import JobTable
from ._lending import Lending
from ._model import Job, Worker, Zone
from ._policy import FairShare
from ._queue import SizeClass, SizeQueue, WaitingQueue
from ._reclaim import Reclaimer
from ._rooms import Rooms
from ._share import Account, ShareLedger
from ._stragglers import ShortWorkGuard
from ._urgent import UrgentStarter
from ._workers import WorkerTable

# Waiting work is tried again after this time even if no room grew, because bounds change with time.
RETRY_ALL_S = 0.25
SIZE_REFRESH_S = 1.0


class FairShareEngine:
    """Decides which waiting tasks start where.

    Args:
        policy: parameters.
        rng: source of randomness.
        jobs: table of jobs.
        workers: table of workers.
        attempts: table of attempts.
    """

    def __init__(
        self,
        policy: FairShare,
        rng: random.Random,
        jobs: JobTable,
        workers: WorkerTable,
        attempts: AttemptTable,
    ) -> None:
        self.policy = policy
        self.rng = rng
        self.jobs = jobs
        self.workers = workers
        self.attempts = attempts
        self.times_ = RunTimes()
        self.sizes_ = Sizes(policy.size_factor_min, policy.size_factor_max, policy.correct_sizes)
        self.queue = WaitingQueue()
        self.rooms = Rooms(workers, policy.candidates_count)
        self.ledger = ShareLedger(policy.window_s, policy.charging)
        self.guard = ShortWorkGuard(policy, self.times_)
        self.gangs = GangPlanner(self.rooms, attempts)
        self.reclaimer = Reclaimer(self.rooms, attempts, self.contract_of)
        self.headroom = Headroom(self.rooms, self.ledger)
        self.urgent = UrgentStarter(self)
        self.lending = Lending(self)
        self.forecaster = Forecaster(self, self.lending)
        self.has_more_actions = False
        self._changed = True
        self._capacity_changed = False
        self._retry_s = 0.0

    def contract_of(self, customer: str) -> Contract | None:
        """Return the contract of a customer, or None."""
        account = self.ledger.accounts_.get(customer)
        return None if account is None else account.contract

    def observe(self, fact: Fact, now_s: float) -> None:
        """Take up a fact from the tables."""
        match fact:
            case RoomChanged(worker, grew):
                if worker.leaving:
                    self.lending.leaving[worker.name] = worker
                self.rooms.observe_room(worker, grew)
                self.reclaimer.observe_room(worker)
                self._changed |= grew
            case AttemptHeld(attempt):
                self._observe_held(attempt, now_s)
            case AttemptReleased():
                self._observe_released(fact, now_s)
            case AttemptCharged(attempt, before):
                self.reclaimer.observe_charged(attempt, before)
                if attempt.job is not None:
                    self.guard.recharged(attempt, before)
                    self.ledger.observe(attempt, attempt.charged - before, now_s)
            case AttemptMeasured(attempt):
                self.sizes_.observe(attempt.job.spec, attempt.usage)
            case JobReady(job):
                self._observe_ready(job, now_s)
            case JobGone(job):
                self.queue.remove(job)
                self.reclaimer.forget_job(job)
            case CapacityChanged(worker):
                self.rooms.observe_capacity(worker)
                self._capacity_changed = self._changed = True
            case ContractSet(contract):
                self.ledger.set_contract(contract, now_s)
                self._capacity_changed = self._changed = True
            case AttemptConfirmed():
                pass

    def _observe_held(self, attempt, now_s: float) -> None:
        job = attempt.job
        self.reclaimer.observe_held(attempt)
        self.guard.held(attempt)
        if job is None:
            return
        if attempt.estimate_s == 0.0:
            attempt.estimate_s = self.times_.predict(job.spec)
        self.ledger.observe(attempt, attempt.charged, now_s)
        self.ledger.prepay(attempt, now_s)
        if job.spec.kind is JobKind.SERVICE:
            rack = attempt.worker.vm.rack
            job.racks[rack] = job.racks.get(rack, 0) + 1

    def _observe_released(self, fact: AttemptReleased, now_s: float) -> None:
        attempt, job = fact.attempt, fact.attempt.job
        self.reclaimer.observe_released(attempt)
        self.guard.released(attempt)
        if job is None:
            return
        self.ledger.correct(attempt, fact.elapsed_s, now_s)
        self.ledger.observe(attempt, ResourceVector() - attempt.charged, now_s)
        if job.spec.kind is JobKind.SERVICE:
            job.racks[attempt.worker.vm.rack] -= 1
        elif fact.finished and fact.elapsed_s is not None:
            self.times_.observe(job.spec, fact.elapsed_s)

    def _observe_ready(self, job: Job, now_s: float) -> None:
        self._changed = True
        if job.queued:
            return
        spec, short = job.spec, self.guard.is_short(job)
        job.short, job.blocked_s = short, None
        if not job.live and not job.done_count:
            self.guard.observe(job, short, now_s)
        order_key = job.deadline_s
        if order_key == math.inf:
            slack = self.policy.slack_factor * self.times_.predict(spec)
            order_key = job.admitted_s + slack
        size_class = SizeClass(
            spec.team,
            spec.kind,
            short,
            spec.size.accelerators_count > 0,
            spec.size.processors_millicores.bit_length(),
            spec.size.memory_mb.bit_length(),
        )
        self.queue.add(job, size_class, order_key)

    def size_of(self, spec: JobSpec) -> ResourceVector:
        """Return the size to reserve, corrected by use but never too large for every worker."""
        size = self.sizes_.predict(spec)
        if size is spec.size or self.rooms.can_hold(size):
            return size
        return spec.size

    def decide(self, now_s: float) -> None:
        """Start what can start now."""
        if self._capacity_changed:
            self._capacity_changed = False
            self.ledger.set_total(self.rooms.total, now_s)
            self.guard.total = self.rooms.total
            self.headroom.decide()
        self.guard.find_stragglers(now_s)
        self.reclaimer.decide(now_s)
        self.lending.empty_leaving(now_s)
        self.gangs.decide(now_s)
        self.urgent.decide(now_s)
        if not self._changed and now_s < self._retry_s:
            self.has_more_actions = False
            return
        self._changed, self._retry_s = False, now_s + RETRY_ALL_S
        self.lending.start_promised(now_s)
        self.has_more_actions = self._share_round(now_s)
        self._changed |= self.has_more_actions
        if not self.has_more_actions:
            self.lending.decide(now_s)

    def _share_round(self, now_s: float) -> bool:
        weights = sum(account.weight for account in self.ledger.accounts_.values())
        customers = []
        for number, (name, queues) in enumerate(list(self.queue.customers.items())):
            account = self.ledger.accounts_.get(name)
            if account is None:
                self._mark_unknown_customer(queues)
                continue
            heads = _CustomerHeads(self, account, queues, now_s)
            customers.append((self.ledger.decide(account, now_s, weights), number, account, heads))
        heapq.heapify(customers)
        for _ in range(self.policy.max_starts_per_decision):
            while customers and not customers[0][3].start_one(now_s):
                heapq.heappop(customers)
            if not customers:
                return False
            _, number, account, heads = customers[0]
            key = self.ledger.decide(account, now_s, weights)
            heapq.heapreplace(customers, (key, number, account, heads))
        return True

    def _mark_unknown_customer(self, queues: dict[SizeClass, SizeQueue]) -> None:
        for queue in queues.values():
            for job in queue.first(self.policy.lookahead_count):
                job.wait_code = ResultCode.UNKNOWN_CUSTOMER
                job.wait_detail = "no contract of its customer is in force"

    def place(self, job: Job, account: Account, now_s: float) -> bool:
        """Start the next task of a job, or a whole gang; return whether anything started."""
        if job.waiting_count == 0 or job.stopping:
            # Attempts that reports revealed took its tasks after it was queued.
            self.queue.remove(job)
            return False
        size = self.size_of_job(job, now_s)
        gang = job.is_gang and job.spec.tasks_count > 1
        if not gang and self.gangs.holder is None and self.rooms.known_blocked(size):
            self._note_no_room(job, size, now_s)
            return False
        if not self._within_bounds(job, account, size, now_s):
            return False
        estimate_s = self.times_.predict(job.spec)
        if gang:
            started = self.gangs.try_start(job, size, estimate_s, now_s)
        else:
            worker = self._find(job, size, now_s)
            started = worker is not None
            if started:
                self.attempts.launch(job, worker, size, now_s, estimate_s)
        if started:
            job.blocked_s = None
            self.dequeue_if_done(job)
        else:
            self._note_no_room(job, size, now_s)
        return started

    def _note_no_room(self, job: Job, size: ResourceVector, now_s: float) -> None:
        if job.blocked_s is None:
            self.gangs.blocked(job, size, now_s)
            job.wait_code, job.wait_detail = ResultCode.ACCEPTED, "no worker has room for it now"

    def size_of_job(self, job: Job, now_s: float) -> ResourceVector:
        """Return the size to reserve for a task of a job, computed again once a second."""
        if job.size is None or now_s >= job.size_due_s:
            job.size, job.size_due_s = self.size_of(job.spec), now_s + SIZE_REFRESH_S
        return job.size

    def dequeue_if_done(self, job: Job) -> None:
        """Take a job without waiting tasks out of the queue."""
        if job.waiting_count == 0:
            self.queue.remove(job)
            self.reclaimer.forget_job(job)

    def _find(self, job: Job, size: ResourceVector, now_s: float) -> Worker | None:
        avoided = job.avoided.get(job.peek_waiting(), ()) if job.avoided else ()
        spread = job if job.spec.kind is JobKind.SERVICE else None
        if self.gangs.holder is job:
            worker = self.rooms.find(size, Zone.GANG, avoided, spread)
            if worker is not None:
                return worker
        worker = self.rooms.find(size, Zone.GENERAL, avoided, spread)
        if worker is None and spread is None and self.gangs.holder is not None:
            worker = self.gangs.backfill(size, self.times_.predict(job.spec, 0.9), now_s)
        return worker

    def _within_bounds(
        self, job: Job, account: Account, size: ResourceVector, now_s: float
    ) -> bool:
        count = job.waiting_count if job.is_gang else 1
        if not self.allowed_by_quota(job, account, size, count):
            return False
        if not job.is_gang and not job.short and not self.guard.decide(size, now_s):
            job.wait_code = ResultCode.ACCEPTED
            job.wait_detail = "the last free room is kept for short work"
            return False
        return True

    def allowed_by_quota(
        self, job: Job, account: Account, size: ResourceVector, count: int
    ) -> bool:
        """Return whether customer and team quota allow the tasks; note the reason if not."""
        team = account.teams.get(job.spec.team)
        if job.spec.team and team is None:
            job.wait_code = ResultCode.REFUSED_BY_CONTRACT
            job.wait_detail = f"team {job.spec.team} is not in the contract"
            return False
        for holder in (account, team):
            if holder is not None and not holder.allows(size, count):
                job.wait_code = ResultCode.QUOTA_EXCEEDED
                job.wait_detail = f"the quota of {holder.name} is used up"
                return False
        return True

    def obstacle(self, spec: JobSpec) -> tuple[ResultCode, str] | None:
        """Return why a job can never run with the present workers and contracts, or None."""
        return self.forecaster.obstacle(spec)

    def predict(self, spec: JobSpec, now_s: float) -> AdmissionForecast:
        """Return the expected fate of a job."""
        return self.forecaster.predict(spec, now_s)


class _CustomerHeads:
    """First jobs of a customer's size queues during one round, in the order to try them."""

    def __init__(
        self,
        engine: FairShareEngine,
        account: Account,
        queues: dict[SizeClass, SizeQueue],
        now_s: float,
    ) -> None:
        self.engine = engine
        self.account = account
        self._heads = [
            (self._team_use(queue, now_s), queue.head_key, number, queue)
            for number, queue in enumerate(queues.values())
        ]
        heapq.heapify(self._heads)
        # Long work that is due later takes no room while short work of the customer finds none.
        self._short_waits_key = math.inf

    def _team_use(self, queue: SizeQueue, now_s: float) -> float:
        team = self.account.teams.get(queue.size_class.team)
        return 0.0 if team is None else round(self.engine.ledger.predict(team, now_s), 3)

    def start_one(self, now_s: float) -> bool:
        """Start one task or gang of the customer; return whether one started."""
        engine = self.engine
        while self._heads:
            _, _, number, queue = self._heads[0]
            for job in queue.first(engine.policy.lookahead_count):
                if not job.short and job.order_key > self._short_waits_key:
                    break
                if engine.place(job, self.account, now_s):
                    self._advance(queue, number, now_s)
                    return True
                if job.short and job.blocked_s is not None:
                    self._short_waits_key = min(self._short_waits_key, job.order_key)
            heapq.heappop(self._heads)
        return False

    def _advance(self, queue: SizeQueue, number: int, now_s: float) -> None:
        if queue:
            head = (self._team_use(queue, now_s), queue.head_key, number, queue)
            heapq.heapreplace(self._heads, head)
        else:
            heapq.heappop(self._heads)
