"""Mesh of entry VMs, with a sender thread, a receiver thread and a pool for incoming calls."""

import concurrent.futures
import logging
import threading
import time
from collections.abc import Callable
from typing import Any

import pynng

from fireflywharf_core.messages import MESSAGE_CODEC, DomainDigest, Envelope, Heartbeat
from fireflywharf_core.records import UndecodableError, UnknownTypeError

from ._calls import CallTable, PendingCall
from ._frames import (
    FRAME_OVERHEAD_BYTES,
    MESSAGE_MAX_BYTES,
    Frame,
    FrameKind,
    Sender,
    decode_frame,
    encode_frame,
    is_peer_address,
)
from ._incoming import CallHandler
from ._link import Link, OutgoingFrame
from ._outcomes import CallRefused, IncomingCall, MeshObserver, NoAnswer, Unreachable
from ._wake import wake_receiver

_logger = logging.getLogger(__name__)

LINKS_MAX_COUNT = 512
# Longest time between rounds of the sender thread: with pending calls, and without.
ROUND_INTERVAL_S, IDLE_ROUND_INTERVAL_S = 0.1, 0.5
ROUND_INTERVAL_MIN_S = 0.0001
# Interval of the checks for a new connection while frames are queued.
CONNECT_POLL_S = 0.01
# The sender thread finishes calls at their deadline; the margin covers its delay under load.
CALL_TIMEOUT_MARGIN_S = 2.0
STOP_TIMEOUT_S = 2.0
# A failed connection attempt costs about 1.6 ms of processor time in nng: 70 lost peers with one
# attempt per second would take a tenth of a core. Peers of other domains are tried less often.
RECONNECT_MAX_S, DOMAIN_RECONNECT_MAX_S = 8.0, 1.0
# Wait before sockets are closed, because nng then drops frames that its transport has not written.
FLUSH_WAIT_S = 0.05
_REPLACED_BY_NEWER = (Heartbeat, DomainDigest)
_REACTIONS = frozenset({FrameKind.PONG, FrameKind.ANSWER, FrameKind.REFUSED, FrameKind.FAILED})
"""Kinds of frames that a peer sends only after it has received one."""


