"""Reconciliation of worker reports with the table of attempts."""

from collections.abc import Callable

import attrs

from ..jobs import AttemptEnd, AttemptId
from ..platform import RunningAttempt
from ..resources import ResourceVector
from ._actions import AcknowledgeEnd, RecordTaskEnd
from ._attempts import AttemptTable
from ._events import WorkerReport
from ._jobs import JobTable
from ._model import DONE, LIVE, Attempt, AttemptPhase, Job, Worker
from ._outbox import Outbox
from ._state_changes import AttemptChargeChanged, AttemptRunning, AttemptUsageReported, StateChange
from ._workers import WorkerTable

# A start without an answer may be delivered as long as a connection of the daemon is open. A report
# proves that an attempt does not run only if it was requested this much later.
START_IN_FLIGHT_MAX_S = 1.0
STOP_REPEAT_S = 2.0
RECORD_END_AGAIN_S = 5.0
USAGE_GROWTH_FACTOR = 1.25
# Attempts of unknown jobs are not stopped before this, because the log may still be replayed.
UNKNOWN_JOB_GRACE_S = 60.0


@attrs.frozen(slots=True)
class _UnknownEnd:
    """Reported end of an attempt whose job is not yet known."""

    worker: str
    end: AttemptEnd
    elapsed_s: float
    first_s: float


