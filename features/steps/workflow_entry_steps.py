"""Steps for workers whose directory entry is that of an earlier process."""

import attrs
from behave import given, then, when
from workflow_world import WorkflowWorld, make_step

from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.workflows import StartRun, WorkerUndescribed, WorkflowState

CORE = ResourceVector(1000, 8000)
RESTARTED, OTHER = "w0", "w1"


def find_starts(context, worker_id):
    """Return the start orders to a worker since the restart."""
    return [
        action
        for action in context.world.actions
        if isinstance(action, StartRun) and action.worker_id == worker_id
    ]


@given(
    '{count:d} workers of 4 cores with the label "{label}", of which one has runs of {seconds:g} s'
)
def make_workers(context, count, label, seconds):
    world = context.world = WorkflowWorld(workers_count=count)
    for worker in world.workers.values():
        worker.info = attrs.evolve(worker.info, labels=frozenset({label, worker.info.worker_id}))
        worker.run_time_s = seconds
    world.publish_directory()
    world.run(0.5)
    world.submit("earlier", [make_step(2, required_label=label)])
    world.submit("pinned", [make_step(2, required_label=RESTARTED)])
    world.run(0.5)
    assert len(world.workers[RESTARTED].active_runs) >= 2, world.actions


@when('that worker restarts with 1 core and the label "{label}", which its reports show at once')
def restart_as_other_kind(context, label):
    world = context.world
    world.actions.clear()
    worker = world.workers[RESTARTED]
    context.lost_tasks = {
        task for task, _ in worker.active_runs if task.step_name.job_id == "earlier"
    }
    world.cancel("pinned")
    worker.restart()
    worker.info = attrs.evolve(worker.info, capacity=CORE, labels=frozenset({label}))
    world.run(0.1)


@when('{count:d} tasks of 1 core arrive, half of them for the label "{label}"')
def submit_tasks(context, count, label):
    for index in range(count // 2):
        context.world.submit(f"any{index}", [make_step(1)])
        context.world.submit(f"labelled{index}", [make_step(1, required_label=label)])


@then("that worker gets no runs for {seconds:g} s, and a notice says why once")
def check_no_runs(context, seconds):
    context.world.run(seconds)
    assert not find_starts(context, RESTARTED), find_starts(context, RESTARTED)
    notices = [row for row in context.world.actions if isinstance(row, WorkerUndescribed)]
    assert notices == [WorkerUndescribed(worker_id=RESTARTED, incarnation=2)], notices


@then("the tasks that the earlier process ran are started on the other worker")
def check_lost_tasks(context):
    started = {order.task for order in find_starts(context, OTHER)}
    assert context.lost_tasks <= started, (context.lost_tasks, started)


@when("the directory shows the present process")
def publish_present(context):
    context.world.publish_directory()
    context.world.run(0.2)


@then('that worker gets one task of 1 core and none for the label "{label}"')
def check_one_run(context, label):
    job_ids = [order.task.step_name.job_id for order in find_starts(context, RESTARTED)]
    assert len(job_ids) == 1 and job_ids[0].startswith("any"), job_ids


@then("all tasks are complete within {seconds:g} s without a violation")
def check_all_complete(context, seconds):
    world = context.world
    world.run(seconds)
    assert not world.violations, world.violations
    states = {job_id: world.job_state(job_id) for job_id in world.steps_by_job}
    del states["pinned"]
    assert set(states.values()) == {WorkflowState.COMPLETE}, states
