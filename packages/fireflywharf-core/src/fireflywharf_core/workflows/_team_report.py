"""Description of the teams' caps and classes, for the log and the metrics."""

from __future__ import annotations

from collections.abc import Mapping

from ..accounts import Account
from ..contracts import UNLIMITED
from ..resources import ResourceVector
from ._scheduler import WorkflowScheduler
from ._state import Step


def explain_team(scheduler: WorkflowScheduler, step: Step) -> dict:
    """Return log fields about the team of a waiting step; none without a team.

    `cap` names the limits that hold the step, as amount and limit, and is empty if none does.
    """
    job = step.job
    if not job.team:
        return {}
    ledger = scheduler.ledger
    fields = {
        "team": job.team,
        "class": "excess" if job.is_excess else "owed",
        "cap": "",
        "cap_leaves": ledger.count_startable(step),
    }
    if ledger.listed_teams is None:
        fields["cap"] = "not known yet"
    elif ledger.is_held(step):
        count = len(step.waiting) if step.spec.gang else 1
        fields["cap"] = _describe_limits(ledger.accounts[job.team], step.spec.size.scaled(count))
    return fields


def _describe_limits(account: Account, added: ResourceVector) -> str:
    """Return the limits that an account would exceed."""
    held, quota = account.held, account.quota
    rows = (
        ("processors", held.processors_millicores, added.processors_millicores, "m"),
        ("memory", held.memory_mb, added.memory_mb, " MB"),
        ("accelerators", held.accelerators_count, added.accelerators_count, ""),
    )
    limits = (quota.processors_millicores, quota.memory_mb, quota.accelerators_count)
    return ", ".join(
        f"{name}: {amount}{unit} held, {more}{unit} wanted, cap {limit}{unit}"
        for (name, amount, more, unit), limit in zip(rows, limits, strict=True)
        if limit != UNLIMITED and amount + more > limit
    )


def count_held_steps(scheduler: WorkflowScheduler) -> int:
    """Return the number of ready steps of which the cap of their team allows no task to start."""
    return sum(
        job.is_ready(step) and scheduler.ledger.is_held(step)
        for job in scheduler.jobs.values()
        if job.team and not job.state.is_final
        for step in job.steps.values()
    )


def count_excess_jobs(scheduler: WorkflowScheduler) -> int:
    """Return the number of unfinished jobs that their teams have sent beyond their weights."""
    return sum(job.is_excess and not job.state.is_final for job in scheduler.jobs.values())


def list_held_processors(scheduler: WorkflowScheduler) -> Mapping[str, int]:
    """Return the processors that each team in the configuration holds, in millicores."""
    ledger = scheduler.ledger
    return {
        team: ledger.accounts[team].held.processors_millicores for team in ledger.listed_teams or ()
    }
