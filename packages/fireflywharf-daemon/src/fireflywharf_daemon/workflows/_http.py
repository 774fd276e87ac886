"""HTTP client whose outcomes tell whether a request may have taken effect."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
import time
from collections.abc import AsyncIterator, Iterator, Mapping
from enum import Enum
from urllib.parse import urlsplit

import aiohttp
import attrs
import msgspec

from ._connections import ConnectionPool, PooledConnection

_LOG = logging.getLogger(__name__)

CONNECT_S = 0.6
"""Connection timeout; a new attempt is faster than the resending of a lost SYN after one second."""
USER_TIMEOUT_MS = 1500
"""Time without a TCP acknowledgement after which the kernel drops a connection.

Without it, a network partition or a silenced connection would go unnoticed."""
KEEPALIVE_S = 60.0
"""Time for which an idle connection is kept by default; some services price new ones."""
SILENCE_S = 0.4
"""Time for which an answer is overdue until the request counts as unanswered.

The slowest service answers in 0.3 s."""
_STALL_MIN_S = 0.05
"""Delay of a timer from which the event loop counts as stalled."""
_TURNS_AFTER_STALL_COUNT = 8
"""Turns of the event loop in which an answer that arrived during a stall is read."""


@attrs.frozen(slots=True)
class Answer:
    """A complete response.

    Args:
        status: HTTP status code.
        body: response body; left out of the representation, as it may contain keys of teams.
    """

    status: int
    body: bytes = attrs.field(repr=False)

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


@attrs.define(slots=True, eq=False)
class _RequestTrace:
    """State of one request.

    Args:
        connection: connection that the request may use.
        is_connected: whether it has got a connection, so that it may have been sent.
    """

    connection: Connection
    is_connected: bool = False


async def _check_connection(_session, context, _params) -> None:
    if context.trace_request_ctx.connection is Connection.UNCHANGED:
        raise _ConnectionChangedError("the connection has been closed")


async def _record_connection(_session, context, _params) -> None:
    context.trace_request_ctx.is_connected = True


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


@attrs.frozen(slots=True)
class _AddressPools:
    """The connections to one address."""

    shared: ConnectionPool
    dedicated: ConnectionPool

    def __iter__(self) -> Iterator[ConnectionPool]:
        return iter((self.shared, self.dedicated))


class HttpClient:
    """HTTP client that reuses connections and never retries a request.

    Args:
        connections_max: maximum number of connections per address.
        keepalive_s: time after which an idle connection is not used any more, in seconds.
    """

    def __init__(self, connections_max: int, keepalive_s: float = KEEPALIVE_S) -> None:
        self._connections_max = connections_max
        self._keepalive_s = keepalive_s
        self._pools: dict[str, _AddressPools] = {}
        self._swept_s = time.monotonic()
        self._cookie_jar: aiohttp.DummyCookieJar | None = None
        self._trace = aiohttp.TraceConfig()
        self._trace.on_connection_create_start.append(_check_connection)
        self._trace.on_connection_create_end.append(_record_connection)
        self._trace.on_connection_reuseconn.append(_record_connection)

    async def open(self) -> None:
        """Prepare the client; requires a running event loop."""
        self._cookie_jar = aiohttp.DummyCookieJar()

    def _make_session(self) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=1,
                keepalive_timeout=self._keepalive_s,
                socket_factory=_make_socket,
                use_dns_cache=False,
            ),
            auto_decompress=False,
            cookie_jar=self._cookie_jar,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            trace_configs=[self._trace],
        )

    def _find_pools(self, address: str) -> _AddressPools:
        now_s = time.monotonic()
        if now_s > self._swept_s + self._keepalive_s:
            self._swept_s = now_s
            self._close_expired(now_s)
        pools = self._pools.get(address)
        if pools is None:
            pools = self._pools[address] = _AddressPools(
                shared=ConnectionPool(self._connections_max, self._keepalive_s, self._make_session),
                dedicated=ConnectionPool(1, self._keepalive_s, self._make_session),
            )
        return pools

    def _close_expired(self, now_s: float) -> None:
        for address, pools in list(self._pools.items()):
            for pool in pools:
                pool.close_idle(now_s - self._keepalive_s)
            if all(pool.is_unused for pool in pools):
                del self._pools[address]

    def _close_suspects(
        self, address: str, unanswered: PooledConnection, wait_s: float = 0.0
    ) -> None:
        """Close the idle connections that may have gone silent together with another one.

        Open connections to an address may go silent, without a reset, while new ones work. Each
        idle one would then cost another request. Those that have answered since the answer to the
        request was due are kept. A new connection without an answer shows nothing about the others.

        Args:
            address: host and port.
            unanswered: connection on which a request got no answer.
            wait_s: time for which the server may have held that request, in seconds.
        """
        if not unanswered.was_open:
            return
        due_s = unanswered.sent_s + wait_s
        closed_count = sum(pool.close_idle(due_s) for pool in self._pools[address])
        if closed_count:
            _LOG.info(
                "idle connections closed, as another one gave no answer",
                extra={"address": address, "closed": closed_count},
            )

    async def close(self) -> None:
        """Close all connections."""
        for pools in self._pools.values():
            for pool in pools:
                await pool.close()

    async def call(
        self,
        method: str,
        url: str,
        *,
        timeout_s: float,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        wait_s: float = 0.0,
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
            wait_s: time for which the server may hold the request before it answers, in seconds.
            silence_s: maximum silence within the response beyond `wait_s`, in seconds; None for no
                limit.
            connection: connection that the request may use.
        """
        address = urlsplit(url).netloc
        pools = self._find_pools(address)
        pool = pools.shared if connection is Connection.ANY else pools.dedicated
        sock_read_s = None if silence_s is None else wait_s + silence_s
        pooled: PooledConnection | None = None
        trace = _RequestTrace(connection)
        try:
            async with stall_tolerant_timeout(timeout_s), pool.reserve() as pooled:
                async with pooled.session.request(
                    method,
                    url,
                    data=body,
                    headers=headers,
                    timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_S, sock_read=sock_read_s),
                    allow_redirects=False,
                    trace_request_ctx=trace,
                ) as response:
                    answer = Answer(response.status, await response.read())
                pooled.answered_s = time.monotonic()
                return answer
        except _ConnectionChangedError as error:
            return NotSent(str(error))
        except aiohttp.ConnectionTimeoutError:
            return NotSent("connecting timed out")
        except aiohttp.ClientConnectorError as error:
            return NotSent(str(error.os_error))
        except asyncio.CancelledError:
            # A caller may limit the duration by itself, or may have lost its interest.
            if pooled is not None and time.monotonic() - pooled.sent_s >= wait_s + SILENCE_S:
                self._close_suspects(address, pooled, wait_s)
            raise
        except TimeoutError:
            if pooled is None:
                return NotSent("all connections were in use")
            if not trace.is_connected:
                return NotSent("connecting timed out")
            self._close_suspects(address, pooled, wait_s)
            return NoAnswer("no answer in time")
        except (aiohttp.ClientError, OSError) as error:
            self._close_suspects(address, pooled)
            # The error quotes the response, which may be a configuration with keys of teams.
            malformed = isinstance(error, aiohttp.ClientResponseError)
            text = "malformed response" if malformed else str(error)
            return NoAnswer(f"{type(error).__name__}: {text}")

    async def call_json(
        self,
        url: str,
        value: object,
        *,
        timeout_s: float,
        headers: Mapping[str, str] | None = None,
        wait_s: float = 0.0,
        connection: Connection = Connection.ANY,
    ) -> HttpOutcome:
        """Send a POST request with a JSON body."""
        return await self.call(
            "POST",
            url,
            timeout_s=timeout_s,
            body=msgspec.json.encode(value),
            headers={"Content-Type": "application/json", **(headers or {})},
            wait_s=wait_s,
            connection=connection,
        )
