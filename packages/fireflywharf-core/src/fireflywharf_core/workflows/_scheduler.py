"""Scheduler of the workers of all failure domains: events in, actions out."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import attrs

from ._approvals import TicketTracker
from ._confirmation import TenureConfirmation
from ._estimates import RunTimes
from ._events import (
    Action,
    ApprovalFailed,
    ApprovalReceived,
    DirectoryChanged,
    Event,
    IncarnationSource,
    JobAdded,
    JobCancelled,
    JobsRecorded,
    LossCause,
    ProgressTooLarge,
    StartAnswered,
    StopAnswered,
    StopCause,
    TeamsChanged,
    TenureConfirmed,
    WorkerReported,
    WorkerRestarted,
    WorkerSilent,
    WorkerUndescribed,
)
from ._gang_plans import GangPlanner
from ._headroom import Headroom
from ._job_limits import JobLimits, open_occurrences_max
from ._job_progress import create_due_occurrences, make_progress, restore_progress
from ._journal import Departure
from ._journal_records import (
    WorkflowClosed,
    WorkflowProgress,
    WorkflowState,
)
from ._placement_order import placement_order_key
from ._reconciliation import Reconciliation
from ._reservations import Reservations
from ._runs import RunTable
from ._specs import WorkflowSpec
from ._state import Job, Step, Worker
from ._step_placement import StepPlacer
from ._team_ledger import TeamLedger
from ._team_rates import TeamRates
from ._timing import Timing

BLOCKED_RETRY_S = 5.0
"""Time after which progress that the journal rejected for its size is stored again.

