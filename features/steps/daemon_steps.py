"""Steps for daemons under load whose entry VMs fail."""

import time

from behave import given, then, when
from daemon_world import SHARED_CLUSTER, Load, assert_eventually, list_running_vms, start_cluster

from fireflywharf_core.history import AttemptStarted


def begin_load(context, layout, start):
    """Start a load on the shared cluster and wait until it has completed some requests."""
    context.cluster = SHARED_CLUSTER.acquire(context, layout, start)
    context.load = Load(context.cluster, f"load{SHARED_CLUSTER.loads_count}").start()
    assert_eventually(
        lambda: context.load.count_outcomes()["completed"] >= 10, "10 completed requests"
    )


def find_vm(cluster, role, domain):
    """Return the scheduler of a domain, or its first other entry VM for any other role."""
    scheduler = cluster.scheduler(domain)
    assert scheduler, f"{domain} has no scheduler"
    if role == "scheduler":
        return scheduler
    return next(vm for vm in cluster.entry_vm_names(domain) if vm != scheduler)


@given("daemons in {count:d} failure domains under load")
def step_load(context, count):
    begin_load(context, (count,), lambda: start_cluster(count))


@given('daemons in {count:d} failure domains under load, with "{domains}" embedded')
def step_load_embedded(context, count, domains):
    embedded = tuple(domains.split(","))
    begin_load(context, (count, embedded), lambda: start_cluster(count, embedded))


@when('the {role} of "{domain}" is killed')
def step_kill(context, role, domain):
    context.vm = find_vm(context.cluster, role, domain)
    context.cluster.kill(context.vm)
    context.fault_time_s = time.monotonic()


@when('the {role} of "{domain}" is paused for {pause_s:g} s')
def step_pause(context, role, domain, pause_s):
    context.vm = find_vm(context.cluster, role, domain)
    context.cluster.pause(context.vm)
    context.fault_time_s = time.monotonic()
    time.sleep(pause_s)


@when('the {role} of "{domain}" is restarted with empty memory')
def step_restart(context, role, domain):
    context.vm = find_vm(context.cluster, role, domain)
    context.cluster.restart(context.vm)


@when('the {role} of "{domain}" receives SIGTERM')
def step_terminate(context, role, domain):
    context.vm = find_vm(context.cluster, role, domain)
    context.fault_time_s = time.monotonic()
    context.shutdown = context.cluster.terminate(context.vm)


@then("it exits with status 0")
def step_exit_status(context):
    assert context.shutdown.exit_status == 0, context.cluster.log_lines(context.vm)[-2000:]


@when("the paused entry VM is resumed")
def step_resume(context):
    context.cluster.resume(context.vm)


@then('"{domain}" has another scheduler within {limit_s:g} s')
def step_take_over(context, domain, limit_s):
    def has_other_scheduler():
        scheduler = context.cluster.scheduler(domain)
        return scheduler is not None and scheduler != context.vm

    remaining_s = limit_s - (time.monotonic() - context.fault_time_s)
    assert_eventually(has_other_scheduler, f"another scheduler of {domain}", remaining_s)


@then('a task starts in "{domain}" after that')
def step_task_starts(context, domain):
    since_s = time.monotonic()

    def started():
        rows = context.cluster.recorder.of(AttemptStarted)
        return any(row.time_s > since_s and row.worker.startswith(domain) for row in rows)

    assert_eventually(started, f"a start in {domain}")


@then("the load ends without a violated guarantee")
def step_guarantees_hold(context):
    context.load.finish()
    assert len(context.load.jobs) >= 10, "expected at least 10 jobs; the load submitted fewer"
    assert context.load.count_outcomes()["completed"] >= 100, context.load.count_outcomes()
    violations = SHARED_CLUSTER.new_violations()
    assert not violations, "\n".join(violations)
    assert list_running_vms(context.cluster)
    SHARED_CLUSTER.is_reusable = True
