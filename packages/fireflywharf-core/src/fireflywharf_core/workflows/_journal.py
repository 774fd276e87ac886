"""Records of the shared journal and the state that every daemon folds from them.

The journal keeps the newest record of each key, so every record holds all that is known under its
key. A record without a value deletes the key.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import Enum

import attrs

from ..records import TaggedCodec, UndecodableError, UnknownTypeError
from ._specs import Queue, WorkflowSpec

TENURE_KEY = "tenure"
WORKERS_KEY = "workers"
_VM_PREFIX = "v"
_JOB_PREFIX = {"a": "accepted", "c": "cancelled", "p": "progress"}


class WorkflowState(Enum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the state never changes again."""
        return self not in (WorkflowState.QUEUED, WorkflowState.RUNNING)


@attrs.frozen(slots=True, kw_only=True)
class WorkflowAccepted:
    """An accepted job; the first record of a job id wins."""

    job_id: str
    queue: Queue
    spec: WorkflowSpec
    accepted_utc_s: float


@attrs.frozen(slots=True, kw_only=True)
class WorkflowCancelled:
    """A caller cancelled a job."""

    job_id: str


@attrs.frozen(slots=True, kw_only=True)
class WorkflowClosed:
    """A job that has ended and of which nothing runs any more.

    It replaces the acceptance under the same key. What callers submitted makes most of the journal,
    and a daemon that starts reads all of it.
    """

    job_id: str


@attrs.frozen(slots=True, kw_only=True)
class StepProgress:
    """What is durable of a step.

    Args:
        occurrence: occurrence of the job.
        step: index of the step.
        done_bits: bit `index` is set when that task is done.
        failures: numbers of the failed runs by task index; a gang counts under index -1. A worker
            repeats an end until it is acknowledged, and the number tells which ends were counted.
    """

    occurrence: int
    step: int
    done_bits: int
    failures: dict[int, tuple[int, ...]]


@attrs.frozen(slots=True, kw_only=True)
class WorkflowProgress:
    """State of a job with the ends of its tasks."""

    job_id: str
    state: WorkflowState
    steps: tuple[StepProgress, ...] = ()


@attrs.frozen(slots=True, kw_only=True)
class TenureRecord:
    """The scheduler in office and the number of its latest renewal.

    Args:
        holder: incarnation of the scheduler.
        epoch: fencing token of the tenure; workers refuse a lower one.
        ordinal: number of tenures up to this one.
        renewal: counter that rises with each renewal.
        resigned: whether the holder has given up the office.
    """

    holder: str
    epoch: int
    ordinal: int
    renewal: int = 0
    resigned: bool = False


@attrs.frozen(slots=True, kw_only=True)
class WorkersInUse:
    """Workers on which the scheduler in office may have started runs."""

    worker_ids: tuple[str, ...]


@attrs.frozen(slots=True, kw_only=True)
class VmPresent:
    """A VM that runs the daemon, and where other daemons reach it.

    Args:
        vm: name of the VM.
        incarnation: name of the process.
        address: address and port for other daemons.
        domain: failure domain of the VM.
        processors_millicores: speed of its processors; 0 when it is not known.
        link_mbps: bandwidth of its link; 0 when it is not known.
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
    """Encodes bit sets as bytes, because MessagePack integers end at 64 bits."""

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
    """Return the key and the value under which a record is stored."""
    match record:
        case WorkflowAccepted(job_id=job_id):
            return f"a{job_id}", _CODEC.encode(record)
        case WorkflowCancelled(job_id=job_id):
            return f"c{job_id}", _CODEC.encode(record)
        case WorkflowClosed(job_id=job_id):
            return f"a{job_id}", _CODEC.encode(record)
        case WorkflowProgress(job_id=job_id, state=state, steps=steps):
            rows = [
                (row.occurrence, row.step, _BitsetCodec.pack(row.done_bits), row.failures)
                for row in steps
            ]
            return f"p{job_id}", _CODEC.encode(_PackedProgress(job_id, state.value, rows))
        case TenureRecord():
            return TENURE_KEY, _CODEC.encode(record)
        case WorkersInUse():
            return WORKERS_KEY, _CODEC.encode(record)
        case VmPresent(vm=vm):
            return vm_key(vm), _CODEC.encode(record)


def decode_record(value: bytes) -> JournalRecord:
    """Return the record that `value` holds.

    Raises:
        UndecodableError: the bytes are damaged.
        UnknownTypeError: the record is of a newer version.
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
    return WorkflowProgress(job_id=record.job_id, state=state, steps=steps)


def vm_key(vm: str) -> str:
    """Return the key of the record of a VM."""
    return f"{_VM_PREFIX}{vm}"


def job_keys(job_id: str) -> list[str]:
    """Return the keys of all records of a job."""
    return [prefix + job_id for prefix in _JOB_PREFIX]


