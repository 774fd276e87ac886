"""HTTP client whose outcomes tell whether a request may have taken effect."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Mapping
from enum import Enum

import aiohttp
import attrs
import msgspec

CONNECT_S = 0.6
"""Connection timeout; a new attempt is faster than the resending of a lost SYN after one second."""
USER_TIMEOUT_MS = 1500
"""Time without a TCP acknowledgement after which the kernel drops a connection.

Without it, a network partition or a silenced connection would go unnoticed."""
_KEEPALIVE_S = 60.0
_STALL_MIN_S = 0.05
"""Delay of a timer from which the event loop counts as stalled."""
_TURNS_AFTER_STALL_COUNT = 8
"""Turns of the event loop in which an answer that arrived during a stall is read."""


@attrs.frozen(slots=True)
class Answer:
    """A complete response.

    Args:
        status: HTTP status code.
        body: response body.
    """

    status: int
    body: bytes

    def json(self) -> dict:
        """Return the body as a JSON object; empty if it is not one."""
        try:
            value = msgspec.json.decode(self.body)
        except (msgspec.DecodeError, RecursionError):
            return {}
        return value if isinstance(value, dict) else {}


@attrs.frozen(slots=True)
class NotSent:
    """The request was not sent, because the connection could not be established."""

    reason: str


@attrs.frozen(slots=True)
class NoAnswer:
    """The request may have taken effect, or may do so later."""

    reason: str


HttpOutcome = Answer | NotSent | NoAnswer


class Connection(Enum):
    """Connection that a request may use."""

    ANY = "any"
    """Any idle connection to the address, or a new one."""
    DEDICATED = "dedicated"
    """The only connection to the address for such requests, which is opened if there is none."""
    UNCHANGED = "unchanged"
    """The dedicated connection of the request before, which leads to the same process."""


class _ConnectionChangedError(aiohttp.ClientConnectionError):
    """The dedicated connection of the request before has been closed."""


async def _keep_connection(_session, context, _params) -> None:
    if context.trace_request_ctx is Connection.UNCHANGED:
        raise _ConnectionChangedError("the connection has been closed")


def _make_socket(info) -> socket.socket:
    family, kind, protocol = info[:3]
    sock = socket.socket(family=family, type=kind, proto=protocol)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return sock


@contextlib.asynccontextmanager
async def stall_tolerant_timeout(timeout_s: float) -> AsyncIterator[None]:
    """Limit the duration of a block, but not by the time in which this process could not run.

    After a pause of the process or a long turn of the event loop, the timer fires before answers
    that arrived in time have been read. A worker would then count as silent although it answered.

    Args:
        timeout_s: limit, in seconds.

    Raises:
        TimeoutError: the block did not end in time.
    """
    loop = asyncio.get_running_loop()
    due_s = loop.time() + timeout_s

    def expire(turns_left: int) -> None:
        nonlocal handle
        if turns_left:
            handle = loop.call_soon(expire, turns_left - 1)
        else:
            limit.reschedule(loop.time())

    def handle_due() -> None:
        stalled = loop.time() - due_s > _STALL_MIN_S
        expire(_TURNS_AFTER_STALL_COUNT if stalled else 0)

    async with asyncio.timeout(None) as limit:
        handle = loop.call_at(due_s, handle_due)
        try:
            yield
        finally:
            handle.cancel()


class HttpClient:
    """HTTP client that reuses connections and never retries a request.

    Args:
        connections_max: maximum number of connections per address.
    """

    def __init__(self, connections_max: int) -> None:
        self._connections_max = connections_max
        self._session: aiohttp.ClientSession | None = None
        self._dedicated_session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Create the sessions; requires a running event loop."""
        self._session = self._make_session(self._connections_max)
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_start.append(_keep_connection)
        self._dedicated_session = self._make_session(1, trace)

    @staticmethod
    def _make_session(connections_max: int, *traces: aiohttp.TraceConfig) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                limit_per_host=connections_max,
                keepalive_timeout=_KEEPALIVE_S,
                socket_factory=_make_socket,
                use_dns_cache=False,
            ),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            trace_configs=list(traces),
        )

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._session, self._dedicated_session):
            if session is not None:
                await session.close()

    async def call(
        self,
        method: str,
        url: str,
        *,
        timeout_s: float,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        silence_s: float | None = None,
        connection: Connection = Connection.ANY,
    ) -> HttpOutcome:
        """Send a request and read the complete response.

        Args:
            method: HTTP method.
            url: URL of the request.
            timeout_s: total timeout, in seconds.
            body: request body.
            headers: additional headers.
            silence_s: maximum silence within the response, in seconds; None for no limit.
            connection: connection that the request may use.
        """
        is_shared = connection is Connection.ANY
        session = self._session if is_shared else self._dedicated_session
        try:
            async with (
                stall_tolerant_timeout(timeout_s),
                session.request(
                    method,
                    url,
                    data=body,
                    headers=headers,
                    timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_S, sock_read=silence_s),
                    allow_redirects=False,
                    trace_request_ctx=connection,
                ) as response,
            ):
                return Answer(response.status, await response.read())
        except _ConnectionChangedError as error:
            return NotSent(str(error))
        except aiohttp.ConnectionTimeoutError:
            return NotSent("connecting timed out")
        except aiohttp.ClientConnectorError as error:
            return NotSent(str(error.os_error))
        except TimeoutError:
            return NoAnswer("no answer in time")
        except (aiohttp.ClientError, OSError) as error:
            return NoAnswer(f"{type(error).__name__}: {error}")

    async def call_json(
        self,
        url: str,
        value: object,
        *,
        timeout_s: float,
        headers: Mapping[str, str] | None = None,
        connection: Connection = Connection.ANY,
    ) -> HttpOutcome:
        """Send a POST request with a JSON body."""
        return await self.call(
            "POST",
            url,
            timeout_s=timeout_s,
            body=msgspec.json.encode(value),
            headers={"Content-Type": "application/json", **(headers or {})},
            connection=connection,
        )
