"""Records of the shared journal, and the state that every daemon derives from them.

The journal retains the newest record of each key (log compaction), so every record contains the
complete information about its key. A record with an empty value deletes the key.

A partition of the journal takes one append at a time. The records of submissions are therefore
spread over many partitions, which only the scheduler reads, while the records of the scheduler have
a partition of their own, which all daemons read.
"""

from __future__ import annotations

import hashlib
import math
import zlib
from collections import deque
from collections.abc import Iterable
from enum import Enum

import attrs

from ..contracts import TeamQuota
from ..records import TaggedCodec, UndecodableError, UnknownTypeError
from ._specs import Queue, WorkflowSpec

TENURE_KEY = "tenure"
WORKERS_KEY = "workers"
_VM_PREFIX = "v"
AGE_MAX_S = 120.0
"""Maximum age of a job that is derived from the time of day, which can jump."""
_JOB_PREFIX = {"a": "accepted", "c": "cancelled", "p": "progress"}
_DELETED_KEPT_S = 60.0
"""Time for which the offset of a deleted key is kept; older records of it arrive within seconds."""
_SUBMISSION_PREFIXES = ("a", "c")
_TEAM_SEPARATOR = "."
"""Separates the id of a job from a team in a key; ids of jobs do not contain it."""
_TEAM_DIGEST_BYTES = 8
MAIN_PARTITION = 0
"""Partition with the records of the scheduler and of the VMs."""


class WorkflowState(Enum):
    """State of a job as shown to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the state is terminal."""
        return self not in (WorkflowState.QUEUED, WorkflowState.RUNNING)


@attrs.frozen(slots=True, kw_only=True)
class WorkflowAccepted:
    """A job was accepted; the first such record of a job id is the valid one.

    Args:
        job_id: identifier of the job.
        queue: configuration of its queue at that time.
        spec: the submitted specification.
        accepted_utc_s: time of acceptance, in seconds since the Unix epoch.
        team: team whose key submitted it; empty without teams.
        team_quota: weight and quota of the team at that time; a scheduler may not have read the
            version that adds the team, or may have started after the team was removed.
    """

    job_id: str
    queue: Queue
    spec: WorkflowSpec
    accepted_utc_s: float
    team: str = ""
    team_quota: TeamQuota | None = None


@attrs.frozen(slots=True, kw_only=True)
class WorkflowCancelled:
    """A caller cancelled a job.

    Args:
        job_id: identifier of the job.
        team: team of the caller if its VM did not know the job; the record then applies only to a
            job that this team may access. None if the VM has found that the caller may access it.
    """

    job_id: str
    team: str | None = None


@attrs.frozen(slots=True, kw_only=True)
class WorkflowClosed:
    """A job has ended and none of its runs is alive.

    The record replaces the acceptance under the same key. Submitted specifications make up most of
    the journal, and a starting daemon reads all of it.
    """

    job_id: str


@attrs.frozen(slots=True, kw_only=True)
class StepProgress:
    """Durable progress of a step.

    Args:
        occurrence: occurrence of the job.
        step: index of the step.
        done_bits: bit set; bit `index` is set when that task is done.
        failures: run numbers of the failed runs by task index; a gang uses index -1. A worker
            reports an end until it is acknowledged, and the run numbers prevent double counting.
    """

    occurrence: int
    step: int
    done_bits: int
    failures: dict[int, tuple[int, ...]]


@attrs.frozen(slots=True, kw_only=True)
class WorkflowProgress:
    """State of a job with the progress of its steps.

    The scheduler appends the first one before it starts any run of the job.

    Args:
        job_id: identifier of the job.
        state: current state.
        steps: progress of the steps of open occurrences. Records of earlier versions also have
            those of occurrences that are done.
        queue: name of the queue of a waiting job; empty otherwise.
        is_excess: whether its team sent it beyond its weight. Its class must survive a change of
            scheduler, which does not know the jobs that have ended.
        team: team of the job; empty without teams. Daemons that do not read the submissions learn
            from it who may ask for the job.
        done_before: number below which all occurrences are done.
        done_ranges: further occurrences that are done, as pairs of the first one and the one after
            the last.
    """

    job_id: str
    state: WorkflowState
    steps: tuple[StepProgress, ...] = ()
    queue: str = ""
    team: str = ""
    done_before: int = 0
    done_ranges: tuple[tuple[int, int], ...] = ()
    is_excess: bool = False


