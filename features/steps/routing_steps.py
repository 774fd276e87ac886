"""Steps for slots, sends and answers of the router."""

from behave import given, then, when
from hypothesis import HealthCheck, Phase, settings
from hypothesis import given as given_values
from hypothesis import strategies as st
from routing_fakes import make_target_vm
from routing_helpers import (
    grant_target_lease,
    make_request,
    make_router,
    make_status,
    make_success,
    outcomes_by_request,
    select_sends,
)
from routing_world import RoutingWorld

from fireflywharf_core.platform import TargetStatus, VmInfo, VmState
from fireflywharf_core.results import Completed, NotRun, OutcomeUnknown, ResultCode
from fireflywharf_core.routing import (
    Answer,
    DrainStarted,
    ForwardAnswered,
    PeerSlotsReported,
    PollTarget,
    SendFailed,
    SendSucceeded,
    TargetLeaseGranted,
    TargetLeaving,
    TargetListed,
    TargetStatusReceived,
)

OPERATIONS = {
    "arrive": 6,
    "deliver": 8,
    "finish_request": 4,
    "cut_connection": 2,
    "pass_time": 3,
    "claim": 5,
    "lose_lease": 1,
    "reboot": 1,
    "announce_leaving": 1,
    "report_slots": 2,
    "read_log": 3,
    "switch_log": 1,
    "replace_vm": 1,
    "disconnect_caller": 1,
    "start_draining": 1,
}
NAMES = [name for name, weight in OPERATIONS.items() for _ in range(weight)]


