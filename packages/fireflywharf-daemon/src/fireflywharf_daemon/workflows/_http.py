"""HTTP client with tagged outcomes."""

from __future__ import annotations

import socket
from collections.abc import Mapping

import aiohttp
import attrs
import msgspec

CONNECT_S = 0.6
"""Longest time to connect: a lost opening packet is sent again after a second, another connection
is quicker."""
USER_TIMEOUT_MS = 1500
"""Time without a TCP acknowledgement after which the kernel gives a connection up; a partition or a
silenced connection shows in no other way."""
_KEEPALIVE_S = 60.0


@attrs.frozen(slots=True)
class Answer:
    """A complete answer.

    Args:
        status: HTTP status.
        body: its body.
    """

    status: int
    body: bytes

    def json(self) -> dict:
        """Return the body as a table; empty if it is none."""
        try:
            value = msgspec.json.decode(self.body)
        except msgspec.DecodeError:
            return {}
        return value if isinstance(value, dict) else {}


@attrs.frozen(slots=True)
class NotSent:
    """Nothing was sent: the connection could not be made.

    Args:
        reason: why.
        refused: whether nothing listens at the address.
    """

    reason: str
    refused: bool = False


@attrs.frozen(slots=True)
class NoAnswer:
    """The request may have taken effect, now or later."""

    reason: str


HttpOutcome = Answer | NotSent | NoAnswer


def _make_socket(info) -> socket.socket:
    family, kind, protocol = info[:3]
    sock = socket.socket(family=family, type=kind, proto=protocol)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return sock


class HttpClient:
    """Keeps connections open and repeats nothing.

    Args:
        connections_max: most connections to one address.
    """

    def __init__(self, connections_max: int) -> None:
        self._connections_max = connections_max
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Create the session; needs a running event loop."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                limit_per_host=self._connections_max,
                keepalive_timeout=_KEEPALIVE_S,
                socket_factory=_make_socket,
                use_dns_cache=False,
            ),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def call(
        self,
        method: str,
        url: str,
        *,
        timeout_s: float,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        silence_s: float | None = None,
    ) -> HttpOutcome:
        """Send one request and read the whole answer.

        Args:
            method: HTTP method.
            url: where to send it.
            timeout_s: longest time for all of it.
            body: body of the request.
            headers: further headers.
            silence_s: longest time without a byte of the answer; None for no limit of its own.
        """
        try:
            async with self._session.request(
                method,
                url,
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s, sock_connect=CONNECT_S, sock_read=silence_s
                ),
                allow_redirects=False,
            ) as response:
                return Answer(response.status, await response.read())
        except aiohttp.ConnectionTimeoutError:
            return NotSent("connecting timed out")
        except aiohttp.ClientConnectorError as error:
            refused = isinstance(error.os_error, ConnectionRefusedError)
            return NotSent(str(error.os_error), refused)
        except TimeoutError:
            return NoAnswer("no answer in time")
        except (aiohttp.ClientError, OSError) as error:
            return NoAnswer(f"{type(error).__name__}: {error}")

    async def call_json(
        self, url: str, value: object, *, timeout_s: float, headers: Mapping[str, str] | None = None
    ) -> HttpOutcome:
        """Send a POST request with a JSON body."""
        return await self.call(
            "POST",
            url,
            timeout_s=timeout_s,
            body=msgspec.json.encode(value),
            headers={"Content-Type": "application/json", **(headers or {})},
        )
