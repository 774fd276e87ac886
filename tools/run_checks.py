"""Runs the formatter, the linter and all features; the last line is `N passed, N failed`.

Scenarios tagged `@known_red` are listed in KNOWN-RED.txt. They run and are printed, but do not
affect the exit status.
"""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCES = ["packages", "platform", "benchmarks", "features", "tools", "examples"]
MESSAGE_MAX_CHARACTERS = 2000
PARALLEL_FEATURES_COUNT = 4
"""Number of feature files that run concurrently; most of them wait for timers of daemons."""
SLOW_FEATURES = frozenset({"daemon_platform.feature"})
"""Feature files that take longest; they start first."""
FORMATTER = "checks_formatter:ChecksFormatter"
BIN = pathlib.Path(sys.executable).parent


def run_tool(name: str, command: list[str]) -> bool:
    """Run a static check, print its output if it fails, and return whether it passed."""
    process = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    print(f"{'ok' if process.returncode == 0 else 'FAILED'}: {name}", flush=True)
    if process.returncode != 0:
        print(process.stdout + process.stderr, flush=True)
    return process.returncode == 0


def shorten(text: str) -> str:
    """Return the start and the end of a long text; the path of the kept logs is at its end."""
    if len(text) <= MESSAGE_MAX_CHARACTERS:
        return text
    half = MESSAGE_MAX_CHARACTERS // 2
    return f"{text[:half]}\n[...]\n{text[-half:]}"


def print_failure(element: dict) -> None:
    """Print the failed step of a scenario and its message."""
    for step in element.get("steps", []):
        result = step.get("result", {})
        if result.get("status") in ("failed", "error"):
            message = result.get("error_message", "")
            message_text = "\n".join(message) if isinstance(message, list) else str(message)
            print(f"\n{element['name']}\n  {step['name']}\n{shorten(message_text)}")


def run_feature(path: pathlib.Path, tag_options: list[str]) -> list[tuple[str, str]]:
    """Run one feature file with behave and return the name and status of each scenario."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-capture", "--no-summary", *tag_options]
        command += ["-f", FORMATTER, "-o", str(report), str(path)]
        environment = dict(
            os.environ,
            PATH=f"{BIN}{os.pathsep}{os.environ.get('PATH', '')}",
            PYTHONPATH=f"{ROOT / 'tools'}{os.pathsep}{os.environ.get('PYTHONPATH', '')}",
        )
        started_s = time.monotonic()
        process = subprocess.run(
            command, cwd=ROOT, env=environment, capture_output=True, text=True, check=False
        )
        try:
            features = json.loads(report.read_text())
        except (OSError, ValueError):
            print(
                process.stdout[-MESSAGE_MAX_CHARACTERS:], process.stderr[-MESSAGE_MAX_CHARACTERS:]
            )
            return [(f"{path.name}: behave exited with status {process.returncode}", "failed")]
    elements = [element for feature in features for element in feature.get("elements", [])]
    for element in elements:
        print_failure(element)
    rows = [
        (f"{path.name}: {element['name']}", element["status"])
        for element in elements
        if element["type"] == "scenario" and element["status"] != "skipped"
    ]
    if process.returncode != 0 and all(status == "passed" for _, status in rows):
        rows.append((f"{path.name}: behave exited with status {process.returncode}", "failed"))
    if rows:
        elapsed_s = time.monotonic() - started_s
        print(f"{path.name}: {len(rows)} scenarios in {elapsed_s:.0f} s", flush=True)
    return rows


def run_features(tag_options: list[str]) -> list[tuple[str, str]]:
    """Run all feature files concurrently; return scenario names and statuses, sorted by file."""
    paths = sorted((ROOT / "features").glob("*.feature"))
    # Slow files start first, so that none of them runs alone at the end.
    paths_slow_first = sorted(paths, key=lambda path: (path.name not in SLOW_FEATURES, path.name))
    with ThreadPoolExecutor(PARALLEL_FEATURES_COUNT) as pool:
        running = {path: pool.submit(run_feature, path, tag_options) for path in paths_slow_first}
        return [row for path in paths for row in running[path].result()]


def main() -> int:
    """Run every check and return the exit status."""
    results = [
        run_tool("black", [str(BIN / "black"), "--check", "--quiet", *SOURCES]),
        run_tool("ruff", [str(BIN / "ruff"), "check", "--quiet", *SOURCES]),
    ]
    for name, status in (rows := run_features(["--tags=not @known_red"])):
        if status != "passed":
            print(f"{status}: {name}")
    results += [status == "passed" for _, status in rows]
    for name, status in run_features(["--tags=@known_red"]):
        print(f"known red ({status}): {name}")
    failed = results.count(False)
    print(f"{results.count(True)} passed, {failed} failed", flush=True)
    return 1 if failed or not rows else 0


if __name__ == "__main__":
    sys.exit(main())
