"""Memory of the requests with issued keys that this incarnation executes."""

from collections import deque
from typing import Protocol

import attrs

from ..results import Completed, Outcome, OutcomeUnknown, ResultCode

_ANSWER_NOT_KEPT = OutcomeUnknown(
    ResultCode.OUTCOME_UNKNOWN, "the request ran; its answer was too long to keep for repeats"
)


class HoldsOutcome(Protocol):
    """Object whose outcome may be replaced when its answer is dropped."""

    outcome: Outcome | None


class AnswerCache:
    """Bounds the answers that are kept for repeats; the oldest are dropped first.

    Args:
        body_max_bytes: longest answer that is kept.
        total_max_bytes: bound on all kept answers.
    """

    def __init__(self, body_max_bytes: int, total_max_bytes: int) -> None:
        self.body_max_bytes = body_max_bytes
        self.total_max_bytes = total_max_bytes
        self._holders: deque[HoldsOutcome] = deque()
        self._total_bytes = 0

    def keep(self, holder: HoldsOutcome, outcome: Outcome) -> None:
        """Set the outcome of a holder, without its answer when that is too long."""
        self.discard(holder)
        size_bytes = _body_bytes(outcome)
        if size_bytes > self.body_max_bytes:
            outcome, size_bytes = _ANSWER_NOT_KEPT, 0
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
                oldest.outcome = _ANSWER_NOT_KEPT

    def discard(self, holder: HoldsOutcome) -> None:
        """Drop the outcome of a holder that is forgotten or gets another one."""
        self._total_bytes -= _body_bytes(holder.outcome)
        holder.outcome = None


def _body_bytes(outcome: Outcome | None) -> int:
    return len(outcome.body) if isinstance(outcome, Completed) else 0


@attrs.define(slots=True, eq=False)
class RememberedKey:
    """Use of one key; `outcome` is None while the request is being executed."""

    digest: bytes
    expires_s: float
    outcome: Outcome | None = None


class RememberedKeys:
    """Bounded memory of executed keys by the number that this incarnation gave them.

    A key is never forgotten before it expires, because a repeat would run again: when the memory is
    full, new keys are refused instead.

    Args:
        max_count: keys that are remembered.
        answers: bound on kept answers.
    """

    def __init__(self, max_count: int, answers: AnswerCache) -> None:
        self.max_count = max_count
        self.answers = answers
        self._keys: dict[int, RememberedKey | None] = {}
        self._order: deque[int] = deque()

    def __len__(self) -> int:
        return len(self._keys)

    def get(self, number: int) -> RememberedKey | None:
        """Return the use of a key, or None when it was not used."""
        return self._keys.get(number)

    def begin(self, number: int, digest: bytes, expires_s: float, now_s: float) -> bool:
        """Remember that a key is being executed.

        Args:
            number: number of the key, not in use.
            digest: digest of the request.
            expires_s: time until which the key is valid.
            now_s: present time.

        Returns:
            Whether there was room.
        """
        self._expire(now_s)
        if number not in self._keys:
            if len(self._keys) >= self.max_count:
                return False
            self._order.append(number)
        self._keys[number] = RememberedKey(digest, expires_s)
        return True

    def cancel(self, number: int) -> None:
        """Forget a key whose request provably did not run, so that a repeat may run."""
        if number in self._keys:
            self._keys[number] = None

    def finish(self, number: int, outcome: Outcome) -> None:
        """Keep the outcome for repeats."""
        remembered = self._keys.get(number)
        if remembered is not None:
            self.answers.keep(remembered, outcome)

    def _expire(self, now_s: float) -> None:
        while self._order:
            remembered = self._keys[self._order[0]]
            if remembered is not None:
                if remembered.expires_s > now_s or remembered.outcome is None:
                    return
                self.answers.discard(remembered)
            del self._keys[self._order.popleft()]
