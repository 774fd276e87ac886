"""Steps for the mesh."""

import collections
import random
import threading
import time

import pynng
from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st

from fireflywharf_core.messages import Acknowledged, Heartbeat, JobAnswer, JobQuery
from fireflywharf_daemon.mesh import CallRefused, Mesh, NoAnswer, Unreachable
from fireflywharf_testing import reserve_port, wait_until

QUEUE_MAX = 100


class RecordingObserver:
    def __init__(self):
        self.sent = collections.Counter()
        self.dropped = collections.Counter()

    def mesh_sent(self, address, reason, size_bytes):
        self.sent[reason] += size_bytes

    def mesh_received(self, address, reason, size_bytes):
        pass

    def mesh_dropped(self, address, reason):
        self.dropped[reason] += 1


class Peer:
    """A mesh whose call handler sleeps (`sleep:SECONDS`), fails (`fail`) or answers by job id."""

    def __init__(self, name, port, incarnation_number=1):
        self.name = name
        self.address = f"127.0.0.1:{port}"
        self.messages = []
        self.handled = []
        self.observer = RecordingObserver()
        self.mesh = Mesh(
            self.address,
            f"{name}.{incarnation_number}",
            lambda sender, message: self.messages.append((sender, message)),
            self.on_call,
            domain_peers=frozenset(f"127.0.0.1:{other}" for other in range(port - 5, port + 5)),
            queue_max_messages=QUEUE_MAX,
            observer=self.observer,
        )
        self.mesh.start()

    def on_call(self, call):
        job_id = call.message.job_id
        self.handled.append(job_id)
        if job_id.startswith("sleep"):
            time.sleep(float(job_id.split(":")[1]))
        if job_id == "fail":
            raise RuntimeError("failure requested by the test")
        return JobAnswer(job_id=job_id, code=0, state=self.mesh.incarnation)


def build_heartbeat(sequence):
    return Heartbeat(incarnation="a.1", vm_name="a", domain="d", sequence=sequence)


def call_and_measure(context, peer, address, job_id, budget_ms):
    started_s = time.monotonic()
    context.mesh_outcome = peer.mesh.call(address, JobQuery(job_id), budget_ms)
    context.mesh_elapsed_s = time.monotonic() - started_s


def start_calls(peer, address, job_ids, budget_ms):
    """Start a call per job id; return a dict that collects (time, outcome) lists by job id."""
    outcomes = {}
    for job_id in job_ids:
        peer.mesh.start_call(
            address,
            JobQuery(job_id),
            budget_ms,
            lambda outcome, job_id=job_id: outcomes.setdefault(job_id, []).append(
                (time.monotonic(), outcome)
            ),
        )
    return outcomes


@given('two mesh peers "a" and "b"')
def start_peers(context):
    port_a, port_b = reserve_port("127.0.0.1"), reserve_port("127.0.0.1")
    context.peers = {"a": Peer("a", port_a), "b": Peer("b", port_b)}
    context.add_cleanup(lambda: [peer.mesh.close() for peer in context.peers.values()])


@when('"a" sends a message and calls "b" {count:d} times concurrently')
def send_and_call(context, count):
    a, b = context.peers["a"], context.peers["b"]
    assert a.mesh.send(b.address, Acknowledged("hello"))
    context.mesh_outcomes = start_calls(a, b.address, [f"j{n}" for n in range(count)], 5000)
    assert wait_until(lambda: len(context.mesh_outcomes) == count and b.messages, 5)


@then('"b" received the message and every call received its own answer')
def check_answers(context):
    sender, message = context.peers["b"].messages[0]
    assert (sender.incarnation, sender.address) == ("a.1", context.peers["a"].address)
    assert message == Acknowledged("hello")
    for job_id, [(_, outcome)] in context.mesh_outcomes.items():
        assert outcome.job_id == job_id, outcome


@when('"a" makes a call that takes {time_s:g} s and {count:d} short calls to "b"')
def call_slow_and_short(context, time_s, count):
    a, b = context.peers["a"], context.peers["b"]
    ids = [f"sleep:{time_s}", *(f"short{n}" for n in range(count))]
    context.mesh_outcomes = start_calls(a, b.address, ids, 5000)
    assert wait_until(lambda: len(context.mesh_outcomes) == count + 1, 5)


@then("the short calls were answered before the slow one")
def check_short_first(context):
    times = {job_id: rows[0][0] for job_id, rows in context.mesh_outcomes.items()}
    slow_s = max(when_s for job_id, when_s in times.items() if job_id.startswith("sleep"))
    assert all(when_s < slow_s for job_id, when_s in times.items() if job_id.startswith("short"))


@given('"a" has called "b"')
def call_once(context):
    a, b = context.peers["a"], context.peers["b"]
    assert isinstance(a.mesh.call(b.address, JobQuery("x"), 2000), JobAnswer)


def replace_peer(context, incarnation_number):
    old = context.peers["b"]
    old.mesh.close()
    context.peers["b"] = Peer("b", int(old.address.split(":")[1]), incarnation_number)


@when('"b" is replaced by a new incarnation at the same address')
def replace_b(context):
    replace_peer(context, 2)


