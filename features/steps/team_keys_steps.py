"""Steps for the keys of teams."""

import asyncio
import json
import logging

from behave import given, then, when
from prometheus_client import generate_latest
from team_keys_world import JOB_ID, KeyWorld, make_check, make_teams

from fireflywharf_core.workflows import (
    Queue,
    WorkflowAccepted,
    WorkflowProgress,
    WorkflowSpec,
    WorkflowState,
    decode_record,
)
from fireflywharf_daemon.logs import build_json_formatter
from fireflywharf_daemon.workflows import Answer, HttpClient, LogRecord, ReadRecords
from fireflywharf_platform._settings import SettingsError, parse_settings
from fireflywharf_platform._store import StoreClient
from fireflywharf_testing import reserve_port

SETTINGS = {
    "node": "vm",
    "zone": "z",
    "listen": {"frontend_address": "127.0.0.1:1", "readiness_address": "127.0.0.1:2"},
    "port_range": [3, 4],
    "platform": {"address": "127.0.0.1:5"},
}


class LogLines(logging.Handler):
    """Keeps formatted log lines."""

    def __init__(self):
        super().__init__()
        self.setFormatter(build_json_formatter("vm", "vm#1"))
        self.lines = []

    def emit(self, record):
        """Keep one line."""
        self.lines.append(self.format(record))


def capture_logs(context):
    context.logs = LogLines()
    root = logging.getLogger()
    level = root.level
    root.addHandler(context.logs)
    root.setLevel(logging.INFO)
    context.add_cleanup(root.removeHandler, context.logs)
    context.add_cleanup(root.setLevel, level)


@given('a VM that requires keys and has {read} the keys "{keys}"')
@given('a VM that requires keys {bound} strict revocation and has {read} the keys "{keys}"')
def create_vm(context, read, keys, bound="with"):
    capture_logs(context)
    context.world = KeyWorld(context, make_check(strict=bound == "with"))
    context.world.put_version(1, make_teams(keys))
    if read == "read":
        context.world.read()


@given("a VM without teams that has read version 1")
def create_vm_without_teams(context):
    context.world = KeyWorld(context, make_check(), requires_keys=False)
    context.world.put_version(1, None)
    context.world.read()


@then('a POST to "{path}" with the header "{header}" and an unreadable body gets {status:d}')
def check_order(context, path, header, status):
    scheme, _, key = header.partition(" ")
    path = f"{path}{JOB_ID}" if path.endswith("/") else path
    found = context.world.call(
        None if header == "none" else key, path, "POST", body=b"{", scheme=scheme
    )
    assert found == status, found


@when("the boot clock of the VM advances by {seconds:g} s")
def advance(context, seconds):
    context.world.now_s += seconds


@when("the VM reads the configuration")
def read(context):
    context.world.read()


@when("the VM reads the configuration and {seconds:g} s pass")
def read_and_advance(context, seconds):
    context.world.read()
    context.world.now_s += seconds


@when('the store {fault} and version 2 has the keys "{keys}"')
def fail_and_put(context, fault, keys):
    context.world.store.fault = fault
    context.world.put_version(2, make_teams(keys))


@when("the store {fault} and version 2 revokes all keys")
def fail_and_revoke(context, fault):
    context.world.store.fault = fault
    context.world.put_version(2, [])


@when("the store does not answer")
def fail(context):
    context.world.store.fault = "does not answer"


@when("the store answers and the VM reads the configuration")
def answer_and_read(context):
    context.world.store.fault = "answers"
    context.world.read()


@when('version {version:d} has the keys "{keys}"')
def put_version(context, version, keys):
    context.world.put_version(version, make_teams(keys))


@when("version {version:d} revokes all keys")
def revoke_all(context, version):
    context.world.put_version(version, [])


@when('versions with the keys "{second}" and then "{third}" are stored at once')
def put_two_versions(context, second, third):
    context.world.put_version(2, make_teams(second))
    context.world.put_version(3, make_teams(third))


@when("a version with {value} is stored")
def put_malformed(context, value):
    context.world.store.put("config", f'{{"version": 2, {value}}}'.encode())


@when(
    "the VM is suspended for {seconds:g} s after the store answered a read, and version 2 revokes"
    " all keys meanwhile"
)
def suspend(context, seconds):
    world = context.world

    def suspend_and_call():
        world.put_version(2, [])
        world.now_s += seconds
        context.waiting_status = world.entry.check_call(
            "queue.example", "/jobs/", "GET", "Bearer k1"
        )

    world.store.on_hold = suspend_and_call
    world.read()
    world.store.on_hold = lambda: None


