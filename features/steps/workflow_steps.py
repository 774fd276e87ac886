"""Steps for the workflow scheduler."""

import attrs
from behave import given, then, when
from workflow_world import WorkflowSimulation, tasks

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
    """Run jobs under random faults, then without faults until they end; return the simulation."""
    simulation = WorkflowSimulation(seed=seed, workers_count=4, approval=seed % 2 == 0)
    rng = simulation.rng
    simulation.failure_probability = rng.choice([0.0, 0.05])
    simulation.loss_probability = rng.choice([0.0, 0.2])
    for number in range(12):
        steps = [tasks(rng.randint(1, 5), rng.choice([500, 1500]), gang=rng.random() < 0.3)]
        if rng.random() < 0.5:
            steps.append(tasks(rng.randint(1, 3), after=(0,)))
        simulation.submit(f"j{number}", steps)
        simulation.run(rng.random())
        fault = rng.choice(["none", "cut", "heal", "take over", "cancel"])
        worker = simulation.workers[rng.choice(list(simulation.workers))]
        match fault:
            case "cut":
                worker.reachable = False
            case "heal":
                worker.reachable = True
            case "take over":
                simulation.begin_tenure()
            case "cancel":
                simulation.cancel(f"j{rng.randint(0, number)}")
    simulation.loss_probability = 0.0
    for worker in simulation.workers.values():
        worker.reachable = True
    simulation.run(25.0)
    return simulation


@when("{count:d} random histories of workflows run")
def run_histories(context, count):
    context.simulations = {seed: random_history(seed) for seed in range(count)}


@then("no guarantee for workflows is violated")
def check_promises(context):
    broken = {
        seed: simulation.violations
        for seed, simulation in context.simulations.items()
        if simulation.violations
    }
    assert not broken, broken


@then("every workflow has ended")
def check_ended(context):
    open_jobs = {
        seed: [
            job_id
            for job_id in simulation.journal_state.jobs
            if not simulation.state(job_id).is_final
        ]
        for seed, simulation in context.simulations.items()
    }
    assert not any(open_jobs.values()), {s: jobs for s, jobs in open_jobs.items() if jobs}


@given("a job with one task and at most {count:d} attempts")
def submit_one_task(context, count):
    context.simulation = WorkflowSimulation(workers_count=1, max_attempts=count)
    context.simulation.submit("a", [tasks(1)])
    context.simulation.step()
    context.simulation.step()


def report_end(simulation, serial, number, kind):
    """Let the first worker report an end and no running task."""
    simulation.now_s += 0.01
    end = ReportedEnd(serial, FIRST_TASK, number, kind, "")
    simulation.scheduler.observe(
        WorkerReported(
            worker_id="w0", incarnation=1, sent_s=simulation.now_s, running=(), ended=(end,)
        ),
        simulation.now_s,
    )


@when("its first run fails and the worker reports that end {count:d} times")
def repeat_end(context, count):
    for _ in range(count):
        report_end(context.simulation, 1, 1, EndKind.FAILED)
    for progress in context.simulation.scheduler.pop_progress():
        context.simulation.append(progress)


def count_failures(simulation):
    """Return how many failed runs of the first task the scheduler counts."""
    return len(simulation.scheduler.jobs["a"].steps[0, 0].failures.get(0, ()))


@then("{count:d} failed run is counted")
def check_failures(context, count):
    assert count_failures(context.simulation) == count


@then("the next scheduler counts {count:d} failed run after the worker reports the end again")
def check_next_scheduler(context, count):
    context.simulation.begin_tenure()
    report_end(context.simulation, 1, 1, EndKind.FAILED)
    assert count_failures(context.simulation) == count


@given("a worker whose capacity is used up by a run of a job")
def occupy_worker(context):
    context.simulation = WorkflowSimulation(workers_count=1)
    context.simulation.submit("a", [tasks(1, 4000)])
    context.simulation.run(0.2)
    assert context.simulation.workers["w0"].active_runs


@when("the job is cancelled while its scheduler cannot read the journal")
def cancel_without_notice(context):
    context.simulation.cancel("a", scheduler_informed=False)


@when("another scheduler takes over while a second job waits")
def take_over_waiting(context):
    context.simulation.submit("b", [tasks(1, 4000)])
    context.simulation.begin_tenure()
    context.simulation.run(5.0)


@then("the waiting job starts only after the first run has ended")
def check_room(context):
    assert not context.simulation.violations, context.simulation.violations
    assert context.simulation.state("b") is WorkflowState.COMPLETE


@given("a job whose queue needs approval and a service that does not answer")
def submit_to_silent_service(context):
    context.simulation = WorkflowSimulation(approval=True)
    context.simulation.answers_approvals = False
    context.simulation.submit("a", [tasks(1)])


