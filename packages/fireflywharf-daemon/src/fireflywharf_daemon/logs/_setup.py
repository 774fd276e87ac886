"""Configuration of JSON logging with python-json-logger."""

import logging
import sys
import time
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

_FIELD_NAMES = {"asctime": "time", "levelname": "level", "name": "logger", "exc_info": "traceback"}


def build_json_formatter(vm: str, incarnation: str) -> logging.Formatter:
    """Build the formatter of the daemon's log lines.

    Every line has the fields `time`, `level`, `logger`, `message`, `vm` and `incarnation`. Values
    passed in `extra`, such as `request_id`, `job_id`, `attempt` and `epoch`, are added.

    Args:
        vm: name of the VM.
        incarnation: identifier of this run of the daemon process.

    Returns:
        The formatter.
    """
    formatter = JsonFormatter(
        ["asctime", "levelname", "name", "message"],
        rename_fields=_FIELD_NAMES,
        static_fields={"vm": vm, "incarnation": incarnation},
    )
    formatter.converter = time.gmtime
    formatter.default_time_format = "%Y-%m-%dT%H:%M:%S"
    formatter.default_msec_format = "%s.%03dZ"
    return formatter


def configure_logging(
    level: str, vm: str, incarnation: str, stream: TextIO | None = None
) -> logging.Handler:
    """Write all log records as JSON lines to standard error.

    Args:
        level: lowest level that is logged, such as `INFO`.
        vm: name of the VM.
        incarnation: identifier of this run of the daemon process.
        stream: stream to write to instead of standard error.

    Returns:
        The handler, which replaces all handlers of the root logger.

    Example:
        >>> handler = configure_logging("INFO", "entry-1", "entry-1#1")
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(build_json_formatter(vm, incarnation))
    root = logging.getLogger()
    for existing in list(root.handlers):
        root.removeHandler(existing)
    root.addHandler(handler)
    root.setLevel(level)
    return handler
