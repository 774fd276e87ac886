"""Steps for daemons under load while the platform fails."""

import collections
import time
from concurrent.futures import ThreadPoolExecutor

import attrs
from behave import given, then, when
from daemon_steps import begin_load
from daemon_world import (
    CONTRACT,
    SERVICE,
    assert_eventually,
    job_document,
    list_running_vms,
    start_cluster,
)

from fireflywharf_core.history import AttemptStarted, RequestEnded, RequestStarted
from fireflywharf_core.jobs import derive_job_id
from fireflywharf_core.results import ResultCode
from fireflywharf_testing import FaultSettings, RequestPlan, TargetGroup

CALLERS_COUNT = 16
CONTRACT_VISIBLE_TIMEOUT_S = 10.0
TASK_STARTS_MIN = 10
"""Task starts that a worker must have to count as the busiest one."""


def list_log_servers(cluster):
    return [name for name in cluster.platform.servers if name.startswith("log-")]


def set_log_faults(context, **faults):
    """Set the faults of the logs of all failure domains; without `faults`, end them."""
    for number, name in enumerate(list_log_servers(context.cluster)):
        context.cluster.platform.set_faults(name, FaultSettings(seed=number, **faults))


@given(
    "daemons in {count:d} failure domains under load,"
    " with a log that keeps records for {retention_s:g} s"
)
def step_retention(context, count, retention_s):
    settings = {
        "platform": {"retention_s": retention_s},
        "routing": {"key_lifetime_s": retention_s / 2},
    }
    begin_load(
        context,
        (count, retention_s),
        lambda: start_cluster(count, settings=settings, retention_s=retention_s),
    )


@when("the log is down")
def step_log_down(context):
    context.cluster.platform.set_log_fault()
    # An append in progress when the log fails may have an unknown outcome (section 8 of the
    # design), so the next steps start only after every entry VM has noticed the outage.
    for vm in list_running_vms(context.cluster):
        assert_eventually(
            lambda v=vm: context.cluster.status(v).get("log_available") is False,
            f"{vm} reports the log as unavailable",
        )


@when("each call to the log is delayed by {slow_s:g} s for {duration_s:g} s")
def step_log_slow(context, slow_s, duration_s):
    set_log_faults(context, slow_s=slow_s)
    time.sleep(duration_s)
    set_log_faults(context)


@when("the log executes all calls but loses {percent:d} of 100 answers")
def step_log_loses(context, percent):
    set_log_faults(context, lose_answer_p=percent / 100)


@when("the platform faults end")
def step_faults_end(context):
    set_log_faults(context)
    for name in context.cluster.platform.servers:
        if name.startswith("vms-"):
            context.cluster.platform.set_faults(name)


@when("the load runs for {duration_s:g} s")
def step_run(context, duration_s):
    time.sleep(duration_s)


@then("a job with a caller's key is refused as not run")
def step_job_refused(context):
    result = context.load.caller.submit_job("centro-entry-1", job_document("batch", "in-outage"))
    assert result.code == ResultCode.STORE_UNAVAILABLE, result


@then("a contract change is refused as not run")
def step_contract_refused(context):
    caller = context.load.caller
    version = caller.poll_contract("centro-entry-1", "austral").answer["version"]
    result = caller.apply_contract("centro-entry-1", CONTRACT, version)
    assert result.code == ResultCode.STORE_UNAVAILABLE, result


@then("requests without a caller's key complete at every entry VM")
def step_requests_complete(context):
    for vm in list_running_vms(context.cluster):
        result = context.load.caller.send_request(vm, RequestPlan(service=SERVICE))
        assert result.outcome == "completed", (vm, result)


@when("a worker that runs tasks is killed")
def step_kill_worker(context):
    platform = context.cluster.platform

    def find_busy_worker():
        return next((n for n, w in platform.workers.items() if w.listing().running), None)

    assert_eventually(find_busy_worker, "a worker that runs tasks")
    platform.kill_vm(find_busy_worker())


@when('the open connections to target "{name}" stop responding')
def step_silent(context, name):
    context.cluster.platform.set_faults(name, FaultSettings(silent=True))
    context.target, context.fault_time_s = name, time.monotonic()


@then("that target completes requests on new connections")
def step_new_connections(context):
    recorder = context.cluster.recorder

    def has_completed_request():
        # A request that was sent on a silent connection starts immediately, so a request that
        # starts more than 1 s after the fault was sent on a new connection.
        since_s = context.fault_time_s + 1.0
        rows = [row for row in recorder.of(RequestStarted) if row.target == context.target]
        late = {row.execution for row in rows if row.time_s > since_s}
        ends = recorder.of(RequestEnded)
        return any(r.target == context.target and r.execution in late for r in ends)

    assert_eventually(has_completed_request, f"a completed request at {context.target}")


@when('the VM list of "{domain}" lags by {lag_s:g} s')
def step_lag(context, domain, lag_s):
    context.cluster.platform.set_faults(f"vms-{domain}", FaultSettings(lag_s=lag_s))


