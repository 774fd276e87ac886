"""Order in which steps that wait are placed."""

from __future__ import annotations

from ._estimates import RunTimes
from ._state import Step

LATE_FACTOR = 3.0
"""A job earns nothing after this multiple of its objective (rules of the deployment)."""


def objective_s(step: Step, run_times: RunTimes) -> float:
    """Return the time in which the job of a step should finish."""
    queue = step.job.queue
    chain_s = 0.0
    for spec_index, _ in enumerate(step.job.spec.steps):
        other = step.job.steps.get((step.name.occurrence, spec_index))
        if other is not None:
            chain_s += run_times.predict(other)
            if queue.approval is not None:
                chain_s += (queue.approval.decision_ms + 30 * queue.approval.per_worker_ms) / 1000.0
    return queue.stretch * chain_s + queue.grace_ms / 1000.0


def placement_order_key(step: Step, run_times: RunTimes, now_s: float) -> tuple:
    """Return the sort key of a step; the lowest is placed first.

    Pattern: bursts of short urgent jobs among wide long ones. A step comes by the latest time at
    which it can start and still meet its objective. Jobs that can no longer meet it come after
    those that can, and those past the late limit come last.
    """
    age_s = now_s - step.job.accepted_s
    goal_s = objective_s(step, run_times)
    slack_s = goal_s - age_s - run_times.predict(step)
    if age_s > goal_s * LATE_FACTOR:
        return (2, slack_s)
    return (1 if slack_s < -goal_s * 0.1 else 0, slack_s)
