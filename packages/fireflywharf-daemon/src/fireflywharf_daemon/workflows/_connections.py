"""Pool of HTTP connections to one address."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable

import aiohttp
import attrs


@attrs.define(eq=False, slots=True)
class PooledConnection:
    """A connection that carries one request at a time.

    Args:
        session: session whose connector opens at most one connection.
        answered_s: monotonic time of the latest complete answer; minus infinity before it.
        sent_s: monotonic time at which the latest request was sent.
        was_open: whether the connection had answered before the latest request.
    """

    session: aiohttp.ClientSession
    answered_s: float = float("-inf")
    sent_s: float = 0.0
    was_open: bool = False

    @property
    def is_answered(self) -> bool:
        """Whether the latest request got a complete answer."""
        return self.answered_s >= self.sent_s


class ConnectionPool:
    """Connections to one address.

    Args:
        connections_max: maximum number of connections; further requests wait.
        keepalive_s: time after which an idle connection is not used any more, in seconds.
        make_session: returns a session for one connection.
    """

    def __init__(
        self,
        connections_max: int,
        keepalive_s: float,
        make_session: Callable[[], aiohttp.ClientSession],
    ) -> None:
        self._keepalive_s = keepalive_s
        self._make_session = make_session
        self._slots = asyncio.Semaphore(connections_max)
        self._users_count = 0
        self._idle: list[PooledConnection] = []
        self._closing: set[asyncio.Task] = set()

    @property
    def is_unused(self) -> bool:
        """Whether there is neither a connection nor a request."""
        return not (self._idle or self._users_count or self._closing)

    @contextlib.asynccontextmanager
    async def reserve(self) -> AsyncIterator[PooledConnection]:
        """Reserve the idle connection that answered last, or a new one, for one request.

        The user sets `answered_s` after a complete answer; otherwise the connection is closed.
        """
        self._users_count += 1
        try:
            async with self._slots:
                self.close_idle(time.monotonic() - self._keepalive_s)
                # The connection that answered last is the most likely one to work.
                connection = (
                    self._idle.pop() if self._idle else PooledConnection(self._make_session())
                )
                connection.was_open = connection.is_answered
                connection.sent_s = time.monotonic()
                try:
                    yield connection
                finally:
                    if connection.is_answered:
                        self._idle.append(connection)
                    else:
                        self._close(connection)
        finally:
            self._users_count -= 1

    def close_idle(self, before_s: float) -> int:
        """Close the idle connections that answered last before a time, and return their number.

        Args:
            before_s: monotonic time in seconds.
        """
        closed = [connection for connection in self._idle if connection.answered_s < before_s]
        if closed:
            self._idle = [c for c in self._idle if c.answered_s >= before_s]
            for connection in closed:
                self._close(connection)
        return len(closed)

    def _close(self, connection: PooledConnection) -> None:
        task = asyncio.get_running_loop().create_task(connection.session.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        """Close all idle connections; the pool must not be used afterwards."""
        self._keepalive_s = float("-inf")
        self.close_idle(float("inf"))
        await asyncio.gather(*self._closing)
