"""State that every daemon derives from the records of the shared journal."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import attrs

from ..records import UndecodableError, UnknownTypeError
from ._journal_records import (
    JOB_PREFIX,
    VM_PREFIX,
    JournalRecord,
    TenureRecord,
    VmPresent,
    WorkersInUse,
    WorkflowAccepted,
    WorkflowCancelled,
    WorkflowClosed,
    WorkflowProgress,
    WorkflowState,
    cancellation_key,
    decode_record,
    job_id_of,
    may_access,
)
from ._specs import WorkflowSpec
from ._tenure_history import TenureHistory

AGE_MAX_S = 120.0
"""Maximum age of a job that is derived from the time of day, which can jump."""
_DELETED_KEPT_S = 60.0
"""Time for which the offset of a deleted key is kept; older records of it arrive within seconds."""


@attrs.frozen(slots=True)
class Departure:
    """Departure of a worker in use.

    Args:
        departure_id: identifier, which tells it from other departures of the worker.
        read_s: local time at which its record was first read, in seconds.
    """

    departure_id: str
    read_s: float


@attrs.define(slots=True, eq=False)
class JournaledWorkflow:
    """State of one job in the journal.

    Args:
        accepted: acceptance of the job; None until it is read and after the job is closed.
        offset: offset of the acceptance in its partition; -1 if it is unknown.
        accepted_s: local time of the acceptance, in seconds.
        cancelled: whether the job was cancelled before it reached a final state.
        progress: newest progress; None before the first.
        final_s: local time at which the final state was read, in seconds.
        closed: whether the job has ended and its acceptance was replaced.
        team: team of the job, which is kept after its acceptance was replaced; empty without teams.
        early_cancellations: local time, in seconds, at which the latest cancellation by a team was
            read before the job was known to exist, by team.
    """

    accepted: WorkflowAccepted | None = None
    offset: int = -1
    accepted_s: float = 0.0
    cancelled: bool = False
    progress: WorkflowProgress | None = None
    final_s: float | None = None
    closed: bool = False
    team: str = ""
    early_cancellations: dict[str, float] = attrs.field(factory=dict)

    @property
    def exists(self) -> bool:
        """Whether the job was accepted."""
        return self.closed or self.accepted is not None or self.progress is not None

    @property
    def queue_name(self) -> str:
        """Name of the queue; empty if it is unknown."""
        if self.accepted is not None:
            return self.accepted.queue.name
        return "" if self.progress is None else self.progress.queue

    @property
    def state(self) -> WorkflowState:
        """State to show to callers."""
        if self.cancelled:
            return WorkflowState.CANCELLED
        return WorkflowState.QUEUED if self.progress is None else self.progress.state


class JournalState:
    """State derived from the journal.

    Daemons that have read the main partition up to the same offset agree on the state of all jobs
    that the scheduler knows. Only those that have read the submissions know the specifications.

    Example:
        >>> state = JournalState()
        >>> key, value = encode_record(WorkflowCancelled(job_id="1f"))
        >>> record = state.apply(0, key, value, now_s=0.0)
        >>> state.jobs["1f"].cancelled
        True

    Attributes:
        jobs: jobs by id.
        tenures: what is known of the tenures.
        tenure_offset: offset of the newest tenure record.
        workers_in_use: ids of the workers on which runs may have been started.
        departures: departures of these workers by id.
        vms: VMs of the deployment by name.
        undecodable_count: number of records that could not be decoded.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, JournaledWorkflow] = {}
        self.tenures = TenureHistory()
        self.tenure_offset = -1
        self.workers_in_use: tuple[str, ...] = ()
        self.departures: dict[str, Departure] = {}
        self.vms: dict[str, VmPresent] = {}
        self.undecodable_count = 0
        self._offsets: dict[str, int] = {}
        self._deleted: deque[tuple[float, str, int]] = deque()
        self._pending: dict[str, set[str]] = {}
        self._queue_by_pending_job: dict[str, str] = {}

    def apply(
        self, offset: int, key: str, value: bytes, now_s: float, utc_s: float | None = None
    ) -> JournalRecord | None:
        """Apply a record; a record older than the known one of its key is ignored.

        Args:
            offset: offset of the record.
            key: its key.
            value: its value; empty if the key was deleted.
            now_s: current local time, in seconds.
            utc_s: seconds since the Unix epoch if the record may be old; None if it is new, so
                that the age of a job does not depend on the time of day.

        Returns:
            The record if it changed the state, otherwise None.
        """
        if self._offsets.get(key, -1) >= offset:
            return None
        changed = self._apply_value(offset, key, value, now_s, utc_s)
        # Set last, so that a record whose application failed is applied when it is read again.
        self._offsets[key] = offset
        return changed

    def _apply_value(
        self, offset: int, key: str, value: bytes, now_s: float, utc_s: float | None
    ) -> JournalRecord | None:
        if not value:
            self.tenures.observe_activity(now_s)
            self._delete_key(key)
            self._deleted.append((now_s, key, offset))
            self._forget_deleted(now_s)
            return None
        try:
            record = decode_record(value)
        except (UndecodableError, UnknownTypeError):
            self.undecodable_count += 1
            return None
        return record if self._apply_record(record, offset, now_s, utc_s) else None

    def _apply_record(
        self, record: JournalRecord, offset: int, now_s: float, utc_s: float | None
    ) -> bool:
        match record:
            case WorkersInUse() | WorkflowClosed() | WorkflowProgress():
                self.tenures.observe_activity(now_s)
        match record:
            case TenureRecord():
                self.tenures.observe(record, now_s)
                self.tenure_offset = offset
                return True
            case WorkersInUse(worker_ids=worker_ids, departures=departures):
                self.workers_in_use = worker_ids
                read = {worker_id: Departure(d, now_s) for worker_id, d in departures.items()}
                for worker_id, known in self.departures.items():
                    if departures.get(worker_id) == known.departure_id:
                        read[worker_id] = known
                self.departures = read
                return True
            case VmPresent(vm=vm):
                self.vms[vm] = record
                return True
        job = self.jobs.setdefault(record.job_id, JournaledWorkflow())
        if not self._apply_job_record(job, record, offset, now_s, utc_s):
            return False
        if (job.state.is_final or job.closed) and job.final_s is None:
            job.final_s = now_s
        self._update_pending(record.job_id, job)
        return True

    @staticmethod
    def _apply_job_record(
        job: JournaledWorkflow,
        record: JournalRecord,
        offset: int,
        now_s: float,
        utc_s: float | None,
    ) -> bool:
        """Apply a record of a job, and return whether it changed the job."""
        before = job.state
        match record:
            case WorkflowAccepted():
                # A delayed append can arrive after the job has ended.
                if job.closed or job.accepted is not None:
                    return False
                job.accepted, job.offset = record, offset
                # The scheduler has recorded the team of the first acceptance.
                if job.progress is None or not job.team:
                    job.team = record.team
                if any(may_access(team, job.team) for team in job.early_cancellations):
                    job.cancelled = job.cancelled or not before.is_final
                age_s = 0.0 if utc_s is None else utc_s - record.accepted_utc_s
                job.accepted_s = now_s - min(AGE_MAX_S, max(0.0, age_s))
            case WorkflowClosed():
                job.closed, job.accepted = True, None
            case WorkflowCancelled(team=team):
                if team is not None and not job.exists:
                    # Its submission may still be on its way to the log.
                    job.early_cancellations[team] = now_s
                    return False
                if job.cancelled or before.is_final:
                    return False
                if team is not None and not may_access(team, job.team):
                    return False
                job.cancelled = True
            case WorkflowProgress():
                job.progress = record
                job.team = record.team or job.team
        return True

    def _update_pending(self, job_id: str, job: JournaledWorkflow) -> None:
        if job.closed or job.state is not WorkflowState.QUEUED:
            self._discard_pending(job_id)
        elif job.queue_name and job_id not in self._queue_by_pending_job:
            self._queue_by_pending_job[job_id] = job.queue_name
            self._pending.setdefault(job.queue_name, set()).add(job_id)

    def _discard_pending(self, job_id: str) -> None:
        queue_name = self._queue_by_pending_job.pop(job_id, None)
        if queue_name is not None:
            self._pending[queue_name].discard(job_id)

    def find_spec(self, job_id: str) -> WorkflowSpec | None:
        """Return the specification of a job, or None if it is unknown."""
        job = self.jobs.get(job_id)
        return None if job is None or job.accepted is None else job.accepted.spec

    def find_team(self, job_id: str) -> str:
        """Return the team of a job, also of one that has ended; empty without one."""
        job = self.jobs.get(job_id)
        return "" if job is None else job.team

    def pending_count(self, queue_name: str) -> int:
        """Return the number of accepted jobs of a queue of which no task has started."""
        return len(self._pending.get(queue_name, ()))

    def find_expired(self, now_s: float, retention_s: float) -> Iterable[str]:
        """Return the ids of the jobs whose final state was read at least `retention_s` ago."""
        return [
            job_id
            for job_id, job in self.jobs.items()
            if job.final_s is not None and now_s - job.final_s >= retention_s
        ]

    def find_expired_cancellations(self, now_s: float, retention_s: float) -> list[str]:
        """Return the keys of cancellations of jobs that were not submitted for `retention_s`."""
        return [
            cancellation_key(job_id, team)
            for job_id, job in self.jobs.items()
            if not job.exists
            for team, read_s in job.early_cancellations.items()
            if now_s - read_s >= retention_s
        ]

    @property
    def tenure(self) -> TenureRecord | None:
        """Newest tenure record; None if there is none."""
        return self.tenures.latest

    @property
    def keys_count(self) -> int:
        """Number of keys of which the offset is kept."""
        return len(self._offsets)

    def _forget_deleted(self, now_s: float) -> None:
        """Drop the offsets of keys that were deleted long ago, so that memory is bounded."""
        while self._deleted and now_s - self._deleted[0][0] > _DELETED_KEPT_S:
            _, key, offset = self._deleted.popleft()
            if self._offsets.get(key) == offset:
                del self._offsets[key]

    def _delete_key(self, key: str) -> None:
        if key[:1] == VM_PREFIX:
            self.vms.pop(key[1:], None)
        if key[:1] not in JOB_PREFIX:
            return
        job_id = job_id_of(key)
        job = self.jobs.get(job_id)
        if job is not None and JOB_PREFIX[key[:1]] == "cancelled" and job.early_cancellations:
            # Only this cancellation has expired: another team may have sent a later one, and the
            # job may have been submitted since.
            for team in list(job.early_cancellations):
                if cancellation_key(job_id, team) == key:
                    del job.early_cancellations[team]
            if job.exists or job.early_cancellations:
                return
        self.jobs.pop(job_id, None)
        self._discard_pending(job_id)
