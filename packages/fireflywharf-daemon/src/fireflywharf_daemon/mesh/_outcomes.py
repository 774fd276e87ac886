"""Outcomes of calls and what the mesh asks of its user."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from ._frames import Sender


@dataclass(frozen=True, slots=True)
class Unreachable:
    """Nothing was sent to the peer."""

    detail: str


@dataclass(frozen=True, slots=True)
class CallRefused:
    """The peer answered that it did not handle the call."""

    detail: str


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The call was sent and no answer came; the peer may have handled it."""

    detail: str


CallFailure = Unreachable | CallRefused | NoAnswer


class IncomingCall:
    """A call of a peer.

    Args:
        sender: the peer.
        message: decoded message.
        deadline_s: time of the monotonic clock until which the peer waits.
        send_reply: sends the answer; None tells the peer that the handler failed.
    """

    def __init__(
        self,
        sender: Sender,
        message: Any,
        deadline_s: float,
        send_reply: Callable[[Any | None], None],
    ) -> None:
        self.sender = sender
        self.message = message
        self.deadline_s = deadline_s
        self.send_reply = send_reply
        self._lock = threading.Lock()
        self._replied = False

    def reply(self, answer: Any) -> bool:
        """Send the answer; only the first reply counts.

        Args:
            answer: a message of `MESSAGE_CODEC`.

        Returns:
            Whether this was the first reply.
        """
        return self._finish(answer)

    def fail(self) -> bool:
        """Tell the peer that no answer will come; the outcome for it is `NoAnswer`."""
        return self._finish(None)

    def _finish(self, answer: Any | None) -> bool:
        with self._lock:
            if self._replied:
                return False
            self._replied = True
        self.send_reply(answer)
        return True


class MeshObserver(Protocol):
    """Counts traffic and drops; called from the threads of the mesh."""

    def mesh_sent(self, address: str, reason: str, size_bytes: int) -> None:
        """Count bytes sent to a peer; `reason` is a message class or a frame kind."""

    def mesh_received(self, address: str, reason: str, size_bytes: int) -> None:
        """Count bytes received from a peer."""

    def mesh_dropped(self, address: str, reason: str) -> None:
        """Count a message that was not sent or could not be read."""
