"""Runs seeded histories on a virtual clock and prints the violations by promise and fault."""

import argparse
import itertools
import os
import pathlib
import random
import sys
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

from tabulate import tabulate

from fireflywharf_core.history import Promise
from fireflywharf_testing.histories import FAULTS, PLANTED_DEFECTS, HistoryResult, run_history

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "measurements" / "histories.md"
PROCESSES_MAX = 4
HASH_SEED = "0"
SHOWN_LINES_MAX = 20
# The quick set runs smaller histories to save time.
QUICK_LOAD = {"jobs_count": 8, "requests_count": 25}
FULL_LOAD = {"jobs_count": 14, "requests_count": 50}
HistoryPlan = tuple[int, tuple[str, ...], str, dict[str, int]]


def plan_histories(count: int, seed: int, planted: str, load: dict[str, int]) -> list[HistoryPlan]:
    """Choose the seed and the faults of each history.

    Args:
        count: number of histories.
        seed: seed of the choice.
        planted: name of the defect to plant; empty for none.
        load: number of jobs and requests of each history.

    Returns:
        Plans that alternate between at most one fault and a pair of faults.
    """
    rng = random.Random(seed)
    single_faults = [(), *((name,) for name in FAULTS)]
    pairs = list(itertools.combinations(FAULTS, 2))
    rng.shuffle(pairs)

    def alternate_faults() -> Iterator[tuple[str, ...]]:
        # Half of the histories have at most one fault, half have a pair.
        for one, two in zip(itertools.cycle(single_faults), itertools.cycle(pairs), strict=False):
            yield one
            yield two

    chosen_faults = itertools.islice(alternate_faults(), count)
    return [(rng.getrandbits(32), faults, planted, load) for faults in chosen_faults]


def run_planned_history(plan: HistoryPlan) -> HistoryResult:
    """Run the history of a plan."""
    seed, faults, planted, load = plan
    return run_history(seed, faults, planted, **load)


def get_fault_column(faults: tuple[str, ...]) -> str:
    """Return the table column of a history with these faults."""
    return {0: "none", 1: "".join(faults)}.get(len(faults), "pairs")


def make_table(results: list[HistoryResult]) -> str:
    """Return a Markdown table of violations and checked operations by fault and promise."""
    violations: Counter = Counter()
    checked: Counter = Counter()
    histories = Counter(get_fault_column(result.faults) for result in results)
    for result in results:
        column = get_fault_column(result.faults)
        violations[("errors", column)] += len(result.errors)
        for promise, count in result.checked.items():
            checked[(promise, column)] += count
        for violation in result.violations:
            violations[(violation.promise, column)] += 1
    columns = [name for name in ["none", *FAULTS, "pairs"] if histories[name]]
    rows = [["histories", *(histories[name] for name in columns), len(results)]]
    for promise in results[0].checked if results else ():
        cells = [f"{violations[(promise, n)]} / {checked[(promise, n)]}" for n in columns]
        broken_count = sum(violations[(promise, name)] for name in columns)
        total = sum(checked[(promise, name)] for name in columns)
        rows.append([promise.name, *cells, f"{broken_count} / {total}"])
    errors = [violations[("errors", name)] for name in columns]
    rows.append(["errors logged by the daemon", *errors, sum(errors)])
    # The table is transposed, because 18 columns of faults are too wide for the page.
    header, *body = zip(*([["", *columns, "all"], *rows]), strict=True)
    return tabulate(body, headers=header, tablefmt="github")


def format_violations(results: list[HistoryResult]) -> str:
    """Return the first violations and errors of each history, one per line."""
    lines = []
    for result in results:
        history_label = f"seed {result.seed} faults {list(result.faults)}"
        lines += [
            f"{history_label}: {row.promise.name} at {row.time_s:.2f} s: {row.detail}"
            for row in result.violations[:3]
        ]
        lines += [f"{history_label}: error: {text}" for text in result.errors[:2]]
    return "\n".join(lines[:SHOWN_LINES_MAX])


