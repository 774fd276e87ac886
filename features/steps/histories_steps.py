"""Steps for seeded histories in virtual time."""

import pathlib
import subprocess
import sys

from behave import then, when

from fireflywharf_core.history import record_to_json
from fireflywharf_testing.histories import record_history

TOOL = pathlib.Path(__file__).resolve().parents[2] / "tools" / "check_histories.py"
TIMEOUT_S = 150


def _run_tool(context, options, *more):
    # The options of a scenario contain underscores in place of the spaces in names of faults.
    arguments = [text.replace("_", " ") for text in options.split()]
    command = [sys.executable, str(TOOL), "--no-report", *arguments, *more]
    context.completed_process = subprocess.run(
        command, capture_output=True, text=True, timeout=TIMEOUT_S, check=False
    )
    context.output = context.completed_process.stdout + context.completed_process.stderr


@when('the histories command runs with "{options}"')
def step_run_histories(context, options):
    _run_tool(context, options)


@when('the fault "{fault}" is injected into histories with "{options}"')
def step_run_with_fault(context, fault, options):
    _run_tool(context, options, "--planted", fault)


@then("it reports no violation")
def step_no_violation(context):
    assert context.completed_process.returncode == 0, context.output
    assert ", 0 violations and errors" in context.output, context.output


@then('it reports a violation of "{promise}"')
def step_violation(context, promise):
    assert context.completed_process.returncode == 1, context.output
    assert f": {promise} at " in context.output, context.output


@when("a history with kills and lost calls is run twice with one seed")
def step_run_twice(context):
    faults = ("kill", "calls lost")
    runs = [record_history(7, faults, jobs_count=8, requests_count=25)[1] for _ in range(2)]
    context.runs = [[record_to_json(record) for record in run.records] for run in runs]


@then("both runs have the same records")
def step_same_records(context):
    first, second = context.runs
    assert len(first) > 100, len(first)
    assert first == second, [
        pair for pair in zip(first, second, strict=False) if len(set(pair)) > 1
    ]
