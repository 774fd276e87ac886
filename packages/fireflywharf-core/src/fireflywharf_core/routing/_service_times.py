"""Service times learned per service, customer and kind of request."""

import attrs
from ddsketch import DDSketch

_RELATIVE_ACCURACY = 0.02
# A sketch is replaced after this many observations, so that estimates follow changes of a kind.
_SKETCH_MAX_OBSERVATIONS_COUNT = 4000
_REFRESH_MAX_OBSERVATIONS_COUNT = 32
_SHARED_KIND = ("", "", "")


@attrs.frozen(slots=True)
class ServiceTimeEstimate:
    """Service time of one kind; the defaults apply until a service time was observed.

    Attributes:
        mean_s: mean service time.
        p50_s: median service time.
        p95_s: 95th percentile of the service time.
        observations_count: observed service times.
    """

    mean_s: float = 0.1
    p50_s: float = 0.1
    p95_s: float = 1.0
    observations_count: int = 0


class _KindSketches:
    """Quantile sketches of one kind: the current one and the full one before it."""

    __slots__ = ("older", "newer", "cached", "pending_count", "total_count")

    def __init__(self) -> None:
        self.older: DDSketch | None = None
        self.newer = DDSketch(_RELATIVE_ACCURACY)
        self.cached = ServiceTimeEstimate()
        self.pending_count = 0
        self.total_count = 0

    def add(self, elapsed_s: float) -> None:
        """Add a service time; the cached estimate is recomputed at intervals to save time."""
        if self.newer.count >= _SKETCH_MAX_OBSERVATIONS_COUNT:
            self.older, self.newer = self.newer, DDSketch(_RELATIVE_ACCURACY)
        self.newer.add(elapsed_s)
        self.total_count += 1
        self.pending_count += 1
        if self.pending_count >= min(_REFRESH_MAX_OBSERVATIONS_COUNT, self.total_count):
            self._refresh()

    def _refresh(self) -> None:
        self.pending_count = 0
        enough = self.older is None or self.newer.count >= _SKETCH_MAX_OBSERVATIONS_COUNT // 4
        sketch = self.newer if enough else self.older
        self.cached = ServiceTimeEstimate(
            sketch.avg,
            sketch.get_quantile_value(0.5),
            sketch.get_quantile_value(0.95),
            self.total_count,
        )


class ServiceTimeEstimator:
    """Estimates service times from observed ones.

    Args:
        kinds_max_count: kinds that get sketches of their own; further kinds share one pair.
    """

    def __init__(self, kinds_max_count: int) -> None:
        self.kinds_max_count = kinds_max_count
        self._sketches_: dict[tuple[str, str, str], _KindSketches] = {}
        self._default = ServiceTimeEstimate()
        self._shortest_kind_: dict[str, tuple[str, str, str]] = {}

    def observe(self, kind: tuple[str, str, str], elapsed_s: float) -> None:
        """Add one observed service time of (service, customer, kind)."""
        sketches = self._sketches_.get(kind)
        if sketches is None:
            if len(self._sketches_) >= self.kinds_max_count:
                kind = _SHARED_KIND
            sketches = self._sketches_.setdefault(kind, _KindSketches())
        sketches.add(max(elapsed_s, 1e-6))
        shortest = self._shortest_kind_.get(kind[0])
        if shortest is None or sketches.cached.p50_s < self.predict(shortest).p50_s:
            self._shortest_kind_[kind[0]] = kind

    def predict(self, kind: tuple[str, str, str]) -> ServiceTimeEstimate:
        """Return the estimate for (service, customer, kind)."""
        sketches = self._sketches_.get(kind)
        if sketches is None:
            sketches = self._sketches_.get(_SHARED_KIND)
        return self._default if sketches is None else sketches.cached

    def is_long(self, kind: tuple[str, str, str], factor: float) -> bool:
        """Return whether a kind takes `factor` times as long as the shortest of its service.

        Medians are compared; the result is False until both are known.
        """
        shortest_median_s = self.shortest_median_s(kind[0])
        sketches = self._sketches_.get(kind)
        return bool(
            shortest_median_s and sketches and sketches.cached.p50_s >= factor * shortest_median_s
        )

    def shortest_median_s(self, service: str) -> float:
        """Return the median service time of the shortest kind of a service; 0 if none is known."""
        kind = self._shortest_kind_.get(service)
        return 0.0 if kind is None else self.predict(kind).p50_s
