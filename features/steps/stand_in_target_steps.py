"""Steps for the stand-in for a target, for stand-in platforms and for the recording caller."""

import hashlib
import json
import threading

import urllib3
from behave import given, then, when
from stand_in_support import CAPACITY, execute, post, start_platform

from fireflywharf_core.history import (
    History,
    Promise,
    RequestEnded,
    RequestSent,
    RequestStarted,
    check_history,
)
from fireflywharf_testing import (
    FaultSettings,
    HistoryRecorder,
    RecordingCaller,
    RequestPlan,
    StandInServer,
    TargetGroup,
    WorkerGroup,
    json_answer,
    wait_until,
)


@given("a stand-in platform with 1 worker")
def start_with_worker(context):
    start_platform(context, workers=[WorkerGroup(capacity=CAPACITY)])


@given("a stand-in platform with 1 target of 2 slots")
def start_with_target(context):
    start_platform(context, targets=[TargetGroup(service="dispatch", slots_count=2)])
    claim = post(context, "centro-target-1", "/v1/claim", {"holder": "a", "ttl_s": 30})
    context.epoch = claim.json()["epoch"]


@when("5 requests arrive at the target concurrently")
def send_requests(context):
    context.answers = {}

    def send(request_id):
        context.answers[request_id] = execute(context, request_id, context.epoch, 400)

    threads = [threading.Thread(target=send, args=[f"r{number}"]) for number in range(5)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then("2 of them ran and 3 were refused as not run")
def check_slots(context):
    assert len(context.answers) == 5
    ran = {name for name, answer in context.answers.items() if answer.status == 200}
    refused = [a for a in context.answers.values() if a.headers.get("X-Not-Run") == "1"]
    assert len(ran) == 2 and len(refused) == 3
    assert all(answer.status == 503 for answer in refused)
    started = {effect.request_id for effect in context.platform.recorder.of(RequestStarted)}
    assert started == ran, (started, ran)
    for name in ran:
        assert json.loads(context.answers[name].json()["body"])["echo"] == name


@then("the target starts no request of a stale epoch")
def check_stale_request(context):
    before = len(context.platform.recorder.of(RequestStarted))
    answer = execute(context, "stale", context.epoch - 1, 0)
    assert answer.status == 409 and answer.headers["X-Not-Run"] == "1"
    assert len(context.platform.recorder.of(RequestStarted)) == before


def has_matching_digest(answer):
    return hashlib.sha256(answer.data).hexdigest() == answer.headers["X-Digest"]


@when("the target answers one request correctly and the next with a crossed answer")
def answer_crossed(context):
    answer = execute(context, "r1", context.epoch, 0)
    assert answer.headers["X-Request-Id"] == "r1" and has_matching_digest(answer)
    context.platform.set_faults("centro-target-1", FaultSettings(cross_answer_p=1.0))
    context.answer = execute(context, "r2", context.epoch, 0)


@then("the crossed answer carries the request id of the first")
def check_crossed(context):
    assert context.answer.headers["X-Request-Id"] == "r1" and has_matching_digest(context.answer)


@when("the target corrupts its answers")
def corrupt_answers(context):
    context.platform.set_faults("centro-target-1", FaultSettings(corrupt_answer_p=1.0))


@then("the digest of an answer does not match its body")
def check_corrupt_digest(context):
    answer = execute(context, "r3", context.epoch, 0)
    assert answer.headers["X-Request-Id"] == "r3" and not has_matching_digest(answer)


@when("the stand-in target is killed while a request runs")
def kill_target(context):
    context.boot_id = context.platform.targets["centro-target-1"].status().boot_id
    context.request_result = None

    def send():
        try:
            context.request_result = execute(context, "r1", context.epoch, 3000)
        except urllib3.exceptions.HTTPError as error:
            context.request_result = error

    thread = threading.Thread(target=send)
    thread.start()
    assert wait_until(lambda: context.platform.recorder.of(RequestStarted), 5.0)
    context.platform.kill_vm("centro-target-1")
    thread.join(10.0)


@then("the caller of the request gets no answer")
def check_no_answer(context):
    assert isinstance(context.request_result, urllib3.exceptions.HTTPError), context.request_result


@then("the effects show an execution that did not complete")
def check_not_completed(context):
    assert [effect.completed for effect in context.platform.recorder.of(RequestEnded)] == [False]


@then("the restarted target has another boot id and the same epoch")
def check_restarted(context):
    context.platform.restart_vm("centro-target-1")
    address = context.platform.servers["centro-target-1"].address
    status = context.http.request("GET", f"http://{address}/v1/status").json()
    assert status["boot_id"] != context.boot_id and status["epoch"] == context.epoch, status


@given("an entry VM that answers correctly, then with another body, then with half an answer")
def start_fake_entry_vm(context):
    calls = []

    def answer(call):
        calls.append(call)
        text = call.json()["body"] if len(calls) != 2 else "another body"
        body = json.dumps({"request_id": "r", "target": "t", "body": text})
        return json_answer({"code": 0, "class": "completed", "status": 200, "body": body})

    context.entry_vm = StandInServer("e1", answer)
    context.entry_vm.start()
    context.add_cleanup(context.entry_vm.stop)


@when("the recording caller sends 3 requests")
def send_recorded_requests(context):
    context.recorder = HistoryRecorder()
    caller = RecordingCaller(context.recorder, {"e1": context.entry_vm.address}, "austral")
    context.outcomes = []
    for number in range(3):
        if number == 2:
            context.entry_vm.set_faults(FaultSettings(cut_answer_p=1.0))
        result = caller.send_request("e1", RequestPlan(service="dispatch"))
        context.outcomes.append(result.outcome)


@then('the recorded outcomes are "{expected}"')
def check_recorded_outcomes(context, expected):
    assert context.outcomes == expected.split(", "), context.outcomes


@then("only the second and the third violate OWN_ANSWER")
def check_recorded_violations(context):
    violations = check_history(History(context.recorder.all()))
    assert [violation.promise for violation in violations] == [Promise.OWN_ANSWER] * 2, violations
    calls = [record.call for record in context.recorder.of(RequestSent)]
    for call, violation in zip(calls[1:], violations, strict=True):
        assert call in violation.detail, violations
