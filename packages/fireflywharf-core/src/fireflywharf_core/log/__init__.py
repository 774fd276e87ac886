"""Log writer, reader and folds."""

from ._domain_fold import AttemptEnded, DomainFold, TaskFacts, WorkersChanged
from ._job_events import (
    DomainDeclaredLost,
    FinishedJob,
    JobBecameLate,
    JobBecameLive,
    JobCancelled,
    JobConflict,
    JobEnded,
    JobEvent,
    JobRehomed,
    JobRepeated,
    LiveJob,
)
from ._jobs_fold import JobsFold
from ._pacer import AppendPacer
from ._reader import ReadRecord, StreamReader, Truncation
from ._refresh import RefreshSchedule
from ._writer import AppendNow, Durable, GroupWriter, ReadBack, Ticket

__all__ = [
    "AppendNow",
    "AppendPacer",
    "AttemptEnded",
    "DomainDeclaredLost",
    "DomainFold",
    "Durable",
    "FinishedJob",
    "GroupWriter",
    "JobBecameLate",
    "JobBecameLive",
    "JobCancelled",
    "JobConflict",
    "JobEnded",
    "JobEvent",
    "JobRehomed",
    "JobRepeated",
    "JobsFold",
    "LiveJob",
    "ReadBack",
    "ReadRecord",
    "RefreshSchedule",
    "StreamReader",
    "TaskFacts",
    "Ticket",
    "Truncation",
    "WorkersChanged",
]
