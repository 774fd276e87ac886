"""Steps for documentation and examples."""

import ast
import graphlib
import importlib.util
import json
import pathlib
import re
import shlex
import tomllib

import urllib3
from behave import then
from prometheus_client import CollectorRegistry

from fireflywharf_core.contracts import parse_contract
from fireflywharf_core.jobs import parse_job
from fireflywharf_daemon.metrics import Metrics
from fireflywharf_daemon.workflows import WorkflowMetrics

ROOT = pathlib.Path(__file__).resolve().parents[2]
CURL_BLOCK = re.compile(r"^```sh\n(.*?)^```", re.S | re.M)
LINK = re.compile(r"\]\(([^)#:\s]+)(?:#[^)\s]*)?\)")


def load_objects(folder):
    """Return the parsed TOML files of a folder under `examples`, by path."""
    paths = sorted((ROOT / "examples" / folder).rglob("*.toml"))
    assert paths, f"examples/{folder} has no file"
    return {path: tomllib.loads(path.read_text()) for path in paths}


@then("docs/result-codes.md is what tools/write_result_codes.py writes")
def check_result_codes(context):
    path = ROOT / "tools" / "write_result_codes.py"
    spec = importlib.util.spec_from_file_location("write_result_codes", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    written = (ROOT / "docs" / "result-codes.md").read_text()
    assert written == module.render_page(), "run .venv/bin/python tools/write_result_codes.py"


@then("every file in examples/contracts is a valid contract")
def check_contracts(context):
    for path, data in load_objects("contracts").items():
        _, problems = parse_contract(data)
        assert not problems, (path, list(map(str, problems)))


@then("every file in examples/jobs is a valid job of an example customer")
def check_jobs(context):
    contracts = {data["customer"]: data for data in load_objects("contracts").values()}
    for path, data in load_objects("jobs").items():
        _, problems = parse_job(data)
        assert not problems, (path, list(map(str, problems)))
        teams = [team["team"] for team in contracts[data["customer"]].get("teams", [])]
        assert data.get("team", "") in ["", *teams], path


@then("every relative link in README.md and docs leads to a file")
def check_links(context):
    pages = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
    missing = [
        f"{page.relative_to(ROOT)}: {link}"
        for page in pages
        for link in LINK.findall(page.read_text())
        if not (page.parent / link).exists()
    ]
    assert not missing, missing


def curl_requests(page):
    """Yield the method, URL and body of each curl command in the shell blocks of a page."""
    script = "\n".join(CURL_BLOCK.findall(page.read_text()))
    for command in script.split("curl ")[1:]:
        words = shlex.split(command.split("\ncurl ")[0].split("\nexport ")[0])
        url = next(word for word in words if word.startswith("http://"))
        body = words[words.index("-d") + 1] if "-d" in words else None
        method = words[words.index("-X") + 1] if "-X" in words else "POST" if body else "GET"
        yield method, url, body


@then("the daemon accepts every curl request in docs/callers.md")
def check_curl_requests(context):
    job_id = ""
    requests = list(curl_requests(ROOT / "docs" / "callers.md"))
    assert requests
    for method, template, body in requests:
        url = template.replace("$SERVER", context.daemon.address).replace("$JOB", job_id)
        headers = {"Content-Type": "application/json"}
        answer = urllib3.request(method, url, body=body, headers=headers, retries=False)
        document = json.loads(answer.data)
        assert document["class"] in ("completed", "pending"), (url, document)
        job_id = document.get("job_id", job_id)


@then("docs/OPERATIONS.md names every metric of the daemon and no other")
def check_metrics(context):
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    named = set(re.findall(r"\bfireflywharf_[a-z_]+", page))
    families = [
        *Metrics().registry.collect(),
        *WorkflowMetrics(CollectorRegistry()).registry.collect(),
    ]
    exported = {
        family.name + ("_total" if family.type == "counter" else "")
        for family in families
        if family.name.startswith("fireflywharf_")
    }
    assert named == exported, named ^ exported


def imported_modules(path, name, modules):
    """Yield the modules of the same package that a module imports, also those for type checking."""
    package = name if path.name == "__init__.py" else name.rpartition(".")[0]
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom):
            continue
        parts = package.split(".")
        start = ".".join(parts[: len(parts) - node.level + 1]) if node.level else ""
        source = ".".join(filter(None, [start, node.module]))
        for alias in node.names:
            found = f"{source}.{alias.name}" if f"{source}.{alias.name}" in modules else source
            # An import from the module's own package, as in `from . import name`, is no dependency.
            if found in modules and found not in (name, package):
                yield found


@then("the imports of every package form no cycle")
def check_import_cycles(context):
    for source in sorted((ROOT / "packages").glob("*/src/*")):
        modules = {}
        for path in source.rglob("*.py"):
            name = ".".join(path.relative_to(source.parent).with_suffix("").parts)
            modules[name.removesuffix(".__init__")] = path
        graph = {name: set(imported_modules(path, name, modules)) for name, path in modules.items()}
        graphlib.TopologicalSorter(graph).prepare()
