"""An HTTP server on a fixed port that can stop listening and reset its connections."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from .._ports import reserve_port

BACKLOG = 512
SHUTDOWN_TIMEOUT_S = 2.5
"""Longer than a call may wait for an end."""
RESET_PAUSE_S = 0.1
SILENCE_CHECK_S = 0.05


async def stay_silent(transport: asyncio.BaseTransport | None) -> web.Response:
    """Wait until the connection of a request is closed; return an answer that no one gets."""
    while transport is not None and not transport.is_closing():
        await asyncio.sleep(SILENCE_CHECK_S)
    return web.Response(status=503)


class Listener:
    """Serves HTTP requests on one port of loopback.

    Args:
        handler: answers one request.
    """

    def __init__(self, handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]) -> None:
        self.port = reserve_port("127.0.0.1")
        self._handler = handler
        self._server: web.Server | None = None
        self._socket: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Host and port."""
        return f"127.0.0.1:{self.port}"

    async def listen(self) -> None:
        """Accept connections from now on."""
        if self._server is None:
            self._server = web.Server(self._handler, access_log=None)
        if self._socket is None:
            self._socket = await asyncio.get_running_loop().create_server(
                self._server, "127.0.0.1", self.port, backlog=BACKLOG
            )

    def stop_listening(self) -> None:
        """Refuse new connections; open ones stay."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for connection in list(self._server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self.stop_listening()
        if self._server is not None:
            self.reset_connections()
            await asyncio.sleep(RESET_PAUSE_S)
            await self._server.shutdown(SHUTDOWN_TIMEOUT_S)
