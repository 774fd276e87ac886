"""Steps for the operators' command line, run against an in-memory daemon and faulty servers."""

import json
import pathlib
import tempfile
import threading
from unittest import mock

import attrs
import tomli_w
import urllib3
from behave import given, then, when
from cli_runner import run_cli, run_concurrent_applies
from cli_servers import FaultyServer, InMemoryDaemon, http_answer
from hypothesis import example, settings, strategies
from hypothesis import given as given_values

from fireflywharf_core.contracts import parse_contract
from fireflywharf_core.jobs import JobState, derive_job_id
from fireflywharf_core.results import ResultCode, describe_code
from fireflywharf_daemon.http import ApplyContract

CONTRACT = {
    "customer": "austral",
    "share_weight": 1.0,
    "quota": {"processors_millicores": "unlimited", "memory_mb": 1, "accelerators_count": 0},
    "requests_per_second": "unlimited",
    "queue_max_tasks": 100,
}
JOB = {
    "customer": "austral",
    "key": "plan-1",
    "kind": "batch",
    "size": {"processors_millicores": 500, "memory_mb": 256},
}
EXIT_STATUSES = {describe_code(code).exit_status for code in ResultCode}
CONTRACT_OBJECTS = strategies.dictionaries(
    strategies.sampled_from([*CONTRACT, "priority", "teams", "other"]),
    strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=5)
    | strategies.lists(strategies.integers(), max_size=2)
    | strategies.dictionaries(strategies.text(max_size=3), strategies.integers(), max_size=2),
)
ANSWERS = strategies.recursive(
    strategies.none() | strategies.integers() | strategies.text(max_size=5),
    lambda inner: strategies.lists(inner, max_size=2)
    | strategies.dictionaries(strategies.text(max_size=5), inner, max_size=3),
    max_leaves=6,
)


def start_server(context, server):
    """Make a server the default of the command line until the end of the scenario."""
    context.add_cleanup(server.stop)
    context.server = server
    return server


FAULTY_SERVERS = {
    "close": FaultyServer,
    "truncate": lambda: FaultyServer(http_answer(b'{"code": 0, "na', length=1000)),
    "gateway error": lambda: FaultyServer(http_answer(b"<html>bad gateway</html>", status=502)),
    "internal error": lambda: FaultyServer(http_answer(b'{"code": 403}', status=500)),
    "silence": lambda: FaultyServer(delay_s=2.0),
}


@given('a daemon in memory with the contract "{name}"')
def start_daemon_with_contract(context, name):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    invalid = CONTRACT | {"share_weight": -1, "priority": 11, "requests_per_second": float("inf")}
    keyless = {name: value for name, value in JOB.items() if name != "key"}
    files = {
        "austral-v2.toml": tomli_w.dumps(CONTRACT | {"share_weight": 2.0}),
        "austral-v3.toml": tomli_w.dumps(CONTRACT | {"share_weight": 3.0}),
        "invalid.toml": tomli_w.dumps(invalid),
        "broken.toml": "customer = ",
        "job.toml": tomli_w.dumps(JOB),
        "job.json": json.dumps(JOB),
        "twice.json": '{"key": "a", "key": "b"}',
        "keyless.toml": tomli_w.dumps(keyless),
    }
    for file_name, text in files.items():
        (context.folder / file_name).write_text(text)
    context.daemon = start_server(context, InMemoryDaemon())
    contract, _ = parse_contract(CONTRACT | {"customer": name})
    change = ApplyContract(base_version=0, contract=contract, author="ana")
    context.daemon.service.apply_contract(change)


@given('the daemon is replaced by a server with the fault "{fault}"')
def start_faulty_server(context, fault):
    start_server(context, FAULTY_SERVERS[fault]())


@given("the daemon is replaced by a server whose job state contains an escape character")
def answer_with_escape(context):
    document = {"code": 0, "job_id": "j-1", "state": "\x1b[2J"}
    start_server(context, FaultyServer(http_answer(json.dumps(document).encode())))


@given('the job of "{file}" was submitted')
def submit_job(context, file):
    run_cli(context, ["job", "submit", file])
    assert context.status == 0, context.errors


@given('the job of "{file}" was submitted and is {state}')
def submit_ended_job(context, file, state):
    submit_job(context, file)
    jobs = context.daemon.service.jobs
    for job_id, job in jobs.items():
        jobs[job_id] = attrs.evolve(job, state=JobState(state))


@given("the daemon does not know the kind of any job")
def forget_kinds(context):
    jobs = context.daemon.service.jobs
    for job_id, job in jobs.items():
        jobs[job_id] = attrs.evolve(job, kind=None)


LOG_EVENTS = {
    "vm-1.log": [
        ("00.80", "append of the scheduler is repeated", {"epoch": 7}),
        ("00.95", "append of the scheduler is repeated", {"epoch": 7}),
        ("00.96", "append of the scheduler is repeated", {"epoch": 7}),
        ("00.97", "append of the scheduler is repeated", {"epoch": 7}),
        ("01.00", "job accepted", {"job_id": "4a7", "ms": 100}),
        ("01.10", "job accepted", {"job_id": "4a70", "ms": 10}),
        ("05.00", "daemon stops", {}),
    ],
    "vm-2.log": [
        ("01.20", "run placed", {"run": "4a7.0.0.0#1", "worker": "w-1"}),
        ("01.90", "worker does not answer", {"worker": "w-2"}),
        ("02.00", "worker does not answer", {"worker": "w-1"}),
        ("02.50", "run ended", {"run": "4a70.0.0.0#1", "worker": "w-1", "how": "done"}),
        ("03.00", "run ended", {"run": "4a7.0.0.0#1", "worker": "w-1", "how": "lease_lapsed"}),
    ],
}


