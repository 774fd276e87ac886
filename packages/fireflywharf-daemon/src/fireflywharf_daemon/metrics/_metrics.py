"""Counters, gauges and histograms of a daemon."""

import contextlib
import threading
import time
from collections.abc import Iterator, Mapping
from enum import Enum

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, ProcessCollector

from fireflywharf_core.jobs import JobState
from fireflywharf_core.results import (
    CodeClass,
    Completed,
    NotRun,
    Outcome,
    OutcomeUnknown,
    ResultCode,
    describe_code,
)
from fireflywharf_core.routing import RoutingCounters

from ..settings import LinkKind

DECISION_BUCKETS_S = (0.0001, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1.0)
REQUEST_BUCKETS_S = (0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)
_REFUSAL_CLASSES = (CodeClass.NOT_RUN, CodeClass.INVALID)


class AppendResult(Enum):
    """Result of an append to the log."""

    DONE = "done"
    REFUSED = "refused"
    UNCERTAIN = "uncertain"


class _LabeledGauge:
    """Gauge with one label whose samples are replaced as a set."""

    def __init__(self, gauge: Gauge) -> None:
        self._gauge = gauge
        self._label_values: set[str] = set()
        self._lock = threading.Lock()

    def replace(self, values: Mapping[str, int]) -> None:
        """Set the samples to `values`, by label value, and remove all others."""
        with self._lock:
            for name in self._label_values - set(values):
                self._gauge.remove(name)
            for name, value in values.items():
                self._gauge.labels(name).set(value)
            self._label_values = set(values)


