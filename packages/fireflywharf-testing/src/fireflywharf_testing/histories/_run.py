"""Simulation of one seeded history, whose records the checks of the core evaluate."""

import logging
import math
import random
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager, nullcontext
from unittest import mock

import attrs

from fireflywharf_core.history import (
    AttemptStarted,
    ContractSeen,
    History,
    JobAcceptedSeen,
    Promise,
    RequestAnswered,
    RequestSent,
    RequestStarted,
    Violation,
    VmLeaving,
    check_history,
)
from fireflywharf_core.scheduling._recovery import Recovery

from ._cluster import DEFECT_SKIPPED_RECOVERY, ClusterPlan, VirtualCluster
from ._entry import patch_clock_and_randomness
from ._faults import plan_faults
from ._loop import Simulator

# The load and the faults have started by this time.
MIN_DURATION_S = 34.0
MAX_DURATION_S = 120.0
STEP_S = 3.0
# Longer than the time within which an applied contract must be in force.
SETTLE_S = 10.5
RETENTION_S = 16.0


@attrs.frozen(kw_only=True)
class HistoryResult:
    """Result of one history.

    Args:
        seed: seed that repeats the history.
        faults: names of the injected faults.
        violations: violations of promises.
        errors: texts of unexpected errors inside the daemons.
        checked: number of operations checked, by promise.
        end_s: virtual time in seconds at the end.
    """

    seed: int
    faults: tuple[str, ...]
    violations: list[Violation]
    errors: list[str]
    checked: dict[Promise, int]
    end_s: float


class _ErrorCollector(logging.Handler):
    """Log handler that collects the errors logged by the daemons."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__(logging.ERROR)
        self.errors = errors

    def emit(self, record: logging.LogRecord) -> None:
        """Store the message and the exception of a log record."""
        error = record.exc_info[1] if record.exc_info else None
        self.errors.append(f"{record.getMessage()}: {error!r}")


@contextmanager
def _collect_errors(errors: list[str]) -> Iterator[None]:
    """Append what the daemons log as errors to `errors`, and keep it out of other handlers."""
    logger = logging.getLogger("fireflywharf_daemon")
    handler = _ErrorCollector(errors)
    original = (logger.level, logger.propagate)
    logger.setLevel(logging.ERROR)
    logger.propagate = False
    logger.addHandler(handler)
    try:
        yield
    finally:
        logger.removeHandler(handler)
        logger.setLevel(original[0])
        logger.propagate = original[1]


@contextmanager
def _skip_recovery() -> Iterator[None]:
    """Plant a defect: a new scheduler starts tasks before workers reported running attempts."""
    with mock.patch.object(Recovery, "start", lambda *_: None):
        yield


def run_history(
    seed: int,
    faults: tuple[str, ...] = (),
    planted_defect: str = "",
    jobs_count: int = 14,
    requests_count: int = 50,
) -> HistoryResult:
    """Run one history and check its records.

    The same arguments repeat the same history within one version of the code, if the interpreter
    runs with the same PYTHONHASHSEED.

    Args:
        seed: seed of all random choices.
        faults: names of faults to inject, from `FAULTS`.
        planted_defect: name of a defect from `PLANTED_DEFECTS`; empty for none.
        jobs_count: number of jobs.
        requests_count: number of requests, repeats not counted.

    Returns:
        The result of the checks.
    """
    result, _ = record_history(seed, faults, planted_defect, jobs_count, requests_count)
    return result


def record_history(
    seed: int,
    faults: tuple[str, ...] = (),
    planted_defect: str = "",
    jobs_count: int = 14,
    requests_count: int = 50,
) -> tuple[HistoryResult, History]:
    """Run one history like `run_history`, and return its records as well."""
    rng = random.Random(f"{seed}:{','.join(faults)}")
    simulator = Simulator()
    errors: list[str] = []
    plan = ClusterPlan(
        entry_vms_count=rng.choice([2, 3]),
        retention_s=RETENTION_S if "records truncated" in faults else 0.0,
        wrong_sizes="wrong sizes" in faults,
        planted_defect=planted_defect,
    )
    with (
        patch_clock_and_randomness(simulator, random.Random(rng.getrandbits(64))),
        _collect_errors(errors),
        _skip_recovery() if planted_defect == DEFECT_SKIPPED_RECOVERY else nullcontext(),
    ):
        cluster = VirtualCluster(simulator, random.Random(rng.getrandbits(64)), plan)
        cluster.load.schedule_all(jobs_count, requests_count)
        plan_faults(cluster, faults, random.Random(rng.getrandbits(64)))
        simulator.run_until(MIN_DURATION_S)
        while simulator.now_s < MAX_DURATION_S and not cluster.load.has_finished:
            simulator.run_until(simulator.now_s + STEP_S)
        simulator.run_until(simulator.now_s + SETTLE_S)
        cluster.load.observe_all_jobs()
        simulator.run_until(simulator.now_s + STEP_S)
        # Copied after the last step: the check of the configuration needs the records of that
        # time for versions that were applied late.
        records = cluster.recorder.all()
        cluster.close()
    history = History(records)
    result = HistoryResult(
        seed=seed,
        faults=faults,
        violations=check_history(history, plan.retention_s or math.inf),
        errors=errors + cluster.errors,
        checked=_count_checked_operations(history),
        end_s=simulator.now_s,
    )
    return result, history


def _count_checked_operations(history: History) -> dict[Promise, int]:
    """Return the number of operations on which each promise was checked."""
    counts = Counter(type(record) for record in history.records)
    sent = history.of_type(RequestSent)
    refused = [row for row in history.of_type(RequestAnswered) if row.outcome == "not_run"]
    return {
        Promise.ROOM: counts[AttemptStarted] + counts[RequestStarted],
        Promise.ONE_PLACE: counts[AttemptStarted],
        Promise.OWN_ANSWER: len(sent),
        Promise.NOT_RUN: len(refused),
        Promise.AT_MOST_ONCE: len({row.operation for row in sent if not row.idempotent}),
        Promise.LEAVING: counts[RequestStarted] if counts[VmLeaving] else 0,
        Promise.CONFIGURATION: counts[ContractSeen],
        Promise.NOTHING_LOST: counts[JobAcceptedSeen],
    }
