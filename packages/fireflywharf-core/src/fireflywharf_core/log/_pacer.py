"""Rate limit for the appends of one process to all its streams."""

from collections import OrderedDict


class AppendPacer:
    """Allows one append per interval to all writers of a process together, in turn.

    The log limits the appends of all writers together. Without a common rate limit, a process with
    four streams would make four times the appends that its interval allows.

    Args:
        append_interval_s: minimum time between two appends of the process.
    """

    def __init__(self, append_interval_s: float) -> None:
        self.append_interval_s = append_interval_s
        self._next_append_s = float("-inf")
        self._last_request_s: OrderedDict[str, float] = OrderedDict()

    def try_acquire(self, stream: str, now_s: float) -> bool:
        """Return whether `stream` may append now; streams that ask repeatedly are served in order.

        Args:
            stream: name of the stream; each has one writer.
            now_s: present time.

        Returns:
            True at most once per interval.
        """
        self._last_request_s[stream] = now_s
        if now_s < self._next_append_s:
            return False
        # A stream that no longer asks, because its records were withdrawn, loses its turn.
        while now_s - next(iter(self._last_request_s.values())) > 2 * self.append_interval_s:
            self._last_request_s.popitem(last=False)
        if next(iter(self._last_request_s)) != stream:
            return False
        del self._last_request_s[stream]
        self._next_append_s = now_s + self.append_interval_s
        return True
