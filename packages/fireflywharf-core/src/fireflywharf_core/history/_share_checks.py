"""Check of the shares of customers that wait for the same resources."""

import math
from collections import defaultdict
from collections.abc import Mapping

import attrs

from ..jobs import JobState, TaskId
from ..resources import ResourceVector
from ._effects import AttemptEnded, AttemptResized, AttemptStarted, RequestEnded, RequestStarted
from ._history import History
from ._observations import JobAcceptedSeen, JobStateSeen, RequestAnswered, RequestSent
from ._placement_checks import first_starts
from ._violation import Promise, Violation


@attrs.frozen(slots=True)
class Interval:
    """Time in which a customer was served, or waited, at a rate."""

    customer: str
    start_s: float
    end_s: float
    rate: float = 1.0

    def within(self, start_s: float, end_s: float) -> float:
        """Return rate times the overlap with a window."""
        return self.rate * max(0.0, min(self.end_s, end_s) - max(self.start_s, start_s))


def check_fair_share(
    history: History,
    weights: Mapping[str, float],
    window_s: float = 60.0,
    distance: float = 0.05,
    total: ResourceVector | None = None,
) -> list[Violation]:
    """Return a violation for each window in which a customer's service is off its share.

    A window counts for the customers that had waiting work during all of it. Their service is
    compared among each other; what others use is lent and does not count.

    Args:
        history: records of the run.
        weights: share weight of each customer.
        window_s: length of a window; windows follow each other from the first record.
        distance: allowed difference from the share, as a fraction of the share.
        total: resources of all workers, to check attempts by dominant resource; None checks
            requests by execution time instead.

    Returns:
        The violations.
    """
    if total is None:
        served, waiting = _request_service(history), _request_waiting(history)
    else:
        served, waiting = _attempt_service(history, total), _task_waiting(history)
    by_customer: dict[str, list[Interval]] = defaultdict(list)
    for entry in sorted(waiting, key=lambda item: item.start_s):
        by_customer[entry.customer].append(entry)
    violations = []
    start_s = history.records[0].time_s if history.records else 0.0
    while start_s + window_s <= history.end_s:
        end_s = start_s + window_s
        backlogged = [name for name in weights if _covers(by_customer[name], start_s, end_s)]
        violations += _check_window(served, weights, backlogged, (start_s, end_s), distance)
        start_s = end_s
    return violations


def _check_window(
    served: list[Interval],
    weights: Mapping[str, float],
    customers: list[str],
    window: tuple[float, float],
    distance: float,
) -> list[Violation]:
    if len(customers) < 2:
        return []
    service = {
        name: sum(entry.within(*window) for entry in served if entry.customer == name)
        for name in customers
    }
    total = sum(service.values())
    weight = sum(weights[name] for name in customers)
    violations = []
    for name in customers:
        share = weights[name] / weight
        got = service[name] / total if total > 0 else 0.0
        if abs(got - share) > distance * share:
            detail = f"{name} got {got:.3f} of the service in a window, its share is {share:.3f}"
            violations.append(Violation(Promise.FAIR_SHARE, detail, window[1]))
    return violations


def _covers(waiting: list[Interval], start_s: float, end_s: float) -> bool:
    """Return whether intervals, sorted by start, cover a window without a gap."""
    reached_s = start_s
    for entry in waiting:
        if entry.start_s > reached_s or reached_s >= end_s:
            break
        reached_s = max(reached_s, entry.end_s)
    return reached_s >= end_s


def _attempt_service(history: History, total: ResourceVector) -> list[Interval]:
    customers = {job.job_id: job.customer for job in history.of_type(JobAcceptedSeen)}
    open_: dict[tuple, tuple[float, ResourceVector]] = {}
    served = []

    def close(key: tuple, end_s: float) -> None:
        start_s, size = open_.pop(key, (end_s, ResourceVector()))
        customer = customers.get(key[1].task.job_id, "")
        served.append(Interval(customer, start_s, end_s, size.dominant_share(total)))

    for record in history.records:
        match record:
            case AttemptStarted():
                open_[(record.worker, record.attempt)] = (record.time_s, record.size)
            case AttemptResized():
                close((record.worker, record.attempt), record.time_s)
                open_[(record.worker, record.attempt)] = (record.time_s, record.size)
            case AttemptEnded():
                close((record.worker, record.attempt), record.time_s)
    for key in list(open_):
        close(key, history.end_s)
    return served


def _task_waiting(history: History) -> list[Interval]:
    starts = first_starts(history)
    ended_s: dict[str, float] = defaultdict(lambda: math.inf)
    for seen in history.of_type(JobStateSeen):
        if seen.state in (JobState.CANCELLED.value, JobState.FAILED.value):
            ended_s[seen.job_id] = min(ended_s[seen.job_id], seen.time_s)
    return [
        Interval(
            job.customer,
            job.time_s,
            min(starts.get(TaskId(job.job_id, index), math.inf), ended_s[job.job_id]),
        )
        for job in history.of_type(JobAcceptedSeen)
        for index in range(job.tasks_count)
    ]


def _request_service(history: History) -> list[Interval]:
    customers = {call.operation: call.customer for call in history.of_type(RequestSent)}
    ends_s = {
        (record.target, record.execution): record.time_s for record in history.of_type(RequestEnded)
    }
    return [
        Interval(
            customers.get(record.operation, ""),
            record.time_s,
            ends_s.get((record.target, record.execution), history.end_s),
        )
        for record in history.of_type(RequestStarted)
    ]


def _request_waiting(history: History) -> list[Interval]:
    starts: dict[str, float] = {}
    for record in history.of_type(RequestStarted):
        starts.setdefault(record.operation, record.time_s)
    answered = {record.call: record.time_s for record in history.of_type(RequestAnswered)}
    return [
        Interval(
            call.customer,
            call.time_s,
            min(starts.get(call.operation, math.inf), answered.get(call.call, math.inf)),
        )
        for call in history.of_type(RequestSent)
    ]
