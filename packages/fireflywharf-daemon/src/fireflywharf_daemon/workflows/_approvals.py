"""Priority queue of this VM's requests to the approval service."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Sequence

from fireflywharf_core.workflows import StepName

from ._background import result_or_default
from ._interfaces import ApprovalGranted, ApprovalService

_PARALLEL_REQUESTS = 2
"""Maximum number of requests in flight; the service processes one per VM and queues the next."""
_QUEUE_DELAY_FACTOR = 3.0
"""Delay in the queue order of a request, as a multiple of its own duration."""
_REQUEST_TIMEOUT_S = 3.0
"""Timeout of one request."""
QUEUE_WAIT_MAX_S = 2.5
"""Maximum wait in the queue; a peer that sent the request gives up soon afterwards."""


class ApprovalQueue:
    """Sends the requests of this VM, short ones before long ones.

    The service processes the requests of a VM one at a time, and a request for a wide step takes
    fifty times as long as one for an urgent step. Requests are ordered by arrival plus a multiple
    of their duration, so that a long request is delayed for a limited time only. A request that has
    waited for `QUEUE_WAIT_MAX_S` is dropped, so that the asker can turn to another VM.

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
        """Queue a request and wait for its answer; None without a usable answer in time.

        Args:
            step: the step.
            worker_ids: ids of the workers to ask about.
            cost_ms: expected duration of the request, in milliseconds.
        """
        future = asyncio.get_running_loop().create_future()
        now_s = time.monotonic()
        due_s = now_s + _QUEUE_DELAY_FACTOR * cost_ms / 1000.0
        self._queue.put_nowait((due_s, next(self._serial), now_s, step, tuple(worker_ids), future))
        try:
            async with asyncio.timeout(QUEUE_WAIT_MAX_S + _REQUEST_TIMEOUT_S):
                return await future
        except TimeoutError:
            return None

    async def run(self) -> None:
        """Send queued requests until cancelled."""
        await asyncio.gather(*(self._serve() for _ in range(_PARALLEL_REQUESTS)))

    async def _serve(self) -> None:
        while True:
            _, _, asked_s, step, worker_ids, future = await self._queue.get()
            if future.done() or time.monotonic() > asked_s + QUEUE_WAIT_MAX_S:
                if not future.done():
                    future.set_result(None)
                continue
            request = self._service.ask(step, worker_ids, timeout_s=_REQUEST_TIMEOUT_S)
            granted = await result_or_default(request, None, "approvals", step=str(step))
            if not future.done():
                future.set_result(granted)
