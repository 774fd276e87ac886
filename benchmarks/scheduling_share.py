"""Fairness under wrong sizes, and packing with gangs."""

import math
import random

from fireflywharf_core.jobs import JobKind
from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.scheduling import Charging, FairShare, FirstComeFirstServed, Policy

from ._scheduling_workload import arrival, heavy_tail_s, straggling_s, task_size, wrong_by
from ._simulated_domain import Arrival, FakeDomain, contract, worker_rows
from ._table import Row

PAGE = "scheduling"
WEIGHTS = {"a": 4.0, "b": 3.0, "c": 2.0, "d": 1.0}
WARM_UP_S = 60
WINDOW_S = 60
SHARE_TARGET = 0.05
PACKING_TARGET = 0.95
FAIR_WORKERS_COUNT = 48
PACKING_WORKERS_COUNT = 100


def saturating_work(seed: int, until_s: float) -> list[Arrival]:
    """Return more work of each customer than its share, with sizes wrong by up to ten times."""
    rng, jobs, cores = random.Random(seed), [], FAIR_WORKERS_COUNT * 16
    # Errors are systematic for a workload of a customer, as they are when a caller never measures.
    errors = {
        (customer, workload): (wrong_by(rng, 10), wrong_by(rng, 10))
        for customer in WEIGHTS
        for workload in ("x", "y", "z")
    }
    for customer in WEIGHTS:
        at_s = 0.0
        while at_s < until_s:
            workload = rng.choice(["x", "y", "z"])
            usage, count = task_size(rng, cores_most=2.0), rng.choice([1, 5, 20])
            processors, memory = errors[(customer, workload)]
            declared = ResourceVector(
                min(16000, max(1, int(usage.processors_millicores * processors))),
                min(65536, max(1, int(usage.memory_mb * memory))),
            )
            times = [straggling_s(rng, 4.0) for _ in range(count)]
            work = sum(times) * usage.processors_millicores / 1000
            # Each customer offers 1.3 times the whole domain, so that it always has work waiting.
            at_s += work / cores / 1.3
            jobs.append((at_s, customer, usage, times, declared, workload))
    jobs.sort(key=lambda job: job[0])
    return [
        arrival(
            number, at_s, customer, usage, times, size=declared, workload=workload, run_time_s=4.0
        )
        for number, (at_s, customer, usage, times, declared, workload) in enumerate(jobs)
    ]


def worst_deviation(policy: Policy, seed: int, minutes: int) -> float:
    """Return the largest relative distance of a customer from its share in any minute."""
    until_s = WARM_UP_S + 60.0 * minutes
    contracts = [contract(name, weight) for name, weight in WEIGHTS.items()]
    domain = FakeDomain(policy, seed, worker_rows(FAIR_WORKERS_COUNT), contracts)
    total = ResourceVector(FAIR_WORKERS_COUNT * 16000, FAIR_WORKERS_COUNT * 65536)
    samples: list[dict[str, float]] = []

    def sample(world: FakeDomain) -> None:
        used = world.used_by_customer()
        samples.append(
            {name: used[name].dominant_share(total) if name in used else 0.0 for name in WEIGHTS}
        )

    domain.run(saturating_work(seed, until_s), until_s, sample)
    worst, weights = 0.0, sum(WEIGHTS.values())
    for begin in range(WARM_UP_S, len(samples) - WINDOW_S + 1, WINDOW_S // 4):
        window = samples[begin : begin + WINDOW_S]
        sums = {name: sum(each[name] for each in window) for name in WEIGHTS}
        everything = sum(sums.values()) or math.inf
        for name, weight in WEIGHTS.items():
            share = sums[name] / everything
            worst = max(worst, abs(share / (weight / weights) - 1))
    return worst


def measure_fairness(seed: int, quick: bool) -> list[Row]:
    """Measure the share of each customer with variants of charging and of size correction."""
    minutes, rows = 1 if quick else 3, []
    baseline = worst_deviation(FirstComeFirstServed(), seed, minutes)
    for name, policy in (
        ("present", FairShare()),
        ("estimate charged first (ADR-039)", FairShare(charging=Charging.ESTIMATE_FIRST)),
        ("sizes not corrected", FairShare(correct_sizes=False)),
    ):
        figure = worst_deviation(policy, seed, minutes)
        rows.append(
            Row(
                subject=f"worst distance from share in a minute, wrong sizes, {name}",
                target="within 5%",
                baseline=100 * baseline,
                present=100 * figure,
                unit="%",
                met=figure <= SHARE_TARGET,
            )
        )
    return rows


def packing_work(seed: int) -> list[Arrival]:
    """Return a backlog of jobs of mixed sizes, a tenth of them gangs."""
    rng, jobs = random.Random(seed), []
    for number in range(3000):
        gang = rng.random() < 0.1
        count = rng.choice([8, 16, 32]) if gang else rng.choice([1, 5, 20])
        times = [heavy_tail_s(rng, 10.0, 60.0) for _ in range(count)]
        if gang:
            times = [times[0]] * count
        kind = JobKind.GANG if gang else JobKind.BATCH
        usage = task_size(rng)
        jobs.append(
            arrival(
                number,
                0.0,
                rng.choice("ab"),
                usage,
                times,
                kind=kind,
                workload=kind.value,
                run_time_s=10.0,
            )
        )
    return jobs


def packed_part(policy: Policy, seed: int, until_s: float) -> tuple[float, float]:
    """Return the mean used part of the scarcest resource, and started gangs."""
    rows = worker_rows(PACKING_WORKERS_COUNT)
    domain = FakeDomain(policy, seed, rows, [contract("a"), contract("b")], False)
    total = ResourceVector(PACKING_WORKERS_COUNT * 16000, PACKING_WORKERS_COUNT * 65536)
    samples = []

    def sample(world: FakeDomain) -> None:
        free = ResourceVector()
        for worker in world.workers.values():
            free += worker.free
        samples.append((total - free).dominant_share(total))

    domain.run(packing_work(seed), until_s, sample)
    settled = samples[20:]
    return sum(settled) / len(settled), float(len(domain.measures.waits.get("gang", [])))


def measure_packing(seed: int, quick: bool) -> list[Row]:
    """Measure the used part of the scarcest resource while work waits."""
    until_s = 60.0 if quick else 120.0
    figures = [packed_part(p, seed, until_s) for p in (FirstComeFirstServed(), FairShare())]
    return [
        Row(
            subject="used part of the scarcest resource while work waits, gangs included",
            target="95% or more",
            baseline=100 * figures[0][0],
            present=100 * figures[1][0],
            unit="%",
            met=figures[1][0] >= PACKING_TARGET,
        ),
        Row(
            subject="gang tasks started meanwhile",
            target="",
            baseline=figures[0][1],
            present=figures[1][1],
            unit="",
            met=None,
        ),
    ]


def measure(seed: int, quick: bool) -> list[Row]:
    """Measure fairness and packing."""
    return [*measure_fairness(seed, quick), *measure_packing(seed, quick)]