def write_report(table: str, command: str, elapsed_s: float, violation_lines: str) -> None:
    """Write the page with the table."""
    promises = "\n".join(f"* {promise.name}: {promise.value}" for promise in Promise)
    PAGE.write_text(
        "# Histories on a virtual clock\n\n"
        "Each history runs the components of 2 or 3 entry VMs of one failure domain with 5 workers"
        " and 3\ntargets, under the named faults, and the checks of the core judge it. A cell"
        " shows violations /\noperations checked.\n\n"
        f"Command: `{command}`, {elapsed_s:.0f} s.\n\n{table}\n\n"
        "The promises of a graceful shutdown and of the fair share are checked elsewhere.\n\n"
        f"{promises}\n" + (f"\nBroken:\n\n```\n{violation_lines}\n```\n" if violation_lines else "")
    )


def parse_arguments() -> argparse.Namespace:
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--histories", type=int, default=1000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true", help="less work in each history")
    parser.add_argument("--planted", choices=PLANTED_DEFECTS, default="", help="plant a fault")
    parser.add_argument("--limit-s", type=float, default=240.0, help="end after this time")
    parser.add_argument("--no-report", action="store_true", help="do not write the page")
    parser.add_argument("--repeat", type=int, help="run one history of this seed only")
    parser.add_argument(
        "--fault", action="append", default=[], choices=list(FAULTS), help="in every history"
    )
    parser.add_argument("--jobs", type=int, help="jobs of each history")
    parser.add_argument("--requests", type=int, help="requests of each history")
    return parser.parse_args()


def run_all(plans: list[HistoryPlan], limit_s: float) -> list[HistoryResult]:
    """Run the histories in parallel processes; start no more after `limit_s` seconds."""
    end_s = time.monotonic() + limit_s
    results = []
    processes = min(PROCESSES_MAX, max(1, (os.cpu_count() or 2) // 2))
    with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as pool:
        for start in range(0, len(plans), 8 * processes):
            if time.monotonic() > end_s:
                break
            results += pool.map(run_planned_history, plans[start : start + 8 * processes])
    return results


def main() -> int:
    """Run the command and return its exit status."""
    arguments = parse_arguments()
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        # The order of sets depends on the hash seed, and a history must be reproducible.
        environment = dict(os.environ, PYTHONHASHSEED=HASH_SEED)
        os.execve(sys.executable, [sys.executable, *sys.argv], environment)
    started_s = time.monotonic()
    load = dict(QUICK_LOAD if arguments.quick else FULL_LOAD)
    if arguments.jobs is not None:
        load["jobs_count"] = arguments.jobs
    if arguments.requests is not None:
        load["requests_count"] = arguments.requests
    if arguments.repeat is not None:
        plans = [(arguments.repeat, tuple(arguments.fault), arguments.planted, load)]
        results = [run_planned_history(plans[0])]
    else:
        plans = plan_histories(arguments.histories, arguments.seed, arguments.planted, load)
        if arguments.fault:
            plans = [(seed, tuple(arguments.fault), *rest) for seed, _, *rest in plans]
        results = run_all(plans, arguments.limit_s)
    elapsed_s = time.monotonic() - started_s
    table, violation_lines = make_table(results), format_violations(results)
    print(table)
    if violation_lines:
        print(violation_lines)
    violations_count = sum(len(result.violations) + len(result.errors) for result in results)
    print(
        f"{len(results)} of {len(plans)} histories in {elapsed_s:.1f} s,"
        f" {violations_count} violations and errors"
    )
    if not (
        arguments.no_report or arguments.planted or arguments.fault or arguments.repeat is not None
    ):
        command = " ".join(["tools/check_histories.py", *sys.argv[1:]])
        write_report(table, command, elapsed_s, violation_lines)
    return 1 if violations_count or len(results) < len(plans) else 0


if __name__ == "__main__":
    sys.exit(main())
