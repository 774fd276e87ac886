"""Scheduler of one failure domain: a state machine that turns events into actions."""

import random

from ..jobs import JobSpec, JobState
from ..resources import ResourceVector
from ..results import ResultCode
from ._actions import Action, AdmissionForecast, JobStatus, RecordJobLate, ReportInfeasible
from ._attempts import AttemptTable
from ._baseline import FirstComeFirstServedEngine
from ._events import (
    AttemptEndRecorded,
    AttemptEndReported,
    ContractChanged,
    Event,
    JobAdmitted,
    JobCancelled,
    JobFinishRecorded,
    RecoveryFinished,
    RecoveryStarted,
    StartAnswered,
    StartIntentDurable,
    StartOutcomeUnknown,
    TaskDone,
    WorkerJoined,
    WorkerLeaving,
    WorkerLost,
    WorkerReport,
)
from ._fair_share import FairShareEngine
from ._jobs import JobTable, final_code
from ._model import AttemptPhase, Job
from ._outbox import Outbox
from ._policy import FairShare, FirstComeFirstServed, Policy
from ._recovery import Recovery
from ._reports import ReportProcessor
from ._state_changes import AttemptReleased, CapacityChanged, ContractSet, StateChange
from ._worker_prober import WorkerProber
from ._workers import WorkerTable

MAINTENANCE_INTERVAL_S = 1.0


