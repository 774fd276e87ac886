"""Timeouts of the scheduler."""

from __future__ import annotations

import attrs


@attrs.frozen(slots=True, kw_only=True)
class Timing:
    """Timeouts of the scheduler, in seconds.

    Args:
        task_lease_s: lease of a run; without renewal, a run ends after this time.
        lease_slack_s: time for which a lease may outlast `task_lease_s` after the latest confirmed
            record. Renewals later than this after the record give shorter leases.
        clock_drift: maximum relative rate error of a worker's clock.
        permission_s: time without a confirmed record after which a scheduler acts no more.
        start_permission_s: time without a confirmed record after which it starts no runs; at most
            the silence after which another VM stands for election.
        start_validity_s: time after which a worker refuses a delayed start order.
        repeat_s: time after which an unanswered order is repeated.
        start_repeats_s: time after which an unanswered start order is no longer repeated.
        network_margin_s: allowance for orders in transit.
    """

    task_lease_s: float = 6.0
    lease_slack_s: float = 1.0
    clock_drift: float = 0.02
    permission_s: float = 6.0
    start_permission_s: float = 1.0
    start_validity_s: float = 4.0
    repeat_s: float = 0.6
    start_repeats_s: float = 1.5
    network_margin_s: float = 0.3

    @property
    def lease_bound_s(self) -> float:
        """Maximum time from sending a renewal until the runs that it kept alive have ended."""
        return self.task_lease_s * (1 + self.clock_drift) + self.network_margin_s

    @property
    def inherited_wait_s(self) -> float:
        """Maximum time from the latest confirmed record of a tenure until its leases expire.

        The deadline of a start order is a lease as well.
        """
        start_bound_s = self.start_validity_s * (1 + self.clock_drift) + self.network_margin_s
        return max(self.lease_slack_s + self.lease_bound_s, self.start_permission_s + start_bound_s)

    def find_lease_s(self, confirmation_age_s: float) -> float:
        """Return the lease that a renewal may give now, in seconds; 0 if it may give none.

        Args:
            confirmation_age_s: time since the latest confirmed record was sent, in seconds.
        """
        if confirmation_age_s >= self.permission_s:
            return 0.0
        left_s = self.task_lease_s + self.lease_slack_s - confirmation_age_s
        return max(0.0, min(self.task_lease_s, left_s))
