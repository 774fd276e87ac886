"""Steps for daemons that run against stand-ins for the platform."""

import ast
import asyncio
import contextlib
import json
import re
import signal
import socket
import sys
import time

import urllib3
from behave import given, then, when
from platform_processes import HOST, ROOT, PlatformDeployment, wait_for

from fireflywharf_daemon.workflows import Answer, NoAnswer, Partition, ReadRecords, Topic
from fireflywharf_testing.platform_stand_ins import StoreFault

sys.path.append(str(ROOT / "platform"))
from fireflywharf_platform._settings import SettingsError, parse_settings  # noqa: E402
from fireflywharf_platform._store import StoreClient  # noqa: E402

JOB_ID = "00000000000000a1"
EXCLUDED_FOLDERS = {"features", "benchmarks", "tools", "platform", "platform_stand_ins"}
PLATFORM_NAMES = re.compile(
    r"fencing_token|run-start|run-stop|log-append|log-read|log-newest|log-join|fireflywharf/readyz"
    r"|X-Fireflywharf|frontend_address|keyed\.(op|servers|status)|max_hold_ms\b\"|\"mem_mb\""
    r"|\bapi_keys\b|\btenants\b|Bearer|WWW-Authenticate|strict_revocation|\brevoke_ms"
    r"|config_apply_ms|quota_overrun"
)


@given("{count:d} daemons on the platform with tasks of {work_s:d} s")
def start_daemons_with_task_time(context, count, work_s):
    context.deployment = PlatformDeployment(count, work_s=work_s)
    context.add_cleanup(context.deployment.close)
    context.deployment.start()


@given("{count:d} daemons on the platform")
@given("{count:d} daemon on the platform")
def start_daemons(context, count):
    context.deployment = PlatformDeployment(count)
    context.add_cleanup(context.deployment.close)
    context.deployment.start()


def submit_job(daemon, prefix, steps):
    """Submit the job of the scenario; return status, body and headers of the answer."""
    return daemon.call("POST", f"{prefix}{JOB_ID}", {"spec": "x", "steps": steps})


TWO_STEPS = [
    {"count": 3, "cpu": 500, "mem_mb": 100, "estimate_ms": 200},
    {"count": 2, "cpu": 500, "mem_mb": 100, "estimate_ms": 200, "after": [0]},
]


@when("a caller submits a job with 2 steps at the first daemon")
def submit_at_first_daemon(context):
    context.path = f"/jobs/{JOB_ID}"
    wait_for(context.deployment.scheduler, 5.0, "no scheduler")
    status, _, _ = submit_job(context.deployment.daemons[0], "/jobs/", TWO_STEPS)
    assert status == 200, status


@when("a caller submits a job to the queue that requires approval")
def submit_to_approval_queue(context):
    context.path = f"/advised/{JOB_ID}"
    status, _, _ = submit_job(context.deployment.daemons[0], "/advised/", TWO_STEPS[:1])
    assert status == 200, status


@when("a caller submits a job with 2 steps at a daemon that is not the scheduler")
def submit_to_other_daemon(context):
    context.path = f"/jobs/{JOB_ID}"
    scheduler = wait_for(context.deployment.scheduler, 5.0, "no scheduler")
    other = next(d for d in context.deployment.daemons if d is not scheduler)
    status, _, _ = submit_job(other, "/jobs/", TWO_STEPS)
    assert status == 200, status


@when("the scheduler is killed once tasks run")
def kill_scheduler(context):
    executors = context.deployment.world.executors
    wait_for(lambda: any(executor.runs for executor in executors), 5.0, "no task started")
    scheduler = wait_for(context.deployment.scheduler, 5.0, "no scheduler")
    scheduler.send_signal(signal.SIGKILL)
    scheduler.process.wait()


def is_complete(daemon, path):
    """Return whether a daemon reports the job as complete; false if it does not answer."""
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        status, body, _ = daemon.call("GET", path)
        return status == 200 and body.get("state") == "complete"
    return False


@then("every daemon reports the job as complete within {seconds:d} s")
@then("every running daemon reports the job as complete within {seconds:d} s")
def check_complete(context, seconds):
    for daemon in context.deployment.daemons:
        if daemon.process.poll() is None:
            wait_for(
                lambda daemon=daemon: is_complete(daemon, context.path),
                seconds,
                f"{daemon.name} does not report completion: {daemon.read_log_lines()[-5:]}",
            )


@then("every task ran exactly once")
def check_tasks_ran_once(context):
    executors = context.deployment.world.executors
    done = [row[0] for executor in executors for row in executor.history if row[2] == "done"]
    assert sorted(done) == sorted(set(done)), done
    assert len(done) == 5, done
    assert not any(executor.overlaps for executor in executors)


@then("the approval service was asked about its step")
def check_approval_asked(context):
    assert f"{JOB_ID}.0.0" in context.deployment.world.advised


