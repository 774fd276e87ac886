"""Waiting of short work beside stragglers, and of urgent work at full load."""

import pathlib
import random

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

from fireflywharf_core.jobs import JobKind  # noqa: E402
from fireflywharf_core.resources import ResourceVector  # noqa: E402
from fireflywharf_core.scheduling import FairShare, FirstComeFirstServed  # noqa: E402

from ._scheduling_workload import (
    arrival,
    heavy_tail_s,
    straggling_s,
    task_size,
    wrong_by,
)  # noqa: E402
from ._simulated_domain import Arrival, FakeDomain, contract, worker_rows  # noqa: E402
from ._table import Row, percentile  # noqa: E402

PAGE = "scheduling"
PLOT = pathlib.Path("docs/measurements/scheduling-waiting.png")
WORKERS_COUNT = 24
SHORT_MEDIAN_S = 1.0
LONG_MEDIAN_S = 30.0
LOAD = 1.3
SWING_PERIOD_S = 60.0
SWING_FACTOR = 1.6
BATCH_TASKS_COUNT = 20
URGENT_TARGET_S = 5.9
SHORT_TARGET_RATIO = 0.1


def mixed_work(seed: int, until_s: float) -> list[Arrival]:
    """Return short and long jobs with swings; one task in ten straggles; sizes are wrong."""
    rng, jobs, at_s = random.Random(seed), [], 0.0
    cores = WORKERS_COUNT * 16
    # Mean run times of the two kinds, stragglers included, from their distributions.
    mean_s = {"short": 1.4 * SHORT_MEDIAN_S * 2.9, "long": 1.4 * LONG_MEDIAN_S * 2.9}
    while at_s < until_s:
        swing = SWING_FACTOR if int(at_s / SWING_PERIOD_S) % 2 else 2 - SWING_FACTOR
        kind = "short" if rng.random() < 0.8 else "long"
        median_s = SHORT_MEDIAN_S if kind == "short" else LONG_MEDIAN_S
        count = rng.choice([1, 5, BATCH_TASKS_COUNT])
        usage = task_size(rng, cores_most=2.0)
        declared = ResourceVector(
            max(1, int(usage.processors_millicores * wrong_by(rng, 2))),
            max(1, int(usage.memory_mb * wrong_by(rng, 2))),
        )
        times = [straggling_s(rng, median_s) for _ in range(count)]
        at_s += mean_s[kind] * count * declared.processors_millicores / 1000 / cores / LOAD / swing
        jobs.append(
            arrival(
                len(jobs),
                at_s,
                rng.choice(["a", "b"]),
                usage,
                times,
                size=declared,
                workload=kind,
                run_time_s=median_s * wrong_by(rng, 10),
            )
        )
    return jobs


def measure_short(seed: int, quick: bool) -> list[Row]:
    """Measure waiting of short tasks and draw its distribution."""
    until_s, waits = 240.0 if quick else 600.0, []
    for policy in (FirstComeFirstServed(), FairShare()):
        contracts = [contract("a"), contract("b")]
        domain = FakeDomain(policy, seed, worker_rows(WORKERS_COUNT), contracts)
        domain.run(mixed_work(seed, until_s), until_s + 60.0)
        waits.append(domain.measures.waits)
    if not quick:
        draw(waits)
    rows = []
    for kind, part in (("short", 0.5), ("short", 0.99), ("long", 0.5), ("long", 0.99)):
        figures = [percentile(each.get(kind, []), part) for each in waits]
        judged = kind == "short" and part == 0.99
        rows.append(
            Row(
                subject=f"waiting p{part * 100:.0f} of {kind} work beside 10% stragglers",
                target="at most a tenth of baseline" if judged else "",
                baseline=figures[0],
                present=figures[1],
                unit="s",
                met=figures[1] <= SHORT_TARGET_RATIO * figures[0] if judged else None,
            )
        )
    for kind in ("short", "long"):
        rows.append(
            Row(
                subject=f"{kind} tasks started",
                target="",
                baseline=len(waits[0].get(kind, [])),
                present=len(waits[1].get(kind, [])),
                unit="",
                met=None,
            )
        )
    return rows


def draw(waits: list[dict[str, list[float]]]) -> None:
    """Write the distribution of waiting times as a plot."""
    figure, axes = pyplot.subplots(figsize=(7, 4))
    for name, each in zip(("baseline", "present"), waits, strict=True):
        for kind, style in (("short", "-"), ("long", "--")):
            values = sorted(each.get(kind, []))
            parts = [1 - number / len(values) for number in range(len(values))]
            axes.plot([max(v, 0.01) for v in values], parts, style, label=f"{name}, {kind} work")
    axes.set(xscale="log", yscale="log", xlabel="waiting time (s)", ylabel="part that waits longer")
    axes.legend()
    PLOT.parent.mkdir(parents=True, exist_ok=True)
    figure.tight_layout()
    figure.savefig(PLOT, dpi=100)
    pyplot.close(figure)


def full_load(seed: int, until_s: float) -> list[Arrival]:
    """Return batch work that fills the domain and urgent jobs on top."""
    rng, jobs = random.Random(seed), []
    for number in range(400):
        times = [heavy_tail_s(rng, 60.0, 600.0) for _ in range(10)]
        jobs.append(arrival(number, 0.0, rng.choice(["a", "b"]), task_size(rng), times))
    at_s = 10.0
    while at_s < until_s:
        at_s += rng.expovariate(0.5)
        jobs.append(
            arrival(
                len(jobs),
                at_s,
                "c",
                task_size(rng),
                [2.0] * rng.choice([1, 4, 16]),
                kind=JobKind.URGENT,
                workload="urgent",
            )
        )
    return jobs


def measure_urgent(seed: int, quick: bool) -> list[Row]:
    """Measure the start of urgent tasks at full load."""
    until_s, rows = 60.0 if quick else 300.0, []
    for name, percent in (("with 5% reserve", 5.0), ("without reserve", 0.0)):
        figures = []
        for policy in (FirstComeFirstServed(), FairShare()):
            contracts = [
                contract("a"),
                contract("b"),
                contract("c", urgent_reserve_percent=percent),
            ]
            domain = FakeDomain(policy, seed, worker_rows(WORKERS_COUNT), contracts)
            jobs = full_load(seed, until_s)
            domain.run(jobs, until_s + 10.0)
            started = domain.measures.waits.get("urgent", [])
            wanted = sum(len(j.run_times_s) for j in jobs if j.spec.workload == "urgent")
            figures.append(max(started) if len(started) == wanted else float("inf"))
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
    """Measure waiting times."""
    return [*measure_short(seed, quick), *measure_urgent(seed, quick)]
