"""Measures decision times, placements per second, cancellations and memory of the scheduler."""

import random
import time
import tracemalloc

from fireflywharf_core.scheduling import (
    ContractChanged,
    DomainScheduler,
    FairShare,
    FirstComeFirstServed,
    JobAdmitted,
    JobCancelled,
    StartAnswered,
    StartTask,
    WorkerJoined,
    WorkerReport,
)

from ._scheduling_workload import draw_task_size, make_arrival
from ._simulated_domain import (
    Arrival,
    Measurements,
    SimulatedDomain,
    make_contract,
    make_worker_vms,
)
from ._table import Row, percentile

PAGE = "scheduling"
CUSTOMERS = [f"c{number}" for number in range(10)]
WORKERS = (275, 550, 1100)
TASKS_COUNT = 17_000
DECISION_TARGET_S = 0.005
PLACEMENTS_TARGET = 2000
CANCELLATIONS_COUNT = 10_000
URGENT_TARGET_S = 5.9


def make_long_running_arrivals(rng: random.Random, tasks_count: int) -> list[Arrival]:
    """Return jobs with `tasks_count` small tasks in total that do not end during the benchmark."""
    jobs, remaining_count = [], tasks_count
    while remaining_count > 0:
        count = min(remaining_count, rng.choice([1, 5, 20, 50]))
        remaining_count -= count
        usage = draw_task_size(rng, cores_max=0.35)
        jobs.append(make_arrival(len(jobs), 0.0, rng.choice(CUSTOMERS), usage, [1e6] * count))
    return jobs


def make_loaded_domain(policy, seed: int, workers_count: int, tasks_count: int) -> SimulatedDomain:
    """Return a domain that runs `tasks_count` long-running tasks."""
    vms = make_worker_vms(workers_count)
    domain = SimulatedDomain(policy, seed, vms, [make_contract(name) for name in CUSTOMERS], False)
    for job in make_long_running_arrivals(random.Random(seed), tasks_count):
        domain.submit(job)
        domain.decide()
    return domain


def measure_decision_times(
    policy, seed: int, workers_count: int, tasks_count: int, events_count: int
) -> Measurements:
    """Measure decisions in a loaded domain while `events_count` short jobs arrive and end."""
    domain, rng = make_loaded_domain(policy, seed, workers_count, tasks_count), random.Random(seed)
    domain.measurements = Measurements()
    for number in range(events_count):
        usage = draw_task_size(rng, cores_max=0.35)
        job = make_arrival(f"n{number}", domain.now_s, rng.choice(CUSTOMERS), usage, [1.0])
        domain.run([job], domain.now_s + 0.02)
    return domain.measurements


def measure_decisions(seed: int, quick: bool) -> list[Row]:
    """Measure decision times for different numbers of workers and running tasks."""
    rows, median_decision_s, events_count = [], {}, 300 if quick else 2000
    for load_fraction in (0.25, 1.0):
        for workers_count in WORKERS:
            figures = []
            for policy in (FirstComeFirstServed(), FairShare()):
                decision_measurements = measure_decision_times(
                    policy, seed, workers_count, int(TASKS_COUNT * load_fraction), events_count
                )
                figures.append(
                    (
                        percentile(decision_measurements.decision_times_s, 0.5),
                        percentile(decision_measurements.decision_times_s, 0.99),
                        percentile(decision_measurements.decision_processor_times_s, 0.99),
                    )
                )
            median_decision_s[(load_fraction, workers_count)] = figures[1][0]
            size_text = f"{workers_count} workers, {int(TASKS_COUNT * load_fraction)} tasks"
            for name, index in (("p50", 0), ("p99", 1), ("p99, processor time", 2)):
                present = figures[1][index]
                rows.append(
                    Row(
                        subject=f"decision {name}, {size_text}",
                        target="under 5 ms" if index == 1 else "",
                        baseline=figures[0][index] * 1e3,
                        present=present * 1e3,
                        unit="ms",
                        met=present < DECISION_TARGET_S if index == 1 else None,
                    )
                )
    p50_growth = median_decision_s[(1.0, WORKERS[-1])] / median_decision_s[(1.0, WORKERS[0])]
    rows.append(
        Row(
            subject="growth of decision p50 from 275 to 1,100 workers",
            target="below linear (4)",
            baseline=None,
            present=p50_growth,
            unit="",
            met=p50_growth < WORKERS[-1] / WORKERS[0],
        )
    )
    return rows


def measure_placements(seed: int, quick: bool) -> list[Row]:
    """Measure starts per second of scheduler time, including the answers to starts."""
    figures = []
    for policy in (FirstComeFirstServed(), FairShare()):
        measurements = make_loaded_domain(
            policy, seed, 1100, 4000 if quick else TASKS_COUNT
        ).measurements
        figures.append(measurements.starts_count / measurements.scheduler_time_s)
    return [
        Row(
            subject="placements per second on one core, 1,100 workers",
            target="2,000 or more",
            baseline=figures[0],
            present=figures[1],
            unit="/s",
            met=figures[1] >= PLACEMENTS_TARGET,
        )
    ]


