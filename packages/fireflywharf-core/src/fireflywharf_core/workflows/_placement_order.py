"""Order in which waiting steps are placed."""

from __future__ import annotations

from ._estimates import RunTimes
from ._state import Step

_EXCESS_RANK = 2
"""Rank of excess jobs; after owed ones in time (0) and late (1), before those beyond (3)."""
LATE_FACTOR = 3.0
"""Multiple of its objective after which a finished job has no value (rules of the deployment)."""


def objective_s(step: Step, run_times: RunTimes) -> float:
    """Return the target time from acceptance to completion of the step's job, in seconds."""
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
    """Return the sort key of a step; the step with the lowest key is placed first.

    Steps are ordered by least slack, that is by the latest start time that still meets the
    objective, so that bursts of short urgent jobs pass wide long ones. Jobs that can no longer meet
    their objective come after those that can, and jobs beyond `LATE_FACTOR` come last.

    Excess jobs come after all owed jobs that are not beyond `LATE_FACTOR`, in the same order among
    themselves.
    """
    age_s = now_s - step.job.accepted_s
    goal_s = objective_s(step, run_times)
    slack_s = goal_s - age_s - run_times.predict(step)
    rank = 3 if age_s > goal_s * LATE_FACTOR else int(slack_s < -goal_s * 0.1)
    return (_EXCESS_RANK, rank, slack_s) if step.job.is_excess else (rank, slack_s)
