"""Baseline policy engine: first come, first served; first fit."""

import random
from collections import deque

from ..jobs import JobKind, JobSpec
from ..results import ResultCode
from ._actions import AdmissionForecast
from ._attempts import AttemptTable
from ._jobs import JobTable
from ._model import Job, Worker
from ._policy import FirstComeFirstServed
from ._state_changes import CapacityChanged, ContractSet, JobEnded, JobReady, StateChange
from ._worker_pools import count_tasks_that_fit
from ._workers import WorkerTable


class FirstComeFirstServedEngine:
    """Serves one queue in order of admission; a head that does not fit blocks the others.

    Args:
        policy: parameters of the policy.
        rng: random number generator.
        jobs: table of jobs.
        workers: table of workers.
        attempts: table of attempts.
    """

    def __init__(
        self,
        policy: FirstComeFirstServed,
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
        self.has_more_actions = False
        self._queue: deque[Job] = deque()
        self._customers: set[str] = set()

    def observe(self, state_change: StateChange, now_s: float) -> None:
        """Update the queue after a state change."""
        match state_change:
            case JobReady(job):
                if not job.queued:
                    job.queued = True
                    self._queue.append(job)
            case ContractSet(contract):
                self._customers.add(contract.customer)
            case JobEnded() | CapacityChanged():
                pass

    def decide(self, now_s: float) -> None:
        """Start jobs from the head of the queue as long as they fit."""
        started = 0
        self.has_more_actions = False
        while self._queue:
            job = self._queue[0]
            if job.is_final or job.restarting or job.waiting_count == 0:
                self._queue.popleft().queued = False
                continue
            if started >= self.policy.max_starts_per_decision:
                self.has_more_actions = True
                return
            placed = self._start_next(job, now_s)
            if placed == 0:
                job.wait_code = ResultCode.ACCEPTED
                job.wait_detail = "no worker has enough free resources now"
                return
            started += placed

    def _start_next(self, job: Job, now_s: float) -> int:
        count = job.waiting_count if job.is_gang else 1
        placed: list[Worker] = []
        for _ in range(count):
            worker = self._first_fit(job)
            if worker is None:
                break
            self.workers.charge(worker, job.spec.size, now_s)
            placed.append(worker)
        for worker in placed:
            self.workers.discharge(worker, job.spec.size, now_s)
        if len(placed) < count:
            return 0
        for worker in placed:
            self.attempts.launch(job, worker, job.spec.size, now_s)
        return count

    def _first_fit(self, job: Job) -> Worker | None:
        for worker in self.workers.all():
            if worker.is_usable and worker.can_fit(job.spec.size):
                return worker
        return None

    def forecast_admission(self, spec: JobSpec, now_s: float) -> AdmissionForecast:
        """Return whether the workers can ever run the job; the start is not estimated."""
        rejection_reason = self.rejection_reason(spec)
        code, detail = rejection_reason or (ResultCode.OK, "the baseline estimates no start")
        return AdmissionForecast(
            feasible=rejection_reason is None,
            expected_start_s=0.0,
            expected_late=False,
            code=code,
            detail=detail,
        )

    def rejection_reason(self, spec: JobSpec) -> tuple[ResultCode, str] | None:
        """Return why a job can never run with the current workers, or None."""
        tasks_that_fit = sum(
            count_tasks_that_fit(worker.vm.capacity, spec.size)
            for worker in self.workers.all()
            if worker.reported and not worker.lost
        )
        needed = spec.tasks_count if spec.kind is JobKind.GANG else 1
        if tasks_that_fit < needed:
            return (
                ResultCode.INFEASIBLE,
                f"all workers together can hold only {tasks_that_fit} of its {needed} tasks",
            )
        return None
