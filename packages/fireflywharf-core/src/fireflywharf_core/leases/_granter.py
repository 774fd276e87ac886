"""Granting side of a lease, as a worker or a target runs it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Grant:
    """Answer to a claim.

    Args:
        granted: whether the caller holds the lease now.
        holder: present holder; empty for none.
        epoch: present epoch.
        remaining_s: time until the present lease lapses.
        renewed: whether the grant renewed an unexpired lease, which keeps the epoch.
    """

    granted: bool
    holder: str
    epoch: int
    remaining_s: float
    renewed: bool = False


class GranterLease:
    """Lease of one worker or target, with the epoch that fences earlier holders.

    Every grant that is not the renewal of an unexpired lease raises the epoch by one.

    Args:
        epoch: epoch to start from; it must not be below any epoch granted before.
    """

    def __init__(self, epoch: int = 0) -> None:
        self.epoch = epoch
        self._holder = ""
        self._until_s = float("-inf")

    def holder(self, now_s: float) -> str:
        """Return the present holder, or an empty string."""
        return self._holder if now_s < self._until_s else ""

    def remaining_s(self, now_s: float) -> float:
        """Return the time until the present lease lapses; 0 without one."""
        return max(0.0, self._until_s - now_s) if self._holder else 0.0

    def claim(self, holder: str, ttl_s: float, now_s: float) -> Grant:
        """Grant or renew the lease unless another holder's lease is unexpired.

        Args:
            holder: incarnation that asks; not empty.
            ttl_s: length of the lease, counted from now.
            now_s: present time.

        Returns:
            The grant or refusal.

        Raises:
            ValueError: the holder is empty or the length is not above zero.
        """
        if not holder or not ttl_s > 0:
            raise ValueError(f"a claim needs a holder and a time above 0, not {holder!r}, {ttl_s}")
        present = self.holder(now_s)
        if present not in ("", holder):
            return Grant(False, present, self.epoch, self.remaining_s(now_s))
        renewed = present == holder
        if not renewed:
            self.epoch += 1
        self._holder = holder
        self._until_s = now_s + ttl_s
        return Grant(True, holder, self.epoch, ttl_s, renewed)

    def release(self, epoch: int, now_s: float) -> bool:
        """End the lease if `epoch` is current and the lease is unexpired."""
        if not self.accepts(epoch, now_s):
            return False
        self._holder = ""
        return True

    def accepts(self, epoch: int, now_s: float) -> bool:
        """Return whether a command with `epoch` may take effect now."""
        return epoch == self.epoch and self.holder(now_s) != ""