@then('"a" reaches the new incarnation within {limit_s:g} s')
def check_new_incarnation(context, limit_s):
    a, b = context.peers["a"], context.peers["b"]

    def is_reachable():
        outcome = a.mesh.call(b.address, JobQuery("x"), 500)
        return isinstance(outcome, JobAnswer) and outcome.state == "b.2"

    assert wait_until(is_reachable, limit_s)


@when('"b" is replaced {count:d} times while "a" sends continuously')
def replace_under_load(context, count):
    a, address = context.peers["a"], context.peers["b"].address
    stopping = threading.Event()

    def send_continuously():
        while not stopping.is_set():
            a.mesh.send(address, Acknowledged("x"))

    sender = threading.Thread(target=send_continuously)
    sender.start()
    try:
        for incarnation_number in range(count):
            replace_peer(context, incarnation_number + 2)
            time.sleep(0.03)
    finally:
        stopping.set()
        sender.join()


@then('"a" reaches "b" again within {limit_s:g} s')
def check_reaches_again(context, limit_s):
    a, b = context.peers["a"], context.peers["b"]

    def is_reachable():
        return isinstance(a.mesh.call(b.address, JobQuery("x"), 500), JobAnswer)

    assert wait_until(is_reachable, limit_s)


@when('"a" calls an address without a listener with a budget of {budget_ms:d} ms')
def call_without_listener(context, budget_ms):
    context.mesh_unused_address = f"127.0.0.1:{reserve_port('127.0.0.1')}"
    call_and_measure(context, context.peers["a"], context.mesh_unused_address, "x", budget_ms)


@then('the mesh outcome is "{name}" within {limit_s:g} s')
def check_outcome(context, name, limit_s):
    assert type(context.mesh_outcome).__name__ == name, context.mesh_outcome
    assert context.mesh_elapsed_s < limit_s, context.mesh_elapsed_s


@then("a second call fails within {limit_s:g} s")
def check_second_call(context, limit_s):
    call_and_measure(context, context.peers["a"], context.mesh_unused_address, "x", 1000)
    check_outcome(context, "Unreachable", limit_s)


@when('"b" is closed while it handles a call of "a"')
def close_while_handling(context):
    b = context.peers["b"]

    def close_b():
        wait_until(lambda: b.handled, 2)
        b.mesh.close()

    threading.Thread(target=close_b).start()
    call_and_measure(context, context.peers["a"], b.address, "sleep:1.5", 5000)


@when('"a" makes a call that takes {time_s:g} s with a budget of {budget_ms:d} ms')
def call_with_budget(context, time_s, budget_ms):
    b = context.peers["b"]
    call_once(context)
    call_and_measure(context, context.peers["a"], b.address, f"sleep:{time_s}", budget_ms)


@when('"a" makes a call whose handler fails')
def call_failing(context):
    call_once(context)
    call_and_measure(context, context.peers["a"], context.peers["b"].address, "fail", 2000)


@when('"a" makes a call that takes {time_s:g} s and "b" drains for up to {limit_s:g} s meanwhile')
def call_and_drain(context, time_s, limit_s):
    a, b = context.peers["a"], context.peers["b"]
    job_id = f"sleep:{time_s}"
    context.mesh_outcomes = start_calls(a, b.address, [job_id], 5000)
    assert wait_until(lambda: b.handled, 2)
    context.mesh_drained = b.mesh.drain(limit_s)
    wait_until(lambda: context.mesh_outcomes, 1)


@then("the drain was complete and the accepted call was answered")
def check_drained(context):
    [[(_, outcome)]] = context.mesh_outcomes.values()
    assert context.mesh_drained and isinstance(outcome, JobAnswer), outcome


@then('a new call of "a" to "b" is refused')
def check_refused(context):
    outcome = context.peers["a"].mesh.call(context.peers["b"].address, JobQuery("x"), 1000)
    assert isinstance(outcome, CallRefused), outcome


@given("a peer that accepts connections and never reads")
def start_silent_peer(context):
    port = reserve_port("127.0.0.1")
    silent = pynng.Pair1(polyamorous=True, recv_buffer_size=1)
    context.silent_connections = []
    silent.add_post_pipe_connect_cb(lambda pipe: context.silent_connections.append(pipe.id))
    silent.listen(f"tcp://127.0.0.1:{port}")
    context.silent_address = f"127.0.0.1:{port}"
    context.add_cleanup(silent.close)


@when(
    '"a" sends {heartbeats_count:d} heartbeats and {messages:d} messages of {size:d} bytes '
    "to the silent peer"
)
def send_to_silent(context, heartbeats_count, messages, size):
    mesh = context.peers["a"].mesh
    mesh.send(context.silent_address, build_heartbeat(0))
    assert wait_until(lambda: context.silent_connections, 2)
    context.mesh_threads_before = threading.active_count()
    context.mesh_slowest_s = 0.0
    context.mesh_refused = 0
    for number in range(heartbeats_count + messages):
        message = build_heartbeat(number) if number < heartbeats_count else Acknowledged("x" * size)
        started_s = time.monotonic()
        context.mesh_refused += not mesh.send(context.silent_address, message)
        context.mesh_slowest_s = max(context.mesh_slowest_s, time.monotonic() - started_s)


