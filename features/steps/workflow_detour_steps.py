"""Steps for the choice of peers and for calls that are forwarded to them."""

import asyncio
import time

import msgspec
from aiohttp import web
from behave import given, then, when
from prometheus_client import CollectorRegistry

from fireflywharf_core.workflows import DetourPeers, PeerOutcome, VmPresent, taken_calls_max
from fireflywharf_daemon.workflows import (
    CallerRequest,
    CallForwarder,
    OutageResponse,
    TakenCalls,
    WorkflowMetrics,
)
from fireflywharf_daemon.workflows._forwarding import CallAnswer, CallMessage
from fireflywharf_testing import reserve_port

JOB_PATH = "/jobs/00000000000000a1"
OWN_S = 0.4
"""Time after which the own attempt is uncertain."""


def make_vm(name, millicores=1000, address=""):
    return VmPresent(
        vm=name,
        incarnation=f"{name}#1",
        address=address,
        domain=name[0],
        processors_millicores=millicores,
        link_mbps=100.0,
    )


@given('peers "{peers}" of VM "{own}"')
def create_peers(context, peers, own):
    rows = [row.split(":") for row in [*peers.split(), f"{own}:1000"]]
    context.vms = {name: make_vm(name, int(size)) for name, size in rows}
    context.peers = DetourPeers(own)


def choose(context, now_s, count=100):
    draws = [(index + 0.5) / count for index in range(count)]
    return [context.peers.choose(context.vms, (), now_s, draw) for draw in draws]


@when('{count:d} calls of VM "{own}" are forwarded')
def forward_many(context, count, own):
    context.chosen = choose(context, 10.0, count)


@then('"{name}" got between {low:d} and {high:d} of them and "{other}" none')
def check_shares(context, name, low, high, other):
    assert low <= context.chosen.count(name) <= high, context.chosen.count(name)
    assert other not in context.chosen


@when('peer "{name}" has given the outcome "{outcome}" to a call')
def observe_outcome(context, name, outcome):
    context.peers.observe(name, PeerOutcome(outcome), 10.0)


@then('VM "{own}" forwards to "{first}" after {first_s:g} s and to "{later}" after {later_s:g} s')
def check_choice(context, own, first, first_s, later, later_s):
    assert set(choose(context, 10.0 + first_s)) == set(first.split())
    assert set(choose(context, 10.0 + later_s)) == set(later.split())


@then('VM "{own}" can forward calls')
def check_can_forward(context, own):
    assert context.peers.can_forward(context.vms, 10.1)


@when('no peer of VM "{own}" could take a call')
def observe_undone(context, own):
    context.peers.observe_undone(10.0)


@when('no peer of VM "{own}" could take a call and then one has answered a call')
def observe_recovery(context, own):
    context.peers.observe_undone(10.0)
    context.peers.observe("a1", PeerOutcome.ANSWERED, 10.1)


@then('VM "{own}" cannot forward calls for {low_s:g} s and can forward them after {high_s:g} s')
def check_pause(context, own, low_s, high_s):
    assert not context.peers.can_forward(context.vms, 10.0 + low_s)
    assert context.peers.can_forward(context.vms, 10.0 + high_s)


@then("a VM with {millicores:d} millicores takes {count:d} calls of others at the same time")
def check_taken_max(context, millicores, count):
    assert taken_calls_max(millicores) == count, taken_calls_max(millicores)


def make_caller_request(method, read_body=None, seconds=2.0):
    async def read():
        return b"{}"

    headers = {"Host": "queue.example", "Authorization": "Bearer key"}
    return CallerRequest(method, JOB_PATH, headers, time.monotonic() + seconds, read_body or read)


@given("a VM whose own attempt at a submission is {own}")
@given("a VM whose own attempt at a query is {own}")
def set_own_outcome(context, own):
    context.own, context.answering = own, False


@given("a VM whose log answers and whose own attempt at a submission is {own}")
def set_healthy(context, own):
    context.own, context.answering = own, True


@given("peers that {peers}")
def set_peers(context, peers):
    context.behaviours = peers.split(", ")


