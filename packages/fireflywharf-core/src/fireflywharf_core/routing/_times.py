"""Learned service times by service, customer and kind."""

import attrs
from ddsketch import DDSketch

_RELATIVE_ACCURACY = 0.02
# A sketch is replaced after this many observations, so that a kind that changes is learned again.
_WINDOW_COUNT = 4000
_REFRESH_COUNT = 32
_OTHER = ("", "", "")


@attrs.frozen(slots=True)
class ServiceTime:
    """Learned service time of one kind; the defaults stand until something was observed."""

    mean_s: float = 0.1
    p50_s: float = 0.1
    p95_s: float = 1.0
    observations_count: int = 0


class _Learned:
    """Two sketches of one kind, of which the newer replaces the older when it is full."""

    __slots__ = ("older", "newer", "cached", "pending_count", "total_count")

    def __init__(self) -> None:
        self.older: DDSketch | None = None
        self.newer = DDSketch(_RELATIVE_ACCURACY)
        self.cached = ServiceTime()
        self.pending_count = 0
        self.total_count = 0

    def add(self, elapsed_s: float) -> None:
        if self.newer.count >= _WINDOW_COUNT:
            self.older, self.newer = self.newer, DDSketch(_RELATIVE_ACCURACY)
        self.newer.add(elapsed_s)
        self.total_count += 1
        self.pending_count += 1
        if self.pending_count >= min(_REFRESH_COUNT, self.total_count):
            self._refresh()

    def _refresh(self) -> None:
        self.pending_count = 0
        enough = self.older is None or self.newer.count >= _WINDOW_COUNT // 4
        sketch = self.newer if enough else self.older
        self.cached = ServiceTime(
            sketch.avg,
            sketch.get_quantile_value(0.5),
            sketch.get_quantile_value(0.95),
            self.total_count,
        )


class ServiceTimes:
    """Estimator of service times.

    Args:
        kinds_max_count: kinds that get their own sketch; further ones share one.
    """

    def __init__(self, kinds_max_count: int) -> None:
        self.kinds_max_count = kinds_max_count
        self._learned_: dict[tuple[str, str, str], _Learned] = {}
        self._unknown = ServiceTime()
        self._shortest_: dict[str, tuple[str, str, str]] = {}

    def observe(self, kind: tuple[str, str, str], elapsed_s: float) -> None:
        """Take one service time of (service, customer, kind)."""
        learned = self._learned_.get(kind)
        if learned is None:
            if len(self._learned_) >= self.kinds_max_count:
                kind = _OTHER
            learned = self._learned_.setdefault(kind, _Learned())
        learned.add(max(elapsed_s, 1e-6))
        shortest = self._shortest_.get(kind[0])
        if shortest is None or learned.cached.p50_s < self.predict(shortest).p50_s:
            self._shortest_[kind[0]] = kind

    def predict(self, kind: tuple[str, str, str]) -> ServiceTime:
        """Return the learned time of (service, customer, kind)."""
        learned = self._learned_.get(kind)
        if learned is None:
            learned = self._learned_.get(_OTHER)
        return self._unknown if learned is None else learned.cached

    def is_long(self, kind: tuple[str, str, str], factor: float) -> bool:
        """Return whether a kind takes `factor` times the shortest kind of its service."""
        shortest_s = self.shortest_s(kind[0])
        learned = self._learned_.get(kind)
        return bool(shortest_s and learned and learned.cached.p50_s >= factor * shortest_s)

    def shortest_s(self, service: str) -> float:
        """Return the median of the shortest kind of a service; 0 before it is learned."""
        kind = self._shortest_.get(service)
        return 0.0 if kind is None else self.predict(kind).p50_s
