"""Topology of a set of stand-ins, parsed from TOML with a report of all problems."""

import math
import pathlib
import re
import tomllib
from typing import Any

import attrs

from fireflywharf_core.checking import NAME_DESCRIPTION, FieldChecker, is_valid_name
from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.results import Problem, ResultCode

_PROBLEM_CODE = ResultCode.INVALID_SETTINGS


class TopologyError(ValueError):
    """Raised for a topology that cannot be read or is not valid; the message has all problems."""


@attrs.frozen(slots=True, kw_only=True)
class WorkerGroup:
    """Identical workers of a failure domain.

    Args:
        count: number of workers.
        rack_size: number of workers per rack.
        capacity: resources of each worker.
    """

    count: int = 1
    rack_size: int = 8
    capacity: ResourceVector = ResourceVector(16_000, 64_000, 0)


@attrs.frozen(slots=True, kw_only=True)
class TargetGroup:
    """Identical targets of a failure domain; for service times see `TargetSettings`.

    Args:
        service: service that the targets execute.
        count: number of targets.
        slots_count: number of requests that a target executes at once.
        connections_count: limit on the connections to a target.
        service_ms: median service time in milliseconds.
        service_sigma: standard deviation of the logarithm of the service time.
        straggler_percent: percentage of the requests that take longer.
        straggler_factor: factor on the service time of these requests.
    """

    service: str
    count: int = 1
    slots_count: int = 8
    connections_count: int = 64
    service_ms: float = 20.0
    service_sigma: float = 0.0
    straggler_percent: float = 0.0
    straggler_factor: float = 20.0


@attrs.frozen(slots=True, kw_only=True)
class Domain:
    """One failure domain.

    Args:
        name: name of the failure domain.
        region: region that the failure domain belongs to.
        entry_vms_count: number of entry VMs.
        workers: groups of workers.
        targets: groups of targets.
    """

    name: str
    region: str
    entry_vms_count: int = 1
    workers: list[WorkerGroup] = attrs.field(factory=list)
    targets: list[TargetGroup] = attrs.field(factory=list)


@attrs.frozen(slots=True, kw_only=True)
class Topology:
    """Everything that a `Platform` starts.

    Args:
        domains: failure domains.
        seed: seed of service times.
        host: IP address to listen on.
        time_scale: factor on run times and service times.
        vm_list_lag_s: age in seconds of the served VM list.
        usage_lag_s: time in seconds from the start of an attempt to the first report of its usage.
        task_lease_s: duration of the task leases of workers in seconds.
        default_run_s: run time in seconds of a task that gives none.
        appends_per_second: limit on the rate of appends to the log; zero for no limit.
        retention_s: age in seconds at which log records are removed; zero to keep them.
        retention_records: number of log records kept per stream; zero to keep all.
    """

    domains: list[Domain]
    seed: int = 0
    host: str = "127.0.0.1"
    time_scale: float = 1.0
    vm_list_lag_s: float = 0.5
    usage_lag_s: float = 2.0
    task_lease_s: float = 30.0
    default_run_s: float = 1.0
    appends_per_second: float = 300.0
    retention_s: float = 0.0
    retention_records: int = 0


def _make_minimum_check(minimum: float) -> Any:
    """Return a predicate that accepts finite values of at least `minimum`."""
    return lambda value: math.isfinite(value) and value >= minimum


def _read_numbers(
    checker: FieldChecker, field_type: type, defaults: dict[str, Any], minimum: float
) -> dict:
    accepted = f"a number of at least {minimum}"
    return {
        name: checker.read_field(name, field_type, accepted, default, _make_minimum_check(minimum))
        for name, default in defaults.items()
    }


def _read_tables(checker: FieldChecker, name: str) -> list[Any]:
    """Return an array of tables; empty when it is absent or not an array."""
    rows = checker.read_section(name)
    if rows is None:
        return []
    if not isinstance(rows, list):
        checker.add(name, rows, "an array of tables")
        return []
    return rows


