"""Holder side of a lease."""

from dataclasses import dataclass

CLOCK_MARGIN_FRACTION = 0.05
CLOCK_MARGIN_MIN_S = 0.1


def margin_s(lease_s: float) -> float:
    """Return the time in seconds by which a holder stops acting before its lease expires.

    The margin covers the difference between the clock rates of holder and granter.
    """
    return max(CLOCK_MARGIN_MIN_S, CLOCK_MARGIN_FRACTION * lease_s)


@dataclass(frozen=True, slots=True)
class LeaseGained:
    """The lease was granted with a new epoch, so the state of the granter must be read again."""

    epoch: int


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """The unexpired lease was renewed."""

    epoch: int


@dataclass(frozen=True, slots=True)
class StaleAnswer:
    """The answer is older than the known state and was ignored."""


RenewalResult = LeaseGained | LeaseRenewed | StaleAnswer


class HolderLease:
    """State of one lease as known to its holder.

    The holder counts the duration from before the claim was sent. The granter counts from the later
    time of receipt, so the lease never expires first at the granter.

    `held` is false before the first grant and after a release or a higher epoch of another holder.
    It stays true when the lease expires; use `may_act` to check for that.

    Args:
        lease_s: requested duration of the lease in seconds.
    """

    def __init__(self, lease_s: float) -> None:
        self.lease_s = lease_s
        self.epoch = 0
        self._until_s = float("-inf")
        self.held = False

    def on_granted(
        self, epoch: int, sent_s: float, now_s: float, granted_s: float | None = None
    ) -> RenewalResult:
        """Handle the grant of a claim.

        Args:
            epoch: epoch in the answer.
            sent_s: time just before the claim was sent.
            now_s: current time in seconds.
            granted_s: granted duration in seconds, if it may be shorter than the requested one.

        Returns:
            Whether the lease is new or renewed, or the answer is stale.
        """
        length_s = self.lease_s if granted_s is None else min(self.lease_s, granted_s)
        until_s = sent_s + length_s - margin_s(self.lease_s)
        if epoch < self.epoch or (epoch == self.epoch and not self.held):
            # An answer that arrives after a release or with an older epoch grants nothing.
            return StaleAnswer()
        if epoch > self.epoch:
            self.epoch = epoch
            self._until_s = until_s
            self.held = True
            return LeaseGained(epoch)
        if until_s <= self._until_s:
            return StaleAnswer()
        self._until_s = until_s
        return LeaseRenewed(epoch)

    def on_refused(self, epoch: int) -> None:
        """Handle a refusal, which contains the current epoch of another holder."""
        if epoch > self.epoch:
            self.epoch = epoch
            self.held = False

    def on_released(self) -> None:
        """Mark the lease as released; call this before the release is sent."""
        self.held = False

    def may_act(self, now_s: float) -> bool:
        """Return whether the holder may issue a command under this lease now."""
        return self.held and now_s < self._until_s

    def remaining_s(self, now_s: float) -> float:
        """Return the time in seconds for which the holder may still act."""
        return max(0.0, self._until_s - now_s) if self.held else 0.0


class PauseDetector:
    """Detects pauses of the process, such as a suspended VM.

    Args:
        expected_s: usual time in seconds between two calls of `tick`.
        threshold_s: gap in seconds from which a pause is assumed.
    """

    def __init__(self, expected_s: float = 0.1, threshold_s: float = 1.0) -> None:
        self.expected_s = expected_s
        self.threshold_s = threshold_s
        self.pauses_count_ = 0
        self._last_s: float | None = None

    def tick(self, now_s: float) -> float:
        """Return the duration in seconds of a pause that ended now, or 0."""
        last_s, self._last_s = self._last_s, now_s
        if last_s is None or now_s - last_s < self.threshold_s:
            return 0.0
        self.pauses_count_ += 1
        return now_s - last_s - self.expected_s
