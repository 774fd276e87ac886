"""Actions that the next calls of `decide` return."""

from collections import deque

from ._actions import Action, RecordStartIntent, StartTask


class Outbox:
    """Queue of actions that returns all starts at once and other actions in bounded batches.

    Args:
        max_other_actions: most other actions per call, so that many cancellations do not delay
            starts.
    """

    def __init__(self, max_other_actions: int = 512) -> None:
        self.max_other_actions = max_other_actions
        self._starts: list[Action] = []
        self._others: deque[Action] = deque()

    def __len__(self) -> int:
        return len(self._starts) + len(self._others)

    def put(self, action: Action) -> None:
        """Add an action."""
        if isinstance(action, StartTask | RecordStartIntent):
            self._starts.append(action)
        else:
            self._others.append(action)

    def drain(self) -> list[Action]:
        """Remove and return the actions of one call."""
        count = min(self.max_other_actions, len(self._others))
        actions = self._starts + [self._others.popleft() for _ in range(count)]
        self._starts = []
        return actions
