"""Connections of a server that go silent, without a reset, while new ones work."""

from __future__ import annotations

import asyncio
import weakref
from collections.abc import Awaitable, Callable
from enum import Enum

from aiohttp import web

from ._listener import stay_silent


class Direction(Enum):
    """What a silent connection loses."""

    REQUESTS = "requests"
    ANSWERS = "answers"


class SilenceableServer:
    """Serves HTTP requests, and can make all connections that are open silent.

    Args:
        handler: answers one request.

    Attributes:
        requests_count: number of requests that were not lost.
    """

    def __init__(self, handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]) -> None:
        self.requests_count = 0
        self._handler = handler
        self._open: weakref.WeakSet[asyncio.BaseTransport] = weakref.WeakSet()
        self._silent: weakref.WeakKeyDictionary = weakref.WeakKeyDictionary()

    def silence(self, direction: Direction) -> int:
        """Lose all requests or answers on the connections that are open; return their number."""
        found = [transport for transport in self._open if not transport.is_closing()]
        self._silent.update(dict.fromkeys(found, direction))
        return len(found)

    def silence_one(self, transport: asyncio.BaseTransport) -> None:
        """Lose the answers on one connection."""
        self._silent[transport] = Direction.ANSWERS

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one HTTP request, unless its connection is silent."""
        transport = request.transport
        if transport is None:
            return web.Response(status=503)
        self._open.add(transport)
        if self._silent.get(transport) is Direction.REQUESTS:
            return await stay_silent(transport)
        self.requests_count += 1
        response = await self._handler(request)
        if transport in self._silent:
            return await stay_silent(transport)
        return response
