"""Writes docs/CAPACITY.md: multiplies measured costs by the cluster size that is designed for.

The costs are read from the tables under docs/measurements/, so that every figure of the page comes
from a run. Run the commands that those pages name before this tool.
"""

import pathlib
import re
import string

ROOT = pathlib.Path(__file__).resolve().parent.parent
MEASUREMENTS = ROOT / "docs" / "measurements"
TEMPLATE = ROOT / "tools" / "capacity_template.md"

WORKERS_COUNT = 1100
TASKS_COUNT = 17_000
DOMAINS_COUNT = 24
ENTRY_VMS_COUNT = 72
STARTS_PER_S = 940
JOBS_PER_DAY = 22_000
CHANGES_PER_DAY = 1700
TARGETS_PER_ENTRY_VM = 8
HEADERS_PER_DIGEST_BYTES = 60
DAY_S = 86_400
BUDGET_PROCESSOR_PERCENT = 2.5
BUDGET_MEMORY_MB = 128
BUDGET_KB_PER_S = 25


def read_value(page: str, label: str, column: int) -> float:
    """Read a number from a Markdown table.

    Args:
        page: file name under docs/measurements/.
        label: text of the first cell of the row.
        column: index of the column with the number.

    Returns:
        The number at the start of the cell; its unit is ignored.

    Raises:
        SystemExit: the page has no such row, or the cell has no number.
    """
    for line in (MEASUREMENTS / page).read_text().splitlines():
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        if cells[0] == label:
            number_match = re.match(r"[-+0-9.e]+", cells[column])
            if number_match:
                return float(number_match[0])
    raise SystemExit(f"{page} has no number in column {column} of row {label!r}")


def read_daemon_figure(label: str) -> float:
    """Read a measured cost of the daemon from capacity.md."""
    return read_value("capacity.md", label, 1)


def read_state_figure(label: str) -> float:
    """Read a result of the benchmarks of log processing from state.md."""
    return read_value("state.md", label, 3)


def read_scheduling_figure(label: str) -> float:
    """Read a result of the scheduling benchmarks from scheduling.md."""
    return read_value("scheduling.md", label, 3)


def compute_scheduler_figures() -> dict[str, float]:
    """Return the processor load and traffic of the scheduler of one failure domain."""
    workers_per_domain, tasks_per_domain = (
        WORKERS_COUNT / DOMAINS_COUNT,
        TASKS_COUNT / DOMAINS_COUNT,
    )
    starts_per_s = STARTS_PER_S / DOMAINS_COUNT
    idle_percent = read_daemon_figure("processor of an idle daemon without workers")
    held_workers_percent = workers_per_domain * read_daemon_figure(
        "processor per held worker, renewals at 1/s"
    )
    per_task_us = read_daemon_figure("processor per task start and end, jobs of 10")
    placing_percent = starts_per_s * per_task_us / 1e4
    renewals_kb = (
        workers_per_domain * read_daemon_figure("bytes of a renewal of an empty worker") / 1000
    )
    lists_kb = (
        tasks_per_domain * read_daemon_figure("bytes of a renewal per running attempt") / 1000
    )
    starts_kb = starts_per_s * read_daemon_figure("bytes of one start command") / 1000
    mesh_kb = read_state_figure("sent and received by a scheduler") / 1000
    records_kb = starts_per_s * read_state_figure("task end record, baseline JSON") * 4 / 3 / 1000
    total_percent = idle_percent + held_workers_percent + placing_percent
    total_kb = renewals_kb + lists_kb + starts_kb + mesh_kb + 2 * records_kb
    return {
        "workers_per_domain": workers_per_domain,
        "tasks_per_domain": tasks_per_domain,
        "starts_per_domain": starts_per_s,
        "idle_percent": idle_percent,
        "held_percent": held_workers_percent,
        "per_task_us": per_task_us,
        "placing_percent": placing_percent,
        "scheduler_percent": total_percent,
        "scheduler_percent_factor": total_percent / BUDGET_PROCESSOR_PERCENT,
        "renewal_kb": renewals_kb,
        "list_kb": lists_kb,
        "start_kb": starts_kb,
        "mesh_kb": mesh_kb,
        "record_kb": records_kb,
        "scheduler_kb": total_kb,
        "scheduler_kb_factor": total_kb / BUDGET_KB_PER_S,
        "delta_kb": renewals_kb / 2
        + 2 * starts_per_s * 0.2
        + starts_kb / 3
        + mesh_kb
        + 2 * records_kb,
    }


