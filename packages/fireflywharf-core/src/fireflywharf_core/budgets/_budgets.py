"""Token buckets for request rates, cross-region bytes and retries."""

_ROUNDING_TOLERANCE = 1e-9


class TokenBucket:
    """Token bucket that is refilled at a constant rate.

    Args:
        rate_per_s: tokens added per second.
        burst_count: capacity in tokens; the bucket starts full.
    """

    def __init__(self, rate_per_s: float, burst_count: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst_count = burst_count
        self._level = burst_count
        self._refilled_at_s: float | None = None

    def _refill(self, now_s: float) -> None:
        if self._refilled_at_s is not None and now_s > self._refilled_at_s:
            gained = (now_s - self._refilled_at_s) * self.rate_per_s
            self._level = min(self.burst_count, self._level + gained)
        if self._refilled_at_s is None or now_s > self._refilled_at_s:
            self._refilled_at_s = now_s

    def try_take(self, count: float, now_s: float) -> bool:
        """Take `count` tokens if the bucket holds them; return whether they were taken."""
        self._refill(now_s)
        if self._level + _ROUNDING_TOLERANCE < count:
            return False
        self._level -= count
        return True

    def force_take(self, count: float, now_s: float) -> None:
        """Take `count` tokens, below zero if need be, for traffic that cannot be refused."""
        self._refill(now_s)
        self._level -= count

    def wait_s(self, count: float, now_s: float) -> float:
        """Return the time until the bucket holds `count` tokens; 0 if it does or never will."""
        self._refill(now_s)
        missing = count - self._level
        return missing / self.rate_per_s if missing > 0 and self.rate_per_s > 0 else 0.0


class RetryBudget:
    """Budget that allows retries as a fraction of first sends.

    The budget starts empty, so that the ratio bounds the total from the start.

    Args:
        ratio: retries deposited per first send; None removes the bound.
        max_count: retries that the budget can accumulate.
    """

    def __init__(self, ratio: float | None, max_count: float) -> None:
        self.ratio = ratio
        self.max_count = max_count
        self._level = 0.0

    def deposit(self) -> None:
        """Add the share of one first send."""
        if self.ratio is not None:
            self._level = min(self.max_count, self._level + self.ratio)

    def try_withdraw(self) -> bool:
        """Take one retry if the budget holds it; return whether it was taken."""
        if self.ratio is None:
            return True
        if self._level + _ROUNDING_TOLERANCE < 1.0:
            return False
        self._level -= 1.0
        return True
