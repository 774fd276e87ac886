"""Steps for the HTTP interface."""

import concurrent.futures
import http.client
import json
import logging
import socket
import threading
import time

from behave import given, then, when

from fireflywharf_core.jobs import JobState
from fireflywharf_core.results import Completed, ResultCode
from fireflywharf_daemon.http import (
    CallerError,
    HttpServer,
    RequestResult,
    SubmittedJob,
    VersionConflict,
    build_application,
)

CONTRACT = {
    "customer": "austral",
    "share_weight": 1.0,
    "quota": {
        "processors_millicores": "unlimited",
        "memory_mb": "unlimited",
        "accelerators_count": 0,
    },
    "requests_per_second": "unlimited",
    "queue_max_tasks": 10,
}
JOB = {
    "customer": "austral",
    "key": "k",
    "kind": "batch",
    "size": {"processors_millicores": 1, "memory_mb": 1},
}


class FakeService:
    """Service that echoes requests immediately, after `delay_s`, or through a future.

    Attributes:
        delay_s: time for which a request blocks its thread.
        async_delay_s: time after which the future of a request completes; None to answer directly.
    """

    def __init__(self):
        self.delay_s = 0.0
        self.async_delay_s = None

    def submit_job(self, job):
        if job.spec.customer != "austral":
            return CallerError(ResultCode.UNKNOWN_CUSTOMER, "no contract")
        return SubmittedJob(
            code=ResultCode.ACCEPTED, job_id=job.spec.job_id, state=JobState.WAITING
        )

    def execute_request(self, request):
        result = RequestResult("r-1", Completed(request.body))
        if self.async_delay_s is None:
            time.sleep(self.delay_s)
            return result
        future = concurrent.futures.Future()
        threading.Timer(self.async_delay_s, future.set_result, [result]).start()
        return future

    def job_status(self, job_id):
        raise RuntimeError(f"secret detail of {job_id}")

    def apply_contract(self, change):
        return VersionConflict(change.contract.customer, change.base_version, 7)

    def healthy(self):
        return True


class LogCaptureHandler(logging.Handler):
    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(logging.Formatter().format(record))


def build_request(path, body, *headers, method="POST"):
    """Return the bytes of an HTTP request; Content-Length is added unless `headers` set one."""
    lines = [f"{method} {path} HTTP/1.1", "Host: x", *headers]
    if not any(line.lower().startswith(("content-length", "transfer")) for line in headers):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def build_json_request(path, data, method="POST"):
    return build_request(path, json.dumps(data).encode(), method=method)


def build_request_data(text, **changes):
    data = {"customer": "austral", "service": "s", "kind": "k", "idempotent": True, "body": text}
    return data | changes


CHUNKED = "Transfer-Encoding: chunked"
RAW_REQUESTS = {
    "body that is not JSON": build_request("/v1/jobs", b'{"customer": x}'),
    "body with a field given twice": build_request("/v1/jobs", b'{"key": "a", "key": "b"}'),
    "body nested 4000 deep": build_request("/v1/jobs", b"[" * 4000),
    "body that is not UTF-8": build_request("/v1/jobs", b'{"key": "\xff"}'),
    "body with a lone surrogate": build_request("/v1/jobs", b'{"key": "\\ud800"}'),
    "no body and no length": b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\n\r\n",
    "body over the limit": build_request("/v1/jobs", b"x" * 200_000),
    "chunk over the limit": build_request("/v1/jobs", b"FFFFFFFFFF\r\nxx", CHUNKED),
    "chunks over the limit together": build_request("/v1/jobs", b"400\r\n" + b"x" * 1024, CHUNKED)
    + (b"\r\n400\r\n" + b"x" * 1024) * 5,
    "body without end": build_request("/v1/jobs", b'{"customer":', "Content-Length: 400"),
    "chunked body without end": build_request("/v1/jobs", b"5\r\n{", CHUNKED),
    "headers without end": b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nX-Long: a",
    "length that is not a number": build_request("/v1/jobs", b"{}", "Content-Length: two"),
    "negative length": build_request("/v1/jobs", b"{}", "Content-Length: -2"),
    "two different lengths": build_request(
        "/v1/jobs", b"{}", "Content-Length: 2", "Content-Length: 1"
    ),
    "length and chunks": build_request("/v1/jobs", b"0\r\n\r\n", CHUNKED, "Content-Length: 5"),
    "chunk size that is not a number": build_request(
        "/v1/jobs", b"0x5\r\nhello\r\n0\r\n\r\n", CHUNKED
    ),
    "path that does not exist": build_request("/v2/jobs", b"{}"),
    "method that does not exist": build_request("/v1/jobs", b"{}", method="DELETE"),
    "unknown query parameter": b"GET /v1/jobs?owner=a HTTP/1.1\r\nHost: x\r\n\r\n",
    "request line that is not HTTP": b"hello there\r\n\r\n",
    "unknown customer": build_json_request("/v1/jobs", JOB | {"customer": "nobody"}),
    "request without a required key": build_json_request(
        "/v1/requests", build_request_data("", idempotent=False)
    ),
    "contract for another name": build_json_request(
        "/v1/contracts/boreal", {"base_version": 0, "author": "a", "contract": CONTRACT}, "PUT"
    ),
    "contract that is not valid": build_json_request(
        "/v1/contracts/austral", {"base_version": 0, "author": "a", "contract": {}}, "PUT"
    ),
    "contract change on an old version": build_json_request(
        "/v1/contracts/austral", {"base_version": 3, "author": "a", "contract": CONTRACT}, "PUT"
    ),
    "call whose handler fails": b"GET /v1/jobs/j-1 HTTP/1.1\r\nHost: x\r\n\r\n",
}


