"""Detection of faulty workers from failures of tasks."""

from collections.abc import Callable

import attrs

from ._model import Attempt, Job, Worker

FAILURES_TO_SET_ASIDE = 3
PROBE_WAIT_S = 4.0
"""Time between two probes of a worker that was set aside."""
TRIAL_WAIT_S = 1.5
"""Time after which a worker without a task for a probe is used again on trial.

With the time between probes, it bounds the wait of work that no probe can serve by 7 s."""
# Failures of a workload that fails more often than this are not attributed to the worker.
WORKLOAD_FAILURE_FRACTION = 0.5
WORKLOAD_COUNT_DECAY = 0.95


@attrs.define(slots=True)
class _WorkerRecord:
    failures: list[tuple[Job, int]] = attrs.field(factory=list)
    next_probe_s: float = 0.0
    on_trial: bool = False


class WorkerHealth:
    """Detects workers that fail tasks of several jobs without a success in between.

    Args:
        set_aside: called with (worker, now_s) when a worker is to get no tasks except probes.
        restore: called with (worker, now_s) after a successful probe.
    """

    def __init__(
        self,
        set_aside: Callable[[Worker, float], None],
        restore: Callable[[Worker, float], None],
    ) -> None:
        self.set_aside = set_aside
        self.restore = restore
        self.records_: dict[str, _WorkerRecord] = {}
        self.workloads_: dict[tuple[str, str], tuple[float, float]] = {}

    def record_end(self, attempt: Attempt, succeeded: bool, now_s: float) -> bool:
        """Record the end of an attempt.

        Args:
            attempt: attempt that ended.
            succeeded: whether it succeeded.
            now_s: current time in seconds.

        Returns:
            Whether a failure is attributed to the worker and must not count against the job.
        """
        spec, worker = attempt.job.spec, attempt.worker
        key = (spec.customer, spec.workload)
        ends, failures = self.workloads_.get(key, (0.0, 0.0))
        workload_suspect = (
            failures > WORKLOAD_FAILURE_FRACTION * ends and ends >= FAILURES_TO_SET_ASIDE
        )
        repeated = not succeeded and self._failed_before(attempt)
        if not worker.set_aside and not repeated:
            # Ends on a worker that was set aside are no evidence about the workload, nor are
            # repeated failures of one job on one worker.
            ends, failures = ends * WORKLOAD_COUNT_DECAY + 1, failures * WORKLOAD_COUNT_DECAY
            self.workloads_[key] = (ends, failures + (not succeeded))
        if succeeded:
            self._record_success(worker, now_s)
            return False
        record = self.records_.setdefault(worker.name, _WorkerRecord())
        if worker.set_aside:
            record.next_probe_s = now_s + PROBE_WAIT_S
            return True
        if workload_suspect:
            return False
        record.failures.append((attempt.job, attempt.attempt_id.task.index))
        jobs = {job.spec.job_id for job, _ in record.failures}
        if record.on_trial or len(jobs) >= FAILURES_TO_SET_ASIDE:
            self._set_aside(worker, record, now_s)
            return True
        return False

    def _failed_before(self, attempt: Attempt) -> bool:
        """Return whether the job of an attempt has failed on the same worker before."""
        record = self.records_.get(attempt.worker.name)
        return record is not None and any(job is attempt.job for job, _ in record.failures)

    def _record_success(self, worker: Worker, now_s: float) -> None:
        record = self.records_.pop(worker.name, None)
        if record is not None and worker.set_aside:
            self.restore(worker, now_s)

    def _set_aside(self, worker: Worker, record: _WorkerRecord, now_s: float) -> None:
        # The worker caused its earlier failures, so they no longer count against the jobs. The
        # last failure was not counted yet.
        for job, index in record.failures[:-1]:
            if job.failures.get(index, 0) > 0:
                job.failures[index] -= 1
        record.failures.clear()
        record.on_trial = False
        record.next_probe_s = now_s + PROBE_WAIT_S
        self.set_aside(worker, now_s)

    def is_trusted(self, worker: Worker) -> bool:
        """Return whether the worker may get tasks other than probes."""
        return not worker.set_aside

    def begin_trial(self, worker: Worker, now_s: float) -> bool:
        """Use a worker again if no probe has tested it in time; its next failure sets it aside.

        Returns:
            Whether the trial has begun.
        """
        record = self.records_.setdefault(worker.name, _WorkerRecord())
        if now_s < record.next_probe_s + TRIAL_WAIT_S:
            return False
        record.on_trial = True
        self.restore(worker, now_s)
        return True

    def is_probe_due(self, worker: Worker, now_s: float) -> bool:
        """Return whether a probe may start now on a worker that was set aside."""
        record = self.records_.setdefault(worker.name, _WorkerRecord())
        return not worker.attempts and now_s >= record.next_probe_s
