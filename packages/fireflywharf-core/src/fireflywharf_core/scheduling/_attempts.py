"""Life of attempts: start, answer, report, end, loss."""

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
from ._facts import AttemptConfirmed, AttemptHeld, AttemptReleased, Fact
from ._jobs import JobTable
from ._model import DONE, LIVE, WAITING, Attempt, Job, Phase, Worker
from ._outbox import Outbox
from ._workers import WorkerTable

THROTTLE_DIVISOR = 4


class AttemptTable:
    """Attempts on workers and their effect on tasks.

    Args:
        jobs: table of jobs.
        workers: table of workers.
        outbox: receives actions.
        tell: receives facts for the policy engine.
        failed: called with (attempt, now_s) for an attempt that ended as failed; returns whether
            the failure is the worker's and does not count against the job.
    """

    def __init__(
        self,
        jobs: JobTable,
        workers: WorkerTable,
        outbox: Outbox,
        tell: Callable[[Fact, float], None],
        failed: Callable[[Attempt, float], bool],
    ) -> None:
        self.jobs = jobs
        self.workers = workers
        self.outbox = outbox
        self.tell = tell
        self.failed = failed
        self.unknown: dict[str, dict[AttemptId, Attempt]] = {}

    def launch(
        self, job: Job, worker: Worker, size: ResourceVector, now_s: float, estimate_s: float = 0.0
    ) -> Attempt:
        """Reserve room for the next waiting task of a job and start it."""
        index = job.peek_waiting()
        ident = job.next_attempt(index)
        phase = Phase.STARTING if job.spec.restartable else Phase.INTENT
        attempt = Attempt(ident, job, worker, size, size, phase, now_s, now_s)
        attempt.estimate_s = estimate_s
        job.mark(index, LIVE)
        job.live[index] = attempt
        self.hold(attempt, now_s)
        if phase is Phase.INTENT:
            self.outbox.put(RecordStartIntent(ident, worker.name))
        else:
            self._send_start(attempt, now_s)
        return attempt

    def _send_start(self, attempt: Attempt, now_s: float) -> None:
        attempt.phase, attempt.since_s, attempt.started_s = Phase.STARTING, now_s, now_s
        spec = attempt.job.spec
        start = StartAttempt(attempt.ident, attempt.reserved, spec.command, spec.run_time_s)
        self.outbox.put(StartTask(attempt.worker.name, start))

    def hold(self, attempt: Attempt, now_s: float) -> None:
        """Charge an attempt to its worker."""
        attempt.worker.attempts[attempt.ident] = attempt
        # The room is told last, because indexes of reclaimable room are computed from it.
        self.tell(AttemptHeld(attempt), now_s)
        self.workers.charge(attempt.worker, attempt.charged, now_s)

    def release(
        self, attempt: Attempt, now_s: float, elapsed_s: float | None, finished: bool = False
    ) -> None:
        """Free the room of an attempt; `elapsed_s` is None when its run time is unknown."""
        del attempt.worker.attempts[attempt.ident]
        job, index = attempt.job, attempt.ident.task.index
        if job is not None and job.live.get(index) is attempt:
            del job.live[index]
        self.tell(AttemptReleased(attempt, elapsed_s, finished), now_s)
        self.workers.discharge(attempt.worker, attempt.charged, now_s)
        if job is None:
            self._forget_unknown(attempt)

    def _forget_unknown(self, attempt: Attempt) -> None:
        waiting = self.unknown.get(attempt.ident.task.job_id, {})
        waiting.pop(attempt.ident, None)
        if not waiting:
            self.unknown.pop(attempt.ident.task.job_id, None)

    def intent_durable(self, ident: AttemptId, now_s: float) -> None:
        """Start an attempt whose intent is recorded; a gang starts when all of them are."""
        job = self.jobs.get(ident.task.job_id)
        index = ident.task.index
        job.saw_number(index, ident.number)
        attempt = job.live.get(index)
        if attempt is None or attempt.ident != ident:
            # Found by replay: the attempt may have started under an earlier scheduler.
            if job.flags[index] == WAITING and not job.spec.restartable:
                job.intended.add(index)
                job.mark(index, LIVE)
            return
        if attempt.phase is not Phase.INTENT:
            return
        job.intended.add(index)
        ready = [attempt]
        if job.is_gang:
            ready = [a for a in job.live.values() if a.phase is Phase.INTENT]
            if not all(a.ident.task.index in job.intended for a in ready):
                return
        for each in ready:
            self._send_start(each, now_s)

    def start_answered(self, ident: AttemptId, accepted: bool, reason: str, now_s: float) -> None:
        """Take up the answer to a start."""
        attempt = self._find(ident)
        if attempt is None or attempt.phase is Phase.RUNNING:
            return
        if accepted or reason == "duplicate":
            self.confirm(attempt, now_s)
            return
        if reason == "no_room":
            self.workers.set_state(attempt.worker, now_s, room_unknown=True)
        else:
            self.workers.set_state(attempt.worker, now_s, reported=False)
        self.return_task(attempt, now_s)

    def start_uncertain(self, ident: AttemptId, now_s: float) -> None:
        """Treat the attempt as possibly running."""
        attempt = self._find(ident)
        if attempt is not None and attempt.phase is Phase.STARTING:
            attempt.phase, attempt.since_s = Phase.UNCERTAIN, now_s

    def _find(self, ident: AttemptId) -> Attempt | None:
        job = self.jobs.get(ident.task.job_id)
        attempt = None if job is None else job.live.get(ident.task.index)
        return attempt if attempt is not None and attempt.ident == ident else None

    def confirm(self, attempt: Attempt, now_s: float) -> None:
        """Note that the worker runs the attempt."""
        attempt.phase, attempt.since_s = Phase.RUNNING, now_s
        job = attempt.job
        if job is not None and (job.final or job.stopping or attempt.stop_step):
            self.stop(attempt, now_s)
        self.tell(AttemptConfirmed(attempt), now_s)

    def return_task(self, attempt: Attempt, now_s: float) -> None:
        """Queue a task again whose attempt did not run; this counts as no failure."""
        job, index = attempt.job, attempt.ident.task.index
        current = job is not None and job.live.get(index) is attempt
        self.release(attempt, now_s, 0.0)
        if current:
            job.intended.discard(index)
            self._requeue(job, index, now_s)

    def _requeue(self, job: Job, index: int, now_s: float) -> None:
        job.mark(index, WAITING)
        if job.is_gang and not job.final and (job.live or job.done_count):
            self.regroup(job, now_s)
            return
        if job.stopping and not job.live:
            job.stopping = False
        self.jobs.offer(job, now_s)

    def regroup(self, job: Job, now_s: float) -> None:
        """Stop the rest of a gang that lost a task, so that it starts again as a whole."""
        if not job.spec.restartable:
            # Its running tasks may not run again, so only the lost ones are started again.
            self.jobs.offer(job, now_s)
            return
        job.stopping = True
        for attempt in list(job.live.values()):
            if attempt.stop_step == 0:
                self.stop(attempt, now_s)
        if not job.live:
            job.stopping = False
            self.jobs.offer(job, now_s)

    def stop(self, attempt: Attempt, now_s: float) -> None:
        """Stop an attempt; one that was never sent is dropped."""
        if attempt.phase is Phase.INTENT:
            job, index = attempt.job, attempt.ident.task.index
            self.release(attempt, now_s, 0.0)
            job.intended.discard(index)
            job.mark(index, WAITING)
            return
        attempt.stop_step += 1
        attempt.stop_sent_s = now_s
        self.outbox.put(StopTask(attempt.worker.name, attempt.ident))

    def reclaim(self, attempt: Attempt, step: ReclaimStep, now_s: float) -> None:
        """Take one step to get the room of an attempt back."""
        attempt.stop_step += 1
        attempt.stop_sent_s = now_s
        worker = attempt.worker.name
        match step:
            case ReclaimStep.CHECKPOINT:
                self.outbox.put(CheckpointTask(worker, attempt.ident))
            case ReclaimStep.THROTTLE:
                limit = max(1, attempt.reserved.processors_millicores // THROTTLE_DIVISOR)
                self.outbox.put(ThrottleTask(worker, attempt.ident, limit))
            case ReclaimStep.STOP:
                self.outbox.put(StopTask(worker, attempt.ident))

    def vanished(self, attempt: Attempt, now_s: float) -> None:
        """Take up that an attempt has stopped without a known end."""
        job, index = attempt.job, attempt.ident.task.index
        current = job is not None and job.live.get(index) is attempt
        sent = attempt.phase is not Phase.INTENT
        self.release(attempt, now_s, None)
        if not current or job.final:
            return
        if job.spec.restartable or not sent:
            self._requeue(job, index, now_s)
            return
        self.fail_job(job, JobState.UNKNOWN, f"the worker of task {index} was lost", now_s)

    def take_end(self, attempt: Attempt, end: AttemptEnd, elapsed_s: float, now_s: float) -> None:
        """Take up the end of an attempt that holds room."""
        job, index = attempt.job, attempt.ident.task.index
        current = job is not None and job.live.get(index) is attempt
        succeeded = end is AttemptEnd.SUCCEEDED
        self.release(attempt, now_s, elapsed_s, succeeded)
        if job is not None and (current or succeeded):
            self.apply_end(job, attempt.ident, end, attempt, now_s)

    def apply_end(
        self, job: Job, ident: AttemptId, end: AttemptEnd, attempt: Attempt | None, now_s: float
    ) -> None:
        """Take up the end of an attempt for its task.

        Args:
            job: job of the attempt.
            ident: the attempt.
            end: how it ended.
            attempt: the attempt, if it held room under this scheduler.
            now_s: present time.
        """
        index = ident.task.index
        if index >= job.spec.tasks_count or job.final or job.flags[index] == DONE:
            return
        job.saw_number(index, ident.number)
        if end is AttemptEnd.SUCCEEDED:
            self.task_done(job, index, now_s)
        elif index in job.live:
            return
        elif end is AttemptEnd.FAILED:
            self._task_failed(job, index, attempt, now_s)
        elif job.spec.restartable:
            self._requeue(job, index, now_s)
        else:
            self.fail_job(job, JobState.UNKNOWN, f"task {index} was cut short", now_s)

    def end_recorded(self, job: Job, ident: AttemptId, end: AttemptEnd, now_s: float) -> None:
        """Take up an end found in the log, unless the attempt ended under this scheduler."""
        attempt = job.live.get(ident.task.index)
        if attempt is not None and attempt.ident == ident:
            # Its worker still lists it; the record shows that the list was older.
            self.take_end(attempt, end, 0.0, now_s)
        elif ident.number >= job.numbers[ident.task.index] and not job.final:
            self.apply_end(job, ident, end, None, now_s)

    def task_done(self, job: Job, index: int, now_s: float) -> None:
        """Mark a task as done, and its job when it was the last one."""
        if job.final:
            return
        other = job.live.get(index)
        if other is not None:
            self.stop(other, now_s)
        job.mark(index, DONE)
        if job.done_count == job.spec.tasks_count:
            self.jobs.finish(job, JobState.DONE, "", now_s)
        elif job.stopping and not job.live:
            job.stopping = False
            self.jobs.offer(job, now_s)

    def _task_failed(self, job: Job, index: int, attempt: Attempt | None, now_s: float) -> None:
        if attempt is not None:
            job.avoided.setdefault(index, set()).add(attempt.worker.name)
        if attempt is None or not self.failed(attempt, now_s):
            job.failures[index] = job.failures.get(index, 0) + 1
        count = job.failures.get(index, 0)
        if not job.spec.restartable or count >= job.spec.max_attempts:
            self.fail_job(job, JobState.FAILED, f"task {index} failed", now_s)
        else:
            self._requeue(job, index, now_s)

    def fail_job(self, job: Job, state: JobState, detail: str, now_s: float) -> None:
        """Give a job its last state and stop what it runs."""
        self.jobs.finish(job, state, detail, now_s)
        for attempt in list(job.live.values()):
            self.stop(attempt, now_s)
