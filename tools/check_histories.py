"""Runs seeded histories on a virtual clock and prints a table of promises and faults."""

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
REPORT = ROOT / "docs" / "measurements" / "histories.md"
PROCESSES_MAX = 4
HASH_SEED = "0"
SHOWN_MAX = 20
# A history of the quick set has less work and so takes less time.
QUICK_LOAD = {"jobs_count": 8, "requests_count": 25}
FULL_LOAD = {"jobs_count": 14, "requests_count": 50}
Job = tuple[int, tuple[str, ...], str, dict[str, int]]


def plan_histories(count: int, seed: int, planted: str, load: dict[str, int]) -> list[Job]:
    """Return the seed and faults of each history: none, each fault alone, then pairs."""
    rng = random.Random(seed)
    alone = [(), *((name,) for name in FAULTS)]
    pairs = list(itertools.combinations(FAULTS, 2))
    rng.shuffle(pairs)

    def endless() -> Iterator[tuple[str, ...]]:
        # Half of the histories have one fault at most, half have a pair.
        for one, two in zip(itertools.cycle(alone), itertools.cycle(pairs), strict=False):
            yield one
            yield two

    chosen = itertools.islice(endless(), count)
    return [(rng.getrandbits(32), faults, planted, load) for faults in chosen]


def run_one(job: Job) -> HistoryResult:
    """Run one history."""
    seed, faults, planted, load = job
    return run_history(seed, faults, planted, **load)


def column_of(faults: tuple[str, ...]) -> str:
    """Return the column of a history."""
    return {0: "none", 1: "".join(faults)}.get(len(faults), "pairs")


def make_table(results: list[HistoryResult]) -> str:
    """Return the table of violations and operations checked."""
    violations: Counter = Counter()
    checked: Counter = Counter()
    histories = Counter(column_of(result.faults) for result in results)
    for result in results:
        column = column_of(result.faults)
        violations[("errors", column)] += len(result.errors)
        for promise, count in result.checked.items():
            checked[(promise, column)] += count
        for violation in result.violations:
            violations[(violation.promise, column)] += 1
    columns = [name for name in ["none", *FAULTS, "pairs"] if histories[name]]
    rows = [["histories", *(histories[name] for name in columns), len(results)]]
    for promise in results[0].checked if results else ():
        cells = [f"{violations[(promise, n)]} / {checked[(promise, n)]}" for n in columns]
        broken = sum(violations[(promise, name)] for name in columns)
        total = sum(checked[(promise, name)] for name in columns)
        rows.append([promise.name, *cells, f"{broken} / {total}"])
    errors = [violations[("errors", name)] for name in columns]
    rows.append(["errors logged by the daemon", *errors, sum(errors)])
    # Faults become rows on the page, because 18 columns do not fit its width.
    header, *body = zip(*([["", *columns, "all"], *rows]), strict=True)
    return tabulate(body, headers=header, tablefmt="github")


def describe_broken(results: list[HistoryResult]) -> str:
    """Return one line for each of the first violations and errors."""
    lines = []
    for result in results:
        place = f"seed {result.seed} faults {list(result.faults)}"
        lines += [
            f"{place}: {row.promise.name} at {row.time_s:.2f} s: {row.detail}"
            for row in result.violations[:3]
        ]
        lines += [f"{place}: error: {text}" for text in result.errors[:2]]
    return "\n".join(lines[:SHOWN_MAX])


def write_report(table: str, command: str, elapsed_s: float, broken: str) -> None:
    """Write the page with the table."""
    promises = "\n".join(f"* {promise.name}: {promise.value}" for promise in Promise)
    REPORT.write_text(
        "# Histories on a virtual clock\n\n"
        "Each history runs the components of 2 or 3 entry VMs of one failure domain with 5 workers"
        " and 3\ntargets, under the named faults, and the checks of the core judge it. A cell"
        " shows violations /\noperations checked.\n\n"
        f"Command: `{command}`, {elapsed_s:.0f} s.\n\n{table}\n\n"
        "The promises of a graceful shutdown and of the fair share are checked elsewhere.\n\n"
        f"{promises}\n" + (f"\nBroken:\n\n```\n{broken}\n```\n" if broken else "")
    )


def parse_arguments() -> argparse.Namespace:
    """Return the arguments of the command."""
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


def run_all(jobs: list[Job], limit_s: float) -> list[HistoryResult]:
    """Run the histories until all are done or the time is over."""
    end_s = time.monotonic() + limit_s
    results = []
    processes = min(PROCESSES_MAX, max(1, (os.cpu_count() or 2) // 2))
    with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as pool:
        for start in range(0, len(jobs), 8 * processes):
            if time.monotonic() > end_s:
                break
            results += pool.map(run_one, jobs[start : start + 8 * processes])
    return results


def main() -> int:
    """Run the command and return its exit status."""
    arguments = parse_arguments()
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        # The order of sets follows the hash seed, and a history must be repeatable.
        environment = dict(os.environ, PYTHONHASHSEED=HASH_SEED)
        os.execve(sys.executable, [sys.executable, *sys.argv], environment)
    started_s = time.monotonic()
    load = dict(QUICK_LOAD if arguments.quick else FULL_LOAD)
    if arguments.jobs is not None:
        load["jobs_count"] = arguments.jobs
    if arguments.requests is not None:
        load["requests_count"] = arguments.requests
    if arguments.repeat is not None:
        jobs = [(arguments.repeat, tuple(arguments.fault), arguments.planted, load)]
        results = [run_one(jobs[0])]
    else:
        jobs = plan_histories(arguments.histories, arguments.seed, arguments.planted, load)
        if arguments.fault:
            jobs = [(seed, tuple(arguments.fault), *rest) for seed, _, *rest in jobs]
        results = run_all(jobs, arguments.limit_s)
    elapsed_s = time.monotonic() - started_s
    table, broken = make_table(results), describe_broken(results)
    print(table)
    if broken:
        print(broken)
    violations_count = sum(len(result.violations) + len(result.errors) for result in results)
    print(
        f"{len(results)} of {len(jobs)} histories in {elapsed_s:.1f} s,"
        f" {violations_count} violations and errors"
    )
    if not (
        arguments.no_report or arguments.planted or arguments.fault or arguments.repeat is not None
    ):
        command = " ".join(["tools/check_histories.py", *sys.argv[1:]])
        write_report(table, command, elapsed_s, broken)
    return 1 if violations_count or len(results) < len(jobs) else 0


if __name__ == "__main__":
    sys.exit(main())
