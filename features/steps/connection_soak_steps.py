"""Steps for the connection soak."""

from behave import then, when
from connection_soak import ConnectionSoak


@when("connections go silent and the store rejects calls in {rounds:d} rounds of seed {seed:d}")
def run_connection_soak(context, rounds, seed):
    context.soak = ConnectionSoak(seed, rounds)
    context.soak.run()


@then("cancelled runs end in time and every daemon serves the newest configuration")
def check_connection_soak(context):
    soak = context.soak
    assert any("connections to the" in event for event in soak.events), soak.events
    lines = [*soak.breaches, *soak.events, *map(str, soak.kept_folders)]
    assert not soak.breaches, "\n".join(lines)
