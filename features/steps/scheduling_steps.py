"""Steps for the scheduler of a failure domain."""

import random

import attrs
from behave import given as behave_given
from behave import then, when
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from scheduling_world import STEP_S, World

from fireflywharf_core.jobs import AttemptEnd, AttemptId, JobKind, TaskId
from fireflywharf_core.platform import RunningAttempt, VmInfo, VmRole
from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.results import ResultCode
from fireflywharf_core.scheduling import (
    DomainScheduler,
    FairShare,
    FirstComeFirstServed,
    JobAdmitted,
    JobCancelled,
    RecordJobLate,
    RecoveryFinished,
    RecoveryStarted,
    ReportInfeasible,
    StopTask,
    WorkerJoined,
    WorkerLeaving,
    WorkerReport,
)

POLICIES = {"fair share": FairShare(), "baseline": FirstComeFirstServed()}
SIZES = [ResourceVector(500, 512), ResourceVector(1500, 1024), ResourceVector(2000, 4000, 1)]

submissions = st.tuples(
    st.just("submit"),
    st.sampled_from(list(JobKind)),
    st.integers(1, 5),
    st.sampled_from(SIZES),
    st.booleans(),
    st.sampled_from(["a", "b"]),
)
steps = st.tuples(st.just("step"), st.integers(1, 8))
faults = st.tuples(st.just("fault"), st.sampled_from(["none", "lossy", "refusing", "failing"]))
others = st.sampled_from([("disconnect",), ("reconnect",), ("cancel",), ("takeover",)])
sequences = st.lists(st.one_of(submissions, steps, faults, others), min_size=5, max_size=40)


def apply(world, operation):
    """Execute one operation of a sequence."""
    match operation:
        case ("submit", kind, count, size, restartable, customer):
            world.submit(kind, count, size, restartable, customer)
        case ("step", count):
            for _ in range(count):
                world.step()
        case ("fault", fault):
            world.fault = fault
        case ("disconnect",):
            world.disconnect_worker()
        case ("reconnect",):
            world.reconnect_workers()
        case ("cancel",):
            world.cancel()
        case ("takeover",):
            world.replace_scheduler()


@when('{count:d} random sequences of faults run under the "{policy}" policy')
def run_sequences(context, count, policy):
    context.worlds_count = 0

    # No shrinking, which takes minutes; the failing sequence is printed as found.
    @settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        database=None,
        phases=[Phase.explicit, Phase.generate],
    )
    @given(sequences, st.integers(0, 2**16))
    def run(operations, seed):
        world = World(POLICIES[policy], seed)
        for operation in operations:
            apply(world, operation)
        world.settle()
        context.worlds_count += 1

    run()


@then("every job has reached its last state in at least {count:d} sequences")
def check_sequences(context, count):
    assert context.worlds_count >= count, context.worlds_count


def make_world_without_ends(workers_count):
    """Return a world whose tasks do not end by themselves."""
    world = World(FairShare(), 1, workers_count)
    world.end_attempts = lambda worker: None
    world.step()
    return world


def submit_batch(world, tasks_count, size=SIZES[1]):
    """Submit a restartable batch job of customer a."""
    world.submit(JobKind.BATCH, tasks_count, size, True, "a")


def find_worker_by_job(world):
    """Return the name of a worker that runs a task of the job, by job id."""
    return {
        attempt_id.task.job_id: worker.vm.name
        for worker in world.workers.values()
        for attempt_id in worker.running
    }


@when("a worker with a running batch task is leaving")
def announce_leaving(context):
    context.world = make_world_without_ends(2)
    submit_batch(context.world, 1)
    context.world.step()
    context.leaving_worker = find_worker_by_job(context.world)["j0"]
    context.world.send_event(WorkerLeaving(context.leaving_worker))


@then("the task is checkpointed and starts on another worker")
def check_moved(context):
    for _ in range(4):
        context.world.step()
    workers_by_task = find_worker_by_job(context.world)
    assert workers_by_task["j0"] != context.leaving_worker, workers_by_task
    ends = [record.end for record in context.world.log]
    assert ends == [AttemptEnd.CHECKPOINTED], ends


