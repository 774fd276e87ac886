"""Assignment of the tasks of a step to workers."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from operator import itemgetter

from ..resources import ResourceVector
from ._interference import NO_COSTS, InterferenceCosts
from ._state import Step, Worker
from ._worker_health import is_on_probation

UNLIMITED = 1 << 30
"""Number of tasks that fit if they need no resources."""


def fit_count(free: ResourceVector, size: ResourceVector) -> int:
    """Return how many times `size` fits into `free`."""
    # Called for every worker and waiting step in each decision; the built-in `min` and `max` take
    # half of the time.
    count = UNLIMITED
    if size.processors_millicores > 0:
        count = free.processors_millicores // size.processors_millicores
    if size.memory_mb > 0:
        by_memory = free.memory_mb // size.memory_mb
        if by_memory < count:
            count = by_memory
    if size.accelerators_count > 0:
        by_accelerators = free.accelerators_count // size.accelerators_count
        if by_accelerators < count:
            count = by_accelerators
    return count if count > 0 else 0


def limit_count(step: Step, worker: Worker, count: int) -> int:
    """Return `count` limited by the constraints of a step on a worker.

    Label requirements, the maximum number of tasks per worker and the probation of failing workers
    are taken into account.
    """
    if count <= 0:
        return 0
    spec = step.spec
    if spec.required_label and spec.required_label not in worker.info.labels:
        return 0
    if is_on_probation(worker):
        # A failed probe would end a whole gang, and on the last attempt the whole job.
        risky = spec.gang or any(
            len(numbers) + 1 >= step.job.queue.max_attempts for numbers in step.failures.values()
        )
        count = 0 if risky else min(count, 1 - len(worker.runs))
    if spec.max_per_worker > 0 and count > 0:
        present = sum(1 for task, _ in worker.runs if task.step_name == step.name)
        count = min(count, spec.max_per_worker - present)
    return max(0, count)


def placeable_count(step: Step, worker: Worker, free: ResourceVector) -> int:
    """Return how many further tasks of the step can start on the worker within `free`."""
    return limit_count(step, worker, fit_count(free, step.spec.demand))


def worker_rank(
    step: Step, worker: Worker, free: ResourceVector, now_s: float, cost: float = 0.0
) -> tuple:
    """Return the sort key of a worker for single tasks; the lowest one is preferred.

    Best fit: the fullest worker that fits comes first, which leaves large free blocks for wide
    steps. Slow workers, other racks than that of the data, workers with capacity reserved for a
    gang, and workers on which the task and the present runs slow each other (`cost`) come later.
    """
    return (
        now_s < worker.slow_until_s,
        bool(step.spec.data_rack) and worker.info.rack != step.spec.data_rack,
        any(holder is not step for holder in worker.reservations),
        cost,
        free.processors_millicores,
    )


def _split_places(
    ranked: Iterable[tuple[tuple, Worker, int]], cost_index: int, same_step: float, tasks_count: int
) -> list[tuple[tuple, Worker, int]]:
    """Return a row for each place of a worker, each with the cost of the tasks in the others.

    The places suffice for as many of `tasks_count` tasks as before.
    """
    return [
        (
            (*rank[:cost_index], rank[cost_index] + place * same_step, *rank[cost_index + 1 :]),
            worker,
            1,
        )
        for rank, worker, count in ranked
        for place in range(min(count, tasks_count))
    ]


def assign_singles(
    step: Step,
    free_by_worker: Mapping[Worker, ResourceVector],
    indices: Iterable[int],
    now_s: float,
    costs: InterferenceCosts = NO_COSTS,
) -> list[tuple[int, Worker]]:
    """Assign tasks that do not have to run at the same time.

    Args:
        step: step of the tasks.
        free_by_worker: free capacity of the eligible workers.
        indices: indices of the tasks.
        now_s: current local time, in seconds.
        costs: slowdown by the runs that are present on the workers.

    Returns:
        Pairs of task index and worker, for as many tasks as fit.
    """
    find_cost = costs.by_worker.get
    ranked = [
        (worker_rank(step, worker, free, now_s, find_cost(worker, 0.0)), worker, count)
        for worker, free in free_by_worker.items()
        if (count := placeable_count(step, worker, free)) > 0
    ]
    if costs.same_step > 0:
        ranked = _split_places(ranked, 3, costs.same_step, len(step.waiting))
    ranked.sort(key=itemgetter(0))
    left = [[worker, count] for _, worker, count in ranked]
    pairs = []
    for index in indices:
        avoided = step.avoided.get(index)
        chosen = None
        for row in left:
            if row[1] > 0 and (chosen is None or row[0].worker_id != avoided):
                chosen = row
                if row[0].worker_id != avoided:
                    break
        if chosen is None:
            break
        chosen[1] -= 1
        pairs.append((index, chosen[0]))
    return pairs


def _assign_in_order(
    indices: list[int], ordered: list[tuple[Worker, int]]
) -> list[tuple[int, Worker]] | None:
    pairs: list[tuple[int, Worker]] = []
    for worker, count in ordered:
        for _ in range(count):
            if len(pairs) == len(indices):
                return pairs
            pairs.append((indices[len(pairs)], worker))
    return pairs if len(pairs) == len(indices) else None


def _order_by_cost(
    counts: Iterable[tuple[Worker, int]],
    costs: InterferenceCosts,
    avoided: Container[str],
    tasks_count: int,
    now_s: float,
) -> list[tuple[Worker, int]]:
    """Return places for members of a gang, those with the least slowdown first."""
    ranked = [
        (
            (
                worker.worker_id in avoided,
                now_s < worker.slow_until_s,
                costs.by_worker.get(worker, 0.0),
                -count,
            ),
            worker,
            count,
        )
        for worker, count in counts
    ]
    if costs.same_step > 0:
        ranked = _split_places(ranked, 2, costs.same_step, tasks_count)
    ranked.sort(key=itemgetter(0))
    return [(worker, count) for _, worker, count in ranked]


def assign_gang(
    step: Step,
    free_by_worker: Mapping[Worker, ResourceVector],
    indices: list[int],
    now_s: float,
    costs: InterferenceCosts = NO_COSTS,
) -> list[tuple[int, Worker]] | None:
    """Assign all tasks of a gang, or none.

    Workers with the most free capacity come first, to spread the gang over few workers; slow
    workers and those on which a member failed or stalled come last. Before them come workers on
    which a member and the present runs slow each other: a gang is as slow as its slowest member. A
    rack-sensitive gang is placed on a single rack if one has enough capacity.

    Returns:
        Pairs of task index and worker, or None if the gang does not fit.
    """
    counts = [
        (worker, placeable_count(step, worker, free)) for worker, free in free_by_worker.items()
    ]
    counts = [row for row in counts if row[1] > 0]
    if sum(count for _, count in counts) < len(indices):
        return None
    avoided = set(step.avoided.values())
    if costs is NO_COSTS:
        counts.sort(
            key=lambda row: (row[0].worker_id in avoided, now_s < row[0].slow_until_s, -row[1])
        )
    else:
        counts = _order_by_cost(counts, costs, avoided, len(indices), now_s)
    preferred = step.spec.data_rack
    racks = [preferred] if preferred else []
    if step.spec.rack_sensitive:
        racks += sorted({worker.info.rack for worker, _ in counts} - {preferred})
    for rack in racks:
        pairs = _assign_in_order(indices, [row for row in counts if row[0].info.rack == rack])
        if pairs is not None:
            return pairs
    return _assign_in_order(indices, counts)
