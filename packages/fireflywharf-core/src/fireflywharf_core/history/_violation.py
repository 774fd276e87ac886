"""Promises of the system and their violations."""

from dataclasses import dataclass
from enum import Enum


class Promise(Enum):
    """Guarantees of the system, as listed in section 13 of the design."""

    ROOM = "no VM is given more work than it can hold"
    ONE_PLACE = "a task never runs in two places"
    OWN_ANSWER = "every caller gets the whole answer to its own request"
    NOT_RUN = "what is told not run was not run"
    AT_MOST_ONCE = "a non-idempotent request runs at most once"
    LEAVING = "a leaving target gets no new work"
    SHUTDOWN = "a graceful shutdown cuts no request in progress"
    CONFIGURATION = "an accepted configuration is in force in time and never reverts"
    NOTHING_LOST = "accepted work finishes on time or is reported late"
    FAIR_SHARE = "no customer is favoured beyond its contract"


@dataclass(frozen=True, slots=True)
class Violation:
    """A record of the history that contradicts a promise.

    Args:
        promise: the promise that was broken.
        detail: one sentence that names the VMs, jobs, attempts or calls involved.
        time_s: time of the record that shows the violation, in seconds.
    """

    promise: Promise
    detail: str
    time_s: float
