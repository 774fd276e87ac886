"""Checks the capacity of workers and targets and the placement of attempts."""

import math
from collections import defaultdict

from ..jobs import AttemptId, TaskId
from ..resources import ResourceVector
from ._effects import AttemptEnded, AttemptResized, AttemptStarted, RequestEnded, RequestStarted
from ._history import History
from ._violation import Promise, Violation


def format_attempt(attempt: AttemptId) -> str:
    """Return an attempt as text: `JOB_ID/TASK_INDEX#ATTEMPT_NUMBER`."""
    return f"{attempt.task.job_id}/{attempt.task.index}#{attempt.number}"


def check_capacity(history: History) -> list[Violation]:
    """Return a violation for each start or resize that exceeds a worker's or target's capacity."""
    violations = _check_worker_capacity(history) + _check_target_capacity(history)
    return sorted(violations, key=lambda violation: violation.time_s)


def _check_worker_capacity(history: History) -> list[Violation]:
    violations = []
    sizes: dict[str, dict[AttemptId, ResourceVector]] = defaultdict(dict)
    capacities: dict[str, ResourceVector] = {}
    for record in history.records:
        match record:
            case AttemptStarted():
                capacities[record.worker] = record.capacity
                sizes[record.worker][record.attempt] = record.size
            case AttemptResized() if record.attempt in sizes[record.worker]:
                sizes[record.worker][record.attempt] = record.size
            case AttemptEnded():
                sizes[record.worker].pop(record.attempt, None)
                continue
            case _:
                continue
        used = sum(sizes[record.worker].values(), ResourceVector())
        capacity = capacities[record.worker]
        if not used.fits_in(capacity):
            name = format_attempt(record.attempt)
            detail = f"{record.worker} has reserved {used} of {capacity} including {name}"
            violations.append(Violation(Promise.ROOM, detail, record.time_s))
    return violations


def _check_target_capacity(history: History) -> list[Violation]:
    violations = []
    executions: dict[str, set[int]] = defaultdict(set)
    for record in history.records:
        match record:
            case RequestStarted():
                running = executions[record.target]
                running.add(record.execution)
                if 0 < record.slots_count < len(running):
                    detail = f"{record.target} runs {len(running)} requests"
                    detail += f" in {record.slots_count} slots"
                    violations.append(Violation(Promise.ROOM, detail, record.time_s))
            case RequestEnded():
                executions[record.target].discard(record.execution)
    return violations


def check_single_placement(history: History) -> list[Violation]:
    """Return a violation for each attempt that starts while another attempt of its task runs."""
    violations = []
    running: dict[TaskId, dict[tuple[str, AttemptId], float]] = defaultdict(dict)
    for record in history.records:
        match record:
            case AttemptStarted():
                others = running[record.attempt.task]
                for worker, attempt in others:
                    detail = (
                        f"{format_attempt(record.attempt)} starts on {record.worker} while"
                        f" {format_attempt(attempt)} runs on {worker}"
                    )
                    violations.append(Violation(Promise.ONE_PLACE, detail, record.time_s))
                others[(record.worker, record.attempt)] = record.time_s
            case AttemptEnded():
                running[record.attempt.task].pop((record.worker, record.attempt), None)
    return violations


def get_first_start_times(history: History) -> dict[TaskId, float]:
    """Return the time of the first start of each task that started."""
    starts: dict[TaskId, float] = {}
    for record in history.of_type(AttemptStarted):
        starts[record.attempt.task] = min(record.time_s, starts.get(record.attempt.task, math.inf))
    return starts
