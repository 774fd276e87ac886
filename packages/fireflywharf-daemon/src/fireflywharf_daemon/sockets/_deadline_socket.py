"""TCP socket whose reads and writes time out at a deadline."""

from __future__ import annotations

import socket
import time
from typing import Any


class DeadlineSocket(socket.socket):
    """Socket with separate deadlines for reads and writes.

    The timeout of a standard socket restarts with every received byte, so a peer that sends single
    bytes slowly could block a thread indefinitely. Deadlines are in monotonic time.

    Attributes:
        read_deadline_s: reads raise `TimeoutError` from this time on; None for no limit.
        write_deadline_s: writes raise `TimeoutError` from this time on; None for no limit.
        read_timeout_s: time limit of a single read; None for no limit.
        bytes_sent: number of bytes that the kernel accepted for sending.
        bytes_received: number of bytes read.
    """

    read_deadline_s: float | None = None
    write_deadline_s: float | None = None
    read_timeout_s: float | None = None
    bytes_sent = 0
    bytes_received = 0

    @classmethod
    def wrap_socket(cls, sock: socket.socket) -> DeadlineSocket:
        """Detach the connection of `sock` and return it as a deadline socket."""
        return cls(sock.family, sock.type, sock.proto, fileno=sock.detach())

    def _set_timeout(self, deadline_s: float | None, timeout_max_s: float | None = None) -> None:
        timeout_s = timeout_max_s
        if deadline_s is not None:
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0:
                raise TimeoutError("timed out")
            timeout_s = remaining_s if timeout_max_s is None else min(timeout_max_s, remaining_s)
        self.settimeout(timeout_s)

    def recv_into(self, *args: Any, **kwargs: Any) -> int:
        """Read into a buffer, as `socket.recv_into`."""
        self._set_timeout(self.read_deadline_s, self.read_timeout_s)
        count = super().recv_into(*args, **kwargs)
        self.bytes_received += count
        return count

    def recv(self, *args: Any, **kwargs: Any) -> bytes:
        """Read bytes, as `socket.recv`."""
        self._set_timeout(self.read_deadline_s, self.read_timeout_s)
        data = super().recv(*args, **kwargs)
        self.bytes_received += len(data)
        return data

    def send(self, *args: Any, **kwargs: Any) -> int:
        """Send some of the bytes, as `socket.send`."""
        self._set_timeout(self.write_deadline_s)
        count = super().send(*args, **kwargs)
        self.bytes_sent += count
        return count

    def sendall(self, data: Any, flags: int = 0) -> None:
        """Send all bytes; after an error, `bytes_sent` counts the bytes that were accepted."""
        with memoryview(data) as view, view.cast("B") as remaining:
            sent = 0
            while sent < len(remaining):
                sent += self.send(remaining[sent:], flags)