def make_world_with_failing_worker():
    """Return a world of two workers, of which w0 fails every task."""
    world = World(FairShare(), 1, 2)

    def end_attempts(worker):
        for attempt_id in list(worker.running):
            is_faulty = worker.vm.name == "w0"
            world.end_attempt(
                worker, attempt_id, AttemptEnd.FAILED if is_faulty else AttemptEnd.SUCCEEDED
            )

    world.end_attempts = end_attempts
    return world


@when("one of two workers fails every task of ten jobs")
def fail_on_one_worker(context):
    world = context.world = make_world_with_failing_worker()
    context.counts_when_set_aside, context.most_running_count = [], 0
    for _ in range(10):
        submit_batch(world, 6)
    for _ in range(60):
        world.step()
        if world.scheduler.set_aside_count:
            context.counts_when_set_aside.append(len(world.workers["w0"].running))


@when("one of two workers fails every task and jobs of one task arrive {pause_s:g} s apart")
def fail_one_by_one(context, pause_s):
    world = context.world = make_world_with_failing_worker()
    context.counts_when_set_aside = []
    for _ in range(10):
        submit_batch(world, 1)
        for _ in range(int(pause_s / STEP_S)):
            world.step()
        context.counts_when_set_aside.append(world.scheduler.set_aside_count)


@then("that worker is set aside before the fifth job")
def check_early_set_aside(context):
    assert context.counts_when_set_aside[3] == 1, context.counts_when_set_aside


@then("that worker is set aside, gets one probe at a time, and every job is done")
def check_set_aside(context):
    assert context.counts_when_set_aside, "the worker was never set aside"
    assert max(context.counts_when_set_aside[1:]) <= 1, context.counts_when_set_aside
    states = {state.value for state in context.world.final_states.values()}
    assert len(context.world.final_states) == 10, context.world.final_states
    assert states == {"done"}, states


@when("a job with a deadline of 2 s waits for a full domain")
def wait_past_deadline(context):
    world = context.world = make_world_without_ends(1)
    submit_batch(world, 2, ResourceVector(2000, 4000))
    world.step()
    spec = attrs.evolve(world.specs["j0"], job_id="j1", deadline_s=2.0)
    world.specs["j1"] = spec
    world.send_event(JobAdmitted(spec=spec, new_in_tenure=True))
    context.actions = collect_actions(world, 10)


def collect_actions(world, steps_count):
    """Run a number of steps and return the actions of the scheduler."""
    seen, execute_action = [], world.execute_action

    def record(action):
        seen.append(action)
        execute_action(action)

    world.execute_action = record
    for _ in range(steps_count):
        world.step()
    return seen


@then("it is reported late once and its explanation names a result code")
def check_late(context):
    late = [action for action in context.actions if isinstance(action, RecordJobLate)]
    assert late == [RecordJobLate("j1")], late
    text = context.world.scheduler.explain("j1", context.world.now_s)
    assert text.split(":")[0] in ResultCode.__members__, text


@when("an urgent job arrives at a full domain")
def submit_urgent(context):
    world = context.world = make_world_without_ends(2)
    submit_batch(world, 4, ResourceVector(2000, 4000))
    world.step()
    world.submit(JobKind.URGENT, 2, ResourceVector(3000, 4000), True, "b")
    context.submitted_s = world.now_s


@then("it starts within 5.9 s")
def check_urgent(context):
    world = context.world
    # The last step begins before this bound, so it ends within 5.9 s of the submission.
    while world.now_s < context.submitted_s + 5.4:
        world.step()
    running = [attempt_id for w in world.workers.values() for attempt_id in w.running]
    assert sum(attempt_id.task.job_id == "j1" for attempt_id in running) == 2, running


@when("the only worker that fits a waiting job is lost")
def lose_fitting_worker(context):
    world = context.world = make_world_without_ends(1)
    submit_batch(world, 2, ResourceVector(2000, 4000))
    world.step()
    submit_batch(world, 1, ResourceVector(2000, 4000))
    world.disconnect_worker()
    context.actions = collect_actions(world, 80)


@then("the job is reported as infeasible once")
def check_infeasible(context):
    found = [a.job_id for a in context.actions if isinstance(a, ReportInfeasible)]
    assert sorted(found) == ["j0", "j1"], found


