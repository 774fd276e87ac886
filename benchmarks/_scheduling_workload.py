"""Random jobs for the scheduling benchmarks: run times, stragglers, sizes and wrong estimates."""

import random

from fireflywharf_core.jobs import JobKind, JobSpec
from fireflywharf_core.resources import ResourceVector

from ._simulated_domain import Arrival

STRAGGLER_FRACTION = 0.1
STRAGGLER_FACTOR = 20.0


def draw_run_time_s(rng: random.Random, median_s: float, max_s: float) -> float:
    """Draw a log-normal run time in seconds, at most `max_s`."""
    return min(max_s, rng.lognormvariate(0.0, 1.0) * median_s)


def draw_straggling_run_time_s(rng: random.Random, median_s: float) -> float:
    """Draw a run time in seconds; stragglers run `STRAGGLER_FACTOR` times longer."""
    factor = STRAGGLER_FACTOR if rng.random() < STRAGGLER_FRACTION else 1.0
    return factor * draw_run_time_s(rng, median_s, 4 * median_s)


def draw_error_factor(rng: random.Random, factor: float) -> float:
    """Draw an error factor between 1/factor and factor, uniform on a logarithmic scale."""
    return factor ** rng.uniform(-1.0, 1.0)


def draw_task_size(rng: random.Random, cores_max: float = 4.0) -> ResourceVector:
    """Draw a task size from a Pareto distribution, at most `cores_max` cores."""
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
    """Return a batch job that arrives at a given time.

    Args:
        number: suffix of the job id.
        submitted_s: virtual time of the submission in seconds.
        customer: name of the contract.
        usage: resources that each task really uses; also the declared size by default.
        run_times_s: true run time of each task in seconds.
        **changed_fields: further fields of the `JobSpec`; they override the defaults.

    Returns:
        The arrival.
    """
    fields = {
        "job_id": f"j{number}",
        "customer": customer,
        "kind": JobKind.BATCH,
        "tasks_count": len(run_times_s),
        "size": usage,
    }
    return Arrival(submitted_s, JobSpec(**(fields | changed_fields)), run_times_s, usage)
