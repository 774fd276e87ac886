"""Steps for peers, target assignment and digests."""

from collections import Counter

import attrs
import msgspec
from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from fireflywharf_core.membership import (
    DigestPlanner,
    HeartbeatEffect,
    PeerTable,
    TargetAssignment,
    TargetPlan,
    assign_owner,
)
from fireflywharf_core.messages import MESSAGE_CODEC, DomainDigest, Heartbeat, ServiceSlots
from fireflywharf_core.records import UndecodableError
from fireflywharf_core.resources import ResourceVector


def beat(vm_name, boot, sequence, draining=False):
    """Return a heartbeat of the VM's incarnation number `boot`."""
    return Heartbeat(
        incarnation=f"{vm_name}#{boot}",
        vm_name=vm_name,
        domain="centro",
        sequence=sequence,
        draining=draining,
    )


def shown(table, now_s):
    """Return the incarnations and sequences of the peers in the table."""
    return sorted((peer.incarnation, peer.sequence) for peer in table.peers(now_s))


@when("heartbeats of {vms:d} VMs arrive reordered and repeated in {count:d} generated orders")
def reorder_heartbeats(context, vms, count):
    context.orders_count = 0

    @settings(max_examples=count, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(st.integers(0, vms - 1), st.integers(0, 9)), max_size=40))
    def orders(arrivals):
        table, highest = PeerTable("own#0"), {}
        for index, sequence in arrivals:
            known = highest.get(index, -1)
            effect = table.on_heartbeat(beat(f"vm{index}", 0, sequence), 1.0)
            assert (effect is HeartbeatEffect.IGNORED) == (sequence <= known)
            highest[index] = max(known, sequence)
            expected = sorted((f"vm{i}#0", s) for i, s in highest.items())
            assert shown(table, 1.0) == expected
        context.orders_count += 1

    orders()


@then("the table always shows the highest sequence of the present incarnation")
def check_orders(context):
    assert context.orders_count >= 200, context.orders_count


@when("a VM restarts and late heartbeats of its earlier incarnation arrive")
def restart_vm(context):
    context.peer_table = table = PeerTable("own#0")
    beats = (beat("vm1", 0, 5), beat("vm1", 1, 1), beat("vm1", 0, 4), beat("vm1", 0, 6))
    context.effects = [table.on_heartbeat(each, 1.0) for each in beats]
    # The successor is silent now, but an old heartbeat is still ignored.
    context.effects.append(table.on_heartbeat(beat("vm1", 0, 5), 3.5))


@then("only the new incarnation is a peer")
def check_restart(context):
    assert shown(context.peer_table, 1.0) == [("vm1#1", 1)]
    assert [effect.value for effect in context.effects] == ["new", "replaced"] + ["ignored"] * 3


@when("the first heartbeat of an ended incarnation arrives after one of its successor")
def receive_late_first_heartbeat(context):
    context.peer_table = table = PeerTable("own#0")
    table.on_heartbeat(beat("vm1", 1, 1), 1.0)
    table.on_heartbeat(beat("vm1", 0, 9), 1.1)
    context.shown = []
    for sequence in range(2, 8):
        table.on_heartbeat(beat("vm1", 1, sequence), sequence * 0.7)
        context.shown.append(shown(table, sequence * 0.7))


@then("the successor is a peer again after the suspicion time")
def check_successor(context):
    assert context.shown[0] == [("vm1#0", 9)]
    assert context.shown[-1] == [("vm1#1", 7)]


@when("one of three peers is silent for 2 seconds and one is draining")
def silence_and_drain_peers(context):
    context.peer_table = table = PeerTable("own#0")
    for index, (time_s, draining) in enumerate(((0.0, False), (1.5, True), (1.5, False))):
        table.on_heartbeat(beat(f"vm{index}", 0, 1, draining), time_s)


@then("the silent one is suspected and only the third gets work")
def check_silence(context):
    assert [peer.vm_name for peer in context.peer_table.peers(1.99)] == ["vm0", "vm1", "vm2"]
    assert [peer.vm_name for peer in context.peer_table.suspected(2.0)] == ["vm0"]
    working = context.peer_table.peers(2.0, include_draining=False)
    assert [peer.vm_name for peer in working] == ["vm2"]


@when("one of {vms:d} VMs that share {count:d} targets dies")
def kill_target_owner(context, vms, count):
    context.targets = [f"t{index}" for index in range(count)]
    members = [f"vm{index}" for index in range(vms)]
    context.dead = members[0]
    context.before = {t: assign_owner(t, members) for t in context.targets}
    held = {m: {t for t, owner in context.before.items() if owner == m} for m in members}
    context.plans = {
        member: TargetAssignment(member).decide(context.targets, members[1:], held[member], 9.0)
        for member in members[1:]
    }
    context.held = held