@when("the scheduler receives SIGTERM")
def terminate_scheduler(context):
    context.terminated_daemon = wait_for(context.deployment.scheduler, 5.0, "no scheduler")
    context.terminated_daemon.send_signal(signal.SIGTERM)


@then("another daemon becomes the scheduler within {seconds:g} s")
def check_successor(context, seconds):
    wait_for(
        lambda: context.deployment.scheduler() is not context.terminated_daemon,
        seconds,
        "no other daemon became the scheduler",
    )


@then("the process exits with status 0 within {seconds:d} s")
def check_exit(context, seconds):
    assert context.terminated_daemon.process.wait(seconds) == 0


def read_active_epoch(daemon):
    """Return the epoch of the newest tenure in which the daemon became the scheduler."""
    return max(
        line["epoch"]
        for line in daemon.read_log_lines()
        if line["message"] == "scheduler is active"
    )


@when("there is a scheduler and {seconds:d} s pass without a fault")
def wait_without_fault(context, seconds):
    context.first_scheduler = wait_for(context.deployment.scheduler, 5.0, "no scheduler")
    context.lines_before = {
        daemon.name: len(daemon.read_log_lines()) for daemon in context.deployment.daemons
    }
    context.first_epoch = read_active_epoch(context.first_scheduler)
    time.sleep(seconds)


@then("the same daemon is still the scheduler of the same tenure")
def check_same_tenure(context):
    scheduler = context.deployment.scheduler()
    assert scheduler is context.first_scheduler, scheduler and scheduler.name
    assert scheduler.process.poll() is None, scheduler.read_log_tail()
    epoch = read_active_epoch(scheduler)
    assert epoch == context.first_epoch, (context.first_epoch, epoch)


@then("no daemon has logged the end of a tenure in this time")
def check_no_tenure_ended(context):
    for daemon in context.deployment.daemons:
        lines = daemon.read_log_lines()[context.lines_before[daemon.name] :]
        ended = [line for line in lines if line["message"] == "tenure ended"]
        assert not ended, ended


@then("no daemon has logged an error")
def check_no_error_logged(context):
    for daemon in context.deployment.daemons:
        errors = [line for line in daemon.read_log_lines() if line["level"] == "ERROR"]
        assert not errors, errors


def set_store_fault(context, fault):
    """Set the fault of the store; `StoreFault.NONE` ends it."""
    store = context.deployment.world.store
    context.deployment.world.call(setattr, store, "fault", fault)


@when("the store is down and a caller submits a job")
def submit_while_store_down(context):
    set_store_fault(context, StoreFault.DOWN)
    started_s = time.monotonic()
    context.answer = submit_job(context.deployment.daemons[0], "/jobs/", TWO_STEPS)
    context.elapsed_s = time.monotonic() - started_s


@then("the caller is told to retry later within {seconds:d} s")
def check_rejected(context, seconds):
    status, _, headers = context.answer
    assert status == 503, context.answer
    assert int(headers["Retry-After"]) >= 1
    assert context.elapsed_s < seconds, context.elapsed_s


@then("after the outage the job was never started")
def check_never_started(context):
    set_store_fault(context, StoreFault.NONE)
    daemon = context.deployment.daemons[0]
    wait_for(daemon.is_ready, 5.0, "not ready after the outage")
    wait_for(
        lambda: daemon.call("GET", f"/jobs/{JOB_ID}")[0] == 410,
        5.0,
        "the job is still known after the outage",
    )
    assert not any(executor.history for executor in context.deployment.world.executors)


@when("the store loses answers and a caller submits a job")
def submit_with_lost_answer(context):
    set_store_fault(context, StoreFault.ANSWER_LOST)
    context.answer = submit_job(context.deployment.daemons[0], "/jobs/", TWO_STEPS)


@then("the caller is told that the outcome is unknown")
def check_unknown(context):
    assert context.answer[0] == 504, context.answer


@then("after the outage a retried submission returns the same job")
def check_retried_submission(context):
    set_store_fault(context, StoreFault.NONE)
    daemon = context.deployment.daemons[0]
    wait_for(daemon.is_ready, 5.0, "not ready after the outage")
    assert submit_job(daemon, "/jobs/", TWO_STEPS)[0] == 200
    wait_for(lambda: is_complete(daemon, f"/jobs/{JOB_ID}"), 15.0, "the job is not complete")
    check_tasks_ran_once(context)


@when("the store drops its history")
def drop_history(context):
    context.deployment.world.call(context.deployment.world.store.compact_topics)


@when("all daemons are killed and started again")
def restart_all(context):
    for daemon in context.deployment.daemons:
        daemon.send_signal(signal.SIGKILL)
        daemon.process.wait()
    context.deployment.start()


@then("these requests get these status codes")
def check_status_codes(context):
    daemon = context.deployment.daemons[0]
    for row in context.table:
        body = ast.literal_eval(row["body"]) if row["body"] else None
        status, _, _ = daemon.call(row["method"], row["path"], body)
        assert status == int(row["status"]), (row.cells, status)


