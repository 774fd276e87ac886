"""Steps for schedulers of several tenures on the sides of a cut network."""

import random

import attrs
from behave import given, then, when
from workflow_split_tenure import JOURNAL
from workflow_split_world import RENEWAL_S, SplitWorld
from workflow_workers import STEP_S
from workflow_world import make_step

POLL_S = 1.5
CUT_LENGTHS_S = (6.0, 7.0, 8.0, 11.0, 12.5)
PHASES_S = (0.75, 1.0, 1.25, 1.5, 1.75, 2.0)
"""Times from the start of the tasks to the cut, which vary the time since the latest renewals."""
HEALED_S = 40.0
"""Time after the end of the cuts within which all jobs must have ended."""
FOREVER_S = float("inf")
SETTLED_S = 8.0
"""Time after which the first tenure counts only its own renewals.

It takes the runs on a worker for possibly alive for 12.5 s from the first entry of the worker."""
DELAYS_S = {
    "everything is cut at once": (0.0, 0.0),
    "the workers are cut 0.4 s before the journal": (0.0, 0.4),
    "the workers are cut 2.5 s before the journal": (0.0, 2.5),
    "the journal is cut 0.4 s before the workers": (0.4, 0.0),
    "the journal is cut 2.5 s before the workers": (2.5, 0.0),
    "the main partition of the journal is cut with the workers": (0.0, 0.0),
}
"""Delays of the cuts of the workers and of the journal by description."""

EVIDENCE = {
    "reads its list and reaches no other worker": (0.0, 0, False),
    "reads its list and reaches other workers": (0.0, 2, False),
    "reads its list and has read none with the run": (POLL_S, 2, False),
    "reads the directory and reaches other workers": (0.0, 2, True),
}
"""Time of a poll, number of workers inside, and whether only the directory shows the restart."""


def make_seconds_step(seconds, count=1, cpu=1000, **changes):
    """Return a step of tasks that work for a number of seconds."""
    step = make_step(count, cpu, **changes)
    return attrs.evolve(step, estimate_ms=1000.0 * seconds)


def run_until(world, is_reached, limit_s):
    """Advance the time until a condition holds; return whether it does within the limit."""
    until_s = world.now_s + limit_s
    while not is_reached() and world.now_s < until_s:
        world.step()
    return is_reached()


def have_all_ended(world):
    """Return whether all jobs have ended."""
    return all(job.state.is_final for job in world.journal_state.jobs.values())


def begin_tasks(world, job_ids, seconds):
    """Submit jobs of one task and wait until their runs are active."""
    world.run(SETTLED_S)
    for job_id in job_ids:
        world.submit(job_id, [make_seconds_step(seconds)])
    assert run_until(world, lambda: all(map(world.find_run, job_ids)), 3.0), "not started"


def check_outcome(context):
    """Check the rule and the end of all jobs in all worlds of a scenario."""
    problems = []
    for name, world in context.worlds.items():
        problems += [f"{name}: {row}" for row in world.violations]
        if not have_all_ended(world):
            left = [key for key, job in world.journal_state.jobs.items() if not job.state.is_final]
            problems.append(f"{name}: not ended: {left}")
    broken = {row.split(":")[0] for row in problems}
    assert not problems, f"{len(broken)} of {len(context.worlds)} worlds: " + "; ".join(
        problems[:3]
    )


def cut_in_two(world, kind, cut_s):
    """Cut the first tenure, with the idle workers, off from the journal and the others."""
    busy = {worker.info.worker_id for worker, _, _ in world.iterate_active_runs()}
    idle = sorted(world.workers.keys() - busy)
    outside, inside = [*busy, idle[0]], idle[1:]
    start_s, until_s = world.now_s, world.now_s + cut_s
    workers_s, journal_s = DELAYS_S[kind]
    world.cut(outside, start_s + workers_s, until_s, last=1)
    world.cut([JOURNAL], start_s + journal_s, until_s, last=1)
    world.cut(inside, start_s, until_s, first=2)
    return until_s


@given("tasks that work for {seconds:g} s")
def note_tasks(context, seconds):
    """Note the length of the tasks."""
    context.task_s = seconds


@when("{kind}, for 6 to 12.5 s")
def cut_tenure(context, kind):
    """Cut a scheduler off after some phases of its polls, for some times."""
    context.worlds, context.acknowledged = {}, {}
    for cut_s in CUT_LENGTHS_S:
        for phase_s in PHASES_S:
            world = SplitWorld(poll_s=POLL_S)
            context.worlds[f"{cut_s:g} s after {phase_s:g} s"] = world
            begin_tasks(world, ("a", "b"), context.task_s)
            world.run(phase_s)
            until_s = cut_in_two(world, kind, cut_s)
            if kind.startswith("the main partition"):
                world.reads_submissions_while_cut = True
                world.run(2.0)
                world.submit("c", [make_seconds_step(1.0)])
            world.run(until_s - world.now_s - STEP_S)
            context.acknowledged[cut_s, phase_s] = len(world.acknowledged_tasks)
            run_until(world, lambda world=world: have_all_ended(world), HEALED_S)
            world.run(1.0)