def connect(context):
    host, port = context.http_server.address.split(":")
    return socket.create_connection((host, int(port)), timeout=5)


def read_answer(connection):
    response = http.client.HTTPResponse(connection)
    response.begin()
    return response.status, json.loads(response.read())


def call_json_endpoint(context, data, path="/v1/requests"):
    host, port = context.http_server.address.split(":")
    client = http.client.HTTPConnection(host, int(port), timeout=10)
    client.request("POST", path, json.dumps(data))
    response = client.getresponse()
    answer = json.loads(response.read())
    client.close()
    return response.status, answer


def start_concurrent_calls(context, count):
    context.http_pool = concurrent.futures.ThreadPoolExecutor(count)
    context.http_calls = [
        context.http_pool.submit(call_json_endpoint, context, build_request_data(f"text {index}"))
        for index in range(count)
    ]


def stop_server(context):
    context.http_server.stop(0.1)
    logging.getLogger("fireflywharf_daemon").removeHandler(context.http_log)


@given(
    "an HTTP interface with {threads:d} threads, a body limit of {limit:d} bytes "
    "and a time limit of {time_s:g} s"
)
def start_server(context, threads, limit, time_s):
    context.http_log = LogCaptureHandler()
    logger = logging.getLogger("fireflywharf_daemon")
    logger.addHandler(context.http_log)
    logger.propagate = False
    context.http_service = FakeService()
    application = build_application(context.http_service, limit, requests_max=threads - 1)
    context.http_server = HttpServer(application, "127.0.0.1:0", threads, time_s)
    context.http_server.start()
    context.add_cleanup(stop_server, context)


@given("the service blocks each request for {delay_s:g} s")
def set_delay(context, delay_s):
    context.http_service.delay_s = delay_s


@given("the service completes each request asynchronously after {async_delay_s:g} s")
def set_async_delay(context, async_delay_s):
    context.http_service.async_delay_s = async_delay_s


@when('the raw request "{name}" is sent')
def send_raw(context, name):
    started_s = time.monotonic()
    with connect(context) as connection:
        if name == "body one byte at a time":
            connection.sendall(build_request("/v1/jobs", b"", "Content-Length: 400"))
            while time.monotonic() - started_s < 0.7:
                connection.sendall(b" ")
                time.sleep(0.05)
        elif name == "length above the body":
            connection.sendall(build_request("/v1/jobs", b"{}", "Content-Length: 400"))
            connection.shutdown(socket.SHUT_WR)
        else:
            connection.sendall(RAW_REQUESTS[name])
        context.http_status, context.http_answer = read_answer(connection)
    assert time.monotonic() - started_s < 1.5


@then('the HTTP answer has status {status:d} and code name "{name}"')
def check_answer(context, status, name):
    answer = context.http_answer
    assert (context.http_status, answer["name"]) == (status, name), answer
    assert answer["code"] == ResultCode[name] and answer["class"] and answer["detail"], answer


@when("a job with an unknown field, no key and a negative size is submitted")
def submit_faulty_job(context):
    data = JOB | {"priority": 3, "size": {"processors_millicores": -1, "memory_mb": 1}}
    del data["key"]
    _, context.http_answer = call_json_endpoint(context, data, "/v1/jobs")


@then('the HTTP answer lists problems of "{fields}"')
def check_problem_list(context, fields):
    rows = context.http_answer["problems"]
    assert sorted(row["field"] for row in rows) == fields.split(", "), rows
    assert all(row["value"] and row["accepted"] for row in rows)


@then('the HTTP answer does not contain "{first}" or "{second}"')
def check_not_contained(context, first, second):
    text = json.dumps(context.http_answer)
    assert first not in text and second not in text, text


