"""Steps for the clients of the platform, and for log lines and metrics."""

import concurrent.futures
import hashlib
import io
import json
import logging
import socket
import struct
import threading
import time
import urllib.request

from behave import given, then, when

from fireflywharf_core.jobs import AttemptId, TaskId
from fireflywharf_core.platform import StartAttempt, StopAttempt, VmInfo, VmRole
from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.results import ResultCode
from fireflywharf_daemon.http import HttpServer
from fireflywharf_daemon.logs import build_json_formatter
from fireflywharf_daemon.metrics import Metrics, build_metrics_application
from fireflywharf_daemon.platform import (
    Failed,
    LogClient,
    RefusalReason,
    Success,
    TargetClient,
    TargetRequest,
    WorkerClient,
)
from fireflywharf_testing import (
    CheckpointStore,
    FaultSettings,
    HistoryRecorder,
    LogSettings,
    LogStandIn,
    StandInServer,
    TargetSettings,
    TargetStandIn,
    WorkerSettings,
    WorkerStandIn,
)

ANSWER_MAX_BYTES = 10_000


def answer_bytes(request_id, body, status="200 OK", digest=None, length=None, extra=()):
    """Return the bytes of an HTTP answer of a target.

    A request id of None and an empty digest omit their header; `length` replaces the correct
    Content-Length, and `extra` are further header lines.
    """
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body) if length is None else length}"]
    if request_id is not None:
        lines.append(f"X-Request-Id: {request_id}")
    if digest != "":
        lines.append(f"X-Digest: {digest or hashlib.sha256(body).hexdigest()}")
    return "\r\n".join([*lines, *extra, "", ""]).encode() + body


class ScriptedTarget:
    """Target on a raw socket; `behaviour` selects how it answers each request."""

    def __init__(self, behaviour):
        self.behaviour = behaviour
        self.requests = []
        self.open_count = 0
        self.open_max_count = 0
        self._lock = threading.Lock()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        if behaviour == "no listener":
            self._listener.close()
        else:
            threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=[connection], daemon=True).start()

    def _serve(self, connection):
        with self._lock:
            self.open_count += 1
            self.open_max_count = max(self.open_max_count, self.open_count)
        try:
            reader = connection.makefile("rb")
            number = 0
            while (request := self._read(reader)) is not None:
                number += 1
                self.requests.append(request)
                if not self._answer(connection, number, *request):
                    break
        except OSError:
            pass
        finally:
            with self._lock:
                self.open_count -= 1
            connection.close()

    def _read(self, reader):
        if not reader.readline():
            return None
        headers = {}
        while (line := reader.readline().strip()) != b"":
            name, _, value = line.partition(b": ")
            headers[name.lower()] = value.decode()
        return headers[b"x-request-id"], reader.read(int(headers[b"content-length"]))

    def _answer(self, connection, number, request_id, body):
        valid_answer = answer_bytes(request_id, b"answer to " + body)
        match self.behaviour:
            case "answer":
                connection.sendall(valid_answer)
            case "not run":
                extra = ("X-Not-Run: 1",)
                connection.sendall(answer_bytes(request_id, b"", "503 Busy", extra=extra))
            case "not run for another request":
                connection.sendall(answer_bytes("x", b"", "503 Busy", extra=("X-Not-Run: 1",)))
            case "stale epoch":
                connection.sendall(answer_bytes(request_id, b"", "409 Conflict"))
            case "unavailable without mark":
                connection.sendall(answer_bytes(request_id, b"", "503 Busy"))
            case "reset after the request":
                return self._reset(connection)
            case "closed after the request":
                return False
            case "cut answer":
                connection.sendall(valid_answer[:-4])
                return False
            case "reset inside the answer":
                connection.sendall(valid_answer[:40])
                time.sleep(0.05)
                return self._reset(connection)
            case "wrong digest":
                connection.sendall(answer_bytes(request_id, body, digest="00"))
            case "no digest":
                connection.sendall(answer_bytes(request_id, body, digest=""))
            case "crossed request id":
                connection.sendall(answer_bytes("another", body))
            case "no request id":
                connection.sendall(answer_bytes(None, body))
            case "silent":
                time.sleep(6)
            case "one byte at a time":
                for byte in valid_answer:
                    connection.sendall(bytes([byte]))
                    time.sleep(0.02)
            case "answer over the limit":
                connection.sendall(answer_bytes(request_id, b"x" * (ANSWER_MAX_BYTES + 1)))
            case "not HTTP":
                connection.sendall(b"hello\r\n\r\n")
                return False
            case "answer once and close":
                connection.sendall(valid_answer)
                return False
            case "answer once and reset the second":
                if number == 2:
                    return self._reset(connection)
                connection.sendall(valid_answer)
            case "one answer late":
                late = self.requests[-2][0] if len(self.requests) == 2 else request_id
                connection.sendall(answer_bytes(late, b"answer to " + body))
            case "slow":
                time.sleep(0.2)
                connection.sendall(valid_answer)
        return True

    def _reset(self, connection):
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        return False


