"""Handling of calls from peers in a bounded pool of threads."""

import concurrent.futures
import logging
import threading
import time
from collections.abc import Callable
from typing import Any

from fireflywharf_core.messages import MESSAGE_CODEC, Envelope
from fireflywharf_core.records import UndecodableError, UnknownTypeError

from ._frames import FrameKind, Sender
from ._outcomes import IncomingCall

_logger = logging.getLogger(__name__)

PURGE_INTERVAL_CALLS = 256


class CallHandler:
    """Runs the handler of incoming calls and sends its answers.

    Args:
        incarnation: incarnation of this process.
        on_call: returns the answer, or None if it replies later.
        put_frame: queues an answer; takes address, kind, body and the reason for counters.
        threads_count: calls handled at once.
        waiting_max: calls that wait for a thread; further ones are refused.
    """

    def __init__(
        self,
        incarnation: str,
        on_call: Callable[[IncomingCall], Any],
        put_frame: Callable[[str, FrameKind, bytes, str], None],
        threads_count: int,
        waiting_max: int,
    ) -> None:
        self.incarnation = incarnation
        self.on_call = on_call
        self.put_frame = put_frame
        self.threads_count = threads_count
        self.waiting_max = waiting_max
        self._call_slots = threading.BoundedSemaphore(threads_count + waiting_max)
        self._changed = threading.Condition()
        self._open_calls: set[IncomingCall] = set()
        self._is_draining = False
        self._pool = concurrent.futures.ThreadPoolExecutor(threads_count, "mesh-call")

    def accept_call(self, sender: Sender, envelope: Envelope) -> None:
        """Give a call to the pool, or refuse it.

        Args:
            sender: peer that calls.
            envelope: the call.
        """
        try:
            message = MESSAGE_CODEC.decode(envelope.payload)
        except (UnknownTypeError, UndecodableError) as error:
            self._refuse(sender, envelope, f"message cannot be read: {error}")
            return
        if not self._call_slots.acquire(blocking=False):
            self._refuse(sender, envelope, "too many calls wait")
            return
        deadline_s = time.monotonic() + envelope.budget_ms / 1000

        def send_reply(answer: Any | None) -> None:
            kind = FrameKind.FAILED if answer is None else FrameKind.ANSWER
            payload = b"" if answer is None else MESSAGE_CODEC.encode(answer)
            self._reply(sender, envelope, kind, payload, type(answer).__name__)
            self._remove_open_call(call)

        call = IncomingCall(sender, message, deadline_s, send_reply)
        with self._changed:
            is_draining = self._is_draining
            if not is_draining:
                self._open_calls.add(call)
                if len(self._open_calls) % PURGE_INTERVAL_CALLS == 0:
                    # A handler that never replies must not fill the memory.
                    now_s = time.monotonic()
                    self._open_calls = {c for c in self._open_calls if c.deadline_s > now_s}
        try:
            if not is_draining:
                self._pool.submit(self._handle, call, envelope)
                return
        except RuntimeError:
            self._remove_open_call(call)
        self._call_slots.release()
        self._refuse(sender, envelope, "the daemon is shutting down")

    def drain(self, deadline_s: float) -> bool:
        """Refuse new calls and wait for the replies to those that were accepted.

        Args:
            deadline_s: time of the monotonic clock.

        Returns:
            Whether no call is left whose caller still waits.
        """
        with self._changed:
            self._is_draining = True
            while True:
                now_s = time.monotonic()
                waiting = [call.deadline_s for call in self._open_calls if call.deadline_s > now_s]
                if not waiting or now_s >= deadline_s:
                    return not waiting
                self._changed.wait(min(max(waiting), deadline_s) - now_s)

    def close(self) -> None:
        """Stop the pool without waiting for handlers that run."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _remove_open_call(self, call: IncomingCall) -> None:
        with self._changed:
            self._open_calls.discard(call)
            self._changed.notify_all()

    def _handle(self, call: IncomingCall, envelope: Envelope) -> None:
        try:
            if time.monotonic() >= call.deadline_s:
                self._remove_open_call(call)
                self._refuse(call.sender, envelope, "the time budget passed before handling")
                return
            answer = self.on_call(call)
            if answer is not None:
                call.reply(answer)
        except Exception:
            _logger.exception("handler of a mesh call failed")
            call.fail()
        finally:
            self._call_slots.release()

    def _refuse(self, sender: Sender, envelope: Envelope, detail: str) -> None:
        self._reply(sender, envelope, FrameKind.REFUSED, detail.encode("utf-8"), "refused")

    def _reply(
        self, sender: Sender, envelope: Envelope, kind: FrameKind, payload: bytes, reason: str
    ) -> None:
        answer = Envelope(self.incarnation, envelope.call_id, envelope.budget_ms, payload)
        self.put_frame(sender.address, kind, MESSAGE_CODEC.encode(answer), reason)
