"""Parsing and validation of settings in TOML."""

import ipaddress
import math
import pathlib
import tomllib
from collections.abc import Callable
from typing import Any
from urllib.parse import urlsplit

import attrs

from fireflywharf_core.checking import NAME_DESCRIPTION, FieldChecker, is_valid_name
from fireflywharf_core.results import Problem, ResultCode

from ._cross_checks import cross_check
from ._settings import (
    HttpSettings,
    LogSettings,
    MeshPeer,
    MeshSettings,
    MetricsSettings,
    PlatformSettings,
    RoutingSettings,
    SchedulingSettings,
    Settings,
    ShutdownSettings,
    VmSettings,
    split_address,
)

_Predicate = Callable[[Any], bool]
_ADDRESS_TEXT = "an IP address and a port, such as 10.0.0.1:7000"
_URL_TEXT = "http:// with an IP address and a port, such as http://10.0.0.1:8000"


def _is_address(value: str) -> bool:
    try:
        host, port = split_address(value)
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return 0 <= port <= 65_535 and ((":" in host) == value.startswith("["))


def _is_peer_address(value: str) -> bool:
    if not _is_address(value):
        return False
    host, port = split_address(value)
    return port > 0 and not ipaddress.ip_address(host).is_unspecified


def _is_url(value: str) -> bool:
    parts = urlsplit(value)
    is_plain = not (parts.query or parts.fragment or "@" in parts.netloc)
    return parts.scheme == "http" and is_plain and _is_peer_address(parts.netloc)


def _range_rule(low: float, high: float) -> tuple[str, _Predicate]:
    def check(value: float) -> bool:
        return math.isfinite(value) and low <= value <= high

    return f"{low} to {high}", check


_NAME = (NAME_DESCRIPTION, is_valid_name)
_LISTEN = (_ADDRESS_TEXT, _is_address)
_PEER = (f"{_ADDRESS_TEXT}; not 0.0.0.0 and not port 0", _is_peer_address)
_URL = (_URL_TEXT, _is_url)
_SECONDS = _range_rule(0.01, 3600.0)
_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")

_RULES: dict[type, dict[str, tuple[str, _Predicate]]] = {
    VmSettings: {"name": _NAME, "region": _NAME, "failure_domain": _NAME},
    HttpSettings: {
        "listen": _LISTEN,
        "body_max_bytes": _range_rule(1024, 67_108_864),
        "body_timeout_s": _range_rule(0.1, 600.0),
        "threads_count": _range_rule(1, 512),
        "waiting_connections_max": _range_rule(1, 100_000),
        "connections_max": _range_rule(1, 1_000_000),
    },
    MeshPeer: {"address": _PEER, "failure_domain": _NAME, "region": _NAME},
    MeshSettings: {
        "listen": _PEER,
        "call_threads_count": _range_rule(1, 256),
        "queue_max_messages": _range_rule(10, 100_000),
    },
    MetricsSettings: {"listen": _LISTEN},
    PlatformSettings: {
        "log_url": _URL,
        "vm_list_url": _URL,
        "retention_s": _range_rule(10.0, 31_536_000.0),
        "timeout_s": _range_rule(0.05, 60.0),
    },
    SchedulingSettings: {
        "backlog_max_records": _range_rule(100, 1_000_000),
        "worker_calls_count": _range_rule(1, 256),
    },
    RoutingSettings: {
        "retry_ratio": _range_rule(0.0, 1.0),
        "sends_max": _range_rule(1, 2),
        "answer_max_bytes": _range_rule(1024, 4_194_304),
        "key_lifetime_s": _range_rule(1.0, 31_536_000.0),
        "queue_max_requests": _range_rule(1, 1_000_000),
    },
    ShutdownSettings: {"shutdown_deadline_s": _range_rule(0.1, 3600.0)},
    LogSettings: {"level": (" or ".join(_LEVELS), lambda value: value in _LEVELS)},
}


def _parse_section(
    cls: type, data: Any, path: str, problems: list[Problem], **nested: Any
) -> Any | None:
    checker = FieldChecker(data, ResultCode.INVALID_SETTINGS, path)
    values = dict(nested)
    for field in attrs.fields(cls):
        if field.name in nested:
            checker.read_section(field.name)
            continue
        accepted, check = _RULES[cls].get(field.name, _SECONDS)
        values[field.name] = checker.read_field(
            field.name, field.type, accepted, field.default, check
        )
    found = checker.finish()
    problems.extend(found)
    return None if found else cls(**values)


def _parse_peers(data: Any, problems: list[Problem]) -> list[MeshPeer]:
    tables = data.get("peers", []) if isinstance(data, dict) else []
    if not isinstance(tables, list):
        accepted = "a list of tables [[mesh.peers]]"
        problems.append(
            Problem(ResultCode.INVALID_SETTINGS, "mesh.peers", repr(tables)[:80], accepted)
        )
        return []
    peers = [
        _parse_section(MeshPeer, table, f"mesh.peers[{index}]", problems)
        for index, table in enumerate(tables)
    ]
    return [peer for peer in peers if peer is not None]


def parse_settings(data: Any) -> tuple[Settings | None, list[Problem]]:
    """Convert a parsed TOML document to settings.

    Args:
        data: parsed TOML document.

    Returns:
        The settings and an empty list, or None and all problems found.
    """
    checker = FieldChecker(data, ResultCode.INVALID_SETTINGS)
    problems = checker.problems
    sections: dict[str, Any] = {}
    for field in attrs.fields(Settings):
        raw = checker.read_section(field.name)
        raw = {} if raw is None else raw
        nested = {"peers": _parse_peers(raw, problems)} if field.name == "mesh" else {}
        sections[field.name] = _parse_section(field.type, raw, field.name, problems, **nested)
    problems.extend(cross_check(sections))
    checker.finish()
    return (None, problems) if problems else (Settings(**sections), [])


def load_settings(path: str | pathlib.Path) -> tuple[Settings | None, list[Problem]]:
    """Load settings from a TOML file.

    Args:
        path: path of the file.

    Returns:
        The settings and an empty list, or None and all problems found.
    """
    try:
        data = tomllib.loads(pathlib.Path(path).read_text("utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        problem = Problem(ResultCode.INVALID_SETTINGS, str(path), str(error), "a TOML file")
        return None, [problem]
    return parse_settings(data)
