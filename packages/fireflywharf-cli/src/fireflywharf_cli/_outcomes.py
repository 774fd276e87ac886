"""Outcomes of calls to the daemon and of commands."""

from dataclasses import dataclass, field
from typing import Any

from fireflywharf_core.results import Problem, ResultCode, describe_code

from ._tables import format_value


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """A complete response of the daemon arrived.

    Args:
        code: result code of the response.
        document: complete JSON body of the response.
        server: address of the server that sent it.
    """

    code: ResultCode
    document: dict[str, Any]
    server: str


@dataclass(frozen=True, slots=True)
class NotSent:
    """No server received any byte of the request, so the request had no effect."""

    detail: str


@dataclass(frozen=True, slots=True)
class ResponseLost:
    """The request was sent but no valid response arrived, so its effect is unknown."""

    detail: str


CallOutcome = ResponseReceived | NotSent | ResponseLost


@dataclass(frozen=True, slots=True)
class Report:
    """A command got the information or effect that it asked for.

    Args:
        code: result code, which determines the exit status of the command.
        document: output in the format `json`.
        text: output in the format `table`.
    """

    code: ResultCode
    document: dict[str, Any]
    text: str


@dataclass(frozen=True, slots=True)
class Failure:
    """A command failed, or its effect is unknown.

    Args:
        code: result code, which determines the exit status of the command.
        detail: one-sentence description of the cause.
        problems: invalid fields, options or arguments.
        advice: what the operator can do next.
        extra: additional fields of the JSON output, such as those of the daemon's response.
    """

    code: ResultCode
    detail: str = ""
    problems: tuple[Problem, ...] = ()
    advice: str = ""
    extra: dict[str, Any] = field(default_factory=dict)

    def to_document(self) -> dict[str, Any]:
        """Return the failure as a JSON object in the format of the daemon's error responses."""
        document: dict[str, Any] = {
            "code": int(self.code),
            "name": self.code.name,
            "class": describe_code(self.code).code_class.value,
            "detail": self.detail,
            "problems": [
                {"field": problem.field, "value": problem.value, "accepted": problem.accepted}
                for problem in self.problems
            ],
        }
        if self.advice:
            document["advice"] = self.advice
        return document | self.extra

    def to_text(self) -> str:
        """Return the failure as lines of text."""
        info = describe_code(self.code)
        lines = [
            f"error: {self.code.name} ({int(self.code)}, {info.code_class.value}): {info.meaning}"
        ]
        if self.detail:
            lines.append(f"  {self.detail}")
        lines += [f"  {problem}" for problem in self.problems]
        if self.advice:
            lines.append(f"  {self.advice}")
        return "\n".join(map(format_value, lines))


CommandOutcome = Report | Failure


def build_usage_failure(name: str, value: str | float | None, accepted: str) -> Failure:
    """Build the failure for an invalid option or argument.

    Args:
        name: option or argument as written on the command line.
        value: given value; None if it is missing.
        accepted: description of valid values.

    Returns:
        The failure, with the code `USAGE_ERROR`.
    """
    value_text = "(missing)" if value is None else repr(value)
    problem = Problem(ResultCode.USAGE_ERROR, name, value_text, accepted)
    return Failure(ResultCode.USAGE_ERROR, problems=(problem,))
