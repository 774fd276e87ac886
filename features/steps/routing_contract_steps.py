"""Steps for contracts, keys, outlier ejection and forwarding of the router."""

import random

from behave import given, then, when
from routing_fakes import SERVICE, make_contract
from routing_helpers import (
    grant_target_lease,
    make_request,
    make_router,
    make_success,
    outcomes_by_request,
    select_sends,
)

from fireflywharf_core.messages import ServiceSlots
from fireflywharf_core.records import KeyClaimed
from fireflywharf_core.results import Completed, NotRun, OutcomeUnknown, ResultCode
from fireflywharf_core.routing import (
    ContractChanged,
    CrossRegionReason,
    ForwardToPeer,
    InvalidKey,
    KeyClaimRead,
    KeyIssuer,
    OtherKey,
    OwnKey,
    PeerSlotsReported,
    RoutingPolicy,
    SendRefused,
)
from fireflywharf_core.routing._claims import KeyClaimTable
from fireflywharf_core.routing._executed_keys import AnswerCache


@when("requests exceed the rate, the queue bound and the deadline of their contracts")
def exceed_bounds(context):
    router = make_router()
    grant_target_lease(router, "target-1", 1)
    for name, changes in {
        "slow": {"requests_per_second": 1.0},
        "short": {"queue_max_requests": 1},
        "busy": {"refusable_kinds": ["request"]},
    }.items():
        router.observe(ContractChanged(name, make_contract(name, **changes)), 0.0)
    for number, customer in enumerate(("slow", "slow", "short", "short")):
        router.observe(make_request(number, customer=customer), 0.0)
        context.actions = getattr(context, "actions", []) + router.decide(0.0)
    for number in range(10, 20):
        router.observe(make_request(number, customer="busy"), 0.0)
    router.observe(make_request(20, customer="busy", deadline_s=0.2), 0.0)
    router.observe(make_request(21, customer="slow", deadline_s=-1.0), 0.0)
    router.observe(make_request(22, customer="nobody"), 0.0)
    context.actions += router.decide(0.0)


@then('the codes are "{names}"')
def check_codes(context, names):
    answered = outcomes_by_request(context.actions)
    codes = [answered[name].code.name for name in ("r1", "r3", "r20", "r21", "r22")]
    assert ", ".join(codes) == names, codes
    assert all(isinstance(outcome, NotRun) for outcome in answered.values())


@given("two customers with weights 3 and 1 and full queues")
def add_two_customers(context):
    context.router = make_router(RoutingPolicy(hedging=False))
    grant_target_lease(context.router, "target-1", 1)
    for name, weight in (("three", 3.0), ("one", 1.0)):
        contract = make_contract(name, share_weight=weight, queue_max_requests=1000)
        context.router.observe(ContractChanged(name, contract), 0.0)
        for number in range(400):
            arriving = make_request(f"{name}-{number}", customer=name, deadline_s=300.0)
            context.router.observe(arriving, 0.0)


@when("400 requests are served one after the other")
def serve_400(context):
    context.served = {"three": 0, "one": 0}
    for step in range(400):
        [send] = select_sends(context.router.decide(step * 0.1))
        context.served[send.request_id[1:].split("-")[0]] += 1
        context.router.observe(make_success(send.send_id), step * 0.1 + 0.1)


@then("the customers got between {low:d} and {high:d}, and between {low2:d} and {high2:d}")
def check_shares(context, low, high, low2, high2):
    served = context.served
    assert low <= served["three"] <= high and low2 <= served["one"] <= high2, served


@given("an issuer of keys")
def make_issuers(context):
    context.issuer = KeyIssuer("entry-1.a1", random.Random(1), 60.0)
    context.other = KeyIssuer("entry-2.b2", random.Random(2), 60.0)


