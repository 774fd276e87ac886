"""Steps for the contract registry."""

import random

import attrs
from behave import then, when
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from state_model import RESPONSES, ModelLog, execute_writer_action, make_reader

from fireflywharf_core.contracts import (
    ChangeLost,
    ChangeUndetermined,
    ChangeWon,
    Contract,
    ContractApplied,
    ContractRegistry,
    ContractsSnapshot,
    Quota,
    VersionedContract,
)
from fireflywharf_core.log import GroupCommitWriter
from fireflywharf_core.records import RECORD_CODEC

QUOTA = Quota(processors_millicores=1, memory_mb=1, accelerators_count=0)
CUSTOMERS = ("austral", "boreal")


def make_contract(customer, weight=1.0):
    return Contract(
        customer=customer,
        share_weight=weight,
        quota=QUOTA,
        requests_per_second=1.0,
        queue_max_tasks=1,
    )


def make_change(operation_id, base, customer="austral", weight=1.0):
    contract = make_contract(customer, weight)
    return ContractApplied(operation_id=operation_id, contract=contract, base_version=base)


class Daemon:
    """Log writer, stream reader and contract registry of one process."""

    def __init__(self, name):
        self.writer = GroupCommitWriter(name, "contracts", max_batch_records=3)
        self.reader = make_reader("contracts")
        self.registry = ContractRegistry(1000.0)
        self.versions = {}

    def submit(self, record, now_s):
        """Submit a record to the writer."""
        self.writer.submit(RECORD_CODEC.encode(record), now_s)

    def read(self, log, limit, now_s):
        """Read at most `limit` records and fold them into the registry."""
        records = self.reader.on_read(log.read(self.reader.next_offset, limit))
        if self.reader.truncation is not None:
            self.registry.on_truncated(self.reader.truncation.first_available)
        for item in records:
            self.registry.fold(item.offset, item.record, now_s)
        self.registry.on_read_to(self.reader.next_offset)

    def check_versions(self):
        """Check that no version has decreased since the last call."""
        versions = {name: item.version for name, item in self.registry.current().items()}
        assert all(versions.get(name, 0) >= old for name, old in self.versions.items()), (
            self.versions,
            versions,
        )
        self.versions = versions


def fold_reference(log):
    """Return the contracts and outcomes that result from all records without repetitions."""
    current, outcomes = {}, {}
    for entry in log.entries_without_repeats():
        record = RECORD_CODEC.decode(entry.payload)
        if not isinstance(record, ContractApplied):
            continue
        customer = record.contract.customer
        version = current[customer].version if customer in current else 0
        if record.base_version == version:
            current[customer] = VersionedContract(record.contract, version + 1)
            outcomes[record.operation_id] = ChangeWon(version + 1)
        else:
            outcomes[record.operation_id] = ChangeLost(record.base_version, version)
    return current, outcomes


