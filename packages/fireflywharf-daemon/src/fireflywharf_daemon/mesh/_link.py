"""Outgoing connection to one peer, with its queue of frames."""

import threading
import time
from collections import deque
from collections.abc import Callable

import attrs
import pynng

from ._frames import FRAME_OVERHEAD_BYTES

# Opening a connection takes a few round trips, so a peer counts as unreachable only after this time
# without one.
CONNECT_GRACE_S = 0.3
RECONNECT_MIN_MS = 50
# After a burst of frames the socket is writable again within tens of microseconds. If the peer does
# not read, it stays blocked, so the interval doubles up to the maximum.
RETRY_MIN_S = 0.0001
RETRY_MAX_S = 0.05
# Times since the first frame that the peer did not react to, until a ping and until a reset of the
# connection. The reset is necessary because TCP can stay in retransmission for two minutes after a
# network partition has healed.
PING_AFTER_S = 2.0
RESET_AFTER_S = 5.0


@attrs.define(slots=True)
class OutgoingFrame:
    """A queued frame.

    Args:
        reason: message class or frame kind; label of the traffic metrics.
        build: returns the encoded frame; called when the frame is sent.
        call_id: number of the call that the frame carries, or 0.
        deadline_s: monotonic time after which the frame is dropped.
        replaces_older: whether the frame replaces a queued one with the same reason.
    """

    reason: str
    build: Callable[[], bytes]
    call_id: int = 0
    deadline_s: float = float("inf")
    replaces_older: bool = False


class Link:
    """Queue and socket of one peer.

    Only the sender thread of the mesh calls `refresh_connection`, `needs_ping`,
    `reset_if_unresponsive` and `send_next`.

    Args:
        address: mesh address of the peer.
        queue_max_messages: largest number of queued frames.
        reconnect_max_s: longest time between connection attempts, in seconds.

    Attributes:
        connection_id: identifier of the open connection, or 0.
        disconnected_since_s: monotonic time since which there has been no connection.
        last_received_s: monotonic time of the last frame from the peer.
        retry_at_s: monotonic time before which no send is attempted.
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
        # Pair1 instead of Push0, which in nng 1.11 can send through a freed connection and crash
        # the process.
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
        """Whether there has been no connection for more than `CONNECT_GRACE_S`."""
        since_s = self.disconnected_since_s
        return self.connection_id == 0 and time.monotonic() - since_s > CONNECT_GRACE_S

    @property
    def has_queued_frames(self) -> bool:
        """Whether frames are queued."""
        return bool(self._queue)

    def enqueue(self, item: OutgoingFrame) -> tuple[bool, str | None]:
        """Queue a frame, in place of an older one if `replaces_older` is set.

        Args:
            item: frame to queue.

        Returns:
            Whether the frame was queued, and the reason of the frame that was dropped: the replaced
            one, this one if the queue is full, or None.
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
        """Remove the queued frame of a call.

        Args:
            call_id: number of the call.

        Returns:
            Whether the frame was still queued.
        """
        with self._lock:
            for item in self._queue:
                if item.call_id == call_id:
                    self._queue.remove(item)
                    return True
        return False

    def note_received(self, is_reaction: bool) -> None:
        """Record that a frame of the peer arrived.

        Args:
            is_reaction: whether the peer sent it because of a frame that it received on this
                connection. Other frames arrive on a connection of the peer, and show nothing about
                this one.
        """
        self.last_received_s = time.monotonic()
        if is_reaction:
            self._first_unanswered_s = None
            self._pinged = False

    def refresh_connection(self) -> bool:
        """Update `connection_id` from the socket.

        Returns:
            Whether a connection was lost since the previous call.
        """
        pipes = self._socket.pipes
        current_id = pipes[0].id if pipes else 0
        previous_id, self.connection_id = self.connection_id, current_id
        if previous_id != 0 and current_id == 0:
            self.disconnected_since_s = time.monotonic()
        if previous_id != current_id:
            self._first_unanswered_s = None
            self._pinged = False
            self.retry_at_s = 0.0
        return previous_id not in (0, current_id)

    def needs_ping(self, now_s: float) -> bool:
        """Return whether a ping is due because the peer did not react for `PING_AFTER_S`.

        Returns True at most once until the peer reacts or the connection changes.
        """
        since_s = self._first_unanswered_s
        if self._pinged or since_s is None or now_s - since_s < PING_AFTER_S:
            return False
        self._pinged = True
        return True

    def reset_if_unresponsive(self, now_s: float) -> bool:
        """Close the connection if the peer did not react for `RESET_AFTER_S`; nng opens a new one.

        Returns:
            Whether the connection was closed.
        """
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
        """Remove the oldest frame from the queue and send it unless its deadline has passed.

        Args:
            now_s: current monotonic time.

        Returns:
            The frame and its size on the wire in bytes, 0 if the frame had expired; None if
            nothing can be sent now.
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
                # There is no connection, or the peer does not read; no bytes were sent.
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
