"""Steps for the connection soak."""

from behave import then, when
from connection_soak import ConnectionSoak


@when("connections go silent and the store rejects calls in {rounds:d} rounds of seed {seed:d}")
def run_connection_soak(context, rounds, seed):
    context.soak = ConnectionSoak(seed, rounds)
    context.soak.run()


@when("keys are revoked under these faults and suspensions in {rounds:d} round of seed {seed:d}")
def run_connection_soak_with_keys(context, rounds, seed):
    context.soak = ConnectionSoak(seed, rounds, with_keys=True)
    context.soak.run()


@then("no revoked key is accepted beyond the bound and no valid key is refused")
def check_keys(context):
    statuses = context.soak.callers.statuses
    assert statuses["valid 200"] and statuses["revoked 401"], statuses
    # A daemon that cannot decide by its own configuration asks a peer, whose 401 callers then see.
    assert context.soak.outdated_count > 0, context.soak.events


@then("cancelled runs end in time and every daemon serves the newest configuration")
def check_connection_soak(context):
    soak = context.soak
    assert any("connections to the" in event for event in soak.events), soak.events
    lines = [*soak.breaches, *soak.events, *map(str, soak.kept_folders)]
    assert not soak.breaches, "\n".join(lines)
