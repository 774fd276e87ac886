"""Steps for gangs: jobs whose tasks run only all at the same time."""

from behave import given, then, when
from workflow_world import WorkflowWorld, make_step

from fireflywharf_core.workflows import StopRun, WorkflowState


@given(
    "{count:d} workers of which one needs {short_s:g} s for a task and the other one {long_s:g} s"
)
def add_uneven_workers(context, count, short_s, long_s):
    world = context.world = WorkflowWorld(workers_count=count)
    world.workers["w0"].run_time_s = short_s
    world.workers["w1"].run_time_s = long_s


@when("a gang of one task on each worker starts")
@when("a gang of one task on each of two workers arrives")
def submit_whole_worker_gang(context):
    world = context.world
    world.submit("a", [make_step(2, cpu=4000, gang=True)])


@then("the gang is complete within {seconds:g} s and no run of it was stopped")
def check_gang_not_stopped(context, seconds):
    context.world.run(seconds)
    stops = [action for action in context.world.actions if isinstance(action, StopRun)]
    assert not stops, [(str(stop.task), stop.cause.value, stop.percent) for stop in stops]
    assert context.world.job_state("a") is WorkflowState.COMPLETE, context.world.job_state("a")


@then("it is complete within {seconds:g} s although a member stalled")
def check_gang_restarted(context, seconds):
    context.world.run(seconds)
    assert context.world.job_state("a") is WorkflowState.COMPLETE, context.world.job_state("a")
    assert not context.world.violations, context.world.violations
