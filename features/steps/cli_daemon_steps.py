"""Steps that run the command line against a daemon process."""

import json
import pathlib
import time

import urllib3
from behave import given, then, when
from cli_daemon_process import DaemonProcess
from cli_runner import run_cli, run_concurrent_applies
from run_folders import create_run_folder, remove_run_folder

from fireflywharf_core.results import ResultCode

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "examples"
JOB_TIMEOUT_S = 30.0


@given("stand-ins and a ready daemon")
def start_ready_daemon(context):
    start_daemon(context)
    context.server.wait_until_ready()


@given("stand-ins and a daemon that is starting")
def start_daemon(context):
    context.folder = create_run_folder()
    context.add_cleanup(remove_run_folder, context.folder)
    context.server = DaemonProcess(context.folder)
    context.add_cleanup(context.server.stop)
    context.server.start()


@when('the CLI applies the example contracts of "{name}"')
def apply_examples(context, name):
    for path in sorted((EXAMPLES / "contracts" / name).glob("*.toml")):
        run_cli(context, ["contract", "apply", str(path)])
        assert context.status == 0, context.errors


def repeat_until_accepted(context, arguments):
    """Run a command until it succeeds and return the result codes of all runs.

    Raises:
        AssertionError: no run succeeded within `JOB_TIMEOUT_S`.
    """
    codes = []
    deadline_s = time.monotonic() + JOB_TIMEOUT_S
    while time.monotonic() < deadline_s:
        run_cli(context, [*arguments, "--output", "json"])
        codes.append(json.loads(context.output)["code"])
        if context.status == 0:
            return codes
        time.sleep(0.05)
    raise AssertionError(context.output)


@when('the CLI applies the example contracts of "{name}" until they are accepted')
def apply_examples_early(context, name):
    for path in sorted((EXAMPLES / "contracts" / name).glob("*.toml")):
        repeat_until_accepted(context, ["contract", "apply", str(path)])


@when('the CLI submits the example job "{name}" until it is accepted')
def submit_until_accepted(context, name):
    path = EXAMPLES / "jobs" / f"{name}.toml"
    context.codes = repeat_until_accepted(context, ["job", "submit", str(path)])


@then("no submission was answered with code {code:d}")
def check_codes(context, code):
    assert code not in context.codes, context.codes


@when('two operators apply changes to "{name}" on version {version:d} concurrently')
def apply_concurrent_versions(context, name, version):
    run_cli(context, ["contract", "get", name])
    for weight in ("2.0", "3.0"):
        text = context.output.replace("share_weight = 1.0", f"share_weight = {weight}")
        (context.folder / f"{name}-{weight}.toml").write_text(text)
    base = ["--base-version", str(version)]
    run_concurrent_applies(context, [[f"{name}-{weight}.toml", *base] for weight in ("2.0", "3.0")])


@when('the CLI submits the example job "{name}" and waits until it is done')
def submit_and_wait(context, name):
    path = EXAMPLES / "jobs" / f"{name}.toml"
    codes = repeat_until_accepted(context, ["job", "submit", str(path)])
    # A daemon is ready for callers before its scheduler has the reports of all workers. Until then
    # it may refuse the job, but only with NO_SCHEDULER, which says that the job has not run.
    assert set(codes[:-1]) <= {ResultCode.NO_SCHEDULER}, codes
    job_id = json.loads(context.output)["job_id"]
    deadline_s = time.monotonic() + JOB_TIMEOUT_S
    while time.monotonic() < deadline_s:
        run_cli(context, ["job", "status", job_id, "--output", "json"])
        if json.loads(context.output).get("state") == "done":
            return
        time.sleep(0.2)
    raise AssertionError(context.output)


@when("the CLI sends the same request twice with the same key")
def send_twice(context):
    context.answers = []
    for _ in range(2):
        arguments = ["--customer", "austral", "--kind", "book", "--key", "b1", "--body", "x"]
        run_cli(context, ["request", "send", "dispatch", *arguments, "--output", "json"])
        assert context.status == 0, context.output
        context.answers.append(json.loads(json.loads(context.output)["body"]))


@then("both answers name the same execution")
def check_same_execution(context):
    first, second = context.answers
    assert first["request_id"] == second["request_id"], context.answers


@then("these metrics of the daemon are above 0")
def check_counted(context):
    url = f"http://{context.server.metrics_address}/metrics"
    text = urllib3.request("GET", url, retries=False).data.decode()
    samples = [line.rpartition(" ") for line in text.splitlines() if not line.startswith("#")]
    counted = {sample.partition("{")[0] for sample, _, value in samples if float(value) > 0}
    missing = [row["metric"] for row in context.table if row["metric"] not in counted]
    assert not missing, missing


@when("the daemon receives SIGTERM")
def terminate_daemon(context):
    context.daemon_status = context.server.terminate()


@then("the daemon exits with {status:d}")
def check_daemon_status(context, status):
    assert context.daemon_status == status, (context.folder / "daemon.log").read_text()[-2000:]


@when("the CLI asks the daemon for its status")
def ask_status(context):
    run_cli(context, ["status"])
