"""Steps for request keys that are used at several entry VMs."""

from behave import given, then, when

from fireflywharf_testing import (
    Cluster,
    Domain,
    RequestPlan,
    TargetGroup,
    Topology,
    WorkerGroup,
    wait_until,
)

CUSTOMER = "austral"
CONTRACT = {
    "customer": CUSTOMER,
    "share_weight": 1.0,
    "quota": {
        "processors_millicores": "unlimited",
        "memory_mb": "unlimited",
        "accelerators_count": "unlimited",
    },
    "requests_per_second": "unlimited",
    "queue_max_tasks": "unlimited",
    "provisional_admission": True,
}
CONTRACT_VISIBLE_TIMEOUT_S = 10.0


@given("daemons in 2 failure domains with a contract")
def start_two_domains(context):
    domains = [
        Domain(
            name=name,
            region=name,
            entry_vms_count=2,
            workers=[WorkerGroup(count=2)],
            targets=[TargetGroup(service="dispatch", count=2)],
        )
        for name in ("centro", "pacifico")
    ]
    context.key_cluster = Cluster(Topology(domains=domains)).start()
    context.add_cleanup(context.key_cluster.stop)
    caller = context.key_caller = context.key_cluster.caller(CUSTOMER)
    caller.apply_contract("centro-entry-1", CONTRACT, 0)
    for vm in caller.entry_vms:
        is_visible = wait_until(
            lambda vm=vm: caller.poll_contract(vm, CUSTOMER).answer.get("version") == 1,
            CONTRACT_VISIBLE_TIMEOUT_S,
        )
        assert is_visible, f"{vm} has no contract after {CONTRACT_VISIBLE_TIMEOUT_S} s"
    context.key_results = []


def send_to_all_vms(context, key, operation):
    """Send the same request to every entry VM and keep the results."""
    plan = RequestPlan(service="dispatch", idempotent=False, key=key, operation=operation)
    for vm in context.key_caller.entry_vms:
        context.key_results.append((key, vm, context.key_caller.send_request(vm, plan)))


@when("a request with a key issued by each entry VM is sent to every entry VM")
def use_issued_keys(context):
    for issuer in context.key_caller.entry_vms:
        key_request = {"customer": CUSTOMER, "count": 1}
        answer = context.key_caller.exchange(issuer, "POST", "/v1/keys", key_request).answer
        send_to_all_vms(context, answer["keys"][0], f"issued by {issuer}")


@when("a request with a caller's key is sent to every entry VM")
def use_caller_key(context):
    send_to_all_vms(context, "own-key-1", "own key")


@then("every call returns a completed outcome")
def check_completed(context):
    assert len(context.key_results) == 20
    for key, vm, result in context.key_results:
        assert result.outcome == "completed", (key, vm, result)


@then("no request was executed twice")
def check_executed_once(context):
    assert context.key_cluster.violations() == []


@when("the log is unreachable and a job with an issued key is submitted")
def submit_in_outage(context):
    cluster, caller = context.key_cluster, context.key_caller
    key_request = {"customer": CUSTOMER, "count": 1}
    keys = caller.exchange("centro-entry-1", "POST", "/v1/keys", key_request).answer["keys"]
    cluster.platform.set_log_fault()
    assert wait_until(lambda: not cluster.status("centro-entry-1")["log_available"], 10.0)
    job = {
        "key": keys[0],
        "kind": "batch",
        "size": {"processors_millicores": 100, "memory_mb": 10},
        "command": '{"run_s": 0.3}',
    }
    context.key_submitted = caller.submit_job("centro-entry-1", job).answer


@then("the answer is PROVISIONAL and the job is done but not recorded")
def check_provisional(context):
    assert context.key_submitted["name"] == "PROVISIONAL", context.key_submitted
    job_id = context.key_submitted["job_id"]

    def is_done():
        answer = context.key_caller.poll_job("centro-entry-1", job_id).answer
        return answer.get("state") == "done" and not answer["recorded"]

    assert wait_until(is_done, 10.0)


@when("the log is reachable again")
def restore_log(context):
    context.key_cluster.platform.set_log_fault(down="")


@then("every entry VM reports the job as done and recorded")
def check_recorded(context):
    job_id = context.key_submitted["job_id"]
    for vm in context.key_caller.entry_vms:

        def is_recorded(vm=vm):
            answer = context.key_caller.poll_job(vm, job_id).answer
            return answer.get("state") == "done" and answer["recorded"]

        assert wait_until(is_recorded, 20.0), vm
