"""Steps for gangs: jobs whose tasks run only all at the same time."""

import attrs
from behave import given, then, when
from workflow_world import WorkflowWorld, make_step

from fireflywharf_core.workflows import Approval, StopRun, WorkflowState


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


@given(
    "{count:d} workers with single tasks, which take {long_s:g} s on {long_count:d} workers"
    " and {short_s:g} s on the others"
)
def add_workers_with_tail(context, count, long_s, long_count, short_s):
    world = context.world = WorkflowWorld(workers_count=count)
    world.varies_run_times = True
    for index, worker in enumerate(world.workers.values()):
        worker.run_time_s = long_s if index < long_count else short_s
    submit_single_tasks(world, count)
    world.run(1.0)


@given(
    "{count:d} workers with single tasks, and approvals that take {delay_s:g} s"
    " and allow {percent:d} in 100"
)
def add_workers_with_slow_approvals(context, count, delay_s, percent):
    world = context.world = WorkflowWorld(workers_count=count, approval=True, seed=3)
    world.varies_run_times = True
    world.approval_delay_s = delay_s
    world.allowed_share = percent / 100
    world.queue = attrs.evolve(
        world.queue,
        approval=Approval(decision_ms=600.0, per_worker_ms=7.0, validity_ms=2000.0),
    )
    world.scheduler.ticket_tracker.long_requests_max = count
    for index, worker in enumerate(world.workers.values()):
        worker.run_time_s = 10.0 if index % 7 == 0 else 1.5
    submit_single_tasks(world, 3 * count)
    world.run(3.0)


def submit_single_tasks(world, count):
    """Submit jobs of one task that occupies half of a worker, at a lower priority."""
    queue, world.queue = world.queue, attrs.evolve(
        world.queue, name="singles", priority=2, approval=None
    )
    for _ in range(count):
        world.submit(f"s{len(world.steps_by_job)}", [make_step(2, cpu=2000)])
    world.queue = queue


@when("a gang of one task on each of {count:d} workers arrives while more single tasks wait")
def submit_gang_among_singles(context, count):
    world = context.world
    submit_single_tasks(world, 20 * len(world.workers))
    world.submit("a", [make_step(count, cpu=4000, gang=True)])


@when(
    "{gangs_count:d} gangs of one task on each of {count:d} workers arrive"
    " while more single tasks wait"
)
def submit_gangs_among_singles(context, gangs_count, count):
    world = context.world
    submit_single_tasks(world, 10 * len(world.workers))
    for number in range(gangs_count):
        world.submit(f"g{number}", [make_step(count, cpu=4000, gang=True)])


@then("{count:d} gangs have started within {seconds:g} s")
def check_started_gangs(context, count, seconds):
    world = context.world
    world.run(seconds)
    states = {f"g{number}": world.job_state(f"g{number}") for number in range(count)}
    assert WorkflowState.QUEUED not in states.values(), states
    assert not world.violations, world.violations


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


@given(
    "{count:d} workers with urgent single tasks, and approvals that take {delay_s:g} s"
    " and allow {percent:d} in 100"
)
def add_workers_with_urgent_tasks(context, count, delay_s, percent):
    world = context.world = WorkflowWorld(workers_count=count, approval=True, seed=3)
    world.varies_run_times = True
    world.approval_delay_s = delay_s
    world.allowed_share = percent / 100
    world.scheduler.ticket_tracker.long_requests_max = count
    for worker in world.workers.values():
        worker.run_time_s = 0.7


@when("gangs that need twice the capacity of all workers arrive for {seconds:g} s")
def submit_gangs_beyond_capacity(context, seconds):
    world = context.world
    gang_queue = attrs.evolve(
        world.queue,
        priority=1,
        approval=Approval(decision_ms=600.0, per_worker_ms=7.0, validity_ms=2000.0),
    )
    short_approval = Approval(decision_ms=12.0, per_worker_ms=0.5, validity_ms=2000.0)
    urgent_queue = attrs.evolve(world.queue, name="urgent", priority=0, approval=short_approval)
    single_queue = attrs.evolve(gang_queue, name="singles", priority=2)
    context.urgent_times_s, context.gang_ends_s, accepted_s = [], [], {}
    gang_size = len(world.workers) // 8
    gang_interval_s = 0.7 * gang_size / len(world.workers) / 2
    end_s, gang_s = world.now_s + seconds, world.now_s
    while world.now_s < end_s:
        world.queue = gang_queue
        while gang_s <= world.now_s:
            gang_s += gang_interval_s
            world.submit(f"g{len(world.steps_by_job)}", [make_step(gang_size, cpu=4000, gang=True)])
        world.queue = single_queue
        world.submit(f"s{len(world.steps_by_job)}", [make_step(3, cpu=2000)])
        world.queue = urgent_queue
        name = f"u{len(world.steps_by_job)}"
        world.submit(name, [make_step(2, cpu=2000)])
        world.run(0.1)
        accepted_s |= {name: world.now_s for name in world.steps_by_job if name not in accepted_s}
        for name, start_s in list(accepted_s.items()):
            if start_s is not None and world.job_state(name) is WorkflowState.COMPLETE:
                accepted_s[name] = None
                if name.startswith("u"):
                    context.urgent_times_s.append(world.now_s - start_s + 0.1)
                else:
                    context.gang_ends_s.append(world.now_s)
    context.urgent_times_s += [
        world.now_s - start_s
        for name, start_s in accepted_s.items()
        if start_s is not None and name.startswith("u")
    ]


@then("{percent:d} in 100 urgent tasks are done within {seconds:g} s and gangs end all the time")
def check_urgent_tasks(context, percent, seconds):
    times_s = sorted(context.urgent_times_s)
    assert times_s[len(times_s) * percent // 100] <= seconds, times_s[::10]
    ends_s = context.gang_ends_s
    gaps_s = [later - earlier for earlier, later in zip(ends_s, ends_s[1:], strict=False)]
    assert len(ends_s) >= 5, ends_s
    assert max(gaps_s) <= 5.0, gaps_s
    assert not context.world.violations, context.world.violations
