"""Workers that fail, stall or slow down what runs on them."""

from __future__ import annotations

import math

from ._estimates import RunTimes
from ._state import Run, RunPhase, Worker

_FAILURE_WEIGHT = 0.5
"""Weight of the latest end in the decayed share of failures of a worker."""
_FAILURE_RATE_MAX = 0.7
"""Decayed share at which a worker is set aside: two failures in a row, of different jobs.

One run in twenty fails by its own fault, so two in a row are rarely chance."""
_QUARANTINE_MIN_S = 1.5
"""Time for which a worker is set aside first; doubles while its probes fail."""
_QUARANTINE_MAX_S = 8.0
"""Longest time between two probes; faults of workers last about seven seconds."""
_STALL_LIMIT_S = 2.2
"""Time without progress after which a run is stopped. On a sound worker progress rises by one
percent in at most 0.4 s, and the worker lists it at least every 1.5 s."""
_SLOW_FACTOR = 3.0
"""Mean ratio of projected and expected run times above which a worker counts as slow."""
_SLOW_RUNS_MIN = 3
"""Runs needed for that mean; a single task may be long by itself."""
_SLOW_S = 3.0
"""Time for which a worker counts as slow after the latest evidence."""
_PROJECTION_MIN_S = 0.4
"""Least time between two readings of progress that are compared."""


class WorkerHealth:
    """Learns which workers are unfit from ends and from progress.

    Pattern: a few workers fail everything within milliseconds and look free, or keep tasks without
    progress, or run several times slower, while they answer every order.

    Args:
        run_times: expected run times.
    """

    def __init__(self, run_times: RunTimes) -> None:
        self._run_times = run_times

    def record_success(self, worker: Worker) -> None:
        """Take up a run that ended well."""
        worker.failure_rate *= 1 - _FAILURE_WEIGHT
        worker.failed_job = ""
        if worker.failure_rate <= _FAILURE_RATE_MAX:
            worker.quarantines_count = 0

    def record_failure(self, worker: Worker, job_id: str, now_s: float) -> bool:
        """Take up a run that failed; several failures of one job count once.

        Returns:
            Whether the worker is set aside.
        """
        if worker.failed_job == job_id:
            return False
        worker.failed_job = job_id
        worker.failure_rate += _FAILURE_WEIGHT * (1 - worker.failure_rate)
        if worker.failure_rate <= _FAILURE_RATE_MAX:
            return False
        quarantine_s = min(_QUARANTINE_MAX_S, _QUARANTINE_MIN_S * 2**worker.quarantines_count)
        worker.quarantines_count += 1
        worker.quarantined_until_s = max(worker.quarantined_until_s, now_s + quarantine_s)
        return True

    def is_stalled(self, run: Run, now_s: float) -> bool:
        """Return whether a run makes no progress."""
        return (
            run.phase is RunPhase.RUNNING
            and run.step is not None
            and not run.step.spec.long_running
            and not run.step.spec.fills
            and now_s - run.progressed_s > _STALL_LIMIT_S
        )

    def record_progress(self, run: Run, percent: float, now_s: float) -> None:
        """Take up a reading of progress."""
        elapsed_s = now_s - run.speed_read_s
        if run.step is None or elapsed_s < _PROJECTION_MIN_S:
            return
        gained = percent - run.speed_read_percent
        run.speed_read_s, run.speed_read_percent = now_s, percent
        if gained > 0:
            run.projected_s = elapsed_s * 100.0 / gained

    def update_slow_until(self, worker: Worker, now_s: float) -> None:
        """Compare the projected run times on a worker with the expected ones."""
        ratios = [
            run.projected_s / self._run_times.predict(run.step)
            for run in worker.runs.values()
            if run.step is not None and run.projected_s > 0 and not run.step.spec.long_running
        ]
        if len(ratios) < _SLOW_RUNS_MIN:
            return
        mean = math.exp(sum(math.log(ratio) for ratio in ratios) / len(ratios))
        if mean > _SLOW_FACTOR:
            worker.slow_until_s = now_s + _SLOW_S
        else:
            worker.slow_until_s = 0.0


def is_on_probation(worker: Worker) -> bool:
    """Return whether a worker gets one run at a time, because its latest ends were failures."""
    return worker.failure_rate > _FAILURE_RATE_MAX
