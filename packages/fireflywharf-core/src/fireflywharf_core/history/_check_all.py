"""All checks that need no further argument."""

from ._configuration_checks import check_configuration
from ._history import History
from ._job_checks import check_nothing_lost
from ._request_checks import (
    check_at_most_once,
    check_leaving,
    check_not_run,
    check_own_answer,
    check_shutdown,
)
from ._violation import Violation
from ._work_checks import check_one_place, check_room

CHECKS = (
    check_room,
    check_one_place,
    check_own_answer,
    check_not_run,
    check_at_most_once,
    check_leaving,
    check_shutdown,
    check_configuration,
    check_nothing_lost,
)


def check_history(history: History) -> list[Violation]:
    """Return the violations of every promise but the fair share, in order of time.

    `check_fair_share` needs the weights of the contracts and is called on its own.
    """
    violations = [violation for check in CHECKS for violation in check(history)]
    return sorted(violations, key=lambda violation: violation.time_s)
