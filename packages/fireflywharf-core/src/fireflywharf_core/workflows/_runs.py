"""Bookkeeping of runs on workers: reports, ends and repeated orders."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..resources import ResourceVector
from ._ends import EndRecorder
from ._estimates import RunTimes
from ._events import (
    Action,
    EndKind,
    LossCause,
    ReportedEnd,
    ReportedRun,
    RunAdopted,
    RunLost,
    StartResult,
    StartRun,
    StopCause,
    StopRun,
    WorkerReported,
)
from ._interference import InterferenceModel
from ._journal_records import (
    WorkflowState,
)
from ._names import TaskName
from ._specs import WorkflowSpec
from ._start_window import StartWindow
from ._state import Job, Run, RunPhase, Step, Worker
from ._team_ledger import TeamLedger
from ._worker_health import WorkerHealth

_UNHEALTHY_PAUSE_S = 1.0
"""Time for which a worker gets no runs after it refused a start as unhealthy."""


class RunTable:
    """Tracks every run that may be alive and repeats unanswered orders.

    Args:
        jobs: jobs by id.
        workers: workers by id.
        outbox: receives the orders.
        run_times: updated with the run times of successful tasks.
        timing: timeouts of the deployment.
        ledger: charges the runs to their teams.
        find_spec: returns the specification of a job, also of one that has ended.

    Attributes:
        first_number: lowest run number of the tenure.
        capacity_version: incremented whenever capacity becomes free or usable.
        closed_job_ids: ended jobs without runs, to be removed by the scheduler.
        worker_health: detects unhealthy workers.
        interference: learns which tasks slow each other down.
        start_window: limits the start orders without an answer.
        starting_count: number of runs whose start has not been answered.
    """

    def __init__(
        self,
        jobs: Mapping[str, Job],
        workers: Mapping[str, Worker],
        outbox: list[Action],
        run_times: RunTimes,
        timing,
        ledger: TeamLedger,
        find_spec: Callable[[str], WorkflowSpec | None],
    ) -> None:
        self.first_number = 1
        self.capacity_version = 0
        self.closed_job_ids: list[str] = []
        self._jobs = jobs
        self._workers = workers
        self._outbox = outbox
        self._timing = timing
        self.ledger = ledger
        self.worker_health = WorkerHealth(run_times)
        self.interference = InterferenceModel()
        self._ends = EndRecorder(
            run_times, self.worker_health, self.order_stop, self.order_stop_all
        )
        self.start_window = StartWindow()
        self.starting_count = 0
        self._find_spec = find_spec
        self._unanswered: dict[Run, None] = {}

    def next_number(self, step: Step, indices: list[int]) -> int:
        """Return a run number above all earlier ones of the given tasks."""
        return max([self.first_number, *(step.run_numbers.get(index, 0) + 1 for index in indices)])

    def add(self, run: Run) -> None:
        """Register a run and occupy its capacity."""
        run.worker.add(run)
        self.ledger.charge(run)
        self.interference.observe_start(run)
        if run.phase is RunPhase.STARTING:
            self._unanswered[run] = None
        if run.step is not None:
            index = run.task.index
            run.step.runs[index] = run
            run.step.sighted.add(index)
            run.step.waiting.discard(index)
            run.step.run_numbers[index] = max(run.step.run_numbers.get(index, 0), run.number)

    def has_runs(self, job: Job) -> bool:
        """Return whether any run of the job may be alive."""
        return any(step.runs for step in job.steps.values())

    def order_stop_all(self, job: Job, cause: StopCause, now_s: float) -> None:
        """Order all runs of a job to stop and start no further ones."""
        for step in job.steps.values():
            step.waiting.clear()
            for run in step.runs.values():
                self.order_stop(run, cause, now_s)

    def order_stop(self, run: Run, cause: StopCause, now_s: float) -> None:
        """Order a run to stop; its capacity stays occupied until its end is known."""
        if run.phase is not RunPhase.STOPPING:
            run.phase = RunPhase.STOPPING
            run.phase_since_s = now_s
            run.stop_cause = cause
            self._unanswered[run] = None
            self._send_stop(run, now_s)

    def _send_stop(self, run: Run, now_s: float) -> None:
        run.last_order_s = now_s
        self._outbox.append(
            StopRun(
                worker_id=run.worker.worker_id,
                task=run.task,
                number=run.number,
                cause=run.stop_cause,
                percent=run.percent,
            )
        )

    def handle_start_answer(
        self, worker_id: str, task: TaskName, number: int, result: StartResult, now_s: float
    ) -> None:
        """Process the result of an order to start a run."""
        worker = self._workers.get(worker_id)
        run = None if worker is None else worker.runs.get((task, number))
        if run is None:
            return
        if result in (StartResult.STARTED, StartResult.UNKNOWN):
            # A process that began after the last report counts the lease from receipt of the order,
            # because its clock has started anew.
            worker.runs_end_s = max(worker.runs_end_s, now_s + self._timing.lease_bound_s)
        if run.phase is not RunPhase.STARTING:
            return
        run.start_open = False
        if result is not StartResult.UNKNOWN:
            self.start_window.observe(now_s - run.last_order_s, now_s)
        match result:
            case StartResult.STARTED | StartResult.NUMBER_TOO_LOW:
                # With NUMBER_TOO_LOW, the run has already ended; the next report says how.
                run.phase, run.phase_since_s = RunPhase.RUNNING, now_s
                self._mark_job_running(run)
                return
            case StartResult.UNKNOWN | StartResult.STALE_EPOCH:
                return
            case StartResult.UNHEALTHY:
                worker.set_aside_until_s = max(worker.set_aside_until_s, now_s + _UNHEALTHY_PAUSE_S)
            case StartResult.NOT_SENT | StartResult.OTHER_INCARNATION:
                worker.reachable = False
            case StartResult.NO_TICKET if run.step is not None:
                run.step.expire_ticket(worker_id)
        run.refusals_count += 1
        if run.refusals_count < run.starts_count:
            # An earlier, unanswered start order for this run may still be executed, so the task
            # waits until the worker has accepted a stop order.
            self.order_stop(run, StopCause.START_REFUSED, now_s)
        else:
            self._release_run(run)
        self._abort_gang(run, StopCause.GANG_START_FAILED, now_s)

    def handle_stop_answer(self, worker_id: str, task: TaskName, number: int, now_s: float) -> None:
        """Record that a worker accepted a stop order and refuses to start that run from now on."""
        worker = self._workers.get(worker_id)
        run = None if worker is None else worker.runs.get((task, number))
        if run is not None and run.phase is RunPhase.STOPPING and not run.stop_answered:
            run.stop_answered = True
            run.phase_since_s = now_s

    def _mark_job_running(self, run: Run) -> None:
        job = None if run.step is None else run.step.job
        if job is not None and job.state is WorkflowState.QUEUED:
            job.state = WorkflowState.RUNNING
            job.dirty = True

    def _release_run(self, run: Run) -> None:
        """Free the capacity of an ended run and requeue its task unless it is done."""
        run.worker.remove(run)
        self.ledger.release(run)
        self.capacity_version += 1
        step, index = run.step, run.task.index
        if step is None or step.runs.get(index) is not run:
            return
        del step.runs[index]
        if not step.is_done(index) and not step.job.state.is_final:
            step.waiting.add(index)
        if step.job.state.is_final and not self.has_runs(step.job):
            self.closed_job_ids.append(step.job.job_id)

    def _abort_gang(self, run: Run, cause: StopCause, now_s: float) -> None:
        if run.step is not None and run.step.spec.gang:
            for other in list(run.step.runs.values()):
                self.order_stop(other, cause, now_s)

    def handle_lost(self, run: Run, cause: LossCause, now_s: float) -> None:
        """Process the end of a run of which no end was reported."""
        reported_s = run.worker.reported_s
        self._outbox.append(
            RunLost(
                worker_id=run.worker.worker_id,
                task=run.task,
                number=run.number,
                cause=cause,
                phase=run.phase.value,
                report_age_s=None if reported_s is None else now_s - reported_s,
                incarnation=run.worker.info.incarnation,
                reported=run.reported,
            )
        )
        if run.step is not None:
            if run.checkpoint:
                self._ends.keep_checkpoint(run.step, run.task.index, run.checkpoint)
            if cause is not LossCause.LEASE_EXPIRED:
                # A later tenure may have acknowledged its end. Whether a lease has expired was
                # already decided with a confirmation.
                run.step.lost_s[run.task.index] = now_s
        self._release_run(run)
        self._abort_gang(run, StopCause.GANG_MEMBER_ENDED, now_s)

    def handle_restart(self, worker: Worker, now_s: float) -> None:
        """Process the runs of a worker whose process has ended, as a later incarnation shows.

        Orders are addressed to the id of the worker, so the later process may have accepted some of
        them. Only runs that a report has listed are known to have ended with the earlier process;
        the first report of the later one decides about the others.
        """
        for run in list(worker.runs.values()):
            if run.may_start_late(now_s):
                # The later process has to refuse the run, or its lease has to expire. The deadline
                # of the order is a time on another clock than that of the later process.
                self.order_stop(run, StopCause.START_UNANSWERED, now_s)
                run.reported = run.stop_answered = False
                self._unanswered[run] = None
                worker.runs_end_s = max(
                    worker.runs_end_s, run.late_start_until_s + self._timing.lease_bound_s
                )
                run.needs_stop_answer = True
            elif run.reported:
                self.handle_lost(run, LossCause.PROCESS_ENDED, now_s)

    def handle_report(self, worker: Worker, event: WorkerReported, now_s: float) -> None:
        """Process the running and ended runs that a worker reported."""
        self.interference.observe(worker, event, now_s)
        for end in event.ended:
            self._handle_end(worker, end, now_s)
        alive = set()
        for row in event.running:
            alive.add((row.task, row.number))
            self._update_running(worker, row, event.sent_s, now_s)
        self.worker_health.update_slow_state(worker, now_s)
        if not event.ends_complete:
            # The end of a run that is not listed may follow in a later report.
            return
        for key, run in list(worker.runs.items()):
            if key in alive or event.sent_s <= run.phase_since_s:
                continue
            if run.phase is RunPhase.STARTING and event.sent_s <= run.late_start_until_s:
                continue
            if (
                run.phase is RunPhase.STOPPING
                and not run.stop_answered
                and (run.needs_stop_answer or event.sent_s <= run.late_start_until_s)
            ):
                # A delayed start order can still arrive while the stop order is unanswered.
                continue
            self.handle_lost(run, LossCause.NOT_REPORTED, now_s)

    def _update_running(
        self, worker: Worker, row: ReportedRun, sent_s: float, now_s: float
    ) -> None:
        run = worker.runs.get((row.task, row.number))
        if run is None:
            run = self._adopt_run(worker, row, now_s)
        run.reported = True
        if run.phase is RunPhase.STARTING:
            run.phase, run.phase_since_s = RunPhase.RUNNING, now_s
            self._mark_job_running(run)
        run.checkpoint = row.checkpoint or run.checkpoint
        if row.percent != run.percent:
            run.percent, run.progressed_s = row.percent, now_s
        self.worker_health.record_progress(run, row.percent, now_s)
        if self.worker_health.is_stalled(run, sent_s, now_s):
            run.step.avoided[run.task.index] = worker.worker_id
            # Each probe of a stalled worker takes seconds, which count as time aside.
            self.worker_health.record_failure(
                worker, run.step.job.job_id, now_s, since_s=run.progressed_s
            )
            self.order_stop(run, StopCause.NO_PROGRESS, now_s)
            self._abort_gang(run, StopCause.GANG_MEMBER_STALLED, now_s)

    def _adopt_run(self, worker: Worker, row: ReportedRun, now_s: float) -> Run:
        """Register a run that an earlier tenure started; stop it if its task needs no run."""
        step = self._find_step(row.task)
        demand = self._find_demand(row.task, worker)
        wanted = (
            step is not None
            and not step.job.state.is_final
            and not step.is_done(row.task.index)
            and row.task.index not in step.runs
        )
        run = Run(
            task=row.task,
            number=row.number,
            step=step if wanted else None,
            worker=worker,
            demand=demand,
            phase=RunPhase.RUNNING,
            phase_since_s=now_s,
            started_s=now_s,
            progressed_s=now_s,
            speed_read_s=now_s,
            speed_read_percent=row.percent,
        )
        self.add(run)
        self._outbox.append(
            RunAdopted(worker_id=worker.worker_id, task=row.task, number=row.number)
        )
        if wanted:
            self._mark_job_running(run)
        else:
            self.order_stop(run, StopCause.NOT_NEEDED, now_s)
        return run

    def _find_demand(self, task: TaskName, worker: Worker) -> ResourceVector:
        """Return the demand of a reported run, also if its job needs no further runs.

        A run of an unknown job is assumed to occupy the whole worker.
        """
        spec = self._find_spec(task.step_name.job_id)
        if spec is None or task.step_name.step >= len(spec.steps):
            return worker.info.capacity
        return spec.steps[task.step_name.step].demand

    def _handle_end(self, worker: Worker, end: ReportedEnd, now_s: float) -> None:
        run = worker.runs.get((end.task, end.number))
        # A run that was ordered to stop because its task needs no run may still end as done.
        step = self._find_step(end.task) if run is None or run.step is None else run.step
        if step is not None and not step.job.state.is_final:
            self._ends.record(worker, step, end, run, now_s)
        if run is not None:
            self._release_run(run)
            if end.kind not in (EndKind.DONE, EndKind.STOPPED):
                self._abort_gang(run, StopCause.GANG_MEMBER_ENDED, now_s)

    def _find_step(self, task: TaskName) -> Step | None:
        """Return the step of a reported task; None if its job is unknown or has no such task."""
        job = self._jobs.get(task.step_name.job_id)
        if job is None or not job.spec.has_task(task):
            return None
        job.create_occurrence(task.step_name.occurrence)
        return job.steps.get((task.step_name.occurrence, task.step_name.step))

    def order_start(self, run: Run, ticket: str, now_s: float) -> None:
        """Send or repeat the order to start a run."""
        timing, step = self._timing, run.step
        run.last_order_s = now_s
        run.start_open = True
        run.starts_count += 1
        run.late_start_until_s = (
            now_s + timing.start_validity_s * (1 + timing.clock_drift) + timing.network_margin_s
        )
        run.worker.runs_end_s = max(run.worker.runs_end_s, run.late_start_until_s)
        index = run.task.index
        self._outbox.append(
            StartRun(
                worker_id=run.worker.worker_id,
                task=run.task,
                number=run.number,
                payload=step.job.spec.payload,
                checkpoint=step.checkpoints.get(0 if step.spec.gang else index, ""),
                ticket=ticket,
                ordered_s=now_s,
            )
        )

    def repeat_unanswered_orders(self, now_s: float, may_start: bool) -> None:
        """Repeat unanswered orders; stop runs whose start stays unanswered for too long.

        An order is not repeated while its answer may still come, because the repetitions would
        queue behind it if this VM is slow.

        Args:
            now_s: current local time, in seconds.
            may_start: whether the tenure was confirmed recently enough to start runs.
        """
        self.starting_count = 0
        for run in list(self._unanswered):
            is_current = run.worker.runs.get((run.task, run.number)) is run
            if not is_current or run.phase is RunPhase.RUNNING or run.stop_answered:
                del self._unanswered[run]
                continue
            if run.phase is RunPhase.STARTING:
                self.starting_count += 1
            if now_s < run.last_order_s + self._timing.repeat_s:
                continue
            if run.phase is RunPhase.STOPPING:
                self._send_stop(run, now_s)
            elif not run.start_open:
                self._repeat_start(run, now_s, may_start)

    def _repeat_start(self, run: Run, now_s: float, may_start: bool) -> None:
        worker_id = run.worker.worker_id
        if now_s < run.phase_since_s + self._timing.start_repeats_s:
            ticket, expires_s = run.step.tickets.get(worker_id, ("", float("inf")))
            # With an expired ticket, a report of the worker shows whether the run has started. A
            # silent worker may have restarted, and its next process would accept any epoch.
            if may_start and now_s < expires_s and run.worker.reachable:
                self.order_start(run, ticket, now_s)
            return
        run.step.avoided[run.task.index] = worker_id
        self.order_stop(run, StopCause.START_UNANSWERED, now_s)
        self._abort_gang(run, StopCause.GANG_START_FAILED, now_s)
