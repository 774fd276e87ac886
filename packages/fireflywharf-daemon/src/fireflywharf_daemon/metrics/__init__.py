"""Metrics of a daemon in Prometheus text format."""

from ._metrics import AppendResult, Metrics
from ._server import build_metrics_application

__all__ = ["AppendResult", "Metrics", "build_metrics_application"]