def compute_memory_figures() -> dict[str, float]:
    """Return the memory of an entry VM by part, in MB."""
    base_mb = read_daemon_figure("memory of an idle daemon with 8 workers")
    workers_mb = WORKERS_COUNT / DOMAINS_COUNT * read_daemon_figure("memory per held worker") / 1000
    jobs_and_contracts_mb = read_state_figure("memory of jobs and contracts of a day")
    tasks_mb = (
        TASKS_COUNT / DOMAINS_COUNT * read_scheduling_figure("memory per running task") / 1000
    )
    keys_bytes = 50_000 * read_value(
        "routing.md", "memory of a remembered key with an answer of 64 bytes, bytes", 3
    )
    total_mb = base_mb + workers_mb + jobs_and_contracts_mb + tasks_mb + keys_bytes / 1e6
    return {
        "base_mb": base_mb,
        "workers_mb": workers_mb,
        "facts_mb": jobs_and_contracts_mb,
        "tasks_mb": tasks_mb,
        "keys_mb": keys_bytes / 1e6,
        "memory_mb": total_mb,
        "memory_factor": total_mb / BUDGET_MEMORY_MB,
    }


def compute_other_figures() -> dict[str, float]:
    """Return the costs of links, log, workers, targets and requests."""
    renewal_bytes = read_daemon_figure("bytes of a renewal of an empty worker")
    attempt_bytes = read_daemon_figure("bytes of a renewal per running attempt")
    tasks_per_worker = TASKS_COUNT / WORKERS_COUNT
    digest_bytes = read_state_figure("digest, 4 services")
    cross_domain_links = DOMAINS_COUNT * (DOMAINS_COUNT - 1) * 2
    request_us = read_daemon_figure("processor per idempotent request")
    return {
        "worker_kb": (renewal_bytes + tasks_per_worker * attempt_bytes) / 1000,
        "tasks_per_worker": tasks_per_worker,
        "target_kb": read_daemon_figure("bytes of a renewal of a target") / 1000,
        "digest_bytes": digest_bytes,
        "digests_kb": cross_domain_links * (digest_bytes + HEADERS_PER_DIGEST_BYTES) / 1000,
        "entry_targets_kb": TARGETS_PER_ENTRY_VM
        * read_daemon_figure("bytes of a renewal of a target")
        / 1000,
        "poll_kb": 4 * read_daemon_figure("bytes of a read of the log without records") / 1000,
        "appends_per_s": read_state_figure(
            "appends a second of 72 entry VMs, baseline one per record"
        ),
        "job_bytes": read_state_figure("job record, baseline JSON"),
        "jobs_kb": JOBS_PER_DAY * read_state_figure("job record, baseline JSON") / DAY_S / 1000,
        "contract_bytes": read_state_figure("contract record, baseline JSON"),
        "contracts_kb": CHANGES_PER_DAY
        * read_state_figure("contract record, baseline JSON")
        / DAY_S
        / 1000,
        "replay_s": read_state_figure("replay of a day after a restart, time"),
        "replay_mb": read_state_figure("replay of a day after a restart, bytes"),
        "request_us": request_us,
        "keyed_us": read_daemon_figure("processor per request with a claimed key"),
        "requests_in_budget": BUDGET_PROCESSOR_PERCENT * 1e4 / request_us,
        "requests_per_core": 1e6 / request_us,
        "replacements_mb": 340
        * ENTRY_VMS_COUNT
        / (ENTRY_VMS_COUNT + WORKERS_COUNT)
        * read_state_figure("replay of a day after a restart, bytes"),
    }


def format_value(value: float) -> str:
    """Return a number as text: without decimals from 100 on, else with three significant digits."""
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def main() -> None:
    """Fill the template with the figures and write the page."""
    figures = compute_scheduler_figures() | compute_memory_figures() | compute_other_figures()
    figure_texts = {name: format_value(value) for name, value in figures.items()}
    page = string.Template(TEMPLATE.read_text()).substitute(figure_texts)
    (ROOT / "docs" / "CAPACITY.md").write_text(page)


if __name__ == "__main__":
    main()
