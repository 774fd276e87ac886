"""Claims of callers' own keys, folded from stream `keys`."""

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
from ._remembered import AnswerCache


@attrs.define(slots=True, eq=False)
class Claim:
    """First claim of a key.

    `started` is set while or after this incarnation executes the request.
    """

    incarnation: str
    request_digest: str
    claimed_utc_s: float
    seen_s: float
    started: bool = False
    outcome: Outcome | None = None


class KeyClaimTable:
    """Table of claims; the first claim of a key in log order wins for the lifetime of the key.

    Whether a later claim finds an expired one is decided by the times in the two records and not by
    a local clock, so every entry VM that folds them agrees.

    Args:
        lifetime_s: lifetime of a claim.
        max_count: claims beyond which no new key is accepted; claims of others are always folded.
        answers: bound on kept answers.
    """

    def __init__(self, lifetime_s: float, max_count: int, answers: AnswerCache) -> None:
        self.lifetime_s = lifetime_s
        self.max_count = max_count
        self.answers = answers
        self._claims: OrderedDict[tuple[str, str], Claim] = OrderedDict()

    def __len__(self) -> int:
        return len(self._claims)

    @property
    def full(self) -> bool:
        """Return whether no further key may be claimed."""
        return len(self._claims) >= self.max_count

    def fold_claim(self, record: KeyClaimed, now_s: float) -> Claim:
        """Take a claim and return the winning claim of its key."""
        self._expire(now_s)
        name = record.customer, record.key
        known = self._claims.get(name)
        if known is not None:
            if record.claimed_utc_s < known.claimed_utc_s + self.lifetime_s:
                return known
            self.answers.discard(known)
            del self._claims[name]
        claim = Claim(record.incarnation, record.request_digest, record.claimed_utc_s, now_s)
        self._claims[name] = claim
        return claim

    def fold_outcome(self, record: KeyOutcome) -> None:
        """Take an outcome; the first of a claim wins."""
        claim = self._claims.get((record.customer, record.key))
        if claim is not None and claim.outcome is None:
            self.answers.keep(claim, outcome_of_record(record))

    def get(self, customer: str, key: str) -> Claim | None:
        """Return the winning claim of a key."""
        return self._claims.get((customer, key))

    def _expire(self, now_s: float) -> None:
        # Twice the lifetime, so that a claim that clocks of other VMs still count is not dropped.
        while self._claims:
            name, claim = next(iter(self._claims.items()))
            if claim.seen_s + 2 * self.lifetime_s > now_s:
                return
            self.answers.discard(claim)
            del self._claims[name]


def outcome_of_record(record: KeyOutcome) -> Outcome:
    """Return the outcome that a record of stream `keys` tells to repeats.

    Args:
        record: the record.

    Returns:
        The outcome; unknown if the answer was too long to record.
    """
    try:
        code = ResultCode(record.code)
        code_class = describe_code(code).code_class
    except ValueError:
        code, code_class = ResultCode.OUTCOME_UNKNOWN, CodeClass.UNKNOWN
    if code_class is CodeClass.COMPLETED and record.body is not None:
        return Completed(record.body, record.status, code)
    if code_class is CodeClass.NOT_RUN:
        return NotRun(code, "recorded outcome of the key")
    if code_class is CodeClass.COMPLETED:
        return OutcomeUnknown(
            ResultCode.OUTCOME_UNKNOWN, "the request ran; its answer was too long to record"
        )
    return OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, "recorded outcome of the key")
