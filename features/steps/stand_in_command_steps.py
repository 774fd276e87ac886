"""Steps for the command that runs the stand-ins as a separate process."""

import json
import pathlib
import signal
import subprocess
import sys
import tempfile

import urllib3
from behave import then, when

from fireflywharf_core.history import AppendDone, record_from_json


def start_command(context, topology):
    folder = pathlib.Path(tempfile.mkdtemp(prefix="standin-"))
    (folder / "topology.toml").write_text(topology)
    context.effects_path = folder / "effects.jsonl"
    options = ["--topology", str(folder / "topology.toml"), "--effects", str(context.effects_path)]
    context.process = subprocess.Popen(
        [sys.executable, "-m", "fireflywharf_testing.main", *options],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(context.process.kill)


@when("the stand-in command runs a topology with 2 workers")
def run_command(context):
    start_command(
        context, '[[domains]]\nname = "centro"\nregion = "centro"\n[[domains.workers]]\ncount = 2\n'
    )


@then("the stand-in command prints the addresses and its log answers")
def check_command_log(context):
    addresses = json.loads(context.process.stdout.readline())
    assert sorted(addresses["workers"]) == ["centro-worker-1", "centro-worker-2"]
    url = f"http://{addresses['log']['centro']}/v1/streams/jobs/append"
    body = {"writer": "a", "sequence": 0, "records_base64": ["AAEC"]}
    answer = urllib3.request("POST", url, json=body, retries=False, timeout=5.0)
    assert answer.json() == {"first_offset": 0}


@then("the stand-in command exits with status 0 after SIGTERM")
def check_command_exit(context):
    context.process.send_signal(signal.SIGTERM)
    _, errors = context.process.communicate(timeout=20)
    assert context.process.returncode == 0 and errors == "", errors


@then("the stand-in's effects file holds the append")
def check_effects_file(context):
    lines = context.effects_path.read_text().splitlines()
    appends = [r for r in map(record_from_json, lines) if isinstance(r, AppendDone)]
    assert [record.writer for record in appends] == ["a"]


@when("the stand-in command runs a topology with four errors")
def run_invalid_command(context):
    start_command(
        context,
        'host = "8.8.8.8"\ntask_lease = 3\n[[domains]]\nname = "centro"\n'
        "[[domains.workers]]\ncount = 0\n",
    )


@then('the stand-in command exits with status 21 and names "{fields}"')
def check_topology_errors(context, fields):
    _, errors = context.process.communicate(timeout=20)
    named = sorted(line.split(": ")[1] for line in errors.splitlines())
    assert context.process.returncode == 21 and named == fields.split(", "), errors
