"""Steps for workers that restart while a scheduler is superseded, or may be."""

import attrs
from behave import given, then, when
from workflow_resilience_steps import WORKER
from workflow_split_steps import (
    HEALED_S,
    POLL_S,
    SETTLED_S,
    have_all_ended,
    make_seconds_step,
    run_until,
)
from workflow_split_tenure import JOURNAL
from workflow_split_world import SplitWorld
from workflow_workers import STEP_S
from workflow_world import WorkflowWorld

from fireflywharf_core.workflows import (
    DirectoryChanged,
    JobAdded,
    JobsRecorded,
    StartRun,
    TenureConfirmed,
    Timing,
    WorkerReported,
    WorkflowProgress,
    WorkflowScheduler,
    WorkflowState,
)

PHASES_S = (0.0, 0.3, 0.6, 0.9, 1.2)
"""Times before the task is submitted, which vary the age of the open poll at the restart."""
DELAYS_S = (0.0, 0.2, 0.4)
"""Times from the second refusal to the cut, which vary the time of the next attempt."""
GANG_PHASES_S = (0.5, 0.55, 0.6, 0.65, 0.7, 0.75)
"""Times from the start of a gang to the restart, which vary the time since the latest append."""
LATER_WORKER = attrs.evolve(WORKER, incarnation=2)
OTHER_WORKER = attrs.evolve(WORKER, worker_id="w1")


def begin_refused_task(phase_s):
    """Let the only worker that the first tenure reaches refuse a task twice.

    The second refusal keeps the task waiting for about 2 s without any new report.
    """
    permission_s = Timing().start_permission_s
    world = SplitWorld(workers_count=3, poll_s=POLL_S, start_permission_s=permission_s)
    world.run(SETTLED_S + phase_s)
    world.cut(["w1", "w2"], world.now_s, world.now_s + 20.0, last=1)
    world.run(0.3)
    worker = world.workers["w0"]
    worker.refuses_next_start = True
    world.submit("a", [make_seconds_step(8.0)])
    assert run_until(world, lambda: not worker.refuses_next_start, 2.0), "no start was refused"
    worker.refuses_next_start = True
    return world


@given("a task that the only worker that the scheduler reaches has refused to start")
def begin_refused_tasks(context):
    """Vary when the task is submitted and when the scheduler is cut off."""
    context.worlds, context.delays_s = {}, {}
    for phase_s in PHASES_S:
        for delay_s in DELAYS_S:
            name = f"cut {delay_s:g} s after phase {phase_s:g} s"
            context.worlds[name] = begin_refused_task(phase_s)
            context.delays_s[name] = delay_s


@when("that worker restarts during an open poll, after the successor has started it elsewhere")
def restart_during_poll(context):
    """Cut the journal off, and let the old tenure reach only the later process of the worker."""
    for name, world in context.worlds.items():
        world.run(context.delays_s[name])
        worker = world.workers["w0"]
        until_s = world.now_s + 12.0
        world.cut([JOURNAL], world.now_s, until_s, last=1)
        assert run_until(world, lambda world=world: len(world.tenures) == 2, 3.0), name
        assert run_until(world, lambda worker=worker: worker.epoch == 2, 1.0), name
        world.cut(["w0"], world.now_s, until_s, first=2)
        assert run_until(world, lambda world=world: world.find_run("a"), 1.0), name
        worker.refuses_next_start = False
        worker.restart()
        world.run(STEP_S)
        old = world.tenures[0]
        assert "w0" in old.open_polls and old.incarnations["w0"] < worker.info.incarnation, name
        world.run(until_s - world.now_s)
        run_until(world, lambda world=world: have_all_ended(world), HEALED_S)


@given("a gang of two whose members run on two workers, without a successor")
def begin_gangs(context):
    """Vary the time since the latest append."""
    context.worlds = {}
    for phase_s in GANG_PHASES_S:
        world = context.worlds[f"{phase_s:g} s"] = SplitWorld()
        world.run(SETTLED_S)
        world.submit("gang", [make_seconds_step(6.0, 2, cpu=4000, gang=True)])
        assert run_until(world, lambda world=world: len(world.started) == 2, 4.0), "not started"
        world.run(phase_s)


@when("one of the workers restarts while the journal is silent for {seconds:g} s")
def restart_member(context, seconds):
    """Let the run of one member be missing, and that of the other be stopped."""
    context.healed_s = {}
    for name, world in context.worlds.items():
        context.healed_s[name] = world.now_s + seconds
        world.cut([JOURNAL], world.now_s, context.healed_s[name])
        next(worker for worker, _, _ in world.iterate_active_runs()).restart()
        run_until(world, lambda world=world: have_all_ended(world), HEALED_S)


