"""Steps for the workflow scheduler."""

import attrs
from behave import given, then, when
from workflow_world import WorkflowWorld, make_step

from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.workflows import (
    AskApproval,
    EndKind,
    JournalState,
    ReportedEnd,
    StartAnswered,
    StartResult,
    StartRun,
    StepName,
    TaskName,
    WorkerReported,
    WorkflowCancelled,
    WorkflowProgress,
    WorkflowState,
    encode_record,
)
from fireflywharf_core.workflows._reservations import Reservations

FIRST_TASK = TaskName(StepName("a", 0, 0), 0)


def random_history(seed):
    """Run jobs under random faults, then without faults until they end; return the world."""
    world = WorkflowWorld(seed=seed, workers_count=4, approval=seed % 2 == 0)
    rng = world.rng
    world.failure_probability = rng.choice([0.0, 0.05])
    world.loss_probability = rng.choice([0.0, 0.2])
    for number in range(12):
        steps = [make_step(rng.randint(1, 5), rng.choice([500, 1500]), gang=rng.random() < 0.3)]
        if rng.random() < 0.5:
            steps.append(make_step(rng.randint(1, 3), after=(0,)))
        world.submit(f"j{number}", steps)
        world.run(rng.random())
        fault = rng.choice(["none", "disconnect", "reconnect", "take over", "cancel"])
        worker = world.workers[rng.choice(list(world.workers))]
        match fault:
            case "disconnect":
                worker.reachable = False
            case "reconnect":
                worker.reachable = True
            case "take over":
                world.begin_tenure()
            case "cancel":
                world.cancel(f"j{rng.randint(0, number)}")
    world.loss_probability = 0.0
    for worker in world.workers.values():
        worker.reachable = True
    world.run(25.0)
    return world


@when("{count:d} random histories of workflows run")
def run_histories(context, count):
    context.worlds = {seed: random_history(seed) for seed in range(count)}


@then("no guarantee for workflows is violated")
def check_guarantees(context):
    violations_by_seed = {
        seed: world.violations for seed, world in context.worlds.items() if world.violations
    }
    assert not violations_by_seed, violations_by_seed


@then("every workflow has ended")
def check_ended(context):
    unfinished_jobs = {
        seed: [
            job_id for job_id in world.journal_state.jobs if not world.job_state(job_id).is_final
        ]
        for seed, world in context.worlds.items()
    }
    assert not any(unfinished_jobs.values()), {
        s: jobs for s, jobs in unfinished_jobs.items() if jobs
    }


@given("a job with one task and at most {count:d} attempts")
def submit_one_task(context, count):
    context.world = WorkflowWorld(workers_count=1, max_attempts=count)
    context.world.submit("a", [make_step(1)])
    context.world.step()
    context.world.step()


def report_end(world, serial, number, kind):
    """Let the first worker report an end and no running task."""
    world.now_s += 0.01
    end = ReportedEnd(serial, FIRST_TASK, number, kind, "")
    world.scheduler.observe(
        WorkerReported(worker_id="w0", incarnation=1, sent_s=world.now_s, running=(), ended=(end,)),
        world.now_s,
    )


@when("its first run fails and the worker reports that end {count:d} times")
def repeat_end(context, count):
    for _ in range(count):
        report_end(context.world, 1, 1, EndKind.FAILED)
    for progress in context.world.scheduler.pop_progress():
        context.world.append(progress)


def count_failures(world):
    """Return how many failed runs of the first task the scheduler counts."""
    return len(world.scheduler.jobs["a"].steps[0, 0].failures.get(0, ()))


@then("{count:d} failed run is counted")
def check_failures(context, count):
    assert count_failures(context.world) == count


@then("the next scheduler counts {count:d} failed run after the worker reports the end again")
def check_next_scheduler(context, count):
    context.world.begin_tenure()
    report_end(context.world, 1, 1, EndKind.FAILED)
    assert count_failures(context.world) == count


@given("a worker whose capacity is used up by a run of a job")
def occupy_worker(context):
    context.world = WorkflowWorld(workers_count=1)
    context.world.submit("a", [make_step(1, 4000)])
    context.world.run(0.2)
    assert context.world.workers["w0"].active_runs


@when("the job is cancelled while its scheduler cannot read the journal")
def cancel_without_notice(context):
    context.world.cancel("a", scheduler_informed=False)


@when("another scheduler takes over while a second job waits")
def take_over_waiting(context):
    context.world.submit("b", [make_step(1, 4000)])
    context.world.begin_tenure()
    context.world.run(5.0)


@then("the waiting job starts only after the first run has ended")
def check_start_after_end(context):
    assert not context.world.violations, context.world.violations
    assert context.world.job_state("b") is WorkflowState.COMPLETE


@given("a job whose queue needs approval and a service that does not answer")
def submit_to_silent_service(context):
    context.world = WorkflowWorld(approval=True)
    context.world.answers_approvals = False
    context.world.submit("a", [make_step(1)])


@when("{seconds:d} s pass")
def pass_time(context, seconds):
    context.world.run(seconds)


@then("the service has received one request")
def check_request_count(context):
    assert len(context.world.approval_requests) == 1, context.world.approval_requests


