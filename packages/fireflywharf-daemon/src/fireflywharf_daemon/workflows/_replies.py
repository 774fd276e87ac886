"""Replies of the workflow service to callers."""

from __future__ import annotations

import attrs

from fireflywharf_core.workflows import LimitExceeded, Queue, WorkflowState


@attrs.frozen(slots=True)
class Accepted:
    """The request is durable, or has been so before."""


@attrs.frozen(slots=True)
class Rejected:
    """The request had no effect and will have none; the caller may retry after `retry_after_s`."""

    reason: str
    retry_after_s: int


@attrs.frozen(slots=True)
class TooLarge:
    """The job exceeds a limit of the deployment and was not accepted; a repetition is useless."""

    exceeded: LimitExceeded


@attrs.frozen(slots=True)
class Uncertain:
    """It is unknown whether the request took effect; the caller should repeat it."""

    reason: str


@attrs.frozen(slots=True)
class UnknownJob:
    """The job does not exist."""


@attrs.frozen(slots=True)
class JobOfOtherTeam:
    """The submitted id is that of a job of another team; nothing was stored."""


@attrs.frozen(slots=True)
class UnknownQueue:
    """No queue serves the path."""


@attrs.frozen(slots=True)
class Unauthorized:
    """The call needs the key of a team and has none."""


@attrs.frozen(slots=True)
class JobStateReply:
    """State of a job."""

    state: WorkflowState


@attrs.frozen(slots=True)
class PendingCountReply:
    """Number of jobs of a queue of which no task has started."""

    count: int


Reply = (
    Accepted
    | Rejected
    | TooLarge
    | Uncertain
    | UnknownJob
    | JobOfOtherTeam
    | UnknownQueue
    | Unauthorized
    | JobStateReply
    | PendingCountReply
)


@attrs.frozen(slots=True)
class AdmittedCall:
    """A call that may be served.

    Args:
        queue: queue that it addresses.
        team: team of the caller; empty if the call needs no key.
    """

    queue: Queue
    team: str
