"""Operations for callers: submit, query, cancel and count jobs."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable

from fireflywharf_core.budgets import TokenBucket
from fireflywharf_core.workflows import (
    Configuration,
    JobLimits,
    JournaledWorkflow,
    JournalRecord,
    KeyAccepted,
    KeyCheck,
    KeyUndecidable,
    KeyUnknown,
    Queue,
    WorkflowAccepted,
    WorkflowCancelled,
    WorkflowSpec,
    find_exceeded_limit,
    find_exceeded_quota,
    job_keys,
    may_access,
    retry_after_s,
)

from ._appends import JournalAppender
from ._clocks import boot_time_s
from ._interfaces import Appended, AppendRejected
from ._journal import JournalReader
from ._metrics import WorkflowMetrics
from ._replies import (
    Accepted,
    AdmittedCall,
    JobOfOtherTeam,
    JobStateReply,
    PendingCountReply,
    Rejected,
    Reply,
    TooLarge,
    Unauthorized,
    Uncertain,
    UnknownJob,
    UnknownQueue,
)
from ._submissions import Submissions

_LOG = logging.getLogger(__name__)

STORE_TIMEOUT_S = 2.7
"""Time to store a record, after which the caller gets an unknown outcome.

Callers wait for three seconds."""
_REFRESH_TIMEOUT_S = 0.4
"""Timeout of the journal read for a query."""
_SUBMISSION_TIMEOUT_S = 1.5
"""Timeout of reading a partition of submissions for a query."""
_EARLY_CANCELLATIONS_PER_S = 10.0
"""Rate at which a VM stores cancellations of unknown jobs.

