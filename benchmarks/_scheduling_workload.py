"""Seeded inputs: heavy-tailed run times, wrong sizes, batches, swings and stragglers."""

import random

from fireflywharf_core.jobs import JobKind, JobSpec
from fireflywharf_core.resources import ResourceVector

from ._simulated_domain import Arrival

STRAGGLER_PART = 0.1
STRAGGLER_FACTOR = 20.0


def heavy_tail_s(rng: random.Random, median_s: float, most_s: float) -> float:
    """Return a log-normal run time with a bound."""
    return min(most_s, rng.lognormvariate(0.0, 1.0) * median_s)


def straggling_s(rng: random.Random, median_s: float) -> float:
    """Return a run time; one in ten tasks runs many times longer."""
    factor = STRAGGLER_FACTOR if rng.random() < STRAGGLER_PART else 1.0
    return factor * heavy_tail_s(rng, median_s, 4 * median_s)


def wrong_by(rng: random.Random, factor: float) -> float:
    """Return an error between 1/factor and factor, even on a logarithmic scale."""
    return factor ** rng.uniform(-1.0, 1.0)


def task_size(rng: random.Random, cores_most: float = 4.0) -> ResourceVector:
    """Return a size with a tail towards large ones."""
    millicores = int(min(cores_most * 1000, 250 * rng.paretovariate(1.2)))
    return ResourceVector(millicores, max(64, int(millicores * rng.uniform(1.0, 6.0))))


def arrival(
    number: int,
    at_s: float,
    customer: str,
    usage: ResourceVector,
    run_times_s: list[float],
    **changes,
) -> Arrival:
    """Return a job; `changes` are further fields of its specification."""
    fields = {
        "job_id": f"j{number}",
        "customer": customer,
        "kind": JobKind.BATCH,
        "tasks_count": len(run_times_s),
        "size": usage,
    }
    return Arrival(at_s, JobSpec(**(fields | changes)), run_times_s, usage)