@given("a job whose queue needs approval and one worker that is unreachable")
def submit_with_unreachable_worker(context):
    context.world = WorkflowWorld(approval=True)
    context.world.answers_approvals = False
    context.world.workers["w2"].reachable = False
    context.world.submit("a", [make_step(1)])


@when("the service denies the other workers and the worker becomes reachable")
def deny_other_workers(context):
    world = context.world
    world.run(1.0)
    world.answer_approval(world.approval_requests[0], allowed=set())
    world.answers_approvals = True
    world.workers["w2"].reachable = True
    world.run(3.0)


@then("the service is asked about that worker and the job completes")
def check_worker_requested(context):
    assert context.world.approval_requests[-1].worker_ids == (
        "w2",
    ), context.world.approval_requests
    assert context.world.job_state("a") is WorkflowState.COMPLETE


@given("a task whose start order gets no answer")
def lose_start_order(context):
    context.world = WorkflowWorld(workers_count=2)
    context.world.loss_probability = 1.0
    context.world.submit("a", [make_step(1)])
    context.world.run(0.2)
    context.world.delayed_orders.clear()
    run = next(iter(context.world.scheduler.jobs["a"].steps[0, 0].runs.values()))
    context.worker = context.world.workers[run.worker.worker_id]


@when("the order is executed {seconds:d} s later")
def execute_late(context, seconds):
    world = context.world
    for _ in range(seconds * 20):
        world.step()
        world.delayed_orders.clear()
    run = next(iter(world.scheduler.jobs["a"].steps[0, 0].runs.values()))
    assert run.worker.worker_id == context.worker.info.worker_id
    world.loss_probability = 0.0
    world.run(8.0)


@when("a repeated order is refused and the first one is executed {seconds:d} s later")
def refuse_repeated(context, seconds):
    world = context.world
    run = next(iter(world.scheduler.jobs["a"].steps[0, 0].runs.values()))
    order = StartRun(
        worker_id=run.worker.worker_id,
        task=run.task,
        number=run.number,
        payload="p",
        checkpoint="",
        ticket="",
        ordered_s=world.now_s,
    )
    world.delayed_orders.append((world.now_s + seconds, context.worker, order, world.epoch))
    world.run(0.5)
    answer = StartAnswered(order.worker_id, order.task, order.number, StartResult.NOT_SENT)
    world.scheduler.observe(answer, world.now_s)
    world.loss_probability = 0.0
    for worker in world.workers.values():
        worker.run_time_s = 2.0
    world.run(15.0)


@when("the worker executes stop orders and loses start orders")
def lose_start_orders(context):
    context.world.loss_probability = 0.0
    context.worker.loses_start_orders = True


@then("the task is complete within {seconds:g} s")
def check_complete_soon(context, seconds):
    world = context.world
    world.run(seconds)
    assert not world.violations, world.violations
    assert world.job_state("a") is WorkflowState.COMPLETE


@then("the task has run in one place only")
def check_one_place(context):
    assert not context.world.violations, context.world.violations
    assert context.world.job_state("a") is WorkflowState.COMPLETE


@given("a gang of {count:d} tasks and capacity for {fitting_count:d}")
def submit_large_gang(context, count, fitting_count):
    context.world = WorkflowWorld(
        workers_count=2, capacity=ResourceVector(fitting_count * 500, 8000)
    )
    context.world.submit("a", [make_step(count, gang=True)])


@then("no task of the gang has started")
def check_no_gang(context):
    assert not any(context.world.iterate_active_runs())
    assert context.world.job_state("a") is WorkflowState.QUEUED


@when("progress with offset {first:d} is read before progress with offset {second:d}")
def read_out_of_order(context, first, second):
    context.journal_state = JournalState()
    newer = WorkflowProgress(job_id="a", state=WorkflowState.COMPLETE)
    older = WorkflowProgress(job_id="a", state=WorkflowState.RUNNING)
    for offset, record in [(first, newer), (second, older)]:
        key, value = encode_record(record)
        context.journal_state.apply(offset, key, value, now_s=0.0)


@then("the state is that of offset 7")
def check_newest(context):
    assert context.journal_state.jobs["a"].state is WorkflowState.COMPLETE


@given("{count:d} jobs with a payload of {size:d} bytes")
def submit_large_jobs(context, count, size):
    world = context.world = WorkflowWorld(workers_count=3)
    for number in range(count):
        world.submit(f"{number:016x}", [make_step(1)], payload="x" * size)


@when("all jobs have ended")
def end_all_jobs(context):
    context.accepted_record = context.world.newest_records["a" + f"{0:016x}"]
    context.world.run(8.0)


@then("the newest records of the journal have less than {size:d} bytes for each job")
def check_journal_size(context, size):
    jobs = len(context.world.journal_state.jobs)
    rows = [row for row in context.world.newest_records.items() if row[0][0] in "acp"]
    total = sum(len(key) + len(value) for key, (_, value) in rows)
    assert total < size * jobs, total / jobs


