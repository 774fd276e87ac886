"""Evidence about targets that fail or are slow."""

from ._requests import Route, Send
from ._state import RouterState
from ._targets import Target

_SLOWNESS_STEP = 0.1
_SLOWNESS_MIN_COUNT = 16
_MIN_OBSERVATIONS_COUNT = 50
# One very long answer must not set a target aside alone.
_SLOWNESS_MAX = 20.0


class Outliers:
    """Sets targets aside on evidence and takes them back after a good probe.

    Args:
        state: state of the router.
    """

    def __init__(self, state: RouterState) -> None:
        self.state = state

    def succeed(self, send: Send, elapsed_s: float, now_s: float) -> None:
        """Take a valid answer and its time."""
        target = self._target(send)
        if target is None:
            return
        target.failures_count_ = 0
        learned = self.state.times.predict(send.request.time_key)
        if learned.observations_count < _MIN_OBSERVATIONS_COUNT:
            if send.probe:
                self._use_again(target)
            return
        ratio = min(elapsed_s / learned.p50_s, _SLOWNESS_MAX)
        factor = self.state.policy.outlier_time_factor
        if send.probe:
            if ratio < factor:
                self._use_again(target)
            return
        target.slowness_ += _SLOWNESS_STEP * (ratio - target.slowness_)
        target.times_count_ += 1
        if target.slowness_ > factor and target.times_count_ >= _SLOWNESS_MIN_COUNT:
            self._set_aside(target, now_s)

    def fail(self, send: Send, now_s: float) -> None:
        """Take a failed send."""
        target = self._target(send)
        if target is None:
            return
        target.failures_count_ += 1
        if target.failures_count_ >= self.state.policy.outlier_failures_count:
            self._set_aside(target, now_s)

    def _target(self, send: Send) -> Target | None:
        if send.route is not Route.TARGET or not self.state.policy.set_outliers_aside:
            return None
        return self.state.targets.get(send.destination)

    def _set_aside(self, target: Target, now_s: float) -> None:
        if target.set_aside or not target.held:
            return
        service = self.state.targets.services[target.vm.service]
        allowed_count = int(service.held_count * self.state.policy.set_aside_max_ratio)
        if service.set_aside_count < allowed_count:
            self.state.counters.set_aside_count += 1
            probe_at_s = now_s + self.state.policy.probe_interval_s
            self.state.targets.set_aside(target, True, probe_at_s)

    def _use_again(self, target: Target) -> None:
        target.slowness_ = 1.0
        target.times_count_ = 0
        self.state.targets.set_aside(target, False)