def _parse_workers(data: Any, path: str, problems: list[Problem]) -> WorkerGroup | None:
    checker = FieldChecker(data, _PROBLEM_CODE, path)
    counts = _read_numbers(checker, int, {"count": 1, "rack_size": 8}, 1)
    sizes = _read_numbers(checker, int, {"processors_millicores": 16_000, "memory_mb": 64_000}, 1)
    sizes |= _read_numbers(checker, int, {"accelerators_count": 0}, 0)
    found = checker.finish()
    problems.extend(found)
    return None if found else WorkerGroup(**counts, capacity=ResourceVector(**sizes))


def _parse_targets(data: Any, path: str, problems: list[Problem]) -> TargetGroup | None:
    checker = FieldChecker(data, _PROBLEM_CODE, path)
    service = checker.read_field("service", str, NAME_DESCRIPTION, check=is_valid_name)
    counts = _read_numbers(checker, int, {"count": 1, "slots_count": 8, "connections_count": 64}, 1)
    times = _read_numbers(checker, float, {"service_ms": 20.0, "service_sigma": 0.0}, 0)
    times |= _read_numbers(checker, float, {"straggler_percent": 0.0, "straggler_factor": 20.0}, 0)
    found = checker.finish()
    problems.extend(found)
    return None if found else TargetGroup(service=service, **counts, **times)


def _parse_domain(data: Any, path: str, problems: list[Problem]) -> Domain | None:
    checker = FieldChecker(data, _PROBLEM_CODE, path)
    fields = {
        name: checker.read_field(name, str, NAME_DESCRIPTION, check=is_valid_name)
        for name in ("name", "region")
    }
    fields |= _read_numbers(checker, int, {"entry_vms_count": 1}, 0)
    fields["workers"] = [
        _parse_workers(row, f"{path}.workers[{index}]", checker.problems)
        for index, row in enumerate(_read_tables(checker, "workers"))
    ]
    fields["targets"] = [
        _parse_targets(row, f"{path}.targets[{index}]", checker.problems)
        for index, row in enumerate(_read_tables(checker, "targets"))
    ]
    found = checker.finish()
    problems.extend(found)
    return None if found else Domain(**fields)


def parse_topology(data: Any) -> tuple[Topology | None, list[Problem]]:
    """Convert a parsed TOML document into a topology.

    Args:
        data: parsed document.

    Returns:
        The topology and an empty list, or None and every problem found.
    """
    checker = FieldChecker(data, _PROBLEM_CODE)
    fields = {
        "seed": checker.read_field("seed", int, "a whole number", 0),
        "host": checker.read_field("host", str, "a loopback IP address", "127.0.0.1", _is_loopback),
    }
    defaults = {
        field.name: field.default for field in attrs.fields(Topology) if field.type is float
    }
    fields |= _read_numbers(checker, float, defaults, 0)
    fields |= _read_numbers(checker, int, {"retention_records": 0}, 0)
    fields["domains"] = [
        _parse_domain(row, f"domains[{index}]", checker.problems)
        for index, row in enumerate(_read_tables(checker, "domains"))
    ]
    if not fields["domains"]:
        checker.add("domains", "(missing)", "at least one failure domain")
    names = [domain.name for domain in fields["domains"] if domain is not None]
    for name in sorted({name for name in names if names.count(name) > 1}):
        checker.add("domains", name, "each name once")
    problems = checker.finish()
    return (None, problems) if problems else (Topology(**fields), [])


def _is_loopback(value: str) -> bool:
    return re.fullmatch(r"127\.\d{1,3}\.\d{1,3}\.\d{1,3}", value) is not None


def load_topology(path: pathlib.Path) -> Topology:
    """Load a topology from a TOML file.

    Args:
        path: path of the file.

    Returns:
        The topology.

    Raises:
        TopologyError: the file cannot be read or is not valid; the message has all problems.
    """
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise TopologyError(f"{path}: {error}") from error
    topology, problems = parse_topology(data)
    if topology is None:
        raise TopologyError("\n".join(f"{path}: {problem}" for problem in problems))
    return topology