@attrs.frozen(slots=True, kw_only=True)
class TenureRecord:
    """Start, renewal or end of a tenure, which is one term of leadership of a scheduler.

    Args:
        holder: incarnation of the scheduler.
        epoch: fencing token of the tenure; workers refuse orders with a lower one.
        ordinal: consecutive number of the tenure, starting at 1.
        renewal: counter of the renewals of this tenure.
        resigned: whether the holder has resigned.
    """

    holder: str
    epoch: int
    ordinal: int
    renewal: int = 0
    resigned: bool = False


@attrs.frozen(slots=True, kw_only=True)
class WorkersInUse:
    """Workers on which the active scheduler may have started runs.

    Args:
        worker_ids: ids of the workers.
        departures: identifier of the departure by worker id, for those that have left. No scheduler
            renews a lease there after the record, so their runs end on their own.
    """

    worker_ids: tuple[str, ...]
    departures: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen(slots=True)
class Departure:
    """Departure of a worker in use.

    Args:
        departure_id: identifier, which tells it from other departures of the worker.
        read_s: local time at which its record was first read, in seconds.
    """

    departure_id: str
    read_s: float


@attrs.frozen(slots=True, kw_only=True)
class VmPresent:
    """A VM that runs the daemon, with its address for other daemons.

    Args:
        vm: name of the VM.
        incarnation: name of the process.
        address: `IP:PORT` for other daemons.
        domain: failure domain of the VM.
        processors_millicores: total speed of its processors; 0 if unknown.
        link_mbps: network bandwidth in Mbit/s; 0 if unknown.
    """

    vm: str
    incarnation: str
    address: str
    domain: str = ""
    processors_millicores: int = 0
    link_mbps: float = 0.0


JournalRecord = (
    WorkflowAccepted
    | WorkflowCancelled
    | WorkflowClosed
    | WorkflowProgress
    | TenureRecord
    | WorkersInUse
    | VmPresent
)


class _BitsetCodec:
    """Encodes bit sets as bytes, because MessagePack integers are limited to 64 bits."""

    @staticmethod
    def pack(bits: int) -> bytes:
        return bits.to_bytes(max(1, math.ceil(bits.bit_length() / 8)), "little")

    @staticmethod
    def unpack(data: bytes) -> int:
        return int.from_bytes(data, "little")


@attrs.frozen(slots=True)
class _PackedProgress:
    """Stored form of `WorkflowProgress`."""

    job_id: str
    state: str
    steps: list[tuple[int, int, bytes, dict[int, tuple[int, ...]]]]
    queue: str = ""
    team: str = ""
    done_before: int = 0
    done_ranges: tuple[tuple[int, int], ...] = ()
    is_excess: bool = False


_CODEC = TaggedCodec(
    [
        WorkflowAccepted,
        WorkflowCancelled,
        WorkflowClosed,
        _PackedProgress,
        TenureRecord,
        WorkersInUse,
        VmPresent,
    ]
)


def encode_record(record: JournalRecord) -> tuple[str, bytes]:
    """Return the key and the encoded value of a record."""
    match record:
        case WorkflowAccepted(job_id=job_id):
            return f"a{job_id}", _CODEC.encode(record)
        case WorkflowCancelled(job_id=job_id, team=team):
            return _cancellation_key(job_id, team), _CODEC.encode(record)
        case WorkflowClosed(job_id=job_id):
            return f"a{job_id}", _CODEC.encode(record)
        case WorkflowProgress(job_id=job_id):
            rows = [
                (row.occurrence, row.step, _BitsetCodec.pack(row.done_bits), row.failures)
                for row in record.steps
            ]
            packed = _PackedProgress(
                job_id,
                record.state.value,
                rows,
                record.queue,
                record.team,
                record.done_before,
                record.done_ranges,
                record.is_excess,
            )
            return f"p{job_id}", _CODEC.encode(packed)
        case TenureRecord():
            return TENURE_KEY, _CODEC.encode(record)
        case WorkersInUse():
            return WORKERS_KEY, _CODEC.encode(record)
        case VmPresent(vm=vm):
            return vm_key(vm), _CODEC.encode(record)


