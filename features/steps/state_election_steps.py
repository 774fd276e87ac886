"""Steps for the election of the scheduler and for leases."""

from collections import Counter

from behave import then, when
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from state_world import DomainWorld, ModelWorker, make_worker_vm

from fireflywharf_core.leases import (
    GranterLease,
    HolderLease,
    LeaseTable,
    StaleAnswer,
    UnwantedLeaseGranted,
)
from fireflywharf_core.membership import (
    ActAsScheduler,
    ClaimWorkers,
    ElectionView,
    SchedulerElection,
    StayStandby,
    plan_worker_changes,
)
from fireflywharf_core.records import WorkerAdded, WorkerRemoved

FAULT = st.tuples(
    st.sampled_from(("pause", "restart", "worker dies", "worker returns", "new worker", "cut log")),
    st.integers(0, 9),
    st.floats(0.1, 12.0),
)


def apply_fault(world, kind, number, length_s):
    """Apply a generated fault; `number` selects its candidate or worker."""
    candidate = world.candidates[number % len(world.candidates)]
    acting = world.acting()
    if acting and number % 2 == 0:
        candidate = acting[0]
    names = sorted(world.workers)
    match kind:
        case "pause":
            candidate.paused_until_s = world.now_s + length_s
        case "restart":
            world.restart(world.candidates.index(candidate))
        case "worker dies":
            world.workers[names[number % len(names)]].alive = False
        case "worker returns":
            world.workers[names[number % len(names)]].alive = True
        case "new worker":
            name = f"w{len(names)}"
            world.workers[name] = ModelWorker(1.0)
            world.listed_workers[name] = make_worker_vm(name)
        case "cut log":
            candidate.cut_from_log = not candidate.cut_from_log


@when(
    "candidates pause, restart and lose workers, messages and the log in {count:d} generated runs"
)
def run_faults(context, count):
    context.ended = []

    @settings(
        max_examples=count, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
    )
    @given(st.integers(0, 2**32), st.lists(FAULT, min_size=3, max_size=8))
    def runs(seed, faults):
        world = DomainWorld(seed)
        world.run(6.0)
        for kind, number, length_s in faults:
            apply_fault(world, kind, number, length_s)
            world.run(min(length_s, 6.0))
        for candidate in world.candidates:
            candidate.cut_from_log = False
            candidate.paused_until_s = 0.0
        for worker in world.workers.values():
            worker.alive = True
        world.loss = world.slow = 0.0
        world.run(25.0)
        context.ended.append(len(world.acting()))

    runs()


@then("no two candidates may act at the same time and each run ends with one scheduler")
def check_faults(context):
    # That no two candidates may act is checked after every event of the runs.
    assert set(context.ended) == {1}, Counter(context.ended)


@when("the scheduler of {candidates:d} candidates dies {deaths:d} times in {runs:d} runs")
def kill_schedulers(context, candidates, deaths, runs):
    context.times_s = []
    for seed in range(runs):
        world = DomainWorld(seed, candidates_count=candidates)
        world.run(12.0 + seed * 0.07)
        for _ in range(deaths):
            world.candidates.remove(world.acting()[0])
            died_s = world.now_s
            while not world.acting() and world.now_s < died_s + 30:
                world.run(0.1)
            context.times_s.append(world.now_s - died_s)
            world.run(5.0)


@then("another candidate acts within {limit_s:d} seconds each time")
def check_takeover(context, limit_s):
    assert max(context.times_s) <= limit_s, sorted(context.times_s)


@when("{count:d} of {total:d} workers die under a scheduler")
def kill_workers(context, count, total):
    world = DomainWorld(1, workers_count=total)
    world.run(12.0)
    assert len(world.acting()) == 1
    for worker in list(world.workers.values())[:count]:
        worker.alive = False
    world.run(6.0)
    context.acting = []
    for _ in range(30):
        world.run(1.0)
        context.acting += world.acting()
    for worker in world.workers.values():
        worker.alive = True
    world.run(25.0)
    context.acting_after_return = world.acting()


