"""Barrier that holds earlier jobs back until the attempts of an earlier scheduler are known."""

from ..jobs import JobState
from ._attempts import AttemptTable
from ._events import Event
from ._jobs import JobTable
from ._model import LIVE


class Recovery:
    """Tracks which known workers have not yet reported after a change of scheduler.

    Args:
        jobs: table of jobs.
        attempts: table of attempts.
    """

    def __init__(self, jobs: JobTable, attempts: AttemptTable) -> None:
        self.jobs = jobs
        self.attempts = attempts
        self.active = False
        self.waiting_for: set[str] = set()
        self._replaying = False
        self._early: dict[str, list[Event]] = {}

    def start(self, known_workers: frozenset[str], reported: set[str]) -> None:
        """Hold earlier jobs back.

        Args:
            known_workers: workers that may run attempts of an earlier scheduler.
            reported: workers that reported in this tenure already.
        """
        self.active = self._replaying = self.jobs.held_back = True
        self.waiting_for = set(known_workers) - reported

    def worker_resolved(self, name: str, now_s: float) -> None:
        """Note that every attempt of a worker is known or has ended."""
        if self.active:
            self.waiting_for.discard(name)
            self._finish_if_complete(now_s)

    def replay_finished(self, now_s: float) -> None:
        """Note that the log was read to its end."""
        self._replaying = False
        self._early.clear()
        if self.active:
            self._finish_if_complete(now_s)

    def keep_early(self, job_id: str, event: Event) -> None:
        """Keep a replayed event of a job that is not known yet."""
        if self._replaying:
            self._early.setdefault(job_id, []).append(event)

    def take_early(self, job_id: str) -> list[Event]:
        """Return the kept events of a job that has become known."""
        return self._early.pop(job_id, [])

    def _finish_if_complete(self, now_s: float) -> None:
        if self._replaying or self.waiting_for:
            return
        self.active = self.jobs.held_back = False
        for job in self.jobs.all():
            if job.final:
                continue
            unclear = [i for i in job.intended if i not in job.live and job.flags[i] == LIVE]
            if unclear:
                detail = f"task {unclear[0]} may have run under an earlier scheduler"
                self.attempts.fail_job(job, JobState.UNKNOWN, detail, now_s)
            elif job.is_gang and job.waiting_count and (job.live or job.done_count):
                self.attempts.regroup(job, now_s)
            else:
                self.jobs.offer(job, now_s)
