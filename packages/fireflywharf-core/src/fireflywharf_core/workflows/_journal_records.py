"""Records of the shared journal, with their keys and partitions.

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
from collections.abc import Iterable
from enum import Enum

import attrs

from ..contracts import TeamQuota
from ..records import TaggedCodec, UndecodableError
from ._specs import Queue, WorkflowSpec

TENURE_KEY = "tenure"
WORKERS_KEY = "workers"
VM_PREFIX = "v"
JOB_PREFIX = {"a": "accepted", "c": "cancelled", "p": "progress"}
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
        resigned: whether the holder has resigned. It gave no lease and started no run after this
            record.
        active_s: time for which the tenure has lasted, in whole seconds; -1 in records of earlier
            versions, which gave whole leases for as long as they were permitted to act.
    """

    holder: str
    epoch: int
    ordinal: int
    renewal: int = 0
    resigned: bool = False
    active_s: int = -1


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
            return cancellation_key(job_id, team), _CODEC.encode(record)
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
    return f"{VM_PREFIX}{vm}"


def job_keys(job_id: str, cancelling_teams: Iterable[str] = ()) -> list[str]:
    """Return the keys of all records of a job.

    Args:
        job_id: identifier of the job.
        cancelling_teams: teams that cancelled the job before it was known to exist.
    """
    keys = [prefix + job_id for prefix in JOB_PREFIX]
    return keys + [cancellation_key(job_id, team) for team in cancelling_teams]


def cancellation_key(job_id: str, team: str | None) -> str:
    """Return the key of a cancellation.

    Cancellations of an unknown job have a key for each team. With a common one, the record of
    another team would replace that of the team to which the job belongs. The length of keys is
    limited, that of names is not.
    """
    if team is None:
        return f"c{job_id}"
    digest = hashlib.blake2s(team.encode(), digest_size=_TEAM_DIGEST_BYTES).hexdigest()
    return f"c{job_id}{_TEAM_SEPARATOR}{digest}"


def job_id_of(key: str) -> str:
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
    return key[1:] if JOB_PREFIX.get(key[:1]) == "progress" else None


def find_partition(key: str, partitions_count: int) -> int:
    """Return the partition of a key in a journal with `partitions_count` partitions.

    All records of the submission and the cancellation of one job are in the same partition, and in
    the main one only if there is no other.
    """
    if partitions_count <= 1 or key[:1] not in _SUBMISSION_PREFIXES:
        return MAIN_PARTITION
    return 1 + zlib.crc32(job_id_of(key).encode()) % (partitions_count - 1)
