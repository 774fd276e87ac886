"""Description of the steps that wait, for the log."""

from __future__ import annotations

from ._interference import describe_pair
from ._placement import placeable_count
from ._reservations import eventual_count
from ._scheduler import WorkflowScheduler
from ._state import Step
from ._team_report import explain_team

_INTERFERENCE_ROWS_MAX = 3


def explain_waiting(
    scheduler: WorkflowScheduler, now_s: float, age_s: float, rows_max: int
) -> list[dict]:
    """Return log fields that describe the steps that have waited longest.

    Args:
        scheduler: the scheduler.
        now_s: current local time, in seconds.
        age_s: minimum age of their jobs, in seconds.
        rows_max: maximum number of steps.
    """
    steps = [
        step
        for job in scheduler.jobs.values()
        if not job.state.is_final and now_s - job.accepted_s >= age_s
        for step in job.steps.values()
        if step.waiting and job.is_ready(step)
    ]
    steps.sort(key=lambda step: step.job.accepted_s)
    return [
        {
            "job_id": step.name.job_id,
            "step": step.name.step,
            "age_s": round(now_s - step.job.accepted_s, 2),
            "waiting": len(step.waiting),
            "runs": len(step.runs),
            "gang": step.spec.gang,
            "recorded": step.job.recorded,
            "progress_too_large": step.job.blocked_s is not None,
            "asked": len(step.asked),
            "allowed": len(step.tickets),
            "approval_age_s": (
                None if step.approval_asked_s is None else round(now_s - step.approval_asked_s, 2)
            ),
            "accounted": scheduler.is_reconciled(now_s),
            "confirmation_age_s": round(now_s - scheduler.confirmation.confirmed_s, 2),
            "held": sum(
                step.lost_s.get(index, float("-inf")) > scheduler.confirmation.confirmed_s
                for index in step.waiting
            ),
            "open_starts": scheduler.runs.starting_count,
            "open_starts_max": round(scheduler.runs.start_window.limit_),
            "headroom_workers": len(scheduler.headroom.workers_),
            "undescribed_workers": sum(not w.is_described for w in scheduler.workers.values()),
            "interference": _explain_interference(scheduler, step),
            **_explain_capacity(scheduler, step, now_s),
            **explain_team(scheduler, step),
        }
        for step in steps[:rows_max]
    ]


def _explain_interference(scheduler: WorkflowScheduler, step: Step) -> list[dict]:
    """Return the strongest pairs that affect where the step is placed, never whether it waits."""
    rows = scheduler.runs.interference.find_significant(step)
    rows.sort(key=lambda row: -row[1].slowdown)
    return [describe_pair(*row) for row in rows[:_INTERFERENCE_ROWS_MAX]]


def _explain_capacity(scheduler: WorkflowScheduler, step: Step, now_s: float) -> dict:
    plan = step.gang_plan
    usable = list(scheduler.find_usable_workers(step.job.queue.service, now_s).values())
    if step.job.queue.approval is None:
        allowed = usable
    else:
        allowed = [worker for worker in usable if worker.worker_id in step.tickets]
    return {
        "usable": len(usable),
        "places": sum(placeable_count(step, w, w.available_capacity(step, now_s)) for w in allowed),
        "places_later": sum(eventual_count(step, w, now_s) for w in allowed),
        "reserved": 0 if plan is None else sum(plan.counts.values()),
        "starts_in_s": None if plan is None else round(plan.start_s - now_s, 2),
    }
