"""Memory of the requests with issued keys that this incarnation executes."""

from collections import OrderedDict
from typing import Protocol

import attrs

from ..results import Completed, Outcome, OutcomeUnknown, ResultCode


class HoldsOutcome(Protocol):
    """Object whose outcome may be replaced when its answer is dropped."""

    outcome: Outcome | None


class KeptAnswers:
    """Bounds the answers that are kept for repeats; the oldest are dropped first.

    Args:
        body_max_bytes: longest answer that is kept.
        total_max_bytes: bound on all kept answers.
    """

    def __init__(self, body_max_bytes: int, total_max_bytes: int) -> None:
        self.body_max_bytes = body_max_bytes
        self.total_max_bytes = total_max_bytes
        self._holders: OrderedDict[int, tuple[HoldsOutcome, int]] = OrderedDict()
        self._total_bytes = 0

    def keep(self, holder: HoldsOutcome, outcome: Outcome) -> None:
        """Set the outcome of a holder, without its answer when that is too long."""
        self.discard(holder)
        size_bytes = len(outcome.body) if isinstance(outcome, Completed) else 0
        if size_bytes > self.body_max_bytes:
            holder.outcome = _answer_not_kept()
            return
        holder.outcome = outcome
        if not size_bytes:
            return
        self._holders[id(holder)] = holder, size_bytes
        self._total_bytes += size_bytes
        while self._total_bytes > self.total_max_bytes:
            _, (oldest, size_bytes) = self._holders.popitem(last=False)
            self._total_bytes -= size_bytes
            oldest.outcome = _answer_not_kept()

    def discard(self, holder: HoldsOutcome) -> None:
        """Stop counting the answer of a holder."""
        _, size_bytes = self._holders.pop(id(holder), (None, 0))
        self._total_bytes -= size_bytes


def _answer_not_kept() -> OutcomeUnknown:
    return OutcomeUnknown(
        ResultCode.OUTCOME_UNKNOWN, "the request ran; its answer was too long to keep for repeats"
    )


@attrs.define(slots=True, eq=False)
class RememberedKey:
    """Use of one key; `outcome` is None while the request is being executed."""

    digest: bytes
    expires_s: float
    outcome: Outcome | None = None


class RememberedKeys:
    """Bounded memory of executed keys.

    A key is never forgotten before it expires, because a repeat would run again: when the memory is
    full, new keys are refused instead.

    Args:
        max_count: keys that are remembered.
        answers: bound on kept answers.
    """

    def __init__(self, max_count: int, answers: KeptAnswers) -> None:
        self.max_count = max_count
        self.answers = answers
        self._keys: OrderedDict[str, RememberedKey] = OrderedDict()

    def __len__(self) -> int:
        return len(self._keys)

    def get(self, key: str) -> RememberedKey | None:
        """Return the use of a key, or None when it was not used."""
        return self._keys.get(key)

    def begin(self, key: str, digest: bytes, expires_s: float, now_s: float) -> bool:
        """Remember that a key is being executed.

        Args:
            key: the key, not in use.
            digest: digest of the request.
            expires_s: time until which the key is valid.
            now_s: present time.

        Returns:
            Whether there was room.
        """
        self._expire(now_s)
        if len(self._keys) >= self.max_count:
            return False
        self._keys[key] = RememberedKey(digest, expires_s)
        return True

    def cancel(self, key: str) -> None:
        """Forget a key whose request provably did not run, so that a repeat may run."""
        self._keys.pop(key, None)

    def finish(self, key: str, outcome: Outcome) -> None:
        """Keep the outcome for repeats."""
        remembered = self._keys.get(key)
        if remembered is not None:
            self.answers.keep(remembered, outcome)

    def _expire(self, now_s: float) -> None:
        while self._keys:
            key, remembered = next(iter(self._keys.items()))
            if remembered.expires_s > now_s or remembered.outcome is None:
                return
            self.answers.discard(remembered)
            del self._keys[key]
