"""Steps for retries, forwards and leases of the router."""

from behave import given, then, when
from routing_fakes import SERVICE
from routing_helpers import (
    grant_target_lease,
    make_request,
    make_router,
    make_success,
    outcomes_by_request,
    select_sends,
)

from fireflywharf_core.messages import ServiceSlots
from fireflywharf_core.results import NotRun
from fireflywharf_core.routing import (
    ForwardAnswered,
    ForwardToPeer,
    PeerSlotsReported,
    SendRefusalReason,
    SendRefused,
)


@given("its retry budget holds 2 retries")
def earn_budget(context):
    for number in range(20):
        context.router.observe(make_request(f"earn-{number}"), 0.0)
        [send] = select_sends(context.router.decide(0.0))
        context.router.observe(make_success(send.send_id), 0.0)
    context.router.decide(0.0)


@when("a forwarded idempotent request is refused by the target")
def refuse_forwarded(context):
    context.router.observe(make_request(1, forwarded=True), 1.0)
    [send] = select_sends(context.router.decide(1.0))
    context.router.observe(SendRefused(send.send_id, SendRefusalReason.NOT_RUN), 1.1)
    context.actions = context.router.decide(1.1)


@then('the peer gets "not run" and nothing is sent again')
def check_not_retried(context):
    assert isinstance(outcomes_by_request(context.actions)["r1"], NotRun)
    assert not select_sends(context.actions)


@when("a forwarded request that may run once arrives again while it runs and after its answer")
def repeat_forward(context):
    router, arriving = context.router, make_request(1, idempotent=False, forwarded=True)
    router.observe(arriving, 1.0)
    [send] = select_sends(router.decide(1.0))
    router.observe(arriving, 1.1)
    context.repeated = select_sends(router.decide(1.1))
    router.observe(make_success(send.send_id), 1.2)
    router.decide(1.2)
    router.observe(arriving, 1.3)
    context.repeated += select_sends(router.decide(1.3))


@when("a forwarded idempotent request arrives again while it runs")
def repeat_idempotent_forward(context):
    for now_s in (2.0, 2.1):
        context.router.observe(make_request(2, forwarded=True), now_s)
        context.repeated += select_sends(context.router.decide(now_s))
    assert context.repeated.pop(0).request_id == "r2"


@then("each request was sent once")
def check_sent_once(context):
    assert not context.repeated


@when("a request arrives after the lease has lapsed without a notification")
def arrive_after_lapse(context):
    context.router.observe(make_request(1), 1000.0)


@then("nothing is sent, and the request is sent after a renewal")
def check_lapsed(context):
    assert not select_sends(context.router.decide(1000.0))
    grant_target_lease(context.router, "target-1", 2, now_s=1001.0, epoch=2)
    assert [send.epoch for send in select_sends(context.router.decide(1001.0))] == [2]


@given("two entry VMs of which one holds all targets")
def make_two_entry_vms(context):
    context.first_router, context.second_router = make_router(), make_router(
        incarnation="entry-2.b2"
    )
    for number in range(4):
        grant_target_lease(context.second_router, f"target-{number}", 8)


@when("1000 idempotent requests arrive at the other and every send fails")
def fail_everything(context):
    context.sends_count = 0
    for number in range(1000):
        now_s = number * 0.01
        slots = (ServiceSlots(SERVICE, 8, 32),)
        context.first_router.observe(
            PeerSlotsReported("entry-2.b2", "centro-1", "centro", slots), now_s
        )
        context.first_router.observe(make_request(number), now_s)
        fail_once(context, now_s)
    assert context.first_router.unfinished_count == 0


def fail_once(context, now_s):
    """Run one request and its retries through both entry VMs; each send is refused."""
    while True:
        forwards = [a for a in context.first_router.decide(now_s) if isinstance(a, ForwardToPeer)]
        if not forwards:
            return
        for forward in forwards:
            name = forward.send_id
            context.second_router.observe(make_request(name[1:], forwarded=True), now_s)
            [send] = select_sends(context.second_router.decide(now_s))
            context.sends_count += 1
            context.second_router.observe(
                SendRefused(send.send_id, SendRefusalReason.NOT_RUN), now_s
            )
            answered = outcomes_by_request(context.second_router.decide(now_s))[name]
            context.first_router.observe(ForwardAnswered(forward.send_id, answered), now_s)


@then("the targets got at most {count:d} sends")
def check_amplification(context, count):
    assert 1000 < context.sends_count <= count, context.sends_count
