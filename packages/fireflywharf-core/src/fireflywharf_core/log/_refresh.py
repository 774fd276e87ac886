"""Schedule of records that must be written again before retention removes them."""

from collections import OrderedDict
from collections.abc import Hashable


class RefreshSchedule:
    """Keeps the age of the newest record of each key and names the keys that are due.

    Args:
        retention_s: time after which the log deletes records.
        max_per_s: keys named in one second, so that refreshing never floods the log.
    """

    def __init__(self, retention_s: float, max_per_s: float) -> None:
        self.retention_s = retention_s
        self.max_per_s = max_per_s
        self._written_s: OrderedDict[Hashable, float] = OrderedDict()
        self._due: OrderedDict[Hashable, None] = OrderedDict()
        self._asked: OrderedDict[Hashable, float] = OrderedDict()
        self._tokens = 0.0
        self._refilled_s: float | None = None

    def __len__(self) -> int:
        return len(self._written_s) + len(self._due) + len(self._asked)

    def touch(self, key: Hashable, now_s: float, live: bool = True) -> None:
        """Note a record of `key`; the age of a record read in a replay is unknown, so it is due."""
        self._due.pop(key, None)
        self._asked.pop(key, None)
        if live:
            self._written_s[key] = now_s
            self._written_s.move_to_end(key)
        else:
            self._written_s.pop(key, None)
            self._due[key] = None

    def hasten(self, key: Hashable) -> None:
        """Make `key` due at once."""
        self.drop(key)
        self._due[key] = None

    def drop(self, key: Hashable) -> None:
        """Forget `key`."""
        self._written_s.pop(key, None)
        self._due.pop(key, None)
        self._asked.pop(key, None)

    def due(self, now_s: float) -> list[Hashable]:
        """Return the keys to write again now, oldest first; each is named once per attempt.

        A key whose new record is not seen within an eighth of the retention time is due again.
        """
        self._refill(now_s)
        self._collect(self._asked, now_s - self.retention_s / 8)
        self._collect(self._written_s, now_s - self.retention_s / 2)
        named = []
        while self._due and self._tokens >= 1:
            key, _ = self._due.popitem(last=False)
            self._asked[key] = now_s
            self._tokens -= 1
            named.append(key)
        return named

    def _collect(self, since_s: OrderedDict[Hashable, float], limit_s: float) -> None:
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