It may have shrunk since, or the store may have rejected it for another reason."""
DEPARTED_SILENCE_S = 2.0
"""Time without an answer after which a worker that is not in the directory counts as departed."""


class WorkflowScheduler:
    """Assigns the tasks of all jobs to the workers of one deployment.

    One instance serves one tenure. It adopts the runs of earlier tenures from the reports of the
    workers. A task of which an earlier tenure may have started a run that is not known waits until
    every worker is reconciled, that is, until all earlier runs are known or have ended; see
    `Step.find_accounted`. A job without progress in the journal has none, because its first
    progress becomes durable before its first run is started, and the journal refuses the records of
    an earlier tenure.

    Args:
        timing: timeouts of the deployment.
        first_number: lowest run number of this tenure; higher than those of earlier tenures.
        workers_in_use: ids of the workers on which an earlier tenure may have started runs.
        departures: departures of these workers by id.
        started_s: local time of the start of the tenure, in seconds.
        leases_end_s: local time, in seconds, by which all leases of earlier tenures have expired;
            by default the latest possible one.
        find_spec: returns the specification of a job, also of one that has ended.
        find_team: returns the team of a job, also of one that has ended; empty without one.
        limits: limits on the size of a job.
    """

    def __init__(
        self,
        *,
        timing: Timing,
        first_number: int = 1,
        workers_in_use: Iterable[str] = (),
        departures: Mapping[str, Departure] | None = None,
        started_s: float = 0.0,
        leases_end_s: float | None = None,
        find_spec: Callable[[str], WorkflowSpec | None],
        find_team: Callable[[str], str],
        limits: JobLimits | None = None,
    ) -> None:
        self.timing = timing
        self.limits = JobLimits() if limits is None else limits
        self.started_s = started_s
        self.jobs: dict[str, Job] = {}
        self.workers: dict[str, Worker] = {}
        self.run_times = RunTimes()
        self.outbox: list[Action] = []
        self.confirmation = TenureConfirmation()
        if leases_end_s is None:
            leases_end_s = started_s + timing.inherited_wait_s
        self.reconciliation = Reconciliation(
            self.workers, self.confirmation, timing, workers_in_use, departures or {}, leases_end_s
        )
        self.ledger = TeamLedger(find_spec, find_team)
        self.team_rates = TeamRates()
        self.runs = RunTable(
            self.jobs, self.workers, self.outbox, self.run_times, timing, self.ledger, find_spec
        )
        self.runs.first_number = first_number
        self.ticket_tracker = TicketTracker(self.workers, self.outbox)
        self.headroom = Headroom()
        reservations = Reservations(self.workers, GangPlanner(self.run_times))
        self.placer = StepPlacer(
            self.runs, self.ticket_tracker, reservations, self.headroom, self.confirmation
        )
        self._closed: list[str] = []
        self._unrecorded_cancellations: list[WorkflowProgress] = []

    def observe(self, event: Event, now_s: float) -> None:
        """Process an event.

        Args:
            event: what happened.
            now_s: current local time, in seconds.
        """
        match event:
            case WorkerReported():
                self._handle_worker_report(event, now_s)
            case StartAnswered(worker_id, task, number, result):
                self.runs.handle_start_answer(worker_id, task, number, result, now_s)
            case StopAnswered(worker_id, task, number):
                self.runs.handle_stop_answer(worker_id, task, number, now_s)
            case ApprovalReceived():
                self.ticket_tracker.add_tickets(self.find_step(event.step), event, now_s)
            case ApprovalFailed(step):
                self.ticket_tracker.clear_request(step, self.find_step(step))
            case JobAdded():
                self._handle_job_added(event, now_s)
            case JobsRecorded(job_ids):
                for job_id in job_ids:
                    if job_id in self.jobs:
                        self.jobs[job_id].recorded = True
                        self.jobs[job_id].blocked_s = None
            case ProgressTooLarge(job_id):
                if job_id in self.jobs:
                    self.jobs[job_id].blocked_s = now_s
            case TenureConfirmed(sent_s):
                if self.confirmation.observe(sent_s):
                    self.runs.capacity_version += 1
            case JobCancelled(job_id):
                self._handle_cancellation(job_id, now_s)
            case TeamsChanged(teams):
                self.ledger.update_teams(teams)
                self.runs.capacity_version += 1
            case DirectoryChanged(workers):
                self._apply_directory(workers, now_s)
            case WorkerSilent(worker_id, renewed_s):
                self._handle_silence(worker_id, renewed_s)

    def decide(self, now_s: float, utc_s: float) -> list[Action]:
        """Place waiting steps and return the actions to execute now.

        Args:
            now_s: current local time, in seconds.
            utc_s: seconds since the Unix epoch, for jobs with scheduled times.
        """
        # A worker that has restarted unnoticed accepts any epoch, so no run is started once a
        # successor may have begun.
        may_start = self.confirmation.covers(now_s - self.timing.start_permission_s, now_s)
        self.runs.repeat_unanswered_orders(now_s, may_start)
        self._expire_workers(now_s)
        if self.runs.worker_health.end_probations(now_s):
            self.runs.capacity_version += 1
        is_reconciled = self.is_reconciled(now_s)
        self.placer.is_reconciled = is_reconciled
        if is_reconciled and self.ledger.complete_reconciliation():
            self.runs.capacity_version += 1
        self._classify_jobs(now_s, utc_s)
        ready = []
        for job in self.jobs.values():
            if job.state.is_final or not job.recorded:
                continue
            if job.blocked_s is not None:
                job.dirty = job.dirty or now_s >= job.blocked_s + BLOCKED_RETRY_S
                continue
            create_due_occurrences(job, utc_s)
            ready += [
                step
                for step in job.steps.values()
                if step.find_accounted(is_reconciled) and job.is_ready(step)
            ]
        for step in ready:
            step.expected_run_s = self.run_times.predict(step)
        ready.sort(key=lambda step: placement_order_key(step, self.run_times, now_s))
        usable = {
            service: self.find_usable_workers(service, now_s)
            for service in {step.job.queue.service for step in ready}
        }
        self.headroom.choose_workers(
            (worker for workers in usable.values() for worker in workers.values()), now_s
        )
        for position, step in enumerate(ready if may_start else ()):
            if self.runs.starting_count >= self.runs.start_window.limit_:
                break
            if self.placer.should_place(step, position, now_s):
                self.placer.place(step, usable[step.job.queue.service], now_s)
        actions, self.outbox[:] = list(self.outbox), []
        return actions

    def workers_to_record(self, recorded: Iterable[str], now_s: float) -> set[str]:
        """Return the ids of the workers on which runs may have been started.

        A worker that has left is included until its runs have certainly ended. Later, it would only
        delay the next scheduler, which waits for every recorded worker.

        Args:
            recorded: ids that are recorded in the journal.
            now_s: current local time, in seconds.
        """
        kept = set() if self.is_reconciled(now_s) else set(recorded)
        return kept.union(self.workers)

    def is_reconciled(self, now_s: float) -> bool:
        """Return whether all runs of earlier tenures are known or have ended."""
        return self.reconciliation.is_complete(now_s)

    def find_departed(self, now_s: float) -> set[str]:
        """Return the ids of the workers that have left the directory and do not answer any more.

        Only workers that have answered in this tenure are included: the others do not know its
        epoch, and may still accept orders of the earlier one.
        """
        return {
            worker.worker_id
            for worker in self.workers.values()
            if not worker.in_directory
            and not worker.reachable
            and worker.reported_s is not None
            and now_s >= worker.reported_s + DEPARTED_SILENCE_S
        }

    def find_usable_workers(self, service: str, now_s: float) -> dict[str, Worker]:
        """Return the workers of a service on which new runs may be started, by id.

        A process that began after a later tenure had asked its predecessor for reports would accept
        orders of this tenure, so it is used only after a confirmation.
        """
        return {
            worker.worker_id: worker
            for worker in self.workers.values()
            if worker.info.service == service
            and worker.is_usable(now_s)
            and self.confirmation.covers(worker.first_reported_s, now_s)
        }

    def pop_progress(self) -> list[WorkflowProgress]:
        """Return the progress of the jobs that changed since the last call.

        The caller reports with `JobsRecorded` when it is durable.
        """
        changed = [job for job in self.jobs.values() if job.dirty]
        for job in changed:
            job.dirty = False
            if job.state.is_final and not self.runs.has_runs(job):
                self.runs.closed_job_ids.append(job.job_id)
        for job_id in self.runs.closed_job_ids:
            if self.jobs.pop(job_id, None) is not None:
                self._closed.append(job_id)
        self.runs.closed_job_ids.clear()
        cancelled, self._unrecorded_cancellations = self._unrecorded_cancellations, []
        return [*cancelled, *(make_progress(job) for job in changed)]

    def pop_closed(self) -> list[WorkflowClosed]:
        """Return the closing records of jobs that have ended and have no runs.

        The progress that the earlier `pop_progress` calls returned must already be durable.
        """
        closed = [job_id for job_id in self._closed if self.ledger.may_close(job_id)]
        self._closed = [job_id for job_id in self._closed if not self.ledger.may_close(job_id)]
        return [WorkflowClosed(job_id=job_id) for job_id in closed]

    def find_step(self, name) -> Step | None:
        """Return the step with the given name, or None."""
        job = self.jobs.get(name.job_id)
        return None if job is None else job.steps.get((name.occurrence, name.step))

    def _handle_job_added(self, event: JobAdded, now_s: float) -> None:
        journaled = event.journaled
        if journaled.accepted is None or event.job_id in self.jobs:
            return
        has_progress = journaled.progress is not None
        if journaled.team:
            self.ledger.add_team(journaled.accepted.team_quota)
            if not (has_progress and journaled.progress.is_excess):
                accepted_utc_s = journaled.accepted.accepted_utc_s
                self.team_rates.add(event.job_id, journaled.team, accepted_utc_s, has_progress)
        if journaled.state.is_final:
            if journaled.cancelled and not (has_progress and journaled.progress.state.is_final):
                self._unrecorded_cancellations.append(
                    WorkflowProgress(
                        job_id=event.job_id, state=WorkflowState.CANCELLED, team=journaled.team
                    )
                )
            self.ledger.add_inherited(event.job_id, journaled, None)
            # Its closing record was lost with an earlier scheduler. Without one, the job would
            # count as new once its progress has been deleted.
            self._closed.append(event.job_id)
            return
        accepted = journaled.accepted
        job = Job(
            event.job_id,
            accepted.queue,
            accepted.spec,
            min(now_s, journaled.accepted_s),
            inherited=has_progress,
            recorded=has_progress,
            team=journaled.team,
            open_occurrences_max=open_occurrences_max(accepted.spec, accepted.queue, self.limits),
        )
        job.dirty = not has_progress
        if has_progress:
            restore_progress(job, journaled.progress)
            self.ledger.add_inherited(event.job_id, journaled, job)
        if not accepted.spec.times_count:
            job.create_occurrence(0)
        self.jobs[event.job_id] = job
        if not job.team:
            self.headroom.observe(job, now_s)
        self.ticket_tracker.apply_early_tickets(job.steps.values(), now_s)

    def _classify_jobs(self, now_s: float, utc_s: float) -> None:
        """Classify the jobs of teams as owed or excess, once the weights and all jobs are known.

        The directory is passed on only after all jobs in the journal were read. Places are not kept
        for urgent tasks that are excess or that a cap holds.
        """
        if self.team_rates.has_pending and self.ledger.listed_teams is not None and self.workers:
            for job in self.team_rates.classify(self.jobs, self.ledger.accounts, utc_s):
                if not any(self.ledger.is_held(step) for step in job.steps.values()):
                    self.headroom.observe(job, now_s)

    def _handle_cancellation(self, job_id: str, now_s: float) -> None:
        job = self.jobs.get(job_id)
        if job is not None and not job.state.is_final:
            job.state = WorkflowState.CANCELLED
            job.dirty = True
            self.runs.order_stop_all(job, StopCause.JOB_CANCELLED, now_s)
            if not self.runs.has_runs(job):
                self.runs.closed_job_ids.append(job_id)

    def _apply_directory(self, directory, now_s: float) -> None:
        for worker in self.workers.values():
            worker.in_directory = worker.worker_id in directory
        for worker_id, info in directory.items():
            worker = self.workers.get(worker_id)
            if worker is None:
                worker = Worker(info=info, free=info.capacity, entries={info.incarnation: info})
                worker.runs_end_s = self.reconciliation.leases_end_s
                self.workers[worker_id] = worker
                self.runs.capacity_version += 1
                continue
            was_described = worker.is_described
            worker.keep_entry(info)
            if worker.is_described and not was_described:
                self.runs.capacity_version += 1
            if info == worker.info or info.incarnation in worker.ended_incarnations:
                continue
            if info.incarnation < worker.info.incarnation:
                # An earlier process, unless the clock was set back; then the next report tells.
                continue
            if info.incarnation != worker.info.incarnation:
                self._handle_restart(worker, info.incarnation, IncarnationSource.DIRECTORY, now_s)
            worker.update_info(info)
            self.runs.capacity_version += 1

    def _handle_silence(self, worker_id: str, renewed_s: float) -> None:
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.reachable = False
            worker.runs_end_s = max(worker.runs_end_s, renewed_s + self.timing.lease_bound_s)

    def _handle_restart(
        self, worker: Worker, later: int, source: IncarnationSource, now_s: float
    ) -> None:
        """Take a later incarnation of a worker as the present one, and note the restart."""
        earlier = worker.info.incarnation
        self.outbox.append(
            WorkerRestarted(worker_id=worker.worker_id, earlier=earlier, later=later, source=source)
        )
        worker.ended_incarnations.discard(later)
        worker.ended_incarnations.add(earlier)
        worker.incarnation_shown_s = now_s
        worker.has_reported = worker.reachable = False
        self.runs.handle_restart(worker, now_s)

    def _describe_process(self, worker: Worker, incarnation: int) -> None:
        """Use the entry of the process that a report has shown, if the directory has shown one."""
        entry = worker.entries.get(incarnation)
        if entry is not None:
            worker.update_info(entry)
            return
        worker.info = attrs.evolve(worker.info, incarnation=incarnation)
        self.outbox.append(WorkerUndescribed(worker_id=worker.worker_id, incarnation=incarnation))

    def _expire_workers(self, now_s: float) -> None:
        for worker in list(self.workers.values()):
            # A later tenure may have renewed the leases.
            if worker.reachable or not self.confirmation.covers(worker.runs_end_s, now_s):
                continue
            for run in list(worker.runs.values()):
                self.runs.handle_lost(run, LossCause.LEASE_EXPIRED, now_s)
            self.reconciliation.mark_ended(worker.worker_id)
            if not worker.in_directory:
                del self.workers[worker.worker_id]

    def _handle_worker_report(self, event: WorkerReported, now_s: float) -> None:
        worker = self.workers.get(event.worker_id)
        if worker is None:
            return
        if event.incarnation != worker.info.incarnation:
            if event.sent_s < worker.incarnation_shown_s:
                # It may be a late answer of an earlier process.
                return
            self._handle_restart(worker, event.incarnation, IncarnationSource.REPORT, now_s)
            self._describe_process(worker, event.incarnation)
        if not worker.is_usable(now_s):
            self.runs.capacity_version += 1
        worker.reachable = True
        worker.reported_s = worker.incarnation_shown_s = now_s
        if event.ends_complete and not worker.has_reported:
            worker.has_reported, worker.first_reported_s = True, now_s
        worker.runs_end_s = max(worker.runs_end_s, now_s + self.timing.lease_bound_s)
        self.runs.handle_report(worker, event, now_s)