@when('"a" starts {count:d} calls to the silent peer with a budget of {budget_ms:d} ms')
def call_silent(context, count, budget_ms):
    ids = [f"c{n}" for n in range(count)]
    a = context.peers["a"]
    context.mesh_outcomes = start_calls(a, context.silent_address, ids, budget_ms)
    context.mesh_threads_after = threading.active_count()
    context.mesh_calls_count = count


@then("each send took less than {limit_s:g} s and no thread was added")
def check_sends_do_not_block(context, limit_s):
    assert context.mesh_slowest_s < limit_s, context.mesh_slowest_s
    assert context.mesh_threads_after <= context.mesh_threads_before


@then("the queue for the silent peer holds at most {limit:d} messages and drops are counted")
def check_bounded(context, limit):
    dropped = context.peers["a"].observer.dropped
    assert limit == QUEUE_MAX
    assert context.mesh_refused >= 300 - limit - 60, context.mesh_refused
    assert dropped["Acknowledged"] == context.mesh_refused and dropped["Heartbeat"] > 0, dropped


@then("all calls to the silent peer have failed")
def check_silent_calls(context):
    assert wait_until(lambda: len(context.mesh_outcomes) == context.mesh_calls_count, 2)
    for [(_, outcome)] in context.mesh_outcomes.values():
        assert isinstance(outcome, Unreachable | NoAnswer), outcome


@then('"a" reaches "b" within {limit_s:g} s')
def check_reaches(context, limit_s):
    call_and_measure(
        context, context.peers["a"], context.peers["b"].address, "x", int(limit_s * 1000)
    )
    assert isinstance(context.mesh_outcome, JobAnswer), context.mesh_outcome


@when('"a" sends heartbeats to the silent peer for {time_s:g} s')
def send_heartbeats(context, time_s):
    end_s = time.monotonic() + time_s
    while time.monotonic() < end_s:
        context.peers["a"].mesh.send(context.silent_address, build_heartbeat(1))
        time.sleep(0.1)


@then("the silent peer has seen a second connection")
def check_second_connection(context):
    assert wait_until(lambda: len(set(context.silent_connections)) >= 2, 1)


@when('random frames and frames of a newer version are sent to "a"')
def send_damaged(context):
    generator = random.Random(5)
    with pynng.Pair1(polyamorous=False) as raw:
        raw.dial(f"tcp://{context.peers['a'].address}", block=True)
        for _ in range(100):
            raw.send(generator.randbytes(generator.randint(0, 60)))
        newer = b"\x94\x00\xa3n.1\xae127.0.0.1:1234\xc4\x08\x92\xa5Newer\x80"
        raw.send(newer)
        raw.send(b"\x94\x4d" + newer[2:])
        time.sleep(0.3)


@then('"a" has counted them and still answers')
def check_counted(context):
    dropped = context.peers["a"].observer.dropped
    assert dropped["undecodable"] == 100, dropped
    assert dropped["unknown_type"] == 1 and dropped["unknown_kind"] == 1, dropped
    b = context.peers["b"]
    assert isinstance(b.mesh.call(context.peers["a"].address, JobQuery("x"), 2000), JobAnswer)


@when("random sequences of calls, replacements and pauses are run")
def run_sequences(context):
    context.mesh_wrong = []
    life = iter(range(2, 10_000))
    numbers = iter(range(10_000_000))
    step = st.one_of(
        st.tuples(st.just("call"), st.integers(1, 8), st.sampled_from([20, 150, 400])),
        st.tuples(st.just("replace")),
        st.tuples(st.just("pause"), st.floats(0, 0.05)),
    )

    @settings(max_examples=12, derandomize=True, deadline=None, database=None)
    @given_values(st.lists(step, min_size=3, max_size=10))
    def run(steps):
        peers = [context.peers["b"]]
        outcomes = {}
        count = 0
        for kind, *values in steps:
            if kind == "call":
                ids = [f"sleep:0.00{next(numbers):07d}" for _ in range(values[0])]
                count += len(ids)
                address = context.peers["b"].address
                started = start_calls(context.peers["a"], address, ids, values[1])
                outcomes.update(dict.fromkeys(ids, started))
            elif kind == "replace":
                replace_peer(context, next(life))
                peers.append(context.peers["b"])
            else:
                time.sleep(values[0])
        ended = wait_until(lambda: all(job_id in outcomes[job_id] for job_id in outcomes), 2)
        handled = {job_id for peer in peers for job_id in peer.handled}
        for job_id, rows in outcomes.items():
            found = rows.get(job_id, [])
            not_sent = [o for _, o in found if isinstance(o, Unreachable | CallRefused)]
            if not ended or len(found) != 1 or (not_sent and job_id in handled):
                context.mesh_wrong.append((job_id, found, job_id in handled))

    run()


@then("each call had one outcome and no call reported as not sent was handled")
def check_sequences(context):
    assert not context.mesh_wrong, context.mesh_wrong[:5]
