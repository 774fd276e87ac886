"""Room kept free for urgent work."""

from __future__ import annotations

import math

from ..resources import ResourceVector

URGENT_PRIORITY = 0
"""Queues of this priority come first."""
_MEMORY_S = 8.0
"""Time constant with which the peak of urgent use is forgotten; bursts last about four seconds."""
SHARE_MAX = 0.15
"""Largest share of all processors that is kept free; urgent queues bring a tenth of the load."""


class Headroom:
    """Keeps room on every worker for urgent tasks that may come next.

    Pattern: wide long jobs fill all workers within one decision, and urgent jobs, whose objective
    is shorter than one long task, wait for the next end. The room between the recent peak of urgent
    use and the present use is not given to other work.

    Args:
        share_max: largest share of all processors that is kept; 0 keeps none.

    Attributes:
        peak_millicores_: recent peak of urgent use.
    """

    def __init__(self, share_max: float = SHARE_MAX) -> None:
        self.share_max = share_max
        self.peak_millicores_ = 0.0
        self._seen_s: float | None = None

    def observe(self, urgent_millicores: int, now_s: float) -> None:
        """Take up the present use by urgent tasks, those that wait included."""
        if self._seen_s is not None:
            self.peak_millicores_ *= math.exp((self._seen_s - now_s) / _MEMORY_S)
        self._seen_s = now_s
        self.peak_millicores_ = max(self.peak_millicores_, urgent_millicores)

    def predict(
        self, urgent_millicores: int, capacity_millicores: int, workers_count: int
    ) -> ResourceVector:
        """Return the room to keep on each of the workers.

        Args:
            urgent_millicores: present use by urgent tasks.
            capacity_millicores: processors of all workers.
            workers_count: number of workers.
        """
        if workers_count == 0:
            return ResourceVector()
        kept = max(0.0, self.peak_millicores_ - urgent_millicores)
        kept = min(kept, self.share_max * capacity_millicores)
        return ResourceVector(round(kept / workers_count))
