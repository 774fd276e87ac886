"""Holder lease of a worker or target: the granter's side of the epoch rule."""

import attrs

MAX_LEASE_S = 60.0


@attrs.define
class StandInLease:
    """One holder at a time, and an epoch that rises with each grant that is not a renewal.

    Example:
        >>> lease = StandInLease()
        >>> lease.claim("a", 5.0, now_s=0.0), lease.epoch
        (True, 1)
        >>> lease.claim("b", 5.0, now_s=4.0), lease.epoch
        (False, 1)
        >>> lease.claim("b", 5.0, now_s=5.0), lease.epoch
        (True, 2)
    """

    epoch: int = 0
    holder: str = ""
    expires_s: float = float("-inf")

    def claim(self, holder: str, ttl_s: float, now_s: float) -> bool:
        """Grant or renew the lease and return whether `holder` has it."""
        held = self.remaining_s(now_s) > 0
        if held and holder != self.holder:
            return False
        if not held:
            self.epoch += 1
        self.holder = holder
        self.expires_s = now_s + min(ttl_s, MAX_LEASE_S)
        return True

    def is_valid_epoch(self, epoch: int, now_s: float) -> bool:
        """Return whether a command with `epoch` is valid now."""
        return epoch == self.epoch and self.remaining_s(now_s) > 0

    def release(self, epoch: int, now_s: float) -> bool:
        """End the lease and return whether `epoch` was valid."""
        if not self.is_valid_epoch(epoch, now_s):
            return False
        self.holder = ""
        self.expires_s = float("-inf")
        return True

    def remaining_s(self, now_s: float) -> float:
        """Return the time until the lease lapses; zero when nobody holds it."""
        return max(0.0, self.expires_s - now_s)

    def current_holder(self, now_s: float) -> str:
        """Return the holder, or an empty string when the lease has lapsed."""
        return self.holder if self.remaining_s(now_s) > 0 else ""
