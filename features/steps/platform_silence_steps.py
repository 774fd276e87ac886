"""Steps for daemons whose open connections go silent."""

import json
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from platform_processes import PlatformDeployment, wait_for

from fireflywharf_testing.platform_stand_ins import Direction

LASTING_ID, OTHER_ID = "00000000000000c1", "00000000000000c2"
BURST_ID = "00000000000000b1"
LASTING_WORK_S, BURST_WORK_S = 60.0, 0.4
BURST_TASKS_COUNT = 12
CALLERS_COUNT = 80
QUERIES_COUNT = 400
STORE_CONNECTIONS_MIN = 30
DOUBLE_GAP_S = 1.5
NEW_PREFIX = "/added/"


def make_job(count, work_s):
    step = {"count": count, "cpu": 500, "mem_mb": 100, "estimate_ms": int(work_s * 1000)}
    return {"spec": json.dumps({"work_s": work_s}), "steps": [step]}


def start_deployment(context, **world):
    deployment = context.deployment = PlatformDeployment(2, **world)
    context.add_cleanup(deployment.close)
    deployment.start()
    wait_for(deployment.scheduler, 5.0, "no scheduler")
    return deployment


def find_runs(context, job_id):
    """Return the present runs of a job."""
    return [
        task
        for executor in context.deployment.world.executors
        for task, _ in list(executor.runs)
        if task.startswith(job_id)
    ]


def submit(daemon, job_id, job):
    status, _, _ = daemon.call("POST", f"/jobs/{job_id}", job)
    assert status == 200, status


@given("2 daemons on the platform with 12 idle connections to a worker that runs a lasting job")
def start_with_lasting_job(context):
    deployment = start_deployment(context, executors_count=1)
    submit(deployment.daemons[0], LASTING_ID, make_job(1, LASTING_WORK_S))
    wait_for(lambda: find_runs(context, LASTING_ID), 5.0, "the lasting job did not start")
    context.first_number = next(iter(deployment.world.executors[0].runs))[1]
    submit(deployment.daemons[0], BURST_ID, make_job(BURST_TASKS_COUNT, BURST_WORK_S))
    wait_for(
        lambda: len(find_runs(context, BURST_ID)) == BURST_TASKS_COUNT, 5.0, "no burst of tasks"
    )
    wait_for(lambda: not find_runs(context, BURST_ID), 5.0, "the burst of tasks did not end")


@given("2 daemons on the platform that have opened many connections to the store")
def start_with_store_connections(context):
    deployment = start_deployment(context)
    # A query for an unknown job reads the partition in which it would be.
    queries = [
        (deployment.daemons[number % 2], f"/jobs/{number:016x}") for number in range(QUERIES_COUNT)
    ]
    with ThreadPoolExecutor(CALLERS_COUNT) as pool:
        statuses = set(pool.map(lambda query: query[0].call("GET", query[1])[0], queries))
    assert statuses == {410}, statuses


def silence(world, target, direction, is_repeated=False):
    match target:
        case "workers":
            count, minimum = world.silence_executors(direction), BURST_TASKS_COUNT
        case "store":
            count, minimum = world.silence_store(direction), STORE_CONNECTIONS_MIN
        case "workers and to the store":
            count, minimum = world.silence_executors(direction), BURST_TASKS_COUNT
            world.silence_store(direction)
    assert is_repeated or count >= minimum, count


@when("the connections to the {target} lose {lost} once")
def silence_once(context, target, lost):
    silence(context.deployment.world, target, Direction(lost))


@when("the connections to the {target} lose {lost} twice, {gap_s:g} s between")
def silence_twice(context, target, lost, gap_s):
    silence(context.deployment.world, target, Direction(lost))
    time.sleep(gap_s)
    silence(context.deployment.world, target, Direction(lost), is_repeated=True)


@when("{seconds:g} s after that the job is cancelled at the other daemon")
def cancel(context, seconds):
    time.sleep(seconds)
    status, _, _ = context.deployment.daemons[1].call("DELETE", f"/jobs/{LASTING_ID}")
    assert status == 200, status


@when("the daemons run on for {seconds:g} s")
def wait(context, seconds):
    time.sleep(seconds)


@then("no run has lapsed and the lasting job still has its first run")
def check_renewed(context):
    executors = context.deployment.world.executors
    ends = [end for executor in executors for end in executor.history if end[2] == "lapsed"]
    assert not ends, ends
    runs = [run for executor in executors for run in executor.runs if run[0].startswith(LASTING_ID)]
    assert len(runs) == 1 and runs[0][1] == context.first_number, runs


@then("the task of the job ends within {seconds:g} s")
def check_ended(context, seconds):
    wait_for(lambda: not find_runs(context, LASTING_ID), seconds, "the cancelled task runs on")


@then("the {count:d} tasks of another job start within {seconds:g} s")
def check_started(context, count, seconds):
    submit(context.deployment.daemons[0], OTHER_ID, make_job(count, LASTING_WORK_S))
    wait_for(lambda: len(find_runs(context, OTHER_ID)) == count, seconds, "the tasks do not start")


@when("{seconds:g} s after that a queue is added to the configuration")
def add_queue(context, seconds):
    time.sleep(seconds)
    world = context.deployment.world
    configuration = world.configuration
    added = {**configuration["routes"][0], "name": "added", "path_prefix": NEW_PREFIX}
    configuration = {
        **configuration,
        "version": configuration["version"] + 1,
        "routes": [*configuration["routes"], added],
    }
    world.call(world.put_configuration, configuration)


@then("every daemon serves the new queue within {seconds:g} s")
def check_queue(context, seconds):
    limit_s = time.monotonic() + seconds
    for daemon in context.deployment.daemons:
        wait_for(
            lambda daemon=daemon: daemon.call("GET", NEW_PREFIX)[0] == 200,
            max(0.1, limit_s - time.monotonic()),
            f"{daemon.name} does not serve the new queue",
        )
