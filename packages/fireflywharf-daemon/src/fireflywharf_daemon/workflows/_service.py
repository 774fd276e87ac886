"""Operations for callers: submit, query, cancel and count jobs."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

import attrs

from fireflywharf_core.workflows import (
    Configuration,
    JobLimits,
    JournaledWorkflow,
    JournalRecord,
    LimitExceeded,
    Queue,
    WorkflowAccepted,
    WorkflowCancelled,
    WorkflowSpec,
    WorkflowState,
    find_exceeded_limit,
    job_keys,
)

from ._interfaces import Appended, AppendRejected
from ._journal import JournalAppender, JournalReader
from ._metrics import WorkflowMetrics
from ._submissions import Submissions

_LOG = logging.getLogger(__name__)

STORE_TIMEOUT_S = 2.7
"""Time to store a record, after which the caller gets an unknown outcome.

Callers wait for three seconds."""
_REFRESH_TIMEOUT_S = 0.4
"""Timeout of the journal read for a query."""
_SUBMISSION_TIMEOUT_S = 1.5
"""Timeout of reading a partition of submissions for a query."""
_RETRY_AFTER_S = 1
"""Retry delay for callers after a rejection because of a log outage; outages last seconds."""


@attrs.frozen(slots=True)
class Accepted:
    """The request is durable, or has been so before."""


@attrs.frozen(slots=True)
class Rejected:
    """The request had no effect and will have none; the caller may retry after `retry_after_s`."""

    reason: str
    retry_after_s: int


@attrs.frozen(slots=True)
class TooLarge:
    """The job exceeds a limit of the deployment and was not accepted; a repetition is useless."""

    exceeded: LimitExceeded


@attrs.frozen(slots=True)
class Uncertain:
    """It is unknown whether the request took effect; the caller should repeat it."""

    reason: str


@attrs.frozen(slots=True)
class UnknownJob:
    """The job does not exist."""


@attrs.frozen(slots=True)
class JobStateReply:
    """State of a job."""

    state: WorkflowState


@attrs.frozen(slots=True)
class PendingCountReply:
    """Number of jobs of a queue of which no task has started."""

    count: int


Reply = Accepted | Rejected | TooLarge | Uncertain | UnknownJob | JobStateReply | PendingCountReply


class WorkflowService:
    """Serves the callers of one VM.

    Args:
        reader: reads the records of the scheduler.
        submissions: reads the submissions.
        appender: appends to the journal.
        on_accept: called with each submitted job while it is being stored.
        on_stored: called with each record that has become durable, and its offset.
        metrics: counts outcomes and durations.
        limits: limits on the size of a job.

    Attributes:
        configuration: current configuration; None until one has been read.
    """

    def __init__(
        self,
        reader: JournalReader,
        submissions: Submissions,
        appender: JournalAppender,
        on_accept: Callable[[WorkflowAccepted], None],
        on_stored: Callable[[JournalRecord, int], None],
        metrics: WorkflowMetrics,
        limits: JobLimits | None = None,
    ) -> None:
        self._limits = JobLimits() if limits is None else limits
        self._reader = reader
        self._submissions = submissions
        self._appender = appender
        self._on_accept = on_accept
        self._on_stored = on_stored
        self._metrics = metrics
        self.configuration: Configuration | None = None

    @property
    def is_ready(self) -> bool:
        """Whether callers can be served."""
        return self.configuration is not None and self._reader.is_current

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue that a request addresses, or None."""
        return self.configuration.find_queue(host, path)

    async def submit(self, queue: Queue, job_id: str, spec: WorkflowSpec) -> Reply:
        """Store a job; a repeated submission has no further effect."""
        started_s = time.monotonic()
        reply = await self._submit(queue, job_id, spec, started_s)
        self._metrics.submissions.labels(type(reply).__name__.lower()).inc()
        self._metrics.submission_s.observe(time.monotonic() - started_s)
        return reply

    async def _submit(
        self, queue: Queue, job_id: str, spec: WorkflowSpec, started_s: float
    ) -> Reply:
        if self._find_job(job_id) is not None:
            return Accepted()
        record = WorkflowAccepted(job_id=job_id, queue=queue, spec=spec, accepted_utc_s=time.time())
        exceeded = find_exceeded_limit(record, self._limits)
        if exceeded is not None:
            self._reject(queue, job_id, f"too large: {exceeded.field}")
            return TooLarge(exceeded)
        if not self._reader.is_current:
            return self._reject(queue, job_id, "the journal cannot be read")
        future = self._appender.put_record(record, started_s + STORE_TIMEOUT_S)
        self._on_accept(record)
        result = await asyncio.shield(future)
        took_ms = round((time.monotonic() - started_s) * 1000)
        match result:
            case Appended(offset):
                self._on_stored(record, offset)
                _LOG.info(
                    "job accepted",
                    extra={"job_id": job_id, "queue": queue.name, "offset": offset, "ms": took_ms},
                )
                return Accepted()
            case AppendRejected(reason):
                return self._reject(queue, job_id, reason)
        _LOG.warning("outcome of a submission is unknown", extra={"job_id": job_id, "ms": took_ms})
        return Uncertain("the log did not answer")

    def _reject(self, queue: Queue, job_id: str, reason: str) -> Rejected:
        self._metrics.rejections.labels(reason).inc()
        _LOG.info(
            "job rejected",
            extra={
                "job_id": job_id,
                "queue": queue.name,
                "reason": reason,
                "journal_age_s": round(min(self._reader.age_s, 1e6), 3),
            },
        )
        return Rejected(reason, _RETRY_AFTER_S)

    async def get_state(self, job_id: str) -> Reply:
        """Return the state of a job."""
        known = self._find_job(job_id)
        if known is None or not known.state.is_final:
            known = await self._read_job(job_id)
        return JobStateReply(known.state) if isinstance(known, JournaledWorkflow) else known

    async def _read_job(self, job_id: str) -> JournaledWorkflow | UnknownJob | Rejected:
        """Read the journal, and return the job or the reply that it cannot be found."""
        await self._reader.refresh(_REFRESH_TIMEOUT_S)
        known = self._find_job(job_id)
        if known is None:
            may_deny = await self._read_submission(job_id)
            known = self._find_job(job_id)
            if known is None:
                return UnknownJob() if may_deny else self._reject_unread()
        return known

    def _find_job(self, job_id: str) -> JournaledWorkflow | None:
        """Return the state of a job that is known to exist, otherwise None."""
        known = self._reader.journal_state.jobs.get(job_id)
        return known if known is not None and known.exists else None

    async def _read_submission(self, job_id: str) -> bool:
        """Read where an unknown job would be, and return whether its existence can be denied."""
        if not self._reader.is_current:
            return False
        keys = job_keys(job_id)
        return await self._submissions.catch_up(keys[0], _SUBMISSION_TIMEOUT_S)

    def _reject_unread(self) -> Rejected:
        return Rejected("the journal cannot be read", _RETRY_AFTER_S)

    async def cancel(self, job_id: str) -> Reply:
        """Cancel a job; a job that has ended is left unchanged."""
        deadline_s = time.monotonic() + STORE_TIMEOUT_S
        known = self._find_job(job_id)
        if known is None:
            known = await self._read_job(job_id)
        if not isinstance(known, JournaledWorkflow):
            return known
        if known.state.is_final:
            return Accepted()
        record = WorkflowCancelled(job_id=job_id)
        match await asyncio.shield(self._appender.put_record(record, deadline_s)):
            case Appended(offset):
                self._on_stored(record, offset)
                _LOG.info("job cancelled", extra={"job_id": job_id, "offset": offset})
                return Accepted()
            case AppendRejected(reason):
                return Rejected(reason, _RETRY_AFTER_S)
        return Uncertain("the log did not answer")

    async def count_pending(self, queue: Queue) -> Reply:
        """Return the number of jobs of a queue of which no task has started."""
        if not self._reader.is_current:
            await self._reader.refresh(_REFRESH_TIMEOUT_S)
        if not self._reader.is_current:
            return self._reject_unread()
        return PendingCountReply(self._reader.journal_state.pending_count(queue.name))
