"""Steps for the return of work to workers that were disrupted."""

import random

import attrs
from behave import given, then, when
from workflow_world import STEP_S, WorkflowWorld, make_step

from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.workflows import (
    StartRun,
    StepProgress,
    WorkflowProgress,
    WorkflowState,
)
from fireflywharf_core.workflows._state import GANG_INDEX

LABEL = "b"
WORK = {
    "gangs": {"gang": True, "count": 2},
    "gangs with approvals": {"gang": True, "count": 2},
    "single tasks": {"count": 1},
    "tasks on their only attempt": {"count": 1},
}


@given("{count:d} workers that report every {interval_s:g} s, of which {labelled:d} have a label")
def describe_workers(context, count, interval_s, labelled):
    context.workers_count, context.report_interval_s = count, interval_s
    context.labelled_count = labelled


@given("{work} that require the label, alone or beside single tasks without requirements")
def describe_work(context, work):
    context.work = work


def make_world(context, seed):
    """Return a world whose first workers have the label."""
    world = WorkflowWorld(
        seed=seed,
        workers_count=context.workers_count,
        approval="approvals" in context.work,
        max_attempts=1 if "only attempt" in context.work else 3,
    )
    world.report_interval_s = context.report_interval_s
    context.labelled = list(world.workers.values())[: context.labelled_count]
    for worker in context.labelled:
        worker.info = attrs.evolve(worker.info, labels=frozenset({LABEL}))
    world.publish_directory()
    return world


def submit_labelled(context, world, job_id):
    world.submit(job_id, [make_step(**WORK[context.work], required_label=LABEL)])


def set_fault(context, fault, active):
    """Begin or end a fault of the labelled workers; runs that hang already stay so."""
    for worker in context.labelled:
        match fault:
            case "fail all runs":
                worker.fails_all_runs = active
                worker.run_time_s = 0.0 if active else 0.4
            case "make no progress":
                worker.run_time_s = 1e6 if active else 0.4


def run_with_arrivals(context, world, seconds, labelled_per_s, singles_per_s, rng):
    """Advance the time while labelled work and single tasks arrive."""
    end_s = world.now_s + seconds
    while world.now_s < end_s:
        if rng.random() < labelled_per_s * STEP_S:
            submit_labelled(context, world, f"l{len(world.steps_by_job)}")
        if rng.random() < singles_per_s * STEP_S:
            world.submit(f"s{len(world.steps_by_job)}", [make_step(1)])
        world.step()


def measure_first_start_s(context, fault, seed):
    """Return the time from the end of the last fault to the first start of labelled work.

    A job arrives at each end. Older ones may start first, as the workers have room for few at once.
    """
    rng, world = random.Random(seed), make_world(context, seed)
    labelled_per_s = rng.uniform(0.5, 4.0)
    singles_per_s = rng.choice([0.0, 1.0, 10.0])
    run_with_arrivals(context, world, rng.uniform(0.5, 3.0), labelled_per_s, singles_per_s, rng)
    sound_s = 0.0
    for _ in range(rng.randint(1, 3)):
        set_fault(context, fault, True)
        run_with_arrivals(context, world, rng.uniform(0.5, 6.5), labelled_per_s, singles_per_s, rng)
        set_fault(context, fault, False)
        sound_s = world.now_s
        submit_labelled(context, world, f"l{len(world.steps_by_job)}")
        run_with_arrivals(context, world, rng.uniform(0.5, 5.0), 0.0, singles_per_s, rng)
    run_with_arrivals(context, world, 20.0, 0.0, singles_per_s, rng)
    assert not world.violations, world.violations
    return find_first_start_s(world, sound_s) - sound_s


def find_first_start_s(world, after_s):
    """Return when labelled work was first ordered to start after a time; infinity if never."""
    starts = (
        action.ordered_s
        for action in world.actions
        if isinstance(action, StartRun)
        and action.ordered_s > after_s
        and action.task.step_name.job_id.startswith("l")
    )
    return min(starts, default=float("inf"))


@when(
    "the {labelled:d} workers {fault} one to three times for up to {most_s:g} s,"
    " in {runs:d} seeded runs"
)
def play_faults(context, labelled, fault, most_s, runs):
    context.first_starts_s = {
        seed: round(measure_first_start_s(context, fault, seed), 2) for seed in range(runs)
    }


@then("{work} that arrive when they are sound again start within {seconds:g} s")
def check_first_starts(context, work, seconds):
    late = {seed: s for seed, s in context.first_starts_s.items() if s > seconds}
    assert not late, f"first starts by seed: {context.first_starts_s}"


def make_small_world(context, workers_count=1, processors_millicores=1000):
    """Return a world of few small workers that report every 1.5 s."""
    world = context.world = WorkflowWorld(
        workers_count=workers_count, capacity=ResourceVector(processors_millicores, 8000)
    )
    world.report_interval_s = 1.5
    world.run(2.0)
    return world


