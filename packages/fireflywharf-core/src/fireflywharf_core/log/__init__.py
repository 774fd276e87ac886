"""Log writer, stream reader, and folds that compute state from the streams."""

from ._domain_fold import AttemptEnded, DomainFold, TaskLogState, WorkersChanged
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
from ._writer import AppendBatch, AppendTicket, GroupCommitWriter, ReadBack, RecordDurable

__all__ = [
    "AppendBatch",
    "AppendPacer",
    "AttemptEnded",
    "DomainDeclaredLost",
    "DomainFold",
    "RecordDurable",
    "FinishedJob",
    "GroupCommitWriter",
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
    "TaskLogState",
    "AppendTicket",
    "Truncation",
    "WorkersChanged",
]
