"""All checks that need no further argument."""

import math

from ._contract_checks import check_configuration
from ._history import History
from ._job_checks import check_nothing_lost
from ._placement_checks import check_one_place, check_room
from ._request_checks import (
    check_at_most_once,
    check_leaving,
    check_not_run,
    check_own_answer,
    check_shutdown,
)
from ._violation import Violation

CHECKS = (
    check_room,
    check_one_place,
    check_own_answer,
    check_not_run,
    check_at_most_once,
    check_leaving,
    check_shutdown,
    check_configuration,
)


def check_history(history: History, outcome_kept_s: float = math.inf) -> list[Violation]:
    """Return the violations of every promise but the fair share, in order of time.

    `check_fair_share` needs the weights of the contracts and is called on its own.

    Args:
        history: records of a run.
        outcome_kept_s: time for which the log keeps the outcome of a job.

    Returns:
        The violations.
    """
    violations = [violation for check in CHECKS for violation in check(history)]
    violations += check_nothing_lost(history, outcome_kept_s=outcome_kept_s)
    return sorted(violations, key=lambda violation: violation.time_s)
