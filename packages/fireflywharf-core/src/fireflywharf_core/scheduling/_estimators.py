"""Estimators of run times and sizes, learned per customer and workload."""

import attrs
from ddsketch import LogCollapsingLowestDenseDDSketch

from ..jobs import JobSpec
from ..resources import ResourceVector

SKETCH_RELATIVE_ACCURACY = 0.02
SKETCH_MAX_BINS = 512
MIN_OBSERVATIONS = 5
# Quantiles are computed again after this fraction of new observations, because each takes 20 us.
REFRESH_FRACTION = 0.1
DEFAULT_RUN_TIME_S = 60.0
# The median corrects errors that all tasks of a workload share. A high quantile reserved twice the
# needed size where errors differ from task to task.
SIZE_QUANTILE = 0.5
SIZE_MARGIN = 1.05


class Quantiles:
    """Quantile sketch that caches quantiles until enough new values were added.

    Example:
        >>> quantiles = Quantiles()
        >>> for value in (1.0, 2.0, 3.0):
        ...     quantiles.observe(value)
        >>> 1.9 < quantiles.predict(0.5) < 2.1
        True
    """

    def __init__(self) -> None:
        self.count_ = 0
        self.sum_ = 0.0
        self._sketch = LogCollapsingLowestDenseDDSketch(SKETCH_RELATIVE_ACCURACY, SKETCH_MAX_BINS)
        self._cached_values: dict[float, float] = {}
        self._refresh_at_count = 0

    def observe(self, value: float) -> None:
        """Add a value."""
        self._sketch.add(value)
        self.count_ += 1
        self.sum_ += value
        if self.count_ >= self._refresh_at_count:
            self._cached_values.clear()
            self._refresh_at_count = self.count_ + 1 + int(self.count_ * REFRESH_FRACTION)

    def predict(self, quantile: float) -> float:
        """Return an estimated quantile of the values, or 0 without values."""
        cached_value = self._cached_values.get(quantile)
        if cached_value is None:
            cached_value = self._cached_values[quantile] = (
                self._sketch.get_quantile_value(quantile) or 0.0
            )
        return cached_value


class RunTimes:
    """Estimates run times of tasks from earlier tasks of the same customer and workload."""

    def __init__(self) -> None:
        self.workloads_: dict[tuple[str, str], Quantiles] = {}
        self.all_ = Quantiles()

    def observe(self, spec: JobSpec, elapsed_s: float) -> None:
        """Add the run time of a task that succeeded."""
        key = (spec.customer, spec.workload)
        quantiles = self.workloads_.get(key)
        if quantiles is None:
            quantiles = self.workloads_[key] = Quantiles()
        quantiles.observe(max(elapsed_s, 0.001))
        self.all_.observe(max(elapsed_s, 0.001))

    def predict(self, spec: JobSpec, quantile: float = 0.5) -> float:
        """Return the predicted run time of a task in seconds.

        With fewer than `MIN_OBSERVATIONS` of the workload, this is the declared run time, or else
        the quantile over all workloads, or else `DEFAULT_RUN_TIME_S`.
        """
        quantiles = self.workloads_.get((spec.customer, spec.workload))
        if quantiles is not None and quantiles.count_ >= MIN_OBSERVATIONS:
            return quantiles.predict(quantile)
        if spec.run_time_s > 0:
            return spec.run_time_s
        if self.all_.count_ >= MIN_OBSERVATIONS:
            return self.all_.predict(quantile)
        return DEFAULT_RUN_TIME_S

    def predict_mean(self, spec: JobSpec) -> float:
        """Return the mean run time in seconds, which unlike the median includes stragglers."""
        quantiles = self.workloads_.get((spec.customer, spec.workload))
        if quantiles is not None and quantiles.count_ >= MIN_OBSERVATIONS:
            return quantiles.sum_ / quantiles.count_
        return self.predict(spec)

    def predict_any(self) -> float:
        """Return the median run time over all workloads in seconds."""
        return self.all_.predict(0.5) if self.all_.count_ else DEFAULT_RUN_TIME_S


@attrs.define(slots=True)
class _UsageRatios:
    processors: Quantiles = attrs.field(factory=Quantiles)
    memory: Quantiles = attrs.field(factory=Quantiles)


class Sizes:
    """Estimates sizes of tasks: the declared size, corrected by observed usage within bounds.

    Args:
        factor_min: lowest corrected size relative to the declared one.
        factor_max: highest corrected size relative to the declared one.
        enabled: whether sizes are corrected.
    """

    def __init__(self, factor_min: float, factor_max: float, enabled: bool) -> None:
        self.factor_min = factor_min
        self.factor_max = factor_max
        self.enabled = enabled
        self.workloads_: dict[tuple[str, str], _UsageRatios] = {}

    def observe(self, spec: JobSpec, usage: ResourceVector) -> None:
        """Add the usage of a running task."""
        if not self.enabled:
            return
        ratios = self.workloads_.setdefault((spec.customer, spec.workload), _UsageRatios())
        ratios.processors.observe(
            usage.processors_millicores / max(1, spec.size.processors_millicores)
        )
        ratios.memory.observe(usage.memory_mb / max(1, spec.size.memory_mb))

    def predict(self, spec: JobSpec) -> ResourceVector:
        """Return the resources to reserve for one task."""
        if not self.enabled:
            return spec.size
        ratios = self.workloads_.get((spec.customer, spec.workload))
        if ratios is None or ratios.processors.count_ < MIN_OBSERVATIONS:
            return spec.size
        return ResourceVector(
            self._corrected(spec.size.processors_millicores, ratios.processors),
            self._corrected(spec.size.memory_mb, ratios.memory),
            spec.size.accelerators_count,
        )

    def _corrected(self, declared: int, ratios: Quantiles) -> int:
        factor = ratios.predict(SIZE_QUANTILE) * SIZE_MARGIN
        factor = min(self.factor_max, max(self.factor_min, factor))
        return max(1, round(declared * factor))
