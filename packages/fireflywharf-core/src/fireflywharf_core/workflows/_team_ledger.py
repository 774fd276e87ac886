"""Accounts of the teams: what each has running, and how many further tasks its cap allows."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

import attrs

from ..accounts import Account
from ..contracts import UNLIMITED, Quota, TeamQuota
from ..resources import ResourceVector
from ._journal import JournaledWorkflow
from ._journal_records import (
    WorkflowState,
)
from ._specs import StepSpec, WorkflowSpec
from ._state import Job, Run, Step

_NO_CAP = Quota(processors_millicores=UNLIMITED, memory_mb=UNLIMITED, accelerators_count=UNLIMITED)


@attrs.define(slots=True, eq=False)
class _JobCharge:
    """What a job is charged with.

    Args:
        team: team of the job.
        sizes: size of each known run that may be alive.
        is_bounded: whether an earlier tenure may have left runs that are not known yet.
        has_ended: whether the job had ended before this tenure.
        bound: upper bound of the runs that an earlier tenure may have left.
        within: sum of the sizes of the known runs that the bound includes.
        beyond: sum of the sizes of the other known runs, for instance of tasks that are done.
    """

    team: str
    sizes: dict[Run, ResourceVector] = attrs.field(factory=dict)
    is_bounded: bool = False
    has_ended: bool = False
    bound: ResourceVector = ResourceVector()
    within: ResourceVector = ResourceVector()
    beyond: ResourceVector = ResourceVector()

    def add(self, run: Run, size: ResourceVector, sign: int) -> None:
        """Add the size of a run, or subtract it if `sign` is -1."""
        if run.step is not None or self.has_ended:
            self.within = self.within + size.scaled(sign)
        else:
            self.beyond = self.beyond + size.scaled(sign)

    @property
    def total(self) -> ResourceVector:
        """The known runs, and those within the bound that are not known."""
        return self.beyond + ResourceVector(
            max(self.bound.processors_millicores, self.within.processors_millicores),
            max(self.bound.memory_mb, self.within.memory_mb),
            max(self.bound.accelerators_count, self.within.accelerators_count),
        )


class TeamLedger:
    """Charges the runs that may be alive to their teams and limits the starts by the teams' caps.

    A run is charged from the decision to start it, or from the report that shows it, until its end
    is certain. Until the earlier runs are reconciled, each job that an earlier tenure may have
    started is charged with all of its unfinished tasks, because any of them may be running. The
    earlier tenure can start no others: their progress would have to be in the journal.

    Jobs without a team are not tracked.

    Args:
        find_spec: returns the specification of a job, also of one that has ended.
        find_team: returns the team of a job, also of one that has ended; empty without one.

    Attributes:
        accounts: account of each team by name. A team that was removed from the configuration keeps
            its last quota and weight for its jobs.
        listed_teams: names of the teams in the configuration; None before it is known.
        known_teams: names of the teams whose quota is known, from the configuration or from a job.
        is_reconciled: whether all runs of earlier tenures are known or have ended.
    """

    def __init__(
        self,
        find_spec: Callable[[str], WorkflowSpec | None],
        find_team: Callable[[str], str],
    ) -> None:
        self._find_spec = find_spec
        self._find_team = find_team
        self.accounts: dict[str, Account] = {}
        self.listed_teams: frozenset[str] | None = None
        self.known_teams: set[str] = set()
        self.is_reconciled = False
        self._charges: dict[str, _JobCharge] = {}

    def update_teams(self, teams: Iterable[TeamQuota]) -> None:
        """Apply a version of the teams; teams that it does not list keep their last quota."""
        listed = {team.team: team for team in teams}
        for name, team in listed.items():
            account = self._find_account(name)
            account.weight, account.quota = team.weight, team.quota
        self.listed_teams = frozenset(listed)
        self.known_teams.update(listed)

    def add_team(self, team: TeamQuota | None) -> None:
        """Apply the quota with which a job was accepted, if no version has listed its team."""
        if team is not None and team.team not in self.known_teams:
            self.known_teams.add(team.team)
            account = self._find_account(team.team)
            account.weight, account.quota = team.weight, team.quota

    def _find_account(self, team: str) -> Account:
        account = self.accounts.get(team)
        if account is None:
            account = self.accounts[team] = Account(name=team, weight=math.inf, quota=_NO_CAP)
        return account

    def add_inherited(self, job_id: str, journaled: JournaledWorkflow, job: Job | None) -> None:
        """Charge a job that an earlier tenure may have started with its unfinished tasks.

        Args:
            job_id: the job.
            journaled: its state in the journal.
            job: the job; None if it has ended.
        """
        if not journaled.team or journaled.progress is None or self.is_reconciled:
            return
        if journaled.accepted is None or journaled.state is WorkflowState.COMPLETE:
            return
        charge = self._charges.setdefault(job_id, _JobCharge(journaled.team))
        before = charge.total
        charge.is_bounded, charge.has_ended = True, job is None
        charge.bound = _unfinished_size(journaled.accepted.spec, job)
        self._update_account(charge, before)

    def _update_account(self, charge: _JobCharge, before: ResourceVector) -> None:
        account = self._find_account(charge.team)
        account.held = account.held + charge.total - before

    def complete_reconciliation(self) -> bool:
        """Charge only the known runs from now on, as all runs of earlier tenures are among them.

        Returns:
            Whether a job has less charged to it than before.
        """
        if self.is_reconciled:
            return False
        self.is_reconciled = True
        bounded = [row for row in self._charges.items() if row[1].is_bounded]
        for job_id, charge in bounded:
            before = charge.total
            charge.is_bounded, charge.bound = False, ResourceVector()
            self._update_account(charge, before)
            if not charge.sizes:
                del self._charges[job_id]
        return bool(bounded)

    def charge(self, run: Run) -> None:
        """Charge a run that may be alive to its team."""
        job_id = run.task.step_name.job_id
        run.team = self._find_team(job_id) if run.step is None else run.step.job.team
        if not run.team:
            return
        charge = self._charges.setdefault(job_id, _JobCharge(run.team))
        before = charge.total
        size = charge.sizes[run] = self._find_size(run)
        charge.add(run, size, 1)
        self._update_account(charge, before)

    def release(self, run: Run) -> None:
        """Release the charge of a run whose end is certain."""
        charge = self._charges.get(run.task.step_name.job_id) if run.team else None
        size = None if charge is None else charge.sizes.pop(run, None)
        if size is None:
            return
        before = charge.total
        charge.add(run, size, -1)
        self._update_account(charge, before)
        if not charge.sizes and not charge.is_bounded:
            del self._charges[run.task.step_name.job_id]

    def _find_size(self, run: Run) -> ResourceVector:
        """Return the size of a run; that of a filling task counts in full."""
        if run.step is not None:
            return run.step.spec.size
        spec = self._find_spec(run.task.step_name.job_id)
        step = run.task.step_name.step
        if spec is None or step >= len(spec.steps):
            return run.demand
        return spec.steps[step].size

    def count_startable(self, step: Step) -> int:
        """Return how many of the waiting tasks of a step the cap of its team allows to start now.

        A gang starts as a whole or not at all. No task of a team may start before the caps are
        known.
        """
        wanted = len(step.waiting)
        team = step.job.team
        if not team:
            return wanted
        if self.listed_teams is None and team not in self.known_teams:
            return 0
        count = self._find_account(team).count_within_quota(step.spec.size, wanted)
        return 0 if step.spec.gang and count < wanted else count

    def is_held(self, step: Step) -> bool:
        """Return whether tasks of a step wait and the cap of its team allows none of them."""
        return bool(step.job.team and step.waiting) and self.count_startable(step) == 0

    def may_close(self, job_id: str) -> bool:
        """Return whether a job that has ended may lose its specification in the journal.

        The next scheduler charges the runs of a closed job to no team until it knows them, so a
        job of a team is closed only when none of its runs can be alive.
        """
        if job_id in self._charges:
            return False
        return self.is_reconciled or not self._find_team(job_id)


def _unfinished_size(spec: WorkflowSpec, job: Job | None) -> ResourceVector:
    """Return the size of all tasks that are not done; all tasks if the job has ended."""
    total = ResourceVector()
    occurrences_count = spec.occurrences_count - (0 if job is None else len(job.done))
    for step_spec in spec.steps:
        total = total + _size_of(step_spec, step_spec.tasks_count * occurrences_count)
    for step in () if job is None else job.steps.values():
        total = total - _size_of(step.spec, step.done_bits.bit_count())
    return total


def _size_of(spec: StepSpec, tasks_count: int) -> ResourceVector:
    return spec.size.scaled(tasks_count)
