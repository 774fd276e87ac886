"""Issued keys whose requests this incarnation has executed, and answers kept for repeats."""

from collections import deque
from typing import Protocol

import attrs

from ..results import Completed, Outcome, OutcomeUnknown, ResultCode

_ANSWER_DROPPED = OutcomeUnknown(
    ResultCode.OUTCOME_UNKNOWN, "the request ran; its answer is too large to be kept for repeats"
)


class OutcomeHolder(Protocol):
    """Object that holds an outcome, which the cache replaces when it drops the answer."""

    outcome: Outcome | None


class AnswerCache:
    """Bounds the size of the answers that are kept for repeats; the oldest are dropped first.

    Args:
        body_max_bytes: largest answer that is kept.
        total_max_bytes: total size of the kept answers.
    """

    def __init__(self, body_max_bytes: int, total_max_bytes: int) -> None:
        self.body_max_bytes = body_max_bytes
        self.total_max_bytes = total_max_bytes
        self._holders: deque[OutcomeHolder] = deque()
        self._total_bytes = 0

    def store(self, holder: OutcomeHolder, outcome: Outcome) -> None:
        """Set the outcome of a holder, or an unknown outcome if its answer is too large."""
        self.discard(holder)
        size_bytes = _body_bytes(outcome)
        if size_bytes > self.body_max_bytes:
            outcome, size_bytes = _ANSWER_DROPPED, 0
        holder.outcome = outcome
        if size_bytes:
            self._holders.append(holder)
            self._total_bytes += size_bytes
        while self._holders and (
            self._total_bytes > self.total_max_bytes or not _body_bytes(self._holders[0].outcome)
        ):
            oldest = self._holders.popleft()
            if _body_bytes(oldest.outcome):
                self._total_bytes -= _body_bytes(oldest.outcome)
                oldest.outcome = _ANSWER_DROPPED

    def discard(self, holder: OutcomeHolder) -> None:
        """Clear the outcome of a holder that is removed or gets another outcome."""
        self._total_bytes -= _body_bytes(holder.outcome)
        holder.outcome = None


def _body_bytes(outcome: Outcome | None) -> int:
    return len(outcome.body) if isinstance(outcome, Completed) else 0


@attrs.define(slots=True, eq=False)
class ExecutedKey:
    """Execution of the request of one key.

    Attributes:
        digest: digest of the request, to distinguish a repeat from another request.
        expires_s: time at which the key expires.
        outcome: outcome of the request; None while it is in progress.
    """

    digest: bytes
    expires_s: float
    outcome: Outcome | None = None


class ExecutedKeys:
    """Bounded table of executed keys by key number.

    A key is not removed before it expires, because a repeat of its request would run again. When
    the table is full, new keys are refused instead.

    Args:
        max_count: capacity in keys.
        answers: cache of the answers.
    """

    def __init__(self, max_count: int, answers: AnswerCache) -> None:
        self.max_count = max_count
        self.answers = answers
        self._keys: dict[int, ExecutedKey | None] = {}
        self._order: deque[int] = deque()

    def __len__(self) -> int:
        return len(self._keys)

    def get(self, number: int) -> ExecutedKey | None:
        """Return the execution of a key, or None if its request did not run."""
        return self._keys.get(number)

    def begin_execution(self, number: int, digest: bytes, expires_s: float, now_s: float) -> bool:
        """Record that the request of a key is being executed.

        Args:
            number: number of a key without a recorded execution.
            digest: digest of the request.
            expires_s: time at which the key expires.
            now_s: present time.

        Returns:
            False if the table is full, otherwise True.
        """
        self._expire(now_s)
        if number not in self._keys:
            if len(self._keys) >= self.max_count:
                return False
            self._order.append(number)
        self._keys[number] = ExecutedKey(digest, expires_s)
        return True

    def cancel_execution(self, number: int) -> None:
        """Discard the execution of a key whose request did not run, so that a repeat may run."""
        if number in self._keys:
            self._keys[number] = None

    def finish_execution(self, number: int, outcome: Outcome) -> None:
        """Record the outcome of an execution, for repeats."""
        executed = self._keys.get(number)
        if executed is not None:
            self.answers.store(executed, outcome)

    def _expire(self, now_s: float) -> None:
        while self._order:
            executed = self._keys[self._order[0]]
            if executed is not None:
                if executed.expires_s > now_s or executed.outcome is None:
                    return
                self.answers.discard(executed)
            del self._keys[self._order.popleft()]
