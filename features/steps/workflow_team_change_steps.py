"""Steps for teams that change while their jobs wait: unknown teams and changes of scheduler."""

import attrs
from behave import given, then, when
from workflow_team_world import TeamWorld, make_team
from workflow_world import make_step

from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.workflows import WorkflowAccepted, WorkflowSpec, find_exceeded_quota


class UnlistedTeamWorld(TeamWorld):
    """World in which the acceptances name a quota that no version for the scheduler lists."""

    accepted_team = None

    def append(self, record):
        """Append a record, with the quota if it is an acceptance."""
        if isinstance(record, WorkflowAccepted):
            record = attrs.evolve(record, team_quota=self.accepted_team)
        super().append(record)


@given(
    "a scheduler whose configuration does not list team t, which has a cap of {cores:d} processors"
)
def create_unlisted(context, cores):
    context.world = UnlistedTeamWorld(workers_count=4)
    context.world.accepted_team = make_team("t", cores * 1000)
    context.world.caps["t"] = context.world.accepted_team.quota


@when("{count:d} tasks of the team arrive in jobs that name its quota")
def submit_tasks(context, count):
    for index in range(count):
        context.world.submit(f"j{index}", [make_step(1)], team="t")
    context.world.run(4.0)


@then("the team has had {cores:d} processors running at most, and all its jobs are complete")
def check_use(context, cores):
    world = context.world
    assert not world.violations, world.violations
    assert world.highest_use["t"] == cores * 1000, world.highest_use
    assert len(world.ended_s) == len(world.team_by_job), world.ended_s


@given("team t with a weight of {weight:d}, which sends {count:d} jobs in {seconds:d} s")
def send_burst(context, weight, count, seconds):
    world = context.world = TeamWorld(
        workers_count=1,
        capacity=ResourceVector(1000, 8000),
        teams=[make_team("t", weight=float(weight))],
    )
    for index in range(count):
        world.submit(f"j{index}", [make_step(1)], team="t")
        world.run(seconds / count)


@when("the scheduler is replaced after some of the owed jobs have ended")
def replace_scheduler(context):
    world = context.world
    assert 2 <= len(world.ended_s) < len(world.team_by_job), world.ended_s
    world.begin_tenure()
    world.run(0.3)


@then("its successor counts the same of the other jobs as excess")
def check_classes(context):
    world = context.world
    present = {job.job_id: job.is_excess for job in world.scheduler.jobs.values()}
    assert sum(present.values()) >= 10, present
    assert present == {job_id: world.excess_by_job[job_id] for job_id in present}


@when("a job with {kind} of {count:d} tasks of {cores:d} processors is checked against a cap of 6")
def check_quota(context, kind, count, cores):
    step = make_step(count, cpu=cores * 1000, gang="gang" in kind)
    spec = WorkflowSpec(payload="", steps=(make_step(1), step))
    context.exceeded = find_exceeded_quota(spec, make_team("t", 6000))


@then("{answer} is found")
def check_found(context, answer):
    found = context.exceeded
    text = "nothing" if found is None else f"{found.field}: {found.value} of {found.limit}"
    assert text == answer, text
