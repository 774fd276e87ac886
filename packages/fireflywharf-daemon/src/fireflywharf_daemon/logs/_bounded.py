"""Non-blocking log stream with a bounded buffer."""

import os
import select
from collections import deque

PENDING_MAX_BYTES = 1 << 20
"""Buffer limit; holds about ten seconds of the scheduler's log lines at high load."""
WRITE_MAX_BYTES = select.PIPE_BUF
"""Size limit of one write, unless a single line is longer. A pipe write of up to this size is
atomic. Log collectors that truncate a longer write lose the end of a line and all later lines."""


class BoundedStream:
    r"""Buffers log lines until `write_pending` writes them to a file descriptor.

    If the reader does not keep up, lines are dropped; no call blocks. The number of dropped lines
    is logged as a line of its own.

    Args:
        descriptor: file descriptor to write to; it is set to non-blocking mode.

    Attributes:
        dropped_count: lines dropped since the last time that their number was logged.

    Example:
        >>> read_end, write_end = os.pipe()
        >>> stream = BoundedStream(write_end)
        >>> stream.write("a line\n")
        7
        >>> stream.write_pending()
        >>> os.read(read_end, 100)
        b'a line\\n'
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped_count = 0
        self._descriptor = descriptor
        self._pending_lines: deque[bytes] = deque()
        self._pending_bytes = 0
        self._unwritten = b""
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Buffer a line, or drop and count it if the buffer is full."""
        line = text.encode(errors="replace")
        if self._pending_bytes + len(line) > PENDING_MAX_BYTES:
            self.dropped_count += 1
        else:
            self._pending_lines.append(line)
            self._pending_bytes += len(line)
        return len(text)

    def flush(self) -> None:
        """Do nothing; call `write_pending` to write buffered lines."""

    def write_pending(self) -> None:
        """Write buffered lines until the buffer is empty or the descriptor would block."""
        if self.dropped_count and self._pending_bytes < PENDING_MAX_BYTES // 2:
            count, self.dropped_count = self.dropped_count, 0
            self.write(f'{{"message": "log lines left out", "count": {count}}}\n')
        while self._unwritten or self._pending_lines:
            if not self._unwritten:
                self._unwritten = self._take_lines()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            self._unwritten = self._unwritten[written:]
            self._pending_bytes -= written

    def _take_lines(self) -> bytes:
        """Remove and return the oldest lines that fit in one write, at least one line."""
        lines = [self._pending_lines.popleft()]
        size_bytes = len(lines[0])
        while self._pending_lines and size_bytes + len(self._pending_lines[0]) <= WRITE_MAX_BYTES:
            size_bytes += len(self._pending_lines[0])
            lines.append(self._pending_lines.popleft())
        return b"".join(lines)