def send_request(context, number, budget_s, connections_count=8, read_timeout_s=None):
    request = TargetRequest(request_id=f"r{number}", body=f"body {number}".encode(), kind="k")
    return context.target_client.execute(
        context.target.address, connections_count, 1, request, budget_s, read_timeout_s
    )


@given('a target that behaves as "{behaviour}"')
def start_target(context, behaviour):
    context.target = ScriptedTarget(behaviour)
    context.target_client = TargetClient(answer_max_bytes=ANSWER_MAX_BYTES)
    context.add_cleanup(context.target.close)
    context.add_cleanup(context.target_client.close)


@when("a request with a budget of {budget_s:g} s is sent to it")
def send_single_request(context, budget_s):
    send_with_read_timeout(context, budget_s, None)


@when(
    "a request with a budget of {budget_s:g} s "
    "and a read timeout of {read_timeout_s:g} s is sent to it"
)
def send_with_read_timeout(context, budget_s, read_timeout_s):
    started_s = time.monotonic()
    context.target_outcome = send_request(context, 1, budget_s, read_timeout_s=read_timeout_s)
    context.target_elapsed_s = time.monotonic() - started_s


@then('the target outcome is "{name}" with reason "{reason}" within {limit_s:g} s')
def check_target_outcome(context, name, reason, limit_s):
    outcome = context.target_outcome
    assert type(outcome).__name__ == name, outcome
    assert outcome.reason.value == reason, outcome
    assert name == "RefusedBeforeRun" or outcome.bytes_sent
    assert context.target_elapsed_s < limit_s, context.target_elapsed_s


@then('the target outcome is "{name}" with reason "" within {limit_s:g} s')
def check_target_success(context, name, limit_s):
    assert type(context.target_outcome).__name__ == name, context.target_outcome
    assert context.target_elapsed_s < limit_s


@when("{count:d} requests are sent to it one after another")
def send_sequentially(context, count):
    context.target_outcomes = []
    for number in range(count):
        context.target_outcomes.append(send_request(context, number, 1.0))
        time.sleep(0.02)


@then('all target outcomes are "{name}" and the target received {count:d} requests')
def check_all_outcomes(context, name, count):
    found = {type(outcome).__name__ for outcome in context.target_outcomes}
    assert found == {name} and len(context.target.requests) == count, context.target_outcomes


@then('the second target outcome is "{name}" and the target received {count:d} requests')
def check_second_outcome(context, name, count):
    first, second = context.target_outcomes
    assert isinstance(first, Success) and type(second).__name__ == name, second
    assert second.bytes_sent and len(context.target.requests) == count, context.target.requests


