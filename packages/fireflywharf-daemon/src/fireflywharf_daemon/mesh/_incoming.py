"""Handling of incoming calls in a bounded thread pool."""

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
    """Runs the handler of incoming calls in a thread pool and sends the replies.

    Args:
        incarnation: incarnation of this process.
        on_call: handles a call; returns the answer, or None if it replies later.
        put_frame: queues a reply; takes the address, the kind, the body and the metric label.
        threads_count: number of calls that are handled concurrently.
        waiting_max: number of calls that can wait for a thread; further calls are refused.
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
        """Queue a call for a thread of the pool, or send a refusal.

        Args:
            sender: sender of the call.
            envelope: envelope with the call's number, time budget and message.
        """
        try:
            message = MESSAGE_CODEC.decode(envelope.payload)
        except (UnknownTypeError, UndecodableError) as error:
            self._refuse(sender, envelope, f"the message cannot be decoded: {error}")
            return
        if not self._call_slots.acquire(blocking=False):
            self._refuse(sender, envelope, "too many calls are waiting")
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
                    # Expired calls are removed, so that handlers that never reply do not use up
                    # the memory.
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
        """Refuse new calls and wait for the replies to the accepted ones.

        Args:
            deadline_s: monotonic time at which the wait ends.

        Returns:
            Whether every accepted call was answered or has expired.
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
        """Shut the pool down without waiting for running handlers."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _remove_open_call(self, call: IncomingCall) -> None:
        with self._changed:
            self._open_calls.discard(call)
            self._changed.notify_all()

    def _handle(self, call: IncomingCall, envelope: Envelope) -> None:
        try:
            if time.monotonic() >= call.deadline_s:
                self._remove_open_call(call)
                self._refuse(
                    call.sender, envelope, "the time budget was used up before the call was handled"
                )
                return
            answer = self.on_call(call)
            if answer is not None:
                call.reply(answer)
        except Exception:
            _logger.exception("mesh call handler failed")
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