@then("no candidate may act until the workers are back")
def check_no_scheduler(context):
    assert context.acting == []
    assert len(context.acting_after_return) == 1


@when("the scheduler adds {count:d} workers one at a time and then pauses")
def add_workers(context, count):
    context.world = world = DomainWorld(2)
    world.run(12.0)
    first = world.acting()[0]
    for number in range(5, 5 + count):
        world.workers[f"w{number}"] = ModelWorker(1.0)
        world.listed_workers[f"w{number}"] = make_worker_vm(f"w{number}")
    world.run(12.0)
    context.known_count = len(first.fold.workers_)
    first.paused_until_s = world.now_s + 20
    world.run(15.0)
    context.first = first


@then("its successor knows all {count:d} workers and holds more than half of them")
def check_successor(context, count):
    (successor,) = context.world.acting()
    assert successor is not context.first
    assert context.known_count == count == len(successor.fold.workers_)
    assert 2 * successor.worker_leases.held_count(successor.now_s()) > count


@when("a candidate has a majority but read the known workers before it had one")
def read_before_majority(context):
    election = SchedulerElection("d", "vm#1")
    context.decisions = []
    for held, known_workers_read_s, now_s in (
        ("", 0, 0),
        ("ab", 2.9, 3),
        ("ab", 3.5, 4),
        ("ab", 3.5, 5),
    ):
        view = ElectionView(
            known_workers="abc", held_workers=held, known_workers_read_s=known_workers_read_s
        )
        context.decisions.append(election.decide(view, now_s))


@then("it acts only after it has read them again")
def check_read_again(context):
    types = [type(decision) for decision in context.decisions]
    assert types == [StayStandby, ClaimWorkers, ActAsScheduler, ActAsScheduler], types


@when("five new workers are listed, a known one is gone and a change is pending or not")
def plan_changes(context):
    known = {name: make_worker_vm(name) for name in ("a", "b")}
    listed_workers = {name: make_worker_vm(name) for name in "acdefg"}
    context.plans = [
        plan_worker_changes(known, listed_workers, silent, pending, 100.0)
        for silent, pending in (({}, True), ({"b": 70.0}, False), ({"b": 68.0}, False))
    ]


@then("at most one change is planned and a gone worker is removed after the task lease")
def check_plans(context):
    assert context.plans == [[], [WorkerAdded(make_worker_vm("c"))], [WorkerRemoved("b")]]


@when("a lease is granted that was released while its claim was in flight")
def grant_after_release(context):
    context.lease_table = table = LeaseTable(5.0)
    table.track(["w0"], 0.0)
    sent_s = table.record_claim_sent("w0", 1.0)
    table.release(["w0"], 1.1)
    context.result = table.on_granted("w0", 1, sent_s, 1.2)


@then("the table requests its release and does not count it as held")
def check_release_requested(context):
    assert context.result == UnwantedLeaseGranted(1)
    assert context.lease_table.held(1.2) == frozenset()


@when("a scheduler begins its tenure with one of three workers unreachable")
def start_recovery(context):
    election = SchedulerElection("d", "vm#1")
    known = ("w0", "w1", "w2")
    context.blockers_before_tenure = election.recovery_blockers(known, 2.0)
    view = ElectionView(known_workers=known, held_workers=("w0", "w1"), known_workers_read_s=10.0)
    election.decide(view, 0.0)
    election.on_report("w0")
    election.decide(view, 10.0)
    context.blockers_at_start = election.recovery_blockers(known, 10.0)
    election.on_report("w1")
    context.later = [election.recovery_blockers(known, s) for s in (41.4, 41.6)]