@then("it distinguishes its own keys, keys of other issuers, forged, expired and malformed keys")
def check_key_origins(context):
    issuer = context.issuer
    first, second = issuer.issue("austral", 2, 0.0)
    assert first != second
    assert issuer.check(first, "austral", 1.0) == OwnKey(60.0, 1)
    assert context.other.check(first, "austral", 1.0) == OtherKey("entry-1.a1")
    issuer_of_same_name = KeyIssuer("entry-1.a1", random.Random(3), 60.0)
    for key, now_s in ((first, 60.0), (first[:-1], 1.0), ("k1.", 1.0), ("k1.a.b.c.d.e", 1.0)):
        assert isinstance(issuer.check(key, "austral", now_s), InvalidKey), key
    forged = issuer_of_same_name.issue("austral", 1, 0.0)[0]
    assert isinstance(issuer.check(forged, "austral", 1.0), InvalidKey)


@then("a key of another customer is not accepted")
def check_key_of_other_customer(context):
    [key] = context.issuer.issue("austral", 1, 0.0)
    assert isinstance(context.issuer.check(key, "boreal", 1.0), InvalidKey)


@when("a key is used again with other content")
def reuse_key(context):
    router = context.router
    [key] = router.key_issuer.issue("austral", 1, 0.0)
    router.observe(make_request(1, idempotent=False, key=key), 0.0)
    router.observe(make_request(2, idempotent=False, key=key, body_digest=b"changed"), 0.0)
    context.answered = outcomes_by_request(router.decide(0.0))


@then('the code is "{name}"')
def check_code(context, name):
    assert context.answered["r2"].code.name == name, context.answered


@when("the log holds a claim of its earlier incarnation and the key is used again")
def repeat_after_restart(context):
    claim = KeyClaimed("austral", "own", "entry-1.99", b"content".hex(), 0.0)
    context.router.observe(KeyClaimRead(claim), 0.0)
    context.router.observe(make_request(2, idempotent=False, key="own"), 1.0)
    context.answered = outcomes_by_request(context.router.decide(1.0))


@when("two readers fold a claim, a claim within the lifetime and a claim after it")
def fold_claims(context):
    readers = [KeyClaimTable(100.0, 10, AnswerCache(10, 10)) for _ in range(2)]
    records = [
        KeyClaimed("austral", "own", name, "content", utc_s)
        for name, utc_s in (("a.1", 0.0), ("b.2", 99.0), ("c.3", 101.0))
    ]
    # The second reader reads all at once, long after the first.
    context.winners = [
        [
            reader.fold_claim(record, now_s).incarnation
            for record, now_s in zip(records, at, strict=True)
        ]
        for reader, at in zip(readers, ((0.0, 99.0, 101.0), (500.0, 500.0, 500.0)), strict=True)
    ]


@then("both name the first, the first and the third as the winner")
def check_winners(context):
    assert context.winners == [["a.1", "a.1", "c.3"]] * 2, context.winners


@given("a router that holds 4 targets of which one fails every request")
def hold_four_targets(context):
    context.router = make_router()
    for number in range(4):
        grant_target_lease(context.router, f"target-{number}", 2)


def run_requests(context, count, start_s, broken):
    """Run requests of 0.1 s one after the other and return the number of sends to target-0."""
    router, found = context.router, 0
    for number in range(count):
        now_s = start_s + number * 0.1
        router.observe(make_request(f"{start_s}-{number}"), now_s)
        while pending := select_sends(router.decide(now_s)):
            for send in pending:
                found += send.target == "target-0"
                failed = broken and send.target == "target-0"
                event = SendRefused(send.send_id) if failed else make_success(send.send_id)
                router.observe(event, now_s)
    return found


@when("400 idempotent requests run")
def run_400(context):
    context.faulty_count = run_requests(context, 400, 0.0, True)


@then("the faulty target got at most {count:d} sends, which is 5 failures and a probe each second")
def check_faulty(context, count):
    assert 5 <= context.faulty_count <= count, context.faulty_count


@then("the target is used again when it works")
def check_used_again(context):
    assert context.router.ejected_targets() == ["target-0"]
    found = run_requests(context, 100, 100.0, False)
    assert found > 10, found
    assert context.router.ejected_targets() == []


