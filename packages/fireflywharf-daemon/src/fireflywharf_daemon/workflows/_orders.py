"""Orders of the active scheduler to workers and its requests for approval."""

from __future__ import annotations

import logging
import time
from typing import Protocol

from fireflywharf_core.workflows import (
    ApprovalFailed,
    ApprovalReceived,
    AskApproval,
    Event,
    StartAnswered,
    StartResult,
    StartRun,
    StopAnswered,
    StopRun,
    TenureRecord,
    WorkflowScheduler,
    approval_request_ms,
    has_short_requests,
)

from ._background import result_or_default
from ._interfaces import WorkerGateway
from ._metrics import WorkflowMetrics
from ._peers import ApprovalBalancer

_LOG = logging.getLogger(__name__)


class Tenure(Protocol):
    """The term of an active scheduler.

    Attributes:
        record: its record in the journal.
        scheduler: its scheduler.
    """

    record: TenureRecord
    scheduler: WorkflowScheduler

    def may_start(self) -> bool:
        """Return whether the tenure was confirmed recently enough to start runs."""

    def observe(self, event: Event) -> None:
        """Process an event and trigger a decision."""

    def end_tenure(self, reason: str) -> None:
        """End the tenure, unless it has ended already."""


class OrderSender:
    """Sends the orders of one tenure and passes the answers to its scheduler.

    Args:
        tenure: the tenure.
        workers: sends orders to workers.
        approvals: distributes approval requests.
        metrics: counts results.
    """

    def __init__(
        self,
        tenure: Tenure,
        workers: WorkerGateway,
        approvals: ApprovalBalancer,
        metrics: WorkflowMetrics,
    ) -> None:
        self._tenure = tenure
        self._workers = workers
        self._approvals = approvals
        self._metrics = metrics

    async def start_run(self, order: StartRun) -> None:
        """Send a start order, unless the permission to start runs has expired meanwhile."""
        worker = self._tenure.scheduler.workers.get(order.worker_id)
        if worker is None:
            return
        result = StartResult.NOT_SENT
        # The process may have been paused since the decision, and a later process of the worker
        # knows no epoch with which it could refuse the order.
        if self._tenure.may_start():
            result = await result_or_default(
                self._workers.start(worker.info, order, self._tenure.record.epoch),
                StartResult.UNKNOWN,
                "worker",
                worker=order.worker_id,
            )
        self._metrics.starts.labels(result.value).inc()
        if result is not StartResult.STARTED:
            _LOG.info(
                "run was not started",
                extra={
                    "run": f"{order.task}#{order.number}",
                    "worker": order.worker_id,
                    "result": result.value,
                },
            )
        if result is StartResult.STALE_EPOCH:
            self._tenure.end_tenure(f"worker {order.worker_id} rejected the epoch as stale")
            return
        self._tenure.observe(StartAnswered(order.worker_id, order.task, order.number, result))

    async def stop_run(self, order: StopRun) -> None:
        """Send a stop order."""
        worker = self._tenure.scheduler.workers.get(order.worker_id)
        if worker is None:
            return
        stopped = await result_or_default(
            self._workers.stop(worker.info, order, self._tenure.record.epoch),
            False,
            "worker",
            worker=order.worker_id,
        )
        if stopped:
            self._tenure.observe(StopAnswered(order.worker_id, order.task, order.number))

    async def request_approval(self, order: AskApproval) -> None:
        """Request tickets for a step."""
        step = self._tenure.scheduler.find_step(order.step)
        if step is None:
            self._tenure.observe(ApprovalFailed(order.step))
            return
        approval = step.job.queue.approval
        cost_ms = approval_request_ms(approval, len(order.worker_ids))
        asked_s = time.monotonic()
        granted = await self._approvals.ask(
            order.step, order.worker_ids, cost_ms, short=has_short_requests(approval)
        )
        _LOG.info(
            "approval answered",
            extra={
                "job_id": order.step.job_id,
                "step": str(order.step),
                "named": len(order.worker_ids),
                "allowed": None if granted is None else len(granted.tickets),
                "ms": round((time.monotonic() - asked_s) * 1000),
            },
        )
        if granted is None:
            self._tenure.observe(ApprovalFailed(order.step))
            return
        self._tenure.observe(
            ApprovalReceived(
                step=order.step,
                tickets=granted.tickets,
                asked=order.worker_ids,
                expires_s=time.monotonic() + granted.validity_s,
            )
        )
