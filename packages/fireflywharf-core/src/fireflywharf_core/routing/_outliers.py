"""Detection and ejection of targets that fail or are slow."""

from ._requests import Send, SendRoute
from ._state import RouterState
from ._targets import Target

_LATENCY_RATIO_SMOOTHING = 0.1
_LATENCY_RATIO_MIN_SAMPLES_COUNT = 16
_MIN_OBSERVATIONS_COUNT = 50
# Bound on one sample, so that a single very slow answer does not eject a target.
_LATENCY_RATIO_MAX = 20.0


class OutlierDetector:
    """Ejects targets that fail or are slow, and readmits them after a successful probe.

    Args:
        state: state of the router.
    """

    def __init__(self, state: RouterState) -> None:
        self.state = state

    def record_success(self, send: Send, elapsed_s: float, now_s: float) -> None:
        """Update the statistics of a target after a valid answer; eject or readmit it if due."""
        target = self._find_target(send)
        if target is None:
            return
        target.consecutive_failures_count_ = 0
        estimate = self.state.service_times.predict(send.request.service_time_key)
        if estimate.observations_count < _MIN_OBSERVATIONS_COUNT:
            if send.is_probe:
                self._readmit(target)
            return
        ratio = min(elapsed_s / estimate.p50_s, _LATENCY_RATIO_MAX)
        factor = self.state.policy.outlier_time_factor
        if send.is_probe:
            if ratio < factor:
                self._readmit(target)
            return
        target.latency_ratio_ += _LATENCY_RATIO_SMOOTHING * (ratio - target.latency_ratio_)
        target.latency_samples_count_ += 1
        if (
            target.latency_ratio_ > factor
            and target.latency_samples_count_ >= _LATENCY_RATIO_MIN_SAMPLES_COUNT
        ):
            self._eject(target, now_s)

    def record_failure(self, send: Send, now_s: float) -> None:
        """Update the statistics of a target after a failed send; eject it if due."""
        target = self._find_target(send)
        if target is None:
            return
        target.consecutive_failures_count_ += 1
        if target.consecutive_failures_count_ >= self.state.policy.outlier_failures_count:
            self._eject(target, now_s)

    def _find_target(self, send: Send) -> Target | None:
        if send.route is not SendRoute.TARGET or not self.state.policy.eject_outliers:
            return None
        return self.state.targets.get(send.destination)

    def _eject(self, target: Target, now_s: float) -> None:
        if target.is_ejected or not target.held:
            return
        service = self.state.targets.services[target.vm.service]
        allowed_count = int(service.held_count * self.state.policy.ejected_max_ratio)
        if service.ejected_count < allowed_count:
            self.state.counters.set_aside_count += 1
            probe_at_s = now_s + self.state.policy.probe_interval_s
            self.state.targets.set_ejected(target, True, probe_at_s)

    def _readmit(self, target: Target) -> None:
        target.latency_ratio_ = 1.0
        target.latency_samples_count_ = 0
        self.state.targets.set_ejected(target, False)