@when("{count:d} waiting jobs are cancelled and one more is submitted")
def cancel_many(context, count):
    world = context.world = make_world_without_ends(1)
    submit_batch(world, 1, ResourceVector(3000, 4000))
    world.step()
    for _ in range(count):
        submit_batch(world, 1, ResourceVector(3000, 4000))
    world.step()
    for number in range(1, count + 1):
        world.send_event(JobCancelled(f"j{number}"))
    submit_batch(world, 1, SIZES[0])
    world.step()


@then("the new job starts in the next decision and every cancelled job is finished as cancelled")
def check_cancelled(context):
    world = context.world
    newest = f"j{len(world.specs) - 1}"
    assert newest in find_worker_by_job(world), "the new job is not running"
    states = [state.value for state in world.final_states.values()]
    assert states == ["cancelled"] * (len(world.specs) - 2), len(states)


@when("a new scheduler finds a task of an unknown job for 120 s before it reads the end of the log")
def run_unknown_task(context):
    vm = VmInfo(
        name="w1",
        role=VmRole.WORKER,
        address="127.0.0.1:1",
        region="r",
        failure_domain="d",
        capacity=ResourceVector(4000, 4000),
    )
    running = [RunningAttempt(AttemptId(TaskId("j-unread", 0), 1), ResourceVector(1000, 100))]
    core = DomainScheduler(policy=FairShare(), rng=random.Random(1))
    core.observe(RecoveryStarted(frozenset({"w1"})), 0.0)
    core.observe(WorkerJoined(vm), 0.0)
    context.stops_before, context.stops_after = [], []
    for now_s in range(1, 240):
        if now_s == 120:
            core.observe(RecoveryFinished(), now_s)
        core.observe(WorkerReport("w1", running, [], now_s), now_s)
        stops = [action for action in core.decide(now_s) if isinstance(action, StopTask)]
        (context.stops_before if now_s < 120 else context.stops_after).extend(stops)


@then("it stops the task only after it has read the log to its end")
def check_unknown_task(context):
    assert context.stops_before == [], context.stops_before
    assert context.stops_after


@behave_given("a worker that has failed restartable tasks for {seconds:g} s, beside a full one")
def fail_restartable_tasks(context, seconds):
    world = context.world = World(FairShare(), 1, 2)
    context.is_faulty, full_size = True, ResourceVector(4000, 512)

    def end_attempts(worker):
        for attempt_id, row in list(worker.running.items()):
            failed = context.is_faulty and worker.vm.name == "w0"
            if failed or row.size != full_size:
                end = AttemptEnd.FAILED if failed else AttemptEnd.SUCCEEDED
                world.end_attempt(worker, attempt_id, end)

    world.end_attempts = end_attempts
    for _ in range(round(seconds / STEP_S)):
        submit_batch(world, 6)
        world.step()
    for job_id in world.specs:
        world.send_event(JobCancelled(job_id))
    while len(world.final_states) < len(world.specs):
        world.step()
    submit_batch(world, 1, full_size)
    world.step()
    assert world.scheduler.set_aside_workers() == ["w0"] and world.workers["w1"].running


@when("it is sound and {work} arrives")
def submit_other_work(context, work):
    context.is_faulty = False
    if work == "a gang":
        context.world.submit(JobKind.GANG, 2, SIZES[0], True, "a")
    else:
        context.world.submit(JobKind.BATCH, 1, SIZES[0], False, "a")


@then("{work} starts within {seconds:g} s")
def check_other_work_starts(context, work, seconds):
    world, job_id = context.world, list(context.world.specs)[-1]
    started = False
    for _ in range(round(seconds / STEP_S)):
        world.step()
        started = started or any(task.job_id == job_id for task in world.run_counts)
    assert started, world.scheduler.explain(job_id, world.now_s)


@when("gangs arrive and it fails the first one after {seconds:g} s")
def fail_first_gang(context, seconds):
    world = context.world
    for _ in range(3):
        world.submit(JobKind.GANG, 2, SIZES[0], True, "a")
    context.set_aside_counts = []
    for _ in range(round(seconds / STEP_S)):
        world.step()
        context.set_aside_counts.append(world.scheduler.set_aside_count)


@then("it is set aside again")
def check_set_aside_again(context):
    counts = context.set_aside_counts
    first_trial = counts.index(0)
    assert 1 in counts[first_trial : first_trial + 4], counts
