"""Pace of the appends of one process over all its streams."""

from collections import OrderedDict


class AppendPacer:
    """Lets the writers of one process take turns, with one append per interval together.

    The log limits the appends of all writers together. Without a common pace a process with four
    streams would make four times the appends that its interval allows.

    Args:
        append_interval_s: least time between two appends of the process.
    """

    def __init__(self, append_interval_s: float) -> None:
        self.append_interval_s = append_interval_s
        self._next_s = float("-inf")
        self._asked_s: OrderedDict[str, float] = OrderedDict()

    def take_turn(self, stream: str, now_s: float) -> bool:
        """Return whether `stream` may append now; streams that keep asking are served in order.

        Args:
            stream: name of the stream; each has one writer.
            now_s: present time.

        Returns:
            True at most once per interval.
        """
        self._asked_s[stream] = now_s
        if now_s < self._next_s:
            return False
        # A stream that stopped asking, because its records were withdrawn, loses its place.
        while now_s - next(iter(self._asked_s.values())) > 2 * self.append_interval_s:
            self._asked_s.popitem(last=False)
        if next(iter(self._asked_s)) != stream:
            return False
        del self._asked_s[stream]
        self._next_s = now_s + self.append_interval_s
        return True
