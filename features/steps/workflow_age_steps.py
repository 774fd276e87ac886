"""Steps for the age of jobs across schedulers and daemons."""

import attrs
from behave import given, then, when
from workflow_world import make_step

from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.workflows import (
    JournalState,
    Queue,
    StartRun,
    StepSpec,
    WorkflowAccepted,
    WorkflowSpec,
    encode_record,
)

NOW_S = 1000.0
UTC_S = 1.8e9


@when(
    "a job with an estimate of {early_ms:d} ms arrives {lead_s:g} s before one with an estimate"
    " of {late_ms:d} ms"
)
def submit_early_and_late(context, early_ms, lead_s, late_ms):
    world = context.world
    world.queue = attrs.evolve(world.queue, grace_ms=20000.0)
    for active_run in world.workers["w0"].active_runs.values():
        active_run.end_due_s = world.now_s + 2 * lead_s
    world.submit("early", [attrs.evolve(make_step(1, 4000), estimate_ms=early_ms)])
    world.run(lead_s)
    world.submit("late", [attrs.evolve(make_step(1, 4000), estimate_ms=late_ms)])


@when("another scheduler takes over and the worker becomes free")
def take_over_until_free(context):
    context.world.begin_tenure()
    context.world.actions.clear()
    context.world.run(8.0)


@then("the earlier job starts first")
def check_start_order(context):
    starts = [a.task.step_name.job_id for a in context.world.actions if isinstance(a, StartRun)]
    assert starts[:2] == ["early", "late"], starts


@given("a journal with a job that was accepted {elapsed_s:g} s ago by the time of day")
def store_old_job(context, elapsed_s):
    queue = Queue(name="q", host="h", path_prefix="/q/", service="s")
    spec = WorkflowSpec(payload="", steps=(StepSpec(tasks_count=1, size=ResourceVector(1, 1)),))
    context.stored = encode_record(
        WorkflowAccepted(job_id="a", queue=queue, spec=spec, accepted_utc_s=UTC_S - elapsed_s)
    )


@when("a starting daemon reads it")
def read_old_job(context):
    context.journal_state = JournalState()
    context.journal_state.apply(0, *context.stored, now_s=NOW_S, utc_s=UTC_S)


@then("the job counts as {age_s:g} s old")
def check_age(context, age_s):
    seen_s = NOW_S - context.journal_state.jobs["a"].accepted_s
    assert abs(seen_s - age_s) < 1e-3, seen_s
