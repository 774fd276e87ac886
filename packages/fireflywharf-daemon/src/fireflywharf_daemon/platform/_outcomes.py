"""Outcomes of calls to platform services."""

from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

Value = TypeVar("Value")


class RefusalReason(Enum):
    """Why a call is known to have had no effect."""

    CONNECT_FAILED = "connect_failed"
    CONNECTION_CLOSED = "connection_closed"
    NO_CONNECTION = "no_connection"
    BUDGET_SPENT = "budget_spent"
    STALE_EPOCH = "stale_epoch"
    NOT_RUN = "not_run"


class FailureReason(Enum):
    """Why the effect of a call is unknown."""

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
    """The call took effect; `value` is its complete, validated response."""

    value: Value


@dataclass(frozen=True, slots=True)
class RefusedBeforeRun:
    """The call had no effect.

    Args:
        reason: why the call had no effect.
        detail: one-sentence description that includes the address.
        leaving: whether the response announced that the target is leaving.
    """

    reason: RefusalReason
    detail: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Failed:
    """The call may have had an effect.

    Args:
        bytes_sent: whether any byte of the call was sent; always true for a target.
        reason: why the effect is unknown.
        detail: one-sentence description that includes the address.
        status: HTTP status of the response, or 0 without a response.
    """

    bytes_sent: bool
    reason: FailureReason
    detail: str
    status: int = 0


PlatformOutcome = Success[Value] | RefusedBeforeRun | Failed
