"""Order in which waiting steps are placed."""

from __future__ import annotations

from ._approvals import USUAL_REQUEST_WORKERS, approval_request_ms
from ._estimates import RunTimes
from ._state import Step

_EXCESS_RANK = 2
"""Rank of excess jobs; after owed ones in time (0) and late (1), before those beyond (3)."""
LATE_FACTOR = 3.0
"""Multiple of its objective after which a finished job has no value (rules of the deployment)."""


def approval_s(step: Step) -> float:
    """Return the time for one request for approval that objectives allow for, in seconds."""
    approval = step.job.queue.approval
    return approval_request_ms(approval, USUAL_REQUEST_WORKERS) / 1000.0 if approval else 0.0


def objective_s(step: Step, run_times: RunTimes) -> float:
    """Return the target time from acceptance to completion of the step's job, in seconds."""
    queue = step.job.queue
    chain_s = 0.0
    for spec_index, _ in enumerate(step.job.spec.steps):
        other = step.job.steps.get((step.name.occurrence, spec_index))
        if other is not None:
            chain_s += run_times.predict(other) + approval_s(step)
    return queue.stretch * chain_s + queue.grace_ms / 1000.0


def remaining_s(step: Step, run_times: RunTimes) -> float:
    """Return the run time of the longest chain of steps that begins with `step`, in seconds.

    Load pattern: jobs of one and of several steps wait at full load. By the run time of its next
    step alone, a job of several steps seems to have time for all of them until its last one, and is
    late in every burst.
    """
    specs = step.job.spec.steps
    later_s: dict[int, float] = {}
    chain_s = 0.0
    for index in range(len(specs) - 1, step.name.step - 1, -1):
        other = step.job.steps.get((step.name.occurrence, index))
        chain_s = later_s.get(index, 0.0) + (0.0 if other is None else run_times.predict(other))
        for earlier in specs[index].after:
            later_s[earlier] = max(later_s.get(earlier, 0.0), approval_s(step) + chain_s)
    return chain_s


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
    slack_s = goal_s - age_s - remaining_s(step, run_times)
    rank = 3 if age_s > goal_s * LATE_FACTOR else int(slack_s < -goal_s * 0.1)
    return (_EXCESS_RANK, rank, slack_s) if step.job.is_excess else (rank, slack_s)
