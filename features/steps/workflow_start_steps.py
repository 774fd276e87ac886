"""Steps for start orders and for the workers on which a scheduler may have started runs."""

import asyncio
import math
from types import SimpleNamespace

import attrs
from behave import given, then, when
from workflow_partition_steps import MemoryLog
from workflow_resilience_steps import WORKER
from workflow_tenure_steps import SilentWorkers, make_scheduler
from workflow_world import WorkflowWorld, make_step

from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.workflows import (
    Approval,
    AskApproval,
    JournalState,
    Queue,
    StartAnswered,
    StartResult,
    StartRun,
    StepName,
    StopRun,
    Timing,
    WorkersInUse,
    WorkflowSpec,
    WorkflowState,
    encode_record,
)
from fireflywharf_core.workflows._scheduler import DEPARTED_SILENCE_S
from fireflywharf_core.workflows._start_window import StartWindow
from fireflywharf_core.workflows._state import Job
from fireflywharf_daemon.workflows import PollFailed, WorkerReport


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


@when("one of them leaves the directory and has refused connections for {seconds:g} s")
def refuse_connections(context, seconds):
    world = context.world
    context.recorded = set(world.workers)
    world.unlisted_workers.add("w0")
    world.workers["w0"].reachable = False
    world.publish_directory()
    world.run(seconds)


@then("all {count:d} are still to be recorded as in use")
def check_recorded_still(context, count):
    world = context.world
    recorded = world.scheduler.workers_to_record(context.recorded, world.now_s)
    assert recorded == {"w0", "w1", "w2"} and len(recorded) == count, recorded


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


@given(
    "a step that only one of {count:d} workers may run,"
    " with tickets that are valid for {validity_s:g} s"
)
def submit_to_one_allowed_worker(context, count, validity_s):
    world = context.world = WorkflowWorld(workers_count=count, approval=True)
    world._is_allowed = lambda step, worker_id: worker_id == "w1"
    world.ticket_validity_s = validity_s
    world.run(0.2)
    world.submit("a", [make_step(1)])


@when("that worker rejects the first ticket")
def reject_first_ticket(context):
    context.world.workers["w1"].rejects_next_ticket = True


@when("that worker answers no order for {seconds:g} s and then all")
def leave_orders_unanswered(context, seconds):
    world, worker = context.world, context.world.workers["w1"]
    worker.loses_start_orders = True
    while not any(isinstance(action, StartRun) for action in world.actions):
        world.step()
    world.run(seconds)
    worker.loses_start_orders = False


@when("that worker starts the run but its answers and reports are lost for {seconds:g} s")
def lose_answers(context, seconds):
    world, worker = context.world, context.world.workers["w1"]
    worker.run_time_s = 2.0
    worker.falls_silent_at_start = True
    while worker.reachable:
        world.step()
    worker.falls_silent_at_start = False
    world.run(seconds)
    worker.reachable = True


@then("the job is complete within {seconds:g} s and its run was not stopped")
def check_run_not_stopped(context, seconds):
    context.world.run(seconds)
    stops = [action for action in context.world.actions if isinstance(action, StopRun)]
    assert not stops, stops
    assert context.world.job_state("a") is WorkflowState.COMPLETE


@then("the job is complete within {seconds:g} s and {count:d} ticket was rejected")
@then("the job is complete within {seconds:g} s and {count:d} tickets were rejected")
def check_complete_with_rejections(context, seconds, count):
    world = context.world
    world.run(seconds)
    assert world.job_state("a") is WorkflowState.COMPLETE, world.job_state("a")
    assert world.rejected_tickets_count == count, world.rejected_tickets_count


@given("a scheduler whose only long request for approval is ordered as its job ends")
def create_scheduler_with_request(context):
    context.scheduler = make_scheduler(MemoryLog(1), SilentWorkers())
    context.tracker = context.scheduler.scheduler.ticket_tracker
    context.order = AskApproval(step=StepName("a", 0, 0), worker_ids=("w0",))
    queue = Queue(
        name="q",
        host="h",
        path_prefix="/",
        service="s",
        approval=Approval(decision_ms=600.0, per_worker_ms=7.0, validity_ms=2000.0),
    )
    spec = WorkflowSpec(payload="", steps=(make_step(1),))
    job = Job("a", queue, spec, accepted_s=0.0, inherited=False)
    job.create_occurrence(0)
    context.step = job.steps[0, 0]
    context.tracker._order_request(context.step, ["w0"], 0.0)
    assert not context.tracker._can_ask(context.step)


@when("the order is executed")
def execute_order(context):
    asyncio.run(context.scheduler._orders.request_approval(context.order))


@then("another step may send a long request")
def check_may_ask(context):
    assert context.tracker._can_ask(context.step)


class LeavingWorkers:
    """Gateway to workers without runs, of which some have left."""

    def __init__(self):
        self.silent_ids = set()
        self.polled_ids = set()

    async def poll_worker(self, info, **options):
        """Answer with an empty report, or fail."""
        await asyncio.sleep(0.05)
        self.polled_ids.add(info.worker_id)
        if info.worker_id in self.silent_ids:
            return PollFailed("planted by the scenario")
        return WorkerReport(incarnation=1, running=(), ended=(), ends_complete=True)

    async def forget_worker(self, worker_id):
        """Keep nothing."""


