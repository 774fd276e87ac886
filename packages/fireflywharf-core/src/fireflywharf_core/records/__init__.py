"""Log records and the codec for tagged attrs classes."""

from ..contracts import ContractApplied, ContractsSnapshot, VersionedContract
from ._codec import TaggedCodec, UndecodableError, UnknownTypeError
from ._records import (
    RECORD_CODEC,
    DomainLost,
    JobAccepted,
    JobCancelRequested,
    JobFinished,
    JobLate,
    JobRefreshed,
    KeyClaimed,
    KeyOutcome,
    Record,
    StartIntent,
    TaskEnded,
    WorkerAdded,
    WorkerRemoved,
)

__all__ = [
    "RECORD_CODEC",
    "ContractApplied",
    "ContractsSnapshot",
    "DomainLost",
    "JobAccepted",
    "JobCancelRequested",
    "JobFinished",
    "JobLate",
    "JobRefreshed",
    "KeyClaimed",
    "KeyOutcome",
    "Record",
    "StartIntent",
    "TaggedCodec",
    "TaskEnded",
    "UndecodableError",
    "UnknownTypeError",
    "VersionedContract",
    "WorkerAdded",
    "WorkerRemoved",
]
