"""Steps for the scheduler of a failure domain."""

from behave import then, when
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from scheduling_world import World

from fireflywharf_core.jobs import JobKind
from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.scheduling import FairShare, FirstComeFirstServed

POLICIES = {"fair share": FairShare(), "baseline": FirstComeFirstServed()}
SIZES = [ResourceVector(500, 512), ResourceVector(1500, 1024), ResourceVector(2000, 4000, 1)]

submissions = st.tuples(
    st.just("submit"),
    st.sampled_from(list(JobKind)),
    st.integers(1, 5),
    st.sampled_from(SIZES),
    st.booleans(),
    st.sampled_from(["a", "b"]),
)
steps = st.tuples(st.just("step"), st.integers(1, 8))
faults = st.tuples(st.just("fault"), st.sampled_from(["none", "lossy", "refusing", "failing"]))
others = st.sampled_from([("cut",), ("heal",), ("cancel",), ("takeover",)])
sequences = st.lists(st.one_of(submissions, steps, faults, others), min_size=5, max_size=40)


def apply(world, operation):
    """Carry out one operation of a sequence."""
    match operation:
        case ("submit", kind, count, size, restartable, customer):
            world.submit(kind, count, size, restartable, customer)
        case ("step", count):
            for _ in range(count):
                world.step()
        case ("fault", fault):
            world.fault = fault
        case ("cut",):
            world.cut()
        case ("heal",):
            world.heal()
        case ("cancel",):
            world.cancel()
        case ("takeover",):
            world.new_scheduler()


@when('{count:d} random sequences of faults run under the "{policy}" policy')
def run_sequences(context, count, policy):
    context.worlds_count = 0

    # Shrinking a failure takes minutes; the failing sequence is printed as found.
    @settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        database=None,
        phases=[Phase.explicit, Phase.generate],
    )
    @given(sequences, st.integers(0, 2**16))
    def run(operations, seed):
        world = World(POLICIES[policy], seed)
        for operation in operations:
            apply(world, operation)
        world.settle()
        context.worlds_count += 1

    run()


@then("every job has reached its last state in at least {count:d} sequences")
def check_worlds(context, count):
    assert context.worlds_count >= count, context.worlds_count
