"""Faults that a stand-in can inject, and the seeded choice of the faults of each call."""

import math
import random
from typing import Any, Literal

import attrs

from fireflywharf_core.checking import FieldChecker
from fireflywharf_core.results import Problem, ResultCode

_PROBABILITIES = ("lose_answer_p", "cut_answer_p", "cross_answer_p", "corrupt_answer_p", "fail_p")
_Down = Literal["", "refuse", "error", "hang"]


@attrs.frozen(slots=True, kw_only=True)
class FaultSettings:
    """Faults of one stand-in.

    Args:
        slow_s: delay in seconds before each call is handled.
        down: `refuse` closes the listening socket and all connections, `error` answers 503, `hang`
            accepts calls but neither handles nor answers them; empty when the stand-in is up.
        lose_answer_p: probability that the connection is closed without an answer after the call
            took effect.
        cut_answer_p: probability that the connection is closed in the middle of the answer.
        cross_answer_p: probability that a call gets the whole answer to an earlier call.
        corrupt_answer_p: probability that one byte of the answer's body is changed.
        fail_p: probability that a call fails: a log or VM list answers 500 without an effect, a
            worker fails the started attempt at once, a target runs the request and answers 500.
        silent: whether connections opened before this setting never get an answer again; later
            connections work.
        lag_s: additional lag in seconds of the VM list and of usage reports.
        only: path prefixes that the faults apply to; empty means all. `refuse`, `hang` and `silent`
            always apply to all.
        duration_s: time in seconds until all faults end; zero means until the next change.
        seed: seed of the random choices.
    """

    slow_s: float = 0.0
    down: _Down = ""
    lose_answer_p: float = 0.0
    cut_answer_p: float = 0.0
    cross_answer_p: float = 0.0
    corrupt_answer_p: float = 0.0
    fail_p: float = 0.0
    silent: bool = False
    lag_s: float = 0.0
    only: list[str] = attrs.field(factory=list)
    duration_s: float = 0.0
    seed: int = 0


NO_FAULTS = FaultSettings()


def _is_probability(value: float) -> bool:
    return 0 <= value <= 1


def _is_duration(value: float) -> bool:
    return math.isfinite(value) and value >= 0


def parse_faults(data: Any) -> tuple[FaultSettings | None, list[Problem]]:
    """Convert a parsed JSON object into fault settings.

    Args:
        data: parsed object; a fault whose field is absent is off.

    Returns:
        The settings and an empty list, or None and every problem found.
    """
    checker = FieldChecker(data, ResultCode.INVALID_FIELD)
    read_field = checker.read_field
    fields = {
        name: read_field(name, float, "a number of at least 0", 0.0, _is_duration)
        for name in ("slow_s", "lag_s", "duration_s")
    }
    fields |= {
        name: read_field(name, float, "0 to 1", 0.0, _is_probability) for name in _PROBABILITIES
    }
    fields["down"] = read_field("down", _Down, 'refuse, error, hang or ""', "")
    fields["silent"] = read_field("silent", bool, "true or false", False)
    fields["only"] = read_field("only", list[str], "a list of path prefixes", [])
    fields["seed"] = read_field("seed", int, "a whole number", 0)
    problems = checker.finish()
    return (None, problems) if problems else (FaultSettings(**fields), [])


@attrs.frozen(slots=True)
class CallFaults:
    """Faults of one call; see `FaultSettings`."""

    slow_s: float = 0.0
    error: bool = False
    lose_answer: bool = False
    cut_answer: bool = False
    cross_answer: bool = False
    corrupt_answer: bool = False
    fail: bool = False


class FaultSampler:
    """Draws the faults of each call with the probabilities and the seed of the settings."""

    def __init__(self, settings: FaultSettings = NO_FAULTS) -> None:
        self.settings = settings
        self._random = random.Random(settings.seed)

    def sample_call_faults(self, path: str) -> CallFaults:
        """Draw the faults of the next call, which goes to `path`."""
        settings = self.settings
        if settings.only and not any(path.startswith(prefix) for prefix in settings.only):
            return CallFaults()
        drawn = {name: self._random.random() < getattr(settings, name) for name in _PROBABILITIES}
        return CallFaults(
            slow_s=settings.slow_s,
            error=settings.down == "error",
            **{name.removesuffix("_p"): value for name, value in drawn.items()},
        )