@attrs.define(slots=True, eq=False)
class JournaledWorkflow:
    """What the journal says of one job.

    Args:
        accepted: its acceptance; None while only other records were read, and once it is closed.
        closed: whether it has ended and its acceptance was dropped.
        offset: offset of the acceptance.
        cancelled: whether it was cancelled before its last state.
        progress: newest progress; None before the first.
        final_s: local time at which its last state was read.
    """

    accepted: WorkflowAccepted | None = None
    offset: int = -1
    cancelled: bool = False
    progress: WorkflowProgress | None = None
    final_s: float | None = None
    closed: bool = False

    @property
    def exists(self) -> bool:
        """Whether the job was accepted."""
        return self.closed or self.accepted is not None

    @property
    def state(self) -> WorkflowState:
        """State to show to callers."""
        if self.cancelled:
            return WorkflowState.CANCELLED
        return WorkflowState.QUEUED if self.progress is None else self.progress.state


class JournalState:
    """State folded from the journal; the same at every daemon that read as far.

    Example:
        >>> fold = JournalState()
        >>> fold.apply(0, "c1f", encode_record(WorkflowCancelled(job_id="1f"))[1], now_s=0.0)
        >>> fold.jobs["1f"].cancelled
        True
    """

    def __init__(self) -> None:
        self.jobs: dict[str, JournaledWorkflow] = {}
        self.tenure: TenureRecord | None = None
        self.tenure_offset = -1
        self.workers_in_use: tuple[str, ...] = ()
        self.vms: dict[str, VmPresent] = {}
        self.undecodable_count = 0
        self._offsets: dict[str, int] = {}
        self._pending: dict[str, set[str]] = {}

    def apply(self, offset: int, key: str, value: bytes, now_s: float) -> JournalRecord | None:
        """Take up a record; an older record of a key than the one known is ignored.

        Args:
            offset: offset of the record.
            key: its key.
            value: its value; empty when the key was deleted.
            now_s: local time.

        Returns:
            The record if it changed the state, otherwise None.
        """
        if self._offsets.get(key, -1) >= offset:
            return None
        self._offsets[key] = offset
        if not value:
            self._delete_key(key)
            return None
        try:
            record = decode_record(value)
        except (UndecodableError, UnknownTypeError):
            self.undecodable_count += 1
            return None
        return record if self._apply_record(record, offset, now_s) else None

    def _apply_record(self, record: JournalRecord, offset: int, now_s: float) -> bool:
        match record:
            case TenureRecord():
                self.tenure, self.tenure_offset = record, offset
                return True
            case WorkersInUse(worker_ids=worker_ids):
                self.workers_in_use = worker_ids
                return True
            case VmPresent(vm=vm):
                self.vms[vm] = record
                return True
        job = self.jobs.setdefault(record.job_id, JournaledWorkflow())
        before = job.state
        match record:
            case WorkflowAccepted():
                # An append that was held up may come after the end of the job.
                if job.exists:
                    return False
                job.accepted, job.offset = record, offset
            case WorkflowClosed():
                job.closed, job.accepted = True, None
            case WorkflowCancelled():
                if job.cancelled or before.is_final:
                    return False
                job.cancelled = True
            case WorkflowProgress():
                job.progress = record
        if job.state.is_final and job.final_s is None:
            job.final_s = now_s
        self._update_pending(record.job_id, job)
        return True

    def _update_pending(self, job_id: str, job: JournaledWorkflow) -> None:
        if job.accepted is None:
            return
        waiting = self._pending.setdefault(job.accepted.queue.name, set())
        if job.state is WorkflowState.QUEUED:
            waiting.add(job_id)
        else:
            waiting.discard(job_id)

    def find_spec(self, job_id: str) -> WorkflowSpec | None:
        """Return what was submitted as a job, or None if the job is not known."""
        job = self.jobs.get(job_id)
        return None if job is None or job.accepted is None else job.accepted.spec

    def pending_count(self, queue_name: str) -> int:
        """Return the number of accepted jobs of a queue of which no task has started."""
        return len(self._pending.get(queue_name, ()))

    def find_expired(self, now_s: float, retention_s: float) -> Iterable[str]:
        """Return the jobs whose last state was read at least `retention_s` ago."""
        return [
            job_id
            for job_id, job in self.jobs.items()
            if job.final_s is not None and now_s - job.final_s >= retention_s
        ]

    def _delete_key(self, key: str) -> None:
        if key[:1] == _VM_PREFIX:
            self.vms.pop(key[1:], None)
        if key[:1] not in _JOB_PREFIX:
            return
        job = self.jobs.pop(key[1:], None)
        if job is not None and job.accepted is not None:
            self._pending.get(job.accepted.queue.name, set()).discard(key[1:])
