"""Requests to the approval service, and the sharing of their answers through a log."""

from __future__ import annotations

import asyncio
import itertools
import logging
import time
from collections.abc import Sequence

import attrs
import msgspec

from fireflywharf_core.workflows import ApprovalReceived, StepName

from ._interfaces import (
    ApprovalGranted,
    ApprovalService,
    LogRecord,
    ReadExpired,
    ReadFailed,
    ReadRecords,
    SharedLog,
    Topic,
)

_LOG = logging.getLogger(__name__)

_PARALLEL = 2
"""Requests under way at a time; the service works on one for each VM, the next one waits there."""
_PATIENCE = 3.0
"""A request lets later ones pass for this multiple of the time that it takes itself."""
_ASK_S = 3.0
"""Longest time of one request."""
_RETRY_S = 0.2
_READ_S = 1.0


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
        due_s = time.monotonic() + _PATIENCE * cost_ms / 1000.0
        self._queue.put_nowait((due_s, next(self._serial), step, tuple(worker_ids), future))
        return await future

    async def run(self) -> None:
        """Serve the queue until cancelled."""
        await asyncio.gather(*(self._serve() for _ in range(_PARALLEL)))

    async def _serve(self) -> None:
        while True:
            _, _, step, worker_ids, future = await self._queue.get()
            granted = await self._service.ask(step, worker_ids, timeout_s=_ASK_S)
            if not future.done():
                future.set_result(granted)


@attrs.frozen(slots=True)
class SharedApproval:
    """Form in which an answer is shared; `validity_s` counts from its append."""

    job_id: str
    occurrence: int
    step: int
    tickets: dict[str, str]
    asked: list[str]
    validity_s: float


def encode_approval(
    step: StepName, granted: ApprovalGranted, asked: Sequence[str], validity_s: float
) -> LogRecord:
    """Return the record that shares an answer."""
    shared = SharedApproval(
        step.job_id, step.occurrence, step.step, dict(granted.tickets), list(asked), validity_s
    )
    return LogRecord("", msgspec.msgpack.encode(shared))


class ApprovalReader:
    """Reads the answers that other daemons share, while this one is scheduler.

    Args:
        log: the shared log.
    """

    def __init__(self, log: SharedLog) -> None:
        self._log = log
        self._offset = 0

    async def skip(self) -> None:
        """Go to the end of the log."""
        result = await self._log.read(Topic.APPROVALS, 0, wait_s=0.0)
        match result:
            case ReadRecords(end, _):
                self._offset = end
            case ReadExpired(first):
                self._offset = first
            case ReadFailed():
                pass

    async def next(self) -> list[ApprovalReceived]:
        """Wait for answers."""
        match await self._log.read(Topic.APPROVALS, self._offset, wait_s=_READ_S):
            case ReadRecords(_, rows):
                if rows:
                    self._offset = rows[-1][0] + 1
                return [event for _, record in rows if (event := _decode(record.value))]
            case ReadExpired(first):
                self._offset = first
            case ReadFailed():
                await asyncio.sleep(_RETRY_S)
        return []


def _decode(value: bytes) -> ApprovalReceived | None:
    try:
        shared = msgspec.msgpack.decode(value, type=SharedApproval)
    except msgspec.DecodeError as error:
        _LOG.warning("shared approval cannot be read", extra={"reason": str(error)})
        return None
    return ApprovalReceived(
        step=StepName(shared.job_id, shared.occurrence, shared.step),
        tickets=shared.tickets,
        asked=tuple(shared.asked),
        expires_s=time.monotonic() + shared.validity_s,
    )