async def start_scheduler(context):
    """Start a scheduler, and return it and its two workers after both have answered."""
    context.log, context.workers = MemoryLog(1), LeavingWorkers()
    scheduler = make_scheduler(context.log, context.workers)
    scheduler._approvals = SimpleNamespace(long_requests_vms_count=1)
    scheduler.start()
    context.directory = {name: attrs.evolve(WORKER, worker_id=name) for name in ("w0", "w1")}
    while not scheduler._loaded:
        await asyncio.sleep(0.01)
    await scheduler.handle_directory(context.directory)
    while context.workers.polled_ids != set(context.directory):
        await asyncio.sleep(0.01)
    return scheduler


async def record_departure(context, pause_s):
    """Let one of two workers leave, then fall silent, and end the scheduler a while later."""
    scheduler = await start_scheduler(context)
    await scheduler.handle_directory({"w1": context.directory["w1"]})
    await asyncio.sleep(0.2)
    context.workers.silent_ids.add("w0")
    await asyncio.sleep(pause_s)
    await scheduler.close()


@when(
    "one of two workers leaves, then answers no more, and the scheduler ends {pause_s:g} s later"
    " without a further change of the directory"
)
def end_scheduler_after_departure(context, pause_s):
    context.pause_s = pause_s
    asyncio.run(asyncio.wait_for(record_departure(context, pause_s), 20.0))


def take_over(context, age_s):
    """Return a world with an inherited job whose scheduler read the journal `age_s` earlier."""
    world = WorkflowWorld(workers_count=2)
    state = read_journal(context, world.now_s - age_s)
    world.unlisted_workers.add("w0")
    world.submit("a", [make_step(1)])
    world.record_progress()
    world.journal_state.workers_in_use = state.workers_in_use
    world.journal_state.departures = state.departures
    world.begin_tenure()
    return world


def read_journal(context, now_s):
    """Return the journal of the scenario as a daemon read it at a time."""
    state = JournalState()
    for offset, record in context.log.rows[0]:
        state.apply(offset, record.key, record.value, now_s)
    return state


@given("a scheduler of two workers, one of which leaves the directory and answers no more")
def describe_silent_departure(context):
    async def leave():
        scheduler = await start_scheduler(context)
        context.workers.silent_ids.add("w0")
        await scheduler.handle_directory({"w1": context.directory["w1"]})
        return scheduler

    context.leave = leave


@when("the scheduler is ended {pause_s:g} s later")
def end_scheduler(context, pause_s):
    async def run():
        scheduler = await context.leave()
        await asyncio.sleep(pause_s)
        await scheduler.close()

    context.pause_s = pause_s
    asyncio.run(asyncio.wait_for(run(), 20.0))


@then("the next one starts an inherited job within {seconds:g} s of the departure")
def check_start_after_departure(context, seconds):
    # The departure is recorded after at least 2 s of silence.
    world = take_over(context, context.pause_s - DEPARTED_SILENCE_S)
    lease_end_s = world.now_s - context.pause_s + DEPARTED_SILENCE_S + 6.0
    world.run(seconds - context.pause_s)
    starts = [action for action in world.actions if isinstance(action, StartRun)]
    assert starts and starts[0].ordered_s > lease_end_s, (starts, lease_end_s)


@when("the worker is back in the directory {pause_s:g} s later")
def return_worker(context, pause_s):
    async def run():
        scheduler = await context.leave()
        await asyncio.sleep(pause_s)
        context.recorded_departures = read_journal(context, 0.0).departures
        context.workers.polled_ids.clear()
        context.workers.silent_ids.clear()
        await scheduler.handle_directory(context.directory)
        while "w0" not in context.workers.polled_ids:
            await asyncio.sleep(0)
        context.departures_when_asked = read_journal(context, 0.0).departures
        await scheduler.close()

    asyncio.run(asyncio.wait_for(run(), 20.0))


@then("no departure is recorded when it is asked again")
def check_no_departure(context):
    assert set(context.recorded_departures) == {"w0"}, context.recorded_departures
    assert not context.departures_when_asked, context.departures_when_asked


@when(
    "the departure of a worker is read at {first_s:g} s,"
    " and another departure of it at {second_s:g} s"
)
def read_departures(context, first_s, second_s):
    context.state = JournalState()
    for offset, (departure_id, now_s) in enumerate((("5.1", first_s), ("5.2", second_s))):
        record = WorkersInUse(worker_ids=("w0",), departures={"w0": departure_id})
        context.state.apply(offset, *encode_record(record), now_s)


@then("its runs count as ended no earlier than a lease after {read_s:g} s")
def check_read_time(context, read_s):
    assert context.state.departures["w0"].read_s == read_s, context.state.departures


@given("a deployment with leases of {lease_s:g} s")
def set_lease(context, lease_s):
    context.timing = Timing(task_lease_s=lease_s)


@then("a renewal {age_s:g} s after the latest confirmation gives a lease of {lease_s:g} s")
def check_lease(context, age_s, lease_s):
    assert math.isclose(context.timing.find_lease_s(age_s), lease_s, abs_tol=1e-9), context.timing


@then("no lease outlasts the time for which a new scheduler waits for a silent worker")
def check_inherited_wait(context):
    timing = context.timing
    for tenth in range(round(timing.permission_s * 10) + 50):
        lease_s = timing.find_lease_s(tenth / 10)
        end_s = tenth / 10 + lease_s * (1 + timing.clock_drift) if lease_s else 0.0
        assert end_s < timing.inherited_wait_s, (tenth, timing)
