"""Steps for randomized faults."""

from behave import then, when
from soak import Soak


@when("daemons run for {seconds:d} s under the faults of seed {seed:d}")
def run_soak(context, seconds, seed):
    context.soak = Soak(seed, seconds)
    context.soak.run()


@then("no guarantee to callers was violated")
def check_soak(context):
    soak = context.soak
    assert soak.accepted_s, "no job was accepted"
    assert not soak.violations, (soak.violations[:5], soak.events, soak.kept_folders)
