"""Sending side of the connection to one peer."""

import threading
import time
from collections import deque
from collections.abc import Callable

import attrs
import pynng

from ._frames import FRAME_OVERHEAD_BYTES

# A new connection needs a few round trips; a call waits this long before `Unreachable`.
CONNECT_GRACE_S = 0.3
RECONNECT_MIN_MS = 50
# A burst finds the connection busy for tens of microseconds; a silent peer, for good.
RETRY_MIN_S = 0.0001
RETRY_MAX_S = 0.05
# A peer that does not answer a ping this long after the last byte is connected anew, because a
# connection over a healed partition can stay in retransmission for two minutes.
PING_AFTER_S = 2.0
RESET_AFTER_S = 5.0


@attrs.define(slots=True)
class OutgoingFrame:
    """A frame that waits for its connection.

    Args:
        reason: message class or frame kind, for counters.
        build: returns the bytes at the time of sending.
        call_id: call that the frame starts, or 0.
        deadline_s: time after which the frame is dropped.
        replaces_older: whether a newer frame of the same reason replaces this one.
    """

    reason: str
    build: Callable[[], bytes]
    call_id: int = 0
    deadline_s: float = float("inf")
    replaces_older: bool = False


class Link:
    """Queue and socket to one peer; `pump` and `close` run in the sender thread only.

    Args:
        address: mesh address of the peer.
        queue_max_messages: frames that wait at most.
        reconnect_max_s: longest time between connection attempts.
    """

    def __init__(self, address: str, queue_max_messages: int, reconnect_max_s: float) -> None:
        self.address = address
        self.queue_max_messages = queue_max_messages
        self.reconnect_max_s = reconnect_max_s
        self.connection_id = 0
        self.disconnected_since_s = time.monotonic()
        self.last_received_s = time.monotonic()
        self.retry_at_s = 0.0
        self._retry_s = RETRY_MIN_S
        self._first_unanswered_s: float | None = None
        self._pinged = False
        self._lock = threading.Lock()
        self._queue: deque[OutgoingFrame] = deque()
        # Push0 of nng 1.11 can send through a connection that was freed, which ends the process.
        self._socket = pynng.Pair1(
            polyamorous=False,
            send_buffer_size=0,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=int(reconnect_max_s * 1000),
        )
        self._socket.tcp_nodelay = True
        self._socket.tcp_keepalive = True
        self._socket.dial(f"tcp://{address}", block=False)

    @property
    def is_unreachable(self) -> bool:
        """Whether there has been no connection for longer than one takes to open."""
        since_s = self.disconnected_since_s
        return self.connection_id == 0 and time.monotonic() - since_s > CONNECT_GRACE_S

    @property
    def has_queued_frames(self) -> bool:
        """Whether frames wait."""
        return bool(self._queue)

    def enqueue(self, item: OutgoingFrame) -> tuple[bool, str | None]:
        """Queue a frame.

        Args:
            item: the frame.

        Returns:
            Whether it was queued, and the reason of the frame that was dropped for it, if any.
        """
        with self._lock:
            if item.replaces_older:
                for older in self._queue:
                    if older.replaces_older and older.reason == item.reason:
                        self._queue.remove(older)
                        self._queue.append(item)
                        return True, older.reason
            if len(self._queue) >= self.queue_max_messages:
                return False, item.reason
            self._queue.append(item)
            return True, None

    def remove_call(self, call_id: int) -> bool:
        """Remove the frame of a call if it was not sent; returns whether it was removed."""
        with self._lock:
            for item in self._queue:
                if item.call_id == call_id:
                    self._queue.remove(item)
                    return True
        return False

    def note_received(self) -> None:
        """Note that the peer sent something."""
        self.last_received_s = time.monotonic()
        self._first_unanswered_s = None
        self._pinged = False

    def refresh_connection(self) -> bool:
        """Look at the state of the connection.

        Returns:
            Whether a connection was lost since the last look.
        """
        pipes = self._socket.pipes
        present = pipes[0].id if pipes else 0
        previous, self.connection_id = self.connection_id, present
        if previous != 0 and present == 0:
            self.disconnected_since_s = time.monotonic()
        if previous != present:
            self._first_unanswered_s = None
            self._pinged = False
            self.retry_at_s = 0.0
        return previous not in (0, present)

    def needs_ping(self, now_s: float) -> bool:
        """Return whether the peer was silent so long after a send that it has to be asked."""
        since_s = self._first_unanswered_s
        if self._pinged or since_s is None or now_s - since_s < PING_AFTER_S:
            return False
        self._pinged = True
        return True

    def reset_if_silent(self, now_s: float) -> bool:
        """Close a connection whose peer did not react for `RESET_AFTER_S`; a new one follows."""
        since_s = self._first_unanswered_s
        if since_s is None or now_s - since_s < RESET_AFTER_S:
            return False
        self._first_unanswered_s = None
        for pipe in self._socket.pipes:
            try:
                pipe.close()
            except pynng.NNGException:
                continue
        return True

    def send_next(self, now_s: float) -> tuple[OutgoingFrame, int] | None:
        """Take the oldest frame and send it unless its deadline has passed.

        Args:
            now_s: present time.

        Returns:
            The frame and its size on the wire, which is 0 if it had expired; None when nothing
            can be sent now.
        """
        with self._lock:
            if not self._queue:
                return None
            item = self._queue[0]
            if item.deadline_s <= now_s:
                self._queue.popleft()
                return item, 0
            data = item.build()
            try:
                self._socket.send(data, block=False)
            except pynng.NNGException:
                # No connection, or the peer does not read. Nothing left this process.
                self.retry_at_s = now_s + self._retry_s
                self._retry_s = min(RETRY_MAX_S, 2 * self._retry_s)
                return None
            self._queue.popleft()
        self._retry_s = RETRY_MIN_S
        if self._first_unanswered_s is None:
            self._first_unanswered_s = now_s
        return item, len(data) + FRAME_OVERHEAD_BYTES

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
