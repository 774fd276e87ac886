"""Probes of faulty workers with single tasks."""

from ._actions import ProbeWorker, SetWorkerAside
from ._attempts import AttemptTable
from ._health import WorkerHealth
from ._jobs import JobTable
from ._model import Attempt, Job, Worker
from ._outbox import Outbox
from ._workers import WorkerTable

# Waiting jobs examined to find a task for a probe.
PROBE_JOBS_EXAMINED = 32


class WorkerProber:
    """Sets faulty workers aside and probes each with one task at a time until one succeeds.

    Args:
        jobs: table of jobs.
        workers: table of workers.
        attempts: table of attempts.
        outbox: queue for `SetWorkerAside` and `ProbeWorker`.
    """

    def __init__(
        self, jobs: JobTable, workers: WorkerTable, attempts: AttemptTable, outbox: Outbox
    ) -> None:
        self.jobs = jobs
        self.workers = workers
        self.attempts = attempts
        self.outbox = outbox
        self.health_ = WorkerHealth(self._set_aside, self._restore)
        self._set_aside_workers: dict[str, Worker] = {}

    def _set_aside(self, worker: Worker, now_s: float) -> None:
        self._set_aside_workers[worker.name] = worker
        self.outbox.put(SetWorkerAside(worker.name, "tasks of several jobs failed in a row"))
        self.workers.set_state(worker, now_s, set_aside=True)

    def _restore(self, worker: Worker, now_s: float) -> None:
        self._set_aside_workers.pop(worker.name, None)
        self.workers.set_state(worker, now_s, set_aside=False)

    def record_end(self, attempt: Attempt, succeeded: bool, now_s: float) -> bool:
        """Record the end of an attempt; return whether a failure is attributed to the worker."""
        return self.health_.record_end(attempt, succeeded, now_s)

    def start_due_probes(self, now_s: float) -> None:
        """Start one waiting restartable task on each worker that is due for a probe.

        If only other work waits, the worker gets it on trial after a while. Otherwise, gangs and
        tasks that must not be repeated would wait for ever.
        """
        for worker in list(self._set_aside_workers.values()):
            if not worker.reported or worker.lost or worker.leaving:
                continue
            if not self.health_.is_probe_due(worker, now_s):
                continue
            job = self._find_probe_job(worker)
            if job is not None:
                self.outbox.put(ProbeWorker(worker.name))
                self.attempts.launch(job, worker, job.spec.size, now_s)
            elif self._has_other_work() and self.health_.begin_trial(worker, now_s):
                self.outbox.put(ProbeWorker(worker.name))

    def _has_other_work(self) -> bool:
        return any(job.queued and job.waiting_count for job in self.jobs.all())

    def _find_probe_job(self, worker: Worker) -> Job | None:
        examined = 0
        for job in self.jobs.all():
            if not job.queued or job.is_gang or not job.spec.restartable or not job.waiting_count:
                continue
            if worker.can_fit(job.spec.size):
                return job
            examined += 1
            if examined >= PROBE_JOBS_EXAMINED:
                break
        return None
