"""From the outcome of a call to the outcome of a command."""

from collections.abc import Callable
from typing import Any

from fireflywharf_core.results import CodeClass, Problem, ResultCode, describe_code

from ._answers import convert_answer
from ._outcomes import Answered, AnswerLost, CallOutcome, CommandOutcome, Failure, NotSent, Report

UNREACHABLE_ADVICE = (
    "nothing was sent; check --server or FIREFLYWHARF_SERVER and that the daemon runs"
)
READ_ADVICE = "the command only reads, so it can be repeated"
SUCCESS_CLASSES = (CodeClass.COMPLETED, CodeClass.PENDING)


def finish_read(outcome: CallOutcome, kind: type, render: Callable[[Any], str]) -> CommandOutcome:
    """Turn the outcome of a call that only reads into that of its command.

    Args:
        outcome: outcome of the call.
        kind: class of the answer.
        render: writes the typed answer as text.

    Returns:
        The report or the failure of the command.
    """
    return _finish(outcome, kind, render, ResultCode.DAEMON_UNREACHABLE, READ_ADVICE)


def finish_write(
    outcome: CallOutcome, kind: type, render: Callable[[Any], str], how_to_ask: str
) -> CommandOutcome:
    """Turn the outcome of a call that may have had an effect into that of its command.

    Args:
        outcome: outcome of the call.
        kind: class of the answer.
        render: writes the typed answer as text.
        how_to_ask: what shows whether the effect took place.

    Returns:
        The report or the failure of the command.
    """
    return _finish(outcome, kind, render, ResultCode.OUTCOME_UNKNOWN, how_to_ask)


def _finish(
    outcome: CallOutcome,
    kind: type,
    render: Callable[[Any], str],
    lost_code: ResultCode,
    lost_advice: str,
) -> CommandOutcome:
    match outcome:
        case NotSent(detail):
            return Failure(ResultCode.DAEMON_UNREACHABLE, detail, advice=UNREACHABLE_ADVICE)
        case AnswerLost(detail):
            return Failure(lost_code, detail, advice=lost_advice)
        case Answered(code, document) if describe_code(code).code_class in SUCCESS_CLASSES:
            answer = convert_answer(document, kind)
            if isinstance(answer, str):
                detail = f"{outcome.server} answered in an undocumented form: {answer}"
                return Failure(lost_code, detail, advice=lost_advice)
            return Report(code, document, render(answer))
        case Answered(code, document):
            advice = lost_advice if describe_code(code).code_class is CodeClass.UNKNOWN else ""
            return failure_from_answer(code, document, advice)


def failure_from_answer(code: ResultCode, document: dict[str, Any], advice: str = "") -> Failure:
    """Return the failure that an error answer of the daemon reports.

    Args:
        code: result code of the answer.
        document: the JSON answer.
        advice: what the operator can do next; derived from `retry_after_s` if empty.

    Returns:
        The failure with every problem that the answer lists.
    """
    rows = document.get("problems")
    problems = tuple(
        Problem(code, str(row.get("field")), str(row.get("value")), str(row.get("accepted")))
        for row in (rows if isinstance(rows, list) else [])
        if isinstance(row, dict)
    )
    retry_after_s = document.get("retry_after_s")
    if not advice and isinstance(retry_after_s, int | float) and retry_after_s > 0:
        advice = f"a repeat can help after {retry_after_s:g} s"
    return Failure(code, str(document.get("detail") or ""), problems, advice, document)
