"""Parsing of submitted jobs; all errors are reported together."""

import hashlib
import math
import re
from typing import Any

from ..checking import FieldChecker
from ..resources import ResourceVector
from ..results import Problem, ResultCode
from ._job import JobKind, JobSpec

KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,128}")
MAX_TASKS_PER_JOB = 10_000
MAX_COMMAND_CHARACTERS = 4096


def derive_job_id(customer: str, key: str) -> str:
    """Return the job id for a key of a customer; it is the same on every entry VM."""
    digest = hashlib.sha256(f"{customer}\x00{key}".encode()).hexdigest()
    return f"j-{digest[:20]}"


def _parse_size(data: Any, problems: list[Problem]) -> ResourceVector | None:
    checker = FieldChecker(data, ResultCode.INVALID_FIELD, "size")
    processors = checker.read_field(
        "processors_millicores", int, "1 or more", check=lambda value: value >= 1
    )
    memory = checker.read_field("memory_mb", int, "1 or more", check=lambda value: value >= 1)
    accelerators = checker.read_field(
        "accelerators_count", int, "0 or more", 0, lambda value: value >= 0
    )
    own_problems = checker.finish()
    problems.extend(own_problems)
    return None if own_problems else ResourceVector(processors, memory, accelerators)


def parse_job(data: Any) -> tuple[JobSpec | None, list[Problem]]:
    """Convert a parsed JSON object into a job.

    Args:
        data: parsed object with `customer`, `key`, `kind`, `size` and optional fields.

    Returns:
        The job and an empty list, or None and all problems found.
    """
    checker = FieldChecker(data, ResultCode.INVALID_FIELD)
    read_field = checker.read_field
    customer = read_field("customer", str, "the name of a contract", check=bool)
    key = read_field("key", str, "1 to 128 printable ASCII characters", check=KEY_PATTERN.fullmatch)
    fields = {
        "team": read_field("team", str, "the name of a team", ""),
        "kind": read_field("kind", JobKind, "batch, gang, service or urgent"),
        "workload": read_field(
            "workload", str, "1 to 64 characters", "default", lambda value: 1 <= len(value) <= 64
        ),
        "tasks_count": read_field(
            "tasks_count",
            int,
            f"1 to {MAX_TASKS_PER_JOB}",
            1,
            lambda value: 1 <= value <= MAX_TASKS_PER_JOB,
        ),
        "size": _parse_size(checker.read_section("size"), checker.problems),
        "run_time_s": read_field(
            "run_time_s", float, "0 or more", 0.0, lambda v: math.isfinite(v) and v >= 0
        ),
        "deadline_s": read_field(
            "deadline_s",
            float | None,
            "a number above 0",
            None,
            lambda v: v is None or (math.isfinite(v) and v > 0),
        ),
        "restartable": read_field("restartable", bool, "true or false", True),
        "max_attempts": read_field("max_attempts", int, "1 to 100", 3, lambda v: 1 <= v <= 100),
        "command": read_field(
            "command", str, "up to 4096 characters", "", lambda v: len(v) <= MAX_COMMAND_CHARACTERS
        ),
    }
    problems = checker.finish()
    if problems:
        return None, problems
    return JobSpec(job_id=derive_job_id(customer, key), customer=customer, **fields), []
