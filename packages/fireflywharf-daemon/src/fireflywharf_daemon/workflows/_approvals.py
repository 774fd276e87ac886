"""Requests of this VM to the approval service."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Sequence

from fireflywharf_core.workflows import StepName

from ._interfaces import ApprovalGranted, ApprovalService

_PARALLEL_REQUESTS = 2
"""Requests under way at a time; the service works on one for each VM, the next one waits there."""
_QUEUE_DELAY_FACTOR = 3.0
"""A request lets later ones pass for this multiple of the time that it takes itself."""
_REQUEST_TIMEOUT_S = 3.0
"""Longest time of one request."""


class ApprovalQueue:
    """Sends the requests of this VM, short ones before long ones.

    Pattern: the service answers the requests of a VM one after the other, and one for a wide step
    takes fifty times as long as one for an urgent step. A long request waits a bounded time.

    Args:
        service: the approval service.
    """

    def __init__(self, service: ApprovalService) -> None:
        self._service = service
        self._queue: asyncio.PriorityQueue = asyncio.PriorityQueue()
        self._serial = itertools.count()

    async def ask(
        self, step: StepName, worker_ids: Sequence[str], cost_ms: float = 0.0
    ) -> ApprovalGranted | None:
        """Ask in turn; None without a usable answer."""
        future = asyncio.get_running_loop().create_future()
        due_s = time.monotonic() + _QUEUE_DELAY_FACTOR * cost_ms / 1000.0
        self._queue.put_nowait((due_s, next(self._serial), step, tuple(worker_ids), future))
        return await future

    async def run(self) -> None:
        """Serve the queue until cancelled."""
        await asyncio.gather(*(self._serve() for _ in range(_PARALLEL_REQUESTS)))

    async def _serve(self) -> None:
        while True:
            _, _, step, worker_ids, future = await self._queue.get()
            granted = await self._service.ask(step, worker_ids, timeout_s=_REQUEST_TIMEOUT_S)
            if not future.done():
                future.set_result(granted)
