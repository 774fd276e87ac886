"""Limits on the size of a job: what a record may hold, and what a scheduler keeps in memory."""

from __future__ import annotations

import attrs

from ..contracts import UNLIMITED, TeamQuota
from ._journal_records import (
    WorkflowAccepted,
    WorkflowProgress,
    WorkflowState,
    encode_record,
)
from ._specs import Queue, StepSpec, WorkflowSpec

_RECORD_OVERHEAD_BYTES = 16
"""Allowance for the key of a record, apart from its characters, and for its framing."""
_STEP_HELD_BYTES = 1500
"""Approximate memory of an open step; a trial with 10,000 steps of one task took 1.3 kB each."""
_TASK_HELD_BYTES = 100
"""Approximate memory of a waiting task of an open step; 36 to 84 bytes in the same trial."""
_ROW_BYTES = 24
"""Maximum size of a step in a progress record, without its bit set and its failures."""
_FAILURE_ROW_BYTES = 6
"""Maximum size of the index of a failed task and of the header of its run numbers."""
_RUN_NUMBER_BYTES = 5
_FAILURES_COUNTED_MAX = 2
"""Failed runs of each task for which a progress record has room.

More are rare. A record that grows too large for that reason blocks its job until it has shrunk."""


@attrs.frozen(slots=True, kw_only=True)
class JobLimits:
    """Limits of the deployment on the size of a job.

    Args:
        record_max_bytes: maximum size of a record of the journal.
        request_max_bytes: maximum size of an append; also bounds the memory that the open
            occurrences of one job take in the scheduler.
    """

    record_max_bytes: int = 262_144
    request_max_bytes: int = 2_097_152

    @property
    def value_max_bytes(self) -> int:
        """Maximum size of a record that fits in an append of its own."""
        return min(self.record_max_bytes, self.request_max_bytes - _RECORD_OVERHEAD_BYTES)


@attrs.frozen(slots=True, kw_only=True)
class LimitExceeded:
    """A job exceeds a limit and can never be stored or held.

    Args:
        field: field of the submission, or product of fields.
        value: its value, or the size in bytes that follows from it.
        limit: highest accepted value, in the same unit.
    """

    field: str
    value: int
    limit: int


def record_size_bytes(key: str, value: bytes) -> int:
    """Return an upper bound of the size of a record in the journal."""
    return len(key.encode()) + len(value) + _RECORD_OVERHEAD_BYTES


def find_exceeded_limit(accepted: WorkflowAccepted, limits: JobLimits) -> LimitExceeded | None:
    """Return the limit that a submitted job exceeds, or None if it can be stored and held.

    Args:
        accepted: record of the acceptance of the job.
        limits: limits of the deployment.
    """
    spec = accepted.spec
    size_bytes = record_size_bytes(*encode_record(accepted))
    if size_bytes > limits.value_max_bytes:
        return LimitExceeded(field="job, bytes", value=size_bytes, limit=limits.value_max_bytes)
    # Every task of a job is done at some time, and all but the last of them are recorded.
    size_bytes = _progress_overhead_bytes(accepted.job_id, accepted.queue, accepted.team)
    size_bytes += sum(_row_bytes(step, 0) for step in spec.steps)
    if size_bytes > limits.value_max_bytes:
        return LimitExceeded(
            field="steps x count, bytes of the progress",
            value=size_bytes,
            limit=limits.value_max_bytes,
        )
    held_bytes = _held_bytes(spec.steps)
    if held_bytes > limits.request_max_bytes:
        return LimitExceeded(
            field="steps x count, bytes held", value=held_bytes, limit=limits.request_max_bytes
        )
    # Occurrences with long-running tasks never end, so all of them are open at last.
    if any(step.long_running for step in spec.steps):
        held_bytes *= spec.occurrences_count
        if held_bytes > limits.request_max_bytes:
            return LimitExceeded(
                field="steps x count x times, bytes held",
                value=held_bytes,
                limit=limits.request_max_bytes,
            )
    return None


def find_exceeded_quota(spec: WorkflowSpec, team: TeamQuota) -> LimitExceeded | None:
    """Return the limit of a team that a task, or a gang as a whole, exceeds on its own.

    Such a job could never start, and would wait until its caller gives up.

    Args:
        spec: specification of the job.
        team: the team, with its quota.
    """
    for index, step in enumerate(spec.steps):
        size = step.size.scaled(step.tasks_count) if step.gang else step.size
        if team.quota.allows(size):
            continue
        for name in ("processors_millicores", "memory_mb", "accelerators_count"):
            value, limit = getattr(size, name), getattr(team.quota, name)
            if limit != UNLIMITED and value > limit:
                what = "gang" if step.gang else "task"
                return LimitExceeded(
                    field=f"steps[{index}], {name} of a {what}", value=value, limit=limit
                )
    return None


def open_occurrences_max(spec: WorkflowSpec, queue: Queue, limits: JobLimits) -> int:
    """Return how many occurrences of a job may be open at once, at least one.

    Load pattern: thousands of occurrences of a job are due at once, because its interval is shorter
    than its run time or all workers were lost for a while. Without a bound, their progress would
    outgrow a record, and their steps the memory of the scheduler.

    Args:
        spec: specification of the job.
        queue: queue of the job.
        limits: limits of the deployment.
    """
    if not spec.times_count:
        return 1
    overhead_bytes = _progress_overhead_bytes("", queue, "") + 2 * _ROW_BYTES
    failures_count = min(_FAILURES_COUNTED_MAX, queue.max_attempts - 1)
    # An open occurrence may also separate two ranges of those that are done.
    stored_bytes = _ROW_BYTES + sum(_row_bytes(step, failures_count) for step in spec.steps)
    stored_count = (limits.value_max_bytes - overhead_bytes) // stored_bytes
    held_count = limits.request_max_bytes // _held_bytes(spec.steps) if spec.steps else 1
    return max(1, min(stored_count, held_count))


def _progress_overhead_bytes(job_id: str, queue: Queue, team: str) -> int:
    empty = WorkflowProgress(
        job_id=job_id, state=WorkflowState.QUEUED, queue=queue.name, team=team, done_before=1 << 20
    )
    return record_size_bytes(*encode_record(empty)) + _ROW_BYTES


def _row_bytes(step: StepSpec, failures_count: int) -> int:
    """Return the maximum size of a step in a progress record, with failures of each task."""
    rows_count = 1 if step.gang else step.tasks_count
    failure_bytes = _FAILURE_ROW_BYTES + failures_count * _RUN_NUMBER_BYTES
    failures_bytes = rows_count * failure_bytes if failures_count > 0 else 0
    return _ROW_BYTES + -(-step.tasks_count // 8) + failures_bytes


def _held_bytes(steps: tuple[StepSpec, ...]) -> int:
    """Return the approximate memory of an open occurrence in the scheduler."""
    return sum(_STEP_HELD_BYTES + step.tasks_count * _TASK_HELD_BYTES for step in steps)
