"""Prometheus metrics of the daemon for workflows."""

from __future__ import annotations

from collections.abc import Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)


class WorkflowMetrics:
    """Counters and latency histograms.

    Args:
        registry: registry in which the metrics are created.

    Example:
        >>> metrics = WorkflowMetrics(CollectorRegistry())
        >>> metrics.submissions.labels("accepted").inc()
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.registry = registry

        def counter(name: str, text: str, label: str) -> Counter:
            return Counter(f"fireflywharf_{name}", text, [label], registry=registry)

        def gauge(name: str, text: str, *labels: str) -> Gauge:
            return Gauge(f"fireflywharf_{name}", text, labels, registry=registry)

        def histogram(name: str, text: str) -> Histogram:
            return Histogram(
                f"fireflywharf_{name}_seconds", text, buckets=LATENCY_BUCKETS_S, registry=registry
            )

        self.submissions = counter("submissions_total", "Submissions by outcome.", "outcome")
        self.rejections = counter("rejections_total", "Rejected submissions.", "reason")
        self.early_cancellations = counter(
            "early_cancellations_total",
            "Cancellations of jobs that were not known to exist, by outcome.",
            "outcome",
        )
        self.unauthorized = counter(
            "unauthorized_total", "Calls that were refused for want of a key.", "queue"
        )
        self.stale_key_rejections = counter(
            "stale_key_rejections_total",
            "Calls that were rejected because the configuration was too old to check their key.",
            "queue",
        )
        self.configuration_age_s = Gauge(
            "fireflywharf_configuration_age_seconds",
            "Time since the latest read was sent that showed the newest configuration.",
            registry=registry,
        )
        self.ignored_entries = counter(
            "directory_entries_ignored_total",
            "Entries of the directory of workers that were ignored, by cause.",
            "cause",
        )
        self.starts = counter("run_starts_total", "Orders to start a run by result.", "result")
        self.ends = counter("run_ends_total", "Ends of runs as workers listed them.", "how")
        self.appends = counter(
            "scheduler_appends_total", "Appends of the scheduler by result.", "result"
        )
        self.progress_too_large = counter(
            "progress_too_large_total",
            "Progress records that were not stored for their size, by queue.",
            "queue",
        )
        self.tenures = counter("tenures_total", "Tenures of this daemon by event.", "event")
        self.forwarded_calls = counter(
            "forwarded_calls_total", "Calls that were forwarded to peers by result.", "result"
        )
        self.taken_calls = counter(
            "taken_calls_total", "Calls that peers have forwarded to this VM by result.", "result"
        )
        self.outage_s = Gauge(
            "fireflywharf_log_outage_seconds",
            "Time since the log last answered a read; 0 while reads succeed.",
            registry=registry,
        )
        self.interference_changes = counter(
            "interference_changes_total", "Pairs of tasks found to slow each other.", "event"
        )
        self.interference_pairs = gauge("interference_pairs", "Pairs of tasks by state.", "state")
        self.interference_slowdown = gauge(
            "interference_slowdown_ratio", "Additional run time.", "slowed", "neighbour"
        )
        self.interference_observations = gauge(
            "interference_observations", "Observed runs of a pair.", "slowed", "neighbour"
        )
        self.submission_s = histogram("submission", "Time to answer a submission.")
        self.append_s = histogram("scheduler_append", "Time of an append of the scheduler.")
        self.first_start_s = histogram(
            "first_start", "Time from reading a job to the start of its first run."
        )
        self.take_over_s = histogram(
            "take_over", "Time from standing for scheduler to the first decision."
        )
        self.team_held = Gauge(
            "fireflywharf_team_held_processors_millicores",
            "Processors that the runs of a team hold.",
            ["team"],
            registry=registry,
        )
        self.cap_held_steps = Gauge(
            "fireflywharf_cap_held_steps",
            "Waiting steps of which a cap allows no task to start.",
            registry=registry,
        )
        self.excess_jobs = Gauge(
            "fireflywharf_excess_jobs",
            "Unfinished jobs beyond the weights of their teams.",
            registry=registry,
        )

    def clear_interference(self) -> None:
        """Remove the metrics of all pairs of tasks."""
        self.interference_slowdown.clear()
        self.interference_observations.clear()

    def set_teams(self, held: Mapping[str, int], steps_count: int, excess_count: int) -> None:
        """Set the metrics of the teams; teams that are not in `held` are removed.

        Args:
            held: processors that each team holds, in millicores.
            steps_count: number of steps that a cap holds.
            excess_count: number of unfinished jobs that are excess.
        """
        self.team_held.clear()
        for team, amount in held.items():
            self.team_held.labels(team).set(amount)
        self.cap_held_steps.set(steps_count)
        self.excess_jobs.set(excess_count)