@when("{seconds:d} s pass")
def pass_time(context, seconds):
    context.simulation.run(seconds)


@then("the service has received one request")
def check_asked(context):
    assert len(context.simulation.approval_requests) == 1, context.simulation.approval_requests


@given("a job whose queue needs approval and one worker that is unreachable")
def submit_with_unreachable_worker(context):
    context.simulation = WorkflowSimulation(approval=True)
    context.simulation.answers_approvals = False
    context.simulation.workers["w2"].reachable = False
    context.simulation.submit("a", [tasks(1)])


@when("the service denies the other workers and the worker becomes reachable")
def deny_other_workers(context):
    simulation = context.simulation
    simulation.run(1.0)
    simulation.answer_approval(simulation.approval_requests[0], allowed=set())
    simulation.answers_approvals = True
    simulation.workers["w2"].reachable = True
    simulation.run(3.0)


@then("the service is asked about that worker and the job completes")
def check_asked_again(context):
    assert context.simulation.approval_requests[-1].worker_ids == (
        "w2",
    ), context.simulation.approval_requests
    assert context.simulation.state("a") is WorkflowState.COMPLETE


@given("a task whose start order gets no answer")
def lose_start_order(context):
    context.simulation = WorkflowSimulation(workers_count=2)
    context.simulation.loss_probability = 1.0
    context.simulation.submit("a", [tasks(1)])
    context.simulation.run(0.2)
    context.simulation.delayed_orders.clear()
    run = next(iter(context.simulation.scheduler.jobs["a"].steps[0, 0].runs.values()))
    context.worker = context.simulation.workers[run.worker.worker_id]


@when("the order is executed {seconds:d} s later")
def execute_late(context, seconds):
    simulation = context.simulation
    for _ in range(seconds * 20):
        simulation.step()
        simulation.delayed_orders.clear()
    run = next(iter(simulation.scheduler.jobs["a"].steps[0, 0].runs.values()))
    assert run.worker.worker_id == context.worker.info.worker_id
    simulation.loss_probability = 0.0
    simulation.run(8.0)


@when("a repeated order is refused and the first one is executed {seconds:d} s later")
def refuse_repeated(context, seconds):
    simulation = context.simulation
    run = next(iter(simulation.scheduler.jobs["a"].steps[0, 0].runs.values()))
    order = StartRun(
        worker_id=run.worker.worker_id,
        task=run.task,
        number=run.number,
        payload="p",
        checkpoint="",
        ticket="",
    )
    simulation.delayed_orders.append(
        (simulation.now_s + seconds, context.worker, order, simulation.epoch)
    )
    simulation.run(0.5)
    answer = StartAnswered(order.worker_id, order.task, order.number, StartResult.NOT_SENT)
    simulation.scheduler.observe(answer, simulation.now_s)
    simulation.loss_probability = 0.0
    for worker in simulation.workers.values():
        worker.run_time_s = 2.0
    simulation.run(15.0)


@when("the worker executes stop orders and loses start orders")
def lose_start_orders(context):
    context.simulation.loss_probability = 0.0
    context.worker.loses_start_orders = True


@then("the task is complete within {seconds:g} s")
def check_complete_soon(context, seconds):
    simulation = context.simulation
    simulation.run(seconds)
    assert not simulation.violations, simulation.violations
    assert simulation.state("a") is WorkflowState.COMPLETE


@then("the task has run in one place only")
def check_once(context):
    assert not context.simulation.violations, context.simulation.violations
    assert context.simulation.state("a") is WorkflowState.COMPLETE


@given("a gang of {count:d} tasks and capacity for {room:d}")
def submit_large_gang(context, count, room):
    context.simulation = WorkflowSimulation(
        workers_count=2, capacity=ResourceVector(room * 500, 8000)
    )
    context.simulation.submit("a", [tasks(count, gang=True)])


@then("no task of the gang has started")
def check_no_gang(context):
    assert not any(context.simulation.iterate_active_runs())
    assert context.simulation.state("a") is WorkflowState.QUEUED


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
    simulation = context.simulation = WorkflowSimulation(workers_count=3)
    for number in range(count):
        simulation.submit(f"{number:016x}", [tasks(1)], payload="x" * size)


@when("all jobs have ended")
def end_all_jobs(context):
    context.accepted = context.simulation.newest_records["a" + f"{0:016x}"]
    context.simulation.run(8.0)


@then("the newest records of the journal have less than {size:d} bytes for each job")
def check_journal_size(context, size):
    jobs = len(context.simulation.journal_state.jobs)
    rows = [row for row in context.simulation.newest_records.items() if row[0][0] in "acp"]
    total = sum(len(key) + len(value) for key, (_, value) in rows)
    assert total < size * jobs, total / jobs


