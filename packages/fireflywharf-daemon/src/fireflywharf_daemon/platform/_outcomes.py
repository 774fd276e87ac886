"""Outcomes of calls to the platform."""

from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

Value = TypeVar("Value")


class RefusalReason(Enum):
    """Why a call provably had no effect."""

    CONNECT_FAILED = "connect_failed"
    CONNECTION_CLOSED = "connection_closed"
    NO_CONNECTION = "no_connection"
    BUDGET_SPENT = "budget_spent"
    STALE_EPOCH = "stale_epoch"
    NOT_RUN = "not_run"


class FailureReason(Enum):
    """Why the effect of a call is not known."""

    TIMEOUT = "timeout"
    SILENT = "silent"
    RESET = "reset"
    TRUNCATED = "truncated"
    TOO_LARGE = "too_large"
    MALFORMED = "malformed"
    WRONG_REQUEST_ID = "wrong_request_id"
    WRONG_DIGEST = "wrong_digest"
    ERROR_STATUS = "error_status"


@dataclass(frozen=True, slots=True)
class Success(Generic[Value]):
    """The call took effect and this is its whole, checked answer."""

    value: Value


@dataclass(frozen=True, slots=True)
class RefusedBeforeRun:
    """The call provably had no effect.

    Args:
        reason: cause.
        detail: one sentence with the address.
        leaving: whether the refusal said that the target is leaving.
    """

    reason: RefusalReason
    detail: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Failed:
    """The call may have had an effect.

    Args:
        bytes_sent: whether bytes of the call left this process; always true for a target.
        reason: cause.
        detail: one sentence with the address.
        status: HTTP status of the answer, or 0.
    """

    bytes_sent: bool
    reason: FailureReason
    detail: str
    status: int = 0


PlatformOutcome = Success[Value] | RefusedBeforeRun | Failed
