"""Jobs: submission through the log, queries and cancellation."""

import asyncio
import logging
import time
from typing import Any

import attrs

from fireflywharf_core.contracts import Contract
from fireflywharf_core.jobs import JobSpec, JobState
from fireflywharf_core.log import (
    FinishedJob,
    JobBecameLive,
    JobCancelled,
    JobEnded,
    JobRehomed,
    JobsFold,
    LiveJob,
    ReadRecord,
    StreamReader,
)
from fireflywharf_core.messages import (
    Acknowledged,
    CancelJob,
    JobAnswer,
    JobQuery,
    SubmitToScheduler,
    Verdict,
)
from fireflywharf_core.records import JobAccepted, JobCancelRequested, JobLate
from fireflywharf_core.results import NotRun, OutcomeUnknown, ResultCode
from fireflywharf_core.routing import OwnKey
from fireflywharf_core.scheduling import JobAdmitted

from ..http import CallerError, CancelledJob, JobStatus, SubmitJob, SubmittedJob
from ._context import Context
from ._log_stream import LogStream, StreamListener
from ._membership import Membership
from ._requests import RequestService
from ._scheduling import SchedulerService

_LOG = logging.getLogger(__name__)
RECORD_TIMEOUT_S = 5.0
PEER_TIMEOUT_S = 2.0
# Time for the scheduler of an unreachable domain to record a late job itself.
LATE_GRACE_S = 15.0
SchedulerMessage = SubmitToScheduler | JobQuery | CancelJob


