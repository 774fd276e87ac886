"""Timeouts of the scheduler."""

from __future__ import annotations

import attrs


@attrs.frozen(slots=True, kw_only=True)
class Timing:
    """Timeouts of the scheduler, in seconds.

    Args:
        task_lease_s: lease of a run; without renewal, a run ends after this time.
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
        """Time after which the runs on a worker that never answered in this tenure have ended."""
        return self.permission_s + self.lease_bound_s