class ReportProcessor:
    """Updates attempts from the lists of workers, and resolves differences.

    Args:
        jobs: table of jobs.
        workers: table of workers.
        attempts: table of attempts.
        outbox: queue of actions for the daemon.
        notify: called with (change, now_s) for each state change.
    """

    def __init__(
        self,
        jobs: JobTable,
        workers: WorkerTable,
        attempts: AttemptTable,
        outbox: Outbox,
        notify: Callable[[StateChange, float], None],
    ) -> None:
        self.jobs = jobs
        self.workers = workers
        self.attempts = attempts
        self.outbox = outbox
        self.notify = notify
        self._ended: dict[str, dict[AttemptId, float]] = {}
        self._unknown_ends: dict[str, dict[AttemptId, _UnknownEnd]] = {}

    def process(self, report: WorkerReport, now_s: float) -> bool:
        """Process a report; return whether its worker is known."""
        worker = self.workers.get(report.worker)
        if worker is None:
            return False
        self.workers.set_state(worker, now_s, reported=True, lost=False, free_unknown=False)
        listed_ids = set()
        for row in report.running:
            listed_ids.add(row.attempt)
            attempt = worker.attempts.get(row.attempt)
            if attempt is None:
                # The list may be older than the end of the attempt, which must stay ended.
                if row.attempt not in self._ended.get(worker.name, ()):
                    self.add_reported_attempt(worker, row, now_s)
            else:
                self.update_listed(attempt, row, now_s)
        for row in report.ended:
            listed_ids.add(row.attempt)
            self.handle_end(row.attempt, worker.name, row.end, row.elapsed_s, now_s)
        if len(worker.attempts) > len(report.running):
            for attempt in list(worker.attempts.values()):
                if attempt.attempt_id not in listed_ids:
                    self.handle_missing(attempt, report.asked_s, now_s)
        self._forget_ends(report)
        return True

    def _forget_ends(self, report: WorkerReport) -> None:
        # An end that is no longer listed was acknowledged and will not be reported again.
        ends = self._ended.get(report.worker)
        if ends:
            listed = {row.attempt for row in report.ended}
            for attempt_id in [
                i for i, s in ends.items() if i not in listed and s < report.asked_s
            ]:
                del ends[attempt_id]

    def stop_attempts_of_unknown_jobs(self, now_s: float) -> None:
        """Stop attempts whose job has been unknown for `UNKNOWN_JOB_GRACE_S`."""
        for attempts in list(self.attempts.of_unknown_jobs.values()):
            for attempt in list(attempts.values()):
                if now_s - attempt.since_s >= UNKNOWN_JOB_GRACE_S:
                    attempt.since_s = now_s
                    self.attempts.stop(attempt, now_s)

    def add_reported_attempt(self, worker: Worker, report: RunningAttempt, now_s: float) -> None:
        """Add an attempt that a worker runs and that this scheduler did not know."""
        attempt_id = report.attempt
        job = self.jobs.get(attempt_id.task.job_id)
        attempt = Attempt(
            attempt_id, job, worker, report.size, report.size, AttemptPhase.RUNNING, now_s, now_s
        )
        attempt.started_s = now_s - report.elapsed_s
        if job is None:
            self.attempts.of_unknown_jobs.setdefault(attempt_id.task.job_id, {})[
                attempt_id
            ] = attempt
            self.attempts.reserve(attempt, now_s)
            return
        self._assign_task(attempt, now_s)

    def _assign_task(self, attempt: Attempt, now_s: float) -> None:
        job, index = attempt.job, attempt.attempt_id.task.index
        known_task = index < job.spec.tasks_count
        if known_task:
            job.raise_attempt_number(index, attempt.attempt_id.number)
        current = known_task and index not in job.live_attempts and job.task_states[index] != DONE
        if current and not job.is_final:
            job.set_task_state(index, LIVE)
            job.live_attempts[index] = attempt
        self.attempts.reserve(attempt, now_s)
        if not current or job.is_final or job.restarting:
            self.attempts.stop(attempt, now_s)
        self.notify(AttemptRunning(attempt), now_s)

    def resolve_unknown_job(self, job: Job, now_s: float) -> None:
        """Assign attempts and ends that were reported before their job was known.

        Waiting for the next report would be too late: the worker counts as reported already, so the
        task could start again in the meantime.
        """
        for attempt in list(self.attempts.of_unknown_jobs.pop(job.spec.job_id, {}).values()):
            self.attempts.release(attempt, now_s, None)
            attempt.job = job
            self._assign_task(attempt, now_s)
        for attempt_id, kept in self._unknown_ends.pop(job.spec.job_id, {}).items():
            self.handle_end(attempt_id, kept.worker, kept.end, kept.elapsed_s, now_s)

    def update_listed(self, attempt: Attempt, report: RunningAttempt, now_s: float) -> None:
        """Update a known attempt from a report that lists it as running."""
        attempt.first_missing_s = None
        if attempt.phase in (AttemptPhase.STARTING, AttemptPhase.UNCERTAIN):
            self.attempts.mark_running(attempt, now_s)
        if attempt.stop_commands_count and now_s - attempt.stop_sent_s > STOP_REPEAT_S:
            self._repeat_stop(attempt, now_s)
        if report.usage is not None:
            self._update_usage(attempt, report.usage, now_s)
        if report.size != attempt.reserved or report.usage is not None:
            self._update_charge(attempt, report, now_s)

    def _repeat_stop(self, attempt: Attempt, now_s: float) -> None:
        job = attempt.job
        if (
            job is None
            or job.is_final
            or job.restarting
            or job.live_attempts.get(attempt.attempt_id.task.index) is not attempt
        ):
            self.attempts.stop(attempt, now_s)

    def _update_charge(self, attempt: Attempt, report: RunningAttempt, now_s: float) -> None:
        size, usage = report.size, report.usage or ResourceVector()
        charged = ResourceVector(
            max(size.processors_millicores, usage.processors_millicores),
            max(size.memory_mb, usage.memory_mb),
            max(size.accelerators_count, usage.accelerators_count),
        )
        attempt.reserved = size
        if charged == attempt.charged:
            return
        before, attempt.charged = attempt.charged, charged
        self.notify(AttemptChargeChanged(attempt, before), now_s)
        change = charged - before
        increased = min(change.processors_millicores, change.memory_mb) < 0
        if increased:
            self.workers.discharge(attempt.worker, before - charged, now_s)
        else:
            self.workers.charge(attempt.worker, change, now_s)

    def _update_usage(self, attempt: Attempt, usage: ResourceVector, now_s: float) -> None:
        previous = attempt.usage
        if (
            previous is None
            or usage.processors_millicores > previous.processors_millicores * USAGE_GROWTH_FACTOR
            or usage.memory_mb > previous.memory_mb * USAGE_GROWTH_FACTOR
        ):
            attempt.usage = usage
            if attempt.job is not None:
                self.notify(AttemptUsageReported(attempt), now_s)

    def handle_missing(self, attempt: Attempt, asked_s: float, now_s: float) -> None:
        """Handle an attempt that a report does not list.

        Args:
            attempt: attempt that is charged to the worker.
            asked_s: time at which the report was requested.
            now_s: current time in seconds.
        """
        if attempt.phase in (AttemptPhase.INTENT, AttemptPhase.STARTING):
            return
        if asked_s < attempt.since_s + START_IN_FLIGHT_MAX_S:
            return
        if (
            attempt.first_missing_s is None
            or asked_s < attempt.first_missing_s + START_IN_FLIGHT_MAX_S
        ):
            # The worker may process a delayed start just after its answer: one list is no proof.
            attempt.first_missing_s = (
                asked_s if attempt.first_missing_s is None else attempt.first_missing_s
            )
            return
        if attempt.phase is AttemptPhase.UNCERTAIN:
            self.attempts.requeue_unstarted(attempt, now_s)
        else:
            self.attempts.handle_lost_attempt(attempt, now_s)

    def handle_end(
        self,
        attempt_id: AttemptId,
        worker_name: str,
        end: AttemptEnd,
        elapsed_s: float,
        now_s: float,
    ) -> None:
        """Handle the end of an attempt: record it, acknowledge it and apply it to the task.

        The end of an attempt of an unknown job is kept for `UNKNOWN_JOB_GRACE_S` first.
        """
        job = self.jobs.get(attempt_id.task.job_id)
        if job is None:
            kept = self._unknown_ends.setdefault(attempt_id.task.job_id, {})
            row = kept.setdefault(attempt_id, _UnknownEnd(worker_name, end, elapsed_s, now_s))
            if now_s - row.first_s < UNKNOWN_JOB_GRACE_S:
                return
            del kept[attempt_id]
            if not kept:
                del self._unknown_ends[attempt_id.task.job_id]
        ends = self._ended.setdefault(worker_name, {})
        last_s = ends.get(attempt_id)
        if last_s is not None and now_s - last_s < RECORD_END_AGAIN_S:
            return
        ends[attempt_id] = now_s
        self.outbox.put(RecordTaskEnd(attempt_id, end, worker_name, elapsed_s))
        self.outbox.put(AcknowledgeEnd(worker_name, attempt_id))
        worker = self.workers.get(worker_name)
        attempt = None if worker is None else worker.attempts.get(attempt_id)
        if attempt is not None:
            self.attempts.finish_attempt(attempt, end, elapsed_s, now_s)
        elif job is not None and last_s is None:
            self.attempts.apply_end_to_task(job, attempt_id, end, None, now_s)