@then("no task runs twice and all jobs end")
def check_no_task_runs_twice(context):
    """Check what the workers did."""
    check_outcome(context)


@then("the successor has acknowledged the ends during the cut")
def check_acknowledged(context):
    """Check that the scenario reaches what it is about."""
    assert all(count >= 2 for count in context.acknowledged.values()), context.acknowledged


@when("a second scheduler is cut off {seconds:g} s after its start, before it hears from that side")
def cut_take_over(context, seconds):
    """Let the first tenure keep a run alive until the third one has begun."""
    world = SplitWorld()
    context.worlds = {"take-over": world}
    begin_tasks(world, ("a",), context.task_s)
    holder = world.find_run("a")
    outside = [holder]
    inside = sorted(world.workers.keys() - {holder})
    start_s = world.now_s
    until_s = start_s + 25.0
    world.cut([JOURNAL, *inside], start_s, until_s, last=1)
    world.cut(outside, start_s, until_s, first=2, last=2)
    assert run_until(world, lambda: len(world.tenures) == 2, 3.0)
    world.cut([JOURNAL], world.now_s + seconds, until_s, first=2, last=2)
    world.cut(inside, world.now_s + seconds, until_s, first=3)
    assert run_until(world, lambda: len(world.tenures) == 3, 12.0)
    assert world.find_run("a") == holder, "the third tenure found no run"
    run_until(world, lambda: world.now_s > until_s and have_all_ended(world), 65.0)


@when("the worker departs, and the third scheduler uses it again while the second is cut off")
def return_departed_worker(context):
    """Let the second tenure count the departure down that the first one has recorded."""
    world = SplitWorld()
    context.worlds = {"departure": world}
    begin_tasks(world, ("a",), context.task_s)
    holder = world.find_run("a")
    others = sorted(world.workers.keys() - {holder})
    world.cut([holder], world.now_s, FOREVER_S, last=2)
    world.unlisted_workers.add(holder)
    world.publish_directory()
    assert run_until(world, lambda: world.journal_state.departures, 4.0), "no departure"
    until_s = world.now_s + 20.0
    world.cut([JOURNAL], world.now_s, until_s, last=1)
    assert run_until(world, lambda: len(world.tenures) == 2, 2.0)
    world.run(1.4)
    world.cut([JOURNAL], world.now_s, until_s, first=2, last=2)
    world.cut(others, world.now_s, until_s, first=3)
    world.unlisted_workers.clear()
    assert run_until(world, lambda: len(world.tenures) == 3, 2.0)
    world.run(0.3)
    assert world.find_run("a") == holder, "the third tenure found no run"
    run_until(world, lambda: world.now_s > until_s and have_all_ended(world), 60.0)


@when("its worker restarts after the successor has noted the end, and the old one {learns}")
def restart_after_end(context, learns):
    """Show the old tenure a process that knows neither the run nor the later epoch."""
    poll_s, inside_count, is_listed = EVIDENCE[learns]
    world = SplitWorld(poll_s=poll_s)
    context.worlds = {"restart": world}
    begin_tasks(world, ("a",), context.task_s)
    # Without an interval between the polls, the next report lists the run.
    world.run(0.0 if poll_s else 0.3)
    holder = world.find_run("a")
    others = sorted(world.workers.keys() - {holder})
    inside = others[:inside_count]
    start_s = world.now_s
    until_s = start_s + 12.0
    world.cut([JOURNAL, *others[inside_count:]], start_s, until_s, last=1)
    world.cut(inside, start_s, until_s, first=2)
    world.cut([holder], start_s, until_s if is_listed else start_s + 4.0, last=1)
    assert run_until(world, lambda: world.acknowledged_tasks, 3.8), "no end was acknowledged"
    world.cut([holder], world.now_s, until_s, first=2)
    world.workers[holder].restart()
    world.run(start_s + 4.0 - world.now_s)
    if is_listed:
        world.apply_directory(world.tenures[0])
    world.run(until_s - world.now_s + 2.0)


@given("a task that waits because the only worker that the scheduler reaches is busy")
def begin_waiting_task(context):
    """Fill the worker inside, and submit another job."""
    world = context.world = SplitWorld(workers_count=3)
    context.worlds = {"waiting": world}
    world.cut(["w0", "w2"], world.now_s, world.now_s + 2.0, last=1)
    world.submit("busy", [make_seconds_step(20.0, cpu=4000)])
    assert run_until(world, lambda: world.find_run("busy"), 3.0)
    world.submit("a", [make_seconds_step(context.task_s)])
    world.run(1.0)
    assert world.find_run("a") is None


