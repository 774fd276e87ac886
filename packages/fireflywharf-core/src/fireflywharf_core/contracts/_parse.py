"""Parsing of contracts from TOML or JSON objects; all errors are reported together."""

import math
from typing import Any, Literal

from ..checking import NAME_DESCRIPTION, FieldChecker, is_valid_name
from ..results import Problem, ResultCode
from ._contract import UNLIMITED, Contract, Quota, ReclaimStep, TeamQuota

WORK_KINDS = ("batch", "gang", "service", "urgent", "request")
_LIMIT = int | Literal["unlimited"]
_RATE = float | Literal["unlimited"]
_LIMIT_TEXT = 'a whole number of at least 0, or "unlimited"'


def _is_limit(value: int | float | str) -> bool:
    return value == UNLIMITED or (
        not isinstance(value, bool | str) and math.isfinite(value) and value >= 0
    )


def _is_positive(value: float) -> bool:
    return math.isfinite(value) and value > 0


def _parse_quota(data: Any, path: str, problems: list[Problem]) -> Quota | None:
    checker = FieldChecker(data, ResultCode.INVALID_CONTRACT, path)
    values = {
        name: checker.read_field(name, _LIMIT, _LIMIT_TEXT, check=_is_limit)
        for name in ("processors_millicores", "memory_mb", "accelerators_count")
    }
    own_problems = checker.finish()
    problems.extend(own_problems)
    return None if own_problems else Quota(**values)


def _parse_team(data: Any, path: str, problems: list[Problem]) -> TeamQuota | None:
    checker = FieldChecker(data, ResultCode.INVALID_CONTRACT, path)
    team = checker.read_field("team", str, NAME_DESCRIPTION, check=is_valid_name)
    weight = checker.read_field("weight", float, "a number above 0", 1.0, _is_positive)
    quota = _parse_quota(checker.read_section("quota"), f"{path}.quota", checker.problems)
    own_problems = checker.finish()
    problems.extend(own_problems)
    return None if own_problems else TeamQuota(team=team, weight=weight, quota=quota)


def _parse_teams(data: Any, problems: list[Problem]) -> list[TeamQuota]:
    if data is None:
        return []
    if not isinstance(data, list):
        problems.append(
            Problem(ResultCode.INVALID_CONTRACT, "teams", repr(data)[:80], "a list of teams")
        )
        return []
    teams = [_parse_team(team, f"teams[{index}]", problems) for index, team in enumerate(data)]
    names = [team.team for team in teams if team is not None]
    for name in sorted({name for name in names if names.count(name) > 1}):
        problems.append(
            Problem(ResultCode.INVALID_CONTRACT, "teams", repr(name), "each team at most once")
        )
    return [team for team in teams if team is not None]


def parse_contract(data: Any) -> tuple[Contract | None, list[Problem]]:
    """Convert a parsed TOML or JSON object into a contract.

    Args:
        data: parsed object.

    Returns:
        The contract and an empty list, or None and all problems found.
    """
    checker = FieldChecker(data, ResultCode.INVALID_CONTRACT)
    read_field = checker.read_field
    fields = {
        "customer": read_field("customer", str, NAME_DESCRIPTION, check=is_valid_name),
        "share_weight": read_field("share_weight", float, "a number above 0", check=_is_positive),
        "priority": read_field("priority", int, "0 to 9", 5, lambda value: 0 <= value <= 9),
        "quota": _parse_quota(checker.read_section("quota"), "quota", checker.problems),
        "teams": _parse_teams(checker.read_section("teams"), checker.problems),
        "requests_per_second": read_field(
            "requests_per_second", _RATE, 'a number of at least 0, or "unlimited"', check=_is_limit
        ),
        "queue_max_requests": read_field(
            "queue_max_requests", int, "1 to 100000", 1000, lambda value: 1 <= value <= 100_000
        ),
        "queue_max_tasks": read_field("queue_max_tasks", _LIMIT, _LIMIT_TEXT, check=_is_limit),
        "urgent_reserve_percent": read_field(
            "urgent_reserve_percent", float, "0 to 50", 0.0, lambda value: 0 <= value <= 50
        ),
        "refusable_kinds": read_field(
            "refusable_kinds",
            list[str],
            f"a list of {', '.join(WORK_KINDS)}",
            [],
            lambda value: set(value) <= set(WORK_KINDS),
        ),
        "late_jobs": read_field(
            "late_jobs", Literal["accept", "refuse"], "accept or refuse", "accept"
        ),
        "reclaim_steps": read_field(
            "reclaim_steps", list[ReclaimStep], "a list of checkpoint, throttle and stop", []
        ),
        "provisional_admission": read_field("provisional_admission", bool, "true or false", False),
        "default_deadline_s": read_field(
            "default_deadline_s", float, "a number above 0", 10.0, _is_positive
        ),
        "max_deadline_s": read_field(
            "max_deadline_s", float, "a number above 0", 300.0, _is_positive
        ),
        "cross_region_bytes_per_second": read_field(
            "cross_region_bytes_per_second", _LIMIT, _LIMIT_TEXT, UNLIMITED, _is_limit
        ),
    }
    problems = checker.finish()
    return (None, problems) if problems else (Contract(**fields), [])
