"""The store as seen by one VM, which it may turn away while it serves the others."""

from __future__ import annotations

from enum import Enum

from aiohttp import web

from ._listener import stay_silent
from ._store import StandInStore


class GateMode(Enum):
    """How the store treats the requests of one VM."""

    OPEN = "open"
    BUSY = "429"
    DOWN = "503"
    RESET = "reset"
    SILENT = "silence"
    APPENDS_DOWN = "503 for appends"
    APPENDS_LOST = "appends lost"
    ANSWERS_LOST = "answers of appends lost"


class StoreGate:
    """Turns the requests of one VM away, for `PlatformStandIns.add_store_server`.

    Args:
        store: the store, for appends whose answers are lost.

    Attributes:
        mode: how requests are treated from now on.
    """

    def __init__(self, store: StandInStore) -> None:
        self._store = store
        self.mode = GateMode.OPEN

    async def __call__(self, request: web.BaseRequest) -> web.StreamResponse | None:
        """Return the answer with which a request is rejected, or None."""
        is_append = request.path.endswith("/log-append")
        match self.mode:
            case GateMode.BUSY | GateMode.DOWN:
                return web.Response(status=int(self.mode.value))
            case GateMode.RESET:
                if request.transport is not None:
                    request.transport.abort()
                return web.Response(status=503)
            case GateMode.SILENT:
                return await stay_silent(request.transport)
            case GateMode.APPENDS_DOWN if is_append:
                return web.Response(status=503)
            case GateMode.APPENDS_LOST if is_append:
                return await stay_silent(request.transport)
            case GateMode.ANSWERS_LOST if is_append:
                await self._store.serve(request)
                return await stay_silent(request.transport)
        return None