class JobService(StreamListener):
    """Accepts, queries and cancels jobs.

    Args:
        context: shared context.
        membership: peers and remote domains.
        fold: state folded from stream `jobs`.
        scheduler: scheduler service of the local failure domain.
        requests: request service, which validates issued keys.
    """

    def __init__(
        self,
        context: Context,
        membership: Membership,
        fold: JobsFold,
        scheduler: SchedulerService,
        requests: RequestService,
    ) -> None:
        self.context = context
        self.membership = membership
        self.fold = fold
        self.scheduler = scheduler
        self.requests = requests
        self.stream: LogStream | None = None
        self._provisional: dict[str, JobAccepted] = {}

    def after_read(self, reader: StreamReader) -> None:
        """Drop the outcomes of jobs whose records the log has deleted."""
        self.fold.drop_truncated(reader.first_available)

    def fold_record(self, row: ReadRecord) -> None:
        """Fold one record of stream `jobs` and report the effect to the scheduler."""
        live = self.stream.last_end_read_s > float("-inf")
        match self.fold.fold(row.offset, row.record, self.context.now_s(), live=live):
            case JobBecameLive(job_id) | JobRehomed(job_id):
                self._provisional.pop(job_id, None)
                self.scheduler.job_became_live(job_id)
            case JobCancelled(job_id):
                self.scheduler.job_cancelled(job_id)
            case JobEnded(job_id, state):
                self.scheduler.job_ended(job_id, state)

    # Submission

    async def submit(self, job: SubmitJob, contract: Contract) -> SubmittedJob | CallerError:
        """Admit a job with a scheduler and append it to the log.

        Args:
            job: job to submit. A repeat with the same key gets the state of the first submission.
            contract: contract of the customer.

        Returns:
            The accepted job, or the error for the caller.
        """
        spec = job.spec
        known = self.fold.lookup(spec.job_id)
        if known is not None:
            return self._answer_repeat(spec.job_id, job.digest, known)
        provisional = self._provisional.get(spec.job_id)
        if provisional is not None:
            return self._answer_provisional(provisional, job.digest)
        refusal = _check_contract_limits(spec, contract)
        if refusal is not None:
            return refusal
        domain, verdict = await self._select_domain(spec)
        code = ResultCode(verdict.code)
        if code not in (ResultCode.OK, ResultCode.ACCEPTED_LATE):
            return CallerError(code, verdict.detail)
        if verdict.expected_late and contract.late_jobs == "refuse":
            return CallerError(ResultCode.WOULD_BE_LATE, verdict.detail)
        record = JobAccepted(
            spec=spec,
            home_domain=domain,
            accepted_utc_s=time.time(),
            submission_digest=job.digest,
            expected_late=verdict.expected_late,
        )
        if not self.stream.available and self._can_accept_provisionally(job, contract, domain):
            return await self._accept_provisionally(record)
        return await self._append_accepted(record, verdict)

    async def _append_accepted(
        self, record: JobAccepted, verdict: Verdict
    ) -> SubmittedJob | CallerError:
        job_id = record.spec.job_id
        offset = await self.stream.append(record, RECORD_TIMEOUT_S)
        match offset:
            case NotRun(code, detail, retry_after_s):
                detail = f"{detail}; a key issued by POST /v1/keys works without the log"
                return CallerError(code, detail, retry_after_s=retry_after_s)
            case OutcomeUnknown(code, detail):
                return CallerError(code, f"{detail}; repeat the submission with the same key")
        if not await self.stream.wait_until_read_past(offset, RECORD_TIMEOUT_S):
            detail = (
                "the job is in the platform log, but was not read back in time; "
                "repeat the submission with the same key"
            )
            return CallerError(ResultCode.OUTCOME_UNKNOWN, detail)
        known = self.fold.lookup(job_id)
        if known is not None and known.submission_digest not in ("", record.submission_digest):
            return _key_conflict_error(job_id)
        self._notify_home_scheduler(record)
        _LOG.info("job accepted", extra={"job_id": job_id})
        late = verdict.expected_late
        return SubmittedJob(
            code=ResultCode.ACCEPTED_LATE if late else ResultCode.ACCEPTED,
            job_id=job_id,
            state=JobState.WAITING,
            expected_late=late,
            detail=verdict.detail,
        )

    def _notify_home_scheduler(self, record: JobAccepted) -> None:
        """Ask the scheduler of the home domain to read the log before its next poll."""
        if record.home_domain == self.context.domain:
            address = None if self.scheduler.acting else self.membership.scheduler_address()
        else:
            remote = self.membership.remote_domains.get(record.home_domain)
            address = None if remote is None else remote.digest.mesh_address
        if address is not None:
            self.context.mesh.send(address, SubmitToScheduler(spec=record.spec, recorded=True))

    def _can_accept_provisionally(self, job: SubmitJob, contract: Contract, domain: str) -> bool:
        if not contract.provisional_admission or domain != self.context.domain:
            return False
        keys = self.requests.router.key_issuer
        now_s = self.context.now_s()
        return isinstance(keys.check(job.key, job.spec.customer, now_s), OwnKey)

    async def _accept_provisionally(self, record: JobAccepted) -> SubmittedJob | CallerError:
        """Start a job before its record is durable.

        This is safe because only the incarnation that issued the key can accept the job.
        """
        job_id = record.spec.job_id
        self._provisional[job_id] = record
        future = self.stream.submit(record)
        if isinstance(future, NotRun):
            del self._provisional[job_id]
            return CallerError(future.code, future.detail, retry_after_s=future.retry_after_s)
        asyncio.get_running_loop().create_task(self._deliver_provisional(record))
        return self._answer_provisional(record, record.submission_digest)

    async def _deliver_provisional(self, record: JobAccepted) -> None:
        """Send a provisional job to each new scheduler until the record is read from the log."""
        job_id = record.spec.job_id
        delivered_to = ""
        while job_id in self._provisional:
            scheduler = self.membership.peers.scheduler(self.context.now_s())
            if self.scheduler.acting and delivered_to != self.context.incarnation:
                delivered_to = self.context.incarnation
                self._admit_provisional(record.spec)
            elif scheduler is not None and delivered_to != scheduler.incarnation:
                message = SubmitToScheduler(spec=record.spec, recorded=False, provisional=True)
                answer = await self.context.call(scheduler.mesh_address, message, PEER_TIMEOUT_S)
                if isinstance(answer, Verdict) and answer.code == ResultCode.PROVISIONAL:
                    delivered_to = scheduler.incarnation
            await asyncio.sleep(0.2)

    def _admit_provisional(self, spec: JobSpec) -> None:
        self.scheduler.admit_provisional(JobAdmitted(spec=spec, recorded=False))

    def _answer_provisional(self, record: JobAccepted, digest: str) -> SubmittedJob | CallerError:
        if record.submission_digest != digest:
            return _key_conflict_error(record.spec.job_id)
        return SubmittedJob(
            code=ResultCode.PROVISIONAL,
            job_id=record.spec.job_id,
            state=JobState.PROVISIONAL,
            expected_late=record.expected_late,
            detail="the job is provisionally accepted; its record is not yet in the platform log",
        )

    def _answer_repeat(
        self, job_id: str, digest: str, known: LiveJob | FinishedJob
    ) -> SubmittedJob | CallerError:
        if known.submission_digest not in ("", digest):
            return _key_conflict_error(job_id)
        state = known.state if isinstance(known, FinishedJob) else JobState.WAITING
        detail = "the job was already accepted"
        return SubmittedJob(code=ResultCode.ACCEPTED, job_id=job_id, state=state, detail=detail)

    async def _select_domain(self, spec: JobSpec) -> tuple[str, Verdict]:
        """Select a domain that can run a job, and return it with the verdict of its scheduler.

        The local domain is asked first. Remote domains are asked only if the job can never run in
        the local domain or the local scheduler does not answer.
        """
        verdict = await self._ask_local_scheduler(SubmitToScheduler(spec=spec, recorded=False))
        domain = self.context.domain
        if verdict.code not in (ResultCode.INFEASIBLE, ResultCode.NO_SCHEDULER):
            return domain, verdict
        for remote in self.membership.live_remote_domains():
            digest = remote.digest
            if verdict.code == ResultCode.INFEASIBLE and not spec.size.fits_in(digest.largest_free):
                continue
            message = SubmitToScheduler(spec=spec, recorded=False)
            answer = await self.context.call(digest.mesh_address, message, PEER_TIMEOUT_S)
            if isinstance(answer, Verdict) and answer.code in (
                ResultCode.OK,
                ResultCode.ACCEPTED_LATE,
            ):
                return digest.domain, answer
        return domain, verdict

    async def _ask_local_scheduler(self, message: SubmitToScheduler) -> Verdict:
        if self.scheduler.acting:
            return self._make_verdict(message.spec)
        address = self.membership.scheduler_address()
        answer = None
        if address is not None:
            answer = await self.context.call(address, message, PEER_TIMEOUT_S)
        if isinstance(answer, Verdict):
            return answer
        detail = f"the scheduler of failure domain {self.context.domain} did not answer"
        return Verdict(code=ResultCode.NO_SCHEDULER, detail=detail)

    def _make_verdict(self, spec: JobSpec) -> Verdict:
        forecast = self.scheduler.core.forecast_admission(spec, self.context.now_s())
        if forecast.code is ResultCode.INFEASIBLE and not self.scheduler.knows_all_workers():
            # A worker that has not reported yet may fit the job, so the refusal is not final.
            detail = "the scheduler has not yet received the reports of all workers"
            return Verdict(code=ResultCode.NO_SCHEDULER, detail=detail)
        return Verdict(
            code=forecast.code,
            expected_late=forecast.expected_late,
            expected_start_s=forecast.expected_start_s,
            detail=forecast.detail,
        )

    # Queries and cancellation

    async def status(self, job_id: str, explain: bool) -> JobStatus | CallerError:
        """Return the state of a job.

        The scheduler of the home domain is asked first. If it does not answer, the state comes
        from the records in the log.

        Args:
            job_id: identifier of the job.
            explain: whether the scheduler explains the state.

        Returns:
            The state, or the error for the caller.
        """
        known = self.fold.lookup(job_id)
        if known is None and job_id not in self._provisional:
            known = await self._find_job(job_id)
            if isinstance(known, CallerError):
                return known
        if isinstance(known, FinishedJob):
            return _make_finished_status(job_id, known)
        home = self.context.domain if known is None else known.home_domain
        answer = await self._ask_home_scheduler(home, JobQuery(job_id, explain))
        if isinstance(answer, JobAnswer) and answer.code == ResultCode.OK:
            return JobStatus(
                job_id=job_id,
                state=JobState(answer.state),
                tasks_waiting_count=answer.tasks_waiting_count,
                tasks_running_count=answer.tasks_running_count,
                tasks_done_count=answer.tasks_done_count,
                late=answer.late,
                recorded=answer.recorded and known is not None,
                explanation=answer.explanation,
            )
        if known is not None:
            # The scheduler may have recorded the end before it became unreachable, and callers may
            # have read the end elsewhere. The fold is up to one poll interval behind the log.
            await self.stream.wait_until_read_to_end(self.context.now_s(), PEER_TIMEOUT_S)
            known = self.fold.lookup(job_id) or known
            if isinstance(known, FinishedJob):
                return _make_finished_status(job_id, known)
        state = JobState.PROVISIONAL if known is None else JobState.WAITING
        detail = (
            f"the scheduler of failure domain {home} did not answer; "
            "the state is that of the last record"
        )
        return JobStatus(
            job_id=job_id,
            state=state,
            late=known is not None and known.late,
            recorded=known is not None,
            explanation=f"{ResultCode.NO_SCHEDULER.name}: {detail}.",
        )

    async def _find_job(self, job_id: str) -> LiveJob | FinishedJob | CallerError:
        """Return a job from the fold, after a read of the log if the fold does not have it.

        A job that another entry VM has just accepted may not be in the fold yet.
        """
        known = self.fold.lookup(job_id)
        if known is None:
            read = await self.stream.wait_until_read_to_end(self.context.now_s(), RECORD_TIMEOUT_S)
            known = self.fold.lookup(job_id)
            if known is None and not read:
                detail = (
                    f"this entry VM does not know job {job_id} and cannot read the platform log"
                )
                return CallerError(ResultCode.STORE_UNAVAILABLE, detail)
        if known is None:
            return CallerError(ResultCode.UNKNOWN_JOB, f"no job {job_id} is known")
        return known

    async def cancel(self, job_id: str) -> CancelledJob | CallerError:
        """Append a cancellation to the log and notify the scheduler of the home domain."""
        known = await self._find_job(job_id)
        if isinstance(known, CallerError):
            return known
        if isinstance(known, FinishedJob):
            return CancelledJob(job_id, known.state)
        offset = await self.stream.append(JobCancelRequested(job_id), RECORD_TIMEOUT_S)
        if not isinstance(offset, int):
            return CallerError(offset.code, offset.detail)
        await self._ask_home_scheduler(known.home_domain, CancelJob(job_id))
        return CancelledJob(job_id, JobState.CANCELLED)

    async def _ask_home_scheduler(self, home: str, message: JobQuery | CancelJob) -> Any:
        if home == self.context.domain and self.scheduler.acting:
            return self.answer_peer(message)
        if home == self.context.domain:
            address = self.membership.scheduler_address()
        else:
            remote = self.membership.remote_domains.get(home)
            address = None if remote is None else remote.digest.mesh_address
        return (
            None if address is None else await self.context.call(address, message, PEER_TIMEOUT_S)
        )

    def answer_peer(self, message: SchedulerMessage) -> Any:
        """Answer a message that is addressed to the scheduler of the local domain."""
        match message:
            case SubmitToScheduler(recorded=True):
                self.stream.request_read()
                return Acknowledged()
            case SubmitToScheduler() if not self.scheduler.acting:
                return Verdict(code=ResultCode.NO_SCHEDULER, detail="this VM is not the scheduler")
            case SubmitToScheduler(spec=spec, provisional=True):
                self._admit_provisional(spec)
                return Verdict(code=ResultCode.PROVISIONAL)
            case SubmitToScheduler(spec=spec):
                return self._make_verdict(spec)
            case CancelJob():
                self.stream.request_read()
                return Acknowledged()
            case JobQuery(job_id, explain):
                return self._answer_query(job_id, explain)

    def _answer_query(self, job_id: str, explain: bool) -> JobAnswer:
        core = self.scheduler.core
        status = None if core is None else core.job_status(job_id)
        if status is None:
            return JobAnswer(job_id=job_id, code=ResultCode.NO_SCHEDULER)
        return JobAnswer(
            job_id=job_id,
            code=ResultCode.OK,
            state=status.state.value,
            tasks_waiting_count=status.tasks_waiting_count,
            tasks_running_count=status.tasks_running_count,
            tasks_done_count=status.tasks_done_count,
            late=status.late,
            recorded=status.recorded,
            explanation=core.explain(job_id, self.context.now_s()) if explain else "",
        )

    # Jobs of unreachable and lost domains

    def record_late_remote_jobs(self) -> None:
        """Record late jobs of unreachable domains.

        Only the scheduler of the reachable domain with the lowest name does this.
        """
        if not self.scheduler.acting or not self.stream.available:
            return
        reachable = {row.digest.domain for row in self.membership.live_remote_domains()}
        if any(domain < self.context.domain for domain in reachable):
            return
        now_utc_s = time.time()
        for job_id, job in list(self.fold.live_.items()):
            deadline_s = job.spec.deadline_s
            elsewhere = job.home_domain not in reachable | {self.context.domain}
            if not elsewhere or job.late or deadline_s is None:
                continue
            if now_utc_s > job.accepted_utc_s + deadline_s + LATE_GRACE_S:
                self.stream.submit(JobLate(job_id))

    def adopt_orphaned_jobs(self, delay_s: float) -> None:
        """Move the jobs of lost domains to the local domain.

        Only the scheduler of the reachable domain with the lowest name does this.

        Args:
            delay_s: time between the declaration of the loss and the move, in seconds.
        """
        if not self.scheduler.acting or not self.stream.available:
            return
        reachable = {row.digest.domain for row in self.membership.live_remote_domains()}
        if any(domain < self.context.domain for domain in reachable):
            return
        for job in self.fold.orphans(self.context.now_s(), delay_s):
            self.stream.submit(self.fold.refreshed(job, self.context.domain))


def _check_contract_limits(spec: JobSpec, contract: Contract) -> CallerError | None:
    teams = [team.team for team in contract.teams]
    if spec.team and spec.team not in teams:
        detail = f"team {spec.team!r} is not in the contract of customer {spec.customer}"
        return CallerError(ResultCode.INVALID_FIELD, detail)
    quota = contract.quota
    for name in attrs.fields_dict(type(quota)):
        limit = getattr(quota, name)
        if limit != "unlimited" and getattr(spec.size, name) > limit:
            detail = f"each task needs {getattr(spec.size, name)} {name}; the quota is {limit}"
            return CallerError(ResultCode.QUOTA_EXCEEDED, detail)
    return None


def _key_conflict_error(job_id: str) -> CallerError:
    detail = f"the key of job {job_id} was used before with different content"
    return CallerError(ResultCode.KEY_CONFLICT, detail)


def _make_finished_status(job_id: str, job: FinishedJob) -> JobStatus:
    done = f"{job.state.value}: {job.detail}" if job.detail else job.state.value
    return JobStatus(
        job_id=job_id,
        state=job.state,
        tasks_done_count=job.tasks_count if job.state is JobState.DONE else 0,
        late=job.late,
        explanation=f"The job is {done}.",
    )
