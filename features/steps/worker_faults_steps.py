"""Steps for the faults of the stand-in workers."""

import asyncio
import http.client
import json
import socket
import threading
import time

import msgspec
from behave import given, then, when

from fireflywharf_testing.platform_stand_ins import (
    EndsAcknowledged,
    FaultNoted,
    PlatformStandIns,
    RunEnded,
    RunStarted,
)

TASK = "5c0e7a21d94b36f8.0.0.0"
OTHER_TASK = "5c0e7a21d94b36f8.0.0.1"
LEASE_S = 5.0
CALL_TIMEOUT_S = 1.0
LATE_ORDER_MIN_S, LATE_ORDER_MAX_S = 2.0, 12.0


class Caller:
    """Calls the worker over one connection."""

    def __init__(self, worker):
        self.worker = worker
        host, _, port = worker.listener.address.partition(":")
        self.connection = http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_S)

    def call(self, name, timeout_s=CALL_TIMEOUT_S, **fields):
        """Return status and body, or the name of the exception and an empty body."""
        body = json.dumps(fields)
        headers = {"X-Fireflywharf-Expected-Instance": self.worker.executor_id}
        self.connection.timeout = timeout_s
        if self.connection.sock is not None:
            self.connection.sock.settimeout(timeout_s)
        try:
            self.connection.request("POST", f"/fireflywharf/{name}", body, headers)
            response = self.connection.getresponse()
            return response.status, json.loads(response.read())
        except (OSError, http.client.HTTPException) as error:
            return type(error).__name__, {}

    def start(self, number, lease_s=LEASE_S, task=TASK, timeout_s=CALL_TIMEOUT_S, token=1):
        deadline_ms = self.worker.clock_ms() + int(lease_s * 1000)
        return self.call(
            "run-start",
            timeout_s,
            task=task,
            run=number,
            spec="x",
            deadline_ms=deadline_ms,
            fencing_token=token,
        )

    def hold(self, timeout_s=CALL_TIMEOUT_S, acknowledged=0, wait_ms=0):
        fields = {"fencing_token": 1, "acknowledged": acknowledged, "wait_ms": wait_ms}
        return self.call("hold", timeout_s, **fields)


def list_events(context, kind):
    return [event for event in list(context.world.events) if isinstance(event, kind)]


def wait_for_event(context, kind, limit_s):
    limit_s += time.monotonic()
    while not list_events(context, kind):
        assert time.monotonic() < limit_s, f"no {kind.__name__}: {context.world.events}"
        time.sleep(0.01)
    return list_events(context, kind)[0]


def begin_fault(context, coroutine):
    context.fault_s = time.monotonic()
    context.world.call(lambda: asyncio.ensure_future(coroutine))
    time.sleep(0.05)


@given("a stand-in worker that runs tasks of {work_s:f} s")
def open_world(context, work_s):
    context.world = PlatformStandIns(executors_count=0, work_s=work_s, workers_count=1)
    context.world.open()
    context.add_cleanup(context.world.close)
    context.worker = context.world.workers[0]
    context.caller = Caller(context.worker)


@when("a start of run {number:d} is answered with 200")
def start_run(context, number):
    assert context.caller.start(number)[0] == 200


@when("a start of run {number:d} with a lease of {lease_s:f} s is answered with 200")
def start_run_with_lease(context, number, lease_s):
    assert context.caller.start(number, lease_s)[0] == 200


@when("the lease is renewed by a {call}")
def renew_lease(context, call):
    match call:
        case "hold":
            deadline_ms = context.worker.clock_ms() + int(LEASE_S * 1000)
            status, _ = context.caller.call("hold", fencing_token=1, deadline_ms=deadline_ms)
        case "start of another task":
            status, _ = context.caller.start(1, task=OTHER_TASK)
        case "start that is too old":
            context.caller.call("run-stop", task=OTHER_TASK, run=3, fencing_token=1)
            status, _ = context.caller.start(2, task=OTHER_TASK)
    assert status == (409 if call == "start that is too old" else 200), status