@given("a task that the only idle worker cannot run because it refuses a start as unhealthy")
def refuse_start(context):
    world = make_small_world(context)
    world.workers["w0"].refuses_next_start = True
    world.submit("a", [make_step(1)])
    world.run(0.2)
    assert not world.workers["w0"].refuses_next_start


@given(
    "a task that the only idle worker cannot run because its entry is missing in the directory"
    " for a moment"
)
def remove_entry(context):
    world = make_small_world(context)
    world.unlisted_workers.add("w0")
    world.publish_directory()
    world.submit("a", [make_step(1)])
    world.run(1.0)
    world.unlisted_workers.clear()
    world.publish_directory()


@given(
    "a task that the only idle worker cannot run because its capacity is reserved for a gang"
    " that is cancelled"
)
def reserve_capacity(context):
    world = make_small_world(context, processors_millicores=2000)
    world.workers["w0"].run_time_s = 60.0
    world.submit("other", [make_step(1)])
    world.run(2.0)
    world.workers["w0"].run_time_s = 0.4
    world.submit("gang", [make_step(2, gang=True)])
    world.run(0.5)
    # A shorter task could end before the gang is expected to start.
    world.submit("a", [attrs.evolve(make_step(1), estimate_ms=200000.0)])
    world.run(0.5)
    world.cancel("gang")


@given(
    "{count:d} workers, of which one with a label is idle but kept for urgent tasks,"
    " and one is busy"
)
def keep_places(context, count):
    world = make_small_world(context, workers_count=count)
    for name, label in (("w0", LABEL), ("w1", LABEL), ("w1", "c")):
        worker = world.workers[name]
        worker.info = attrs.evolve(worker.info, labels=worker.info.labels | {label})
    world.workers["w1"].run_time_s = 60.0
    world.publish_directory()
    world.submit("other", [make_step(1, required_label="c")])
    queue = world.queue
    for number in range(6):
        world.queue = attrs.evolve(queue, priority=0)
        world.submit(f"u{number}", [make_step(1)])
        world.run(0.5)
    world.queue = attrs.evolve(queue, name="r", priority=1)


@when("a task arrives that requires the label of these two")
def submit_labelled_task(context):
    world = context.world
    world.submit("a", [make_step(1, required_label=LABEL)])
    world.run(2 * STEP_S)
    assert [worker.worker_id for worker in world.scheduler.headroom.workers_] == ["w0"]


@when("the cause is over and nothing else happens")
def check_waiting(context):
    assert context.world.job_state("a") is WorkflowState.QUEUED, context.world.job_state("a")


@given("{count:d} workers and a start order to one of them that is delayed in the network")
def delay_start_order(context, count):
    world = context.world = WorkflowWorld(workers_count=count)
    world.run(0.2)
    for worker in world.workers.values():
        worker.loses_start_orders = True
    world.submit("a", [make_step(1)])
    while not any(isinstance(action, StartRun) for action in world.actions):
        world.step()
    context.order = next(action for action in world.actions if isinstance(action, StartRun))
    for worker in world.workers.values():
        worker.loses_start_orders = False


@when("the worker restarts under its id and the order arrives {pause_s:g} s later")
def restart_worker(context, pause_s):
    world, order = context.world, context.order
    worker = world.workers[order.worker_id]
    worker.restart()
    world.publish_directory()
    world.delayed_orders.append((world.now_s + pause_s, worker, order, world.epoch))
    for other in world.workers.values():
        other.run_time_s = 3.0
    world.run(pause_s + 1.0)


@when("the process of the worker ends, and one under its id accepts the order {pause_s:g} s later")
def restart_worker_later(context, pause_s):
    world, order = context.world, context.order
    worker = world.workers[order.worker_id]
    worker.reachable = False
    world.run(pause_s - STEP_S)
    worker.restart()
    worker.reachable = True
    world.delayed_orders.append((world.now_s, worker, order, world.epoch))
    for other in world.workers.values():
        other.run_time_s = 3.0
    world.run(1.0)


@then("its task is complete within {seconds:g} s without a second run beside the first")
def check_one_run(context, seconds):
    world = context.world
    world.run(seconds)
    assert not world.violations, world.violations
    assert world.job_state("a") is WorkflowState.COMPLETE, world.job_state("a")


@given("a journal with a failure of run {number:d} of {work}")
def record_failure(context, number, work):
    world = context.world = WorkflowWorld(workers_count=2)
    is_gang = work == "a gang"
    world.submit("a", [make_step(2 if is_gang else 1, gang=is_gang)])
    failures = {GANG_INDEX if is_gang else 0: (number,)}
    row = StepProgress(occurrence=0, step=0, done_bits=0, failures=failures)
    world.append(WorkflowProgress(job_id="a", state=WorkflowState.RUNNING, steps=(row,)))


@when("a scheduler whose first run number is {number:d} starts it again")
def begin_tenure_with_number(context, number):
    world = context.world
    world.begin_tenure()
    world.scheduler.runs.first_number = number
    world.run(0.5)


@then("that run has number {number:d}")
def check_number(context, number):
    starts = [action for action in context.world.actions if isinstance(action, StartRun)]
    assert starts and {start.number for start in starts} == {number}, starts
