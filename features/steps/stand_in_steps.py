"""Steps for the stand-ins of the platform."""

import base64
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading

import attrs
import urllib3
from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from fireflywharf_core.history import (
    AppendDone,
    AttemptEnded,
    AttemptResized,
    AttemptStarted,
    RequestEnded,
    RequestStarted,
    record_from_json,
)
from fireflywharf_core.jobs import AttemptId, TaskId
from fireflywharf_core.platform import (
    AcknowledgeAttempt,
    CheckpointAttempt,
    StartAttempt,
    StopAttempt,
    ThrottleAttempt,
    VmInfo,
    VmRole,
    VmState,
)
from fireflywharf_core.resources import ResourceVector
from fireflywharf_testing import (
    CheckpointStore,
    Domain,
    EffectsRecorder,
    FaultSettings,
    LogSettings,
    LogStandIn,
    Platform,
    TargetGroup,
    Topology,
    VmListStandIn,
    WorkerGroup,
    WorkerSettings,
    WorkerStandIn,
    wait_until,
)

CAPACITY = ResourceVector(1000, 1000, 1)


class ManualClock:
    """Clock that a step moves."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


def worker_vm():
    return VmInfo(
        name="w1",
        role=VmRole.WORKER,
        address="127.0.0.1:1",
        region="r",
        failure_domain="d",
        capacity=CAPACITY,
    )


def attempt_id(index, number=1):
    return AttemptId(TaskId("j", index), number)


def manual_worker(clock, task_lease_s=30.0):
    settings = WorkerSettings(task_lease_s=task_lease_s)
    return WorkerStandIn(worker_vm(), settings, EffectsRecorder(), CheckpointStore(), clock)


def start_platform(context, **domain_parts):
    domain = Domain(name="centro", region="centro", **domain_parts)
    context.platform = Platform(Topology(domains=[domain])).start()
    context.add_cleanup(context.platform.stop)
    context.http = urllib3.PoolManager(retries=False, timeout=5.0, maxsize=8)
    context.add_cleanup(context.http.clear)


def post(context, server, path, body, headers=None):
    address = context.platform.servers[server].address
    return context.http.request("POST", f"http://{address}{path}", json=body, headers=headers)


def append(context, sequence, http=None):
    address = context.platform.servers["log-centro"].address
    body = {
        "writer": "a",
        "sequence": sequence,
        "records_base64": [base64.b64encode(b"record").decode()],
    }
    return (http or context.http).request(
        "POST", f"http://{address}/v1/streams/jobs/append", json=body
    )


def read_log(context):
    address = context.platform.servers["log-centro"].address
    return context.http.request("GET", f"http://{address}/v1/streams/jobs/records?offset=0")


def execute(context, request_id, epoch, service_ms):
    headers = {"X-Request-Id": request_id, "X-Epoch": str(epoch), "X-Deadline-Ms": "5000"}
    body = {"service_ms": service_ms, "echo": request_id}
    return post(context, "centro-target-1", "/v1/execute", body, headers)


@given("a platform with 1 worker")
def start_with_worker(context):
    start_platform(context, workers=[WorkerGroup(capacity=CAPACITY)])


@given("a platform with 1 target of 2 slots")
def start_with_target(context):
    start_platform(context, targets=[TargetGroup(service="dispatch", slots_count=2)])
    claim = post(context, "centro-target-1", "/v1/claim", {"holder": "a", "ttl_s": 30})
    context.epoch = claim.json()["epoch"]


@when('holder "{holder}" claims the worker for {ttl:g} s')
def claim_worker(context, holder, ttl):
    answer = post(context, "centro-worker-1", "/v1/claim", {"holder": holder, "ttl_s": ttl}).json()
    assert answer["granted"], answer
    context.epochs = getattr(context, "epochs", {}) | {holder: answer["epoch"]}


@when('holder "{holder}" claims the worker for {ttl:g} s after {wait:g} s')
def claim_worker_later(context, holder, ttl, wait):
    refused = post(context, "centro-worker-1", "/v1/claim", {"holder": holder, "ttl_s": ttl}).json()
    assert not refused["granted"], refused
    threading.Event().wait(wait)
    claim_worker(context, holder, ttl)


def start_over_http(context, holder):
    size = {"processors_millicores": 10, "memory_mb": 10}
    attempt = {"task": {"job_id": "j", "index": 0}, "number": 1}
    command = {"type": "StartAttempt", "attempt": attempt, "size": size}
    body = {"epoch": context.epochs[holder], "commands": [command]}
    return post(context, "centro-worker-1", "/v1/commands", body)


@then('a start by holder "{holder}" is refused as stale')
def check_start_refused(context, holder):
    assert start_over_http(context, holder).status == 409


@then('a start by holder "{holder}" is accepted')
def check_start_accepted(context, holder):
    answer = start_over_http(context, holder)
    assert answer.status == 200 and answer.json()[0]["accepted"], answer.data


@then("the effects show 1 attempt")
def check_one_attempt(context):
    assert len(context.platform.recorder.of(AttemptStarted)) == 1


def command_strategy():
    attempts = st.builds(attempt_id, st.integers(0, 3), st.integers(1, 2))
    sizes = st.builds(ResourceVector, st.integers(0, 700), st.integers(0, 700), st.integers(0, 1))
    texts = st.sampled_from(["", '{"run_s": 2.5}', '{"run_s": null}', "not json", "[1]"])
    return st.one_of(
        st.builds(StartAttempt, attempts, sizes, texts, st.sampled_from([0.0, 0.5, 4.0])),
        st.builds(StopAttempt, attempts),
        st.builds(CheckpointAttempt, attempts),
        st.builds(ThrottleAttempt, attempts, st.integers(0, 800)),
        st.builds(AcknowledgeAttempt, attempts),
        st.sampled_from([0.1, 1.0, 3.0, 11.0]),
    )


def check_effects_within_capacity(effects):
    """Replay the effects and check room and uniqueness without asking the worker."""
    running, started = {}, set()
    for effect in effects:
        match effect:
            case AttemptStarted():
                assert effect.attempt not in started
                started.add(effect.attempt)
                running[effect.attempt] = effect.size
            case AttemptResized():
                running[effect.attempt] = effect.size
            case AttemptEnded():
                del running[effect.attempt]
        assert sum(running.values(), ResourceVector()).fits_in(CAPACITY), effects


@then("random command sequences keep a worker within its capacity")
def check_random_commands(context):
    context.starts_count, reasons = 0, set()

    @hypothesis_settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis_given(st.lists(command_strategy(), min_size=10, max_size=40))
    def check(steps):
        clock = ManualClock()
        worker = manual_worker(clock, task_lease_s=10.0)
        epoch = worker.claim("a", 60.0).epoch
        for step in steps:
            if isinstance(step, float):
                clock.now_s += step
                epoch = worker.claim("a", 60.0).epoch
            else:
                reasons.update(answer.reason for answer in worker.commands(epoch, [step]))
        worker.advance()
        check_effects_within_capacity(worker.recorder.all())
        context.starts_count += len(worker.recorder.of(AttemptStarted))

    check()
    assert context.starts_count > 300, context.starts_count
    assert reasons == {"", "no_room", "duplicate", "unknown_attempt"}, reasons


@given("a worker on a manual clock with a task lease of 30 s")
def create_manual_worker(context):
    context.clock = ManualClock()
    context.worker = manual_worker(context.clock)
    context.epoch = context.worker.claim("a", 60.0).epoch


def start_attempt(context, attempt, run_s):
    command = StartAttempt(attempt, ResourceVector(100, 100), json.dumps({"run_s": run_s}))
    assert context.worker.commands(context.epoch, [command])[0].accepted
    context.started_s = context.clock.now_s


def pass_with_renewals(context, duration_s):
    end_s = context.clock.now_s + duration_s
    while context.clock.now_s < end_s:
        context.clock.now_s = min(end_s, context.clock.now_s + 1.0)
        context.worker.claim("a", 60.0)


def last_end(context):
    ended = context.worker.recorder.of(AttemptEnded)[-1]
    return ended.end, round(ended.time_s - context.started_s, 6)


@when("an attempt that takes 100 s starts")
def start_long_attempt(context):
    start_attempt(context, attempt_id(0), 100.0)


@when("31 s pass without a renewal")
def pass_without_renewal(context):
    context.clock.now_s += 31.0


@then("the attempt ended as lease_lapsed 30 s after its start")
def check_lapsed(context):
    context.worker.advance()
    assert last_end(context) == ("lease_lapsed", 30.0), last_end(context)


@then("it is listed until it is acknowledged")
def check_acknowledged(context):
    epoch = context.worker.claim("a", 60.0).epoch
    assert [row.attempt for row in context.worker.listing().ended] == [attempt_id(0)]
    answers = context.worker.commands(epoch, [AcknowledgeAttempt(attempt_id(0))])
    assert answers[0].accepted and context.worker.listing().ended == []


@when("an attempt that takes 10 s is throttled to half after 2 s")
def throttle_attempt(context):
    start_attempt(context, attempt_id(0), 10.0)
    pass_with_renewals(context, 2.0)
    context.worker.commands(context.epoch, [ThrottleAttempt(attempt_id(0), 50)])
    pass_with_renewals(context, 20.0)


@when("another attempt that takes 10 s is checkpointed after 4 s")
def checkpoint_attempt(context):
    start_attempt(context, attempt_id(1), 10.0)
    pass_with_renewals(context, 4.0)
    context.worker.commands(context.epoch, [CheckpointAttempt(attempt_id(1))])
    assert last_end(context) == ("checkpointed", 4.0)
    start_attempt(context, attempt_id(1, 2), 10.0)
    pass_with_renewals(context, 8.0)


@then("it ends {expected:g} s after its start")
@then("its next attempt ends {expected:g} s after its start")
def check_success_time(context, expected):
    assert last_end(context) == ("succeeded", expected), last_end(context)


@when("the log loses the answer to an append")
def lose_answer(context):
    context.platform.set_faults("log-centro", FaultSettings(lose_answer_p=1.0))
    try:
        context.caught = append(context, 0)
    except urllib3.exceptions.ProtocolError as error:
        context.caught = error
    context.platform.set_faults("log-centro")


@then("the caller saw a closed connection")
def check_closed(context):
    assert isinstance(context.caught, urllib3.exceptions.ProtocolError), context.caught


@then("the repeat of the append is answered with offset 0")
def check_repeat(context):
    assert append(context, 0).json() == {"first_offset": 0}


@then("the log holds the record once")
def check_record_once(context):
    assert [entry["sequence"] for entry in read_log(context).json()["entries"]] == [0]
    flags = [effect.duplicate for effect in context.platform.recorder.of(AppendDone)]
    assert flags == [False, True], flags


@given("a log that keeps 3 records")
def create_short_log(context):
    context.log = LogStandIn(LogSettings(retention_records=3), EffectsRecorder())


@when("5 records are appended")
def append_five(context):
    for sequence in range(5):
        context.log.append("jobs", "a", sequence, [b"x"])


@then("a read from offset 0 starts at offset 2")
def check_truncated(context):
    answer = context.log.read("jobs", 0, 10)
    assert [entry.offset for entry in answer.entries] == [2, 3, 4]
    assert (answer.first_available, answer.next_offset) == (2, 5)


@given("a log on a manual clock that accepts 10 appends per second")
def create_limited_log(context):
    context.clock = ManualClock()
    limits = LogSettings(appends_per_second=10)
    context.log = LogStandIn(limits, EffectsRecorder(), context.clock)
    context.sequence = 0


def count_accepted(context):
    answers = []
    for _ in range(15):
        context.sequence += 1
        answers.append(context.log.append("jobs", "a", context.sequence, [b"x"]))
    return sum(answer is not None for answer in answers)


@then("10 of 15 appends at one time are accepted")
def check_burst(context):
    assert count_accepted(context) == 10


@then("5 of 15 appends 0.5 s later are accepted")
def check_later_burst(context):
    context.clock.now_s += 0.5
    assert count_accepted(context) == 5


@when("the log goes silent under an open connection")
def go_silent(context):
    context.old_http = urllib3.PoolManager(retries=False, timeout=0.5)
    context.add_cleanup(context.old_http.clear)
    append(context, 0, context.old_http)
    context.platform.set_faults("log-centro", FaultSettings(silent=True))


@then("the open connection gets no answer and no effect")
def check_silent(context):
    try:
        answer = append(context, 1, context.old_http)
    except urllib3.exceptions.ReadTimeoutError:
        answer = None
    assert answer is None
    assert len(context.platform.recorder.of(AppendDone)) == 1


@then("a new connection to the log works")
def check_new_connection(context):
    assert append(context, 1, context.old_http).json() == {"first_offset": 1}


@when("the log cuts its answers")
def cut_answers(context):
    append(context, 0)
    context.platform.set_faults("log-centro", FaultSettings(cut_answer_p=1.0))


@then("a read of the log ends early")
def check_cut(context):
    try:
        answer = read_log(context)
    except urllib3.exceptions.ProtocolError as error:
        assert "IncompleteRead" in repr(error), error
    else:
        raise AssertionError(f"a whole answer arrived: {answer.data}")


@when("5 requests arrive at the target at once")
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


@when("the target is killed while a request runs")
def kill_target(context):
    context.boot_id = context.platform.targets["centro-target-1"].status().boot_id
    context.caught = None

    def send():
        try:
            context.caught = execute(context, "r1", context.epoch, 3000)
        except urllib3.exceptions.HTTPError as error:
            context.caught = error

    thread = threading.Thread(target=send)
    thread.start()
    assert wait_until(lambda: context.platform.recorder.of(RequestStarted), 5.0)
    context.platform.kill_vm("centro-target-1")
    thread.join(10.0)


@then("the caller of the request gets no answer")
def check_no_answer(context):
    assert isinstance(context.caught, urllib3.exceptions.HTTPError), context.caught


@then("the effects show an execution that did not complete")
def check_not_completed(context):
    assert [effect.completed for effect in context.platform.recorder.of(RequestEnded)] == [False]


@then("the restarted target has another boot id and the same epoch")
def check_restarted(context):
    context.platform.restart_vm("centro-target-1")
    address = context.platform.servers["centro-target-1"].address
    status = context.http.request("GET", f"http://{address}/v1/status").json()
    assert status["boot_id"] != context.boot_id and status["epoch"] == context.epoch, status


@given("a VM list on a manual clock with a lag of 2 s")
def create_vm_list(context):
    context.clock = ManualClock()
    context.vm_list = VmListStandIn(2.0, EffectsRecorder(), context.clock)
    context.vm_list.add(worker_vm())
    context.clock.now_s += 10.0


@when("a VM is marked as leaving")
def mark_leaving(context):
    context.vm_list.mark_leaving("w1")
    context.marked_s = context.clock.now_s


@then("the list shows it as {state} {after:g} s later")
def check_shown_state(context, state, after):
    context.clock.now_s = context.marked_s + after
    expected = attrs.evolve(worker_vm(), state=VmState(state))
    assert context.vm_list.shown() == [expected], context.vm_list.shown()


def start_command(context, topology):
    folder = pathlib.Path(tempfile.mkdtemp(prefix="standin-"))
    (folder / "topology.toml").write_text(topology)
    context.effects_path = folder / "effects.jsonl"
    options = ["--topology", str(folder / "topology.toml"), "--effects", str(context.effects_path)]
    context.process = subprocess.Popen(
        [sys.executable, "-m", "fireflywharf_testing.main", *options],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(context.process.kill)


@when("the stand-in command runs a topology with 2 workers")
def run_command(context):
    start_command(
        context,
        '[[domains]]\nname = "centro"\nregion = "centro"\n[[domains.workers]]\ncount = 2\n',
    )


@then("it prints the addresses and its log answers")
def check_command_log(context):
    addresses = json.loads(context.process.stdout.readline())
    assert sorted(addresses["workers"]) == ["centro-worker-1", "centro-worker-2"]
    url = f"http://{addresses['log']['centro']}/v1/streams/jobs/append"
    body = {"writer": "a", "sequence": 0, "records_base64": ["AAEC"]}
    answer = urllib3.request("POST", url, json=body, retries=False, timeout=5.0)
    assert answer.json() == {"first_offset": 0}


@then("it exits with status 0 after SIGTERM")
def check_command_exit(context):
    context.process.send_signal(signal.SIGTERM)
    _, errors = context.process.communicate(timeout=20)
    assert context.process.returncode == 0 and errors == "", errors


@then("its effects file holds the append")
def check_effects_file(context):
    lines = context.effects_path.read_text().splitlines()
    appends = [r for r in map(record_from_json, lines) if isinstance(r, AppendDone)]
    assert [record.writer for record in appends] == ["a"]


@when("the stand-in command runs a topology with four errors")
def run_invalid_command(context):
    start_command(
        context,
        'host = "8.8.8.8"\ntask_lease = 3\n[[domains]]\nname = "centro"\n'
        "[[domains.workers]]\ncount = 0\n",
    )


@then('it exits with status 21 and names "{fields}"')
def check_topology_errors(context, fields):
    _, errors = context.process.communicate(timeout=20)
    named = sorted(line.split(": ")[1] for line in errors.splitlines())
    assert context.process.returncode == 21 and named == fields.split(", "), errors