@then("this worker blocks recovery for the task lease plus margin, the others until they report")
def check_recovery_blockers(context):
    assert context.blockers_before_tenure == {"w0", "w1", "w2"}
    assert context.blockers_at_start == {"w1", "w2"}
    assert context.later == [{"w2"}, set()]


@when("a lease is released, forgotten by the table or not, and tracked again at once")
def release_and_track_again(context):
    context.runs = []
    for forgotten in (False, True):
        table, granter = LeaseTable(5.0), GranterLease()
        table.track(["w0"], 0.0)
        assert table.take_due(1.0) == ["w0"]
        grant = granter.claim("vm#1", 5.0, 1.0)
        table.on_granted("w0", grant.epoch, table.record_claim_sent("w0", 1.0), 1.1)
        released = table.release(["w0"], 2.0)
        if forgotten:
            table.forget(["w0"])
        table.track(["w0"], 2.0)
        due = [table.take_due(now_s) for now_s in (2.5, 7.0, 7.3)]
        again = granter.claim("vm#1", 5.0, 7.3)
        table.on_granted("w0", again.epoch, table.record_claim_sent("w0", 7.3), 7.4)
        late_release = granter.release(grant.epoch, 7.5)
        context.runs.append((released, due, late_release, table.held(7.5)))


@then("it is claimed again only after its duration has passed")
def check_reclaim(context):
    expected = ([("w0", 1)], [[], [], ["w0"]], False, {"w0"})
    assert context.runs == [expected, expected], context.runs


@when("a released lease was renewed by a claim that was delayed")
def renew_released_lease(context):
    context.released_table = table = LeaseTable(5.0)
    table.track(["w0"], 0.0)
    table.on_granted("w0", 1, table.record_claim_sent("w0", 1.0), 1.1)
    table.release(["w0"], 2.0)
    table.track(["w0"], 2.0)
    context.due = [table.take_due(7.3)]
    context.answer = table.on_granted("w0", 1, table.record_claim_sent("w0", 7.3), 7.4)
    context.due += [table.take_due(12.4), table.take_due(12.7)]


@then("the holder does not act and lets it lapse before it claims again")
def check_renewed_released(context):
    assert context.answer == StaleAnswer()
    assert context.released_table.held(7.5) == frozenset()
    assert context.due == [["w0"], [], ["w0"]], context.due


@when("a table renews the leases of {count:d} workers for {duration_s:d} seconds")
def renew_many_leases(context, count, duration_s):
    table = LeaseTable(5.0)
    granters = {f"w{index}": GranterLease() for index in range(count)}
    table.track(granters, 0.0)
    context.counts, context.held_counts = [], []
    for tick in range(duration_s * 10):
        now_s = tick / 10
        due = table.take_due(now_s)
        for name in due:
            grant = granters[name].claim("vm#1", 5.0, now_s)
            table.on_granted(name, grant.epoch, table.record_claim_sent(name, now_s), now_s + 0.01)
        context.counts.append(len(due))
        context.held_counts.append(table.held_count(now_s + 0.01))
    context.count = count


@then("every lease stays held and no tenth of a second has more than {limit:d} renewals")
def check_renewals(context, limit):
    assert set(context.held_counts[6:]) == {context.count}, Counter(context.held_counts)
    assert max(context.counts[6:]) <= limit, max(context.counts[6:])


@when("a renewal takes 3 seconds of a lease of 5 seconds")
def renew_slowly(context):
    context.lease = lease = HolderLease(5.0)
    lease.on_granted(1, 10.0, 13.0)
    context.remaining_s = lease.remaining_s(13.0)
    context.older = lease.on_granted(1, 9.0, 13.0)


@then("the holder may act for {remaining_s:f} seconds more and an older answer changes nothing")
def check_slow_renewal(context, remaining_s):
    assert abs(context.remaining_s - remaining_s) < 1e-9, context.remaining_s
    assert context.older == StaleAnswer()
    assert context.lease.may_act(14.74) and not context.lease.may_act(14.76)
