"""Seeded inputs: heavy-tailed run times, wrong sizes, batches, swings and stragglers."""

import random

from fireflywharf_core.jobs import JobKind, JobSpec
from fireflywharf_core.resources import ResourceVector

from ._simulated_domain import Arrival

STRAGGLER_FRACTION = 0.1
STRAGGLER_FACTOR = 20.0


def draw_run_time_s(rng: random.Random, median_s: float, max_s: float) -> float:
    """Return a log-normal run time with a bound."""
    return min(max_s, rng.lognormvariate(0.0, 1.0) * median_s)


def draw_straggling_run_time_s(rng: random.Random, median_s: float) -> float:
    """Return a run time; one in ten tasks runs many times longer."""
    factor = STRAGGLER_FACTOR if rng.random() < STRAGGLER_FRACTION else 1.0
    return factor * draw_run_time_s(rng, median_s, 4 * median_s)


def draw_error_factor(rng: random.Random, factor: float) -> float:
    """Return an error between 1/factor and factor, even on a logarithmic scale."""
    return factor ** rng.uniform(-1.0, 1.0)


def draw_task_size(rng: random.Random, cores_max: float = 4.0) -> ResourceVector:
    """Return a size with a tail towards large ones."""
    millicores = int(min(cores_max * 1000, 250 * rng.paretovariate(1.2)))
    return ResourceVector(millicores, max(64, int(millicores * rng.uniform(1.0, 6.0))))


def make_arrival(
    number: int,
    submitted_s: float,
    customer: str,
    usage: ResourceVector,
    run_times_s: list[float],
    **changed_fields,
) -> Arrival:
    """Return a job; `changed_fields` are further fields of its specification."""
    fields = {
        "job_id": f"j{number}",
        "customer": customer,
        "kind": JobKind.BATCH,
        "tasks_count": len(run_times_s),
        "size": usage,
    }
    return Arrival(submitted_s, JobSpec(**(fields | changed_fields)), run_times_s, usage)
