"""Schedule for writing records again before the retention of the log deletes them."""

from collections import OrderedDict
from collections.abc import Hashable


class RefreshSchedule:
    """Tracks the age of the newest record of each key and returns the keys that are due.

    A key is due when its record has reached half of the retention time.

    Args:
        retention_s: time after which the log deletes records.
        max_per_s: maximum number of keys returned per second, to bound the load on the log.
    """

    def __init__(self, retention_s: float, max_per_s: float) -> None:
        self.retention_s = retention_s
        self.max_per_s = max_per_s
        self._written_s: OrderedDict[Hashable, float] = OrderedDict()
        self._due: OrderedDict[Hashable, None] = OrderedDict()
        self._awaiting_s: OrderedDict[Hashable, float] = OrderedDict()
        self._tokens = 0.0
        self._refilled_s: float | None = None

    def __len__(self) -> int:
        return len(self._written_s) + len(self._due) + len(self._awaiting_s)

    def note_written(self, key: Hashable, now_s: float, live: bool = True) -> None:
        """Note a record of `key`; one read in a replay is due, because its age is unknown."""
        self._due.pop(key, None)
        self._awaiting_s.pop(key, None)
        if live:
            self._written_s[key] = now_s
            self._written_s.move_to_end(key)
        else:
            self._written_s.pop(key, None)
            self._due[key] = None

    def mark_due(self, key: Hashable) -> None:
        """Make `key` due now."""
        self.drop(key)
        self._due[key] = None

    def drop(self, key: Hashable) -> None:
        """Remove `key` from the schedule."""
        self._written_s.pop(key, None)
        self._due.pop(key, None)
        self._awaiting_s.pop(key, None)

    def take_due(self, now_s: float) -> list[Hashable]:
        """Return the keys whose records must be written again now, oldest first.

        A key is not returned again while its new record is awaited. If that is not read within an
        eighth of the retention time, the key is due again.
        """
        self._refill(now_s)
        self._move_to_due(self._awaiting_s, now_s - self.retention_s / 8)
        self._move_to_due(self._written_s, now_s - self.retention_s / 2)
        due_keys = []
        while self._due and self._tokens >= 1:
            key, _ = self._due.popitem(last=False)
            self._awaiting_s[key] = now_s
            self._tokens -= 1
            due_keys.append(key)
        return due_keys

    def _move_to_due(self, since_s: OrderedDict[Hashable, float], limit_s: float) -> None:
        while since_s:
            key, time_s = next(iter(since_s.items()))
            if time_s > limit_s:
                return
            del since_s[key]
            self._due[key] = None

    def _refill(self, now_s: float) -> None:
        if self._refilled_s is not None:
            gained = (now_s - self._refilled_s) * self.max_per_s
            self._tokens = min(max(1.0, self.max_per_s), self._tokens + gained)
        self._refilled_s = now_s
