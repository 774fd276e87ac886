"""Holding side of a lease."""

from dataclasses import dataclass

CLOCK_MARGIN_FRACTION = 0.05
CLOCK_MARGIN_MIN_S = 0.1


def margin_s(lease_s: float) -> float:
    """Return how much earlier a holder stops, which covers differences in clock rate."""
    return max(CLOCK_MARGIN_MIN_S, CLOCK_MARGIN_FRACTION * lease_s)


@dataclass(frozen=True, slots=True)
class LeaseGained:
    """The lease has a new epoch; whatever was known about the granter must be learned again."""

    epoch: int


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """The unexpired lease was extended."""

    epoch: int


@dataclass(frozen=True, slots=True)
class StaleAnswer:
    """The answer is older than what is known and changed nothing."""


RenewalResult = LeaseGained | LeaseRenewed | StaleAnswer


class HolderLease:
    """What a holder may conclude about one lease.

    The lease is counted from before the claim was sent, because the granter counts it from the
    later time of receipt.

    `held` is false before the first grant and after a release or a higher epoch; it does not tell
    whether the lease has lapsed, which `may_act` does.

    Args:
        lease_s: length of the lease that is asked for.
    """

    def __init__(self, lease_s: float) -> None:
        self.lease_s = lease_s
        self.epoch = 0
        self._until_s = float("-inf")
        self.held = False

    def on_granted(
        self, epoch: int, sent_s: float, now_s: float, granted_s: float | None = None
    ) -> RenewalResult:
        """Take a positive answer to a claim.

        Args:
            epoch: epoch in the answer.
            sent_s: time before the claim was sent.
            now_s: present time.
            granted_s: length that the granter named, if it is shorter than the one asked for.

        Returns:
            Whether the lease is new, extended, or the answer told nothing new.
        """
        length_s = self.lease_s if granted_s is None else min(self.lease_s, granted_s)
        until_s = sent_s + length_s - margin_s(self.lease_s)
        if epoch < self.epoch or (epoch == self.epoch and not self.held):
            # Answers that arrive after a release or after a newer epoch give no right to act.
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
        """Take a refusal that names the present epoch of another holder."""
        if epoch > self.epoch:
            self.epoch = epoch
            self.held = False

    def on_released(self) -> None:
        """Note that the lease is being released; call it before the release is sent."""
        self.held = False

    def may_act(self, now_s: float) -> bool:
        """Return whether an effect under this lease may be started now."""
        return self.held and now_s < self._until_s

    def remaining_s(self, now_s: float) -> float:
        """Return how long the holder may still act."""
        return max(0.0, self._until_s - now_s) if self.held else 0.0


class PauseDetector:
    """Detects that the process did not run for some time.

    Args:
        expected_s: usual time between two calls of `tick`.
        threshold_s: longer gaps are pauses.
    """

    def __init__(self, expected_s: float = 0.1, threshold_s: float = 1.0) -> None:
        self.expected_s = expected_s
        self.threshold_s = threshold_s
        self.pauses_count_ = 0
        self._last_s: float | None = None

    def tick(self, now_s: float) -> float:
        """Return the length of a pause that ended now, or 0."""
        last_s, self._last_s = self._last_s, now_s
        if last_s is None or now_s - last_s < self.threshold_s:
            return 0.0
        self.pauses_count_ += 1
        return now_s - last_s - self.expected_s
