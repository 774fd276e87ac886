"""Detection of workers that fail, stall or slow down their runs."""

from __future__ import annotations

import math

from ._estimates import RunTimes
from ._state import Run, RunPhase, Worker

_FAILURE_WEIGHT = 0.5
"""Weight of the latest run in the failure rate of a worker."""
_FAILURE_RATE_MAX = 0.7
"""Failure rate above which a worker is set aside: two failures in a row, of different jobs.

One run in twenty fails because of its own program, so two in a row are rarely a coincidence."""
_SET_ASIDE_MIN_S = 1.5
"""Time for which a worker is set aside at first; doubles with each failed probe."""
_SET_ASIDE_MAX_S = 3.0
"""Maximum time for which a worker is set aside.

The sum of this time, the probation and a request for approval bounds the wait of work that only
formerly faulty workers may run; it must stay below 7 s (rules of the deployment)."""
_DOUBLINGS_MAX = 16
"""Limit of the doublings; a worker may fail thousands of times, and a float cannot hold 2^1024."""
_PROBATION_S = 1.5
"""Time for which a worker stays on probation after it was set aside, if no run ends it earlier."""
_REPORT_INTERVAL_S = 1.5
"""Time after which a worker answers a poll at the latest, if it has no end to report."""
_STALL_LIMIT_S = 2.2
"""Time without progress after which a run is stopped.

On a healthy worker, progress rises by one percent at least every 0.4 s, and the worker reports it
at least every 1.5 s."""
_SLOW_FACTOR = 3.0
"""Mean ratio of projected to expected run time above which a worker is slow."""
_SLOW_RUNS_MIN = 3
"""Minimum number of runs for that mean; a single task may be long for reasons of its own."""
_SLOW_S = 3.0
"""Time for which a worker stays marked as slow after the latest measurement."""
_PROJECTION_MIN_S = 0.4
"""Minimum time between two progress readings that are compared."""


class WorkerHealth:
    """Detects unhealthy workers from the outcome and progress of their runs.

    Some workers answer every order but fail every run within milliseconds, and therefore look idle.
    Others accept tasks that make no progress, or run several times slower than the rest.

    Args:
        run_times: predicted run times.
    """

    def __init__(self, run_times: RunTimes) -> None:
        self._run_times = run_times
        self._on_probation: set[Worker] = set()

    def record_success(self, worker: Worker) -> None:
        """Lower the failure rate of a worker after a successful run."""
        worker.failure_rate *= 1 - _FAILURE_WEIGHT
        worker.failed_job = ""
        if worker.failure_rate <= _FAILURE_RATE_MAX:
            worker.times_set_aside_count = 0

    def record_failure(
        self, worker: Worker, job_id: str, now_s: float, *, since_s: float | None = None
    ) -> bool:
        """Raise the failure rate after a failed run; repeated failures of one job count once.

        Args:
            worker: worker of the run.
            job_id: job of the run.
            now_s: current local time, in seconds.
            since_s: local time at which the fault began, from which the time aside counts, in
                seconds; by default `now_s`.

        Returns:
            Whether the worker was set aside.
        """
        if worker.failed_job == job_id:
            return False
        worker.failed_job = job_id
        worker.failure_rate += _FAILURE_WEIGHT * (1 - worker.failure_rate)
        if worker.failure_rate <= _FAILURE_RATE_MAX:
            return False
        self._on_probation.add(worker)
        doublings = min(_DOUBLINGS_MAX, worker.times_set_aside_count)
        set_aside_s = min(_SET_ASIDE_MAX_S, _SET_ASIDE_MIN_S * 2**doublings)
        worker.times_set_aside_count += 1
        until_s = max(now_s, (now_s if since_s is None else since_s) + set_aside_s)
        worker.set_aside_until_s = max(worker.set_aside_until_s, until_s)
        return True

    def end_probations(self, now_s: float) -> bool:
        """End the probation of the workers that no run has tested for a while.

        Only single tasks test a worker, and they prefer fuller ones, so an idle worker may get
        none. The failure rate stays so high that the next failure sets the worker aside again.

        Returns:
            Whether a probation has ended now.
        """
        ended = False
        for worker in list(self._on_probation):
            if not is_on_probation(worker):
                self._on_probation.discard(worker)
            elif now_s >= worker.set_aside_until_s + _PROBATION_S:
                self._on_probation.discard(worker)
                worker.failure_rate = _FAILURE_RATE_MAX
                ended = True
        return ended

    def is_stalled(self, run: Run, sent_s: float, now_s: float) -> bool:
        """Return whether a run has made no progress for longer than the limit.

        After a pause of the scheduler, the report may be as old as its poll, so the poll must have
        been sent late enough as well. The members of a gang end together, so those that have
        finished their part wait for the others. Only the member that is furthest behind can be
        stalled.

        Args:
            run: a run in the latest report of its worker.
            sent_s: local time at which the poll for that report was sent, in seconds.
            now_s: current local time, in seconds.
        """
        if (
            run.phase is not RunPhase.RUNNING
            or run.step is None
            or run.step.spec.long_running
            or run.step.spec.fills
            or now_s - run.progressed_s <= _STALL_LIMIT_S
            or sent_s - run.progressed_s <= _STALL_LIMIT_S - _REPORT_INTERVAL_S
        ):
            return False
        return not run.step.spec.gang or all(
            run.percent <= member.percent for member in run.step.runs.values()
        )

    def record_progress(self, run: Run, percent: float, now_s: float) -> None:
        """Update the projected run time from a progress reading, in percent."""
        elapsed_s = now_s - run.speed_read_s
        if run.step is None or elapsed_s < _PROJECTION_MIN_S:
            return
        gained = percent - run.speed_read_percent
        run.speed_read_s, run.speed_read_percent = now_s, percent
        if gained > 0:
            run.projected_s = elapsed_s * 100.0 / gained

    def update_slow_state(self, worker: Worker, now_s: float) -> None:
        """Mark a worker as slow, or clear the mark, by its projected and expected run times."""
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
    """Return whether a worker gets only one run at a time because its latest runs failed."""
    return worker.failure_rate > _FAILURE_RATE_MAX