def decode_record(value: bytes) -> JournalRecord:
    """Return the record that `value` encodes.

    Raises:
        UndecodableError: the bytes are corrupt.
        UnknownTypeError: the record type is unknown, for instance from a newer version.
    """
    record = _CODEC.decode(value)
    if not isinstance(record, _PackedProgress):
        return record
    try:
        state = WorkflowState(record.state)
    except ValueError as error:
        raise UndecodableError(str(error)) from error
    steps = tuple(
        StepProgress(occurrence=k, step=s, done_bits=_BitsetCodec.unpack(bits), failures=failures)
        for k, s, bits, failures in record.steps
    )
    return WorkflowProgress(
        job_id=record.job_id,
        state=state,
        steps=steps,
        queue=record.queue,
        team=record.team,
        done_before=record.done_before,
        done_ranges=record.done_ranges,
        is_excess=record.is_excess,
    )


def vm_key(vm: str) -> str:
    """Return the key of the record of a VM."""
    return f"{_VM_PREFIX}{vm}"


def job_keys(job_id: str, cancelling_teams: Iterable[str] = ()) -> list[str]:
    """Return the keys of all records of a job.

    Args:
        job_id: identifier of the job.
        cancelling_teams: teams that cancelled the job before it was known to exist.
    """
    keys = [prefix + job_id for prefix in _JOB_PREFIX]
    return keys + [_cancellation_key(job_id, team) for team in cancelling_teams]


def _cancellation_key(job_id: str, team: str | None) -> str:
    """Return the key of a cancellation.

    Cancellations of an unknown job have a key for each team. With a common one, the record of
    another team would replace that of the team to which the job belongs. The length of keys is
    limited, that of names is not.
    """
    if team is None:
        return f"c{job_id}"
    digest = hashlib.blake2s(team.encode(), digest_size=_TEAM_DIGEST_BYTES).hexdigest()
    return f"c{job_id}{_TEAM_SEPARATOR}{digest}"


def _job_id_of(key: str) -> str:
    return key[1:].partition(_TEAM_SEPARATOR)[0]


def may_access(team: str, job_team: str) -> bool:
    """Return whether a team may ask for a job and cancel it.

    Args:
        team: team of the caller; empty without one.
        job_team: team of the job; empty if it was recorded before there were teams, or came from a
            public queue.
    """
    return job_team in ("", team)


def progress_job_id(key: str) -> str | None:
    """Return the id of the job whose progress is stored under a key; None for other keys."""
    return key[1:] if _JOB_PREFIX.get(key[:1]) == "progress" else None


def find_partition(key: str, partitions_count: int) -> int:
    """Return the partition of a key in a journal with `partitions_count` partitions.

    All records of the submission and the cancellation of one job are in the same partition, and in
    the main one only if there is no other.
    """
    if partitions_count <= 1 or key[:1] not in _SUBMISSION_PREFIXES:
        return MAIN_PARTITION
    return 1 + zlib.crc32(_job_id_of(key).encode()) % (partitions_count - 1)


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
        tenure: newest tenure record; None if there is none.
        tenure_offset: offset of that record.
        workers_in_use: ids of the workers on which runs may have been started.
        departures: departures of these workers by id.
        vms: VMs of the deployment by name.
        undecodable_count: number of records that could not be decoded.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, JournaledWorkflow] = {}
        self.tenure: TenureRecord | None = None
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
            case TenureRecord():
                self.tenure, self.tenure_offset = record, offset
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
        if (job.state.is_final or job.closed) and job.final_s is None:
            job.final_s = now_s
        self._update_pending(record.job_id, job)
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
            _cancellation_key(job_id, team)
            for job_id, job in self.jobs.items()
            if not job.exists
            for team, read_s in job.early_cancellations.items()
            if now_s - read_s >= retention_s
        ]

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
        if key[:1] == _VM_PREFIX:
            self.vms.pop(key[1:], None)
        if key[:1] not in _JOB_PREFIX:
            return
        job_id = _job_id_of(key)
        job = self.jobs.get(job_id)
        if job is not None and _JOB_PREFIX[key[:1]] == "cancelled" and job.early_cancellations:
            # Only this cancellation has expired: another team may have sent a later one, and the
            # job may have been submitted since.
            for team in list(job.early_cancellations):
                if _cancellation_key(job_id, team) == key:
                    del job.early_cancellations[team]
            if job.exists or job.early_cancellations:
                return
        self.jobs.pop(job_id, None)
        self._discard_pending(job_id)