class Metrics:
    """Metrics of one daemon in a registry of their own.

    Implements the observers of the HTTP interface and of the mesh. Thread-safe.

    Args:
        links: kind of link to each peer by mesh address, used as a label of the traffic counters.

    Example:
        >>> metrics = Metrics()
        >>> metrics.count_retry("reset")
        >>> metrics.registry.get_sample_value(
        ...     "fireflywharf_retries_total", {"reason": "reset"}
        ... )
        1.0
    """

    def __init__(self, links: Mapping[str, LinkKind] | None = None) -> None:
        self.links = dict(links or {})
        self.registry = CollectorRegistry()
        self._copied_counts: dict[tuple[int, str], int] = {}
        ProcessCollector(registry=self.registry)
        self._make_counters()
        self._make_gauges()
        self._make_histograms()

    def _create_counter(self, name: str, documentation: str, *labels: str) -> Counter:
        return Counter(f"fireflywharf_{name}", documentation, labels, registry=self.registry)

    def _create_gauge(self, name: str, documentation: str, *labels: str) -> Gauge:
        return Gauge(f"fireflywharf_{name}", documentation, labels, registry=self.registry)

    def _make_counters(self) -> None:
        counter = self._create_counter
        self._refusals = counter("refusals", "Refused calls by result code", "code")
        self._retries = counter("retries", "Retries by reason", "reason")
        self._suppressed = counter(
            "suppressed_retries", "Retries that were not made, by reason", "reason"
        )
        self._cross_region = counter(
            "cross_region_request_bytes", "Request bytes sent to other regions", "reason"
        )
        self._request_codes = counter("request_codes", "Requests by result code", "code")
        self._requests = counter("requests", "Requests by outcome", "service", "outcome")
        self._jobs = counter("jobs", "Jobs by outcome", "outcome")
        self._http = counter("http_answers", "HTTP answers by result code", "route", "code")
        self._appends = counter("log_appends", "Appends to the log", "stream", "result")
        self._records = counter("log_records", "Records appended to the log", "stream")
        self._sent = counter("mesh_sent_bytes", "Bytes sent to peers", "link", "reason")
        self._received = counter(
            "mesh_received_bytes", "Bytes received from peers", "link", "reason"
        )
        self._dropped = counter("mesh_dropped", "Messages dropped", "link", "reason")

    def _make_gauges(self) -> None:
        gauge = self._create_gauge
        self._waiting_requests = _LabeledGauge(
            gauge("waiting_requests", "Requests that wait", "customer")
        )
        self._waiting_tasks = _LabeledGauge(gauge("waiting_tasks", "Tasks that wait", "customer"))
        self._free_slots = _LabeledGauge(
            gauge("free_slots", "Free request slots of held targets", "service")
        )
        self._slots = _LabeledGauge(gauge("slots", "Request slots of held targets", "service"))
        self._held_workers = gauge("held_workers", "Workers whose lease is held")
        self._held_targets = gauge("held_targets", "Targets whose lease is held")
        self._scheduler = gauge("scheduler", "1 while this daemon schedules its domain")
        self._ready = gauge("ready", "1 while this daemon accepts work")
        self._log_available = gauge("log_available", "1 while the log confirms appends")
        self._backlog = gauge("log_backlog_records", "Records that wait for the log")
        self._live_peers = gauge("live_peers", "Peers of the domain that are alive")

    def _make_histograms(self) -> None:
        self._request_wait = Histogram(
            "fireflywharf_request_wait_seconds",
            "Time from acceptance to the first send",
            ("kind",),
            registry=self.registry,
            buckets=REQUEST_BUCKETS_S,
        )
        self._request_time = Histogram(
            "fireflywharf_request_seconds",
            "Time from acceptance to the whole answer",
            ("kind",),
            registry=self.registry,
            buckets=REQUEST_BUCKETS_S,
        )
        self._decision_time = Histogram(
            "fireflywharf_decision_seconds",
            "Time of one round of decisions",
            ("part",),
            registry=self.registry,
            buckets=DECISION_BUCKETS_S,
        )

    def http_answered(self, route: str, code: ResultCode, elapsed_s: float) -> None:
        """Count an HTTP response, and a refusal if the code is of class `NOT_RUN` or `INVALID`."""
        self._http.labels(route, code.name).inc()
        if describe_code(code).code_class in _REFUSAL_CLASSES:
            self._refusals.labels(code.name).inc()

    def count_retry(self, reason: str) -> None:
        """Count a repeated send of a request."""
        self._retries.labels(reason).inc()

    def count_request(self, service: str, outcome: Outcome) -> None:
        """Count a request by its outcome."""
        match outcome:
            case Completed(code=ResultCode.OK):
                label = "completed"
            case Completed():
                label = "target_error"
            case NotRun():
                label = "not_run"
            case OutcomeUnknown():
                label = "unknown"
        self._requests.labels(service, label).inc()

    def observe_request_times(self, kind: str, wait_s: float, total_s: float) -> None:
        """Observe the queueing time and the total time of an executed request."""
        self._request_wait.labels(kind).observe(wait_s)
        self._request_time.labels(kind).observe(total_s)

    def count_finished_job(self, state: JobState) -> None:
        """Count a job that reached a final state."""
        self._jobs.labels(state.value).inc()

    def count_late_job(self) -> None:
        """Count a job that missed its deadline."""
        self._jobs.labels("late").inc()

    def count_append(self, stream: str, result: AppendResult, records_count: int) -> None:
        """Count an append to the log, and its records if it succeeded."""
        self._appends.labels(stream, result.value).inc()
        if result is AppendResult.DONE:
            self._records.labels(stream).inc(records_count)

    def mesh_sent(self, address: str, reason: str, size_bytes: int) -> None:
        """Count bytes sent to a peer."""
        self._sent.labels(self._get_link_label(address), reason).inc(size_bytes)

    def mesh_received(self, address: str, reason: str, size_bytes: int) -> None:
        """Count bytes received from a peer."""
        self._received.labels(self._get_link_label(address), reason).inc(size_bytes)

    def mesh_dropped(self, address: str, reason: str) -> None:
        """Count a message that was not sent or could not be decoded."""
        self._dropped.labels(self._get_link_label(address), reason).inc()

    @contextlib.contextmanager
    def time_decision(self, part: str) -> Iterator[None]:
        """Observe the duration of the `with` block as a round of decisions of `part`."""
        started_s = time.perf_counter()
        try:
            yield
        finally:
            self._decision_time.labels(part).observe(time.perf_counter() - started_s)

    def set_waiting(self, requests: Mapping[str, int], tasks: Mapping[str, int]) -> None:
        """Set the queue lengths by customer; remove the samples of all other customers."""
        self._waiting_requests.replace(requests)
        self._waiting_tasks.replace(tasks)

    def set_slots(self, free: Mapping[str, int], total: Mapping[str, int]) -> None:
        """Set the free and total slots of held targets by service."""
        self._free_slots.replace(free)
        self._slots.replace(total)

    def set_leases(self, *, scheduler: bool, workers_count: int, targets_count: int) -> None:
        """Set whether this daemon is the scheduler and how many workers and targets it holds."""
        self._scheduler.set(scheduler)
        self._held_workers.set(workers_count)
        self._held_targets.set(targets_count)

    def set_state(self, *, ready: bool, live_peers_count: int) -> None:
        """Set whether the daemon accepts work and the number of live peers of its domain."""
        self._ready.set(ready)
        self._live_peers.set(live_peers_count)

    def set_log(self, *, available: bool, backlog_count: int) -> None:
        """Set the availability of the log and the number of records that wait for it."""
        self._log_available.set(available)
        self._backlog.set(backlog_count)

    def copy_routing_counters(self, counters: RoutingCounters) -> None:
        """Add the increase of the router's counters since the previous call."""
        for reason, count in counters.retries.items():
            self._raise_counter(self._retries, reason.value, count)
        for reason, count in counters.suppressed_retries.items():
            self._raise_counter(self._suppressed, reason.value, count)
        for reason, count in counters.cross_region_bytes.items():
            self._raise_counter(self._cross_region, reason.value, count)
        for code, count in counters.outcomes.items():
            self._raise_counter(self._request_codes, code.name, count)

    def _raise_counter(self, counter: Counter, label: str, count: int) -> None:
        key = (id(counter), label)
        counter.labels(label).inc(count - self._copied_counts.get(key, 0))
        self._copied_counts[key] = count

    def _get_link_label(self, address: str) -> str:
        kind = self.links.get(address)
        return "unknown" if kind is None else kind.value
