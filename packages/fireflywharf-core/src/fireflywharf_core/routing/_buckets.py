"""Token buckets for admission, retries and cross-region bytes."""

_ROUNDING = 1e-9


class TokenBucket:
    """Bucket that refills with time.

    Args:
        rate_per_s: tokens per second.
        burst_count: most tokens that it holds; it starts full.
    """

    def __init__(self, rate_per_s: float, burst_count: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst_count = burst_count
        self._level = burst_count
        self._filled_s: float | None = None

    def _fill(self, now_s: float) -> None:
        if self._filled_s is not None and now_s > self._filled_s:
            gained = (now_s - self._filled_s) * self.rate_per_s
            self._level = min(self.burst_count, self._level + gained)
        if self._filled_s is None or now_s > self._filled_s:
            self._filled_s = now_s

    def take(self, count: float, now_s: float) -> bool:
        """Take `count` tokens if they are there and return whether they were."""
        self._fill(now_s)
        if self._level + _ROUNDING < count:
            return False
        self._level -= count
        return True

    def charge(self, count: float, now_s: float) -> None:
        """Take `count` tokens even below zero, for use that cannot be refused."""
        self._fill(now_s)
        self._level -= count

    def wait_s(self, count: float, now_s: float) -> float:
        """Return the time until `count` tokens are there; 0 if never or now."""
        self._fill(now_s)
        missing = count - self._level
        return missing / self.rate_per_s if missing > 0 and self.rate_per_s > 0 else 0.0


class RetryBudget:
    """Retries earned by first sends; it starts empty so that the ratio bounds the total.

    Args:
        ratio: retries earned per first send; None lifts the bound.
        max_count: most retries that it saves.
    """

    def __init__(self, ratio: float | None, max_count: float) -> None:
        self.ratio = ratio
        self.max_count = max_count
        self._level = 0.0

    def earn(self) -> None:
        """Count one first send."""
        if self.ratio is not None:
            self._level = min(self.max_count, self._level + self.ratio)

    def spend(self) -> bool:
        """Take one retry and return whether there was one."""
        if self.ratio is None:
            return True
        if self._level + _ROUNDING < 1.0:
            return False
        self._level -= 1.0
        return True
