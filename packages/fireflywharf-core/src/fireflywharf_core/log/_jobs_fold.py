"""Fold of stream `jobs`: accepted jobs, their home domains and their outcomes."""

from collections import OrderedDict
from collections.abc import Iterator

import attrs

from ..records import (
    DomainLost,
    JobAccepted,
    JobCancelRequested,
    JobFinished,
    JobLate,
    JobRefreshed,
)
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
from ._refresh import RefreshSchedule

JobRecord = JobAccepted | JobRefreshed | JobCancelRequested | JobLate | JobFinished | DomainLost


@attrs.define(slots=True)
class _PendingMarks:
    """Records about a job that were read before a record with its specification.

    This happens after a truncation, when the job is refreshed later in the log.
    """

    offset: int
    cancel_requested: bool = False
    late: bool = False


class JobsFold:
    """Computes the state of all jobs from stream `jobs`, record by record in log order.

    Args:
        domain: own failure domain, whose live jobs this process may have to refresh.
        retention_s: time after which the log deletes records.
        refresh_max_per_s: maximum rate at which records are written again.

    Attributes:
        offset_: offset of the last applied record; -1 for none.
        live_: live jobs by id.
        finished_: outcomes of finished jobs by id, in the order of their newest records.
        lost_domains_: lost domains with the offsets of their newest `DomainLost` records.
        records_of_unknown_jobs_count_: cancellations and latenesses read for jobs not live.
    """

    def __init__(self, domain: str, retention_s: float, refresh_max_per_s: float = 20.0) -> None:
        self.domain = domain
        self.retention_s = retention_s
        self.refresh_max_per_s = refresh_max_per_s
        self.offset_ = -1
        self.live_: dict[str, LiveJob] = {}
        self.finished_: OrderedDict[str, FinishedJob] = OrderedDict()
        self.lost_domains_: dict[str, int] = {}
        self.records_of_unknown_jobs_count_ = 0
        self._by_domain: dict[str, dict[str, LiveJob]] = {}
        self._pending_marks: dict[str, _PendingMarks] = {}
        self._refresh = RefreshSchedule(retention_s, refresh_max_per_s)

    def fold(
        self, offset: int, record: JobRecord, now_s: float, live: bool = True
    ) -> JobEvent | None:
        """Apply the record at `offset`; a record at or below the last offset is ignored.

        Args:
            offset: offset of the record.
            record: decoded record; other types are ignored.
            now_s: present time.
            live: False while the reader replays old records, whose age is unknown.

        Returns:
            The change that the record makes, or None.
        """
        if offset <= self.offset_:
            return None
        self.offset_ = offset
        match record:
            case JobAccepted():
                return self._apply_accepted(offset, record, now_s, live)
            case JobRefreshed():
                return self._apply_refreshed(offset, record, now_s, live)
            case JobCancelRequested(job_id):
                return self._apply_cancel(offset, job_id)
            case JobLate(job_id):
                return self._apply_late(offset, job_id)
            case JobFinished():
                return self._apply_finished(offset, record)
            case DomainLost(domain):
                return self._apply_domain_lost(offset, domain, now_s)
        return None

    def lookup(self, job_id: str) -> LiveJob | FinishedJob | None:
        """Return a job if it is live or its outcome is known, else None."""
        return self.live_.get(job_id) or self.finished_.get(job_id)

    def is_finished(self, job_id: str) -> bool:
        """Return whether the outcome of a job is recorded."""
        return job_id in self.finished_

    def live_jobs(self, domain: str) -> list[LiveJob]:
        """Return the live jobs of a home domain, in the order in which they were added to it."""
        return list(self._by_domain.get(domain, {}).values())

    def jobs_of(self, customer: str) -> Iterator[tuple[str, LiveJob | FinishedJob]]:
        """Iterate over the jobs of a customer with their ids, live jobs first."""
        for job_id, job in self.live_.items():
            if job.spec.customer == customer:
                yield job_id, job
        for job_id, finished in self.finished_.items():
            if finished.customer == customer:
                yield job_id, finished

    def orphans(self, now_s: float, delay_s: float) -> list[LiveJob]:
        """Return the jobs of lost domains that may be adopted.

        Args:
            now_s: present time.
            delay_s: time that must have passed since the loss was read: task lease plus margin.

        Returns:
            Jobs to be written with a new home domain as `JobRefreshed`; the first such record wins.
        """
        return [
            job
            for domain in self.lost_domains_
            for job in self._by_domain.get(domain, {}).values()
            if job.home_lost_s is not None and now_s - job.home_lost_s >= delay_s
        ]

    def due_records(self, now_s: float) -> list[JobRefreshed | JobFinished]:
        """Return the records that the scheduler of the own domain must write again now.

        These are live jobs whose record has reached half of the retention time, and outcomes that
        a stale refresh of the job follows in the log.
        """
        records: list[JobRefreshed | JobFinished] = []
        for job_id in self._refresh.take_due(now_s):
            job, finished = self.live_.get(job_id), self.finished_.get(job_id)
            if job is not None:
                records.append(self.refreshed(job))
            elif finished is not None:
                records.append(JobFinished(job_id, finished.state, finished.late, finished.detail))
        return records

    def refreshed(self, job: LiveJob, home_domain: str = "") -> JobRefreshed:
        """Return a record that refreshes a live job, in `home_domain` if one is given."""
        return JobRefreshed(
            spec=job.spec,
            home_domain=home_domain or job.home_domain,
            accepted_utc_s=job.accepted_utc_s,
            submission_digest=job.submission_digest,
            cancel_requested=job.cancel_requested,
            late=job.late,
        )

    def drop_truncated(self, first_available: int) -> None:
        """Remove outcomes, early marks and lost domains whose records the log has deleted.

        Cheap enough to be called after each read, even if the reader itself missed no record.
        """
        while self.finished_:
            job_id, oldest = next(iter(self.finished_.items()))
            if oldest.offset >= first_available:
                break
            del self.finished_[job_id]
            self._refresh.drop(job_id)
        for job_id in [
            j for j, marks in self._pending_marks.items() if marks.offset < first_available
        ]:
            del self._pending_marks[job_id]
        for domain, offset in list(self.lost_domains_.items()):
            if offset < first_available and not self._has_orphans(domain):
                del self.lost_domains_[domain]

    def _apply_accepted(
        self, offset: int, record: JobAccepted, now_s: float, live: bool
    ) -> JobEvent | None:
        job_id = record.spec.job_id
        known = self.lookup(job_id)
        if known is None:
            job = LiveJob(
                record.spec,
                record.home_domain,
                record.accepted_utc_s,
                record.submission_digest,
                record.expected_late,
            )
            self._add_live(offset, job, now_s, live)
            return JobBecameLive(job_id)
        # A finished job whose accepted record was truncated has no digest to compare with.
        digest = known.submission_digest
        is_same = digest == record.submission_digest or (
            isinstance(known, FinishedJob) and not digest
        )
        return JobRepeated(job_id) if is_same else JobConflict(job_id)

    def _apply_refreshed(
        self, offset: int, record: JobRefreshed, now_s: float, live: bool
    ) -> JobEvent | None:
        job_id = record.spec.job_id
        finished = self.finished_.get(job_id)
        if finished is not None:
            # The outcome is written again after this record. A reader that starts between the two
            # would otherwise treat the job as live.
            if record.home_domain == self.domain:
                self._refresh.mark_due(job_id)
            return None
        job = self.live_.get(job_id)
        if job is None:
            job = LiveJob(
                record.spec,
                record.home_domain,
                record.accepted_utc_s,
                record.submission_digest,
                cancel_requested=record.cancel_requested,
                late=record.late,
            )
            # The accepted record was not read, so the job was accepted before the domain was lost.
            if record.home_domain in self.lost_domains_:
                job.home_lost_s = now_s
            self._add_live(offset, job, now_s, live)
            return JobBecameLive(job_id)
        return self._update_live(offset, job, record, now_s, live)

    def _update_live(
        self, offset: int, job: LiveJob, record: JobRefreshed, now_s: float, live: bool
    ) -> JobEvent | None:
        job_id = job.spec.job_id
        event = None
        if record.home_domain != job.home_domain:
            if job.home_lost_s is None:
                return None
            del self._by_domain[job.home_domain][job_id]
            job.home_domain, job.home_lost_s = record.home_domain, None
            self._by_domain.setdefault(job.home_domain, {})[job_id] = job
            event = JobRehomed(job_id, job.home_domain)
        job.last_offset = offset
        job.cancel_requested |= record.cancel_requested
        job.late |= record.late
        self._schedule_refresh(job, now_s, live)
        return event

    def _apply_cancel(self, offset: int, job_id: str) -> JobEvent | None:
        job = self.live_.get(job_id)
        if job is None:
            self._get_pending_marks(offset, job_id).cancel_requested = True
            return None
        if job.cancel_requested:
            return None
        job.cancel_requested = True
        return JobCancelled(job_id)

    def _apply_late(self, offset: int, job_id: str) -> JobEvent | None:
        job = self.live_.get(job_id)
        if job is None:
            self._get_pending_marks(offset, job_id).late = True
            return None
        if job.late:
            return None
        job.late = True
        return JobBecameLate(job_id)

    def _apply_finished(self, offset: int, record: JobFinished) -> JobEvent | None:
        job_id = record.job_id
        known = self.finished_.get(job_id)
        if known is not None:
            known.offset = offset
            self.finished_.move_to_end(job_id)
            self._refresh.drop(job_id)
            return None
        finished = FinishedJob(record.state, record.late, record.detail, offset)
        job = self.live_.pop(job_id, None)
        if job is not None:
            del self._by_domain[job.home_domain][job_id]
            finished.customer = job.spec.customer
            finished.kind = job.spec.kind
            finished.tasks_count = job.spec.tasks_count
            finished.home_domain = job.home_domain
            finished.submission_digest = job.submission_digest
            finished.late |= job.late
        self._pending_marks.pop(job_id, None)
        self._refresh.drop(job_id)
        self.finished_[job_id] = finished
        return JobEnded(job_id, record.state)

    def _apply_domain_lost(self, offset: int, domain: str, now_s: float) -> DomainDeclaredLost:
        self.lost_domains_[domain] = offset
        jobs = self._by_domain.get(domain, {})
        for job_id, job in jobs.items():
            if job.home_lost_s is None:
                job.home_lost_s = now_s
            self._refresh.drop(job_id)
        return DomainDeclaredLost(domain, len(jobs))

    def _add_live(self, offset: int, job: LiveJob, now_s: float, live: bool) -> None:
        job_id = job.spec.job_id
        marks = self._pending_marks.pop(job_id, None)
        if marks is not None:
            job.cancel_requested |= marks.cancel_requested
            job.late |= marks.late
        job.last_offset = offset
        self.live_[job_id] = job
        self._by_domain.setdefault(job.home_domain, {})[job_id] = job
        self._schedule_refresh(job, now_s, live and marks is None)

    def _schedule_refresh(self, job: LiveJob, now_s: float, live: bool) -> None:
        if job.home_domain == self.domain and job.home_lost_s is None:
            self._refresh.note_written(job.spec.job_id, now_s, live)

    def _get_pending_marks(self, offset: int, job_id: str) -> _PendingMarks:
        self.records_of_unknown_jobs_count_ += 1
        if job_id in self.finished_:
            return _PendingMarks(offset)
        marks = self._pending_marks.setdefault(job_id, _PendingMarks(offset))
        marks.offset = offset
        return marks

    def _has_orphans(self, domain: str) -> bool:
        jobs = self._by_domain.get(domain, {})
        return any(job.home_lost_s is not None for job in jobs.values())
