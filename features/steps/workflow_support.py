"""Journal records that the steps for the workflow daemon share."""

from fireflywharf_core.workflows import (
    Queue,
    WorkflowAccepted,
    WorkflowSpec,
    encode_record,
)
from fireflywharf_daemon.workflows import (
    LogRecord,
)


def make_job_record(job_id):
    """Return the record of an accepted job without steps."""
    queue = Queue(name="q", host="h", path_prefix="/", service="s")
    spec = WorkflowSpec(payload="", steps=())
    return WorkflowAccepted(job_id=job_id, queue=queue, spec=spec, accepted_utc_s=0.0)


def encode_log_record(record):
    """Return the encoded form of a record, as the log stores it."""
    return LogRecord(*encode_record(record))