@when("the successor starts it elsewhere and another worker restarts and reports to the old one")
def restart_beside_first_run(context):
    """Let the successor hear from the earlier process, and the old tenure from the later one."""
    world = context.world
    start_s = world.now_s
    until_s = start_s + 12.0
    world.cut([JOURNAL], start_s, until_s, last=1)
    world.cut(["w0", "w2"], start_s, start_s + 3.0, last=1)
    world.cut(["w1"], start_s, until_s, last=1)
    assert run_until(world, lambda: world.find_run("a"), 3.0), "the successor started no run"
    holder = world.find_run("a")
    other = "w0" if holder == "w2" else "w2"
    world.cut([holder], start_s, until_s, last=1)
    world.cut([other], world.now_s, until_s, first=2)
    world.workers[other].restart()
    world.run(until_s - world.now_s)
    run_until(world, lambda: have_all_ended(world), HEALED_S)


def submit_random_jobs(world, rng):
    """Submit single tasks, gangs and jobs of two steps."""
    for index in range(3):
        world.submit(f"single{index}", [make_seconds_step(rng.uniform(1, 9), rng.randint(1, 3))])
    world.submit("gang", [make_seconds_step(rng.uniform(2, 8), 2, gang=True)])
    first = make_seconds_step(rng.uniform(1, 5), 2)
    world.submit("steps", [first, make_seconds_step(rng.uniform(1, 5), 2, after=(0,))])


def cut_at_random(world, rng, from_s, first):
    """Cut one tenure with some workers off from the journal and the other workers.

    Some workers change sides before the end of the cut.
    """
    names = sorted(world.workers)
    inside = set(rng.sample(names, rng.randint(1, len(names) - 1)))
    until_s = from_s + rng.uniform(3.0, 13.0)
    journal_s = from_s + max(0.0, rng.uniform(-2.0, 2.5))
    world.cut([JOURNAL], journal_s, until_s, first=first, last=first)
    for name in names:
        change_s = from_s + rng.uniform(1.0, 6.0) if rng.random() < 0.3 else until_s
        if name in inside:
            world.cut([name], from_s, min(change_s, until_s), first=first + 1)
            world.cut([name], change_s, until_s, first=first, last=first)
        else:
            world.cut([name], from_s, min(change_s, until_s), first=first, last=first)
            world.cut([name], change_s, until_s, first=first + 1)
    return until_s


def run_random_history(seed, start_permission_s):
    """Return a world after two cuts that overlap, restarts and failures."""
    rng = random.Random(seed)
    world = SplitWorld(
        seed,
        workers_count=5,
        poll_s=rng.choice((0.0, POLL_S)),
        start_permission_s=start_permission_s,
        max_attempts=8,
    )
    world.failure_probability = 0.1
    world.run(SETTLED_S)
    submit_random_jobs(world, rng)
    world.run(rng.uniform(0.5, 3.0))
    healed_s = cut_at_random(world, rng, world.now_s, 1)
    if rng.random() < 0.6:
        second_s = world.now_s + rng.uniform(1.5, 9.0)
        healed_s = max(healed_s, cut_at_random(world, rng, second_s, 2))
    restarts_s = sorted(world.now_s + rng.uniform(0.5, 9.0) for _ in range(rng.randint(0, 4)))
    for restart_s in restarts_s:
        world.run(restart_s - world.now_s)
        world.workers[rng.choice(sorted(world.workers))].restart()
    world.run(healed_s - world.now_s)
    run_until(world, lambda: have_all_ended(world), HEALED_S)
    return world


@when("{count:d} random histories pass in which a scheduler may start runs for {seconds:g} s")
def run_histories(context, count, seconds):
    """Run the histories of the seeds from 1, with cuts, restarts and failures."""
    context.worlds = {
        f"seed {seed}": run_random_history(seed, seconds) for seed in range(1, count + 1)
    }


@given("a task whose worker answers polls after {poll_s:g} s, without any cut")
def begin_without_cut(context, poll_s):
    """Start a task that would work for long."""
    world = context.world = SplitWorld(poll_s=poll_s)
    begin_tasks(world, ("a",), 20.0)
    context.holder = world.workers[world.find_run("a")]
    world.run(2.0)


@when("the worker is silent for good")
def silence_worker(context):
    """Let the worker answer nothing more."""
    context.holder.reachable = False
    tenure = context.world.tenures[0]
    context.since_s = tenure.renewed_s[context.holder.info.worker_id]


@when("the worker restarts and reports")
def restart_worker(context):
    """Replace the process; its report comes with the next step."""
    context.holder.restart()
    context.since_s = context.world.now_s + STEP_S


@then("the task is started elsewhere within {seconds:g} s and one renewal interval")
@then("the task is started again within {seconds:g} s and one renewal interval")
def check_started_again(context, seconds):
    """Check the time of the second start."""
    world = context.world
    limit_s = seconds + RENEWAL_S
    run_until(world, lambda: len(world.started) > 1, 20.0)
    assert len(world.started) == 2, world.started
    elapsed_s = world.started[1][0] - context.since_s
    assert elapsed_s <= limit_s + 1e-6, f"after {elapsed_s:.2f} s"
    assert not world.violations, world.violations
