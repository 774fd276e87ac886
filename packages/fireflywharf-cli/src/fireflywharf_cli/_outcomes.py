"""Tagged outcomes of calls and of commands."""

from dataclasses import dataclass, field
from typing import Any

from fireflywharf_core.results import Problem, ResultCode, describe_code

from ._tables import format_value


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """The daemon answered in full.

    Args:
        code: result code of the answer.
        document: the whole JSON answer.
        server: address that answered.
    """

    code: ResultCode
    document: dict[str, Any]
    server: str


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request reached any server, so it had no effect."""

    detail: str


@dataclass(frozen=True, slots=True)
class ResponseLost:
    """The request was sent and no valid answer arrived, so its effect is unknown."""

    detail: str


CallOutcome = ResponseReceived | NotSent | ResponseLost


@dataclass(frozen=True, slots=True)
class Report:
    """A command succeeded.

    Args:
        code: result code; its exit status becomes that of the command.
        document: output in the form `json`.
        text: output in the form `table`.
    """

    code: ResultCode
    document: dict[str, Any]
    text: str


@dataclass(frozen=True, slots=True)
class Failure:
    """A command did not do what it was asked for.

    Args:
        code: result code; its exit status becomes that of the command.
        detail: one sentence that names the cause.
        problems: invalid input.
        advice: what the operator can do next.
        extra: further fields of the JSON output, such as those of the daemon's answer.
    """

    code: ResultCode
    detail: str = ""
    problems: tuple[Problem, ...] = ()
    advice: str = ""
    extra: dict[str, Any] = field(default_factory=dict)

    def to_document(self) -> dict[str, Any]:
        """Return the failure as a JSON object in the form of the daemon's error answers."""
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
        """Return the failure as lines for a person."""
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
    """Return the failure for one invalid option or argument.

    Args:
        name: option or argument as the operator writes it.
        value: value that was given; None when it is missing.
        accepted: description of valid values.

    Returns:
        A failure with the code `USAGE_ERROR`.
    """
    value_text = "(missing)" if value is None else repr(value)
    problem = Problem(ResultCode.USAGE_ERROR, name, value_text, accepted)
    return Failure(ResultCode.USAGE_ERROR, problems=(problem,))
