"""Table of outgoing calls that wait for their answers."""

import heapq
import itertools
import threading
from collections.abc import Callable
from typing import Any

import attrs

from ._outcomes import NoAnswer, Unreachable


@attrs.define(slots=True)
class PendingCall:
    """An outgoing call without an outcome.

    Args:
        address: mesh address of the peer.
        deadline_s: monotonic time until which the caller waits.
        on_done: receives the answer or the failure, once.
        sent: whether the frame of the call was passed to the connection.
    """

    address: str
    deadline_s: float
    on_done: Callable[[Any], None]
    sent: bool = False


class CallTable:
    """Pending calls and their deadlines, by number of the call; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._numbers = itertools.count(1)
        self._pending: dict[int, PendingCall] = {}
        self._deadlines: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, call: PendingCall) -> int:
        """Add a pending call and return its number."""
        with self._lock:
            call_id = next(self._numbers)
            self._pending[call_id] = call
            heapq.heappush(self._deadlines, (call.deadline_s, call_id))
        return call_id

    def mark_sent(self, call_id: int) -> None:
        """Mark a pending call as sent; from now on the peer may have received it."""
        with self._lock:
            call = self._pending.get(call_id)
            if call is not None:
                call.sent = True

    def finish(self, call_id: int, outcome: Any, address: str | None = None) -> bool:
        """Remove a pending call and report its outcome.

        Args:
            call_id: number of the call.
            outcome: answer or failure.
            address: if given, the call is finished only if it was sent to this peer.

        Returns:
            Whether the call was pending; False for a late answer.
        """
        with self._lock:
            call = self._pending.get(call_id)
            if call is None or (address is not None and call.address != address):
                return False
            del self._pending[call_id]
        call.on_done(outcome)
        return True

    def next_deadline_s(self) -> float | None:
        """Return the earliest deadline, which may be that of a call that has already finished."""
        with self._lock:
            return self._deadlines[0][0] if self._deadlines else None

    def take_expired(self, now_s: float) -> list[tuple[int, PendingCall]]:
        """Return the pending calls whose deadline has passed, each of them only once."""
        found = []
        with self._lock:
            while self._deadlines and self._deadlines[0][0] <= now_s:
                _, call_id = heapq.heappop(self._deadlines)
                call = self._pending.get(call_id)
                if call is not None:
                    found.append((call_id, call))
        return found

    def calls_to_peer(self, address: str) -> list[tuple[int, PendingCall]]:
        """Return the numbers and pending calls to one peer."""
        with self._lock:
            return [
                (call_id, call)
                for call_id, call in self._pending.items()
                if call.address == address
            ]

    def fail_all(self, detail: str) -> None:
        """Finish every pending call with a failure.

        Args:
            detail: cause of the failure.
        """
        with self._lock:
            pending, self._pending = self._pending, {}
            self._deadlines.clear()
        for call in pending.values():
            call.on_done(NoAnswer(detail) if call.sent else Unreachable(detail))
