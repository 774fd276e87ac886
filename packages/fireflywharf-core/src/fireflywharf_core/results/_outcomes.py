"""Tagged outcomes of requests and of checks."""

from dataclasses import dataclass

from ._codes import ResultCode


@dataclass(frozen=True, slots=True)
class Completed:
    """The work ran once and this is its whole answer.

    Args:
        body: answer of the target.
        status: HTTP status of the target's answer.
        code: `OK` or `TARGET_ERROR`.
    """

    body: bytes
    status: int = 200
    code: ResultCode = ResultCode.OK


@dataclass(frozen=True, slots=True)
class NotRun:
    """The work was provably not started.

    Args:
        code: a code of class `NOT_RUN` or `INVALID`.
        detail: one sentence that names the cause.
        retry_after_s: earliest time at which a repeat can help; zero if unknown.
    """

    code: ResultCode
    detail: str
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The work may or may not have run; it is not repeated.

    Args:
        code: a code of class `UNKNOWN`.
        detail: one sentence that names the cause.
    """

    code: ResultCode
    detail: str


Outcome = Completed | NotRun | OutcomeUnknown


@dataclass(frozen=True, slots=True)
class Problem:
    """One error in checked input.

    Args:
        code: result code.
        field: path of the field, such as `quota.processors_millicores`.
        value: the value as text.
        accepted: what is accepted instead.
    """

    code: ResultCode
    field: str
    value: str
    accepted: str

    def __str__(self) -> str:
        return f"{self.field}: {self.value} is not valid; accepted: {self.accepted}"