@then('the call with "k1" that waited got 503')
def check_waiting(context):
    assert type(context.waiting_status).__name__ == "Rejected", context.waiting_status


@then('a call with "{key}" gets {status:d}')
def check_call(context, key, status):
    found = context.world.call(key)
    assert found == status, found


@then("a call without a key gets {status:d}")
def check_call_without_key(context, status):
    assert context.world.call(None) == status


@then('calls with "{first}" and "{second}" get {first_status:d} and {second_status:d}')
def check_calls(context, first, second, first_status, second_status):
    found = [context.world.call(first), context.world.call(second)]
    assert found == [first_status, second_status], found


@then("a call to an unknown queue gets {status:d}")
def check_unknown_queue(context, status):
    assert context.world.call("k1", "/nowhere/") == status


@then("the VM is ready")
def check_ready(context):
    assert context.world.service.is_ready


@then("the VM is not ready")
def check_not_ready(context):
    assert not context.world.service.is_ready


@then("this read was not held")
def check_not_held(context):
    assert context.world.store.held_s == 0.0, context.world.store.held_s


@then("this read was held for {held_s:g} s and the configuration is {age_s:g} s old")
def check_age(context, held_s, age_s):
    assert context.world.store.held_s == held_s
    samples = generate_latest(context.world.metrics.registry).decode().splitlines()
    (line,) = [row for row in samples if row.startswith("fireflywharf_configuration_age_seconds ")]
    assert abs(float(line.split()[1]) - age_s) < 1e-6, line


@when("a version is stored with these teams")
def put_teams(context):
    context.teams_count = len(context.table.rows)
    teams = [json.loads(row["team"]) for row in context.table]
    context.world.put_version(2, teams)


@then('the teams are "{names}" and each malformed team has a warning with its index')
def check_teams(context, names):
    valid = [row.team for row in context.world.service.configuration.teams]
    assert valid == names.split(", "), valid
    rows = [json.loads(line) for line in context.logs.lines]
    indices = [row["index"] for row in rows if row["level"] == "WARNING" and "index" in row]
    assert indices == list(range(1, context.teams_count - 1)), indices


@then('the quota of "{name}" is {limit:d} millicore')
def check_quota(context, name, limit):
    quotas = {row.team: row.quota for row in context.world.service.configuration.teams}
    assert quotas[name].processors_millicores == limit, quotas[name]
    assert quotas[name].accelerators_count == quotas[name].memory_mb == "unlimited"


@when('a caller with "{key}" submits a job')
def submit(context, key):
    assert context.world.call(key, f"/jobs/{JOB_ID}", "POST") == 200


@when("a job is stored {origin}")
def store_job(context, origin):
    if origin == "through a public queue":
        assert context.world.call("k1", f"/public/{JOB_ID}", "POST") == 200
    else:
        context.world.journal.put_record(make_accepted(""))


def make_accepted(team):
    queue = Queue(name="jobs", host="h", path_prefix="/", service="s")
    return WorkflowAccepted(
        job_id=JOB_ID,
        queue=queue,
        spec=WorkflowSpec(payload="", steps=()),
        accepted_utc_s=0.0,
        team=team,
    )


@when('another VM accepted a job of "{team}" and this VM reads only its progress')
def read_progress(context, team):
    record = WorkflowProgress(
        job_id=JOB_ID, state=WorkflowState.QUEUED, steps=(), queue="jobs", team=team
    )
    context.world.journal.put_record(record)


@when('the acceptance of the same id by "{team}" is read late')
def read_late(context, team):
    context.world.journal.put_record(make_accepted(team))


@then("these calls get these answers")
def check_table(context):
    for row in context.table:
        key = None if row["key"] == "none" else row["key"]
        found = context.world.call(key, f"/{row['queue']}/{JOB_ID}", row["method"])
        assert found == int(row["status"]), (row, found)


@then('the journal has the job with the team "{team}"')
def check_journal(context, team):
    records = [decode_record(value) for _, value in context.world.journal.rows]
    accepted = [record for record in records if isinstance(record, WorkflowAccepted)]
    assert [record.team for record in accepted] == [team], accepted
    assert context.world.journal.journal_state.jobs[JOB_ID].team == team


@then('{count:d} job is pending for a caller with "{key}"')
def check_pending(context, count, key):
    assert context.world.call(key, "/jobs/") == 200
    assert json.loads(context.world.answers[-1].body) == {"pending": count}


