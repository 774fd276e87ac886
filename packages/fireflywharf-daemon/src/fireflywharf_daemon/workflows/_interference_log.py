"""Log lines and metrics about tasks that slow each other down."""

from __future__ import annotations

import logging

from fireflywharf_core.workflows import InterferenceModel, describe_pair

from ._metrics import WorkflowMetrics

_LOG = logging.getLogger(__name__)

_INTERVAL_S = 1.0
"""Time between two updates."""
_LABELLED_PAIRS_MAX = 32
"""Maximum number of pairs with metrics of their own; callers choose the names of images."""


class InterferenceLog:
    """Logs when a pair begins or ends to slow down significantly, and exports the present pairs.

    Args:
        model: model of the scheduler.
        metrics: receives the pairs.
    """

    def __init__(self, model: InterferenceModel, metrics: WorkflowMetrics) -> None:
        self._model = model
        self._metrics = metrics
        self._logged: dict[tuple, dict] = {}
        self._updated_s = float("-inf")

    def update(self, now_s: float) -> None:
        """Log the changes since the last call, and update the metrics.

        Args:
            now_s: current local time, in seconds.
        """
        if now_s < self._updated_s + _INTERVAL_S:
            return
        self._updated_s = now_s
        self._model.refresh(now_s)
        present = {
            pair: describe_pair(pair, estimate)
            for pair, estimate in self._model.significant_.items()
        }
        for pair in self._logged.keys() - present.keys():
            self._metrics.interference_changes.labels("ended").inc()
            _LOG.info("tasks no longer slow each other", extra=self._logged[pair])
        for pair in present.keys() - self._logged.keys():
            self._metrics.interference_changes.labels("found").inc()
            _LOG.info("tasks slow each other", extra=present[pair])
        self._logged = present
        self._export(present)

    def _export(self, present: dict[tuple, dict]) -> None:
        metrics = self._metrics
        metrics.interference_pairs.labels("observed").set(len(self._model.pairs_))
        metrics.interference_pairs.labels("significant").set(len(present))
        metrics.clear_interference()
        rows = sorted(present.values(), key=lambda row: -row["slowdown"])
        for row in rows[:_LABELLED_PAIRS_MAX]:
            labels = (row["slowed"], row["neighbour"])
            metrics.interference_slowdown.labels(*labels).set(row["slowdown"])
            metrics.interference_observations.labels(*labels).set(row["observations"])

    def close(self) -> None:
        """Remove the pairs from the metrics, because another scheduler learns its own."""
        self._metrics.clear_interference()
        for state in ("observed", "significant"):
            self._metrics.interference_pairs.labels(state).set(0)