class ContractRace:
    """Three daemons that share one log, with the faults that the generated steps choose."""

    def __init__(self, ignores_repeats):
        self.log = ModelLog(ignores_repeats)
        self.daemons = [Daemon(f"vm{index}#0") for index in range(3)]
        self.now_s = 0.0
        self.started_count = 0

    def run(self, kind, index, number, response):
        """Run one generated step at a daemon and check all versions."""
        self.now_s += 0.2
        daemon = self.daemons[index]
        match kind:
            case "change":
                customer = CUSTOMERS[number % 2]
                current = daemon.registry.get(customer)
                base = 0 if current is None else current.version
                self.started_count += 1
                name = f"op{self.started_count}"
                daemon.submit(make_change(name, base, customer, self.started_count), self.now_s)
            case "write":
                execute_writer_action(daemon.writer, self.log, self.now_s, response)
            case "read":
                daemon.read(self.log, 1 + number % 5, self.now_s)
            case "late copy" if self.log.delayed:
                self.log.append(*self.log.delayed[number % len(self.log.delayed)])
            case "truncate":
                limit = len(self.log.entries)
                self.log.first_available = max(self.log.first_available, number * limit // 10)
            case "snapshot" if not daemon.registry.has_gap:
                daemon.submit(daemon.registry.snapshot(), self.now_s)
            case "peer":
                peer = self.daemons[number % 3].registry.snapshot()
                daemon.registry.adopt_peer_state(peer.as_of_offset, peer.contracts)
            case "restart":
                self.started_count += 1
                self.daemons[index] = Daemon(f"vm{index}#{self.started_count}")
        for each in self.daemons:
            each.check_versions()

    def finish(self):
        """Let every writer and reader finish, exchange the newest state, and compare all states.

        Returns:
            Whether any registry was without a gap, so that the states could be compared.
        """
        for _ in range(60):
            self.now_s += 10.0
            for daemon in self.daemons:
                execute_writer_action(daemon.writer, self.log, self.now_s, "done")
        assert all(daemon.writer.backlog_count == 0 for daemon in self.daemons)
        for daemon in self.daemons:
            while not daemon.reader.at_end:
                daemon.read(self.log, 50, self.now_s)
            daemon.read(self.log, 50, self.now_s)
            daemon.check_versions()
        complete_daemons = [daemon for daemon in self.daemons if not daemon.registry.has_gap]
        current, outcomes = fold_reference(self.log)
        for daemon in self.daemons:
            for name, outcome in outcomes.items():
                found = daemon.registry.outcome(name)
                assert found in (None, outcome) or isinstance(found, ChangeUndetermined), (
                    name,
                    found,
                    outcome,
                )
        if not complete_daemons:
            return False
        newest = complete_daemons[0].registry.snapshot()
        for daemon in self.daemons:
            daemon.registry.adopt_peer_state(newest.as_of_offset, newest.contracts)
            daemon.check_versions()
            assert not daemon.registry.has_gap
            assert daemon.registry.current() == current, (daemon.registry.current(), current)
        return True


RACE_STEP = st.tuples(
    st.sampled_from(
        ("change", "write", "write", "read", "read", "late copy", "truncate", "snapshot", "peer")
        + ("restart",)
    ),
    st.integers(0, 2),
    st.integers(0, 9),
    st.sampled_from(RESPONSES),
)


@when("contract changes race in {count:d} generated histories")
def run_races(context, count):
    context.compared = []

    @settings(
        max_examples=count, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
    )
    @given(st.booleans(), st.lists(RACE_STEP, min_size=20, max_size=120))
    def race(ignores_repeats, steps):
        model = ContractRace(ignores_repeats)
        for step in steps:
            model.run(*step)
        context.compared.append(model.finish())

    race()
    # Generated histories have few changes; the long random ones have many.
    for seed in range(count):
        rng = random.Random(seed)
        model = ContractRace(seed % 2 == 0)
        kinds = ("change",) * 5 + ("write",) * 8 + ("read",) * 8
        kinds += ("late copy", "truncate", "snapshot", "peer", "restart")
        for _ in range(250):
            model.run(rng.choice(kinds), rng.randrange(3), rng.randrange(10), rng.choice(RESPONSES))
        context.compared.append(model.finish())


@then("every registry agrees with the log and no version decreases")
def check_races(context):
    # Histories in which truncation left every registry incomplete cannot be compared.
    assert sum(context.compared) > len(context.compared) / 2, context.compared


@when("two operators change version 1 of the same contract")
def change_twice(context):
    context.registry = ContractRegistry(1000.0)
    for offset, (name, base) in enumerate((("op1", 0), ("op2", 1), ("op3", 1))):
        context.registry.fold(offset, make_change(name, base, weight=offset + 1.0), 0.0)


@then("the first change has version 2 and the second is rejected with versions 1 and 2")
def check_lost_race(context):
    registry = context.registry
    assert registry.outcome("op2") == ChangeWon(2)
    assert registry.outcome("op3") == ChangeLost(1, 2)
    assert registry.get("austral").contract.share_weight == 2.0
    assert [change.won for change in registry.history("austral")] == [True, True, False]


@when("a registry starts after a truncation that removed two changes")
def start_after_truncation(context):
    context.registry = registry = ContractRegistry(1000.0)
    registry.on_truncated(2)
    registry.fold(2, make_change("op3", 2, weight=3.0), 0.0)
    registry.on_read_to(3)
    context.before = (registry.has_gap, registry.current(), registry.outcome("op3"))
    too_old = [VersionedContract(make_contract("austral"), 1)]
    registry.fold(3, ContractsSnapshot(0, too_old), 0.0)
    context.still_gap = registry.has_gap
    covering = [VersionedContract(make_contract("austral", 2.0), 2)]
    registry.fold(4, ContractsSnapshot(1, covering), 0.0)


@then("it keeps later changes until a snapshot covers the gap and then applies them")
def check_after_truncation(context):
    assert context.before == (True, {}, None)
    assert context.still_gap
    assert not context.registry.has_gap
    assert context.registry.outcome("op3") == ChangeWon(3)
    assert context.registry.get("austral").version == 3
    assert context.registry.offset == 4


@when("a registry reads the repetition of a change that was accepted before a truncation")
def read_late_repeat(context):
    context.registry = ContractRegistry(1000.0)
    context.registry.on_truncated(2)
    snapshot = ContractsSnapshot(1, [VersionedContract(make_contract("austral"), 1)])
    context.registry.fold(2, snapshot, 0.0)
    context.registry.fold(3, make_change("op1", 0), 0.0)


@then("the outcome of that change is undetermined and not lost")
def check_late_repeat(context):
    assert context.registry.outcome("op1") == ChangeUndetermined(3)
    assert context.registry.get("austral").version == 1


@when("a registry at offset 5 is offered the state of a peer at offset 3")
def offer_older_peer(context):
    context.registry = ContractRegistry(1000.0)
    context.registry.fold(5, make_change("op1", 0, weight=7.0), 0.0)
    older = attrs.evolve(make_contract("austral"), share_weight=1.0)
    context.replaced = context.registry.adopt_peer_state(3, [VersionedContract(older, 9)])


@then("it keeps its own contracts")
def check_older_peer(context):
    assert not context.replaced
    assert context.registry.get("austral") == VersionedContract(make_contract("austral", 7.0), 1)


@when("a registry with one contract runs for two retention times of {retention_s:d} seconds")
def run_snapshots(context, retention_s):
    registry = ContractRegistry(float(retention_s))
    registry.fold(0, make_change("op1", 0), 0.0)
    context.snapshots_count = 0
    for now_s in range(2 * retention_s):
        if registry.snapshot_due(now_s):
            context.snapshots_count += 1
            registry.fold(registry.offset + 1, registry.snapshot(), now_s)


@then("a snapshot was due {count:d} times")
def check_snapshots(context, count):
    assert context.snapshots_count == count, context.snapshots_count
