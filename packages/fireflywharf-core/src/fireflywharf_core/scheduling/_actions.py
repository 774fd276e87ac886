"""Actions that the daemon executes for the scheduler, and results of its queries."""

import attrs

from ..jobs import AttemptEnd, AttemptId, JobKind, JobState
from ..platform import StartAttempt
from ..results import ResultCode


@attrs.frozen(slots=True)
class StartTask:
    """Send the start to the worker; report `StartAnswered` or `StartOutcomeUnknown`."""

    worker: str
    start: StartAttempt


@attrs.frozen(slots=True)
class RecordStartIntent:
    """Append `StartIntent` to the log; report `StartIntentDurable` once it is durable."""

    attempt: AttemptId
    worker: str


@attrs.frozen(slots=True)
class StopTask:
    """Tell the worker to stop the attempt."""

    worker: str
    attempt: AttemptId


@attrs.frozen(slots=True)
class CheckpointTask:
    """Tell the worker to save the progress of the attempt and end it."""

    worker: str
    attempt: AttemptId


@attrs.frozen(slots=True)
class ThrottleTask:
    """Tell the worker to limit the processors of the attempt."""

    worker: str
    attempt: AttemptId
    processors_millicores: int


@attrs.frozen(slots=True)
class RecordTaskEnd:
    """Append `TaskEnded` to the log; `AcknowledgeEnd` must wait until it is durable."""

    attempt: AttemptId
    end: AttemptEnd
    worker: str
    elapsed_s: float


@attrs.frozen(slots=True)
class AcknowledgeEnd:
    """Acknowledge the end to the worker, once the record of `RecordTaskEnd` is durable."""

    worker: str
    attempt: AttemptId


@attrs.frozen(slots=True)
class RecordJobFinish:
    """Append `JobFinished` to the log; report `JobFinishRecorded` once it is durable."""

    job_id: str
    state: JobState
    late: bool
    detail: str


@attrs.frozen(slots=True)
class RecordJobLate:
    """Append `JobLate` to the log."""

    job_id: str


@attrs.frozen(slots=True)
class ReportInfeasible:
    """Report that no remaining worker can run the job, which waits for another worker."""

    job_id: str
    detail: str


@attrs.frozen(slots=True)
class SetWorkerAside:
    """Report that the worker gets no tasks except probes; for logs only."""

    worker: str
    detail: str


@attrs.frozen(slots=True)
class ProbeWorker:
    """Report that the next start on the worker is a probe; for logs only."""

    worker: str


Action = (
    StartTask
    | RecordStartIntent
    | StopTask
    | CheckpointTask
    | ThrottleTask
    | RecordTaskEnd
    | AcknowledgeEnd
    | RecordJobFinish
    | RecordJobLate
    | ReportInfeasible
    | SetWorkerAside
    | ProbeWorker
)


@attrs.frozen(slots=True, kw_only=True)
class AdmissionForecast:
    """Expected start and lateness of a job that is not yet admitted.

    Args:
        feasible: whether the current workers and quotas can ever run it.
        expected_start_s: expected time until its first task starts, in seconds.
        expected_late: whether it is expected to miss its deadline.
        code: `OK`, `ACCEPTED_LATE`, or the code of the refusal.
        detail: one sentence for the caller.
    """

    feasible: bool
    expected_start_s: float
    expected_late: bool
    code: ResultCode
    detail: str


@attrs.frozen(slots=True, kw_only=True)
class JobStatus:
    """Status of a job as reported to its caller."""

    job_id: str
    customer: str
    kind: JobKind
    state: JobState
    tasks_waiting_count: int
    tasks_running_count: int
    tasks_done_count: int
    late: bool
    recorded: bool
    detail: str = ""
