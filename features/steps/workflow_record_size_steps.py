"""Steps for the size of progress records and of the state of a job."""

import random

import attrs
import msgspec
from behave import given, then, when
from workflow_world import STEP_S, WorkflowWorld, make_step

from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.workflows import (
    JobAdded,
    JobLimits,
    JobsRecorded,
    ProgressTooLarge,
    StartRun,
    TenureConfirmed,
    WorkflowAccepted,
    WorkflowProgress,
    WorkflowSpec,
    WorkflowState,
    encode_record,
    find_exceeded_limit,
)
from fireflywharf_core.workflows._occurrences import OccurrenceSet

HUGE = ResourceVector(1_000_000, 1_000_000)
JOB_ID = "a" * 16


class SizeWorld(WorkflowWorld):
    """World that notes the sizes of progress records and what the scheduler holds of each job."""

    def __init__(self, capacity=HUGE, **options):
        self.sizes_bytes = []
        self.steps_counts = []
        self.kept_done = []
        super().__init__(capacity=capacity, **options)
        for worker in self.workers.values():
            worker.run_time_s = STEP_S

    def append(self, record):
        """Append a record, and note the size of a progress record."""
        if isinstance(record, WorkflowProgress):
            self.sizes_bytes.append(len(encode_record(record)[1]))
        super().append(record)

    def submit_spec(self, spec, max_attempts=3):
        """Append a job to the journal and pass it to the scheduler."""
        queue = attrs.evolve(self.queue, max_attempts=max_attempts)
        self.steps_by_job[JOB_ID] = spec.steps
        accepted = WorkflowAccepted(job_id=JOB_ID, queue=queue, spec=spec, accepted_utc_s=0.0)
        self.append(accepted)
        self.add_job()

    def add_job(self):
        """Pass the job in the journal to the scheduler."""
        event = JobAdded(job_id=JOB_ID, journaled=self.journal_state.jobs[JOB_ID])
        self.scheduler.observe(event, self.now_s)

    def step(self):
        """Advance the time, and note what the scheduler holds."""
        super().step()
        job = self.scheduler.jobs.get(JOB_ID)
        if job is not None:
            self.steps_counts.append(len(job.steps))
            self.kept_done += [key for key in job.steps if key[0] in job.done]

    def run_to_end(self, limit_s):
        """Advance the time until the job has ended."""
        end_s = self.now_s + limit_s
        while not self.job_state(JOB_ID).is_final and self.now_s < end_s:
            self.step()


def find_job_starts(world):
    """Return the tasks of all start orders."""
    return [action.task for action in world.actions if isinstance(action, StartRun)]


@given(
    "a job of {times:d} occurrences of {count:d} steps that are due at once,"
    " some of whose runs fail"
)
def submit_repeated_job(context, times, count):
    world = context.world = SizeWorld(workers_count=3)
    world.failure_probability = 0.02
    steps = [make_step(1)]
    steps += [make_step(1, after=(index,)) for index in range(count - 1)]
    world.submit_spec(WorkflowSpec(payload="", steps=tuple(steps), times_count=times), 20)


@when("it runs to its end under two schedulers, one after the other")
def run_under_two(context):
    world = context.world
    while world.scheduler.jobs[JOB_ID].done.done_before < 4000:
        world.step()
    world.begin_tenure()
    world.run_to_end(600.0)


@then("it is complete, and no recorded occurrence was started again")
def check_repeated_job(context):
    world = context.world
    assert world.job_state(JOB_ID) is WorkflowState.COMPLETE, world.job_state(JOB_ID)
    assert not world.violations, world.violations[:5]


@then("no progress record was larger than {limit_bytes:d} bytes")
def check_sizes(context, limit_bytes):
    sizes_bytes = context.world.sizes_bytes
    assert max(sizes_bytes) <= limit_bytes, f"{max(sizes_bytes)} bytes"


@then("no scheduler held more than {limit:d} steps of it, nor any of a done occurrence")
def check_steps(context, limit):
    world = context.world
    assert max(world.steps_counts) <= limit, max(world.steps_counts)
    assert not world.kept_done, world.kept_done[:5]


@given(
    "a record of an earlier version in which {done:d} of {times:d} occurrences are done,"
    " and one in part"
)
def record_earlier_version(context, done, times):
    world = context.world = SizeWorld(workers_count=2, capacity=ResourceVector(4000, 9000))
    spec = WorkflowSpec(payload="", steps=(make_step(2),), times_count=times)
    world.submit_spec(spec)
    rows = [(occurrence, 0, b"\x03", {}) for occurrence in range(done)] + [(done, 0, b"\x01", {})]
    record = {"job_id": JOB_ID, "state": "running", "steps": rows, "queue": "", "team": ""}
    value = msgspec.msgpack.encode(("_PackedProgress", record))
    world.journal_state.apply(world.offset, f"p{JOB_ID}", value, world.now_s)
    world.offset += 1
    context.earlier_bytes = len(value)