Each of them is kept for minutes, and any caller may send them."""
_EARLY_CANCELLATIONS_BURST = 200
_OUTDATED = "the configuration is outdated"


def _log_other_team(job_id: str, queue_name: str, call: str) -> None:
    _LOG.info(
        "call refused",
        extra={"job_id": job_id, "queue": queue_name, "reason": f"{call} of another team's job"},
    )


class WorkflowService:
    """Serves the callers of one VM.

    Args:
        reader: reads the records of the scheduler.
        submissions: reads the submissions.
        appender: appends to the journal.
        on_accept: called with each submitted job while it is being stored.
        on_stored: called with each record that has become durable, and its offset.
        metrics: counts outcomes and durations.
        key_check: decides which keys of callers are accepted.
        limits: limits on the size of a job.

    Attributes:
        configuration: current configuration; None until one has been read.
        can_forward: returns whether a peer can presumably serve the callers of this VM.
    """

    def __init__(
        self,
        reader: JournalReader,
        submissions: Submissions,
        appender: JournalAppender,
        on_accept: Callable[[WorkflowAccepted], None],
        on_stored: Callable[[JournalRecord, int], None],
        metrics: WorkflowMetrics,
        key_check: KeyCheck | None = None,
        limits: JobLimits | None = None,
    ) -> None:
        self._limits = JobLimits() if limits is None else limits
        self._reader = reader
        self._submissions = submissions
        self._appender = appender
        self._on_accept = on_accept
        self._on_stored = on_stored
        self._metrics = metrics
        self._key_check = KeyCheck() if key_check is None else key_check
        self._rng = random.Random()
        self._early_cancellations = TokenBucket(
            _EARLY_CANCELLATIONS_PER_S, _EARLY_CANCELLATIONS_BURST
        )
        self.configuration: Configuration | None = None
        self.can_forward: Callable[[], bool] = lambda: False
        self._configuration_complete_s = float("-inf")
        self._passed_on_version = 0
        metrics.configuration_age_s.set_function(lambda: self.configuration_age_s)

    def apply_configuration(self, newer: Configuration | None, complete_s: float) -> None:
        """Replace the configuration, and set the time up to which it is known to be the newest.

        Args:
            newer: newer version; None if there is none.
            complete_s: see `ConfigurationSource`.
        """
        self._configuration_complete_s = complete_s
        if newer is None:
            return
        self.configuration = newer
        _LOG.info(
            "configuration applied",
            extra={
                "version": newer.version,
                "queues": len(newer.queues),
                "teams": len(newer.teams),
            },
        )

    @property
    def version(self) -> int:
        """Version of the configuration of this VM; 0 without one."""
        return 0 if self.configuration is None else self.configuration.version

    @property
    def version_floor(self) -> int:
        """Version of the configuration below which no caller of this VM may be answered."""
        return max(self.version, self._passed_on_version)

    def raise_floor(self, version: int) -> None:
        """Record that a peer with this version has answered a caller of this VM."""
        self._passed_on_version = max(self._passed_on_version, version)

    @property
    def configuration_age_s(self) -> float:
        """Time for which a newer configuration may have existed unknown to this VM, in seconds."""
        return boot_time_s() - self._configuration_complete_s

    @property
    def is_ready(self) -> bool:
        """Whether callers can be served."""
        if self.configuration is None:
            return False
        can_accept = (
            self._reader.is_current
            and self.version >= self.version_floor
            and self._key_check.can_accept(self.configuration, self.configuration_age_s)
        )
        return can_accept or self.can_forward()

    def admit(self, host: str, path: str, key: str | None) -> AdmittedCall | Reply:
        """Return the queue and the team of a call, or the reply that refuses it.

        Args:
            host: host name that the call addresses.
            path: path that it addresses.
            key: key of the caller's team; None without one.
        """
        if self.configuration is None:
            return self._make_rejection("no configuration yet")
        age_s = self.configuration_age_s
        if self.version < self.version_floor:
            return self._reject_outdated("", age_s)
        queue = self.configuration.find_queue(host, path)
        if queue is None:
            if self._key_check.can_refuse(self.configuration, age_s):
                return UnknownQueue()
            return self._reject_outdated("", age_s)
        match self._key_check.decide(self.configuration, queue, key, age_s):
            case KeyAccepted(team):
                return AdmittedCall(queue, team)
            case KeyUnknown():
                self._metrics.unauthorized.labels(queue.name).inc()
                reason = "no key" if key is None else "unknown key"
                _LOG.info("call refused", extra={"queue": queue.name, "reason": reason})
                return Unauthorized()
            case KeyUndecidable():
                return self._reject_outdated(queue.name, age_s)

    def _reject_outdated(self, queue_name: str, age_s: float) -> Rejected:
        self._metrics.stale_key_rejections.labels(queue_name).inc()
        _LOG.info(
            "call rejected",
            extra={
                "queue": queue_name,
                "reason": _OUTDATED,
                "configuration_age_s": round(min(age_s, 1e6), 3),
            },
        )
        return self._make_rejection(_OUTDATED)

    async def submit(
        self, queue: Queue, job_id: str, spec: WorkflowSpec, *, team: str = ""
    ) -> Reply:
        """Store a job; a repeated submission by the same team has no further effect.

        Args:
            queue: queue of the job.
            job_id: id of the job.
            spec: specification of the job.
            team: team of the caller; empty without one.
        """
        started_s = time.monotonic()
        reply = await self._submit(queue, job_id, spec, team, started_s)
        self._metrics.submissions.labels(type(reply).__name__.lower()).inc()
        self._metrics.submission_s.observe(time.monotonic() - started_s)
        return reply

    async def _submit(
        self, queue: Queue, job_id: str, spec: WorkflowSpec, team: str, started_s: float
    ) -> Reply:
        known = self._find_job(job_id)
        if known is not None:
            if may_access(team, known.team):
                return Accepted()
            _log_other_team(job_id, queue.name, "submission")
            return JobOfOtherTeam()
        record = WorkflowAccepted(
            job_id=job_id,
            queue=queue,
            spec=spec,
            accepted_utc_s=time.time(),
            team=team,
            team_quota=self.configuration.find_quota(team) if team else None,
        )
        exceeded = find_exceeded_limit(record, self._limits)
        if exceeded is None and record.team_quota is not None:
            exceeded = find_exceeded_quota(spec, record.team_quota)
        if exceeded is not None:
            self._reject(queue, job_id, f"too large: {exceeded.field}")
            return TooLarge(exceeded)
        if self._reader.is_down or not self._reader.is_current:
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
        return self._make_rejection(reason)

    def _make_rejection(self, reason: str) -> Rejected:
        return Rejected(reason, retry_after_s(self._reader.outage_s, self._rng.random()))

    async def get_state(self, job_id: str, *, team: str = "") -> Reply:
        """Return the state of a job of a team; a job of another team is unknown to it."""
        known = self._find_job(job_id)
        if known is None or not known.state.is_final:
            known = await self._read_job(job_id)
        if not isinstance(known, JournaledWorkflow):
            return known
        if not may_access(team, known.team):
            _log_other_team(job_id, known.queue_name, "query")
            return UnknownJob()
        return JobStateReply(known.state)

    async def _read_job(self, job_id: str) -> JournaledWorkflow | UnknownJob | Rejected:
        """Read the journal, and return the job or the reply that it cannot be found."""
        if not self._reader.is_down:
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
        return self._make_rejection("the journal cannot be read")

    async def cancel(self, job_id: str, *, team: str = "") -> Reply:
        """Cancel a job of a team; a job that has ended is left unchanged.

        The submission of an unknown job may still be on its way to the log, from any VM. A
        cancellation of it is therefore stored before the caller is told that there is no such job,
        and applies to a later submission until it is deleted.
        """
        deadline_s = time.monotonic() + STORE_TIMEOUT_S
        known = self._find_job(job_id)
        if known is None:
            known = await self._read_job(job_id)
        match known:
            case UnknownJob():
                return await self._cancel_unknown(job_id, team, deadline_s)
            case Rejected():
                return known
        if not may_access(team, known.team):
            _log_other_team(job_id, known.queue_name, "cancellation")
            return UnknownJob()
        if known.state.is_final:
            return Accepted()
        if self._reader.is_down:
            return self._reject_unread()
        return await self._store_cancellation(WorkflowCancelled(job_id=job_id), deadline_s)

    async def _cancel_unknown(self, job_id: str, team: str, deadline_s: float) -> Reply:
        """Store a cancellation that applies to a submission by the team that is still to come."""
        if not self._early_cancellations.try_take(1, time.monotonic()):
            self._metrics.early_cancellations.labels("rejected").inc()
            return self._make_rejection("too many cancellations of unknown jobs")
        reply = await self._store_cancellation(
            WorkflowCancelled(job_id=job_id, team=team), deadline_s
        )
        self._metrics.early_cancellations.labels(type(reply).__name__.lower()).inc()
        if not isinstance(reply, Accepted):
            return reply
        known = self._find_job(job_id)
        return Accepted() if known is not None and known.cancelled else UnknownJob()

    async def _store_cancellation(self, record: WorkflowCancelled, deadline_s: float) -> Reply:
        match await asyncio.shield(self._appender.put_record(record, deadline_s)):
            case Appended(offset):
                self._on_stored(record, offset)
                _LOG.info(
                    "job cancelled" if record.team is None else "unknown job cancelled",
                    extra={"job_id": record.job_id, "offset": offset},
                )
                return Accepted()
            case AppendRejected(reason):
                return self._make_rejection(reason)
        return Uncertain("the log did not answer")

    async def count_pending(self, queue: Queue) -> Reply:
        """Return the number of jobs of a queue of which no task has started."""
        if not (self._reader.is_down or self._reader.is_current):
            await self._reader.refresh(_REFRESH_TIMEOUT_S)
        if not self._reader.is_current:
            return self._reject_unread()
        return PendingCountReply(self._reader.journal_state.pending_count(queue.name))
