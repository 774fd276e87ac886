"""Runs every check that needs only the history."""

import math

from ._contract_checks import check_contract_versions
from ._history import History
from ._job_checks import check_accepted_jobs
from ._placement_checks import check_capacity, check_single_placement
from ._request_checks import (
    check_answers,
    check_at_most_once,
    check_graceful_shutdown,
    check_leaving_targets,
    check_not_run_answers,
)
from ._violation import Violation

CHECKS = (
    check_capacity,
    check_single_placement,
    check_answers,
    check_not_run_answers,
    check_at_most_once,
    check_leaving_targets,
    check_graceful_shutdown,
    check_contract_versions,
)


def check_history(history: History, outcome_retention_s: float = math.inf) -> list[Violation]:
    """Check every promise except `Promise.FAIR_SHARE`.

    `check_fair_share` also needs the share weights of the contracts, so callers run it separately.

    Args:
        history: records of a run.
        outcome_retention_s: time in seconds for which the log keeps the outcome of a job.

    Returns:
        The violations, sorted by time.
    """
    violations = [violation for check in CHECKS for violation in check(history)]
    violations += check_accepted_jobs(history, outcome_retention_s=outcome_retention_s)
    return sorted(violations, key=lambda violation: violation.time_s)