@then('the log contains "{text}"')
def check_log(context, text):
    assert any(text in line for line in context.http_log.lines), context.http_log.lines


@when("{count:d} callers connect and send nothing")
def open_idle_connections(context, count):
    context.http_stalled = [connect(context) for _ in range(count)]
    context.add_cleanup(lambda: [connection.close() for connection in context.http_stalled])


@given("the HTTP interface is restarted with {threads:d} threads and a time limit of {time_s:g} s")
def restart_server(context, threads, time_s):
    context.http_server.stop(0.1)
    application = build_application(context.http_service, 4096, requests_max=threads - 1)
    context.http_server = HttpServer(application, "127.0.0.1:0", threads, time_s)
    context.http_server.start()


@when("{count:d} callers send part of a body and stall")
def send_partial_bodies(context, count):
    if not hasattr(context, "http_stalled"):
        open_idle_connections(context, 0)
    for _ in range(count):
        connection = connect(context)
        connection.sendall(build_request("/v1/jobs", b"{", "Content-Length: 400"))
        context.http_stalled.append(connection)
    time.sleep(0.05)


@then("a health check is answered within {limit_s:g} s")
def check_health(context, limit_s):
    started_s = time.monotonic()
    with connect(context) as connection:
        connection.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        status, _ = read_answer(connection)
    elapsed_s = time.monotonic() - started_s
    assert status == 200 and elapsed_s < limit_s, (status, elapsed_s)


@when("{count:d} callers send a request concurrently")
def send_concurrently(context, count):
    start_concurrent_calls(context, count)
    time.sleep(0.2)
    if context.http_service.delay_s:
        check_health(context, 1.3)
        context.http_health_while_waiting = any(not c.done() for c in context.http_calls)
    context.http_answers = [call.result() for call in context.http_calls]


@then('some HTTP answers are "{refused}" with retry_after_s and the others "{expected}"')
def check_refusals(context, refused, expected):
    names = [answer["name"] for _, answer in context.http_answers]
    assert set(names) == {refused, expected}, names
    for _, answer in context.http_answers:
        assert answer["name"] == expected or answer["retry_after_s"] > 0, answer


@then("a health check was answered while requests were waiting")
def check_health_while_waiting(context):
    assert context.http_health_while_waiting


@then('all HTTP answers are "{name}" and each caller received the answer to its own request')
def check_own_answers(context, name):
    for index, (status, answer) in enumerate(context.http_answers):
        assert (status, answer["name"], answer["body"]) == (200, name, f"text {index}"), answer


@when("pipelined requests are sent on one connection")
def send_pipelined(context):
    with connect(context) as connection:
        first = build_json_request("/v1/requests", build_request_data("first"))
        second = build_request("/v1/requests", b"", CHUNKED)
        body = json.dumps(build_request_data("second")).encode()
        second += f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\nX-Trailer: 1\r\n\r\n"
        connection.sendall(
            first + second + build_json_request("/v1/requests", build_request_data("third"))
        )
        reader = connection.makefile("rb")
        context.http_answers = []
        for _ in range(3):
            status = int(reader.readline().split()[1])
            headers = http.client.parse_headers(reader)
            body = reader.read(int(headers["Content-Length"]))
            context.http_answers.append((status, json.loads(body)))


@then("the answers arrive in the order of the requests")
def check_pipelined(context):
    bodies = [answer["body"] for _, answer in context.http_answers]
    assert bodies == ["first", "second", "third"], bodies


@when("{count:d} callers send a request and the server is stopped with a deadline of {limit_s:g} s")
def stop_while_busy(context, count, limit_s):
    start_concurrent_calls(context, count)
    time.sleep(0.2)
    started_s = time.monotonic()
    context.http_address = context.http_server.address
    context.http_stop_complete = context.http_server.stop(limit_s)
    context.http_stop_s = time.monotonic() - started_s


@then('no request was cut off and all HTTP answers are "{name}"')
def check_stop_complete(context, name):
    answers = [call.result()[1] for call in context.http_calls]
    assert context.http_stop_complete and {answer["name"] for answer in answers} == {name}, answers


@then("new connections are refused")
def check_refused_connection(context):
    host, port = context.http_address.split(":")
    try:
        socket.create_connection((host, int(port)), timeout=1).close()
    except ConnectionRefusedError:
        return
    raise AssertionError("expected a refused connection after the stop; it was accepted")


@then("the stop ended within {limit_s:g} s and reported requests that were cut off")
def check_stop_cut_off(context, limit_s):
    assert not context.http_stop_complete and context.http_stop_s < limit_s, context.http_stop_s
