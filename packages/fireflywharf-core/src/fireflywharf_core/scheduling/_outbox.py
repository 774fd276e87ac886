"""Actions that wait to be returned by `decide`."""

from collections import deque

from ._actions import Action, RecordStartIntent, StartTask


class Outbox:
    """Starts are returned at once, other actions at a bounded number per call.

    Args:
        max_other_actions: bound per call, so that a wave of cancellations does not delay starts.
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
        """Return the actions of one call."""
        count = min(self.max_other_actions, len(self._others))
        actions = self._starts + [self._others.popleft() for _ in range(count)]
        self._starts = []
        return actions
