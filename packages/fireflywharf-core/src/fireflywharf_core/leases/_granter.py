"""Granter side of a lease, as run by a worker or a target."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Grant:
    """Answer to a lease claim.

    Args:
        granted: whether the claimant holds the lease now.
        holder: current holder; empty for none.
        epoch: current epoch.
        remaining_s: time in seconds until the current lease expires.
        renewed: whether the grant renewed an unexpired lease, which keeps the epoch.
    """

    granted: bool
    holder: str
    epoch: int
    remaining_s: float
    renewed: bool = False


class GranterLease:
    """Lease of one worker or target, whose epoch is the fencing token of its holder.

    Every grant except the renewal of an unexpired lease raises the epoch by one, so that commands
    of earlier holders are rejected.

    Args:
        epoch: initial epoch; it must not be below any epoch granted before.
    """

    def __init__(self, epoch: int = 0) -> None:
        self.epoch = epoch
        self._holder = ""
        self._until_s = float("-inf")

    def holder(self, now_s: float) -> str:
        """Return the current holder, or an empty string if the lease is free."""
        return self._holder if now_s < self._until_s else ""

    def remaining_s(self, now_s: float) -> float:
        """Return the time in seconds until the current lease expires; 0 without a lease."""
        return max(0.0, self._until_s - now_s) if self._holder else 0.0

    def claim(self, holder: str, ttl_s: float, now_s: float) -> Grant:
        """Grant or renew the lease, unless another holder has an unexpired lease.

        Args:
            holder: incarnation of the claimant; must not be empty.
            ttl_s: duration of the lease in seconds, counted from now.
            now_s: current time in seconds.

        Returns:
            The grant or refusal.

        Raises:
            ValueError: the holder is empty, or `ttl_s` is not above 0.
        """
        if not holder or not ttl_s > 0:
            raise ValueError(
                f"a claim needs a non-empty holder and ttl_s above 0, not {holder!r}, {ttl_s}"
            )
        current_holder = self.holder(now_s)
        if current_holder not in ("", holder):
            return Grant(False, current_holder, self.epoch, self.remaining_s(now_s))
        renewed = current_holder == holder
        if not renewed:
            self.epoch += 1
        self._holder = holder
        self._until_s = now_s + ttl_s
        return Grant(True, holder, self.epoch, ttl_s, renewed)

    def release(self, epoch: int, now_s: float) -> bool:
        """End the lease if `epoch` is current and the lease unexpired; return whether it ended."""
        if not self.accepts(epoch, now_s):
            return False
        self._holder = ""
        return True

    def accepts(self, epoch: int, now_s: float) -> bool:
        """Return whether a command with `epoch` may be executed now."""
        return epoch == self.epoch and self.holder(now_s) != ""