@when('target "{name}" is killed and a new target is added')
def step_replace_target(context, name):
    platform = context.cluster.platform
    platform.kill_vm(name)
    platform.add_target(name.split("-")[0], TargetGroup(service=SERVICE))


@when("the worker with the most task starts fails every command from then on")
def step_worker_fails(context):
    recorder, load = context.cluster.recorder, context.load

    def find_busiest_worker():
        rows = [row for row in recorder.of(AttemptStarted) if row.time_s >= load.start_s]
        return collections.Counter(row.worker for row in rows).most_common(1)

    # Tasks are placed on the fullest worker that fits, so other workers may get no task at all.
    assert_eventually(
        lambda: find_busiest_worker() and find_busiest_worker()[0][1] >= TASK_STARTS_MIN,
        "a worker with enough task starts",
    )
    context.worker = find_busiest_worker()[0][0]
    faults = FaultSettings(fail_p=1.0, only=["/v1/commands"])
    context.cluster.platform.set_faults(context.worker, faults)


@then("the entry VMs report that worker as set aside")
def step_set_aside(context):
    caller = context.load.caller
    domain = context.worker.split("-")[0]

    def is_set_aside():
        vm = context.cluster.scheduler(domain)
        answer = caller.exchange(vm, "GET", "/v1/vms").answer if vm else {}
        rows = {row["name"]: row for row in answer.get("vms", [])}
        return rows.get(context.worker, {}).get("set_aside", False)

    assert_eventually(is_set_aside, f"{context.worker} is set aside")


@when("{count:d} jobs are submitted and cancelled")
def step_cancel_jobs(context, count):
    caller = context.load.caller
    vms = list_running_vms(context.cluster)
    long_job = job_document("batch", "") | {"tasks_count": 1, "command": '{"run_s": 300}'}

    def submit(number):
        job = long_job | {"key": f"wave-{context.load.name}-{number}"}
        result = caller.submit_job(vms[number % len(vms)], job)
        assert result.code in (ResultCode.ACCEPTED, ResultCode.ACCEPTED_LATE), result
        return derive_job_id("austral", job["key"])

    def cancel(pair):
        number, job_id = pair
        path = f"/v1/jobs/{job_id}/cancel"
        result = caller.exchange(vms[(number + 1) % len(vms)], "POST", path)
        assert result.code in (ResultCode.OK, ResultCode.JOB_CANCELLED), result

    with ThreadPoolExecutor(CALLERS_COUNT) as pool:
        context.cancelled_jobs = list(pool.map(submit, range(count)))
        list(pool.map(cancel, enumerate(context.cancelled_jobs)))
    context.load.jobs.update(dict.fromkeys(context.cancelled_jobs, "wave"))


@then("no task of these jobs is running")
def step_no_task_runs(context):
    cancelled_jobs = set(context.cancelled_jobs)
    workers = context.cluster.platform.workers.values()

    def no_task_runs():
        running = [row for worker in workers for row in worker.listing().running]
        return not any(row.attempt.task.job_id in cancelled_jobs for row in running)

    assert_eventually(no_task_runs, "no task of a cancelled job runs")


@when("two operators concurrently change one contract {count:d} times at different entry VMs")
def step_concurrent_changes(context, count):
    caller = context.cluster.caller("tico")
    vms = ("centro-entry-1", "pacifico-entry-1")
    context.apply_results = []
    for number in range(count):
        contracts = [
            CONTRACT | {"customer": "tico", "share_weight": 1 + 2 * number + side}
            for side in range(2)
        ]
        with ThreadPoolExecutor(2) as pool:
            results = pool.map(caller.apply_contract, vms, contracts, [number] * 2)
        context.apply_results.append(sorted(result.answer.get("name", "") for result in results))
        version = number + 1
        for vm in list_running_vms(context.cluster):
            assert_eventually(
                lambda vm=vm, v=version: caller.poll_contract(vm, "tico").answer.get("version")
                == v,
                f"version {version} at {vm}",
                CONTRACT_VISIBLE_TIMEOUT_S,
            )


@then("each time one change was applied and the other was refused")
def step_concurrent_results(context):
    assert all(
        names == ["OK", "VERSION_CONFLICT"] for names in context.apply_results
    ), context.apply_results


@when('target "{name}" is marked as leaving')
def step_leaving(context, name):
    target = context.cluster.platform.targets[name]
    started = [r for r in context.cluster.recorder.of(RequestStarted) if r.target == name]
    assert started, f"expected a request at {name} before it leaves; found none"
    context.cluster.platform.mark_leaving(name)
    context.add_cleanup(restore_target, context.cluster.platform, target)


def restore_target(platform, target):
    target.leaving = False
    present = next(vm for vm in platform.vm_list.current_vms() if vm.name == target.vm.name)
    platform.vm_list.add(attrs.evolve(target.vm, address=present.address))


@when('"{domain}" is partitioned from the other failure domains and the log')
def step_partition(context, domain):
    context.cluster.isolate_domain(domain, log=True)


@when('"{domain}" is partitioned from the other failure domains')
def step_partition_mesh(context, domain):
    context.cluster.isolate_domain(domain)


@when("the partitions heal")
def step_heal_partitions(context):
    context.cluster.heal_partitions()
