"""Steps for seeded histories on a virtual clock."""

import os
import pathlib
import subprocess
import sys

from behave import then, when

from fireflywharf_core.history import record_to_json
from fireflywharf_testing.histories import record_history, run_history

TOOL = pathlib.Path(__file__).resolve().parents[2] / "tools" / "check_histories.py"
QUICK_LOAD = {"jobs_count": 8, "requests_count": 25}


def _faults(text):
    return tuple(name.strip() for name in text.split(","))


@when("{count:d} quick histories of seed {seed:d} are run")
def step_run_quick(context, count, seed):
    command = [sys.executable, str(TOOL), "--quick", "--no-report"]
    command += ["--histories", str(count), "--seed", str(seed), "--limit-s", "120"]
    context.done = subprocess.run(
        command, capture_output=True, text=True, timeout=150, check=False, env=dict(os.environ)
    )


@then("the histories command reports no violation")
def step_no_violation(context):
    output = context.done.stdout + context.done.stderr
    assert context.done.returncode == 0, output
    assert "40 of 40 histories" in output, output


@when(
    '{count:d} quick histories of seed {seed:d} are run with "{planted}" and the faults "{names}"'
)
def step_run_planted(context, count, seed, planted, names):
    context.results = [
        run_history(seed + number, _faults(names), planted, **QUICK_LOAD) for number in range(count)
    ]


@then('the histories report a violation of "{promise}"')
def step_violation(context, promise):
    found = [row.promise.name for result in context.results for row in result.violations]
    assert promise in found, found


@when('the history of seed {seed:d} with the faults "{names}" is run twice')
def step_run_twice(context, seed, names):
    runs = [record_history(seed, _faults(names), **QUICK_LOAD)[1] for _ in range(2)]
    context.runs = [[record_to_json(record) for record in run.records] for run in runs]


@then("both runs have the same records")
def step_same_records(context):
    first, second = context.runs
    assert len(first) > 100, len(first)
    assert first == second, next(
        pair for pair in zip(first, second, strict=False) if pair[0] != pair[1]
    )


@when('the history of seed {seed:d} with the faults "{names}" is run')
def step_run_one(context, seed, names):
    context.result = run_history(seed, _faults(names))


@when('the quick history of seed {seed:d} with the faults "{names}" is run')
def step_run_one_quick(context, seed, names):
    context.result = run_history(seed, _faults(names), **QUICK_LOAD)


@then("the history has no violation")
def step_no_violation_in_one(context):
    assert not context.result.violations, context.result.violations
    assert not context.result.errors, context.result.errors
