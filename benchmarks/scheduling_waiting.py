"""Measures waiting times of short jobs beside stragglers and of urgent jobs at full load."""

import pathlib
import random

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

from fireflywharf_core.jobs import JobKind  # noqa: E402
from fireflywharf_core.resources import ResourceVector  # noqa: E402
from fireflywharf_core.scheduling import FairShare, FirstComeFirstServed  # noqa: E402

from ._scheduling_workload import (
    draw_error_factor,
    draw_run_time_s,
    draw_straggling_run_time_s,
    draw_task_size,
    make_arrival,
)  # noqa: E402
from ._simulated_domain import (
    Arrival,
    SimulatedDomain,
    make_contract,
    make_worker_vms,
)  # noqa: E402
from ._table import Row, percentile  # noqa: E402

PAGE = "scheduling"
PLOT_PATH = pathlib.Path("docs/measurements/scheduling-waiting.png")
WORKERS_COUNT = 24
SHORT_MEDIAN_S = 1.0
LONG_MEDIAN_S = 30.0
LOAD_FACTOR = 1.3
SWING_PERIOD_S = 60.0
SWING_FACTOR = 1.6
BATCH_TASKS_COUNT = 20
URGENT_TARGET_S = 5.9
SHORT_TARGET_RATIO = 0.1


def make_mixed_arrivals(seed: int, until_s: float) -> list[Arrival]:
    """Return short and long jobs of alternating demand, with stragglers and wrong sizes."""
    rng, jobs, submitted_s = random.Random(seed), [], 0.0
    cores = WORKERS_COUNT * 16
    # Mean run times: 1.4 is the mean of the bounded log-normal factor, 2.9 that of the stragglers.
    mean_s = {"short": 1.4 * SHORT_MEDIAN_S * 2.9, "long": 1.4 * LONG_MEDIAN_S * 2.9}
    while submitted_s < until_s:
        demand_factor = SWING_FACTOR if int(submitted_s / SWING_PERIOD_S) % 2 else 2 - SWING_FACTOR
        kind = "short" if rng.random() < 0.8 else "long"
        median_s = SHORT_MEDIAN_S if kind == "short" else LONG_MEDIAN_S
        count = rng.choice([1, 5, BATCH_TASKS_COUNT])
        usage = draw_task_size(rng, cores_max=2.0)
        declared_size = ResourceVector(
            max(1, int(usage.processors_millicores * draw_error_factor(rng, 2))),
            max(1, int(usage.memory_mb * draw_error_factor(rng, 2))),
        )
        task_times_s = [draw_straggling_run_time_s(rng, median_s) for _ in range(count)]
        submitted_s += (
            mean_s[kind]
            * count
            * declared_size.processors_millicores
            / 1000
            / cores
            / LOAD_FACTOR
            / demand_factor
        )
        jobs.append(
            make_arrival(
                len(jobs),
                submitted_s,
                rng.choice(["a", "b"]),
                usage,
                task_times_s,
                size=declared_size,
                workload=kind,
                run_time_s=median_s * draw_error_factor(rng, 10),
            )
        )
    return jobs


def measure_short_work(seed: int, quick: bool) -> list[Row]:
    """Measure the waiting times of short and long tasks, and plot their distribution."""
    until_s, waiting_times_s = 240.0 if quick else 600.0, []
    for policy in (FirstComeFirstServed(), FairShare()):
        contracts = [make_contract("a"), make_contract("b")]
        domain = SimulatedDomain(policy, seed, make_worker_vms(WORKERS_COUNT), contracts)
        domain.run(make_mixed_arrivals(seed, until_s), until_s + 60.0)
        waiting_times_s.append(domain.measurements.waiting_times_s)
    if not quick:
        plot_waiting_times(waiting_times_s)
    rows = []
    for kind, quantile in (("short", 0.5), ("short", 0.99), ("long", 0.5), ("long", 0.99)):
        figures = [percentile(each.get(kind, []), quantile) for each in waiting_times_s]
        has_target = kind == "short" and quantile == 0.99
        rows.append(
            Row(
                subject=f"waiting p{quantile * 100:.0f} of {kind} work beside 10% stragglers",
                target="at most a tenth of baseline" if has_target else "",
                baseline=figures[0],
                present=figures[1],
                unit="s",
                met=figures[1] <= SHORT_TARGET_RATIO * figures[0] if has_target else None,
            )
        )
    for kind in ("short", "long"):
        rows.append(
            Row(
                subject=f"{kind} tasks started",
                target="",
                baseline=len(waiting_times_s[0].get(kind, [])),
                present=len(waiting_times_s[1].get(kind, [])),
                unit="",
                met=None,
            )
        )
    return rows


