"""Steps for jobs in flight at a change of scheduler."""

import asyncio
import re

import attrs
from behave import given, then, when
from workflow_partition_steps import count_starts
from workflow_tenure_steps import PendingLog, make_scheduler
from workflow_world import WorkflowWorld, make_step

from fireflywharf_core.workflows import (
    EndKind,
    JournalState,
    StartRun,
    TenureRecord,
    Timing,
    WorkflowProgress,
    WorkflowState,
    encode_record,
)

LONG_S = 60.0
JOBS = {
    "a lasting task": (make_step(1, long_running=True),),
    "a first step": (make_step(1), make_step(1, after=(0,))),
    "a gang of two": (make_step(2, gang=True, max_per_worker=1),),
}


class TakeoverWorld(WorkflowWorld):
    """World of four workers; a scheduler may end before it records what it has observed."""

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


@given("{work} on the first of four workers, and a task on all but one of the others")
def start_work(context, work):
    world = context.world = TakeoverWorld(workers_count=4)
    context.work = work
    for worker in world.workers.values():
        worker.run_time_s = LONG_S
    world.submit("a", JOBS[work])
    world.run(1.0)
    taken = {find_worker(world, "a", index)[0] for index in range(JOBS[work][0].tasks_count)}
    others = [worker for worker in world.workers.values() if worker not in taken]
    for number in range(len(others) - 1):
        world.submit(f"b{number}", [make_step(1, cpu=4000)])
    world.run(1.0)
    context.first, context.first_key = find_worker(world, "a")
    context.places = {
        "first": context.first,
        "second": find_worker(world, "a", JOBS[work][0].tasks_count - 1)[0],
        "last": find_worker(world, f"b{len(others) - 2}")[0],
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
    assert find_next_start(context) is None, (find_next_start(context), context.taken_over_s)
    context.world.run(0.7)
    assert find_next_start(context) is not None


@then("no task runs twice")
def check_violations(context):
    assert not context.world.violations, context.world.violations


@given('a daemon "{vm}" whose process began at {seconds:g} s')
def describe_daemon(context, vm, seconds):
    context.own, context.process_started_s = f"{vm}#own", seconds
    context.state, context.offset, context.ordinal = JournalState(), 0, 0


def read_tenure(context, vm, now_s, first=False, **fields):
    """Let the daemon read a tenure record; `first` for that of a new tenure."""
    context.ordinal += first
    fields = {
        "holder": vm if "#" in vm else f"{vm}#1",
        "epoch": context.ordinal,
        "ordinal": context.ordinal,
        "active_s": 0,
    } | fields
    record = TenureRecord(**fields)
    context.state.apply(context.offset, *encode_record(record), now_s)
    context.offset += 1


@when("it reads the tenures {records}")
def read_records(context, records):
    if "only the newest record" in records:
        vm, active_s = re.search(r'of "(\w)", for (\d+) s', records).groups()
        context.ordinal = 7
        read_tenure(context, vm, 100.0, active_s=int(active_s), resigned="resigned" in records)
    for vm, last_s, resigns in re.findall(r'"(\w)" until ([\d.]+) s(, which resigns)?', records):
        until_s = float(last_s)
        read_tenure(context, vm, until_s - 0.3, first=True)
        progress = WorkflowProgress(job_id="a", state=WorkflowState.RUNNING)
        context.state.apply(context.offset, *encode_record(progress), until_s - 0.1)
        context.offset += 1
        age = {"active_s": -1} if "an earlier version" in records else {}
        read_tenure(context, vm, until_s, resigned=bool(resigns), **age)
    own_s = re.search(r"its own tenure at (\d+) s", records)
    read_tenure(context, context.own, float(own_s.group(1)) if own_s else 101.0, first=True)


@then("the leases of the earlier tenures end {end_s} s after {since_s:g} s")
def check_leases_end(context, end_s, since_s):
    expected_s = float("-inf") if end_s == "none" else since_s + float(end_s)
    actual_s = context.state.tenures.leases_end_s(Timing(), context.own, context.process_started_s)
    assert actual_s == expected_s or abs(actual_s - expected_s) < 1e-6, actual_s


@given("an active scheduler that was confirmed just now")
def prepare_scheduler(context):
    context.results = []


@when("it begins to resign while the journal does not answer")
def begin_to_resign(context):
    async def run():
        scheduler = make_scheduler(PendingLog(), None)
        before = scheduler.find_lease_s(), scheduler.may_start()
        resignation = asyncio.create_task(scheduler.resign())
        await asyncio.sleep(0.01)
        context.results = [before, (scheduler.find_lease_s(), scheduler.may_start())]
        await resignation

    asyncio.run(run())


@then("it gives no lease and starts no run")
def check_resigning(context):
    assert context.results == [(6.0, True), (0.0, False)], context.results