@given('the logs "vm-1.log" and "vm-2.log" of a job that ran across a scheduler failover')
def write_logs(context):
    for file, rows in LOG_EVENTS.items():
        lines = [
            json.dumps(
                {
                    "time": f"2026-06-24T22:38:{second}0Z",
                    "level": "INFO",
                    "message": message,
                    "vm": file.removesuffix(".log"),
                }
                | fields
            )
            for second, message, fields in rows
        ]
        (context.folder / file).write_text("\n".join([*lines, ""]))
    with (context.folder / "vm-2.log").open("a") as log:
        log.write('{"time": "2026-06-24T22:38:0')


@then("its output has these lines in order")
def check_lines(context):
    lines = iter(context.output.splitlines())
    for row in context.table:
        words = (row["time"], row["vm"], row["message"], row["details"])
        assert any(all(word in line for word in words) for line in lines), (words, context.output)


@when('the CLI runs "{command}"')
def run_command(context, command):
    replacements = {
        "DAEMON": context.daemon.address,
        "FAULTY": context.server.address,
        "JOB": derive_job_id(JOB["customer"], JOB["key"]),
    }
    for name, value in replacements.items():
        command = command.replace(name, value)
    run_cli(context, command.split())


@when('the operator interrupts "{command}" while it waits for an answer')
def interrupt_command(context, command):
    with mock.patch.object(
        urllib3.HTTPConnectionPool, "urlopen", side_effect=KeyboardInterrupt, autospec=True
    ):
        run_command(context, command)


@when('its output is written to "{file}"')
def write_output(context, file):
    (context.folder / file).write_text(context.output)


@when('two operators apply different changes to "{name}" concurrently')
def apply_concurrent_changes(context, name):
    # The barrier makes both processes read the current version before either applies its change.
    context.daemon.service.read_barrier = threading.Barrier(2)
    run_concurrent_applies(context, [[f"{name}-v2.toml"], [f"{name}-v3.toml"]])
    context.daemon.service.read_barrier = None


@then("one apply exits with {first:d} and the other with {second:d}")
def check_apply_statuses(context, first, second):
    assert sorted(status for _, status in context.applies) == [first, second], context.applies


@then("the refused apply names base version {base:d} and current version {current:d}")
def check_refused_apply(context, base, current):
    refused = [json.loads(output) for output, status in context.applies if status != 0]
    versions = [(item["base_version"], item["current_version"]) for item in refused]
    assert versions == [(base, current)], refused


@then('the history of "{name}" has {count:d} versions')
def check_history(context, name, count):
    changes = context.daemon.service.changes[name]
    assert [change.version for change in changes if change.won] == [*range(1, count + 1)]


@then("the CLI exits with {status:d}")
def check_status(context, status):
    assert context.status == status, (context.status, context.output, context.errors)
    assert "Traceback" not in context.errors, context.errors


@then('its output contains "{text}"')
def check_output(context, text):
    wanted, found = " ".join(text.split()), " ".join(context.output.split())
    assert wanted in found, context.output
    assert "\x1b" not in context.output


@then('its output does not contain "{text}"')
def check_output_lacks(context, text):
    assert text not in context.output, context.output


@then('its errors contain "{text}"')
def check_errors(context, text):
    assert text in context.errors, context.errors
    assert context.output == "", context.output


@then("its output is one JSON object with code {code:d}")
def check_json(context, code):
    document = json.loads(context.output)
    assert document["code"] == code, document
    assert context.errors == "", context.errors


@then("the daemon has received {count:d} calls")
def check_received(context, count):
    assert context.daemon.calls_count == count, context.daemon.calls_count


@then("the faulty server has received {count:d} call")
def check_faulty_received(context, count):
    assert context.server.calls_count == count, context.server.calls_count


def check_documented(context, arguments):
    """Run a command; check that its exit status is documented and that it writes no traceback."""
    run_cli(context, arguments)
    assert context.status in EXIT_STATUSES, (context.status, context.errors)
    assert "Traceback" not in context.errors, context.errors
    # INTERNAL_ERROR without "answered" is an exception in the command line, not in the daemon.
    unexpected = "INTERNAL_ERROR" in context.errors and "answered" not in context.errors
    assert not unexpected, context.errors


@then("any contract file gives a documented exit status without a traceback")
def check_any_file(context):
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given_values(strategies.binary(max_size=40) | CONTRACT_OBJECTS)
    @example(b"[" * 100_000)
    @example(CONTRACT | {"queue_max_tasks": float("inf")})
    def check_file(content):
        is_object = isinstance(content, dict)
        as_json = json.dumps(content).encode() if is_object else content
        as_toml = tomli_w.dumps(content).encode() if is_object else content
        (context.folder / "any.json").write_bytes(as_json)
        (context.folder / "any.toml").write_bytes(as_toml)
        check_documented(context, ["contract", "check", "any.json"])
        check_documented(context, ["contract", "apply", "any.toml"])

    check_file()


@then("any answer of a daemon gives a documented exit status without a traceback")
def check_any_answer(context):
    server = start_server(context, FaultyServer())
    codes = strategies.sampled_from([int(code) for code in ResultCode] + [999])
    names = ("job_id", "state", "jobs", "vms", "problems", "detail", "retry_after_s")
    documents = strategies.fixed_dictionaries(
        {"code": codes},
        optional=dict.fromkeys(names, ANSWERS),
    )

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given_values(strategies.binary(max_size=20) | documents.map(json.dumps).map(str.encode))
    @example(b"[]")
    @example(b'{"code": 0, "job_id": "j-1", "state": "waiting", "explanation": ["x"]}')
    def check_answer(data):
        server.answer = http_answer(data)
        for command in (["job", "status", "j-1"], ["job", "list"], ["vm", "list"]):
            check_documented(context, command)

    check_answer()