@when("the worker loses power for {outage_s:f} s")
def lose_power(context, outage_s):
    begin_fault(context, context.worker.lose_power(outage_s))


@given("its tasks take {work_s:f} s")
def set_work(context, work_s):
    context.worker.work_s = work_s


@when(
    "the worker loses power for {outage_s:f} s while a call of {wait_s:f} s waits"
    " on an open connection"
)
def lose_power_during_call(context, outage_s, wait_s):
    context.waiting = Caller(context.worker)
    context.answers = []

    def wait():
        context.answers.append(context.waiting.hold(timeout_s=5.0, wait_ms=int(wait_s * 1000)))

    context.thread = threading.Thread(target=wait, daemon=True)
    context.thread.start()
    time.sleep(0.05)
    begin_fault(context, context.worker.lose_power(outage_s))


@then("the waiting call has no answer {seconds:f} s later")
def check_no_answer(context, seconds):
    context.thread.join(seconds)
    assert not context.answers, context.answers


@then("a call on the old connection is reset")
def check_reset(context):
    status, _ = context.caller.hold()
    assert status in ("ConnectionResetError", "RemoteDisconnected", "BrokenPipeError"), status


@then("a call on a new connection shows a later life without runs, ends and fences")
def check_later_life(context):
    status, body = Caller(context.worker).call("hold", fencing_token=0)
    assert status == 200, status
    assert context.worker.life == 2
    assert (body["running"], body["finished"]) == ([], []), body
    assert body["clock_ms"] < 5000, body


@then('run {number:d} ended as "{how}" at the time of the power loss')
def check_ended_at_loss(context, number, how):
    end = wait_for_event(context, RunEnded, 0.1)
    assert (end.number, end.how) == (number, how), end
    lost_s = list_events(context, FaultNoted)[0].time_s
    assert abs(end.time_s - lost_s) < 0.01, (end, lost_s)


@when("the worker loses power for {outage_s:f} s and a start is sent on a new connection")
def start_during_outage(context, outage_s):
    lose_power(context, outage_s)
    sent_s = time.monotonic()
    context.answer = context.caller.start(1, lease_s=30.0, timeout_s=5.0)
    context.elapsed_s = time.monotonic() - sent_s


@then(
    "the start is answered with 200 between {shortest_s:f} s and {longest_s:f} s after it was sent"
)
def check_late_answer(context, shortest_s, longest_s):
    assert context.answer[0] == 200, context.answer
    assert shortest_s <= context.elapsed_s <= longest_s, context.elapsed_s


@then("run {number:d} began in life {life:d}")
def check_life_of_run(context, number, life):
    assert [(row.number, row.life) for row in list_events(context, RunStarted)] == [(number, life)]


@when("the worker refuses new connections for {seconds:f} s and resets open ones")
def refuse_and_reset(context, seconds):
    begin_fault(context, context.worker.refuse_connections(seconds, reset=True))


@when("the worker refuses new connections for {seconds:f} s")
def refuse(context, seconds):
    begin_fault(context, context.worker.refuse_connections(seconds, reset=False))


@then("a call on a new connection is refused")
def check_refused(context):
    assert Caller(context.worker).hold()[0] == "ConnectionRefusedError"


@then('run {number:d} ends as "{how}"')
def check_end(context, number, how):
    end = wait_for_event(context, RunEnded, 2.0)
    assert (end.number, end.how) == (number, how), end


@then("{seconds:f} s later a call on a new connection shows the same life")
def check_same_life_later(context, seconds):
    time.sleep(seconds)
    status, body = Caller(context.worker).hold()
    assert (status, context.worker.life) == (200, 1), (status, body)


@then("a call on the old connection shows the same life")
def check_same_life(context):
    assert (context.caller.hold()[0], context.worker.life) == (200, 1)


@when("the worker is cut off for {seconds:f} s")
def cut_off(context, seconds):
    begin_fault(context, context.worker.cut_off(seconds))


