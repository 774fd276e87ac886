"""Reserve of resources for short tasks, which long tasks and stragglers must leave free."""

import heapq
import math

from ..jobs import JobKind
from ..resources import ResourceVector
from ._estimators import RunTimes
from ._model import Attempt, Job
from ._policy import FairShare

STRAGGLER_FACTOR = 4.0
# The offered load is a mean that smooths bursts, so more than the mean is kept free.
RESERVE_FACTOR = 1.5
# Demand varies within a minute, but long tasks free resources only over minutes, so the peak load
# decays more slowly than the load.
PEAK_DECAY_WINDOWS = 10.0


class ShortTaskReserve:
    """Limits the resources that long tasks hold by the offered load of short tasks.

    Args:
        policy: limits of the reserve.
        run_times: learned run times.
    """

    def __init__(self, policy: FairShare, run_times: RunTimes) -> None:
        self.policy = policy
        self.run_times = run_times
        self.total = ResourceVector()
        self.long_held = ResourceVector()
        self.offered_load_ = 0.0
        self.peak_load_ = 0.0
        self._updated_s = 0.0
        self._straggler_checks: list[tuple[float, int, Attempt]] = []
        self._checks_count = 0

    def is_short(self, job: Job) -> bool:
        """Return whether the tasks of a job are expected to be short."""
        spec = job.spec
        if spec.kind in (JobKind.SERVICE, JobKind.GANG):
            return False
        return self.run_times.predict(spec) <= self.policy.short_run_s

    def add_queued_job(self, job: Job, short: bool, now_s: float) -> None:
        """Add the load of a newly queued job."""
        self._decay(now_s)
        if short:
            share = job.spec.size.dominant_share(self.total)
            self.offered_load_ += job.waiting_count * share * self.run_times.predict_mean(job.spec)

    def _decay(self, now_s: float) -> None:
        if now_s > self._updated_s:
            windows = (now_s - self._updated_s) / self.policy.window_s
            self.peak_load_ = max(
                self.offered_load_, self.peak_load_ * math.exp(-windows / PEAK_DECAY_WINDOWS)
            )
            self.offered_load_ *= math.exp(-windows)
            self._updated_s = now_s

    def track_attempt(self, attempt: Attempt) -> None:
        """Count a new attempt as long or short; schedule the straggler check of a short one."""
        job = attempt.job
        attempt.counts_as_long = job is None or not self.is_short(job)
        if attempt.counts_as_long:
            self.long_held += attempt.charged
            return
        expected_s = self.run_times.predict(job.spec, 0.95)
        late_s = attempt.started_s + max(self.policy.short_run_s, STRAGGLER_FACTOR * expected_s)
        self._checks_count += 1
        heapq.heappush(self._straggler_checks, (late_s, self._checks_count, attempt))

    def untrack_attempt(self, attempt: Attempt) -> None:
        """Subtract the charge of a released attempt."""
        if attempt.counts_as_long:
            self.long_held -= attempt.charged

    def track_charge(self, attempt: Attempt, before: ResourceVector) -> None:
        """Add a change of the charge of an attempt."""
        if attempt.counts_as_long:
            self.long_held += attempt.charged - before

    def find_stragglers(self, now_s: float) -> None:
        """Count short attempts as long when they run far longer than predicted."""
        while self._straggler_checks and self._straggler_checks[0][0] <= now_s:
            attempt = heapq.heappop(self._straggler_checks)[2]
            if attempt.worker.attempts.get(attempt.attempt_id) is attempt:
                attempt.counts_as_long = True
                self.long_held += attempt.charged

    def reserved_fraction(self, now_s: float) -> float:
        """Return the fraction of the domain that long tasks must leave free."""
        self._decay(now_s)
        load = RESERVE_FACTOR * self.peak_load_ / self.policy.window_s
        return min(self.policy.short_reserve_max, load)

    def allows_long_task(self, size: ResourceVector, now_s: float) -> bool:
        """Return whether a long task of this size may start."""
        share = (self.long_held + size).dominant_share(self.total)
        return share <= 1.0 - self.reserved_fraction(now_s)
