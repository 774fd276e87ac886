"""Sends load to the seven daemons of this folder and checks the history of the stand-ins."""

import pathlib
import re
import sys
import time
import tomllib

import defopt
import psutil
import urllib3
from tabulate import tabulate

from fireflywharf_core.history import History, check_history, record_from_json
from fireflywharf_testing import (
    HistoryRecorder,
    RecordingCaller,
    Workload,
    WorkloadPlan,
    outcome_table,
    wait_until,
)

FOLDER = pathlib.Path(__file__).parent
CONTRACTS_FOLDER = FOLDER.parent / "contracts" / "consortium"
CUSTOMERS = ("austral", "tico")
READY_TIMEOUT_S = 30.0
_MESH_BYTES = re.compile(
    r"^fireflywharf_mesh_(sent|received)_bytes_total\{link=\"(\w+)\".*\} (.+)$"
)


def read_settings() -> list[dict]:
    """Read the settings documents of the seven daemons."""
    return [tomllib.loads((FOLDER / f"entry-{n}.toml").read_text()) for n in range(1, 8)]


def read_mesh_bytes(metrics_address: str) -> dict[str, float]:
    """Read the mesh bytes, sent and received, of a daemon by kind of link from its metrics."""
    text = urllib3.request("GET", f"http://{metrics_address}/metrics").data.decode()
    totals: dict[str, float] = {}
    for line in text.splitlines():
        sample_match = _MESH_BYTES.match(line)
        if sample_match:
            totals[sample_match[2]] = totals.get(sample_match[2], 0.0) + float(sample_match[3])
    return totals


def apply_contracts(callers: dict[str, RecordingCaller]) -> None:
    """Apply the example contracts without rate limits, and wait until all daemons have them."""
    for customer, caller in callers.items():
        contract = tomllib.loads((CONTRACTS_FOLDER / f"{customer}.toml").read_text())
        contract["requests_per_second"] = "unlimited"
        contract["queue_max_requests"] = 10_000
        contract["default_deadline_s"] = 30.0
        caller.apply_contract("entry-1", contract, base_version=0, author="load")
        for vm in caller.entry_vms:
            wait_until(
                lambda c=caller, v=vm, n=customer: c.poll_contract(v, n).answer.get("version") == 1,
                10.0,
            )


def format_usage_table(pids: list[int], elapsed_s: float) -> str:
    """Return a table of processor load, memory and mesh traffic of each daemon."""
    rows = []
    for settings, pid in zip(read_settings(), pids, strict=True):
        process = psutil.Process(pid)
        times = process.cpu_times()
        traffic = read_mesh_bytes(settings["metrics"]["listen"])
        kb_per_s = {link: f"{size / 1000 / elapsed_s:.2f}" for link, size in traffic.items()}
        rows.append(
            [
                settings["vm"]["name"],
                settings["vm"]["failure_domain"],
                f"{100 * (times.user + times.system) / elapsed_s:.1f}",
                f"{process.memory_info().rss / 1e6:.0f}",
                kb_per_s.get("in_domain", "0"),
                kb_per_s.get("cross_region", "0"),
            ]
        )
    headers = ["daemon", "domain", "% of a core", "MB", "KB/s in domain", "KB/s cross region"]
    return tabulate(rows, headers=headers)


def run_load(*, effects: pathlib.Path, jobs: int, requests: int, pids: list[int]) -> int:
    """Run the load and print the outcomes, broken promises and resource usage per daemon.

    Args:
        effects: file to which the stand-ins write history records.
        jobs: number of jobs to submit.
        requests: number of requests to send.
        pids: process ids of the seven daemons, sorted by number.

    Returns:
        Exit status; above 0 when an outcome is missing or a promise is broken.
    """
    started_s = time.monotonic()
    recorder = HistoryRecorder()
    entry_vms = {row["vm"]["name"]: row["http"]["listen"] for row in read_settings()}
    callers = {name: RecordingCaller(recorder, entry_vms, name) for name in CUSTOMERS}
    probe = callers[CUSTOMERS[0]]

    def all_ready() -> bool:
        answers = [probe.exchange(vm, "GET", "/v1/status").answer for vm in entry_vms]
        return all(row.get("ready") for row in answers) and (
            sum(bool(row.get("scheduler")) for row in answers) == 3
        )

    if not wait_until(all_ready, READY_TIMEOUT_S, 0.2):
        print("the daemons did not become ready", file=sys.stderr)
        return 1
    print(f"7 daemons ready after {time.monotonic() - started_s:.1f} s", flush=True)
    apply_contracts(callers)
    plan = WorkloadPlan(
        jobs_count=jobs, requests_count=requests, concurrency=24, run_s=1.0, timeout_s=120.0
    )
    workload = Workload(callers, plan, lambda text: print(text, flush=True))
    load_started_s = time.monotonic()
    workload.run()
    print(f"load took {time.monotonic() - load_started_s:.1f} s")
    print(format_usage_table(pids, time.monotonic() - started_s))
    records = recorder.all()
    records += [record_from_json(line) for line in effects.read_text().splitlines()]
    print(outcome_table(workload.submitted, records))
    violations = check_history(History(records))
    for violation in violations[:20]:
        print(f"broken promise: {violation}", file=sys.stderr)
    missing = workload.missing_submissions()
    print(
        f"{len(workload.submitted)} submitted, {len(missing)} without an outcome,"
        f" {len(violations)} broken promises"
    )
    return 1 if missing or violations else 0


if __name__ == "__main__":
    sys.exit(defopt.run(run_load))