@when("a scheduler inherits the job")
def inherit(context):
    world = context.world
    world.begin_tenure()
    world.sizes_bytes.clear()
    world.run_to_end(30.0)


@then("it starts the remaining {count:d} tasks once each, and the job is complete")
def check_remaining(context, count):
    starts = find_job_starts(context.world)
    assert len(starts) == len(set(starts)) == count, starts
    check_repeated_job(context)


@then("the progress record is smaller after the first end")
def check_smaller(context):
    sizes_bytes = context.world.sizes_bytes
    assert max(sizes_bytes) < context.earlier_bytes / 2, (sizes_bytes, context.earlier_bytes)


@given("{count:d} occurrences that are done in {order} order, but for number {missing:d}")
def add_occurrences(context, count, order, missing):
    numbers = [number for number in range(count) if number != missing]
    if order == "random":
        random.Random(5).shuffle(numbers)
    context.done, context.missing = OccurrenceSet(), missing
    for number in numbers:
        context.done.add(number)


@then("the set has {count:d} numbers, all below {missing:d} and one further range")
def check_ranges(context, count, missing):
    done = context.done
    assert len(done) == count and missing not in done and missing + 1 in done
    assert done.done_before == missing and done.later_ranges == ((missing + 1, count + 1),)
    assert len(OccurrenceSet(done.done_before, done.later_ranges)) == count


@when("number {number:d} is done as well")
def add_missing(context, number):
    context.done.add(number)


@then("all {count:d} are done without a further range")
def check_all_done(context, count):
    assert context.done.done_before == len(context.done) == count
    assert context.done.later_ranges == ()


@given("a job with tasks that run and tasks that wait, and another job")
def submit_two_jobs(context):
    world = context.world = WorkflowWorld(workers_count=2, capacity=ResourceVector(4000, 9000))
    world.run(0.5)
    world.submit(JOB_ID, [make_step(30)])
    world.run(0.5)
    assert world.scheduler.jobs[JOB_ID].state is WorkflowState.RUNNING


@when("its progress is too large for the journal")
def reject_progress(context):
    context.world.scheduler.observe(ProgressTooLarge(JOB_ID), context.world.now_s)
    context.world.actions.clear()


@then("it starts no further runs, and the other job is complete")
def check_blocked(context):
    world = context.world
    world.submit("other", [make_step(8)])
    world.record_progress = lambda: record_all_but_blocked(context)
    world.run(2.0)
    job_ids = {task.step_name.job_id for task in find_job_starts(world)}
    assert job_ids == {"other"}, job_ids
    assert world.job_state("other") is WorkflowState.COMPLETE


def record_all_but_blocked(context):
    """Append the progress of all jobs but the one whose progress is too large."""
    world = context.world
    progress = world.scheduler.pop_progress()
    for record in progress:
        if record.job_id == JOB_ID:
            world.scheduler.observe(ProgressTooLarge(JOB_ID), world.now_s)
        else:
            world.append(record)
            world.scheduler.observe(JobsRecorded((record.job_id,)), world.now_s)
    world.scheduler.observe(TenureConfirmed(world.now_s), world.now_s)


@when("a later progress is stored after {seconds:g} s")
def store_later_progress(context, seconds):
    del context.world.record_progress
    context.world.run(seconds + 0.5)


@then("the job is complete")
def check_job_complete(context):
    context.world.run(5.0)
    assert context.world.job_state(JOB_ID) is WorkflowState.COMPLETE


@given(
    "the largest job of one step, {times:d} times at once, that records of {record_bytes:d} bytes"
    " and appends of {request_bytes:d} bytes allow"
)
def find_largest_job(context, times, record_bytes, request_bytes):
    context.limits = JobLimits(record_max_bytes=record_bytes, request_max_bytes=request_bytes)
    world = context.world = SizeWorld(workers_count=2)

    def make_spec(count):
        return WorkflowSpec(payload="", steps=(make_step(count),), times_count=times)

    def is_accepted(count):
        accepted = WorkflowAccepted(
            job_id=JOB_ID, queue=world.queue, spec=make_spec(count), accepted_utc_s=0.0
        )
        return find_exceeded_limit(accepted, context.limits) is None

    count = max(count for count in range(1, 2000) if is_accepted(count))
    assert not is_accepted(count + 1)
    context.spec = make_spec(count)


@when("a scheduler with these limits runs it")
def run_largest_job(context):
    world = context.world
    world.scheduler.limits = context.limits
    world.failure_probability = 0.2
    world.submit_spec(context.spec, 10)
    world.run_to_end(120.0)


@then("it is complete, and no progress record was larger than {limit_bytes:d} bytes")
def check_largest_job(context, limit_bytes):
    check_repeated_job(context)
    check_sizes(context, limit_bytes)
