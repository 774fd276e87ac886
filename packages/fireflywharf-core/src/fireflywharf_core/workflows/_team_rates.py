"""Classes of jobs: what a team sends within its weight is owed to it, the rest is excess."""

from __future__ import annotations

import bisect
import math
from collections.abc import Mapping

import attrs

from ..accounts import Account
from ._state import Job

_BURST_S = 1.0
"""Time whose jobs a team may send at once without any of them being excess, in seconds."""
_BURST_MIN = 4.0
"""Minimum burst in jobs.

A team of one or two jobs per second sends up to four within a second by chance; counted as excess,
these would be the last to be placed."""
_SETTLED_S = 5.0
"""Age from which the order of acceptances is final; records arrive within a second of each other.

Jobs of this age are closed and no longer in the journal, so a later scheduler begins there, too."""
_TOLERANCE = 1e-9
"""Rounding error of the number of tokens."""


@attrs.define(slots=True, eq=False)
class _Bucket:
    """Token bucket of one team, with the owed jobs that later records may still precede.

    Args:
        rate: tokens per second, which is the weight of the team.
        base_s: time of the state from which the owed jobs are replayed, in seconds since the Unix
            epoch.
        base_tokens: tokens at that time.
        owed_s: acceptance times of the owed jobs since then, in ascending order.
        tokens: tokens after the last of them.
    """

    rate: float
    base_s: float
    base_tokens: float
    owed_s: list[float] = attrs.field(factory=list)
    tokens: float = 0.0

    @property
    def burst(self) -> float:
        """Maximum number of tokens."""
        return max(_BURST_MIN, self.rate * _BURST_S)

    def take(self, accepted_s: float) -> bool:
        """Return whether a job is owed, in which case it uses a token.

        A job that is not the latest is owed only if all later ones remain so.
        """
        if self.rate <= 0.0:
            return False
        if math.isinf(self.rate):
            return True
        accepted_s = max(accepted_s, self.base_s)
        if not self.owed_s or accepted_s >= self.owed_s[-1]:
            tokens = self._refill(self.tokens, self._last_s, accepted_s) - 1.0
            is_owed = tokens >= -_TOLERANCE
            owed_s = self.owed_s
        else:
            index = bisect.bisect_right(self.owed_s, accepted_s)
            owed_s = [*self.owed_s[:index], accepted_s, *self.owed_s[index:]]
            tokens = self._replay(owed_s)
            is_owed = tokens is not None
        if is_owed:
            self.tokens = tokens
            if owed_s is self.owed_s:
                owed_s.append(accepted_s)
            self.owed_s = owed_s
        return is_owed

    @property
    def _last_s(self) -> float:
        return self.owed_s[-1] if self.owed_s else self.base_s

    def _refill(self, tokens: float, from_s: float, to_s: float) -> float:
        return min(self.burst, tokens + self.rate * (to_s - from_s))

    def _replay(self, owed_s: list[float]) -> float | None:
        """Return the tokens after these jobs; None if they do not suffice for one of them."""
        tokens, last_s = self.base_tokens, self.base_s
        for accepted_s in owed_s:
            tokens = self._refill(tokens, last_s, accepted_s) - 1.0
            last_s = accepted_s
            if tokens < -_TOLERANCE:
                return None
        return tokens

    def settle(self, until_s: float) -> None:
        """Drop the owed jobs before a time from those that are replayed."""
        count = bisect.bisect_left(self.owed_s, until_s)
        if count:
            self.base_tokens = self._replay(self.owed_s[:count])
            self.base_s = self.owed_s[count - 1]
            del self.owed_s[:count]

    def set_rate(self, rate: float) -> None:
        """Change the rate for further jobs; the class of earlier ones stays."""
        self.base_tokens, self.base_s = self.tokens, self._last_s
        self.owed_s.clear()
        self.rate = rate
        self.base_tokens = self.tokens = min(self.burst, self.base_tokens)


class TeamRates:
    """Classifies the jobs of teams as owed or excess, by a token bucket for each team.

    The bucket has the team's weight as its rate and one second's worth of jobs as its burst. Jobs
    take tokens in the order of their acceptance times, so schedulers agree on the classes, whenever
    and in which order they read the acceptances. Where a record is read after that of a later job,
    the class of the later job stays, and the earlier one is owed only if there is a token left.

    A team with weight 0 has excess jobs only. A team whose weight was never known has none.

    Load pattern: one of 20 teams sends seven times its usual load for some seconds while all
    workers are full. Ordered by slack alone, its jobs take the capacity of all other teams.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}
        self._pending: list[tuple[float, str, str, bool]] = []

    @property
    def has_pending(self) -> bool:
        """Whether jobs have no class yet."""
        return bool(self._pending)

    def add(self, job_id: str, team: str, accepted_utc_s: float, is_owed: bool = False) -> None:
        """Add a job of a team, to be classified by the next call of `classify`.

        Args:
            job_id: the job.
            team: its team.
            accepted_utc_s: time in its acceptance record, in seconds since the Unix epoch.
            is_owed: whether an earlier scheduler has recorded it as owed. Such a job stays owed and
                takes a token, if there is one; recorded excess jobs take none and are not added.
        """
        self._pending.append((accepted_utc_s, job_id, team, is_owed))

    def classify(
        self, jobs: Mapping[str, Job], accounts: Mapping[str, Account], utc_s: float
    ) -> list[Job]:
        """Classify the added jobs in order of their acceptance.

        Args:
            jobs: the jobs by id; those that have ended only use tokens.
            accounts: accounts of the teams, with their weights.
            utc_s: present time, in seconds since the Unix epoch.

        Returns:
            The owed jobs among them.
        """
        owed = []
        for accepted_utc_s, job_id, team, was_owed in sorted(self._pending):
            # The clock of the VM that accepted the job may be ahead.
            accepted_s = min(accepted_utc_s, utc_s)
            account = accounts.get(team)
            bucket = self._find_bucket(
                team, math.inf if account is None else account.weight, accepted_s
            )
            bucket.settle(utc_s - _SETTLED_S)
            is_owed = bucket.take(accepted_s) or was_owed
            job = jobs.get(job_id)
            if job is not None:
                job.is_excess = not is_owed
                # The first progress may have been recorded without the class.
                job.dirty |= job.is_excess and job.recorded
                if is_owed:
                    owed.append(job)
        self._pending.clear()
        return owed

    def _find_bucket(self, team: str, rate: float, accepted_s: float) -> _Bucket:
        bucket = self._buckets.get(team)
        if bucket is None:
            bucket = self._buckets[team] = _Bucket(rate, accepted_s, 0.0)
            bucket.base_tokens = bucket.tokens = bucket.burst
        elif bucket.rate != rate:
            bucket.set_rate(rate)
        return bucket
