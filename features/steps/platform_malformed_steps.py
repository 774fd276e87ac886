"""Steps for entries, configurations, submissions, records and answers that cannot be read."""

import asyncio
import copy
import json
import random
import unittest.mock

from behave import given, then, when
from platform_inputs import ENTRY, REPORT, KeyedStore, encode_with, encode_without
from workflow_daemon_steps import PresetLog
from workflow_resilience_steps import WORKER, OneAnswerHttp
from workflow_support import encode_log_record, make_job_record
from workflow_world import WorkflowWorld, make_step

from fireflywharf_cli import _files
from fireflywharf_core.platform import ReadAnswer
from fireflywharf_core.records import RECORD_CODEC, UndecodableError
from fireflywharf_core.workflows import (
    EndKind,
    JobAdded,
    ReportedEnd,
    StepName,
    TaskName,
    WorkflowAccepted,
    WorkflowState,
    explain_waiting,
)
from fireflywharf_daemon.platform import Failed, FailureReason
from fireflywharf_daemon.platform._exchange import HttpResponse
from fireflywharf_daemon.platform._json_calls import call_json
from fireflywharf_daemon.workflows import Answer, PollFailed
from fireflywharf_daemon.workflows._journal import JournalReader
from fireflywharf_platform import _sources
from fireflywharf_platform._sources import StoreConfiguration, StoreDirectory, parse_worker
from fireflywharf_platform._tasks import MalformedError, decode_json, parse_job
from fireflywharf_platform._workers import WorkerClient

CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "q",
            "host": "h",
            "path_prefix": "/q/",
            "service": "s",
            "priority": 1,
            "max_attempts": 3,
            "advice": {"decision_ms": 5.0, "period_ms": 0.5, "validity_ms": 2000},
        }
    ],
    "services": [{"name": "s", "standby": False}],
    "limits": {"max_body_bytes": 1000},
}
JOB = {
    "spec": "x",
    "steps": [
        {"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 900, "affinity": "r1"},
        {"count": 3, "cpu": 2000, "estimate_ms": 7000, "after": [0], "gang": True},
    ],
    "times": 0,
    "first_ms": 0,
    "interval_ms": 0,
}
ODD_VALUES = [
    *(None, True, False, 0, -1, 1, 2**53, 2**63, 2**70, 10**300, 1e-300, 1e300, 0.5),
    *("", "x", "\u0000", "9" * 400, "127.0.0.1:99999", [], [1], {}, {"a": 1}, [[[[1]]]]),
]


@given("a directory with a readable entry and {entry}")
def create_directory(context, entry):
    context.store = store = KeyedStore()
    context.directory = StoreDirectory(store)
    store.put("w-1", json.dumps(ENTRY).encode())
    if entry == "4000 opening brackets":
        store.put("odd", b"[" * 4000)
    elif entry.endswith("nested 4000 deep"):
        store.put("odd", encode_with(ENTRY, "version", "[" * 4000 + "]" * 4000))
    elif entry.endswith("line break"):
        store.put("odd\r\nX: 1", json.dumps(ENTRY).encode())
    elif entry.startswith("an entry without"):
        store.put("odd", encode_without(ENTRY, entry.split('"')[1]))
    elif entry.endswith("cannot raise"):
        store.put("odd", json.dumps({**ENTRY, "address": "127.0.0.1:7001"}).encode())
        read = parse_worker

        def fail_for_odd(worker_id, value):
            if worker_id == "odd":
                raise AttributeError("planted by the scenario")
            return read(worker_id, value)

        patch = unittest.mock.patch.object(_sources, "parse_worker", fail_for_odd)
        patch.start()
        context.add_cleanup(patch.stop)
    else:
        name, value = entry.removeprefix('an entry whose "').split('" is ')
        store.put("odd", encode_with(ENTRY, name, value))


def read_directory(context):
    return sorted(asyncio.run(context.directory.poll()))


@when("the directory is read")
def read_first(context):
    context.worker_ids = read_directory(context)


@then("it has only the readable entry")
def check_one_entry(context):
    assert context.worker_ids == ["w-1"], context.worker_ids


@when("a further readable entry is added")
def add_entry(context):
    context.store.put("w-2", json.dumps({**ENTRY, "address": "127.0.0.1:7002"}).encode())


@then("the directory has both readable entries")
def check_both_entries(context):
    assert read_directory(context) == ["w-1", "w-2"]


@given("the configuration of version 1 was read")
def read_first_version(context):
    context.store = KeyedStore()
    context.store.put("config", json.dumps(CONFIGURATION).encode())
    context.source = StoreConfiguration(context.store)
    context.known = asyncio.run(context.source.next_version(None))
    assert context.known.version == 1


def encode_odd(valid, value):
    """Return an encoded object with the value that a scenario names."""
    if value == "4000 opening brackets":
        return b"[" * 4000
    name, text = value.removeprefix('a "').split('" of ')
    return encode_with(valid, name, text)


@when("a version with {value} is written and then version 3")
def write_versions(context, value):
    context.versions = []
    good = json.dumps({**CONFIGURATION, "version": 3}).encode()
    for content in (encode_odd(CONFIGURATION, value), good):
        context.store.put("config", content)
        context.versions.append(asyncio.run(context.source.next_version(context.known)))


@then("the daemon keeps version 1 and then gets version 3")
def check_versions(context):
    odd, good = context.versions
    assert odd is None and good.version == 3, context.versions


@when("a caller submits a job with {value}")
def submit_odd(context, value):
    context.error = None
    try:
        parse_job(decode_json(encode_odd(JOB, value)))
    except MalformedError as error:
        context.error = error


@then("it is malformed")
def check_malformed(context):
    assert context.error is not None


@given("a journal with a record that raises an error when it is applied")
def create_odd_journal(context):
    context.log = PresetLog()
    context.log.rows = tuple(
        (offset, encode_log_record(make_job_record(name))) for offset, name in ((7, "a"), (8, "b"))
    )

    def listen(record, offset):
        if offset == 7:
            raise AttributeError("planted by the scenario")

    context.reader = JournalReader(context.log, listen)
    context.reader.loaded = True
    context.reader.offset = 7


@when("the journal is read")
def read_odd_journal(context):
    asyncio.run(context.reader._read(0.0))


@then("the record after it was applied")
def check_applied(context):
    assert "b" in context.reader.journal_state.jobs and context.reader.offset == 9


@when("a worker answers a poll with a clock of {clock_ms} and is polled again")
def poll_with_odd_clock(context, clock_ms):
    context.http = OneAnswerHttp({**REPORT, "running": [], "clock_ms": json.loads(clock_ms)})
    client = WorkerClient(context.http)

    async def poll():
        return await client.poll_worker(WORKER, epoch=1, acknowledged=0, wait_s=0.0, lease_s=6.0)

    asyncio.run(poll())
    asyncio.run(poll())


@then("the second poll was sent")
def check_polls(context):
    assert len(context.http.requests) == 2, context.http.requests
    lease = context.http.requests[1].get("deadline_ms", 0)
    assert isinstance(lease, int) and 0 <= lease < 2**53, lease


@given("a job of {count:d} tasks on one worker")
def submit_to_one_worker(context, count):
    context.world = WorkflowWorld(workers_count=1)
    context.world.submit("a", [make_step(count)])
    context.world.run(0.2)


@when("the worker reports an end of its task {index:d} and of a task of its occurrence {number:d}")
def report_unknown_tasks(context, index, number):
    worker = context.world.workers["w0"]
    for name in (TaskName(StepName("a", 0, 0), index), TaskName(StepName("a", number, 0), 0)):
        worker.last_serial += 1
        worker.ends.append(ReportedEnd(worker.last_serial, name, 1, EndKind.DONE, ""))
    context.world.run(0.2)


@then("the job is complete after its {count:d} tasks")
def check_job_complete(context, count):
    context.world.run(2.0)
    assert context.world.job_state("a") is WorkflowState.COMPLETE, context.world.job_state("a")
    assert len(context.world.done_tasks) == count, context.world.done_tasks


def read_by_platform_client(text):
    """Return whether a client of a platform service reports a malformed answer."""
    pool = unittest.mock.Mock(address="127.0.0.1:1")
    pool.send.return_value = HttpResponse(200, {}, text, reusable=True)
    result = call_json(pool, "GET", "/", ReadAnswer, 1.0)
    return isinstance(result, Failed) and result.reason is FailureReason.MALFORMED


def read_by_peer_client(text):
    """Return whether an answer of another daemon counts as an empty object."""
    return Answer(200, text).json() == {}


def read_by_codec(text):
    """Return whether the codec reports a record as undecodable."""
    try:
        RECORD_CODEC.decode(b"\x92\xabJobAccepted" + b"\x91" * 4000 + b"\x90")
    except UndecodableError:
        return True
    return False


def read_by_command_line(text):
    """Return whether the command line reports invalid JSON."""
    try:
        _files.decode_json(text.decode())
    except ValueError:
        return True
    return False


READERS = {
    "a client of a platform service": read_by_platform_client,
    "a client of another daemon": read_by_peer_client,
    "the codec of the log": read_by_codec,
    "the command line": read_by_command_line,
}


@when("{reader} reads a document that is nested 4000 deep")
def read_nested(context, reader):
    context.reported = READERS[reader](b'{"unknown": ' + b"[" * 4000)


@then("it reports that the document is malformed")
def check_reported(context):
    assert context.reported


@given("valid entries, configurations, submissions and reports")
def set_valid_input(context):
    context.rejected_count = context.read_count = 0


def change_randomly(rng, valid):
    """Return a copy of a JSON value with one to three parts replaced by odd values."""
    changed = copy.deepcopy(valid)
    for _ in range(rng.randint(1, 3)):
        node = changed
        while True:
            keys = sorted(node) if isinstance(node, dict) else range(len(node))
            if not keys:
                break
            key = rng.choice(list(keys))
            if isinstance(node[key], dict | list) and node[key] and rng.random() < 0.7:
                node = node[key]
                continue
            node[key] = copy.deepcopy(rng.choice(ODD_VALUES))
            break
    return json.dumps(changed).encode()


def run_scheduler(spec, info):
    """Let a scheduler decide for 0.5 s with a job and an entry of a worker."""
    world = WorkflowWorld(workers_count=2)
    world.run(0.1)
    world.steps_by_job["a"] = spec.steps
    world.append(WorkflowAccepted(job_id="a", queue=world.queue, spec=spec, accepted_utc_s=0.0))
    event = JobAdded(job_id="a", journaled=world.journal_state.jobs["a"])
    world.scheduler.observe(event, world.now_s)
    if info is not None:
        world.workers["w0"].info = info
        world.publish_directory()
    world.run(0.5)
    explain_waiting(world.scheduler, world.now_s, 0.0, 9)


def read_or_reject(context, read, value):
    """Return what `read` returns, or None if it rejects the value as malformed."""
    try:
        result = read(value)
    except MalformedError:
        context.rejected_count += 1
        return None
    context.read_count += 1
    return result


@when("each is read with {count:d} random changes, seed {seed:d}")
def read_changed(context, count, seed):
    rng = random.Random(seed)

    def poll(body):
        http = OneAnswerHttp({})
        http.answer = type(http.answer)(200, body)
        client = WorkerClient(http)
        options = {"epoch": 1, "acknowledged": 0, "wait_s": 0.0, "lease_s": 6.0}
        for _ in range(2):
            result = asyncio.run(client.poll_worker(WORKER, **options))
        if isinstance(result, PollFailed):
            raise MalformedError(result.reason)
        return result

    for _ in range(count):
        info = read_or_reject(
            context, lambda value: parse_worker("w0", value), change_randomly(rng, ENTRY)
        )
        read_or_reject(context, _sources.parse_configuration, change_randomly(rng, CONFIGURATION))
        read_or_reject(context, poll, change_randomly(rng, REPORT))
        job = change_randomly(rng, JOB)
        spec = read_or_reject(context, lambda value: parse_job(decode_json(value)), job)
        if spec is not None:
            run_scheduler(spec, info)


@then("each was read or rejected as malformed, and the scheduler decided with what was read")
def check_read_or_rejected(context):
    assert context.read_count > 100 and context.rejected_count > 100, (
        context.read_count,
        context.rejected_count,
    )
