"""Checks that customers competing for the same resources get their fair shares."""

import math
from collections import defaultdict
from collections.abc import Mapping

import attrs

from ..jobs import JobState, TaskId
from ..resources import ResourceVector
from ._effects import AttemptEnded, AttemptResized, AttemptStarted, RequestEnded, RequestStarted
from ._history import History
from ._observations import JobAcceptedSeen, JobStateSeen, RequestAnswered, RequestSent
from ._placement_checks import get_first_start_times
from ._violation import Promise, Violation


@attrs.frozen(slots=True)
class CustomerInterval:
    """Time in which a customer was served or waited.

    Attributes:
        customer: name of the customer.
        start_s: start in seconds.
        end_s: end in seconds.
        rate: service per second, such as the dominant share of an attempt.
    """

    customer: str
    start_s: float
    end_s: float
    rate: float = 1.0

    def get_weighted_overlap(self, start_s: float, end_s: float) -> float:
        """Return the rate times the length of the overlap with a window."""
        return self.rate * max(0.0, min(self.end_s, end_s) - max(self.start_s, start_s))


def check_fair_share(
    history: History,
    weights: Mapping[str, float],
    window_s: float = 60.0,
    max_relative_deviation: float = 0.05,
    total: ResourceVector | None = None,
) -> list[Violation]:
    """Return a violation for each window in which a customer's service deviates from its share.

    Only customers with waiting work during the whole window are compared, and only with each other.
    What the other customers use is borrowed capacity and does not count.

    Args:
        history: records of the run.
        weights: share weight of each customer.
        window_s: length of a window in seconds; the first one starts at the first record.
        max_relative_deviation: allowed difference from the share, as a fraction of the share.
        total: resources of all workers; the service of attempts is measured by dominant share.
            With None, the service of requests is measured by execution time instead.

    Returns:
        The violations, at the end time of their window.
    """
    if total is None:
        served, waits = _collect_request_service(history), _collect_request_waits(history)
    else:
        served, waits = _collect_attempt_service(history, total), _collect_task_waits(history)
    waits_by_customer: dict[str, list[CustomerInterval]] = defaultdict(list)
    for interval in sorted(waits, key=lambda item: item.start_s):
        waits_by_customer[interval.customer].append(interval)
    violations = []
    start_s = history.records[0].time_s if history.records else 0.0
    while start_s + window_s <= history.end_s:
        end_s = start_s + window_s
        backlogged = [
            name for name in weights if _is_window_covered(waits_by_customer[name], start_s, end_s)
        ]
        violations += _check_window(
            served, weights, backlogged, (start_s, end_s), max_relative_deviation
        )
        start_s = end_s
    return violations


def _check_window(
    served: list[CustomerInterval],
    weights: Mapping[str, float],
    customers: list[str],
    window: tuple[float, float],
    max_relative_deviation: float,
) -> list[Violation]:
    """Return a violation for each of the customers whose service deviates in one window."""
    if len(customers) < 2:
        return []
    service = {
        name: sum(
            interval.get_weighted_overlap(*window)
            for interval in served
            if interval.customer == name
        )
        for name in customers
    }
    total_service = sum(service.values())
    total_weight = sum(weights[name] for name in customers)
    violations = []
    for name in customers:
        expected_share = weights[name] / total_weight
        actual_share = service[name] / total_service if total_service > 0 else 0.0
        if abs(actual_share - expected_share) > max_relative_deviation * expected_share:
            detail = (
                f"{name} got {actual_share:.3f} of the service in a window,"
                f" its share is {expected_share:.3f}"
            )
            violations.append(Violation(Promise.FAIR_SHARE, detail, window[1]))
    return violations


def _is_window_covered(waits: list[CustomerInterval], start_s: float, end_s: float) -> bool:
    """Return whether intervals, sorted by start, cover a window without gaps."""
    covered_until_s = start_s
    for interval in waits:
        if interval.start_s > covered_until_s or covered_until_s >= end_s:
            break
        covered_until_s = max(covered_until_s, interval.end_s)
    return covered_until_s >= end_s


def _collect_attempt_service(history: History, total: ResourceVector) -> list[CustomerInterval]:
    """Return the running times of attempts, rated by their dominant share of `total`."""
    customers = {job.job_id: job.customer for job in history.of_type(JobAcceptedSeen)}
    running_attempts: dict[tuple, tuple[float, ResourceVector]] = {}
    served = []

    def close_interval(key: tuple, end_s: float) -> None:
        start_s, size = running_attempts.pop(key, (end_s, ResourceVector()))
        customer = customers.get(key[1].task.job_id, "")
        served.append(CustomerInterval(customer, start_s, end_s, size.dominant_share(total)))

    for record in history.records:
        match record:
            case AttemptStarted():
                running_attempts[(record.worker, record.attempt)] = (record.time_s, record.size)
            case AttemptResized():
                close_interval((record.worker, record.attempt), record.time_s)
                running_attempts[(record.worker, record.attempt)] = (record.time_s, record.size)
            case AttemptEnded():
                close_interval((record.worker, record.attempt), record.time_s)
    for key in list(running_attempts):
        close_interval(key, history.end_s)
    return served


def _collect_task_waits(history: History) -> list[CustomerInterval]:
    """Return the time of each task from acceptance to its first start, failure or cancellation."""
    starts = get_first_start_times(history)
    ended_s: dict[str, float] = defaultdict(lambda: math.inf)
    for seen in history.of_type(JobStateSeen):
        if seen.state in (JobState.CANCELLED.value, JobState.FAILED.value):
            ended_s[seen.job_id] = min(ended_s[seen.job_id], seen.time_s)
    return [
        CustomerInterval(
            job.customer,
            job.time_s,
            min(starts.get(TaskId(job.job_id, index), math.inf), ended_s[job.job_id]),
        )
        for job in history.of_type(JobAcceptedSeen)
        for index in range(job.tasks_count)
    ]


def _collect_request_service(history: History) -> list[CustomerInterval]:
    """Return the execution times of requests; those not ended last until the end of the history."""
    customers = {call.operation: call.customer for call in history.of_type(RequestSent)}
    ends_s = {
        (record.target, record.execution): record.time_s for record in history.of_type(RequestEnded)
    }
    return [
        CustomerInterval(
            customers.get(record.operation, ""),
            record.time_s,
            ends_s.get((record.target, record.execution), history.end_s),
        )
        for record in history.of_type(RequestStarted)
    ]


def _collect_request_waits(history: History) -> list[CustomerInterval]:
    """Return the time of each call from sending to the first execution or the answer."""
    starts: dict[str, float] = {}
    for record in history.of_type(RequestStarted):
        starts.setdefault(record.operation, record.time_s)
    answered = {record.call: record.time_s for record in history.of_type(RequestAnswered)}
    return [
        CustomerInterval(
            call.customer,
            call.time_s,
            min(starts.get(call.operation, math.inf), answered.get(call.call, math.inf)),
        )
        for call in history.of_type(RequestSent)
    ]
