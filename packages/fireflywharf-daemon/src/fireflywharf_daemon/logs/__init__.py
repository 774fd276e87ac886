"""JSON log lines on standard error, or on a stream that never blocks."""

from ._bounded import BoundedStream
from ._setup import configure_logging, json_formatter

__all__ = ["BoundedStream", "configure_logging", "json_formatter"]