class ScriptedPeer:
    """A peer that behaves in one way."""

    def __init__(self, behaviour):
        self.behaviour = behaviour
        self.calls = []
        self.port = reserve_port("127.0.0.1")

    async def open(self):
        """Listen, unless the peer refuses connections."""
        self.runner = web.ServerRunner(web.Server(self.serve, access_log=None))
        await self.runner.setup()
        if self.behaviour != "refuse connections":
            await web.TCPSite(self.runner, "127.0.0.1", self.port).start()

    async def serve(self, request):
        """Answer a forwarded call."""
        self.calls.append(msgspec.msgpack.decode(await request.read(), type=CallMessage))
        match self.behaviour:
            case "have no store":
                return web.Response(status=503)
            case "are busy":
                return web.Response(status=429)
            case "accept slowly":
                await asyncio.sleep(2 * OWN_S)
            case "die":
                request.transport.abort()
        status = 409 if self.behaviour == "reject" else 200
        answer = CallAnswer(status, {"Content-Type": "application/json"}, b"{}")
        return web.Response(body=msgspec.msgpack.encode(answer))


async def serve_own(own):
    """Return the answer of the VM itself."""
    match own:
        case "rejected":
            return OutageResponse(status=503, headers={"Retry-After": "1"})
        case "uncertain":
            await asyncio.sleep(OWN_S)
            return web.Response(status=504)
        case "denied":
            return web.Response(status=401)
        case "denied later":
            await asyncio.sleep(OWN_S)
            return web.Response(status=401)
    await asyncio.sleep(OWN_S)
    return web.Response(status=200)


async def forward(context, method):
    peers = [ScriptedPeer(behaviour) for behaviour in context.behaviours]
    for peer in peers:
        await peer.open()
    # The peers are chosen in the order of the scenario, as each of the others counts as tried.
    rows = [(f"p{index}", peer) for index, peer in enumerate(peers)]
    vms = {
        name: make_vm(name, 10**6 ** (len(rows) - int(name[1:])), f"127.0.0.1:{peer.port}")
        for name, peer in rows
    }
    forwarder = CallForwarder(
        "a0", lambda: vms, lambda: context.answering, WorkflowMetrics(CollectorRegistry())
    )
    await forwarder.open()
    call = make_caller_request(method)
    context.response = await forwarder.serve(call, lambda: serve_own(context.own))
    await forwarder.close()
    for peer in peers:
        await peer.runner.cleanup()
    context.calls = [call for peer in peers for call in peer.calls]


@when("a caller submits a job to this VM")
def submit_to_vm(context):
    asyncio.run(forward(context, "POST"))


@when("a caller queries a job at this VM")
def query_at_vm(context):
    asyncio.run(forward(context, "GET"))


@then("the caller gets {status:d} and peers got {count:d} calls")
def check_answer(context, status, count):
    assert context.response.status == status, context.response.status
    assert len(context.calls) == count, context.calls
    for call in context.calls:
        assert call.headers["Authorization"] == "Bearer key" and "key" not in repr(call), call
        assert 0 < call.remaining_ms < 2000, call.remaining_ms


@given("a VM that takes {count:d} calls of others at the same time")
def create_taker(context, count):
    context.taken = TakenCalls(count, lambda: True, WorkflowMetrics(CollectorRegistry()))


@given("a VM that takes {count:d} calls of others at the same time but cannot use the log")
def create_cut_off_taker(context, count):
    context.taken = TakenCalls(count, lambda: False, WorkflowMetrics(CollectorRegistry()))


async def serve_taken(context, count, remaining_ms):
    context.handled_count = 0

    async def handle(request):
        context.handled_count += 1
        await asyncio.sleep(0.1)
        return web.Response(status=200)

    context.taken.handler = handle
    message = CallMessage("POST", JOB_PATH, {}, b"", remaining_ms)
    return await asyncio.gather(*(context.taken.serve(message) for _ in range(count)))


@when("{count:d} calls of others arrive at once")
def take_calls(context, count):
    started_s = time.monotonic()
    context.answers = asyncio.run(serve_taken(context, count, 1000))
    context.took_s = time.monotonic() - started_s


@then("both are told within {limit_s:g} s that it has no store, and none was handled")
def check_cut_off(context, limit_s):
    assert [answer.status for answer in context.answers] == [503, 503], context.answers
    assert context.handled_count == 0 and context.took_s < limit_s, context.took_s


@then("{answered:d} of them are answered and {busy:d} are told that it is busy")
def check_taken(context, answered, busy):
    statuses = [answer.status for answer in context.answers]
    assert (statuses.count(200), statuses.count(429)) == (answered, busy), statuses


@when("a call arrives with less remaining time than it takes")
def take_late_call(context):
    (context.answer,) = asyncio.run(serve_taken(context, 1, 50))


@then("the peer is told that its outcome is unknown")
def check_late(context):
    assert msgspec.msgpack.decode(context.answer.body, type=CallAnswer).status == 504