class DomainScheduler:
    """Schedules the jobs of one failure domain on its workers.

    The scheduler does no input or output. The daemon passes events to `observe`, executes the
    actions that `decide` returns, and reports their results as further events.

    Args:
        policy: scheduling policy, `FairShare` or the baseline `FirstComeFirstServed`.
        rng: random number generator.

    Example:
        >>> scheduler = DomainScheduler(policy=FirstComeFirstServed(), rng=random.Random(1))
        >>> scheduler.decide(now_s=0.0)
        []
    """

    def __init__(self, *, policy: Policy, rng: random.Random) -> None:
        self.policy = policy
        self.rng = rng
        self._now_s = 0.0
        self._outbox = Outbox()
        self._jobs = JobTable(self._outbox, self._notify)
        self._workers = WorkerTable(self._notify)
        self._attempts = AttemptTable(
            self._jobs, self._workers, self._outbox, self._notify, self._record_failure
        )
        self._reports = ReportProcessor(
            self._jobs, self._workers, self._attempts, self._outbox, self._notify
        )
        self._recovery = Recovery(self._jobs, self._attempts)
        self._prober = WorkerProber(self._jobs, self._workers, self._attempts, self._outbox)
        match policy:
            case FairShare():
                engine_class = FairShareEngine
            case FirstComeFirstServed():
                engine_class = FirstComeFirstServedEngine
        self._engine = engine_class(policy, rng, self._jobs, self._workers, self._attempts)
        self._capacity_shrank = False
        self._next_maintenance_s = 0.0

    def _notify(self, state_change: StateChange, now_s: float) -> None:
        match state_change:
            case AttemptReleased(attempt, _, True) if attempt.job is not None:
                self._prober.record_end(attempt, True, now_s)
            case CapacityChanged():
                self._capacity_shrank = True
        self._engine.observe(state_change, now_s)

    def _record_failure(self, attempt, now_s: float) -> bool:
        return self._prober.record_end(attempt, False, now_s)

    @property
    def has_more_actions(self) -> bool:
        """Whether `decide` must be called again now, because one call returns a bounded number."""
        return self._engine.has_more_actions or len(self._outbox) > 0

    @property
    def is_recovering(self) -> bool:
        """Whether jobs accepted by earlier schedulers must not start tasks yet."""
        return self._recovery.active

    def observe(self, event: Event, now_s: float) -> None:
        """Update the state of the scheduler for an event.

        Args:
            event: event from the daemon.
            now_s: current time in seconds.
        """
        match event:
            case WorkerReport():
                if self._reports.process(event, now_s):
                    self._recovery.resolve_worker(event.worker, now_s)
            case StartAnswered(attempt, _, accepted, reason):
                self._attempts.handle_start_answer(attempt, accepted, reason, now_s)
            case AttemptEndReported(attempt, worker, end, elapsed_s):
                self._reports.handle_end(attempt, worker, end, elapsed_s, now_s)
            case StartOutcomeUnknown(attempt, _):
                self._attempts.mark_start_uncertain(attempt, now_s)
            case JobAdmitted():
                self._admit(event, now_s)
            case JobCancelled(job_id):
                self._cancel(job_id, now_s)
            case JobFinishRecorded(job_id, state):
                self._handle_finish_recorded(job_id, state, now_s)
            case ContractChanged(contract):
                self._notify(ContractSet(contract), now_s)
            case TaskDone() | AttemptEndRecorded() | StartIntentDurable():
                self._handle_record(event, now_s)
            case WorkerJoined() | WorkerLost() | WorkerLeaving():
                self._handle_worker_event(event, now_s)
            case RecoveryStarted(known_workers):
                reported = {worker.name for worker in self._workers.all() if worker.reported}
                self._recovery.start(known_workers, reported)
            case RecoveryFinished():
                self._recovery.finish_replay(now_s)

    def _handle_worker_event(self, event: Event, now_s: float) -> None:
        match event:
            case WorkerJoined(vm):
                self._workers.add_or_update(vm, now_s)
            case WorkerLost(name, attempts_ended):
                self._handle_worker_lost(name, attempts_ended, now_s)
            case WorkerLeaving(name):
                worker = self._workers.get(name)
                if worker is not None:
                    self._workers.set_state(worker, now_s, leaving=True)

    def _handle_worker_lost(self, name: str, attempts_ended: bool, now_s: float) -> None:
        worker = self._workers.get(name)
        if worker is not None:
            self._workers.set_state(worker, now_s, lost=True, reported=False)
            for attempt in list(worker.attempts.values()):
                if attempt.phase is AttemptPhase.INTENT:
                    self._attempts.requeue_unstarted(attempt, now_s)
                elif attempts_ended:
                    self._attempts.handle_lost_attempt(attempt, now_s)
                elif attempt.phase is AttemptPhase.STARTING:
                    self._attempts.mark_start_uncertain(attempt.attempt_id, now_s)
        if attempts_ended:
            # Requeued tasks may not fit on any of the remaining workers.
            self._capacity_shrank = True
            self._recovery.resolve_worker(name, now_s)

    def _admit(self, event: JobAdmitted, now_s: float) -> None:
        job = self._jobs.admit(event, now_s)
        if job is None:
            return
        for buffered in self._recovery.take_buffered_events(event.spec.job_id):
            self._handle_record(buffered, now_s)
        self._reports.resolve_unknown_job(job, now_s)
        self._jobs.enqueue_if_ready(job, now_s)

    def _handle_record(self, event: Event, now_s: float) -> None:
        task = event.task if isinstance(event, TaskDone) else event.attempt.task
        job = self._jobs.get(task.job_id)
        if job is None:
            self._recovery.buffer_event(task.job_id, event)
            return
        if task.index >= job.spec.tasks_count:
            return
        match event:
            case TaskDone():
                self._attempts.mark_task_done(job, task.index, now_s)
            case AttemptEndRecorded(attempt, end):
                self._attempts.apply_recorded_end(job, attempt, end, now_s)
            case StartIntentDurable(attempt):
                self._attempts.handle_durable_intent(attempt, now_s)

    def _cancel(self, job_id: str, now_s: float) -> None:
        job = self._jobs.get(job_id)
        if job is not None and not job.is_final:
            job.cancelled = True
            self._attempts.fail_job(job, JobState.CANCELLED, "cancelled by the caller", now_s)

    def _handle_finish_recorded(self, job_id: str, state: JobState | None, now_s: float) -> None:
        job = self._jobs.get(job_id)
        if job is not None and state is not None and not job.is_final:
            self._jobs.set_final_state(job, state, "read from the log", now_s, recorded=True)
            for attempt in list(job.live_attempts.values()):
                self._attempts.stop(attempt, now_s)
        self._jobs.mark_finish_recorded(job_id)

    def decide(self, now_s: float) -> list[Action]:
        """Return the actions to execute now; call again while `has_more_actions` is true.

        Args:
            now_s: current time in seconds.

        Returns:
            Task starts first, then other actions; their number per call is bounded.
        """
        self._now_s = now_s
        self._engine.decide(now_s)
        self._jobs.report_late(now_s)
        if now_s >= self._next_maintenance_s:
            self._next_maintenance_s = now_s + MAINTENANCE_INTERVAL_S
            if not self._recovery.active:
                # Until the log is read to its end, an unknown job may be an accepted one.
                self._reports.stop_attempts_of_unknown_jobs(now_s)
            self._prober.start_due_probes(now_s)
            if self._capacity_shrank and not self._recovery.active:
                self._capacity_shrank = False
                self._report_infeasible()
        return self._outbox.drain()

    def _report_infeasible(self) -> None:
        for job in self._jobs.all():
            if job.is_final or job.waiting_count == 0:
                continue
            rejection_reason = self._engine.rejection_reason(job.spec)
            infeasible = (
                rejection_reason is not None and rejection_reason[0] is ResultCode.INFEASIBLE
            )
            if infeasible and not job.infeasible:
                self._outbox.put(ReportInfeasible(job.spec.job_id, rejection_reason[1]))
                if job.spec.deadline_s is not None and not job.late:
                    job.late = True
                    self._outbox.put(RecordJobLate(job.spec.job_id))
            job.infeasible = infeasible

    def forecast_admission(self, spec: JobSpec, now_s: float) -> AdmissionForecast:
        """Return the expected start and lateness of a job that is not yet admitted."""
        return self._engine.forecast_admission(spec, now_s)

    def job_status(self, job_id: str) -> JobStatus | None:
        """Return the status of a job, or None if the job is unknown."""
        job = self._jobs.get(job_id)
        return None if job is None else self._jobs.status(job)

    def jobs_of_customer(self, customer: str) -> list[JobStatus]:
        """Return the status of each job of a customer, in order of admission."""
        return [self._jobs.status(job) for job in self._jobs.of_customer(customer)]

    def explain(self, job_id: str, now_s: float) -> str:
        """Return one sentence with a result code: the state of a job, or why its tasks wait."""
        job = self._jobs.get(job_id)
        if job is None:
            return f"{ResultCode.UNKNOWN_JOB.name}: job {job_id} is unknown to this scheduler."
        if job.is_final:
            detail = f": {job.detail}" if job.detail else ""
            return f"{final_code(job.state).name}: the job is {job.state.value}{detail}."
        if job.waiting_count == 0:
            return f"{ResultCode.ACCEPTED.name}: all unfinished tasks of the job are running."
        code, detail = self._waiting_reason(job)
        waits_s = now_s - job.admitted_s
        return (
            f"{code.name}: {job.waiting_count} tasks wait {waits_s:.1f} s after admission, "
            f"because {detail}."
        )

    def _waiting_reason(self, job: Job) -> tuple[ResultCode, str]:
        if self._recovery.active and not job.new_in_tenure:
            count = len(self._recovery.unresolved_workers)
            return ResultCode.NO_SCHEDULER, f"{count} workers have not reported to this scheduler"
        if job.restarting:
            return ResultCode.ACCEPTED, "the gang is being stopped to restart all of its tasks"
        rejection_reason = self._engine.rejection_reason(job.spec)
        return rejection_reason or (job.wait_code, job.wait_detail)

    def customer_share(self, customer: str) -> float:
        """Return the dominant share of the domain's capacity held by a customer's running tasks."""
        total = sum((worker.vm.capacity for worker in self._workers.all()), ResourceVector())
        held = ResourceVector()
        for job in self._jobs.of_customer(customer):
            held += job.spec.size.scaled(self._jobs.status(job).tasks_running_count)
        return held.dominant_share(total)

    def set_aside_workers(self) -> list[str]:
        """Return the names of the workers that get no tasks except probes after failures."""
        return [worker.name for worker in self._workers.all() if worker.set_aside]

    @property
    def set_aside_count(self) -> int:
        """Number of workers that get no tasks except probes after failures."""
        return sum(worker.set_aside for worker in self._workers.all())