@when("random sequences of 15 kinds of events run against in-memory targets")
def run_sequences(context):
    context.starts_count = 0
    step = st.tuples(st.sampled_from(NAMES), st.integers(0, 1_000_000))

    @settings(
        max_examples=400,
        derandomize=True,
        deadline=None,
        database=None,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    @given_values(st.lists(step, min_size=40, max_size=150))
    def check(steps):
        world = RoutingWorld()
        world.run([("claim", 4), ("claim", 7), *steps])
        context.starts_count += sum(map(len, world.starts.values()))

    check()


@then("no sequence violates a guarantee")
def check_sequences_did_work(context):
    assert context.starts_count > 500, f"only {context.starts_count} requests ran"


@given("a router that holds a target with {count:d} slot")
@given("a router that holds a target with {count:d} slots")
def hold_one_target(context, count):
    context.router = make_router()
    grant_target_lease(context.router, "target-1", count)


@when("a request is sent, the entry VM pauses beyond its lease and another VM claims the target")
def pause_beyond_lease(context):
    world = RoutingWorld()
    world.claim(4)
    world.arrive(8)
    world.execute_actions()
    assert len(world.in_flight) == 1
    world.now_s += 6.0
    assert world.targets[0].claim("entry-2.2", world.now_s)
    context.world = world


@then("the target refuses the stale epoch and the request is answered as not run")
def check_stale_epoch(context):
    world = context.world
    world.end_all_requests()
    assert not world.starts
    [outcome] = world.answers["entry-1.1", "r0"]
    assert isinstance(outcome, NotRun), outcome


@when("its running request fails after bytes were sent and another request arrives")
def fail_running(context):
    router = context.router
    router.observe(make_request(1), 1.0)
    [send] = select_sends(router.decide(1.0))
    router.observe(SendFailed(send.send_id, any_bytes_sent=True), 2.0)
    router.observe(make_request(2), 2.0)
    assert not select_sends(router.decide(2.0))
    context.send_id = send.send_id


@then("the slot is released only by a status that was requested after the failure")
def check_slot_freed(context):
    router = context.router
    assert PollTarget("target-1") in router.decide(2.3)
    router.observe(TargetStatusReceived("target-1", make_status(context.send_id), 2.6), 2.7)
    assert not select_sends(router.decide(2.7))
    router.observe(TargetStatusReceived("target-1", make_status(), 2.9), 3.0)
    assert [send.request_id for send in select_sends(router.decide(3.0))] == ["r2"]


@when("a status that was requested before the send arrives after the failure of the send")
def deliver_late_status(context):
    router = context.router
    router.observe(make_request(1), 1.0)
    [send] = select_sends(router.decide(1.0))
    router.observe(SendFailed(send.send_id, any_bytes_sent=True), 1.1)
    router.observe(TargetStatusReceived("target-1", make_status(), 0.9), 5.0)
    router.observe(make_request(2), 5.0)


@then("the slot is still occupied")
def check_still_taken(context):
    assert not select_sends(context.router.decide(5.0))


@when("a renewal lists a late request before a status that was requested earlier arrives")
def renewal_overtakes_status(context):
    router = context.router
    router.observe(make_request(1), 1.0)
    [send] = select_sends(router.decide(1.0))
    router.observe(SendFailed(send.send_id, any_bytes_sent=True), 1.0)
    grant_target_lease(router, "target-1", 1, now_s=2.1, in_progress=[send.send_id])
    router.observe(TargetStatusReceived("target-1", make_status(), 2.0), 2.2)
    router.observe(make_request(2), 2.2)


@then("the slot stays occupied until a later status no longer lists the request")
def check_overtaken(context):
    router = context.router
    assert not select_sends(router.decide(2.2))
    router.observe(TargetStatusReceived("target-1", make_status(), 2.3), 2.4)
    assert [send.request_id for send in select_sends(router.decide(2.4))] == ["r2"]


@given("a router that claimed a target whose 2 slots still run requests of another holder")
def claim_with_running(context):
    context.router = make_router()
    grant_target_lease(context.router, "target-1", 2, in_progress=["old-1", "old-2"])


@then("it sends nothing until a status no longer lists them")
def check_inherited(context):
    router = context.router
    router.observe(make_request(1), 1.0)
    router.observe(make_request(2), 1.0)
    assert not select_sends(router.decide(1.0))
    router.observe(TargetStatusReceived("target-1", make_status("old-2"), 1.5), 1.6)
    assert len(select_sends(router.decide(1.6))) == 1


@when("its running request fails and the target is claimed again after a restart")
def restart_target(context):
    router = context.router
    router.observe(make_request(1), 1.0)
    [send] = select_sends(router.decide(1.0))
    router.observe(SendFailed(send.send_id, any_bytes_sent=True), 2.0)
    router.observe(make_request(2), 2.0)
    assert not select_sends(router.decide(2.0))
    grant_target_lease(router, "target-1", 1, now_s=2.1, epoch=1, boot_id="boot-2")


@then("the next request is sent")
def check_next_sent(context):
    assert [send.request_id for send in select_sends(context.router.decide(2.1))] == ["r2"]


@when("answers of the previous boot arrive while its slot is occupied")
def deliver_answers_of_previous_boot(context):
    router = context.router
    late = TargetStatus("boot-0", 1, False, [])
    router.observe(TargetStatusReceived("target-1", make_status(), 0.5), 0.5)
    router.observe(make_request(1), 1.0)
    assert len(select_sends(router.decide(1.0))) == 1
    router.observe(TargetStatusReceived("target-1", late, 0.5), 1.1)
    grant_target_lease(router, "target-1", 1, now_s=0.4, boot_id="boot-0", epoch=9)


@then("the slot is still occupied after the present boot is confirmed")
def check_slot_after_late_boot(context):
    grant_target_lease(context.router, "target-1", 1, now_s=0.6)
    context.router.observe(make_request(2), 1.2)
    assert not select_sends(context.router.decide(1.2))


@given("an entry VM with a target and a key holder without targets")
def make_key_holder_without_targets(context):
    context.first_router, context.second_router = make_router(), make_router(
        incarnation="entry-2.b2"
    )
    grant_target_lease(context.first_router, "target-1", 2)
    slots = context.first_router.service_slots(0.0)
    context.second_router.observe(PeerSlotsReported("entry-1.a1", "centro-1", "centro", slots), 0.0)


@when("the request with that key arrives at the entry VM with the target")
def arrive_beside_target(context):
    [key] = context.second_router.key_issuer.issue("austral", 1, 0.0)
    keyed = {"idempotent": False, "key": key}
    context.first_router.observe(make_request(1, **keyed), 0.0)
    [ask] = context.first_router.decide(0.0)
    arriving = make_request(ask.send_id[1:], **keyed, forwarded=True, sent_to_key_holder=True)
    context.second_router.observe(arriving, 0.1)
    [forward] = context.second_router.decide(0.1)
    context.first_router.observe(make_request(forward.send_id[1:], **keyed, forwarded=True), 0.2)
    context.ask, context.forward, context.actions = ask, forward, context.first_router.decide(0.2)


@then("the request is executed there once and answered completely")
def check_executed_once(context):
    [send] = context.actions
    context.first_router.observe(make_success(send.send_id), 0.3)
    answered = outcomes_by_request(context.first_router.decide(0.3))[context.forward.send_id]
    context.second_router.observe(ForwardAnswered(context.forward.send_id, answered), 0.4)
    answered = outcomes_by_request(context.second_router.decide(0.4))[context.ask.send_id]
    context.first_router.observe(ForwardAnswered(context.ask.send_id, answered), 0.5)
    assert outcomes_by_request(context.first_router.decide(0.5)) == {"r1": Completed(b"done")}


@when('the answer of a running request arrives after its caller got "outcome unknown"')
def deliver_late_answer(context):
    router = context.router
    router.observe(make_request(1, deadline_s=1.0), 0.0)
    [send] = select_sends(router.decide(0.0))
    context.answers = [a for a in router.decide(1.5) if isinstance(a, Answer)]
    router.observe(make_request(2), 1.6)
    assert not select_sends(router.decide(1.6))
    router.observe(make_success(send.send_id), 2.0)
    context.actions = router.decide(2.0)


@then("there is one answer, and the slot is free")
def check_one_answer(context):
    assert [a.outcome.code for a in context.answers] == [ResultCode.OUTCOME_UNKNOWN]
    assert not outcomes_by_request(context.actions)
    assert [send.request_id for send in select_sends(context.actions)] == ["r2"]
    assert context.router.counters.late_answers_count == 1


@when("the connection of a request with an issued key is reset after bytes were sent")
def reset_connection(context):
    router = context.router
    [key] = router.key_issuer.issue("austral", 1, 0.0)
    router.observe(make_request(1, idempotent=False, key=key), 0.0)
    [send] = select_sends(router.decide(0.0))
    router.observe(SendFailed(send.send_id, any_bytes_sent=True), 1.0)
    first = router.decide(1.0)
    router.observe(make_request(2, idempotent=False, key=key), 2.0)
    context.actions = first + router.decide(2.0)


@then('the caller and a repetition get "outcome unknown" and nothing is sent again')
def check_unknown_twice(context):
    answered = outcomes_by_request(context.actions)
    assert [answered[name].code for name in ("r1", "r2")] == [ResultCode.OUTCOME_UNKNOWN] * 2
    assert not select_sends(context.actions)


@when("three requests wait and draining starts")
def drain_with_queue(context):
    router = context.router
    for number in range(4):
        router.observe(make_request(number), 0.0)
    [send] = select_sends(router.decide(0.0))
    router.observe(DrainStarted(), 0.1)
    router.observe(make_request(4), 0.1)
    context.answered = outcomes_by_request(router.decide(0.1))
    running = [send]
    for step in range(4):
        router.observe(make_success(running.pop().send_id), 1.0 + step)
        actions = router.decide(1.0 + step)
        context.answered |= outcomes_by_request(actions)
        running += select_sends(actions)


@then("a new request is refused as draining, and the three are answered completely")
def check_drained(context):
    assert context.answered["r4"].code is ResultCode.DRAINING
    assert all(isinstance(context.answered[f"r{number}"], Completed) for number in range(4))
    assert context.router.unfinished_count == 0


@when("the target announces that it is leaving and a request arrives")
def announce_target_leaving(context):
    context.router.observe(TargetLeaving("target-1"), 1.0)
    context.router.observe(make_request(1), 1.0)


@then("nothing is sent to it, even after the list shows it as live")
def check_nothing_sent(context):
    router = context.router
    assert not select_sends(router.decide(1.0))
    router.observe(TargetListed(make_target_vm("target-1")), 2.0)
    grant_target_lease(router, "target-1", 2, now_s=2.0)
    assert not select_sends(router.decide(2.0))
    leaving = make_target_vm("target-2")
    fields = {name: getattr(leaving, name) for name in VmInfo.__slots__ if name[0] != "_"}
    router.observe(TargetListed(VmInfo(**(fields | {"state": VmState.LEAVING}))), 3.0)
    router.observe(
        TargetLeaseGranted(name="target-2", epoch=1, lease_until_s=99.0, asked_s=3.0), 3.0
    )
    assert not select_sends(router.decide(3.0))


@when("the answer of a send names another request")
def deliver_mismatched_answer(context):
    router = context.router
    router.observe(make_request(1), 0.0)
    router.observe(make_request(2), 0.0)
    first, second = select_sends(router.decide(0.0))
    router.observe(SendSucceeded(first.send_id, 200, b"2", second.send_id, True, 0.1), 1.0)
    context.actions = router.decide(1.0)


@then("the caller does not get that answer, and the slot waits for a status")
def check_mismatched(context):
    router = context.router
    assert isinstance(outcomes_by_request(context.actions)["r1"], OutcomeUnknown)
    router.observe(make_request(3), 1.1)
    assert not select_sends(router.decide(1.1))
    router.observe(TargetStatusReceived("target-1", make_status(), 2.0), 2.1)
    assert len(select_sends(router.decide(2.1))) == 1