class Mesh:
    """Transport for messages and calls between entry VMs.

    Args:
        listen: mesh address `ip:port` on which this process listens and peers reply.
        incarnation: incarnation of this process.
        on_message: receives the sender and the message; runs in the receiver thread and must not
            block.
        on_call: receives an `IncomingCall` in a thread of the pool; returns the answer, or None
            if it calls `IncomingCall.reply` later, from any thread.
        domain_peers: addresses of the peers in the local failure domain, to which connections are
            retried at least every `DOMAIN_RECONNECT_MAX_S`.
        call_threads_count: number of incoming calls that are handled concurrently.
        queue_max_messages: largest number of frames queued per peer, and of incoming calls that
            wait for a thread; further ones are refused.
        observer: counts traffic and dropped frames.

    Example:
        >>> mesh = Mesh("127.0.0.1:7101", "entry-1#1", print, lambda call: None)
        >>> mesh.start()
        >>> mesh.close()
    """

    def __init__(
        self,
        listen: str,
        incarnation: str,
        on_message: Callable[[Sender, Any], None],
        on_call: Callable[[IncomingCall], Any],
        domain_peers: frozenset[str] = frozenset(),
        call_threads_count: int = 16,
        queue_max_messages: int = 1000,
        observer: MeshObserver | None = None,
    ) -> None:
        self.listen = listen
        self.incarnation = incarnation
        self.on_message = on_message
        self.on_call = on_call
        self.domain_peers = domain_peers
        self.call_threads_count = call_threads_count
        self.queue_max_messages = queue_max_messages
        self.observer = observer
        self._sender = Sender(incarnation, listen)
        self._calls, self._links = CallTable(), dict[str, Link]()
        self._changed = threading.Condition()
        self._stopping = False
        self._receiver_socket: pynng.Pair1 | None = None
        self._handler = CallHandler(
            incarnation, on_call, self._put_control, call_threads_count, queue_max_messages
        )
        self._threads: list[threading.Thread] = []

    def start(self) -> None:
        """Bind the mesh address and start the sender and receiver threads.

        Raises:
            OSError: The address cannot be bound.
        """
        # The socket has no receive timeout; see `wake_receiver`.
        receiver = pynng.Pair1(polyamorous=True, recv_max_size=MESSAGE_MAX_BYTES)
        try:
            receiver.listen(f"tcp://{self.listen}")
        except pynng.NNGException as error:
            receiver.close()
            raise OSError(f"cannot listen on mesh address {self.listen}: {error}") from error
        self._receiver_socket = receiver
        for name, target in (("mesh-send", self._send_loop), ("mesh-receive", self._receive_loop)):
            thread = threading.Thread(target=target, name=name, daemon=True)
            self._threads.append(thread)
            thread.start()

    def send(self, address: str, message: Any) -> bool:
        """Queue a one-way message without blocking.

        Args:
            address: mesh address of the peer.
            message: message of `MESSAGE_CODEC`.

        Returns:
            Whether the message was queued. A queued message can still be lost.
        """
        data = encode_frame(FrameKind.MESSAGE, self._sender, MESSAGE_CODEC.encode(message))
        replaces_older = isinstance(message, _REPLACED_BY_NEWER)
        item = OutgoingFrame(type(message).__name__, lambda: data, replaces_older=replaces_older)
        return self._enqueue_frame(address, item, len(data))

    def call(self, address: str, message: Any, budget_ms: int) -> Any:
        """Call a peer and block until the outcome is known.

        Args:
            address: mesh address of the peer.
            message: message of `MESSAGE_CODEC`.
            budget_ms: longest wait for the answer, in milliseconds.

        Returns:
            The answer, or `Unreachable`, `CallRefused` or `NoAnswer`.
        """
        outcome: concurrent.futures.Future[Any] = concurrent.futures.Future()
        self.start_call(address, message, budget_ms, outcome.set_result)
        try:
            return outcome.result(budget_ms / 1000 + CALL_TIMEOUT_MARGIN_S)
        except concurrent.futures.TimeoutError:
            return NoAnswer("the sender thread of the mesh did not finish the call in time")

    def start_call(
        self, address: str, message: Any, budget_ms: int, on_done: Callable[[Any], None]
    ) -> None:
        """Start a call to a peer and return at once.

        Args:
            address: mesh address of the peer.
            message: message of `MESSAGE_CODEC`.
            budget_ms: time after which the call fails with `Unreachable` or `NoAnswer`, in
                milliseconds.
            on_done: receives the outcome once, in a thread of the mesh or in the calling thread;
                must not block.
        """
        if budget_ms <= 0:
            on_done(Unreachable("the time budget is used up"))
            return
        link = self._get_or_create_link(address)
        if link is None or link.is_unreachable:
            on_done(Unreachable(f"no connection to {address}"))
            return
        payload = MESSAGE_CODEC.encode(message)
        deadline_s = time.monotonic() + budget_ms / 1000
        call_id = self._calls.add(PendingCall(address, deadline_s, on_done))

        def build() -> bytes:
            remaining_ms = max(1, int((deadline_s - time.monotonic()) * 1000))
            envelope = Envelope(self.incarnation, call_id, remaining_ms, payload)
            return encode_frame(FrameKind.CALL, self._sender, MESSAGE_CODEC.encode(envelope))

        item = OutgoingFrame(type(message).__name__, build, call_id, deadline_s)
        if not self._enqueue_frame(address, item, len(payload)):
            detail = f"the queue for {address} is full or the message is too large"
            self._calls.finish(call_id, Unreachable(detail))

    def drain(self, deadline_s: float) -> bool:
        """Refuse new calls of peers and wait for the replies to the accepted ones.

        Args:
            deadline_s: longest wait in seconds.

        Returns:
            Whether every accepted call was answered or has expired.
        """
        return self._handler.drain(time.monotonic() + deadline_s)

    def close(self) -> None:
        """Flush the queues of open connections, fail the pending calls and close all sockets."""
        with self._changed:
            if self._stopping:
                return
            self._stopping = True
            self._changed.notify_all()
        self._handler.close()
        if self._threads:
            wake_receiver(self._sender, STOP_TIMEOUT_S)
        for thread in self._threads:
            thread.join(STOP_TIMEOUT_S)
        if self._receiver_socket is not None and not self._threads[-1].is_alive():
            self._receiver_socket.close()
        self._calls.fail_all("the daemon is shutting down")
        for link in self._links.values():
            link.close()

    def _get_or_create_link(self, address: str) -> Link | None:
        with self._changed:
            link = self._links.get(address)
            if link is not None:
                return link
            if self._stopping or len(self._links) >= LINKS_MAX_COUNT:
                return None
            if not is_peer_address(address):
                return None
            reconnect_max_s = (
                DOMAIN_RECONNECT_MAX_S if address in self.domain_peers else RECONNECT_MAX_S
            )
            link = Link(address, self.queue_max_messages, reconnect_max_s)
            self._links[address] = link
            return link

    def _enqueue_frame(self, address: str, item: OutgoingFrame, size_bytes: int) -> bool:
        link = self._get_or_create_link(address)
        if link is None or size_bytes > MESSAGE_MAX_BYTES - 1024:
            self._count_dropped(address, item.reason)
            return False
        queued, dropped = link.enqueue(item)
        if dropped is not None:
            self._count_dropped(address, dropped)
        with self._changed:
            self._changed.notify()
        return queued

    def _count_dropped(self, address: str, reason: str) -> None:
        if self.observer is not None:
            self.observer.mesh_dropped(address, reason)

    def _put_control(self, address: str, kind: FrameKind, body: bytes, reason: str = "") -> None:
        data = encode_frame(kind, self._sender, body)
        self._enqueue_frame(
            address, OutgoingFrame(reason or kind.name.lower(), lambda: data), len(data)
        )

    def _send_loop(self) -> None:
        while not self._stopping:
            try:
                wait_s = self._run_send_round()
            except Exception:
                _logger.exception("mesh sender round failed")
                wait_s = ROUND_INTERVAL_S
            with self._changed:
                if not self._stopping and wait_s > 0:
                    self._changed.wait(wait_s)
        end_s = time.monotonic() + FLUSH_WAIT_S
        while time.monotonic() < end_s and any(
            link.has_queued_frames for link in self._links.values()
        ):
            time.sleep(self._run_send_round() / 10)
        time.sleep(FLUSH_WAIT_S)

    def _run_send_round(self) -> float:
        """Send queued frames and finish expired calls.

        Returns:
            Time until the next round, in seconds.
        """
        now_s = time.monotonic()
        next_s = now_s + (ROUND_INTERVAL_S if len(self._calls) else IDLE_ROUND_INTERVAL_S)
        with self._changed:
            links = list(self._links.values())
        for link in links:
            self._check_connection(link, now_s)
            while (
                link.retry_at_s <= now_s and (frame_and_size := link.send_next(now_s)) is not None
            ):
                self._handle_dequeued_frame(link, *frame_and_size)
            if link.has_queued_frames and not link.is_unreachable:
                poll_s = 0.0 if link.connection_id else CONNECT_POLL_S
                next_s = min(next_s, max(link.retry_at_s, now_s + poll_s))
        for call_id, call in self._calls.take_expired(now_s):
            self._finish_expired_call(call_id, call)
        deadline_s = self._calls.next_deadline_s()
        if deadline_s is not None:
            next_s = min(next_s, deadline_s)
        return max(ROUND_INTERVAL_MIN_S, next_s - time.monotonic())

    def _check_connection(self, link: Link, now_s: float) -> None:
        lost = link.refresh_connection()
        if lost:
            for call_id, call in self._calls.calls_to_peer(link.address):
                if call.sent:
                    detail = f"the connection to {link.address} was lost"
                    self._calls.finish(call_id, NoAnswer(detail))
        if link.is_unreachable:
            detail = f"no connection to {link.address}"
            for call_id, _ in self._calls.calls_to_peer(link.address):
                if link.remove_call(call_id):
                    self._calls.finish(call_id, Unreachable(detail))
        if link.needs_ping(now_s):
            self._put_control(link.address, FrameKind.PING, b"")
        if link.reset_if_unresponsive(now_s):
            _logger.info("mesh peer %s does not answer; connection reset", link.address)

    def _handle_dequeued_frame(self, link: Link, item: OutgoingFrame, size_bytes: int) -> None:
        if size_bytes == 0:
            self._count_dropped(link.address, item.reason)
            self._calls.finish(
                item.call_id, Unreachable(f"the call to {link.address} was not sent in time")
            )
            return
        # This thread alone sends frames and handles lost connections and expiry, so a sent call is
        # always marked as sent before its outcome is determined.
        self._calls.mark_sent(item.call_id)
        if self.observer is not None:
            self.observer.mesh_sent(link.address, item.reason, size_bytes)

    def _finish_expired_call(self, call_id: int, call: PendingCall) -> None:
        link = self._links.get(call.address)
        if link is not None:
            link.remove_call(call_id)
        if not call.sent:
            outcome: Any = Unreachable(f"the call to {call.address} was not sent in time")
        else:
            outcome = NoAnswer(f"{call.address} did not answer in time")
        self._calls.finish(call_id, outcome)

    def _receive_loop(self) -> None:
        receiver = self._receiver_socket
        while not self._stopping and receiver is not None:
            try:
                data = receiver.recv()
            except pynng.Closed:
                return
            except pynng.NNGException as error:
                _logger.warning("mesh receiver failed to receive: %s", error)
                continue
            except RuntimeError:
                # pynng 0.9 raises this for an empty message.
                data = b""
            try:
                self._handle_frame_bytes(data)
            except Exception:
                _logger.exception("mesh message handler failed")

    def _handle_frame_bytes(self, data: bytes) -> None:
        frame = decode_frame(data)
        if frame is None:
            self._count_dropped("", "undecodable")
            return
        address = frame.sender.address
        link = self._links.get(address)
        if link is not None:
            link.note_received(frame.kind in _REACTIONS)
        match frame.kind:
            case FrameKind.PING:
                self._put_control(address, FrameKind.PONG, b"")
                self._count_received(address, "ping", data)
            case FrameKind.PONG:
                self._count_received(address, "pong", data)
            case FrameKind.MESSAGE:
                message = self._decode(frame, data)
                if message is not None:
                    self.on_message(frame.sender, message)
            case FrameKind.CALL | FrameKind.ANSWER | FrameKind.REFUSED | FrameKind.FAILED:
                envelope = self._decode(frame, data)
                if isinstance(envelope, Envelope):
                    self._receive_envelope(frame, envelope)
            case _:
                self._count_dropped(address, "unknown_kind")

    def _count_received(self, address: str, reason: str, data: bytes) -> None:
        if self.observer is not None:
            self.observer.mesh_received(address, reason, len(data) + FRAME_OVERHEAD_BYTES)

    def _decode(self, frame: Frame, data: bytes) -> Any | None:
        try:
            message = MESSAGE_CODEC.decode(frame.body)
        except UnknownTypeError:
            self._count_dropped(frame.sender.address, "unknown_type")
            return None
        except UndecodableError:
            self._count_dropped(frame.sender.address, "undecodable")
            return None
        self._count_received(frame.sender.address, type(message).__name__, data)
        return message

    def _receive_envelope(self, frame: Frame, envelope: Envelope) -> None:
        address, call_id = frame.sender.address, envelope.call_id
        match frame.kind:
            case FrameKind.CALL:
                self._handler.accept_call(frame.sender, envelope)
            case FrameKind.REFUSED:
                detail = envelope.payload.decode("utf-8", "replace")
                self._calls.finish(call_id, CallRefused(detail), address)
            case FrameKind.FAILED:
                detail = f"the call handler of {address} failed"
                self._calls.finish(call_id, NoAnswer(detail), address)
            case FrameKind.ANSWER:
                try:
                    outcome = MESSAGE_CODEC.decode(envelope.payload)
                except (UnknownTypeError, UndecodableError) as error:
                    outcome = NoAnswer(f"the answer of {address} cannot be decoded: {error}")
                self._calls.finish(call_id, outcome, address)
