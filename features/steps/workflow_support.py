"""Records that steps of the daemon of workflows share."""

from fireflywharf_core.workflows import (
    Queue,
    WorkflowAccepted,
    WorkflowSpec,
    encode_record,
)
from fireflywharf_daemon.workflows import (
    LogRecord,
)


def job_record(job_id):
    """Return the journal record of a job."""
    queue = Queue(name="q", host="h", path_prefix="/", service="s")
    spec = WorkflowSpec(payload="", steps=())
    return WorkflowAccepted(job_id=job_id, queue=queue, spec=spec, accepted_utc_s=0.0)


def stored(record):
    """Return the stored form of a record."""
    return LogRecord(*encode_record(record))