def measure_cancellation_wave(policy, seed: int, count: int) -> tuple[float, float]:
    """Return the mean time of a cancellation and the time until a job submitted after it starts."""
    domain = SimulatedDomain(
        policy, seed, make_worker_vms(24), [make_contract(name) for name in CUSTOMERS]
    )
    rng = random.Random(seed)
    for number in range(count):
        usage = draw_task_size(rng)
        domain.submit(make_arrival(number, 0.0, CUSTOMERS[number % 10], usage, [1e6]))
    domain.decide()
    begin_s = time.perf_counter()
    for number in range(count):
        domain.scheduler.observe(JobCancelled(f"j{number}"), domain.now_s)
    cancellation_s = (time.perf_counter() - begin_s) / count
    domain.now_s = 1.0
    job = make_arrival("after", 1.0, "c0", draw_task_size(rng), [1.0])
    begin_s = time.perf_counter()
    domain.submit(job)
    starts_before = domain.measurements.starts_count
    while domain.measurements.starts_count == starts_before:
        domain.run([], domain.now_s + 0.02)
    return cancellation_s, time.perf_counter() - begin_s


def measure_cancellations(seed: int, quick: bool) -> list[Row]:
    """Measure many cancellations at once, and a tenth as many for comparison."""
    del quick
    baseline = measure_cancellation_wave(FirstComeFirstServed(), seed, CANCELLATIONS_COUNT)
    tenth_wave = measure_cancellation_wave(FairShare(), seed, CANCELLATIONS_COUNT // 10)
    present = measure_cancellation_wave(FairShare(), seed, CANCELLATIONS_COUNT)
    return [
        Row(
            subject="one of 10,000 cancellations, relative to one of 1,000",
            target="constant (under 2)",
            baseline=None,
            present=present[0] / tenth_wave[0],
            unit="",
            met=present[0] / tenth_wave[0] < 2,
        ),
        Row(
            subject="one of 10,000 cancellations",
            target="",
            baseline=baseline[0] * 1e6,
            present=present[0] * 1e6,
            unit="us",
            met=None,
        ),
        Row(
            subject="time of the start behind 10,000 cancellations",
            target="under 5.9 s",
            baseline=baseline[1],
            present=present[1],
            unit="s",
            met=present[1] < URGENT_TARGET_S,
        ),
    ]


def measure_memory_use(policy, seed: int, count: int) -> list[float]:
    """Return the bytes that the scheduler holds per worker, waiting job and running task."""
    rng, now_s = random.Random(seed), 0.0
    scheduler = DomainScheduler(policy=policy, rng=random.Random(seed))
    scheduler.observe(ContractChanged(make_contract("c0")), now_s)
    vms = make_worker_vms(count)
    jobs = [make_arrival(n, 0.0, "c0", draw_task_size(rng, 0.35), [1e6]).spec for n in range(count)]
    tracemalloc.start()
    traced_bytes = [tracemalloc.get_traced_memory()[0]]
    for vm in vms:
        scheduler.observe(WorkerJoined(vm), now_s)
        scheduler.observe(WorkerReport(vm.name, [], [], now_s), now_s)
    traced_bytes.append(tracemalloc.get_traced_memory()[0])
    for spec in jobs:
        scheduler.observe(JobAdmitted(spec=spec), now_s)
    traced_bytes.append(tracemalloc.get_traced_memory()[0])
    while True:
        for action in scheduler.decide(now_s):
            if isinstance(action, StartTask):
                scheduler.observe(StartAnswered(action.start.attempt, action.worker, True), now_s)
        if not scheduler.has_more_actions:
            break
    traced_bytes.append(tracemalloc.get_traced_memory()[0])
    tracemalloc.stop()
    return [
        (after - before) / count
        for before, after in zip(traced_bytes, traced_bytes[1:], strict=False)
    ]


def measure_memory(seed: int, quick: bool) -> list[Row]:
    """Measure the memory per worker, per waiting job of one task and per running task."""
    count = 500 if quick else 2000
    figures = [measure_memory_use(p, seed, count) for p in (FirstComeFirstServed(), FairShare())]
    return [
        Row(
            subject=f"memory per {name}",
            target="",
            baseline=baseline / 1024,
            present=present / 1024,
            unit="KiB",
            met=None,
        )
        for name, baseline, present in zip(
            ("worker", "waiting job", "running task"), *figures, strict=True
        )
    ]


def measure(seed: int, quick: bool) -> list[Row]:
    """Measure decision times, placements, cancellations and memory."""
    return [
        *measure_decisions(seed, quick),
        *measure_placements(seed, quick),
        *measure_cancellations(seed, quick),
        *measure_memory(seed, quick),
    ]