def plot_waiting_times(waiting_times_s: list[dict[str, list[float]]]) -> None:
    """Plot the distribution of waiting times to `PLOT_PATH`."""
    figure, axes = pyplot.subplots(figsize=(7, 4))
    for name, each in zip(("baseline", "present"), waiting_times_s, strict=True):
        for kind, style in (("short", "-"), ("long", "--")):
            values = sorted(each.get(kind, []))
            waiting_fractions = [1 - number / len(values) for number in range(len(values))]
            axes.plot(
                [max(v, 0.01) for v in values],
                waiting_fractions,
                style,
                label=f"{name}, {kind} work",
            )
    axes.set(xscale="log", yscale="log", xlabel="waiting time (s)", ylabel="part that waits longer")
    axes.legend()
    PLOT_PATH.parent.mkdir(parents=True, exist_ok=True)
    figure.tight_layout()
    figure.savefig(PLOT_PATH, dpi=100)
    pyplot.close(figure)


def make_full_load_arrivals(seed: int, until_s: float) -> list[Arrival]:
    """Return batch jobs that fill the domain, and urgent jobs that arrive meanwhile."""
    rng, jobs = random.Random(seed), []
    for number in range(400):
        task_times_s = [draw_run_time_s(rng, 60.0, 600.0) for _ in range(10)]
        jobs.append(
            make_arrival(number, 0.0, rng.choice(["a", "b"]), draw_task_size(rng), task_times_s)
        )
    submitted_s = 10.0
    while submitted_s < until_s:
        submitted_s += rng.expovariate(0.5)
        jobs.append(
            make_arrival(
                len(jobs),
                submitted_s,
                "c",
                draw_task_size(rng),
                [2.0] * rng.choice([1, 4, 16]),
                kind=JobKind.URGENT,
                workload="urgent",
            )
        )
    return jobs


def measure_urgent_work(seed: int, quick: bool) -> list[Row]:
    """Measure the longest waiting time of urgent tasks at full load, with and without reserve."""
    until_s, rows = 60.0 if quick else 300.0, []
    for name, percent in (("with 5% reserve", 5.0), ("without reserve", 0.0)):
        figures = []
        for policy in (FirstComeFirstServed(), FairShare()):
            contracts = [
                make_contract("a"),
                make_contract("b"),
                make_contract("c", urgent_reserve_percent=percent),
            ]
            domain = SimulatedDomain(policy, seed, make_worker_vms(WORKERS_COUNT), contracts)
            jobs = make_full_load_arrivals(seed, until_s)
            domain.run(jobs, until_s + 10.0)
            started = domain.measurements.waiting_times_s.get("urgent", [])
            urgent_tasks_count = sum(
                len(j.run_times_s) for j in jobs if j.spec.workload == "urgent"
            )
            figures.append(max(started) if len(started) == urgent_tasks_count else float("inf"))
        rows.append(
            Row(
                subject=f"latest start of urgent work at full load, {name}",
                target="within 5.9 s",
                baseline=None if figures[0] == float("inf") else figures[0],
                present=figures[1],
                unit="s",
                met=figures[1] <= URGENT_TARGET_S,
            )
        )
    return rows


def measure(seed: int, quick: bool) -> list[Row]:
    """Measure waiting times of short, long and urgent work."""
    return [*measure_short_work(seed, quick), *measure_urgent_work(seed, quick)]
