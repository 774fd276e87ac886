"""Timeouts of attempts to append that follow the observed durations."""

from __future__ import annotations


class AppendTimeouts:
    """Learns the timeout of an append attempt.

    At times, answers of the log are lost, which calls for a quick retry. At other times, the log
    is a hundred times slower, and retries would lengthen its queue. The timeout therefore follows
    the measured duration of appends, and of reads, which are more frequent on most VMs.

    Args:
        max_s: maximum timeout, in seconds; by default that after which the log rejects appends.

    Attributes:
        took_s_: moving average of the duration of a call, in seconds.
    """

    _MIN_S = 0.5
    _QUEUE_MAX_S = 2.0
    """Time after which the log rejects an append that waits for others."""
    _FACTOR = 4.0
    """Timeout as a multiple of the average duration."""
    _WEIGHT = 0.3
    """Weight of a new call in the average."""

    def __init__(self, max_s: float = _QUEUE_MAX_S) -> None:
        self._max_s = max_s
        self.took_s_ = 0.0

    def observe(self, took_s: float) -> None:
        """Add the duration of an append, or of a read that did not wait, in seconds."""
        self.took_s_ += self._WEIGHT * (took_s - self.took_s_)

    def predict(self, unanswered_count: int) -> float:
        """Return the timeout of the next attempt, in seconds.

        Args:
            unanswered_count: unanswered attempts at the same append; each doubles the timeout.
        """
        first_s = max(self._MIN_S, self._FACTOR * self.took_s_)
        return min(self._max_s, first_s * 2**unanswered_count)
