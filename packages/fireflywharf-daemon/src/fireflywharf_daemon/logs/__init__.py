"""JSON log lines on standard error or on a non-blocking stream."""

from ._bounded import BoundedStream
from ._setup import build_json_formatter, configure_logging

__all__ = ["BoundedStream", "build_json_formatter", "configure_logging"]
