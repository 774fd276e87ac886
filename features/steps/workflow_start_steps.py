"""Steps for start orders and for the workers on which a scheduler may have started runs."""

from behave import given, then, when
from workflow_world import WorkflowWorld, make_step

from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.workflows import (
    StartAnswered,
    StartResult,
    StartRun,
    WorkerIncarnationEnded,
    WorkersInUse,
)
from fireflywharf_core.workflows._start_window import StartWindow


@given("a scheduler with {count:d} workers")
def create_scheduler(context, count):
    context.world = WorkflowWorld(workers_count=count)
    context.world.run(1.0)


@when("one of them leaves the directory and its leases have expired")
def remove_worker(context):
    world = context.world
    context.recorded = set(world.workers)
    world.unlisted_workers.add("w0")
    world.workers["w0"].reachable = False
    world.publish_directory()
    world.run(13.0)


@when("one of them leaves the directory and its process has exited")
def end_worker_process(context):
    world = context.world
    context.recorded = set(world.workers)
    world.unlisted_workers.add("w0")
    world.workers["w0"].reachable = False
    world.publish_directory()
    world.scheduler.observe(WorkerIncarnationEnded("w0"), world.now_s)
    world.run(0.2)


@then("the other {count:d} are to be recorded as in use")
def check_recorded(context, count):
    world = context.world
    recorded = world.scheduler.workers_to_record(context.recorded, world.now_s)
    assert recorded == {"w1", "w2"} and len(recorded) == count, recorded


@then("all {count:d} are while the runs of an earlier scheduler are not reconciled")
def check_recorded_early(context, count):
    world = context.world
    world.append(WorkersInUse(worker_ids=tuple(sorted(context.recorded))))
    for worker in world.workers.values():
        worker.reachable = False
    inherited = world.journal_state.workers_in_use
    world.begin_tenure()
    recorded = world.scheduler.workers_to_record(inherited, world.now_s)
    assert len(recorded) == count, recorded


@given("{count:d} waiting tasks and workers that do not answer start orders")
def create_unanswering_world(context, count):
    world = context.world = WorkflowWorld(workers_count=10, capacity=ResourceVector(200000, 200000))
    world.run(0.2)
    for number in range(count // 10):
        world.submit(f"{number:016x}", [make_step(10)])
    world.record_progress()
    context.orders = []


@when("the scheduler decides for {seconds:g} s")
def decide_without_answers(context, seconds):
    world = context.world
    for _ in range(round(seconds / 0.05)):
        world.now_s += 0.05
        context.orders += world.scheduler.decide(world.now_s, 0.0)


@then("it has ordered between {low:d} and {high:d} starts")
def check_starts_count(context, low, high):
    starts = [order for order in context.orders if isinstance(order, StartRun)]
    assert low <= len(starts) <= high, len(starts)


@when("{count:d} start orders are answered after {answer_s:g} s")
def observe_answers(context, count, answer_s):
    context.window = StartWindow()
    context.limit_before = context.window.limit_
    for number in range(count):
        context.window.observe(answer_s, number * 0.5)


@then("the limit of open start orders {changes}")
def check_limit(context, changes):
    limit = context.window.limit_
    if changes == "has risen":
        assert limit > context.limit_before, limit
    else:
        assert limit < context.limit_before, limit


@given("a start order whose answer takes {seconds:g} s")
def create_slow_answer(context, seconds):
    world = context.world = WorkflowWorld(workers_count=1)
    world.run(0.2)
    world.submit("a", [make_step(1)])
    world.record_progress()
    context.orders = []
    context.answer_s = seconds


@when("the scheduler decides until then")
def decide_until_answer(context):
    world = context.world
    decide_without_answers(context, context.answer_s)
    order = next(order for order in context.orders if isinstance(order, StartRun))
    answer = StartAnswered(order.worker_id, order.task, order.number, StartResult.STARTED)
    world.scheduler.observe(answer, world.now_s)


@then("the order was sent once")
def check_sent_once(context):
    assert len(context.orders) == 1, context.orders
