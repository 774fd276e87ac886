"""Measures fair shares when task sizes are declared wrongly, and packing of jobs and gangs."""

import math
import random

from fireflywharf_core.jobs import JobKind
from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.scheduling import Charging, FairShare, FirstComeFirstServed, Policy

from ._scheduling_workload import (
    draw_error_factor,
    draw_run_time_s,
    draw_straggling_run_time_s,
    draw_task_size,
    make_arrival,
)
from ._simulated_domain import Arrival, SimulatedDomain, make_contract, make_worker_vms
from ._table import Row

PAGE = "scheduling"
WEIGHTS = {"a": 4.0, "b": 3.0, "c": 2.0, "d": 1.0}
WARM_UP_DURATION_S = 60
WINDOW_S = 60
SHARE_TARGET = 0.05
PACKING_TARGET = 0.95
FAIRNESS_WORKERS_COUNT = 48
PACKING_WORKERS_COUNT = 100


def make_saturating_arrivals(seed: int, until_s: float) -> list[Arrival]:
    """Return jobs of each customer that exceed its share, with sizes wrong by up to ten times."""
    rng, jobs, cores = random.Random(seed), [], FAIRNESS_WORKERS_COUNT * 16
    # All jobs of a customer and workload have the same error, like those of a customer who never
    # measures a workload.
    error_factors = {
        (customer, workload): (draw_error_factor(rng, 10), draw_error_factor(rng, 10))
        for customer in WEIGHTS
        for workload in ("x", "y", "z")
    }
    for customer in WEIGHTS:
        submitted_s = 0.0
        while submitted_s < until_s:
            workload = rng.choice(["x", "y", "z"])
            usage, count = draw_task_size(rng, cores_max=2.0), rng.choice([1, 5, 20])
            processors, memory = error_factors[(customer, workload)]
            declared_size = ResourceVector(
                min(16000, max(1, int(usage.processors_millicores * processors))),
                min(65536, max(1, int(usage.memory_mb * memory))),
            )
            task_times_s = [draw_straggling_run_time_s(rng, 4.0) for _ in range(count)]
            processor_time_s = sum(task_times_s) * usage.processors_millicores / 1000
            # Each customer offers 1.3 times the capacity of the domain, so it always has waiting
            # work.
            submitted_s += processor_time_s / cores / 1.3
            jobs.append((submitted_s, customer, usage, task_times_s, declared_size, workload))
    jobs.sort(key=lambda job: job[0])
    return [
        make_arrival(
            number,
            submitted_s,
            customer,
            usage,
            task_times_s,
            size=declared_size,
            workload=workload,
            run_time_s=4.0,
        )
        for number, (
            submitted_s,
            customer,
            usage,
            task_times_s,
            declared_size,
            workload,
        ) in enumerate(jobs)
    ]


def measure_worst_deviation(policy: Policy, seed: int, minutes: int) -> float:
    """Return the largest relative deviation of a customer from its share in any minute."""
    until_s = WARM_UP_DURATION_S + 60.0 * minutes
    contracts = [make_contract(name, weight) for name, weight in WEIGHTS.items()]
    domain = SimulatedDomain(policy, seed, make_worker_vms(FAIRNESS_WORKERS_COUNT), contracts)
    total = ResourceVector(FAIRNESS_WORKERS_COUNT * 16000, FAIRNESS_WORKERS_COUNT * 65536)
    samples: list[dict[str, float]] = []

    def sample(simulated_domain: SimulatedDomain) -> None:
        used = simulated_domain.get_usage_by_customer()
        samples.append(
            {name: used[name].dominant_share(total) if name in used else 0.0 for name in WEIGHTS}
        )

    domain.run(make_saturating_arrivals(seed, until_s), until_s, sample)
    worst_deviation, total_weight = 0.0, sum(WEIGHTS.values())
    for begin in range(WARM_UP_DURATION_S, len(samples) - WINDOW_S + 1, WINDOW_S // 4):
        window = samples[begin : begin + WINDOW_S]
        sums = {name: sum(each[name] for each in window) for name in WEIGHTS}
        all_shares_sum = sum(sums.values()) or math.inf
        for name, weight in WEIGHTS.items():
            share = sums[name] / all_shares_sum
            worst_deviation = max(worst_deviation, abs(share / (weight / total_weight) - 1))
    return worst_deviation


def measure_fairness(seed: int, quick: bool) -> list[Row]:
    """Measure the shares of the customers for variants of charging and of size correction."""
    minutes, rows = 1 if quick else 3, []
    baseline = measure_worst_deviation(FirstComeFirstServed(), seed, minutes)
    for name, policy in (
        ("present", FairShare()),
        ("estimate charged first (ADR-039)", FairShare(charging=Charging.ESTIMATE_FIRST)),
        ("sizes not corrected", FairShare(correct_sizes=False)),
    ):
        figure = measure_worst_deviation(policy, seed, minutes)
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


def make_packing_arrivals(seed: int) -> list[Arrival]:
    """Return a backlog of jobs of mixed sizes; a tenth of them are gangs."""
    rng, jobs = random.Random(seed), []
    for number in range(3000):
        gang = rng.random() < 0.1
        count = rng.choice([8, 16, 32]) if gang else rng.choice([1, 5, 20])
        task_times_s = [draw_run_time_s(rng, 10.0, 60.0) for _ in range(count)]
        if gang:
            task_times_s = [task_times_s[0]] * count
        kind = JobKind.GANG if gang else JobKind.BATCH
        usage = draw_task_size(rng)
        jobs.append(
            make_arrival(
                number,
                0.0,
                rng.choice("ab"),
                usage,
                task_times_s,
                kind=kind,
                workload=kind.value,
                run_time_s=10.0,
            )
        )
    return jobs


def measure_packed_fraction(policy: Policy, seed: int, until_s: float) -> tuple[float, float]:
    """Return the mean used fraction of the scarcest resource and how many gang tasks started."""
    vms = make_worker_vms(PACKING_WORKERS_COUNT)
    domain = SimulatedDomain(policy, seed, vms, [make_contract("a"), make_contract("b")], False)
    total = ResourceVector(PACKING_WORKERS_COUNT * 16000, PACKING_WORKERS_COUNT * 65536)
    samples = []

    def sample(simulated_domain: SimulatedDomain) -> None:
        free = ResourceVector()
        for worker in simulated_domain.workers.values():
            free += worker.free
        samples.append((total - free).dominant_share(total))

    domain.run(make_packing_arrivals(seed), until_s, sample)
    settled_samples = samples[20:]
    return sum(settled_samples) / len(settled_samples), float(
        len(domain.measurements.waiting_times_s.get("gang", []))
    )


def measure_packing(seed: int, quick: bool) -> list[Row]:
    """Measure the used fraction of the scarcest resource while work waits."""
    until_s = 60.0 if quick else 120.0
    figures = [
        measure_packed_fraction(p, seed, until_s) for p in (FirstComeFirstServed(), FairShare())
    ]
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
