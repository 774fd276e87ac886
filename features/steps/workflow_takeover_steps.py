"""Steps for jobs in flight at a change of scheduler."""

import attrs
from behave import given, then, when
from workflow_partition_steps import count_starts
from workflow_world import WorkflowWorld, make_step

from fireflywharf_core.workflows import EndKind, StartRun

LONG_S = 600.0
JOBS = {
    "a lasting task": (make_step(1, long_running=True),),
    "a first step": (make_step(1), make_step(1, after=(0,))),
    "a gang of two": (make_step(2, gang=True, max_per_worker=1),),
}


class TakeoverWorld(WorkflowWorld):
    """World of three workers; a scheduler may end before it records what it has observed."""

    records = True

    def record_progress(self):
        """Append the progress, unless the scheduler ends before."""
        if self.records:
            super().record_progress()


def find_worker(world, job_id, index=0):
    """Return the worker at which a task of a job is at work, and the key of the run."""
    return next(
        (worker, key)
        for worker, key, _ in world.iterate_active_runs()
        if key[0].step_name.job_id == job_id and key[0].index == index
    )


@given("{work} on the first of three workers, and a task on each of the others")
def start_work(context, work):
    world = context.world = TakeoverWorld(workers_count=3)
    context.work = work
    for worker in world.workers.values():
        worker.run_time_s = LONG_S
    world.submit("a", JOBS[work])
    world.run(1.0)
    taken = {find_worker(world, "a", index)[0] for index in range(JOBS[work][0].tasks_count)}
    others = [worker for worker in world.workers.values() if worker not in taken]
    for number in range(len(others)):
        world.submit(f"b{number}", [make_step(1, cpu=4000)])
    world.run(1.0)
    context.first, context.first_key = find_worker(world, "a")
    context.places = {
        "first": context.first,
        "second": find_worker(world, "a", JOBS[work][0].tasks_count - 1)[0],
        "last": find_worker(world, f"b{len(others) - 1}")[0],
    }


@when("the {lost} worker falls silent, and another scheduler takes over before it is noticed")
def lose_and_take_over(context, lost):
    context.places[lost].reachable = False
    context.taken_over_s = context.world.now_s
    context.world.begin_tenure()


@when("{event} {seconds:g} s later")
def play_event(context, event, seconds):
    context.world.run(seconds)
    context.event_s = context.world.now_s
    context.starts_count = count_starts(context.world, "a")
    if event != "nothing happens":
        kind = EndKind.FAILED if event.endswith("fails") else EndKind.DONE
        context.first.end_run(context.first_key, kind)


@when("its run {ends}, the earlier scheduler starts {task} on the last worker, which falls silent")
def end_before_change(context, ends, task):
    world = context.world
    world.records = False
    lost = context.places["last"]
    lost.end_run(find_worker(world, "b1")[1], EndKind.DONE)
    for worker in world.workers.values():
        full = attrs.evolve(worker.info, draining=worker is not lost)
        worker.info = full
    world.publish_directory()
    context.first.end_run(context.first_key, EndKind.FAILED if ends == "fails" else EndKind.DONE)
    world.run(0.5)
    assert find_worker(world, "a")[0] is lost
    lost.reachable = False
    for worker in world.workers.values():
        worker.info = attrs.evolve(worker.info, draining=False)


@when("another scheduler takes over, which knows of neither")
def take_over(context):
    context.taken_over_s = context.event_s = context.world.now_s
    context.starts_count = count_starts(context.world, "a")
    context.world.records = True
    context.world.begin_tenure()


def find_next_start(context):
    """Return the time of the next start of the job, in seconds; None before it."""
    starts = [action for action in context.world.actions if isinstance(action, StartRun)]
    starts = [action for action in starts if action.task.step_name.job_id == "a"]
    return starts[context.starts_count].ordered_s if len(starts) > context.starts_count else None


@then("{task} is started within {seconds:g} s")
def check_soon(context, task, seconds):
    context.world.run(seconds)
    assert find_next_start(context) is not None


@then("{task} is started after the wait")
def check_late(context, task):
    wait_s = context.world.scheduler.timing.inherited_wait_s
    context.world.run(context.taken_over_s + wait_s - context.world.now_s - 0.2)
    assert find_next_start(context) is None, find_next_start(context)
    context.world.run(0.7)
    assert find_next_start(context) is not None


@then("no task runs twice")
def check_violations(context):
    assert not context.world.violations, context.world.violations