@then("a call on the old connection has no answer within {seconds:f} s")
def check_silence(context, seconds):
    assert context.caller.hold(timeout_s=seconds)[0] in ("TimeoutError", socket.timeout.__name__)


@when("the worker delays all orders and a start of run 1 is sent")
def start_late(context):
    begin_fault(context, context.worker.delay_orders(1.0, share=1.0))
    context.sent_s = time.monotonic()
    context.answer = context.caller.start(1, lease_s=30.0, timeout_s=0.3)


@then("the start has no answer and run 1 begins 2 to 12 s later")
def check_late_start(context):
    assert context.answer[0] == "TimeoutError", context.answer
    started = wait_for_event(context, RunStarted, LATE_ORDER_MAX_S + 1.0)
    delay_s = started.time_s - context.sent_s
    assert LATE_ORDER_MIN_S <= delay_s <= LATE_ORDER_MAX_S + 0.3, delay_s


@then("run 1 has not begun {seconds:d} s later")
def check_not_begun(context, seconds):
    time.sleep(seconds)
    assert not list_events(context, RunStarted)


@when("ends up to 1 are acknowledged before any has occurred")
def acknowledge_early(context):
    assert context.caller.hold(acknowledged=1)[0] == 200
    assert list_events(context, EndsAcknowledged)[0].end_number == 1


@when("runs 1 of two tasks have ended")
def end_two_runs(context):
    assert context.caller.start(1)[0] == 200
    assert context.caller.start(1, task=OTHER_TASK)[0] == 200
    time.sleep(0.5)


@given("the worker forgets only ends that are listed")
def forget_listed_ends(context):
    context.worker.forgets_later_ends = False


@then("the worker lists the ends with numbers 1 and 2")
def check_both_ends(context):
    assert [end[0] for end in context.caller.hold()[1]["finished"]] == [1, 2]


@then("after ends up to 1 are acknowledged again the worker lists the end with number 2 only")
def check_forgotten_end(context):
    _, body = context.caller.hold(acknowledged=1)
    assert [end[0] for end in body["finished"]] == [2], body
    assert len(list_events(context, EndsAcknowledged)) == 2


@then("the worker lists the end with number 2 only")
def check_listed_ends(context):
    assert [end[0] for end in context.caller.hold()[1]["finished"]] == [2]


@when("nothing else occurs")
def pass_nothing(context):
    context.arguments = {}


@when("the run has ended")
def wait_for_end(context):
    context.arguments = {}
    wait_for_event(context, RunEnded, 2.0)


@when("run {number:d} is stopped")
def stop_run(context, number):
    context.arguments = {}
    assert context.caller.call("run-stop", task=TASK, run=number, fencing_token=1)[0] == 200


@when("a higher fence came")
def raise_fence(context):
    context.arguments = {}
    assert context.caller.call("hold", fencing_token=2)[0] == 200


@when("its deadline has passed")
def pass_deadline(context):
    context.arguments = {"lease_s": -0.1}


@then("a start of run {number:d} is answered with {answer}")
def check_start(context, number, answer):
    status, body = context.caller.start(number, **context.arguments)
    assert " ".join([str(status), *filter(None, [body.get("reason")])]) == answer, (status, body)


def read_entry(context):
    """Return the entry of the worker in the directory."""
    _, value = context.world.store.topic("keyed.servers").newest_by_key[context.worker.executor_id]
    try:
        return msgspec.json.decode(value)
    except msgspec.DecodeError:
        return None


@when('another writer shows an odd entry of the kind "{kind}"')
def show_odd_entry(context, kind):
    begin_fault(context, context.worker.show_odd_entry(kind))


@then("the directory shows an entry with {fault}, and the right one 1.6 s later")
def check_entries(context, fault):
    entry = read_entry(context)
    match fault:
        case "no `born`":
            assert "born" not in entry, entry
        case "`born` as a string":
            assert entry["born"] == str(context.worker.born), entry
        case "unreadable bytes":
            assert entry is None, entry
    time.sleep(1.6)
    assert read_entry(context) == context.worker.entry()
