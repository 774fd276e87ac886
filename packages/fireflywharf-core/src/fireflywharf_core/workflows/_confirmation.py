"""Confirmations by the journal that a tenure is still the latest one."""

from __future__ import annotations


class TenureConfirmation:
    """Tells up to which time no later tenure had begun.

    A later tenure renews leases, acknowledges ends and starts runs without the knowledge of this
    one. What this tenure concludes from time or from a missing run holds for the whole deployment
    only if no later tenure had begun by then.

    Attributes:
        confirmed_s: sending time of the latest record of the tenure that the journal has accepted,
            as local time in seconds.
    """

    def __init__(self) -> None:
        self.confirmed_s = float("-inf")
        self._wanted_s = float("-inf")

    @property
    def is_wanted(self) -> bool:
        """Whether something waits for a further confirmation."""
        return self._wanted_s > self.confirmed_s

    def observe(self, sent_s: float) -> bool:
        """Process a confirmation, and return whether something waited for one.

        Args:
            sent_s: local time at which the accepted record was sent, in seconds.
        """
        was_wanted = self.is_wanted
        self.confirmed_s = max(self.confirmed_s, sent_s)
        return was_wanted

    def covers(self, time_s: float, now_s: float) -> bool:
        """Return whether no later tenure had begun at a time; if unknown, want a confirmation.

        Args:
            time_s: local time, in seconds; a time to come is not covered.
            now_s: current local time, in seconds.
        """
        if time_s <= self.confirmed_s:
            return True
        if time_s <= now_s:
            self._wanted_s = max(self._wanted_s, time_s)
        return False
