"""Stream for log lines that never blocks and holds a bounded amount."""

import os
import select
from collections import deque

HELD_MAX_BYTES = 1 << 20
"""Most bytes that wait for a reader; about ten seconds of the scheduler's lines at high load."""
WRITE_MAX_BYTES = select.PIPE_BUF
"""Most bytes of one write, unless a line is longer. A pipe takes that much whole or not at all, and
collectors that cut a longer write lose the end of a line and all lines after it."""


class BoundedStream:
    r"""Collects log lines and writes them when `write_pending` is called.

    A reader that does not keep up costs lines, never time. The number of lines left out is written
    as a line of its own.

    Args:
        descriptor: file descriptor to write to; it is made non-blocking.

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
        self._held: deque[bytes] = deque()
        self._held_bytes = 0
        self._rest = b""
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Hold a line, or count it as left out."""
        line = text.encode(errors="replace")
        if self._held_bytes + len(line) > HELD_MAX_BYTES:
            self.dropped_count += 1
        else:
            self._held.append(line)
            self._held_bytes += len(line)
        return len(text)

    def flush(self) -> None:
        """Do nothing; `write_pending` writes."""

    def write_pending(self) -> None:
        """Write as much as the reader takes at once."""
        if self.dropped_count and self._held_bytes < HELD_MAX_BYTES // 2:
            count, self.dropped_count = self.dropped_count, 0
            self.write(f'{{"message": "log lines left out", "count": {count}}}\n')
        while self._rest or self._held:
            if not self._rest:
                self._rest = self._take_lines()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            self._rest = self._rest[written:]
            self._held_bytes -= written

    def _take_lines(self) -> bytes:
        """Return the oldest lines that fit in one write, or one line that is longer."""
        lines = [self._held.popleft()]
        size_bytes = len(lines[0])
        while self._held and size_bytes + len(self._held[0]) <= WRITE_MAX_BYTES:
            size_bytes += len(self._held[0])
            lines.append(self._held.popleft())
        return b"".join(lines)