@then("a daemon that reads them shows every job as complete")
def check_loaded(context):
    context.journal_state = JournalState()
    rows = sorted(
        (offset, key, value) for key, (offset, value) in context.simulation.newest_records.items()
    )
    for offset, key, value in rows:
        context.journal_state.apply(offset, key, value, now_s=0.0)
    assert len(context.journal_state.jobs) == 20
    for job in context.journal_state.jobs.values():
        assert job.exists and job.state is WorkflowState.COMPLETE, job


@then("a delayed append of a submission changes nothing")
def check_late_append(context):
    _, value = context.accepted
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
    context.simulation = WorkflowSimulation(approval=True)
    context.simulation.run(0.2)
    request = AskApproval(step=StepName("a", 0, 0), worker_ids=tuple(context.simulation.workers))
    context.simulation.answer_approval(request)


@when("the job is read")
def read_job(context):
    context.simulation.submit("a", [tasks(1)])
    context.simulation.run(0.1)


@then("its task starts without another request")
def check_no_request(context):
    assert any(context.simulation.iterate_active_runs())
    assert not context.simulation.approval_requests


@given("{count:d} workers of which a queue allows {percent:d} in 100")
def set_allowed_share(context, count, percent):
    context.simulation = WorkflowSimulation(workers_count=count, approval=True)
    context.simulation.run(0.2)
    context.simulation.allowed_share = percent / 100


@when("a step of {count:d} tasks arrives")
def submit_wide_step(context, count):
    context.simulation.submit("a", [tasks(count)])
    context.simulation.run(2.0)


@then("it has started after at most {requests:d} requests that name {named:d} workers at most")
def check_named(context, requests, named):
    asked = context.simulation.approval_requests
    assert not context.simulation.scheduler.jobs.get("a") or not any(
        step.waiting for step in context.simulation.scheduler.jobs["a"].steps.values()
    )
    assert 1 <= len(asked) <= requests, len(asked)
    assert sum(len(action.worker_ids) for action in asked) <= named, asked


@given("{count:d} workers that are full of single tasks, and more single tasks that wait")
def submit_single_tasks(context, count):
    simulation = context.simulation = WorkflowSimulation(workers_count=count, seed=5)
    simulation.varies_run_times = True
    for number in range(150):
        simulation.submit(f"s{number}", [tasks(8)])
    simulation.run(1.0)


@when("a gang of {count:d} tasks arrives and {room} is reserved for it")
def submit_gang(context, count, room):
    simulation = context.simulation
    if room == "no room":
        simulation.scheduler.reservations = NoReservations(simulation.scheduler.workers)
    simulation.queue = attrs.evolve(simulation.queue, priority=0)
    simulation.submit("a", [tasks(count, gang=True)])


class NoReservations(Reservations):
    """Baseline without reservations."""

    def reserve(self, step, allowed, now_s):
        """Reserve no capacity."""
        return []


@then("the gang has {outcome} within {seconds:g} s")
def check_gang(context, outcome, seconds):
    context.simulation.run(seconds)
    started = context.simulation.state("a") is not WorkflowState.QUEUED
    assert started == (outcome == "started"), context.simulation.state("a")
    assert not context.simulation.violations, context.simulation.violations


@given("{count:d} workers of which one fails every run at once")
def add_failing_worker(context, count):
    context.simulation = WorkflowSimulation(
        workers_count=count, capacity=ResourceVector(2000, 8000)
    )
    context.faulty = context.simulation.workers["w0"]
    context.faulty.fails_all_runs = True
    context.faulty.run_time_s = 0.0


@given("{count:d} workers of which one makes no progress")
def add_stalled_worker(context, count):
    context.simulation = WorkflowSimulation(workers_count=count)
    context.faulty = context.simulation.workers["w0"]
    context.faulty.run_time_s = 1000.0


@when("{count:d} jobs with single tasks arrive within {seconds:d} s")
def submit_jobs(context, count, seconds):
    for number in range(count):
        context.simulation.submit(f"j{number}", [tasks(1)])
        context.simulation.run(seconds / count)
    context.simulation.run(12.0)


@then("every job is complete")
def check_all_complete(context):
    states = {
        job_id: context.simulation.state(job_id) for job_id in context.simulation.journal_state.jobs
    }
    assert set(states.values()) == {WorkflowState.COMPLETE}, states


@then("the faulty worker got at most {count:d} runs")
def check_probes(context, count):
    assert context.faulty.last_serial <= count, context.faulty.last_serial