@when('versions with malformed teams that contain "{key}" are read')
def read_malformed(context, key):
    values = [None, [key], {key: key}, {"cpu": key}, [[key]], 1e300]
    teams = [key, [key], {"api_keys": [key]}]
    for field in ("name", "api_keys", "weight", "cap", "priority"):
        # A string is a valid name, and names of teams are no secret.
        texts = [key] if field != "name" else []
        teams += [{"name": "t", "api_keys": [key], field: value} for value in values + texts]
    for version, rows in enumerate([teams, key, {"name": key}, *teams], 2):
        context.world.put_version(version, rows)
        context.world.read()
    team = {"name": "austral", "api_keys": ["KEY-1"]}
    context.world.put_version(version + 1, [team, *teams])
    # The reader skips versions, so the newest one may come with the second read.
    context.world.read()
    context.world.read()


@when('calls are made with "{first}", "{second}" and "{third}" in the header, well-formed or not')
def call_with_keys(context, first, second, third):
    world = context.world
    assert world.call(first, f"/jobs/{JOB_ID}", "POST") == 200
    for key in (first, second, third, f"{third}\udc80", f"{third} x", f"{third}," * 50):
        for scheme in ("Bearer", "Basic", key, ""):
            for path in ("/jobs/", "/public/", "/nowhere/", f"/jobs/{JOB_ID}"):
                world.call(key, path, scheme=scheme)
                world.call(key, path, "POST", body=b"{", scheme=scheme)
    world.now_s += 60.0
    assert world.call(first) == 503


@when('malformed requests with "{key}" in their heads reach the server')
def send_malformed(context, key):
    heads = [
        f"Authorization: Bearer {key}\0",
        f"Authorization Bearer {key}",
        f"Authorization: Bearer {key * 4000}",
        f"Content-Length: {key}",
    ]

    async def send():
        addresses = [("127.0.0.1", reserve_port("127.0.0.1")) for _ in range(3)]
        await context.world.entry.open(*addresses)
        for head in heads:
            reader, writer = await asyncio.open_connection(*addresses[0])
            writer.write(f"GET / HTTP/1.1\r\nHost: h\r\n{head}\r\n\r\n".encode())
            assert (await reader.readline()).startswith(b"HTTP/1.0 400"), head
            writer.close()
        await context.world.entry.close()

    asyncio.run(send())
    rows = [json.loads(line) for line in context.logs.lines]
    count = sum(row["message"] == "request is malformed" for row in rows)
    assert count == len(heads), count


@when('the store sends a malformed answer that contains "{key}"')
def send_malformed_answer(context, key):
    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx{key}\r\n\r\n".encode())
        await writer.drain()
        writer.close()

    async def read():
        http = HttpClient(1)
        await http.open()
        async with await asyncio.start_server(answer, "127.0.0.1", 0) as server:
            host, port = server.sockets[0].getsockname()
            result = await StoreClient(http, f"{host}:{port}").newest_named("keyed.op")
        await http.close()
        return result

    context.failed_read = asyncio.run(read())
    assert "malformed response" in context.failed_read.reason, context.failed_read


@then('no log line, metric, answer, journal record or representation contains "{text}"')
def check_no_key(context, text):
    world = context.world
    value = world.store.rows[-1][1].value
    assert text.encode() in value
    record = LogRecord("config", value)
    places = {
        "log": context.logs.lines,
        "metrics": [generate_latest(world.metrics.registry).decode()],
        "answers": [f"{row.headers} {row.body}" for row in world.answers],
        "records": [repr(row) for row in world.journal.rows],
        "errors": [context.failed_read.reason],
        "representations": [
            repr(world.service.configuration),
            repr(world.service.configuration.keys),
            repr(vars(world.service)),
            repr(ReadRecords(1, ((0, record),))),
            repr(Answer(200, value)),
        ],
    }
    assert any("call refused" in line for line in places["log"]), "no refusal was logged"
    for place, texts in places.items():
        found = [row for row in texts if text in row]
        assert not found, (place, found[:2])


@then("these settings give these values or name the wrong field")
def check_settings(context):
    for row in context.table:
        text = json.dumps({**SETTINGS, **json.loads(row["settings"])})
        try:
            settings = parse_settings(text)
        except SettingsError as error:
            assert row["requires keys"] == "error" and row["bound"] in str(error), (row, error)
            continue
        assert settings.requires_keys == (row["requires keys"] == "yes"), row
        assert str(settings.key_check.revoke_s).lower() == row["bound"], (row, settings)
