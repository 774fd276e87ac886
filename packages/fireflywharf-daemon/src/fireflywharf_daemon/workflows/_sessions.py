"""Sessions with workers: lease renewal and reports of runs."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable

import attrs

from fireflywharf_core.workflows import (
    Event,
    WorkerInfo,
    WorkerReported,
    WorkerSilent,
)

from ._background import result_or_default
from ._interfaces import PollFailed, PollFenced, WorkerGateway, WorkerReport
from ._metrics import WorkflowMetrics

_LOG = logging.getLogger(__name__)

POLL_WAIT_S = 1.5
"""Time that a worker waits for a run to end before it answers a poll; a quarter of a task lease."""
_RETRY_S = 0.25
"""Pause after a failed poll."""
_FLUSH_S = 0.5
"""Maximum wait for ended runs to become durable; then the next poll does not acknowledge them."""
_END_BATCH_S = 0.015
"""Pause after an answer with ended runs, to collect further ones of the same worker."""


class WorkerSession:
    """Polls one worker and keeps the leases of its runs alive during one tenure.

    Args:
        info: directory entry of the worker, with the latest incarnation that is known.
        epoch: fencing token of the tenure.
        gateway: sends the polls.
        observe: called with each event of the worker.
        flush: waits until all events observed so far are durable, and returns whether they are.
        on_fenced: called with the worker id if the worker rejected the epoch as stale.
        find_lease_s: returns the lease that a renewal may give now, in seconds; 0 for none.
        metrics: counts ended runs.
    """

    def __init__(
        self,
        info: WorkerInfo,
        *,
        epoch: int,
        gateway: WorkerGateway,
        observe: Callable[[Event], None],
        flush: Callable[[], Awaitable[bool]],
        on_fenced: Callable[[str], None],
        find_lease_s: Callable[[], float],
        metrics: WorkflowMetrics,
    ) -> None:
        self.info = info
        self._epoch = epoch
        self._gateway = gateway
        self._observe = observe
        self._flush = flush
        self._on_fenced = on_fenced
        self._find_lease_s = find_lease_s
        self._metrics = metrics
        self._acknowledged_serial = 0
        self._confirmed_serial = 0
        self._logged_serial = 0
        self._incarnation_shown_s = float("-inf")
        self._silent = False
        self._has_reported = False
        self._renewed_s = 0.0

    def update_info(self, info: WorkerInfo) -> None:
        """Use a new directory entry of the worker."""
        if info.incarnation != self.info.incarnation:
            self._begin_incarnation(info.incarnation)
        self.info = info

    def _begin_incarnation(self, incarnation: int) -> None:
        """Forget the serial numbers of the earlier process."""
        self.info = attrs.evolve(self.info, incarnation=incarnation)
        self._incarnation_shown_s = time.monotonic()
        self._acknowledged_serial = self._confirmed_serial = self._logged_serial = 0

    async def run(self) -> None:
        """Poll until cancelled."""
        wait_s = 0.0
        while True:
            sent_s = time.monotonic()
            # Leases that this tenure has not renewed expire with those of the earlier ones.
            may_renew = self._has_reported and not self._silent
            lease_s = self._find_lease_s() if may_renew else 0.0
            if lease_s > 0:
                self._renewed_s = sent_s
            acknowledged = self._serial_to_acknowledge()
            poll = self._gateway.poll_worker(
                self.info,
                epoch=self._epoch,
                acknowledged=acknowledged,
                wait_s=wait_s,
                lease_s=lease_s,
                asked_s=sent_s,
            )
            result = await result_or_default(
                poll,
                PollFailed("the answer cannot be processed"),
                "worker",
                worker=self.info.worker_id,
            )
            match result:
                case WorkerReport() if self._is_outdated(result, sent_s):
                    wait_s = 0.0
                case WorkerReport():
                    wait_s = 0.0 if self._silent else POLL_WAIT_S
                    self._has_reported = True
                    if result.acknowledgement_sent:
                        self._confirmed_serial = max(self._confirmed_serial, acknowledged)
                    self._handle_report(result, sent_s)
                    await self._acknowledge(result)
                    if may_renew and lease_s <= 0:
                        # The worker does not hold the answer of such a poll.
                        await asyncio.sleep(_RETRY_S)
                case PollFenced():
                    self._on_fenced(self.info.worker_id)
                    await asyncio.sleep(_RETRY_S)
                case PollFailed(reason):
                    wait_s = 0.0
                    self._mark_silent(reason)
                    self._observe(WorkerSilent(self.info.worker_id, self._renewed_s))
                    await asyncio.sleep(_RETRY_S)

    def _serial_to_acknowledge(self) -> int:
        """Return the serial to send; 0 if the worker has already forgotten all durable ends.

        A worker that has restarted counts from 1 again. With the acknowledgement of its earlier
        process, it would forget its first ends before they are read. After silence, a report has to
        show first that the process is the same.
        """
        if not self._silent and self._acknowledged_serial > self._confirmed_serial:
            return self._acknowledged_serial
        return 0

    def _is_outdated(self, report: WorkerReport, sent_s: float) -> bool:
        """Return whether a report may be from an earlier process than the one known by now."""
        is_other = report.incarnation != self.info.incarnation
        return is_other and sent_s < self._incarnation_shown_s

    def _handle_report(self, report: WorkerReport, sent_s: float) -> None:
        if self._silent:
            self._silent = False
            _LOG.info("worker answers again", extra={"worker": self.info.worker_id})
        if report.incarnation != self.info.incarnation:
            self._begin_incarnation(report.incarnation)
        self._observe(
            WorkerReported(
                worker_id=self.info.worker_id,
                incarnation=report.incarnation,
                sent_s=sent_s,
                running=report.running,
                ended=report.ended,
                ends_complete=report.ends_complete,
            )
        )

    async def _acknowledge(self, report: WorkerReport) -> None:
        if not report.ended:
            return
        # A worker reports an ended run again until it is acknowledged.
        for end in (end for end in report.ended if end.serial > self._logged_serial):
            self._metrics.ends.labels(end.kind.value).inc()
            _LOG.info(
                "run ended",
                extra={
                    "run": f"{end.task}#{end.number}",
                    "worker": self.info.worker_id,
                    "how": end.kind.value,
                    "serial": end.serial,
                },
            )
        highest = max(end.serial for end in report.ended)
        self._logged_serial = max(self._logged_serial, highest)
        try:
            async with asyncio.timeout(_FLUSH_S):
                if not await self._flush():
                    return
        except TimeoutError:
            return
        if report.incarnation != self.info.incarnation:
            # The directory has shown the next process meanwhile, whose ends count from 1.
            return
        self._acknowledged_serial = max(self._acknowledged_serial, highest)
        await asyncio.sleep(_END_BATCH_S)

    def _mark_silent(self, reason: str) -> None:
        if not self._silent:
            self._silent = True
            _LOG.warning(
                "worker does not answer",
                extra={"worker": self.info.worker_id, "reason": reason},
            )
