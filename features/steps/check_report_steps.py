"""Steps for the report of the checks on scenarios that do not pass."""

import contextlib
import io
import pathlib
import re
import shutil
import sys
import tempfile

from behave import given, then, when

ROOT = pathlib.Path(__file__).resolve().parents[2]
FEATURE = """Feature: Trial
  Scenario: a failure
    When a step fails after a log was written
  Scenario: an error
    When a step raises an error after a log was written
"""
STEPS = """
from behave import when
from run_folders import create_run_folder

def write_log():
    (create_run_folder() / "daemon.log").write_text("line")

@when("a step fails after a log was written")
def fail(context):
    write_log()
    assert False, "planted failure"

@when("a step raises an error after a log was written")
def raise_error(context):
    write_log()
    raise LookupError("planted error " + 5000 * "x")
"""


@given("features of which one step fails and one raises an error, each after a log was written")
def write_features(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.features = pathlib.Path(folder.name) / "features"
    (context.features / "steps").mkdir(parents=True)
    (context.features / "trial.feature").write_text(FEATURE)
    (context.features / "steps" / "trial_steps.py").write_text(STEPS)
    shutil.copy(ROOT / "features" / "environment.py", context.features)
    shutil.copy(ROOT / "features" / "steps" / "run_folders.py", context.features / "steps")


@when("the checks run them {count:d} times")
def run_checks(context, count):
    sys.path.append(str(ROOT / "tools"))
    from run_checks import run_feature

    for _ in range(count):
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            rows = run_feature(context.features / "trial.feature", [])
        assert [status for _, status in rows] == ["failed", "error"], (rows, output.getvalue())
    context.report = output.getvalue()


@then("the printed report has the failed assertion and the traceback of the error")
def check_messages(context):
    assert "planted failure" in context.report, context.report
    assert "Traceback" in context.report and "in raise_error" in context.report, context.report
    assert "LookupError" in context.report, context.report


@then("each printed folder of the last run has the log")
def check_folders(context):
    paths = re.findall(r"logs are kept in (\S+)", context.report)
    assert len(paths) == 3, context.report
    for path in paths:
        assert (pathlib.Path(path) / "daemon.log").read_text() == "line", path


@then("the folders of {count:d} failed scenarios are kept")
def check_count(context, count):
    kept = list((context.features.parent / "target" / "failed").iterdir())
    assert len(kept) == count, sorted(path.name for path in kept)
