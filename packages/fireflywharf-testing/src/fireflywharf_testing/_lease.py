"""Lease that a worker or target grants to a scheduler, with epochs as fencing tokens."""

import attrs

MAX_LEASE_S = 60.0


@attrs.define
class StandInLease:
    """A lease with one holder at a time; each grant that is not a renewal raises the epoch.

    Args:
        epoch: epoch of the newest grant; zero before the first.
        holder: incarnation of the holder of the newest grant; empty after a release.
        expires_s: time at which the lease expires, on the granter's clock in seconds.

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
        """Grant or renew the lease unless another holder has it.

        Args:
            holder: incarnation of the claimant.
            ttl_s: requested duration in seconds; `MAX_LEASE_S` is the limit.
            now_s: time on the granter's clock in seconds.

        Returns:
            Whether `holder` has the lease.
        """
        held = self.remaining_s(now_s) > 0
        if held and holder != self.holder:
            return False
        if not held:
            self.epoch += 1
        self.holder = holder
        self.expires_s = now_s + min(ttl_s, MAX_LEASE_S)
        return True

    def is_valid_epoch(self, epoch: int, now_s: float) -> bool:
        """Return whether `epoch` is that of the present holder, whose lease has not expired."""
        return epoch == self.epoch and self.remaining_s(now_s) > 0

    def release(self, epoch: int, now_s: float) -> bool:
        """End the lease if `epoch` is valid, and return whether it was."""
        if not self.is_valid_epoch(epoch, now_s):
            return False
        self.holder = ""
        self.expires_s = float("-inf")
        return True

    def remaining_s(self, now_s: float) -> float:
        """Return the time in seconds until the lease expires; zero when there is no holder."""
        return max(0.0, self.expires_s - now_s)

    def current_holder(self, now_s: float) -> str:
        """Return the holder; empty when the lease has expired or was released."""
        return self.holder if self.remaining_s(now_s) > 0 else ""