@given("a router without targets and a peer in another region")
def add_remote_peer(context):
    context.router = make_router()
    contract = make_contract("austral", cross_region_bytes_per_second=10_000)
    context.router.observe(ContractChanged("austral", contract), 0.0)
    slots = (ServiceSlots(SERVICE, 1000, 1000),)
    context.router.observe(PeerSlotsReported("far-1.c3", "caribe-1", "caribe", slots), 0.0)


@when("100 requests of 1000 bytes arrive within a second under a limit of 10000 bytes a second")
def submit_for_remote_region(context):
    context.actions = []
    for number in range(100):
        context.router.observe(make_request(number), number * 0.01)
        context.actions += context.router.decide(number * 0.01)


@then("at most {count:d} bytes went to the other region, counted by reason")
def check_cross_region_bytes(context, count):
    forwards = [action for action in context.actions if isinstance(action, ForwardToPeer)]
    counted = context.router.counters.cross_region_bytes
    assert counted == {CrossRegionReason.NO_TARGET_IN_REGION: 1000 * len(forwards)}
    assert 10_000 <= 1000 * len(forwards) <= count


@when("a request arrives {silence_s:d} seconds after the last report of the peer")
def arrive_after_silence(context, silence_s):
    context.router.observe(make_request(1), silence_s)
    context.actions = context.router.decide(silence_s)


@then("the request is not forwarded")
def check_not_forwarded(context):
    assert not context.actions


@given("two entry VMs of which one holds all targets and reports no free slot")
def add_full_peer(context):
    context.first_router = make_router()
    slots = (ServiceSlots(SERVICE, 0, 32),)
    context.first_router.observe(PeerSlotsReported("entry-2.b2", "centro-1", "centro", slots), 0.0)


@when("a request arrives at the other")
def arrive_at_first_router(context):
    context.first_router.observe(make_request(1), 0.0)
    context.actions = context.first_router.decide(0.0)


@then("the request is forwarded to the holder")
def check_forwarded(context):
    assert [type(action) for action in context.actions] == [ForwardToPeer]


@given("a router with 20 slots that has learned the run times of a short and a long kind")
def learn_run_times(context):
    context.router = make_router()
    for number in range(5):
        grant_target_lease(context.router, f"target-{number}", 4)
    for kind, elapsed_s in (("short", 0.02), ("long", 2.0)):
        context.router.observe(make_request(kind, kind=kind), 0.0)
        [send] = select_sends(context.router.decide(0.0))
        context.router.observe(make_success(send.send_id, elapsed_s=elapsed_s), 0.0)


def arrive_by_kind(context, kind, count, now_s):
    """Let requests of a kind arrive and add those that are sent to `context.running`."""
    for number in range(count):
        context.router.observe(make_request(f"{kind}-{number}", kind=kind, deadline_s=99.0), now_s)
    found = select_sends(context.router.decide(now_s))
    context.running = getattr(context, "running", []) + [send.request_id for send in found]


@when("40 long requests arrive and then 2 short ones")
def arrive_long_then_short(context):
    arrive_by_kind(context, "long", 40, 1.0)
    arrive_by_kind(context, "short", 2, 1.1)


@when("40 long requests arrive {quiet_s:d} seconds after the last short one")
def arrive_long_alone(context, quiet_s):
    arrive_by_kind(context, "long", 40, quiet_s)


@then("{long_count:d} long requests and the {short_count:d} short ones run")
def check_running_kinds(context, long_count, short_count):
    assert sum("long" in name for name in context.running) == long_count, context.running
    assert sum("short" in name for name in context.running) == short_count, context.running


@then("{long_count:d} long requests run")
def check_running_long(context, long_count):
    assert len(context.running) == long_count, context.running


@given("a router that remembers 3 keys and 100 bytes of answers")
def limit_key_memory(context):
    policy = RoutingPolicy(
        key_lifetime_s=60.0,
        executed_keys_max_count=3,
        kept_answer_max_bytes=80,
        kept_answers_max_bytes=100,
    )
    context.router = make_router(policy)
    grant_target_lease(context.router, "target-1", 1)


