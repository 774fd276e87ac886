"""Limit on the start orders that have no answer yet."""

from __future__ import annotations

_ANSWER_GOAL_S = 0.4
"""Answer time above which orders queue at the scheduler's own VM; workers answer in 25 ms."""
_LIMIT_MIN = 16.0
_LIMIT_INITIAL = 128.0
"""Initial limit; five times the orders that are open at 1000 starts per second."""
_LIMIT_MAX = 1024.0
_DECREASE = 0.7
"""Factor of the limit after a slow answer, applied once per answer time."""


class StartWindow:
    """Learns how many start orders may be open at the same time.

    Load pattern: after a change of scheduler on a small VM, hundreds of tasks can be started at
    once. If they all are, the orders wait for the processor of that VM until they count as
    unanswered, and repetitions and stops of the same runs take the rest of it. The limit follows
    the answer times by additive increase and multiplicative decrease. Orders that a worker does
    not answer at all do not change it.

    Attributes:
        limit_: number of orders that may be open.
    """

    def __init__(self) -> None:
        self.limit_ = _LIMIT_INITIAL
        self._decreased_s = float("-inf")

    def observe(self, answer_s: float, now_s: float) -> None:
        """Update the limit with the answer time of an order, in seconds."""
        if answer_s <= _ANSWER_GOAL_S:
            self.limit_ = min(_LIMIT_MAX, self.limit_ + 1.0 / self.limit_)
        elif now_s - answer_s > self._decreased_s:
            self.limit_ = max(_LIMIT_MIN, self.limit_ * _DECREASE)
            self._decreased_s = now_s
