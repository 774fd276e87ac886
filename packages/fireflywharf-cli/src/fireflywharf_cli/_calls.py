"""Conversion of call outcomes to command outcomes."""

from collections.abc import Callable
from typing import Any

import attrs

from fireflywharf_core.results import CodeClass, Problem, ResultCode, describe_code

from ._answers import convert_response
from ._outcomes import (
    CallOutcome,
    CommandOutcome,
    Failure,
    NotSent,
    Report,
    ResponseLost,
    ResponseReceived,
)

UNREACHABLE_ADVICE = (
    "nothing was sent; check --server or FIREFLYWHARF_SERVER and that the daemon is running"
)
READ_RETRY_ADVICE = "the command only reads, so it is safe to repeat"
SUCCESS_CLASSES = (CodeClass.COMPLETED, CodeClass.PENDING)


@attrs.frozen(kw_only=True)
class _CallFailureCodes:
    """Result codes for a call that was sent and got no usable response.

    Args:
        response_lost: code if no valid response arrived.
        response_invalid: code if the daemon failed or its response has an undocumented form.
    """

    response_lost: ResultCode
    response_invalid: ResultCode


_READ_CODES = _CallFailureCodes(
    response_lost=ResultCode.DAEMON_UNREACHABLE, response_invalid=ResultCode.INTERNAL_ERROR
)
_WRITE_CODES = _CallFailureCodes(
    response_lost=ResultCode.OUTCOME_UNKNOWN, response_invalid=ResultCode.OUTCOME_UNKNOWN
)


def convert_read_outcome(
    outcome: CallOutcome, answer_type: type, render: Callable[[Any], str]
) -> CommandOutcome:
    """Convert the outcome of a read-only call to the outcome of its command.

    Args:
        outcome: outcome of the call.
        answer_type: class to which the response is converted.
        render: formats the typed answer as text for the output `table`.

    Returns:
        The report or the failure of the command.
    """
    return _convert_outcome(outcome, answer_type, render, _READ_CODES, READ_RETRY_ADVICE)


def convert_write_outcome(
    outcome: CallOutcome, answer_type: type, render: Callable[[Any], str], recovery_advice: str
) -> CommandOutcome:
    """Convert the outcome of a call that may have an effect to the outcome of its command.

    Args:
        outcome: outcome of the call.
        answer_type: class to which the response is converted.
        render: formats the typed answer as text for the output `table`.
        recovery_advice: how the operator can find out whether the call took effect, shown if its
            outcome is unknown.

    Returns:
        The report or the failure of the command.
    """
    return _convert_outcome(outcome, answer_type, render, _WRITE_CODES, recovery_advice)


def _convert_outcome(
    outcome: CallOutcome,
    answer_type: type,
    render: Callable[[Any], str],
    codes: _CallFailureCodes,
    advice: str,
) -> CommandOutcome:
    match outcome:
        case NotSent(detail):
            return Failure(ResultCode.DAEMON_UNREACHABLE, detail, advice=UNREACHABLE_ADVICE)
        case ResponseLost(detail):
            return Failure(codes.response_lost, detail, advice=advice)
        case ResponseReceived(ResultCode.INTERNAL_ERROR, document, server):
            detail = f"{server} answered INTERNAL_ERROR: {document.get('detail')}"
            return Failure(codes.response_invalid, detail, advice=advice)
        case ResponseReceived(code, document, server) if _get_code_class(code) in SUCCESS_CLASSES:
            answer = convert_response(document, answer_type)
            if isinstance(answer, str):
                detail = f"{server} answered in an undocumented form: {answer}"
                return Failure(codes.response_invalid, detail, advice=advice)
            return Report(code, document, render(answer))
        case ResponseReceived(code, document):
            is_unknown = _get_code_class(code) is CodeClass.UNKNOWN
            return build_failure_from_response(code, document, advice if is_unknown else "")


def _get_code_class(code: ResultCode) -> CodeClass:
    return describe_code(code).code_class


def build_failure_from_response(
    code: ResultCode, document: dict[str, Any], advice: str = ""
) -> Failure:
    """Build the failure that an error response of the daemon describes.

    Args:
        code: result code of the response.
        document: JSON body of the response.
        advice: what the operator can do next; if empty, derived from `retry_after_s`.

    Returns:
        The failure with all problems that the response lists.
    """
    rows = document.get("problems")
    problems = tuple(
        Problem(code, str(row.get("field")), str(row.get("value")), str(row.get("accepted")))
        for row in (rows if isinstance(rows, list) else [])
        if isinstance(row, dict)
    )
    retry_after_s = document.get("retry_after_s")
    if not advice and isinstance(retry_after_s, int | float) and retry_after_s > 0:
        advice = f"retry after {retry_after_s:g} s"
    return Failure(code, str(document.get("detail") or ""), problems, advice, document)
