"""Claims of keys that callers chose, read from stream `keys`."""

from collections import OrderedDict

import attrs

from ..records import KeyClaimed, KeyOutcome
from ..results import (
    CodeClass,
    Completed,
    NotRun,
    Outcome,
    OutcomeUnknown,
    ResultCode,
    describe_code,
)
from ._executed_keys import AnswerCache


@attrs.define(slots=True, eq=False)
class Claim:
    """First claim of a key.

    Attributes:
        incarnation: entry VM that executes the request.
        request_digest: hexadecimal digest of the request; empty if not known.
        claimed_utc_s: time of the claim by the clock of its writer.
        seen_s: time at which this VM read the claim.
        started: whether this incarnation executes or has executed the request.
        outcome: outcome of the request; None until it is known.
    """

    incarnation: str
    request_digest: str
    claimed_utc_s: float
    seen_s: float
    started: bool = False
    outcome: Outcome | None = None


class KeyClaimTable:
    """Table of claims; the first claim of a key in log order wins for the lifetime of the key.

    Whether an earlier claim has expired is decided by the times in the two records and not by a
    local clock, so that every entry VM that reads them comes to the same result.

    Args:
        lifetime_s: lifetime of a claim.
        max_count: claims from which on no new key is accepted; claims read from the log are always
            applied.
        answers: cache of the answers.
    """

    def __init__(self, lifetime_s: float, max_count: int, answers: AnswerCache) -> None:
        self.lifetime_s = lifetime_s
        self.max_count = max_count
        self.answers = answers
        self._claims: OrderedDict[tuple[str, str], Claim] = OrderedDict()

    def __len__(self) -> int:
        return len(self._claims)

    @property
    def is_full(self) -> bool:
        """Whether no further key may be claimed."""
        return len(self._claims) >= self.max_count

    def fold_claim(self, record: KeyClaimed, now_s: float) -> Claim:
        """Apply a claim record and return the winning claim of its key."""
        self._expire(now_s)
        name = record.customer, record.key
        earlier = self._claims.get(name)
        if earlier is not None:
            if record.claimed_utc_s < earlier.claimed_utc_s + self.lifetime_s:
                return earlier
            self.answers.discard(earlier)
            del self._claims[name]
        claim = Claim(record.incarnation, record.request_digest, record.claimed_utc_s, now_s)
        self._claims[name] = claim
        return claim

    def fold_outcome(self, record: KeyOutcome) -> None:
        """Apply an outcome record; the first outcome of a claim wins."""
        claim = self._claims.get((record.customer, record.key))
        if claim is not None and claim.outcome is None:
            self.answers.store(claim, outcome_of_record(record))

    def get(self, customer: str, key: str) -> Claim | None:
        """Return the winning claim of a key, or None."""
        return self._claims.get((customer, key))

    def _expire(self, now_s: float) -> None:
        # Twice the lifetime, because the claim may still be valid by the clock of another VM.
        while self._claims:
            name, claim = next(iter(self._claims.items()))
            if claim.seen_s + 2 * self.lifetime_s > now_s:
                return
            self.answers.discard(claim)
            del self._claims[name]


def outcome_of_record(record: KeyOutcome) -> Outcome:
    """Return the outcome for repeats of a key from its record in stream `keys`.

    Args:
        record: recorded outcome.

    Returns:
        The outcome; unknown if the answer was too large to be recorded.
    """
    try:
        code = ResultCode(record.code)
        code_class = describe_code(code).code_class
    except ValueError:
        code, code_class = ResultCode.OUTCOME_UNKNOWN, CodeClass.UNKNOWN
    if code_class is CodeClass.COMPLETED and record.body is not None:
        return Completed(record.body, record.status, code)
    if code_class is CodeClass.NOT_RUN:
        return NotRun(code, "outcome of an earlier request with this key")
    if code_class is CodeClass.COMPLETED:
        return OutcomeUnknown(
            ResultCode.OUTCOME_UNKNOWN, "the request ran; its answer was too large to be recorded"
        )
    return OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, "outcome of an earlier request with this key")
