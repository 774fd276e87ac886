"""Lifecycle of attempts: start, answer of the worker, report, end and loss."""

from collections.abc import Callable

from ..contracts import ReclaimStep
from ..jobs import AttemptEnd, AttemptId, JobState
from ..platform import StartAttempt
from ..resources import ResourceVector
from ._actions import (
    CheckpointTask,
    RecordStartIntent,
    StartTask,
    StopTask,
    ThrottleTask,
)
from ._jobs import JobTable
from ._model import DONE, LIVE, WAITING, Attempt, AttemptPhase, Job, Worker
from ._outbox import Outbox
from ._state_changes import AttemptReleased, AttemptReserved, AttemptRunning, StateChange
from ._workers import WorkerTable

# A throttled attempt is limited to its reserved processors divided by this.
THROTTLE_DIVISOR = 4


class AttemptTable:
    """Starts and stops attempts on workers and applies their ends to tasks and jobs.

    Args:
        jobs: table of jobs.
        workers: table of workers.
        outbox: queue of actions for the daemon.
        notify: called with (change, now_s) for each state change.
        record_failure: called with (attempt, now_s) for each attempt that ended as failed; returns
            True if the worker is at fault, so that the failure does not count against the job.
    """

    def __init__(
        self,
        jobs: JobTable,
        workers: WorkerTable,
        outbox: Outbox,
        notify: Callable[[StateChange, float], None],
        record_failure: Callable[[Attempt, float], bool],
    ) -> None:
        self.jobs = jobs
        self.workers = workers
        self.outbox = outbox
        self.notify = notify
        self.record_failure = record_failure
        self.of_unknown_jobs: dict[str, dict[AttemptId, Attempt]] = {}

    def launch(
        self, job: Job, worker: Worker, size: ResourceVector, now_s: float, estimate_s: float = 0.0
    ) -> Attempt:
        """Reserve resources for the next waiting task of a job and start an attempt of it.

        A task that is not restartable starts only after its start intent is in the log, so that a
        later scheduler knows that it may have run.

        Args:
            job: job with a waiting task.
            worker: worker to start on.
            size: resources to reserve.
            now_s: current time in seconds.
            estimate_s: predicted run time in seconds; 0 for none.

        Returns:
            The new attempt.
        """
        index = job.peek_waiting()
        attempt_id = job.next_attempt(index)
        phase = AttemptPhase.STARTING if job.spec.restartable else AttemptPhase.INTENT
        attempt = Attempt(attempt_id, job, worker, size, size, phase, now_s, now_s)
        attempt.estimate_s = estimate_s
        job.set_task_state(index, LIVE)
        job.live_attempts[index] = attempt
        self.reserve(attempt, now_s)
        if phase is AttemptPhase.INTENT:
            self.outbox.put(RecordStartIntent(attempt_id, worker.name))
        else:
            self._send_start(attempt, now_s)
        return attempt

    def _send_start(self, attempt: Attempt, now_s: float) -> None:
        attempt.phase, attempt.since_s, attempt.started_s = AttemptPhase.STARTING, now_s, now_s
        spec = attempt.job.spec
        start = StartAttempt(attempt.attempt_id, attempt.reserved, spec.command, spec.run_time_s)
        self.outbox.put(StartTask(attempt.worker.name, start))

    def reserve(self, attempt: Attempt, now_s: float) -> None:
        """Charge the resources of an attempt to its worker."""
        attempt.worker.attempts[attempt.attempt_id] = attempt
        # Free resources change last, because that updates the index of reclaimable resources.
        self.notify(AttemptReserved(attempt), now_s)
        self.workers.charge(attempt.worker, attempt.charged, now_s)

    def release(
        self, attempt: Attempt, now_s: float, elapsed_s: float | None, finished: bool = False
    ) -> None:
        """Free the resources of an attempt.

        Args:
            attempt: attempt that holds resources.
            now_s: current time in seconds.
            elapsed_s: run time in seconds; None if unknown.
            finished: whether the attempt succeeded, so that its run time may be learned.
        """
        del attempt.worker.attempts[attempt.attempt_id]
        job, index = attempt.job, attempt.attempt_id.task.index
        if job is not None and job.live_attempts.get(index) is attempt:
            del job.live_attempts[index]
        self.notify(AttemptReleased(attempt, elapsed_s, finished), now_s)
        self.workers.discharge(attempt.worker, attempt.charged, now_s)
        if job is None:
            self._forget_unknown(attempt)

    def _forget_unknown(self, attempt: Attempt) -> None:
        waiting = self.of_unknown_jobs.get(attempt.attempt_id.task.job_id, {})
        waiting.pop(attempt.attempt_id, None)
        if not waiting:
            self.of_unknown_jobs.pop(attempt.attempt_id.task.job_id, None)

    def handle_durable_intent(self, attempt_id: AttemptId, now_s: float) -> None:
        """Start an attempt whose start intent is durable; a gang starts once all intents are."""
        job = self.jobs.get(attempt_id.task.job_id)
        index = attempt_id.task.index
        job.raise_attempt_number(index, attempt_id.number)
        attempt = job.live_attempts.get(index)
        if attempt is None or attempt.attempt_id != attempt_id:
            # The intent comes from the log: an earlier scheduler may have started the attempt.
            if job.task_states[index] == WAITING and not job.spec.restartable:
                job.recorded_intents.add(index)
                job.set_task_state(index, LIVE)
            return
        if attempt.phase is not AttemptPhase.INTENT:
            return
        job.recorded_intents.add(index)
        ready = [attempt]
        if job.is_gang:
            ready = [a for a in job.live_attempts.values() if a.phase is AttemptPhase.INTENT]
            if not all(a.attempt_id.task.index in job.recorded_intents for a in ready):
                return
        for each in ready:
            self._send_start(each, now_s)

    def handle_start_answer(
        self, attempt_id: AttemptId, accepted: bool, reason: str, now_s: float
    ) -> None:
        """Handle the answer of a worker to a start; requeue the task if it was refused."""
        attempt = self._find_attempt(attempt_id)
        if attempt is None or attempt.phase is AttemptPhase.RUNNING:
            return
        if accepted or reason == "duplicate":
            self.mark_running(attempt, now_s)
            return
        if reason == "no_room":
            self.workers.set_state(attempt.worker, now_s, free_unknown=True)
        else:
            self.workers.set_state(attempt.worker, now_s, reported=False)
        self.requeue_unstarted(attempt, now_s)

    def mark_start_uncertain(self, attempt_id: AttemptId, now_s: float) -> None:
        """Mark an attempt as possibly running, because no answer to its start arrived."""
        attempt = self._find_attempt(attempt_id)
        if attempt is not None and attempt.phase is AttemptPhase.STARTING:
            attempt.phase, attempt.since_s = AttemptPhase.UNCERTAIN, now_s

    def _find_attempt(self, attempt_id: AttemptId) -> Attempt | None:
        job = self.jobs.get(attempt_id.task.job_id)
        attempt = None if job is None else job.live_attempts.get(attempt_id.task.index)
        return attempt if attempt is not None and attempt.attempt_id == attempt_id else None

    def mark_running(self, attempt: Attempt, now_s: float) -> None:
        """Mark an attempt as running; stop it if its job no longer needs it."""
        attempt.phase, attempt.since_s = AttemptPhase.RUNNING, now_s
        job = attempt.job
        if job is not None and (job.is_final or job.restarting or attempt.stop_commands_count):
            self.stop(attempt, now_s)
        self.notify(AttemptRunning(attempt), now_s)

    def requeue_unstarted(self, attempt: Attempt, now_s: float) -> None:
        """Requeue the task of an attempt that did not run, without counting a failure."""
        job, index = attempt.job, attempt.attempt_id.task.index
        current = job is not None and job.live_attempts.get(index) is attempt
        self.release(attempt, now_s, 0.0)
        if current:
            job.recorded_intents.discard(index)
            self._requeue(job, index, now_s)

    def _requeue(self, job: Job, index: int, now_s: float) -> None:
        job.set_task_state(index, WAITING)
        if job.is_gang and not job.is_final and (job.live_attempts or job.done_count):
            self.restart_gang(job, now_s)
            return
        if job.restarting and not job.live_attempts:
            job.restarting = False
        self.jobs.enqueue_if_ready(job, now_s)

    def restart_gang(self, job: Job, now_s: float) -> None:
        """Stop the remaining tasks of a gang that lost one, so that all restart together."""
        if not job.spec.restartable:
            # The running tasks must not run twice, so only the lost ones start again.
            self.jobs.enqueue_if_ready(job, now_s)
            return
        job.restarting = True
        for attempt in list(job.live_attempts.values()):
            if attempt.stop_commands_count == 0:
                self.stop(attempt, now_s)
        if not job.live_attempts:
            job.restarting = False
            self.jobs.enqueue_if_ready(job, now_s)

    def stop(self, attempt: Attempt, now_s: float) -> None:
        """Stop an attempt; one whose start was not sent is dropped and its task waits again."""
        if attempt.phase is AttemptPhase.INTENT:
            job, index = attempt.job, attempt.attempt_id.task.index
            self.release(attempt, now_s, 0.0)
            job.recorded_intents.discard(index)
            job.set_task_state(index, WAITING)
            return
        attempt.stop_commands_count += 1
        attempt.stop_sent_s = now_s
        self.outbox.put(StopTask(attempt.worker.name, attempt.attempt_id))

    def send_reclaim_step(self, attempt: Attempt, step: ReclaimStep, now_s: float) -> None:
        """Send one reclaim command (checkpoint, throttle or stop) for an attempt."""
        attempt.stop_commands_count += 1
        attempt.stop_sent_s = now_s
        worker = attempt.worker.name
        match step:
            case ReclaimStep.CHECKPOINT:
                self.outbox.put(CheckpointTask(worker, attempt.attempt_id))
            case ReclaimStep.THROTTLE:
                limit = max(1, attempt.reserved.processors_millicores // THROTTLE_DIVISOR)
                self.outbox.put(ThrottleTask(worker, attempt.attempt_id, limit))
            case ReclaimStep.STOP:
                self.outbox.put(StopTask(worker, attempt.attempt_id))

    def handle_lost_attempt(self, attempt: Attempt, now_s: float) -> None:
        """Handle an attempt that no longer runs and whose end is unknown.

        The task is requeued if it may run twice or was never sent. Otherwise the final state of the
        job is `JobState.UNKNOWN`.
        """
        job, index = attempt.job, attempt.attempt_id.task.index
        current = job is not None and job.live_attempts.get(index) is attempt
        sent = attempt.phase is not AttemptPhase.INTENT
        self.release(attempt, now_s, None)
        if not current or job.is_final:
            return
        if job.spec.restartable or not sent:
            self._requeue(job, index, now_s)
            return
        self.fail_job(job, JobState.UNKNOWN, f"the worker that ran task {index} was lost", now_s)

    def finish_attempt(
        self, attempt: Attempt, end: AttemptEnd, elapsed_s: float, now_s: float
    ) -> None:
        """Free the resources of an attempt that ended and apply its end to the task."""
        job, index = attempt.job, attempt.attempt_id.task.index
        current = job is not None and job.live_attempts.get(index) is attempt
        succeeded = end is AttemptEnd.SUCCEEDED
        self.release(attempt, now_s, elapsed_s, succeeded)
        if job is not None and (current or succeeded):
            self.apply_end_to_task(job, attempt.attempt_id, end, attempt, now_s)

    def apply_end_to_task(
        self,
        job: Job,
        attempt_id: AttemptId,
        end: AttemptEnd,
        attempt: Attempt | None,
        now_s: float,
    ) -> None:
        """Apply the end of an attempt to its task and job.

        Args:
            job: job of the attempt.
            attempt_id: identifier of the attempt.
            end: how the attempt ended.
            attempt: the attempt, if this scheduler held resources for it; else None.
            now_s: current time in seconds.
        """
        index = attempt_id.task.index
        if index >= job.spec.tasks_count or job.is_final or job.task_states[index] == DONE:
            return
        job.raise_attempt_number(index, attempt_id.number)
        if end is AttemptEnd.SUCCEEDED:
            self.mark_task_done(job, index, now_s)
        elif index in job.live_attempts:
            return
        elif end is AttemptEnd.FAILED:
            self._task_failed(job, index, attempt, now_s)
        elif job.spec.restartable:
            self._requeue(job, index, now_s)
        else:
            self.fail_job(job, JobState.UNKNOWN, f"task {index} ended before it completed", now_s)

    def apply_recorded_end(
        self, job: Job, attempt_id: AttemptId, end: AttemptEnd, now_s: float
    ) -> None:
        """Apply an end read from the log, unless a newer attempt of the task is known."""
        attempt = job.live_attempts.get(attempt_id.task.index)
        if attempt is not None and attempt.attempt_id == attempt_id:
            # The worker listed it as running, but the list is older than the record.
            self.finish_attempt(attempt, end, 0.0, now_s)
        elif attempt_id.number >= job.attempt_numbers[attempt_id.task.index] and not job.is_final:
            self.apply_end_to_task(job, attempt_id, end, None, now_s)

    def mark_task_done(self, job: Job, index: int, now_s: float) -> None:
        """Mark a task as done, and the job as done after its last task."""
        if job.is_final:
            return
        other = job.live_attempts.get(index)
        if other is not None:
            self.stop(other, now_s)
        job.set_task_state(index, DONE)
        if job.done_count == job.spec.tasks_count:
            self.jobs.set_final_state(job, JobState.DONE, "", now_s)
        elif job.restarting and not job.live_attempts:
            job.restarting = False
            self.jobs.enqueue_if_ready(job, now_s)

    def _task_failed(self, job: Job, index: int, attempt: Attempt | None, now_s: float) -> None:
        if attempt is not None:
            job.avoided_workers.setdefault(index, set()).add(attempt.worker.name)
        if attempt is None or not self.record_failure(attempt, now_s):
            job.failures[index] = job.failures.get(index, 0) + 1
        count = job.failures.get(index, 0)
        if not job.spec.restartable or count >= job.spec.max_attempts:
            self.fail_job(job, JobState.FAILED, f"task {index} failed", now_s)
        else:
            self._requeue(job, index, now_s)

    def fail_job(self, job: Job, state: JobState, detail: str, now_s: float) -> None:
        """Set the final state of a job and stop its running attempts."""
        self.jobs.set_final_state(job, state, detail, now_s)
        for attempt in list(job.live_attempts.values()):
            self.stop(attempt, now_s)