@then("each target has one owner and only the targets of the dead VM moved")
def check_owners(context):
    claimed = [target for plan in context.plans.values() for target in plan.claim]
    assert sorted(claimed) == sorted(context.held[context.dead]) and claimed
    for member, plan in context.plans.items():
        assert set(plan.keep) == context.held[member] and plan.release == []


@when("the better owner of a held target is live for 1 second, gone, and live for 3 seconds")
def replace_better_owner(context):
    target = next(t for t in map(str, range(99)) if assign_owner(t, ["a", "b"]) == "b")
    assignment = TargetAssignment("a")
    context.released = [
        bool(assignment.decide([target], members, [target], float(now_s)).release)
        for now_s, members in enumerate((["b"], ["b"], [], ["b"], ["b"], ["b"], ["b"]))
    ]


@then("the target is released only after the owner was live for 2 seconds")
def check_better_owner(context):
    assert context.released == [False] * 5 + [True, True], context.released


@when("a VM that holds two targets is draining")
def drain_vm(context):
    context.plan = TargetAssignment("a").decide(["x", "y", "z"], ["a"], ["x", "y"], 0.0, True)


@then("it releases both and claims nothing")
def check_drain(context):
    assert context.plan == TargetPlan([], [], ["x", "y"])


@when(
    "digests go to {domains:d} domains of {vms:d} VMs for {duration_s:d} seconds"
    " with a pause of {pause_s:d} seconds"
)
def send_digests(context, domains, vms, duration_s, pause_s):
    planner = DigestPlanner("own")
    members = {f"d{d}": [f"d{d}-vm{v}" for v in range(vms)] for d in range(domains)}
    members["own"] = ["own-vm0"]
    context.members, context.sent = members, []
    for tick in range(duration_s * 20):
        now_s = tick / 20
        if not 20 <= now_s < 20 + pause_s:
            context.sent += [(now_s, name) for name in planner.take_due_receivers(members, now_s)]


@then("no second has more than {limit:d} digests, two to a domain, and every VM was reached")
def check_digests(context, limit):
    for start in range(60):
        # Sends may deviate from the phase of their domain by 0.1 s, so the window is shorter.
        window = [name for now_s, name in context.sent if start <= now_s < start + 0.9]
        by_domain = Counter(name.split("-")[0] for name in window)
        assert len(window) <= limit and max(by_domain.values(), default=0) <= 2, (start, by_domain)
    expected = {n for d, names in context.members.items() if d != "own" for n in names}
    assert {name for _, name in context.sent} == expected
    # Each domain gets two digests a second in the 50 seconds without the pause.
    assert len(context.sent) >= 0.95 * limit * 50, len(context.sent)


@when("a heartbeat and a digest are encoded by this version, an older and a newer one")
def encode_versions(context):
    slots = [ServiceSlots(f"service-{number}", 100, 128) for number in range(8)]
    digest = DomainDigest(
        incarnation="entry-centro-1-a#0123456789abcdef",
        vm_name="entry-centro-1-a",
        domain="centro-1",
        region="centro",
        sequence=1_000_000,
        free=ResourceVector(736_000, 3_000_000, 50),
        largest_free=ResourceVector(16_000, 65_536, 4),
        slots=slots,
        mesh_address="tcp://10.10.10.10:7400",
    )
    heartbeat = beat("vm1", 0, 1)
    context.digest_bytes = len(MESSAGE_CODEC.encode(digest))
    context.decoded = []
    for message in (heartbeat, digest):
        tag = type(message).__name__
        named = msgspec.msgpack.encode((tag, message))
        present = MESSAGE_CODEC.encode(message)
        _, values = msgspec.msgpack.decode(present)
        newer = msgspec.msgpack.encode((tag, [*values, "a field of a newer version"]))
        # The last field has a default and did not exist in the older version.
        older = msgspec.msgpack.encode((tag, values[:-1]))
        expected = attrs.evolve(message, mesh_address="")
        context.decoded += [(data, message) for data in (named, present, newer)]
        context.decoded.append((older, expected))
    context.damaged = [
        msgspec.msgpack.encode(("DomainDigest", values[:3])),
        msgspec.msgpack.encode(("DomainDigest", [*values[:5], 7, *values[6:]])),
        msgspec.msgpack.encode(("DomainDigest", [*values[:7], 7, *values[8:]])),
    ]


@then("all forms are decoded, damaged ones are rejected and a digest has at most {limit:d} bytes")
def check_versions(context, limit):
    for data, expected in context.decoded:
        assert MESSAGE_CODEC.decode(data) == expected, data
    for data in context.damaged:
        try:
            MESSAGE_CODEC.decode(data)
        except UndecodableError:
            continue
        raise AssertionError(data)
    assert context.digest_bytes <= limit, context.digest_bytes
