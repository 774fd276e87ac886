"""Calls of callers that are forwarded to another VM while this one cannot use the log."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Protocol

import attrs
import msgspec
from aiohttp import web

from fireflywharf_core.workflows import (
    TRIES_MAX,
    DetourPeers,
    PeerOutcome,
    VmPresent,
)

from ._background import BackgroundTasks, result_or_default
from ._http import Answer, HttpClient, NotSent
from ._metrics import WorkflowMetrics

_LOG = logging.getLogger(__name__)

CALLS_PATH = "/calls"
_HEAD_START_S = 0.005
"""Time in which this VM denies malformed calls and unknown keys by itself."""
_CHECK_S = 0.1
"""Time between two checks, during a call, whether the log still answers."""
_REPEATABLE_TIMEOUT_S = 0.8
"""Timeout at one peer of a call that may be repeated at another one."""
_TRY_MIN_S = 0.1
"""Remaining time below which no further peer is tried."""
_RETURN_S = 0.05
"""Part of the remaining time that is left for the way back."""
_CONNECTIONS_MAX = 16
_KEEPALIVE_S = 1.0
"""Time for which an idle connection to a peer is kept.

A submission on a connection that has gone silent ends with an unknown outcome."""
_FORWARDED_HEADERS = ("Host", "Authorization")
_CONNECTION_HEADERS = frozenset({"connection", "content-length", "date", "server"})
"""Headers of an answer that belong to the connection to the peer and not to the answer."""


class OutageResponse(web.Response):
    """The call had no effect and will have none, because this VM cannot use the log."""


@attrs.define(slots=True, eq=False)
class CallerRequest:
    """Request of a caller, received by this VM or by a peer.

    Args:
        method: HTTP method.
        path: path of the URL.
        headers: headers.
        deadline_s: local time until which the answer must be sent, in seconds.
        read_body: reads the body; may be called repeatedly.
    """

    method: str
    path: str
    headers: Mapping[str, str] = attrs.field(repr=False)
    deadline_s: float
    read_body: Callable[[], Awaitable[bytes]] = attrs.field(repr=False)
    _lock: asyncio.Lock = attrs.field(factory=asyncio.Lock, init=False, repr=False)

    async def read(self) -> bytes:
        """Return the body; concurrent calls wait for each other."""
        async with self._lock:
            return await self.read_body()

    @property
    def is_repeatable(self) -> bool:
        """Whether the call has no effect, so that it may be sent again without an answer."""
        return self.method == "GET"

    @property
    def job_id(self) -> str:
        """Last component of the path; empty if a queue is addressed."""
        return self.path.rpartition("/")[2]


@attrs.frozen(slots=True)
class CallMessage:
    """A call that a peer should carry out; the peer must not forward it again."""

    method: str
    path: str
    headers: dict[str, str] = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)
    remaining_ms: int
    version: int = 0
    """Version of the configuration that the peer must have at least."""


@attrs.frozen(slots=True)
class CallAnswer:
    """Answer to the caller, and the version of the configuration of the VM that gave it."""

    status: int
    headers: dict[str, str]
    body: bytes
    version: int = 0


class VersionFloor(Protocol):
    """Version of the configuration below which a VM must not answer callers.

    A caller that has seen the effect of a version, at whichever VM, must not get an answer of an
    older one from the same VM afterwards.

    Attributes:
        version: version of the configuration of this VM; 0 without one.
        version_floor: highest version of which this VM has passed on an answer, or its own.
    """

    version: int
    version_floor: int

    def raise_floor(self, version: int) -> None:
        """Answer no caller by an older version from now on."""


def _make_unknown() -> web.Response:
    body = msgspec.json.encode({"reason": "the peer did not answer"})
    return web.Response(status=504, body=body, content_type="application/json")


def _is_accepted(answer: web.Response | PeerOutcome) -> bool:
    return isinstance(answer, web.Response) and answer.status < 300


class CallForwarder:
    """Serves the callers of this VM through a peer while it cannot use the log itself.

    Args:
        own_vm: name of this VM.
        vms: returns the VMs of the deployment by name.
        is_answering: returns whether the log answers this VM.
        metrics: counts the forwarded calls.

    Attributes:
        floor: versions of the configuration of this VM; None if they do not matter.
    """

    def __init__(
        self,
        own_vm: str,
        vms: Callable[[], Mapping[str, VmPresent]],
        is_answering: Callable[[], bool],
        metrics: WorkflowMetrics,
    ) -> None:
        self._http = HttpClient(_CONNECTIONS_MAX, _KEEPALIVE_S)
        self._vms = vms
        self._is_answering = is_answering
        self._metrics = metrics
        self._peers = DetourPeers(own_vm)
        self._rng = random.Random(own_vm)
        self._background = BackgroundTasks("forwarding")
        self.floor: VersionFloor | None = None

    def can_forward(self) -> bool:
        """Return whether callers of this VM can presumably be served by a peer."""
        return self._peers.can_forward(self._vms(), time.monotonic())

    async def open(self) -> None:
        """Prepare the client; requires a running event loop."""
        await self._http.open()

    async def close(self) -> None:
        """Cancel the forwarded calls that are in progress and close the connections."""
        await self._background.close()
        await self._http.close()

    async def serve(
        self, call: CallerRequest, serve_here: Callable[[], Awaitable[web.Response]]
    ) -> web.Response:
        """Serve a call here, or through a peer if the log does not answer this VM.

        Args:
            call: the call.
            serve_here: serves the call with the own access to the log.
        """
        if call.is_repeatable:
            return await self._serve_repeatable(call, serve_here)
        own = asyncio.ensure_future(serve_here())
        try:
            await asyncio.wait({own}, timeout=_HEAD_START_S)
            while self._is_answering() and not own.done():
                await asyncio.wait({own}, timeout=_CHECK_S)
            if own.done() and not isinstance(own.result(), OutageResponse):
                return own.result()
            forward = result_or_default(self._forward(call), PeerOutcome.NO_ANSWER, "peer")
            return await self._combine(own, self._background.spawn(forward))
        finally:
            # An append that was sent goes on, and its record stays in its group.
            own.cancel()

    async def _serve_repeatable(
        self, call: CallerRequest, serve_here: Callable[[], Awaitable[web.Response]]
    ) -> web.Response:
        own = await serve_here() if self._is_answering() else None
        if own is not None and not isinstance(own, OutageResponse):
            return own
        answer = await self._forward(call)
        if isinstance(answer, web.Response):
            return answer
        return await serve_here() if own is None else own

    async def _combine(self, own: asyncio.Future, peer: asyncio.Future) -> web.Response:
        """Return the answer to a call with an effect that is tried here and at a peer.

        A rejection may be reported only if the call has certainly no effect on either side.
        """
        waiting = {own, peer}
        while waiting:
            done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            for future in done:
                if _is_accepted(future.result()):
                    return future.result()
        if not isinstance(own.result(), OutageResponse):
            return own.result()
        match peer.result():
            case web.Response() as answer:
                return answer
            case PeerOutcome.NO_ANSWER:
                return _make_unknown()
        return own.result()

    async def _forward(self, call: CallerRequest) -> web.Response | PeerOutcome:
        """Send a call to peers until one answers it or may have carried it out."""
        started_s = time.monotonic()
        tried: list[str] = []
        outcome: PeerOutcome | None = None
        answer: web.Response | None = None
        try:
            async with asyncio.timeout(call.deadline_s - started_s):
                body = await call.read()
        except TimeoutError:
            return PeerOutcome.NO_STORE
        while len(tried) < TRIES_MAX and call.deadline_s - time.monotonic() > _TRY_MIN_S:
            vms = self._vms()
            name = self._peers.choose(vms, tried, time.monotonic(), self._rng.random())
            if name is None:
                break
            tried.append(name)
            outcome, answer = await self._call_peer(vms[name].address, call, body)
            self._peers.observe(name, outcome, time.monotonic())
            if outcome is PeerOutcome.ANSWERED:
                break
            if outcome is PeerOutcome.NO_ANSWER and not call.is_repeatable:
                break
        if outcome is None:
            self._metrics.forwarded_calls.labels("no_peer").inc()
            return PeerOutcome.NO_STORE
        if outcome.is_undone:
            self._peers.observe_undone(time.monotonic())
        self._metrics.forwarded_calls.labels(outcome.value).inc()
        _LOG.info(
            "call forwarded",
            extra={
                "job_id": call.job_id,
                "method": call.method,
                "peer": tried[-1],
                "tries": len(tried),
                "result": outcome.value,
                "status": None if answer is None else answer.status,
                "ms": round((time.monotonic() - started_s) * 1000),
            },
        )
        return outcome if answer is None else answer

    async def _call_peer(
        self, address: str, call: CallerRequest, body: bytes
    ) -> tuple[PeerOutcome, web.Response | None]:
        remaining_s = call.deadline_s - time.monotonic()
        if call.is_repeatable:
            remaining_s = min(remaining_s, _REPEATABLE_TIMEOUT_S)
        message = CallMessage(
            call.method,
            call.path,
            {name: call.headers[name] for name in _FORWARDED_HEADERS if name in call.headers},
            body,
            int((remaining_s - _RETURN_S) * 1000),
            0 if self.floor is None else self.floor.version_floor,
        )
        try:
            content = msgspec.msgpack.encode(message)
        except UnicodeEncodeError:
            # A header of the caller is not valid text.
            return PeerOutcome.NOT_SENT, None
        result = await self._http.call(
            "POST", f"http://{address}{CALLS_PATH}", timeout_s=remaining_s, body=content
        )
        match result:
            case Answer(200, content):
                try:
                    answer = msgspec.msgpack.decode(content, type=CallAnswer)
                except (msgspec.DecodeError, RecursionError):
                    return PeerOutcome.NO_ANSWER, None
                if call.is_repeatable and answer.status == 504:
                    # Another peer, or the memory of this VM, may have the answer in time.
                    return PeerOutcome.NO_ANSWER, None
                if self.floor is not None:
                    self.floor.raise_floor(answer.version)
                response = web.Response(
                    status=answer.status, headers=answer.headers, body=answer.body
                )
                return PeerOutcome.ANSWERED, response
            case Answer(429):
                return PeerOutcome.BUSY, None
            case Answer(status) if status == 503 or 400 <= status < 500:
                return PeerOutcome.NO_STORE, None
            case NotSent():
                return PeerOutcome.NOT_SENT, None
        return PeerOutcome.NO_ANSWER, None


class TakenCalls:
    """Serves calls that peers have forwarded; none of them is forwarded again.

    Args:
        calls_max: maximum number of such calls at the same time.
        can_serve: returns whether this VM can use the log.
        metrics: counts the calls.

    Attributes:
        handler: serves a call as one of a caller of this VM; None before the entry is open.
        floor: versions of the configuration of this VM; None if they do not matter.
    """

    def __init__(
        self, calls_max: int, can_serve: Callable[[], bool], metrics: WorkflowMetrics
    ) -> None:
        self._calls_max = calls_max
        self._can_serve = can_serve
        self._metrics = metrics
        self._count = 0
        self.handler: Callable[[CallerRequest], Awaitable[web.Response]] | None = None
        self.floor: VersionFloor | None = None

    async def serve(self, message: CallMessage) -> web.Response:
        """Return the answer to the peer: that to its caller, or that nothing was done."""
        is_outdated = self.floor is not None and self.floor.version < message.version
        if self.handler is None or is_outdated or not self._can_serve():
            return self._refuse(PeerOutcome.NO_STORE, 503)
        if self._count >= self._calls_max:
            return self._refuse(PeerOutcome.BUSY, 429)
        self._count += 1
        try:
            response = await self._handle(message)
        finally:
            self._count -= 1
        if isinstance(response, OutageResponse):
            return self._refuse(PeerOutcome.NO_STORE, 503)
        self._metrics.taken_calls.labels(PeerOutcome.ANSWERED.value).inc()
        headers = {
            name: value
            for name, value in response.headers.items()
            if name.lower() not in _CONNECTION_HEADERS
        }
        version = 0 if self.floor is None else self.floor.version
        answer = CallAnswer(response.status, headers, bytes(response.body or b""), version)
        return web.Response(body=msgspec.msgpack.encode(answer))

    async def _handle(self, message: CallMessage) -> web.Response:
        async def read_body() -> bytes:
            return message.body

        remaining_s = message.remaining_ms / 1000.0
        call = CallerRequest(
            message.method,
            message.path,
            message.headers,
            time.monotonic() + remaining_s,
            read_body,
        )
        try:
            async with asyncio.timeout(remaining_s):
                return await self.handler(call)
        except TimeoutError:
            return _make_unknown()

    def _refuse(self, outcome: PeerOutcome, status: int) -> web.Response:
        self._metrics.taken_calls.labels(outcome.value).inc()
        return web.Response(status=status, text=outcome.value)
