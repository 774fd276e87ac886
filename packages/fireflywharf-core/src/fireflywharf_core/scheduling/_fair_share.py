"""Policy engine for fair share, with learned run times, gangs, urgent jobs and preemption."""

import heapq
import math
import random

from ..accounts import Account
from ..contracts import Contract
from ..jobs import JobKind, JobSpec
from ..resources import ResourceVector
from ..results import ResultCode
from ._actions import AdmissionForecast
from ._attempts import AttemptTable
from ._estimators import RunTimes, Sizes
from ._forecast import Forecaster
from ._gang_planner import GangPlanner
from ._headroom import Headroom
from ._jobs import JobTable
from ._model import Job, Pool, Worker
from ._policy import FairShare
from ._queue import SizeClass, SizeQueue, WaitingQueue
from ._reclaim import Reclaimer
from ._share_balancer import ShareBalancer
from ._share_ledger import ShareLedger
from ._short_task_reserve import ShortTaskReserve
from ._state_changes import (
    AttemptChargeChanged,
    AttemptReleased,
    AttemptReserved,
    AttemptRunning,
    AttemptUsageReported,
    CapacityChanged,
    ContractSet,
    FreeResourcesChanged,
    JobEnded,
    JobReady,
    StateChange,
)
from ._urgent_starter import UrgentStarter
from ._worker_pools import WorkerPools
from ._workers import WorkerTable

# Waiting jobs are tried again after this time even if no resources were freed, because the share
# of a customer and the reserve for short tasks change with time.
RETRY_ALL_S = 0.25
SIZE_REFRESH_S = 1.0


