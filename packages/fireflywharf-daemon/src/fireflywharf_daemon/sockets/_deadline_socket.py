"""TCP socket whose reads and writes stop at a deadline."""

from __future__ import annotations

import socket
import time
from typing import Any


class DeadlineSocket(socket.socket):
    """Socket with a deadline for reads and one for writes.

    The timeout of a plain socket restarts with every byte, so a peer that sends one byte from time
    to time holds a thread for ever. The deadlines are times of the monotonic clock.

    Attributes:
        read_deadline_s: reads raise `TimeoutError` from this time on; None for no limit.
        write_deadline_s: writes raise `TimeoutError` from this time on; None for no limit.
        read_timeout_s: longest wait for a single read; None for no limit.
        bytes_sent: bytes that the kernel accepted.
        bytes_received: bytes that were read.
    """

    read_deadline_s: float | None = None
    write_deadline_s: float | None = None
    read_timeout_s: float | None = None
    bytes_sent = 0
    bytes_received = 0

    @classmethod
    def wrap_socket(cls, plain: socket.socket) -> DeadlineSocket:
        """Return a deadline socket for the connection of `plain`, which is detached."""
        return cls(plain.family, plain.type, plain.proto, fileno=plain.detach())

    def _arm(self, deadline_s: float | None, longest_s: float | None = None) -> None:
        timeout_s = longest_s
        if deadline_s is not None:
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0:
                raise TimeoutError("timed out")
            timeout_s = remaining_s if longest_s is None else min(longest_s, remaining_s)
        self.settimeout(timeout_s)

    def recv_into(self, *args: Any, **kwargs: Any) -> int:
        """Read into a buffer, as `socket.recv_into`."""
        self._arm(self.read_deadline_s, self.read_timeout_s)
        count = super().recv_into(*args, **kwargs)
        self.bytes_received += count
        return count

    def recv(self, *args: Any, **kwargs: Any) -> bytes:
        """Read bytes, as `socket.recv`."""
        self._arm(self.read_deadline_s, self.read_timeout_s)
        data = super().recv(*args, **kwargs)
        self.bytes_received += len(data)
        return data

    def send(self, *args: Any, **kwargs: Any) -> int:
        """Send some of the bytes, as `socket.send`."""
        self._arm(self.write_deadline_s)
        count = super().send(*args, **kwargs)
        self.bytes_sent += count
        return count

    def sendall(self, data: Any, flags: int = 0) -> None:
        """Send all bytes; after an error `bytes_sent` tells how many were accepted."""
        with memoryview(data) as view, view.cast("B") as rest:
            sent = 0
            while sent < len(rest):
                sent += self.send(rest[sent:], flags)
