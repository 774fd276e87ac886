"""Recovery after a change of scheduler: earlier jobs wait until all their attempts are known."""

from ..jobs import JobState
from ._attempts import AttemptTable
from ._events import Event
from ._jobs import JobTable
from ._model import LIVE


class Recovery:
    """Tracks which workers must still report their attempts after a change of scheduler.

    Args:
        jobs: table of jobs.
        attempts: table of attempts.
    """

    def __init__(self, jobs: JobTable, attempts: AttemptTable) -> None:
        self.jobs = jobs
        self.attempts = attempts
        self.active = False
        self.unresolved_workers: set[str] = set()
        self._replaying = False
        self._buffered_events: dict[str, list[Event]] = {}

    def start(self, known_workers: frozenset[str], reported: set[str]) -> None:
        """Hold back the jobs of earlier schedulers until all known workers are resolved.

        Args:
            known_workers: workers that may run attempts of an earlier scheduler.
            reported: workers that have already reported to this scheduler.
        """
        self.active = self._replaying = self.jobs.holds_earlier_jobs = True
        self.unresolved_workers = set(known_workers) - reported

    def resolve_worker(self, name: str, now_s: float) -> None:
        """Record that every attempt on a worker is known or has ended."""
        if self.active:
            self.unresolved_workers.discard(name)
            self._finish_if_complete(now_s)

    def finish_replay(self, now_s: float) -> None:
        """Record that the log was read to its end."""
        self._replaying = False
        self._buffered_events.clear()
        if self.active:
            self._finish_if_complete(now_s)

    def buffer_event(self, job_id: str, event: Event) -> None:
        """Buffer a replayed event of a job that is not yet known."""
        if self._replaying:
            self._buffered_events.setdefault(job_id, []).append(event)

    def take_buffered_events(self, job_id: str) -> list[Event]:
        """Remove and return the buffered events of a job."""
        return self._buffered_events.pop(job_id, [])

    def _finish_if_complete(self, now_s: float) -> None:
        if self._replaying or self.unresolved_workers:
            return
        self.active = self.jobs.holds_earlier_jobs = False
        for job in self.jobs.all():
            if job.is_final:
                continue
            unresolved_tasks = [
                i
                for i in job.recorded_intents
                if i not in job.live_attempts and job.task_states[i] == LIVE
            ]
            if unresolved_tasks:
                detail = f"task {unresolved_tasks[0]} may have run under an earlier scheduler"
                self.attempts.fail_job(job, JobState.UNKNOWN, detail, now_s)
            elif job.is_gang and job.waiting_count and (job.live_attempts or job.done_count):
                self.attempts.restart_gang(job, now_s)
            else:
                self.jobs.enqueue_if_ready(job, now_s)