@then("the daemon is still ready")
def check_ready(context):
    assert context.deployment.daemons[0].is_ready()


def open_partial_request(daemon, lines):
    head = "\r\n".join([f"POST /jobs/{JOB_ID} HTTP/1.1", f"Host: {HOST}", *lines, "", "{"])
    connection = socket.create_connection(("127.0.0.1", daemon.callers_port), timeout=5.0)
    connection.sendall(head.encode())
    return connection


@when("{count:d} callers send headers and one byte of a body and stall")
def send_partial_requests(context, count):
    daemon = context.deployment.daemons[0]
    for _ in range(count):
        context.add_cleanup(open_partial_request(daemon, ["Content-Length: 100"]).close)


@then("the daemon reports within {seconds:g} s that it is ready, and accepts a job")
def check_daemon_serves(context, seconds):
    started_s = time.monotonic()
    daemon = context.deployment.daemons[0]
    assert daemon.is_ready()
    assert time.monotonic() - started_s < seconds
    status, _, _ = submit_job(daemon, "/jobs/", TWO_STEPS)
    assert status == 200, status


@then("a request with two different lengths is refused and its connection is closed")
def check_two_lengths(context):
    lines = ["Content-Length: 1", "Content-Length: 2"]
    with open_partial_request(context.deployment.daemons[0], lines) as connection:
        answer = connection.makefile("rb").read()
    assert answer.startswith(b"HTTP/1.1 400") or answer.startswith(b"HTTP/1.0 400"), answer[:200]


@then("no module outside the adapter uses a name of the platform")
def check_names(context):
    found = []
    for path in sorted((ROOT / "packages").rglob("*.py")):
        if EXCLUDED_FOLDERS & set(path.parts[len(ROOT.parts) :]) - {"platform"}:
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if PLATFORM_NAMES.search(line):
                found.append(f"{path.relative_to(ROOT)}:{number}: {line.strip()}")
    assert not found, "\n".join(found)


def settings_error(text):
    """Return the message of the error that settings cause, or an empty string if they are valid."""
    try:
        parse_settings(text)
    except SettingsError as error:
        return str(error)
    return ""


@when("the settings of the platform lack two fields")
def parse_missing_fields(context):
    context.message = settings_error(
        '{"node": "vm", "zone": "z", "port_range": [1, 2], "listen": {}}'
    )


@when("the settings of the platform contain strings instead of two numbers")
def parse_wrong_types(context):
    context.message = settings_error(
        '{"bounds": {"max_hold_ms": "long"}, "limits": {"cpu_share": "half"}}'
    )


@then('the error message names "{first}" and "{second}"')
def check_field_names(context, first, second):
    for name in (first, second):
        assert f"{name}: " in context.message, context.message


@then("the error message names both fields")
def check_both_fields(context):
    for name in ("listen.frontend_address", "platform.address"):
        assert name in context.message, context.message


@then("the metrics endpoint shows at least these values")
def check_metrics(context):
    url = f"http://127.0.0.1:{context.deployment.daemons[0].metrics_port}/metrics"
    with urllib3.PoolManager(retries=False) as pool:
        text = pool.request("GET", url, timeout=5.0).data.decode()
    values = dict(line.rsplit(" ", 1) for line in text.splitlines() if not line.startswith("#"))
    for row in context.table:
        value = float(values.get(row["sample"], 0))
        assert value >= float(row["minimum"]), (row["sample"], value)


class PagedStore:
    """HTTP client that serves pages; the first two requests for the second page get no answer."""

    def __init__(self, pages_count):
        self.pages_count = pages_count
        self.calls_count = 0

    async def call(self, method, url, *, timeout_s, silence_s):
        """Return the page that the URL requests, or `NoAnswer`."""
        self.calls_count += 1
        after = re.search(r"after=k(\d+)", url)
        page = int(after[1]) + 1 if after else 0
        if page == 1 and self.calls_count < 4:
            return NoAnswer("cut off")
        item = {"key": f"k{page}", "value": "eA==", "offset": page}
        body = {"items": [item], "more_pages": page + 1 < self.pages_count, "end": 9}
        return Answer(200, json.dumps(body).encode())


@given("a store with {count:d} pages of records of which the second fails twice")
def create_paged_store(context, count):
    context.http = PagedStore(count)


@when("the newest records are read")
def read_newest(context):
    client = StoreClient(context.http, "127.0.0.1:1")
    context.result = asyncio.run(client.newest(Partition(Topic.JOURNAL)))


@then("all records are returned after {count:d} calls")
def check_pages(context, count):
    assert isinstance(context.result, ReadRecords), context.result
    assert [record.key for _, record in context.result.rows] == ["k0", "k1", "k2"]
    assert context.http.calls_count == count, context.http.calls_count