@then("no request received the answer to another")
def check_own_answers(context):
    kinds = [type(outcome).__name__ for outcome in context.target_outcomes]
    assert kinds == ["Success", "Failed", "Success", "Success"], context.target_outcomes
    for number, outcome in enumerate(context.target_outcomes):
        if isinstance(outcome, Success):
            assert outcome.value.body == f"answer to body {number}".encode(), outcome
    assert context.target.open_max_count == 1 and context.target.open_count == 1


@when(
    "{count:d} requests with a budget of {budget_s:g} s are sent to it concurrently "
    "over at most {connections:d} connections"
)
def send_concurrently(context, count, budget_s, connections):
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        calls = [pool.submit(send_request, context, n, budget_s, connections) for n in range(count)]
        context.target_outcomes = [call.result() for call in calls]


@then("the target has seen at most {count:d} concurrent connections")
def check_connections(context, count):
    assert context.target.open_max_count <= count, context.target.open_max_count


@when(
    "{first:d} requests use both connections for {long_budget_s:g} s and {count:d} requests "
    "have a budget of {short_budget_s:g} s meanwhile"
)
def send_while_pool_is_full(context, first, long_budget_s, count, short_budget_s):
    with concurrent.futures.ThreadPoolExecutor(first + count) as pool:
        holders = [
            pool.submit(send_request, context, n, long_budget_s, first + 2) for n in range(first)
        ]
        time.sleep(0.1)
        calls = [
            pool.submit(send_request, context, first + n, short_budget_s, first + 2)
            for n in range(count)
        ]
        context.target_outcomes = [call.result() for call in calls]
        assert all(isinstance(holder.result(), Failed) for holder in holders)


@then(
    "the {count:d} requests were refused because no connection was free "
    "and the target received {got:d} requests"
)
def check_refused_not_sent(context, count, got):
    assert len(context.target_outcomes) == count
    for outcome in context.target_outcomes:
        assert getattr(outcome, "reason", None) is RefusalReason.NO_CONNECTION, outcome
    assert len(context.target.requests) == got, context.target.requests


def build_vm(name, role, **values):
    return VmInfo(
        name=name, role=role, address="127.0.0.1:1", region="r", failure_domain="d", **values
    )


@given("stand-ins for the log, a worker and a target")
def start_stand_ins(context):
    recorder = HistoryRecorder()
    context.log_stand_in = LogStandIn(LogSettings(), recorder)
    worker = WorkerStandIn(
        build_vm("w1", VmRole.WORKER, capacity=ResourceVector(4000, 4000)),
        WorkerSettings(),
        recorder,
        CheckpointStore(),
    )
    target = TargetStandIn(
        build_vm("t1", VmRole.TARGET, service="s", slots_count=8, connections_count=64),
        TargetSettings(service_ms=1.0),
        recorder,
    )
    rows = {"log": context.log_stand_in, "worker": worker, "target": target}
    context.stand_ins = {}
    for name, stand_in in rows.items():
        server = StandInServer(name, stand_in.handle)
        server.start()
        context.add_cleanup(server.stop)
        context.stand_ins[name] = server


def unwrap_success(outcome):
    """Return the value of a `Success`; fail for any other outcome."""
    assert isinstance(outcome, Success), outcome
    return outcome.value


