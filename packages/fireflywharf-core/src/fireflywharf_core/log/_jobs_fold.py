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
class _EarlyMarks:
    """What was read about a job whose specification was truncated and may be refreshed later."""

    offset: int
    cancel_requested: bool = False
    late: bool = False


class JobsFold:
    """Folds the records of stream `jobs` in log order.

    Args:
        domain: own failure domain, whose live jobs this process may have to refresh.
        retention_s: time after which the log deletes records.
        refresh_max_per_s: records written again in one second.
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
        self._early: dict[str, _EarlyMarks] = {}
        self._refresh = RefreshSchedule(retention_s, refresh_max_per_s)

    def fold(
        self, offset: int, record: JobRecord, now_s: float, live: bool = True
    ) -> JobEvent | None:
        """Take the record at `offset`; a record at or below the last offset is ignored.

        Args:
            offset: offset of the record.
            record: decoded record; other types are ignored.
            now_s: present time.
            live: False while the reader replays old records, whose age is unknown.

        Returns:
            What the record changed, or None.
        """
        if offset <= self.offset_:
            return None
        self.offset_ = offset
        match record:
            case JobAccepted():
                return self._accept(offset, record, now_s, live)
            case JobRefreshed():
                return self._take_refreshed(offset, record, now_s, live)
            case JobCancelRequested(job_id):
                return self._cancel(offset, job_id)
            case JobLate(job_id):
                return self._mark_late(offset, job_id)
            case JobFinished():
                return self._finish(offset, record)
            case DomainLost(domain):
                return self._lose_domain(offset, domain, now_s)
        return None

    def lookup(self, job_id: str) -> LiveJob | FinishedJob | None:
        """Return what is known of a job."""
        return self.live_.get(job_id) or self.finished_.get(job_id)

    def is_finished(self, job_id: str) -> bool:
        """Return whether the outcome of a job is recorded."""
        return job_id in self.finished_

    def live_jobs(self, domain: str) -> list[LiveJob]:
        """Return the live jobs whose home is `domain`, in log order of their first records."""
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
        """Return the jobs of lost domains that may be taken over.

        Args:
            now_s: present time.
            delay_s: task lease plus margin, which must have passed since the loss was read.

        Returns:
            Jobs to be written again by `JobRefreshed` with a new home; the first such record wins.
        """
        return [
            job
            for domain in self.lost_domains_
            for job in self._by_domain.get(domain, {}).values()
            if job.home_lost_s is not None and now_s - job.home_lost_s >= delay_s
        ]

    def due_records(self, now_s: float) -> list[JobRefreshed | JobFinished]:
        """Return the records that the scheduler of the own domain must write again now.

        These are live jobs at half of the retention time, and records whose content a stale
        refresh has followed in the log.
        """
        records: list[JobRefreshed | JobFinished] = []
        for job_id in self._refresh.due(now_s):
            job, finished = self.live_.get(job_id), self.finished_.get(job_id)
            if job is not None:
                records.append(self.refreshed(job))
            elif finished is not None:
                records.append(JobFinished(job_id, finished.state, finished.late, finished.detail))
        return records

    def refreshed(self, job: LiveJob, home_domain: str = "") -> JobRefreshed:
        """Return the record that repeats a live job, with a new home if one is given."""
        return JobRefreshed(
            spec=job.spec,
            home_domain=home_domain or job.home_domain,
            accepted_utc_s=job.accepted_utc_s,
            submission_digest=job.submission_digest,
            cancel_requested=job.cancel_requested,
            late=job.late,
        )

    def drop_truncated(self, first_available: int) -> None:
        """Forget outcomes and marks whose records the log has deleted.

        It is cheap enough to call after each read, also when the reader itself lost nothing.
        """
        while self.finished_:
            job_id, oldest = next(iter(self.finished_.items()))
            if oldest.offset >= first_available:
                break
            del self.finished_[job_id]
            self._refresh.drop(job_id)
        for job_id in [j for j, marks in self._early.items() if marks.offset < first_available]:
            del self._early[job_id]
        for domain, offset in list(self.lost_domains_.items()):
            if offset < first_available and not self._has_orphans(domain):
                del self.lost_domains_[domain]

    def _accept(
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
            self._add(offset, job, now_s, live)
            return JobBecameLive(job_id)
        # An outcome whose accepted record was truncated has no digest to compare with.
        digest = known.submission_digest
        same = digest == record.submission_digest or (isinstance(known, FinishedJob) and not digest)
        return JobRepeated(job_id) if same else JobConflict(job_id)

    def _take_refreshed(
        self, offset: int, record: JobRefreshed, now_s: float, live: bool
    ) -> JobEvent | None:
        job_id = record.spec.job_id
        finished = self.finished_.get(job_id)
        if finished is not None:
            # A reader that starts between the outcome and this record would revive the job.
            if record.home_domain == self.domain:
                self._refresh.hasten(job_id)
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
            # A job accepted after the loss would have been read at its accepted record.
            if record.home_domain in self.lost_domains_:
                job.home_lost_s = now_s
            self._add(offset, job, now_s, live)
            return JobBecameLive(job_id)
        return self._update(offset, job, record, now_s, live)

    def _update(
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
        self._schedule(job, now_s, live)
        return event

    def _cancel(self, offset: int, job_id: str) -> JobEvent | None:
        job = self.live_.get(job_id)
        if job is None:
            self._mark_early(offset, job_id).cancel_requested = True
            return None
        if job.cancel_requested:
            return None
        job.cancel_requested = True
        return JobCancelled(job_id)

    def _mark_late(self, offset: int, job_id: str) -> JobEvent | None:
        job = self.live_.get(job_id)
        if job is None:
            self._mark_early(offset, job_id).late = True
            return None
        if job.late:
            return None
        job.late = True
        return JobBecameLate(job_id)

    def _finish(self, offset: int, record: JobFinished) -> JobEvent | None:
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
        self._early.pop(job_id, None)
        self._refresh.drop(job_id)
        self.finished_[job_id] = finished
        return JobEnded(job_id, record.state)

    def _lose_domain(self, offset: int, domain: str, now_s: float) -> DomainDeclaredLost:
        self.lost_domains_[domain] = offset
        jobs = self._by_domain.get(domain, {})
        for job_id, job in jobs.items():
            if job.home_lost_s is None:
                job.home_lost_s = now_s
            self._refresh.drop(job_id)
        return DomainDeclaredLost(domain, len(jobs))

    def _add(self, offset: int, job: LiveJob, now_s: float, live: bool) -> None:
        job_id = job.spec.job_id
        marks = self._early.pop(job_id, None)
        if marks is not None:
            job.cancel_requested |= marks.cancel_requested
            job.late |= marks.late
        job.last_offset = offset
        self.live_[job_id] = job
        self._by_domain.setdefault(job.home_domain, {})[job_id] = job
        self._schedule(job, now_s, live and marks is None)

    def _schedule(self, job: LiveJob, now_s: float, live: bool) -> None:
        if job.home_domain == self.domain and job.home_lost_s is None:
            self._refresh.touch(job.spec.job_id, now_s, live)

    def _mark_early(self, offset: int, job_id: str) -> _EarlyMarks:
        self.records_of_unknown_jobs_count_ += 1
        if job_id in self.finished_:
            return _EarlyMarks(offset)
        marks = self._early.setdefault(job_id, _EarlyMarks(offset))
        marks.offset = offset
        return marks

    def _has_orphans(self, domain: str) -> bool:
        jobs = self._by_domain.get(domain, {})
        return any(job.home_lost_s is not None for job in jobs.values())
