"""Run-time prediction from observed runs."""

from __future__ import annotations

from ._state import Step

_WEIGHT = 0.1
"""Weight of a new observation in the moving average; about the last twenty runs count."""
_TRUSTED_COUNT = 5
"""Minimum number of observations for the learned mean to replace the caller's estimate."""
_DEFAULT_S = 1.0
"""Run time that is assumed if the caller gave no estimate."""


class RunTimes:
    """Exponential moving average of task run times by queue and image.

    A caller's estimate of a single task can be wrong by a factor of two, so the mean of observed
    runs with the same queue and image is used once there are enough of them.

    Attributes:
        means_s_: mean run time by queue and image, in seconds.
        counts_: number of observations by queue and image.
    """

    def __init__(self) -> None:
        self.means_s_: dict[tuple[str, str], float] = {}
        self.counts_: dict[tuple[str, str], int] = {}

    def observe(self, step: Step, elapsed_s: float) -> None:
        """Add the run time, in seconds, of a task that succeeded."""
        key = (step.job.queue.name, step.spec.image)
        mean_s = self.means_s_.get(key, elapsed_s)
        self.means_s_[key] = mean_s + _WEIGHT * (elapsed_s - mean_s)
        self.counts_[key] = self.counts_.get(key, 0) + 1

    def predict(self, step: Step) -> float:
        """Return the expected run time of a task of the step, in seconds."""
        key = (step.job.queue.name, step.spec.image)
        if self.counts_.get(key, 0) >= _TRUSTED_COUNT:
            return self.means_s_[key]
        return step.spec.estimate_ms / 1000.0 or _DEFAULT_S