@when("each call of the log, worker and target clients is made")
def call_every_method(context):
    addresses = {name: server.address for name, server in context.stand_ins.items()}
    log = LogClient(f"http://{addresses['log']}")
    assert unwrap_success(log.append("jobs", "e.1", 1, [b"\x00one", b"two"])).first_offset == 0
    read = unwrap_success(log.read("jobs", 1))
    assert [entry.payload for entry in read.entries] == [b"two"] and read.next_offset == 2
    context.stale_epoch_outcomes = []
    worker, address = WorkerClient(), addresses["worker"]
    claim = unwrap_success(worker.claim(address, "e.1", 5.0, True))
    assert claim.granted and not unwrap_success(worker.claim(address, "e.2", 5.0)).granted
    attempt = AttemptId(TaskId("j-1", 0), 1)
    commands = [StartAttempt(attempt, ResourceVector(1, 1), run_time_s=60.0), StopAttempt(attempt)]
    answers = unwrap_success(worker.commands(address, claim.epoch, commands[:1]))
    assert [answer.accepted for answer in answers] == [True], answers
    assert [row.attempt for row in unwrap_success(worker.list(address)).running] == [attempt]
    context.stale_epoch_outcomes.append(worker.commands(address, claim.epoch + 1, commands[1:]))
    unwrap_success(worker.release(address, claim.epoch))
    context.stale_epoch_outcomes.append(worker.release(address, claim.epoch))
    target, address = TargetClient(), addresses["target"]
    epoch = unwrap_success(target.claim(address, "e.1", 5.0)).epoch
    request = TargetRequest(request_id="r1", body=b'{"echo": "x"}', kind="k", key="key")
    answer = unwrap_success(target.execute(address, 64, epoch, request, 2.0))
    assert answer.status == 200 and json.loads(answer.body)["request_id"] == "r1"
    context.stale_epoch_outcomes.append(target.execute(address, 64, epoch + 1, request, 2.0))
    assert unwrap_success(target.status(address)).in_progress == []
    unwrap_success(target.release(address, epoch))
    for client in (log, worker, target):
        client.close()


@then("the stand-ins confirm each call and refuse stale epochs")
def check_stale(context):
    assert len(context.stale_epoch_outcomes) == 3
    for outcome in context.stale_epoch_outcomes:
        assert getattr(outcome, "reason", None) is RefusalReason.STALE_EPOCH, outcome


@when("the answer to an append is lost and the append is retried")
def lose_answer(context):
    server = context.stand_ins["log"]
    log = LogClient(f"http://{server.address}", timeout_s=1.0)
    server.set_faults(FaultSettings(lose_answer_p=1.0))
    context.first_append = log.append("jobs", "e.1", 1, [b"one"])
    server.set_faults(FaultSettings())
    unwrap_success(log.append("jobs", "e.1", 1, [b"one"]))
    context.log_entries = unwrap_success(log.read("jobs", 0)).entries
    log.close()


@then("the first append was uncertain and the log holds the record once")
def check_uncertain(context):
    assert isinstance(context.first_append, Failed), context.first_append
    assert context.first_append.bytes_sent and len(context.log_entries) == 1


@when("a log line with a request id and an exception is written")
def write_log_line(context):
    context.log_text = io.StringIO()
    handler = logging.StreamHandler(context.log_text)
    handler.setFormatter(build_json_formatter("entry-1", "entry-1.7"))
    logger = logging.getLogger("platform_clients_steps")
    logger.addHandler(handler)
    logger.propagate = False
    try:
        raise ValueError("line one\nline two")
    except ValueError:
        logger.exception("send failed", extra={"request_id": "r-1", "epoch": 3})
    logger.removeHandler(handler)


@then("it is one JSON object with the standard fields")
def check_log_line(context):
    [line] = context.log_text.getvalue().splitlines()
    data = json.loads(line)
    assert "line two" in data.pop("traceback") and data.pop("time").endswith("Z")
    assert data == {
        "level": "ERROR",
        "logger": "platform_clients_steps",
        "message": "send failed",
        "vm": "entry-1",
        "incarnation": "entry-1.7",
        "request_id": "r-1",
        "epoch": 3,
    }, data


@then("a scrape of the metrics shows a refusal by its code name")
def check_scrape(context):
    metrics = Metrics()
    metrics.http_answered("/v1/requests", ResultCode.QUEUE_FULL, 0.01)
    server = HttpServer(build_metrics_application(metrics.registry), "127.0.0.1:0", 2)
    server.start()
    try:
        with urllib.request.urlopen(f"http://{server.address}/metrics", timeout=5) as answer:
            text = answer.read().decode()
    finally:
        server.stop(1.0)
    assert 'fireflywharf_refusals_total{code="QUEUE_FULL"} 1.0' in text