def use_key(context, number, key, now_s):
    """Send a request with a key, answer it at once if it is sent, and return its outcome."""
    context.router.observe(make_request(number, idempotent=False, key=key), now_s)
    actions = context.router.decide(now_s)
    for send in select_sends(actions):
        context.router.observe(make_success(send.send_id, b"x" * 60), now_s)
        actions += context.router.decide(now_s)
    return outcomes_by_request(actions)[f"r{number}"]


@when("4 keys are used one after the other for answers of 60 bytes and all are repeated")
def use_four_keys(context):
    keys = context.router.key_issuer.issue("austral", 4, 0.0)
    context.first = [use_key(context, number, key, 1.0) for number, key in enumerate(keys)]
    context.again = [use_key(context, 10 + number, key, 2.0) for number, key in enumerate(keys[:3])]


@then("the fourth is refused, one repetition gets its answer and the answers of two were not kept")
def check_memory(context):
    assert [type(outcome) for outcome in context.first] == [Completed] * 3 + [NotRun]
    assert [type(outcome) for outcome in context.again] == [OutcomeUnknown] * 2 + [Completed]


@then("after the keys have expired new keys are accepted")
def check_memory_expires(context):
    [key] = context.router.key_issuer.issue("austral", 1, 61.0)
    assert isinstance(use_key(context, 20, key, 61.0), Completed)


@when("a key is used 50 times while no slot is free, and then once more")
def repeat_refused_key(context):
    router = context.router
    router.observe(make_request(0, deadline_s=50.0), 0.0)
    [running] = select_sends(router.decide(0.0))
    [key] = router.key_issuer.issue("austral", 1, 0.0)
    for number in range(1, 51):
        router.observe(make_request(number, idempotent=False, key=key, deadline_s=0.1), number)
        answered = outcomes_by_request(router.decide(number + 0.5))
        assert answered[f"r{number}"].code is ResultCode.DEADLINE_PASSED, answered
    router.observe(make_success(running.send_id), 51.0)
    context.answered = use_key(context, 51, key, 51.0)


@then("the last request runs")
def check_last_use(context):
    assert isinstance(context.answered, Completed), context.answered


@given("its contract allows early refusal")
def allow_refusal(context):
    contract = make_contract("austral", refusable_kinds=["request"])
    context.router.observe(ContractChanged("austral", contract), 0.0)


@when("long requests with a deadline of 5 seconds arrive faster than they are served")
def arrive_too_fast(context):
    router, context.answered, ends = context.router, {}, []
    for step in range(2000):
        now_s = 1.0 + step * 0.01
        while ends and ends[0][0] <= now_s:
            _, send_id, run_s = ends.pop(0)
            router.observe(make_success(send_id, elapsed_s=run_s), now_s)
        # 18 slots serve 9 long requests a second; 50 arrive.
        if step % 2 == 0:
            router.observe(make_request(f"long-{step}", kind="long", deadline_s=5.0), now_s)
        if step % 10 == 0:
            router.observe(make_request(f"short-{step}", kind="short", deadline_s=0.5), now_s)
        actions = router.decide(now_s)
        context.answered |= outcomes_by_request(actions)
        for send in select_sends(actions):
            run_s = 2.0 if "long" in send.request_id else 0.02
            ends.append((now_s + run_s, send.send_id, run_s))
        ends.sort()


@then("long requests are refused as late, and short ones are admitted and answered")
def check_refused_by_kind(context):
    answered = context.answered.items()
    late = [name for name, outcome in answered if outcome.code is ResultCode.WOULD_BE_LATE]
    short = [outcome for name, outcome in answered if "short" in name]
    assert len(late) > 500 and all("long" in name for name in late), len(late)
    assert len(short) > 190 and all(isinstance(outcome, Completed) for outcome in short)
