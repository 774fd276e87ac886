"""Steps for the end of places that are kept for urgent tasks."""

import attrs
from behave import given, then, when
from workflow_world import WorkflowWorld, make_step

from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.workflows import StartRun

CORES_4, HALF_CORE = ResourceVector(4000, 8000), ResourceVector(500, 8000)
LONG_S = 60.0


def submit_urgent(world, job_id):
    """Submit a job of the highest priority with one short task."""
    queue, world.queue = world.queue, attrs.evolve(world.queue, name="u", priority=0)
    world.submit(job_id, [make_step(1)])
    world.queue = queue


def find_start_s(world, job_id):
    """Return when a task of a job was first ordered to start, or None."""
    for action in world.actions:
        if isinstance(action, StartRun) and action.task.step_name.job_id == job_id:
            return action.ordered_s
    return None


@given(
    "{count:d} workers, of which two are full for a minute, one has a long-running task and one is"
    " idle"
)
def fill_workers(context, count):
    world = context.world = WorkflowWorld(workers_count=count, capacity=CORES_4)
    run_times_s = [worker.run_time_s for worker in world.workers.values()]
    for worker, label in zip(world.workers.values(), ("", "", "full", "full"), strict=True):
        worker.info = attrs.evolve(worker.info, labels=frozenset({label}))
        worker.run_time_s = LONG_S
    world.publish_directory()
    world.run(0.5)
    world.submit("full", [make_step(8, required_label="full")])
    world.submit("long", [make_step(1, cpu=4000, long_running=True)])
    world.run(0.5)
    for worker, run_time_s in zip(world.workers.values(), run_times_s, strict=True):
        worker.run_time_s = run_time_s
    ((context.lost, _, _),) = (
        row for row in world.iterate_active_runs() if row[1][0].step_name.job_id == "long"
    )


@given("urgent jobs that arrive every {interval_s:g} s")
def begin_urgent_jobs(context, interval_s):
    context.urgent_interval_s = interval_s
    run_with_urgent_jobs(context, 3.0)


def run_with_urgent_jobs(context, seconds):
    """Advance the time while urgent jobs arrive."""
    world = context.world
    for _ in range(round(seconds / context.urgent_interval_s)):
        submit_urgent(world, f"u{len(world.steps_by_job)}")
        world.run(context.urgent_interval_s)


@when("the worker of the long-running task restarts without room for it")
def restart_without_room(context):
    world = context.world
    context.lost.restart()
    context.lost.info = attrs.evolve(context.lost.info, capacity=HALF_CORE)
    world.publish_directory()
    world.actions.clear()
    context.lost_s = world.now_s


@then("the long-running task is started again within {seconds:g} s")
def check_long_running(context, seconds):
    run_with_urgent_jobs(context, 2 * seconds)
    world = context.world
    started_s = find_start_s(world, "long")
    assert started_s is not None, "it is not started again"
    assert started_s <= context.lost_s + seconds, f"after {started_s - context.lost_s:.2f} s"
    assert not world.violations, world.violations


@then("places are still kept for urgent tasks")
def check_kept(context):
    assert context.world.scheduler.headroom.rate_ > 0


@given("an urgent job that has ended")
def end_urgent_job(context):
    context.urgent_s = context.world.now_s
    submit_urgent(context.world, "u")
    context.world.run(1.0)


@when("a task arrives whose only alternative is full")
def submit_task(context):
    context.world.submit("a", [make_step(1, cpu=4000)])
    context.world.run(10.0)


@then("it is started between {least_s:g} s and {most_s:g} s after the urgent job")
def check_start(context, least_s, most_s):
    started_s = find_start_s(context.world, "a")
    assert started_s is not None, "it is not started"
    waited_s = started_s - context.urgent_s
    assert least_s <= waited_s <= most_s, f"it was started after {waited_s:.2f} s"
