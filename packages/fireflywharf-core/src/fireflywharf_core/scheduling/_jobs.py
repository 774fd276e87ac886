"""Table of the jobs of a failure domain."""

import heapq
import math
from collections.abc import Callable

from ..jobs import JobState
from ..results import ResultCode
from ._actions import JobStatus, RecordJobFinish, RecordJobLate
from ._events import JobAdmitted
from ._model import Job
from ._outbox import Outbox
from ._state_changes import JobEnded, JobReady, StateChange

# Finished jobs whose status can still be queried; the oldest are forgotten first.
FINISHED_JOBS_KEPT = 50_000


class JobTable:
    """Keeps jobs with their deadlines and final states.

    Args:
        outbox: queue for `RecordJobFinish` and `RecordJobLate`.
        notify: called with (change, now_s) for each state change.
    """

    def __init__(self, outbox: Outbox, notify: Callable[[StateChange, float], None]) -> None:
        self.outbox = outbox
        self.notify = notify
        self.holds_earlier_jobs = False
        self._jobs: dict[str, Job] = {}
        self._by_customer: dict[str, dict[str, Job]] = {}
        self._deadlines: list[tuple[float, int, Job]] = []
        self._finished: dict[str, None] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._jobs)

    def get(self, job_id: str) -> Job | None:
        """Return a job, or None if it is unknown."""
        return self._jobs.get(job_id)

    def all(self) -> list[Job]:
        """Return all jobs in order of admission."""
        return list(self._jobs.values())

    def of_customer(self, customer: str) -> list[Job]:
        """Return the jobs of a customer in order of admission."""
        return list(self._by_customer.get(customer, {}).values())

    def admit(self, event: JobAdmitted, now_s: float) -> Job | None:
        """Add a job and return it; return None if it was known already."""
        known = self._jobs.get(event.spec.job_id)
        if known is not None:
            known.recorded |= event.recorded
            known.late |= event.late_reported
            return None
        spec = event.spec
        admitted_s = now_s - event.accepted_age_s
        deadline_s = math.inf if spec.deadline_s is None else admitted_s + spec.deadline_s
        self._sequence += 1
        job = Job(
            spec,
            self._sequence,
            admitted_s,
            deadline_s,
            event.recorded,
            event.new_in_tenure,
            late=event.late_reported,
        )
        self._jobs[spec.job_id] = job
        self._by_customer.setdefault(spec.customer, {})[spec.job_id] = job
        if deadline_s < math.inf and not job.late:
            heapq.heappush(self._deadlines, (deadline_s, job.sequence, job))
        return job

    def enqueue_if_ready(self, job: Job, now_s: float) -> None:
        """Queue a job with waiting tasks, unless it is restarting or recovery holds it back."""
        if job.is_final or job.restarting or job.waiting_count == 0:
            return
        if self.holds_earlier_jobs and not job.new_in_tenure:
            return
        self.notify(JobReady(job), now_s)

    def set_final_state(
        self, job: Job, state: JobState, detail: str, now_s: float, recorded: bool = False
    ) -> None:
        """Set the final state of a job; later calls for the job have no effect.

        Args:
            job: the job.
            state: final state.
            detail: reason for the caller; may be empty.
            now_s: current time in seconds.
            recorded: whether the state is already in the log; if not, `RecordJobFinish` is emitted.
        """
        if job.is_final:
            return
        job.late |= now_s > job.deadline_s
        job.state = state
        job.detail = detail
        self.notify(JobEnded(job), now_s)
        if not recorded:
            self.outbox.put(RecordJobFinish(job.spec.job_id, state, job.late, detail))

    def mark_finish_recorded(self, job_id: str) -> None:
        """Mark the final state of a job as durable; forget the oldest job if too many are kept."""
        job = self._jobs.get(job_id)
        if job is None or not job.is_final:
            return
        job.finish_recorded = True
        self._finished[job_id] = None
        if len(self._finished) > FINISHED_JOBS_KEPT:
            oldest = next(iter(self._finished))
            del self._finished[oldest]
            removed = self._jobs.pop(oldest)
            of_customer = self._by_customer[removed.spec.customer]
            del of_customer[oldest]
            if not of_customer:
                del self._by_customer[removed.spec.customer]

    def report_late(self, now_s: float) -> None:
        """Emit `RecordJobLate` once for each unfinished job whose deadline has passed."""
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, _, job = heapq.heappop(self._deadlines)
            if not job.is_final and not job.late:
                job.late = True
                self.outbox.put(RecordJobLate(job.spec.job_id))

    def status(self, job: Job) -> JobStatus:
        """Return the status of a job as reported to its caller."""
        state = job.state
        if not job.is_final:
            state = JobState.RUNNING if job.live_attempts or job.done_count else JobState.WAITING
            if not job.recorded:
                state = JobState.PROVISIONAL
        return JobStatus(
            job_id=job.spec.job_id,
            customer=job.spec.customer,
            kind=job.spec.kind,
            state=state,
            tasks_waiting_count=0 if job.is_final else job.waiting_count,
            tasks_running_count=len(job.live_attempts),
            tasks_done_count=job.done_count,
            late=job.late,
            recorded=job.finish_recorded if job.is_final else job.recorded,
            detail=job.detail,
        )


def final_code(state: JobState) -> ResultCode:
    """Return the result code of a final job state."""
    return {
        JobState.DONE: ResultCode.OK,
        JobState.FAILED: ResultCode.JOB_FAILED,
        JobState.CANCELLED: ResultCode.JOB_CANCELLED,
    }.get(state, ResultCode.OUTCOME_UNKNOWN)
