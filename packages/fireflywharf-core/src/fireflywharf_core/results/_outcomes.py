"""Outcomes of requests, and problems of invalid input."""

from dataclasses import dataclass

from ._codes import ResultCode


@dataclass(frozen=True, slots=True)
class Completed:
    """The work ran once and was answered in full.

    Args:
        body: body of the target's answer.
        status: HTTP status of the target's answer.
        code: `OK` or `TARGET_ERROR`.
    """

    body: bytes
    status: int = 200
    code: ResultCode = ResultCode.OK


@dataclass(frozen=True, slots=True)
class NotRun:
    """The work is known not to have started.

    Args:
        code: a code of class `NOT_RUN` or `INVALID`.
        detail: cause in one sentence.
        retry_after_s: delay after which a retry can succeed; 0 if unknown.
    """

    code: ResultCode
    detail: str
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The work may or may not have run; it is not retried.

    Args:
        code: a code of class `UNKNOWN`.
        detail: cause in one sentence.
    """

    code: ResultCode
    detail: str


Outcome = Completed | NotRun | OutcomeUnknown


@dataclass(frozen=True, slots=True)
class Problem:
    """One error in validated input.

    Args:
        code: result code.
        field: path of the field, such as `quota.processors_millicores`.
        value: rejected value as text.
        accepted: description of the accepted values.
    """

    code: ResultCode
    field: str
    value: str
    accepted: str

    def __str__(self) -> str:
        return f"{self.field}: {self.value} is not valid; accepted: {self.accepted}"