class FairShareEngine:
    """Decides which waiting tasks start on which workers.

    Args:
        policy: parameters of the policy.
        rng: random number generator.
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
        self.run_times_ = RunTimes()
        self.sizes_ = Sizes(policy.size_factor_min, policy.size_factor_max, policy.correct_sizes)
        self.queue = WaitingQueue()
        self.pools = WorkerPools(workers, policy.candidates_count)
        self.ledger = ShareLedger(policy.window_s, policy.charging)
        self.short_task_reserve = ShortTaskReserve(policy, self.run_times_)
        self.gangs = GangPlanner(self.pools, attempts)
        self.reclaimer = Reclaimer(self.pools, attempts, self.contract_of)
        self.headroom = Headroom(self.pools, self.ledger)
        self.urgent = UrgentStarter(self)
        self.balancer = ShareBalancer(self)
        self.forecaster = Forecaster(self, self.balancer)
        self.has_more_actions = False
        self._changed = True
        self._capacity_changed = False
        self._next_retry_s = 0.0

    def contract_of(self, customer: str) -> Contract | None:
        """Return the contract of a customer, or None if no contract is in force."""
        account = self.ledger.accounts_.get(customer)
        return None if account is None else account.contract

    def observe(self, state_change: StateChange, now_s: float) -> None:
        """Update the components of the engine after a state change."""
        match state_change:
            case FreeResourcesChanged(worker, increased):
                if worker.leaving:
                    self.balancer.leaving_workers[worker.name] = worker
                self.pools.update_free_resources(worker, increased)
                self.reclaimer.update_free_resources(worker)
                self._changed |= increased
            case AttemptReserved(attempt):
                self._handle_reserved(attempt, now_s)
            case AttemptReleased():
                self._handle_released(state_change, now_s)
            case AttemptChargeChanged(attempt, before):
                self.reclaimer.update_reclaimable_charge(attempt, before)
                if attempt.job is not None:
                    self.short_task_reserve.track_charge(attempt, before)
                    self.ledger.change_held(attempt, attempt.charged - before, now_s)
            case AttemptUsageReported(attempt):
                self.sizes_.observe(attempt.job.spec, attempt.usage)
            case JobReady(job):
                self._handle_ready(job, now_s)
            case JobEnded(job):
                self.queue.remove(job)
                self.reclaimer.cancel_reservations_of(job)
            case CapacityChanged(worker):
                self.pools.update_capacity(worker)
                self._capacity_changed = self._changed = True
            case ContractSet(contract):
                self.ledger.set_contract(contract, now_s)
                self._capacity_changed = self._changed = True
            case AttemptRunning():
                pass

    def _handle_reserved(self, attempt, now_s: float) -> None:
        job = attempt.job
        self.reclaimer.add_reclaimable(attempt)
        self.short_task_reserve.track_attempt(attempt)
        if job is None:
            return
        if attempt.estimate_s == 0.0:
            attempt.estimate_s = self.run_times_.predict(job.spec)
        self.ledger.change_held(attempt, attempt.charged, now_s)
        self.ledger.charge_estimate(attempt, now_s)
        if job.spec.kind is JobKind.SERVICE:
            rack = attempt.worker.vm.rack
            job.tasks_per_rack[rack] = job.tasks_per_rack.get(rack, 0) + 1

    def _handle_released(self, state_change: AttemptReleased, now_s: float) -> None:
        attempt, job = state_change.attempt, state_change.attempt.job
        self.reclaimer.remove_reclaimable(attempt)
        self.short_task_reserve.untrack_attempt(attempt)
        if job is None:
            return
        self.ledger.replace_estimate(attempt, state_change.elapsed_s, now_s)
        self.ledger.change_held(attempt, ResourceVector() - attempt.charged, now_s)
        if job.spec.kind is JobKind.SERVICE:
            job.tasks_per_rack[attempt.worker.vm.rack] -= 1
        elif state_change.finished and state_change.elapsed_s is not None:
            self.run_times_.observe(job.spec, state_change.elapsed_s)

    def _handle_ready(self, job: Job, now_s: float) -> None:
        self._changed = True
        if job.queued:
            return
        spec, short = job.spec, self.short_task_reserve.is_short(job)
        job.short, job.blocked_since_s = short, None
        if not job.live_attempts and not job.done_count:
            self.short_task_reserve.add_queued_job(job, short, now_s)
        order_key = job.deadline_s
        if order_key == math.inf:
            slack = self.policy.slack_factor * self.run_times_.predict(spec)
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
        """Return the resources to reserve for a task, corrected by the usage of its workload.

        A corrected size that fits on no empty worker is replaced by the declared size.
        """
        size = self.sizes_.predict(spec)
        if size is spec.size or self.pools.fits_an_empty_worker(size):
            return size
        return spec.size

    def decide(self, now_s: float) -> None:
        """Start tasks and reclaim resources as far as the policy allows now."""
        if self._capacity_changed:
            self._capacity_changed = False
            self.ledger.set_total(self.pools.total, now_s)
            self.short_task_reserve.total = self.pools.total
            self.headroom.choose_workers()
        self.short_task_reserve.find_stragglers(now_s)
        self.reclaimer.advance(now_s)
        self.balancer.checkpoint_on_leaving_workers(now_s)
        self.gangs.update_reservation(now_s)
        self.urgent.start_urgent_jobs(now_s)
        if not self._changed and now_s < self._next_retry_s:
            self.has_more_actions = False
            return
        self._changed, self._next_retry_s = False, now_s + RETRY_ALL_S
        self.balancer.start_on_reserved_workers(now_s)
        self.has_more_actions = self._start_by_share(now_s)
        self._changed |= self.has_more_actions
        if not self.has_more_actions:
            self.balancer.reclaim_for_customers_below_share(now_s)

    def _start_by_share(self, now_s: float) -> bool:
        total_weight = sum(account.weight for account in self.ledger.accounts_.values())
        customers = []
        for number, (name, queues) in enumerate(list(self.queue.customers.items())):
            account = self.ledger.accounts_.get(name)
            if account is None:
                self._mark_unknown_customer(queues)
                continue
            customer_queues = _CustomerQueues(self, account, queues, now_s)
            customers.append(
                (
                    self.ledger.scheduling_key(account, now_s, total_weight),
                    number,
                    account,
                    customer_queues,
                )
            )
        heapq.heapify(customers)
        for _ in range(self.policy.max_starts_per_decision):
            while customers and not customers[0][3].start_next(now_s):
                heapq.heappop(customers)
            if not customers:
                return False
            _, number, account, customer_queues = customers[0]
            key = self.ledger.scheduling_key(account, now_s, total_weight)
            heapq.heapreplace(customers, (key, number, account, customer_queues))
        return True

    def _mark_unknown_customer(self, queues: dict[SizeClass, SizeQueue]) -> None:
        for queue in queues.values():
            for job in queue.first_jobs(self.policy.lookahead_count):
                job.wait_code = ResultCode.UNKNOWN_CUSTOMER
                job.wait_detail = "its customer has no contract in force"

    def start_tasks_of(self, job: Job, account: Account, now_s: float) -> bool:
        """Start the next task of a job, or all tasks of a gang; return whether any started."""
        if job.waiting_count == 0 or job.restarting:
            # Reports of workers showed after the job was queued that its tasks run already.
            self.queue.remove(job)
            return False
        size = self.size_of_job(job, now_s)
        gang = job.is_gang and job.spec.tasks_count > 1
        if not gang and self.gangs.holder is None and self.pools.is_known_unplaceable(size):
            self._mark_unplaceable(job, size, now_s)
            return False
        if not self._is_within_limits(job, account, size, now_s):
            return False
        estimate_s = self.run_times_.predict(job.spec)
        if gang:
            started = self.gangs.try_start(job, size, estimate_s, now_s)
        else:
            worker = self._find_worker(job, size, now_s)
            started = worker is not None
            if started:
                self.attempts.launch(job, worker, size, now_s, estimate_s)
        if started:
            job.blocked_since_s = None
            self.dequeue_if_all_started(job)
        else:
            self._mark_unplaceable(job, size, now_s)
        return started

    def _mark_unplaceable(self, job: Job, size: ResourceVector, now_s: float) -> None:
        if job.blocked_since_s is None:
            self.gangs.note_blocked(job, size, now_s)
            job.wait_code, job.wait_detail = (
                ResultCode.ACCEPTED,
                "no worker has enough free resources now",
            )

    def size_of_job(self, job: Job, now_s: float) -> ResourceVector:
        """Return the resources to reserve for a task of a job, cached for `SIZE_REFRESH_S`."""
        if job.size is None or now_s >= job.size_refresh_s:
            job.size, job.size_refresh_s = self.size_of(job.spec), now_s + SIZE_REFRESH_S
        return job.size

    def dequeue_if_all_started(self, job: Job) -> None:
        """Remove a job from the queue if none of its tasks waits."""
        if job.waiting_count == 0:
            self.queue.remove(job)
            self.reclaimer.cancel_reservations_of(job)

    def _find_worker(self, job: Job, size: ResourceVector, now_s: float) -> Worker | None:
        avoided_workers = (
            job.avoided_workers.get(job.peek_waiting(), ()) if job.avoided_workers else ()
        )
        spread_job = job if job.spec.kind is JobKind.SERVICE else None
        if self.gangs.holder is job:
            worker = self.pools.find_worker(size, Pool.GANG, avoided_workers, spread_job)
            if worker is not None:
                return worker
        worker = self.pools.find_worker(size, Pool.GENERAL, avoided_workers, spread_job)
        if worker is None and spread_job is None and self.gangs.holder is not None:
            worker = self.gangs.backfill(size, self.run_times_.predict(job.spec, 0.9), now_s)
        return worker

    def _is_within_limits(
        self, job: Job, account: Account, size: ResourceVector, now_s: float
    ) -> bool:
        count = job.waiting_count if job.is_gang else 1
        if not self.is_within_quota(job, account, size, count):
            return False
        if (
            not job.is_gang
            and not job.short
            and not self.short_task_reserve.allows_long_task(size, now_s)
        ):
            job.wait_code = ResultCode.ACCEPTED
            job.wait_detail = "the remaining free resources are kept for short tasks"
            return False
        return True

    def is_within_quota(self, job: Job, account: Account, size: ResourceVector, count: int) -> bool:
        """Return whether the quotas of customer and team allow more tasks of a job.

        If they do not, the reason is stored in the job.

        Args:
            job: the job.
            account: account of its customer.
            size: resources of one task.
            count: number of tasks.
        """
        team = account.teams.get(job.spec.team)
        if job.spec.team and team is None:
            job.wait_code = ResultCode.REFUSED_BY_CONTRACT
            job.wait_detail = f"team {job.spec.team} is not in the contract"
            return False
        for holder in (account, team):
            if holder is not None and not holder.has_quota_for(size, count):
                job.wait_code = ResultCode.QUOTA_EXCEEDED
                job.wait_detail = f"the quota of {holder.name} is exhausted"
                return False
        return True

    def rejection_reason(self, spec: JobSpec) -> tuple[ResultCode, str] | None:
        """Return why a job can never run with the current workers and contracts, or None."""
        return self.forecaster.rejection_reason(spec)

    def forecast_admission(self, spec: JobSpec, now_s: float) -> AdmissionForecast:
        """Return the expected start and lateness of a job that is not yet admitted."""
        return self.forecaster.forecast_admission(spec, now_s)


class _CustomerQueues:
    """Size queues of one customer during a scheduling round, in the order to try their heads."""

    def __init__(
        self,
        engine: FairShareEngine,
        account: Account,
        queues: dict[SizeClass, SizeQueue],
        now_s: float,
    ) -> None:
        self.engine = engine
        self.account = account
        self._queue_heads = [
            (self._team_usage(queue, now_s), queue.head_key, number, queue)
            for number, queue in enumerate(queues.values())
        ]
        heapq.heapify(self._queue_heads)
        # A long task does not start before a blocked short task of its customer due earlier.
        self._blocked_short_key = math.inf

    def _team_usage(self, queue: SizeQueue, now_s: float) -> float:
        team = self.account.teams.get(queue.size_class.team)
        return 0.0 if team is None else round(self.engine.ledger.weighted_usage(team, now_s), 3)

    def start_next(self, now_s: float) -> bool:
        """Start one task or gang of the customer; return whether one started."""
        engine = self.engine
        while self._queue_heads:
            _, _, number, queue = self._queue_heads[0]
            for job in queue.first_jobs(engine.policy.lookahead_count):
                if not job.short and job.order_key > self._blocked_short_key:
                    break
                if engine.start_tasks_of(job, self.account, now_s):
                    self._advance(queue, number, now_s)
                    return True
                if job.short and job.blocked_since_s is not None:
                    self._blocked_short_key = min(self._blocked_short_key, job.order_key)
            heapq.heappop(self._queue_heads)
        return False

    def _advance(self, queue: SizeQueue, number: int, now_s: float) -> None:
        if queue:
            head = (self._team_usage(queue, now_s), queue.head_key, number, queue)
            heapq.heapreplace(self._queue_heads, head)
        else:
            heapq.heappop(self._queue_heads)
