"""Writes docs/CAPACITY.md: each figure is a measured slope times the size to design for.

The slopes are read from the tables under docs/measurements/, so that no figure of the page can
differ from a run. Run the commands that those pages name first.
"""

import pathlib
import re
import string

ROOT = pathlib.Path(__file__).resolve().parent.parent
MEASUREMENTS = ROOT / "docs" / "measurements"
TEMPLATE = ROOT / "tools" / "capacity_template.md"

WORKERS = 1100
TASKS = 17_000
DOMAINS = 24
ENTRY_VMS = 72
STARTS_PER_S = 940
JOBS_PER_DAY = 22_000
CHANGES_PER_DAY = 1700
TARGETS_PER_ENTRY_VM = 8
HEADER_BYTES = 60
DAY_S = 86_400
BUDGET_PROCESSOR_PERCENT = 2.5
BUDGET_MEMORY_MB = 128
BUDGET_KB_PER_S = 25


def read_value(page: str, label: str, column: int) -> float:
    """Return the number in a column of the row whose first cell is `label`."""
    for line in (MEASUREMENTS / page).read_text().splitlines():
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        if cells[0] == label:
            found = re.match(r"[-+0-9.e]+", cells[column])
            if found:
                return float(found[0])
    raise SystemExit(f"{page} has no number in column {column} of row {label!r}")


def slope(label: str) -> float:
    """Return a slope of the daemon."""
    return read_value("capacity.md", label, 1)


def state(label: str) -> float:
    """Return a figure of the state benchmarks."""
    return read_value("state.md", label, 3)


def scheduling(label: str) -> float:
    """Return a figure of the scheduling benchmarks."""
    return read_value("scheduling.md", label, 3)


def scheduler_figures() -> dict[str, float]:
    """Return what the scheduler of a failure domain costs."""
    workers, tasks = WORKERS / DOMAINS, TASKS / DOMAINS
    starts_per_s = STARTS_PER_S / DOMAINS
    idle = slope("processor of an idle daemon without workers")
    held = workers * slope("processor per held worker, renewals at 1/s")
    per_task_us = slope("processor per task start and end, jobs of 10")
    placing = starts_per_s * per_task_us / 1e4
    renewals = workers * slope("bytes of a renewal of an empty worker") / 1000
    lists = tasks * slope("bytes of a renewal per running attempt") / 1000
    starts = starts_per_s * slope("bytes of one start command") / 1000
    mesh = state("sent and received by a scheduler") / 1000
    records = starts_per_s * state("task end record, baseline JSON") * 4 / 3 / 1000
    total_percent = idle + held + placing
    total_kb = renewals + lists + starts + mesh + 2 * records
    return {
        "workers_per_domain": workers,
        "tasks_per_domain": tasks,
        "starts_per_domain": starts_per_s,
        "idle_percent": idle,
        "held_percent": held,
        "per_task_us": per_task_us,
        "placing_percent": placing,
        "scheduler_percent": total_percent,
        "scheduler_percent_factor": total_percent / BUDGET_PROCESSOR_PERCENT,
        "renewal_kb": renewals,
        "list_kb": lists,
        "start_kb": starts,
        "mesh_kb": mesh,
        "record_kb": records,
        "scheduler_kb": total_kb,
        "scheduler_kb_factor": total_kb / BUDGET_KB_PER_S,
        "delta_kb": renewals / 2 + 2 * starts_per_s * 0.2 + starts / 3 + mesh + 2 * records,
    }


def memory_figures() -> dict[str, float]:
    """Return the memory of an entry VM."""
    base = slope("memory of an idle daemon with 8 workers")
    workers = WORKERS / DOMAINS * slope("memory per held worker") / 1000
    facts = state("memory of jobs and contracts of a day")
    tasks = TASKS / DOMAINS * scheduling("memory per running task") / 1000
    keys = 50_000 * read_value(
        "routing.md", "memory of a remembered key with an answer of 64 bytes, bytes", 3
    )
    total = base + workers + facts + tasks + keys / 1e6
    return {
        "base_mb": base,
        "workers_mb": workers,
        "facts_mb": facts,
        "tasks_mb": tasks,
        "keys_mb": keys / 1e6,
        "memory_mb": total,
        "memory_factor": total / BUDGET_MEMORY_MB,
    }


def other_figures() -> dict[str, float]:
    """Return the figures of the links, the log, a worker and a target."""
    renewal = slope("bytes of a renewal of an empty worker")
    attempt = slope("bytes of a renewal per running attempt")
    per_worker = TASKS / WORKERS
    digest = state("digest, 4 services")
    cross_domain_links = DOMAINS * (DOMAINS - 1) * 2
    request_us = slope("processor per idempotent request")
    return {
        "worker_kb": (renewal + per_worker * attempt) / 1000,
        "tasks_per_worker": per_worker,
        "target_kb": slope("bytes of a renewal of a target") / 1000,
        "digest_bytes": digest,
        "digests_kb": cross_domain_links * (digest + HEADER_BYTES) / 1000,
        "entry_targets_kb": TARGETS_PER_ENTRY_VM * slope("bytes of a renewal of a target") / 1000,
        "poll_kb": 4 * slope("bytes of a read of the log without records") / 1000,
        "appends_per_s": state("appends a second of 72 entry VMs, baseline one per record"),
        "job_bytes": state("job record, baseline JSON"),
        "jobs_kb": JOBS_PER_DAY * state("job record, baseline JSON") / DAY_S / 1000,
        "contract_bytes": state("contract record, baseline JSON"),
        "contracts_kb": CHANGES_PER_DAY * state("contract record, baseline JSON") / DAY_S / 1000,
        "replay_s": state("replay of a day after a restart, time"),
        "replay_mb": state("replay of a day after a restart, bytes"),
        "request_us": request_us,
        "keyed_us": slope("processor per request with a claimed key"),
        "requests_in_budget": BUDGET_PROCESSOR_PERCENT * 1e4 / request_us,
        "requests_per_core": 1e6 / request_us,
        "replacements_mb": 340
        * ENTRY_VMS
        / (ENTRY_VMS + WORKERS)
        * state("replay of a day after a restart, bytes"),
    }


def show(value: float) -> str:
    """Return a number with three digits and without an exponent."""
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def main() -> None:
    """Fill the template."""
    figures = scheduler_figures() | memory_figures() | other_figures()
    shown = {name: show(value) for name, value in figures.items()}
    page = string.Template(TEMPLATE.read_text()).substitute(shown)
    (ROOT / "docs" / "CAPACITY.md").write_text(page)


if __name__ == "__main__":
    main()
