"""Outcomes of calls, and the interfaces between the mesh and the application."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from ._frames import Sender


@dataclass(frozen=True, slots=True)
class Unreachable:
    """The call was not sent, so the peer has not handled it."""

    detail: str


@dataclass(frozen=True, slots=True)
class CallRefused:
    """The peer refused the call without handling it."""

    detail: str


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The call was sent, but no usable answer arrived; the peer may have handled it."""

    detail: str


CallFailure = Unreachable | CallRefused | NoAnswer


class IncomingCall:
    """A call from a peer.

    Args:
        sender: sender of the call.
        message: decoded message.
        deadline_s: monotonic time until which the sender waits.
        send_reply: sends the answer; None reports a failed handler.
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
        """Send the answer unless the call was already answered.

        Args:
            answer: message of `MESSAGE_CODEC`.

        Returns:
            Whether this was the first reply.
        """
        return self._finish(answer)

    def fail(self) -> bool:
        """Report a failed handler to the sender, whose outcome is then `NoAnswer`.

        Returns:
            Whether this was the first reply.
        """
        return self._finish(None)

    def _finish(self, answer: Any | None) -> bool:
        with self._lock:
            if self._replied:
                return False
            self._replied = True
        self.send_reply(answer)
        return True


class MeshObserver(Protocol):
    """Counts traffic and dropped frames; called from the threads of the mesh."""

    def mesh_sent(self, address: str, reason: str, size_bytes: int) -> None:
        """Count bytes sent to a peer.

        Args:
            address: mesh address of the peer.
            reason: message class or frame kind.
            size_bytes: size on the wire.
        """

    def mesh_received(self, address: str, reason: str, size_bytes: int) -> None:
        """Count bytes received from a peer; arguments as for `mesh_sent`."""

    def mesh_dropped(self, address: str, reason: str) -> None:
        """Count a frame that was not sent, or was received and could not be decoded."""
