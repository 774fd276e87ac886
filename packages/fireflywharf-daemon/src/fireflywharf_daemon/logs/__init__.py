"""JSON log lines on standard error."""

from ._setup import configure_logging, json_formatter

__all__ = ["configure_logging", "json_formatter"]
