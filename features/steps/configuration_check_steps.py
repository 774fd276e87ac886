"""Steps for the check of a configuration before operators store it."""

import contextlib
import copy
import io
import itertools
import json
import pathlib
import re
import sys
import tempfile

from behave import given, then, when

sys.path.append(str(pathlib.Path(__file__).resolve().parents[2] / "platform"))

from fireflywharf_platform._sources import parse_configuration  # noqa: E402
from fireflywharf_platform._tasks import MalformedError  # noqa: E402
from fireflywharf_platform.check import main  # noqa: E402

QUEUE = {"host": "h", "service": "s", "priority": 1, "max_attempts": 3, "stretch": 2.0}
ADVICE = {"decision_ms": 5.0, "period_ms": 0.5, "validity_ms": 2000}
VALID = {
    "version": 1,
    "routes": [
        {**QUEUE, "name": "a", "path_prefix": "/a/", "target_duration_ms": 10, "public": True},
        {**QUEUE, "name": "b", "path_prefix": "/b/", "advice": ADVICE},
        *({**QUEUE, "name": name, "path_prefix": f"/{name}/"} for name in "cd"),
    ],
    "services": [{"name": "s", "standby": False}, {"name": "off", "standby": True}],
    "limits": {"max_body_bytes": 1000},
    "tenants": [
        {"name": name, "api_keys": [f"key-{number}"], "weight": 2.5, "cap": {"cpu": 4000, "gpu": 1}}
        for number, name in enumerate(("austral", "boreal", "cedro"), 1)
    ],
}
KEY = "key-1"
ODD_VALUES = [
    *(None, True, 0, -1, 2**53, 2**70, 10**300, 1e-300, 0.5, "", "x", "\u0000", "9" * 400),
    *([], [1], [None], {}, {"a": 1}, [[[[1]]]], [{}], KEY, [KEY], {KEY: KEY}),
]


def replace(content, path, value):
    """Return a copy of a configuration in which the value at a path is replaced or removed."""
    content = copy.deepcopy(content)
    node = content
    for part in path[:-1]:
        node = node[part]
    if value == "missing":
        del node[path[-1]]
    else:
        node[path[-1]] = value
    return content


def list_paths(node, path=()):
    """Yield the path of every value in a configuration."""
    items = node.items() if isinstance(node, dict) else enumerate(node)
    for part, value in items:
        yield (*path, part)
        if isinstance(value, dict | list):
            yield from list_paths(value, (*path, part))


def run_check(*texts, output="json"):
    """Return the exit status and the output of a check of one file, or of one against another."""
    stream = io.StringIO()
    with tempfile.TemporaryDirectory() as folder:
        paths = [pathlib.Path(folder, f"{number}.json") for number, _ in enumerate(texts)]
        for path, text in zip(paths, texts, strict=True):
            path.write_text(text)
        arguments = [str(paths[0]), "--output", output]
        arguments += ["--against", str(paths[1])] if len(paths) > 1 else []
        with contextlib.redirect_stdout(stream), contextlib.redirect_stderr(stream):
            status = main(arguments)
    return status, stream.getvalue()


@given("a valid configuration of the platform with these changes")
def change_configuration(context):
    context.content = VALID
    for row in context.table:
        parts = re.findall(r"\w+", row["path"])
        path = [int(part) if part.isdigit() else part for part in parts]
        value = "missing" if row["value"] == "missing" else json.loads(row["value"])
        context.content = replace(context.content, path, value)


@when("the configuration is checked")
def check_alone(context):
    context.status, output = run_check(json.dumps(context.content))
    context.document = json.loads(output)


@when("the configuration is checked against the valid one")
def check_against(context):
    context.status, output = run_check(json.dumps(context.content), json.dumps(VALID))
    context.document = json.loads(output)


@then("the exit status of the check is {status:d} and exactly these findings are reported")
def compare_findings(context, status):
    found = sorted((row["path"], row["severity"]) for row in context.document["findings"])
    expected = sorted((row["path"], row["severity"]) for row in context.table)
    assert (context.status, found) == (status, expected), context.document


@then("exactly these differences are reported")
def compare_differences(context):
    expected = [dict(zip(context.table.headings, row.cells, strict=True)) for row in context.table]
    assert context.document["differences"] == expected, context.document


@when("an odd value or a key replaces each value of a valid configuration in turn")
def check_odd_values(context):
    context.checks = []
    current = json.dumps({**VALID, "version": 0})
    outputs = itertools.cycle(["json", "table"])
    for path, value in itertools.product(list_paths(VALID), [*ODD_VALUES, "missing"]):
        # Only what stands in a team may be a key; names are shown.
        if KEY in json.dumps(value) and (path[0] != "tenants" or path[-1] == "name"):
            continue
        text = json.dumps(replace(VALID, path, value))
        context.checks.append((text, *run_check(text, current, output=next(outputs))))
    # A text that is no JSON.
    context.checks.append((KEY, *run_check(json.dumps(VALID)[:-1] + KEY)))


@then("a VM reads every configuration without errors completely, and no key is printed")
def check_agreement(context):
    for text, status, output in context.checks:
        assert status in (0, 20), (text, status, output)
        assert "key-" not in output, (text, output)
        if status:
            continue
        try:
            read = parse_configuration(text.encode())
        except MalformedError as error:
            raise AssertionError(text) from error
        raw = json.loads(text)
        assert len(read.teams) == len(raw.get("tenants") or ()), text
        assert len(read.queues) == len(raw.get("routes", ())), text
