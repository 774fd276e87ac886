"""Worlds with teams whose caps are checked by the workers' own record of what they run."""

from workflow_split_world import SplitWorld
from workflow_world import WorkflowWorld

from fireflywharf_core.contracts import UNLIMITED, Quota, TeamQuota
from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.workflows import TeamsChanged, WorkflowProgress, WorkflowState


def make_quota(processors_millicores=UNLIMITED, memory_mb=UNLIMITED):
    """Return a quota of processors and memory."""
    return Quota(
        processors_millicores=processors_millicores,
        memory_mb=memory_mb,
        accelerators_count=UNLIMITED,
    )


class TeamChecks:
    """Teams of a world; each start is checked against the cap of its team.

    Attributes:
        teams: team quotas by name, as the configuration lists them.
        caps: caps in force by team, also of removed teams.
        highest_use: largest use of processors by team that a start has led to, in millicores.
    """

    def __init__(self, *args, teams=(), **options):
        self.teams = {team.team: team for team in teams}
        self.caps = {team.team: team.quota for team in teams}
        self.highest_use = {}
        self.team_by_job = {}
        self.accepted_at_s = {}
        self.ended_s = {}
        self.excess_by_job = {}
        super().__init__(*args, **options)

    def list_schedulers(self):
        """Return the schedulers that have not ended."""
        return [self.scheduler]

    def set_teams(self, *teams):
        """Pass a version of the teams to the schedulers; the caps of removed teams stay."""
        self.teams = {team.team: team for team in teams}
        self.caps |= {team.team: team.quota for team in teams}
        for scheduler in self.list_schedulers():
            scheduler.observe(TeamsChanged(teams), self.now_s)

    def begin_tenure(self):
        """Begin a tenure that knows the teams."""
        super().begin_tenure()
        self.scheduler.observe(TeamsChanged(tuple(self.teams.values())), self.now_s)

    def submit(self, job_id, steps, payload="p", team=""):
        """Submit a job of a team."""
        self.team_by_job[job_id] = team
        self.accepted_at_s[job_id] = self.now_s
        super().submit(job_id, steps, payload, team)

    def used_by(self, team):
        """Return what a team has running, by the records of the workers."""
        used = ResourceVector()
        for _, (task, _), active_run in self.iterate_active_runs():
            if self.team_by_job[task.step_name.job_id] == team:
                used = used + active_run.spec.size
        return used

    def count_running(self, team):
        """Return the number of runs of a team, by the records of the workers."""
        return sum(
            self.team_by_job[task.step_name.job_id] == team
            for _, (task, _), _ in self.iterate_active_runs()
        )

    def check_start(self, worker, order, spec):
        """Record a violation if a start raises the use of a team above its cap."""
        super().check_start(worker, order, spec)
        team = self.team_by_job[order.task.step_name.job_id]
        used = self.used_by(team) + spec.size
        self.highest_use[team] = max(self.highest_use.get(team, 0), used.processors_millicores)
        if team and not self.caps[team].allows(used):
            self.violations.append(
                f"{order.task}#{order.number} at {self.now_s:.2f} by {self.epoch_of(order)} raises"
                f" {team} to {used}, above {self.caps[team]}"
            )

    def epoch_of(self, order):
        """Return the ordinal of the tenure whose run numbers include that of an order."""
        return (order.number - 1) // 1000 + 1


class TeamWorld(TeamChecks, WorkflowWorld):
    """World of one scheduler at a time, with teams.

    Attributes:
        excess_by_job: whether a job of a team is excess, by the first scheduler that had it.
        ended_s: time at which the complete state of a job became durable, by job id.
    """

    def utc_s(self):
        """Return the time of day, which is the virtual time."""
        return self.now_s

    def step(self):
        """Advance the time, and note the classes of new jobs."""
        super().step()
        for job in self.scheduler.jobs.values():
            if job.team:
                self.excess_by_job.setdefault(job.job_id, job.is_excess)

    def append(self, record):
        """Append a record and note the end of a job."""
        super().append(record)
        if isinstance(record, WorkflowProgress) and record.state is WorkflowState.COMPLETE:
            self.ended_s.setdefault(record.job_id, self.now_s)


class TeamSplitWorld(TeamChecks, SplitWorld):
    """World of schedulers that may overlap, with teams."""

    def list_schedulers(self):
        """Return the schedulers that have not ended."""
        return [tenure.scheduler for tenure in self.tenures if not tenure.end_cause]


def make_team(name, processors_millicores=UNLIMITED, weight=100.0):
    """Return a team with a cap on its processors."""
    return TeamQuota(team=name, weight=weight, quota=make_quota(processors_millicores))
