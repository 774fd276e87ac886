"""Checks of the operators' configuration before it takes effect; all findings are reported."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence
from enum import Enum

import attrs

NUMBER_MAX = 2**53
"""Largest number in a configuration; up to it, floating-point numbers represent integers."""
CORE_MILLICORES = 1000
_TEXT_MAX_CHARS = 80

Path = tuple[str | int, ...]


class Severity(Enum):
    """Effect of a finding.

    An error is a value that a VM refuses, or an entry that it ignores or can never select. A
    warning is an entry that takes effect, but probably not as intended.
    """

    ERROR = "error"
    WARNING = "warning"


@attrs.frozen(slots=True)
class Finding:
    """One finding in a configuration.

    Args:
        path: names of fields and indices of list entries that lead to the value.
        severity: effect of the finding.
        found: description of what was found, without keys.
        accepted: description of what is accepted.
    """

    path: Path
    severity: Severity
    found: str
    accepted: str


@attrs.frozen(slots=True)
class _Field:
    accepted: str
    is_valid: Callable[[object], bool]
    required: bool = False


def is_number(value: object) -> bool:
    """Return whether a value is a number from 0 to `NUMBER_MAX`."""
    is_numeric = isinstance(value, int | float) and not isinstance(value, bool)
    return is_numeric and 0 <= value <= NUMBER_MAX


def _is_whole(value: object) -> bool:
    return isinstance(value, int) and is_number(value)


def _is_positive_whole(value: object) -> bool:
    return _is_whole(value) and value >= 1


def _is_positive(value: object) -> bool:
    return is_number(value) and value > 0


def _is_name(value: object) -> bool:
    return isinstance(value, str) and value != ""


def _is_host(value: object) -> bool:
    # Queues are selected by the host name of a call without its port.
    return _is_name(value) and ":" not in value


def _is_path_prefix(value: object) -> bool:
    return isinstance(value, str) and (not value or value.startswith("/"))


def _is_flag(value: object) -> bool:
    return isinstance(value, bool)


_NUMBER = f"a number from 0 to {NUMBER_MAX}"
_WHOLE = f"a whole number from 0 to {NUMBER_MAX}"
_POSITIVE_WHOLE = f"a whole number from 1 to {NUMBER_MAX}"
_POSITIVE = f"a number above 0, up to {NUMBER_MAX}"
_NAME = "a string that is not empty"
_FLAG = "true or false"

_VERSION = {"version": _Field(_WHOLE, _is_whole, required=True)}
_LIMITS = {"max_body_bytes": _Field(_POSITIVE_WHOLE, _is_positive_whole)}
_QUEUE = {
    "name": _Field(_NAME, _is_name, required=True),
    "host": _Field("a host name without a port", _is_host, required=True),
    "path_prefix": _Field("a string that starts with /, or ''", _is_path_prefix, required=True),
    "service": _Field(_NAME, _is_name, required=True),
    "priority": _Field(_WHOLE, _is_whole),
    "max_attempts": _Field(_POSITIVE_WHOLE, _is_positive_whole),
    "stretch": _Field(_POSITIVE, _is_positive),
    "grace_ms": _Field(_NUMBER, is_number),
    "is_public": _Field(_FLAG, _is_flag),
}
_APPROVAL = {
    "decision_ms": _Field(_NUMBER, is_number, required=True),
    "per_worker_ms": _Field(_NUMBER, is_number, required=True),
    "validity_ms": _Field(_POSITIVE, _is_positive, required=True),
}
_SERVICE = {
    "name": _Field(_NAME, _is_name, required=True),
    "is_standby": _Field(_FLAG, _is_flag),
}
_TEAM = {
    "name": _Field(_NAME, _is_name, required=True),
    "weight": _Field(_NUMBER, is_number),
}
_QUOTA = {
    name: _Field(f"{_NUMBER}; 0 for no limit", is_number)
    for name in ("processors_millicores", "memory_mb", "accelerators_count")
}


_TEAM_NUMBERS = frozenset({"weight", *_QUOTA})


def describe_value(path: Path, value: object) -> str:
    """Return a value as text.

    In a team, only its numeric fields are shown, because any other value may be a misplaced key.
    """
    is_shown = path[:1] != ("teams",) or path[-1] in _TEAM_NUMBERS and not isinstance(value, str)
    match value:
        case None:
            return "null"
        case bool():
            return "true" if value else "false"
        case "":
            return "an empty string"
        case int() | float():
            return f"{value!r:.{_TEXT_MAX_CHARS}}" if is_shown else "a number"
        case str() if is_shown:
            return f"{value!r:.{_TEXT_MAX_CHARS}}"
        case str() | bytes():
            return "a string"
        case list():
            return f"a list of {len(value)}"
    return "an object"


def _error(path: Path, found: str, accepted: str) -> Finding:
    return Finding(path, Severity.ERROR, found, accepted)


def _warning(path: Path, found: str, accepted: str) -> Finding:
    return Finding(path, Severity.WARNING, found, accepted)


def _check_object(
    value: object, fields: Mapping[str, _Field], path: Path = ()
) -> Iterator[Finding]:
    if not isinstance(value, dict):
        yield _error(path, describe_value(path, value), "an object")
        return
    for name, field in fields.items():
        if name not in value:
            if field.required:
                yield _error((*path, name), "missing", field.accepted)
        elif not field.is_valid(value[name]):
            found = describe_value((*path, name), value[name])
            yield _error((*path, name), found, field.accepted)


def _check_list(
    raw: dict, name: str, check: Callable[[object, Path], Iterator[Finding]]
) -> Iterator[Finding]:
    rows = raw.get(name, [])
    if not isinstance(rows, list):
        yield _error((name,), describe_value((name,), rows), "a list")
        return
    for index, row in enumerate(rows):
        yield from check(row, (name, index))


def _check_queue(queue: object, path: Path) -> Iterator[Finding]:
    yield from _check_object(queue, _QUEUE, path)
    approval = queue.get("approval") if isinstance(queue, dict) else None
    if approval is None:
        return
    path = (*path, "approval")
    problems = list(_check_object(approval, _APPROVAL, path))
    yield from problems
    if problems:
        return
    decision_ms = approval["decision_ms"] + approval["per_worker_ms"]
    if approval["validity_ms"] < decision_ms:
        yield _warning(
            (*path, "validity_ms"),
            describe_value(path, approval["validity_ms"]),
            f"at least the time of a decision on one worker, {decision_ms:g}",
        )


def _check_service(service: object, path: Path) -> Iterator[Finding]:
    return _check_object(service, _SERVICE, path)


def _check_team(team: object, path: Path) -> Iterator[Finding]:
    problems = list(_check_object(team, _TEAM, path))
    yield from problems
    if not isinstance(team, dict):
        return
    if not problems and not team.get("weight", 0):
        found = "0" if "weight" in team else "missing"
        yield _warning((*path, "weight"), found, "a number above 0; else all jobs are excess")
    yield from _check_quota(team.get("quota"), (*path, "quota"))
    yield from _check_keys(team.get("keys", []), (*path, "keys"))


def _check_quota(quota: object, path: Path) -> Iterator[Finding]:
    if quota is None:
        return
    yield from _check_object(quota, _QUOTA, path)
    limit = quota.get("processors_millicores") if isinstance(quota, dict) else None
    if is_number(limit) and 0 < limit < CORE_MILLICORES:
        accepted = f"at least one core, {CORE_MILLICORES}; 0 for no limit"
        path = (*path, "processors_millicores")
        yield _warning(path, describe_value(path, limit), accepted)


def _check_keys(keys: object, path: Path) -> Iterator[Finding]:
    if not isinstance(keys, list):
        yield _error(path, describe_value(path, keys), "a list of strings")
        return
    if not keys:
        yield _warning(path, "no key", "at least one key; else no call belongs to the team")
    for index, key in enumerate(keys):
        if not isinstance(key, bytes):
            yield _error((*path, index), describe_value((*path, index), key), _NAME)


def list_rows(raw: dict, name: str) -> list[tuple[int, dict]]:
    """Return the objects in a list of the configuration with their indices."""
    rows = raw.get(name)
    if not isinstance(rows, list):
        return []
    return [(index, row) for index, row in enumerate(rows) if isinstance(row, dict)]


def _check_names(raw: dict, section: str, severity: Severity) -> Iterator[Finding]:
    first: dict[str, int] = {}
    for index, row in list_rows(raw, section):
        name = row.get("name")
        if _is_name(name) and first.setdefault(name, index) != index:
            found = f"the name of entry {first[name]}"
            yield Finding((section, index, "name"), severity, found, "a name of its own")


def _check_selection(queues: Sequence[tuple[int, dict]]) -> Iterator[Finding]:
    """Find queues that the rule of the longest prefix never selects.

    A longer prefix hides a shorter one only if they differ by a final slash: the shorter one then
    gets only calls whose job id follows its last character directly.
    """
    first: dict[tuple[str, str], int] = {}
    for index, queue in queues:
        place = queue.get("host"), queue.get("path_prefix")
        if all(isinstance(part, str) for part in place):
            first.setdefault(place, index)
    for index, queue in queues:
        host, prefix = queue.get("host"), queue.get("path_prefix")
        if not (isinstance(host, str) and isinstance(prefix, str)):
            continue
        path = ("queues", index, "path_prefix")
        if first[host, prefix] != index:
            found = f"the host and path prefix of entry {first[host, prefix]}, which is selected"
            yield _error(path, found, "a host and path prefix of its own")
        elif not prefix.endswith("/") and (host, prefix + "/") in first:
            found = f"{describe_value(path, prefix)}, hidden by entry {first[host, prefix + '/']}"
            yield _warning(path, found, "a prefix that differs by more than a final slash")


def _check_services(raw: dict) -> Iterator[Finding]:
    services = {
        row["name"]: row.get("is_standby") is True
        for _, row in list_rows(raw, "services")
        if _is_name(row.get("name"))
    }
    for index, queue in list_rows(raw, "queues"):
        service, path = queue.get("service"), ("queues", index, "service")
        if not _is_name(service):
            continue
        if service not in services:
            found = f"{describe_value(path, service)}, which is not listed"
            yield _warning(path, found, "a listed service")
        elif services[service]:
            found = f"{describe_value(path, service)}, which is on standby"
            yield _warning(path, found, "a service that is not on standby")


def _check_shared_keys(teams: Sequence[tuple[int, dict]]) -> Iterator[Finding]:
    places: dict[bytes, list[tuple[int, int]]] = {}
    for index, team in teams:
        keys = team.get("keys")
        for position, digest in enumerate(keys if isinstance(keys, list) else ()):
            if isinstance(digest, bytes):
                places.setdefault(digest, []).append((index, position))
    for listed in places.values():
        for index, position in listed:
            others = sorted({other for other, _ in listed} - {index})
            if others:
                found = f"a key that entry {others[0]} lists too; it belongs to neither team"
                yield _error(("teams", index, "keys", position), found, "a key of one team")


def check_configuration(raw: object) -> list[Finding]:
    """Return all findings in a configuration.

    Fields that are not listed here are ignored.

    Args:
        raw: decoded configuration with the names of `Configuration`, `Queue`, `Approval` and
            `TeamQuota`; `services` has `name` and `is_standby`, `limits` has `max_body_bytes`,
            and the `keys` of `teams` are digests as `bytes`.

    Returns:
        The findings, errors first; else in the order of the checks.

    Example:
        >>> [(finding.path, finding.found) for finding in check_configuration({"version": -1})]
        [(('version',), '-1'), (('queues',), 'no queue')]
    """
    if not isinstance(raw, dict):
        return [_error((), describe_value((), raw), "an object")]
    findings = [
        *_check_object(raw, _VERSION),
        *_check_list(raw, "queues", _check_queue),
        *_check_list(raw, "services", _check_service),
        *_check_object(raw.get("limits", {}), _LIMITS, ("limits",)),
        # A configuration without teams may say so with null.
        *(_check_list(raw, "teams", _check_team) if raw.get("teams") is not None else ()),
        *_check_names(raw, "queues", Severity.WARNING),
        *_check_names(raw, "teams", Severity.ERROR),
        *_check_selection(list_rows(raw, "queues")),
        *_check_services(raw),
        *_check_shared_keys(list_rows(raw, "teams")),
    ]
    if raw.get("queues", []) == []:
        findings.append(_warning(("queues",), "no queue", "at least one queue"))
    return sorted(findings, key=lambda finding: finding.severity is not Severity.ERROR)


def check_version_rises(raw: object, current: object) -> list[Finding]:
    """Return an error if VMs would ignore a version because its number does not rise.

    Args:
        raw: new configuration, see `check_configuration`.
        current: configuration in force.
    """
    versions = [row.get("version") if isinstance(row, dict) else None for row in (raw, current)]
    if not all(map(_is_whole, versions)) or versions[0] > versions[1]:
        return []
    found = describe_value(("version",), versions[0])
    return [_error(("version",), found, f"a number above {versions[1]}, the one in force")]