@then("a daemon that reads them shows every job as complete")
def check_loaded(context):
    context.journal_state = JournalState()
    rows = sorted(
        (offset, key, value) for key, (offset, value) in context.world.newest_records.items()
    )
    for offset, key, value in rows:
        context.journal_state.apply(offset, key, value, now_s=0.0)
    assert len(context.journal_state.jobs) == 20
    for job in context.journal_state.jobs.values():
        assert job.exists and job.state is WorkflowState.COMPLETE, job


@then("a delayed append of a submission changes nothing")
def check_late_append(context):
    _, value = context.accepted_record
    changed = context.journal_state.apply(10**6, "a" + f"{0:016x}", value, now_s=0.0)
    job = context.journal_state.jobs[f"{0:016x}"]
    assert changed is None
    assert job.exists and job.state is WorkflowState.COMPLETE, job


@when("a job is cancelled before its last end is recorded")
def cancel_then_end(context):
    context.journal_state = JournalState()
    records = [
        WorkflowCancelled(job_id="a"),
        WorkflowProgress(job_id="a", state=WorkflowState.COMPLETE),
    ]
    for offset, record in enumerate(records):
        key, value = encode_record(record)
        context.journal_state.apply(offset, key, value, now_s=0.0)


@then("callers see it as cancelled")
def check_cancelled(context):
    assert context.journal_state.jobs["a"].state is WorkflowState.CANCELLED


@given("tickets for a job that the scheduler has not read yet")
def deliver_early_tickets(context):
    context.world = WorkflowWorld(approval=True)
    context.world.run(0.2)
    request = AskApproval(step=StepName("a", 0, 0), worker_ids=tuple(context.world.workers))
    context.world.answer_approval(request)


@when("the job is read")
def read_job(context):
    context.world.submit("a", [make_step(1)])
    context.world.run(0.1)


@then("its task starts without another request")
def check_no_request(context):
    assert any(context.world.iterate_active_runs())
    assert not context.world.approval_requests


@given("{count:d} workers of which a queue allows {percent:d} in 100")
def set_allowed_share(context, count, percent):
    context.world = WorkflowWorld(workers_count=count, approval=True)
    context.world.run(0.2)
    context.world.allowed_share = percent / 100


@when("a step of {count:d} tasks arrives")
def submit_wide_step(context, count):
    context.world.submit("a", [make_step(count)])
    context.world.run(2.0)


@then("it has started after at most {requests:d} requests that name {named:d} workers at most")
def check_named(context, requests, named):
    sent_requests = context.world.approval_requests
    assert not context.world.scheduler.jobs.get("a") or not any(
        step.waiting for step in context.world.scheduler.jobs["a"].steps.values()
    )
    assert 1 <= len(sent_requests) <= requests, len(sent_requests)
    assert sum(len(action.worker_ids) for action in sent_requests) <= named, sent_requests


@given("{count:d} workers that are full of single tasks, and more single tasks that wait")
def submit_single_tasks(context, count):
    world = context.world = WorkflowWorld(workers_count=count, seed=5)
    world.varies_run_times = True
    for number in range(150):
        world.submit(f"s{number}", [make_step(8)])
    world.run(1.0)


@when("a gang of {count:d} tasks arrives and {reserved} is reserved for it")
def submit_gang(context, count, reserved):
    world = context.world
    if reserved == "no capacity":
        world.scheduler.placer.reservations = NoReservations(world.scheduler.workers, None)
    world.queue = attrs.evolve(world.queue, priority=0)
    world.submit("a", [make_step(count, gang=True)])


class NoReservations(Reservations):
    """Baseline without reservations."""

    def reserve(self, step, allowed, now_s):
        """Reserve no capacity."""


@then("the gang has {outcome} within {seconds:g} s")
def check_gang(context, outcome, seconds):
    context.world.run(seconds)
    started = context.world.job_state("a") is not WorkflowState.QUEUED
    assert started == (outcome == "started"), context.world.job_state("a")
    assert not context.world.violations, context.world.violations


@given("{count:d} workers of which one fails every run at once")
def add_failing_worker(context, count):
    context.world = WorkflowWorld(workers_count=count, capacity=ResourceVector(2000, 8000))
    context.faulty = context.world.workers["w0"]
    context.faulty.fails_all_runs = True
    context.faulty.run_time_s = 0.0


@given("{count:d} workers of which one makes no progress")
def add_stalled_worker(context, count):
    context.world = WorkflowWorld(workers_count=count)
    context.faulty = context.world.workers["w0"]
    context.faulty.run_time_s = 1000.0


@when("{count:d} jobs with single tasks arrive within {seconds:d} s")
def submit_jobs(context, count, seconds):
    for number in range(count):
        context.world.submit(f"j{number}", [make_step(1)])
        context.world.run(seconds / count)
    context.world.run(12.0)


@then("every job is complete")
def check_all_complete(context):
    states = {
        job_id: context.world.job_state(job_id) for job_id in context.world.journal_state.jobs
    }
    assert set(states.values()) == {WorkflowState.COMPLETE}, states


@then("the faulty worker got at most {count:d} runs")
def check_faulty_worker_runs(context, count):
    assert context.faulty.last_serial <= count, context.faulty.last_serial
