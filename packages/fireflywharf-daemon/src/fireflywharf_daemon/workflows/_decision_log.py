"""Log lines about the decisions of one tenure."""

from __future__ import annotations

import logging
from collections.abc import Callable

from fireflywharf_core.workflows import (
    Action,
    RunAdopted,
    RunLost,
    StartRun,
    StopRun,
    WorkerRestarted,
    WorkerUndescribed,
    WorkflowScheduler,
    explain_waiting,
)

_LOG = logging.getLogger(__name__)

_REPORT_INTERVAL_S = 2.0
"""Time between two log reports of waiting steps."""
_REPORT_AGE_S = 3.0
"""Minimum age of a job whose waiting steps are reported."""
_REPORT_ROWS_MAX = 8


class DecisionLog:
    """Logs the decisions of a scheduler and what they rest on.

    Args:
        scheduler: the scheduler.
        epoch: fencing token of the tenure.
        now_s: current local time, in seconds.
        find_confirmation_age_s: returns the time since the latest record that the journal has
            confirmed was sent, in seconds.
    """

    def __init__(
        self,
        scheduler: WorkflowScheduler,
        epoch: int,
        now_s: float,
        find_confirmation_age_s: Callable[[], float],
    ) -> None:
        self._scheduler = scheduler
        self._epoch = epoch
        self._find_confirmation_age_s = find_confirmation_age_s
        self._reported_s = now_s
        self._reconciliation_logged = False

    def log_action(self, action: Action) -> None:
        """Log an order to a worker, or a notice about a run."""
        match action:
            case StartRun() | StopRun() | RunLost() | RunAdopted():
                fields = {"run": f"{action.task}#{action.number}", "worker": action.worker_id}
        match action:
            case StartRun():
                worker = self._scheduler.workers.get(action.worker_id)
                incarnation = None if worker is None else worker.info.incarnation
                fields |= {"worker_incarnation": incarnation, **self._describe_confirmation()}
                _LOG.info("run placed", extra=fields)
            case StopRun(cause=cause, percent=percent):
                fields |= {"cause": cause.value, "percent": percent}
                _LOG.info("run stop ordered", extra=fields)
            case RunLost(report_age_s=age_s):
                fields |= {
                    "cause": action.cause.value,
                    "phase": action.phase,
                    "report_age_s": None if age_s is None else round(age_s, 3),
                    "worker_incarnation": action.incarnation,
                    "reported": action.reported,
                    **self._describe_confirmation(),
                }
                _LOG.warning("run lost; its task may be started again", extra=fields)
            case RunAdopted():
                _LOG.info("run of an earlier tenure adopted", extra=fields)
            case WorkerRestarted():
                _LOG.info(
                    "worker restarted",
                    extra={
                        "worker": action.worker_id,
                        "earlier_incarnation": action.earlier,
                        "worker_incarnation": action.later,
                        "source": action.source.value,
                    },
                )
            case WorkerUndescribed():
                _LOG.warning(
                    "worker gets no runs until the directory shows its present process",
                    extra={"worker": action.worker_id, "worker_incarnation": action.incarnation},
                )

    def _describe_confirmation(self) -> dict:
        """Return a log field that shows whether a successor may have been active already."""
        return {"confirmation_age_s": round(self._find_confirmation_age_s(), 3)}

    def log_state(self, now_s: float) -> bool:
        """Log the reconciliation of earlier runs once, and at intervals the steps that wait.

        Returns:
            Whether the interval has passed.
        """
        self._log_reconciliation(now_s)
        if now_s < self._reported_s + _REPORT_INTERVAL_S:
            return False
        self._reported_s = now_s
        for row in explain_waiting(self._scheduler, now_s, _REPORT_AGE_S, _REPORT_ROWS_MAX):
            _LOG.info("step waits", extra=row)
        return True

    def _log_reconciliation(self, now_s: float) -> None:
        assumed_ended_ids = self._scheduler.reconciliation.assumed_ended_ids
        if self._reconciliation_logged or assumed_ended_ids is None:
            return
        self._reconciliation_logged = True
        _LOG.info(
            "earlier runs are reconciled",
            extra={
                "epoch": self._epoch,
                "after_s": round(now_s - self._scheduler.started_s, 3),
                "assumed_ended": sorted(assumed_ended_ids),
            },
        )
