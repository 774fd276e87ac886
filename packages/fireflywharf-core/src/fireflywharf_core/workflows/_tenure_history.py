"""What is known of the tenures before the newest one, and when their last leases expire."""

from __future__ import annotations

from collections import deque

import attrs

from ._journal_records import TenureRecord
from ._timing import Timing

_KEPT_S = 60.0
"""Time for which a tenure is kept after its last record; its leases have expired long before."""


@attrs.frozen(slots=True)
class EarlierTenure:
    """A tenure that a later one has replaced.

    Args:
        holder: incarnation of the scheduler; empty if it is unknown.
        last_read_s: local time by which its last record had been read, in seconds. Its latest
            confirmed append was sent before.
        resigned: whether it has resigned.
        is_earlier_version: whether its holder runs a version that gives longer leases.
    """

    holder: str
    last_read_s: float
    resigned: bool
    is_earlier_version: bool = False

    def leases_end_s(self, timing: Timing, own: str, process_started_s: float) -> float:
        """Return the local time, in seconds, by which all leases that it gave have expired.

        Args:
            timing: timeouts of the deployment.
            own: incarnation of this daemon.
            process_started_s: local time of the start of this process, in seconds.
        """
        if self.is_earlier_version:
            return self.last_read_s + timing.permission_s + timing.lease_bound_s
        if self.resigned:
            return self.last_read_s + timing.lease_bound_s
        end_s = self.last_read_s + timing.inherited_wait_s
        if self.holder != own and self.holder.partition("#")[0] == own.partition("#")[0]:
            # The holder was an earlier process of this VM, which has certainly exited.
            end_s = min(end_s, process_started_s + timing.lease_bound_s)
        return end_s


class TenureHistory:
    """Follows the tenures in the order of the journal.

    Attributes:
        latest: newest tenure record; None if there is none.
        earlier: tenures before the newest one that ended within the last minute.
    """

    def __init__(self) -> None:
        self.latest: TenureRecord | None = None
        self.earlier: deque[EarlierTenure] = deque()
        self._activity_s = float("-inf")

    def observe_activity(self, now_s: float) -> None:
        """Process a record of a scheduler that is not a tenure record."""
        self._activity_s = now_s

    def observe(self, record: TenureRecord, now_s: float) -> None:
        """Process a tenure record.

        Args:
            record: the record.
            now_s: current local time, in seconds.
        """
        latest = self.latest
        known_ordinal = 0 if latest is None else latest.ordinal
        if record.ordinal > known_ordinal + 1:
            # Not all records were read. The tenure before ended when this one began at the latest.
            is_earlier_version = record.active_s < 0
            began_s = now_s - max(0, record.active_s)
            self._add(EarlierTenure("", began_s, False, is_earlier_version), now_s)
        if latest is not None and record.epoch != latest.epoch:
            is_earlier_version = latest.active_s < 0
            self._add(
                EarlierTenure(latest.holder, self._activity_s, latest.resigned, is_earlier_version),
                now_s,
            )
        self.latest, self._activity_s = record, now_s

    def _add(self, tenure: EarlierTenure, now_s: float) -> None:
        self.earlier.append(tenure)
        while self.earlier and now_s - self.earlier[0].last_read_s > _KEPT_S:
            self.earlier.popleft()

    def leases_end_s(self, timing: Timing, own: str, process_started_s: float) -> float:
        """Return the local time by which the leases of all earlier tenures have expired.

        Args:
            timing: timeouts of the deployment.
            own: incarnation of this daemon.
            process_started_s: local time of the start of this process, in seconds.

        Returns:
            The time in seconds; negative infinity if there was no earlier tenure.
        """
        ends_s = [row.leases_end_s(timing, own, process_started_s) for row in self.earlier]
        return max(ends_s, default=float("-inf"))