@then("all runs of the gang began together, after a confirmation, and the jobs end")
def check_whole_gang(context):
    """Check the members of each start; nothing was confirmed while the journal was silent."""
    for name, world in context.worlds.items():
        members = {}
        for started_s, order in world.started:
            members.setdefault((order.number, started_s), set()).add(order.task.index)
        assert all(row == {0, 1} for row in members.values()), f"{name}: {members}"
        assert len(members) >= 2, f"{name}: the gang was not started again"
        again_s = min(started_s for number, started_s in members if number > 1)
        assert again_s >= context.healed_s[name], f"{name}: started again at {again_s:.2f}"
        assert len(world.tenures) == 1, f"{name}: a successor began"
        assert have_all_ended(world) and not world.violations, f"{name}: {world.violations}"


def report_worker(scheduler, info, sent_s):
    """Pass an empty report of a worker to a scheduler, which reads it at once."""
    event = WorkerReported(
        worker_id=info.worker_id,
        incarnation=info.incarnation,
        sent_s=sent_s,
        running=(),
        ended=(),
    )
    scheduler.observe(event, sent_s)


def find_starts(scheduler, now_s):
    """Return the ids of the workers on which a scheduler starts runs now."""
    return [row.worker_id for row in scheduler.decide(now_s, 0.0) if isinstance(row, StartRun)]


def make_scheduler(state, workers, **options):
    """Return a scheduler of a journal that knows these workers at 100 s."""
    scheduler = WorkflowScheduler(
        timing=Timing(),
        started_s=100.0,
        find_spec=state.find_spec,
        find_team=state.find_team,
        **options,
    )
    scheduler.observe(DirectoryChanged({info.worker_id: info for info in workers}), 100.0)
    return scheduler


@given("a scheduler with a waiting task whose worker has reported and was confirmed afterwards")
def create_scheduler(context):
    """Confirm the tenure at 100.2 s, after the first report of the worker."""
    world = WorkflowWorld(workers_count=0)
    world.submit("a", [make_seconds_step(8.0)])
    context.scheduler = make_scheduler(world.journal_state, [WORKER])
    report_worker(context.scheduler, WORKER, 100.1)
    context.scheduler.observe(TenureConfirmed(100.2), 100.2)
    event = JobAdded(job_id="a", journaled=world.journal_state.jobs["a"])
    context.scheduler.observe(event, 100.2)
    context.scheduler.observe(JobsRecorded(("a",)), 100.2)


@when("a later process of the worker reports {seconds:g} s after the confirmation")
def report_later_process(context, seconds):
    """Note what the scheduler starts before and after the next confirmations."""
    reported_s = 100.2 + seconds
    report_worker(context.scheduler, LATER_WORKER, reported_s)
    # Without its entry, the process would get no runs in any case.
    directory = {LATER_WORKER.worker_id: LATER_WORKER}
    context.scheduler.observe(DirectoryChanged(directory), reported_s)
    context.starts = find_starts_by_confirmation(context.scheduler, reported_s)


@given("a second scheduler that has heard from one of two workers that the first one used")
def create_second_scheduler(context):
    """Confirm the tenure at 100.2 s, after the report of the other worker."""
    world = WorkflowWorld(workers_count=0)
    world.submit("a", [make_seconds_step(8.0)])
    world.append(WorkflowProgress(job_id="a", state=WorkflowState.RUNNING))
    context.scheduler = make_scheduler(
        world.journal_state,
        [LATER_WORKER, OTHER_WORKER],
        first_number=1001,
        workers_in_use=("w0", "w1"),
    )
    event = JobAdded(job_id="a", journaled=world.journal_state.jobs["a"])
    context.scheduler.observe(event, 100.0)
    report_worker(context.scheduler, OTHER_WORKER, 100.1)
    context.scheduler.observe(TenureConfirmed(100.2), 100.2)
    assert find_starts(context.scheduler, 100.2) == []


@when("the other one, which has restarted, reports an empty list {seconds:g} s later")
def report_empty_list(context, seconds):
    """Note what the scheduler starts before and after the next confirmations."""
    reported_s = 100.2 + seconds
    report_worker(context.scheduler, LATER_WORKER, reported_s)
    context.starts = find_starts_by_confirmation(context.scheduler, reported_s)


def find_starts_by_confirmation(scheduler, reported_s):
    """Return the starts without, with an earlier and with a later confirmation than a report."""
    starts = [find_starts(scheduler, reported_s + 0.05)]
    for sent_s, answered_s in ((-0.05, 0.1), (0.05, 0.2)):
        scheduler.observe(TenureConfirmed(reported_s + sent_s), reported_s + answered_s)
        starts.append(find_starts(scheduler, reported_s + answered_s))
    return starts


@then("the task is started only after a confirmation that was sent since that report")
def check_starts(context):
    """Check that neither the earlier confirmation nor one sent before the report is enough."""
    without, earlier, later = context.starts
    assert not without, f"started on {without} without a further confirmation"
    assert not earlier, f"started on {earlier} after a confirmation sent before the report"
    assert len(later) == 1, later
