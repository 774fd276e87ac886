"""Commands of the scheduler to the daemon, and its answers to questions."""

import attrs

from ..jobs import AttemptEnd, AttemptId, JobKind, JobState
from ..platform import StartAttempt
from ..results import ResultCode


@attrs.frozen(slots=True)
class StartTask:
    """Send the start; answer with `StartAnswered` or `StartOutcomeUnknown`."""

    worker: str
    start: StartAttempt


@attrs.frozen(slots=True)
class RecordStartIntent:
    """Write `StartIntent`; answer with `StartIntentDurable`."""

    attempt: AttemptId
    worker: str


@attrs.frozen(slots=True)
class StopTask:
    """Stop the attempt."""

    worker: str
    attempt: AttemptId


@attrs.frozen(slots=True)
class CheckpointTask:
    """Save the progress of the attempt and end it."""

    worker: str
    attempt: AttemptId


@attrs.frozen(slots=True)
class ThrottleTask:
    """Limit the processors of the attempt."""

    worker: str
    attempt: AttemptId
    processors_millicores: int


@attrs.frozen(slots=True)
class RecordTaskEnd:
    """Write `TaskEnded`; the matching `AcknowledgeEnd` follows once it is durable."""

    attempt: AttemptId
    end: AttemptEnd
    worker: str
    elapsed_s: float


@attrs.frozen(slots=True)
class AcknowledgeEnd:
    """Acknowledge the end at the worker, not before its `RecordTaskEnd` is durable."""

    worker: str
    attempt: AttemptId


@attrs.frozen(slots=True)
class RecordJobFinish:
    """Write `JobFinished`; answer with `JobFinishRecorded`."""

    job_id: str
    state: JobState
    late: bool
    detail: str


@attrs.frozen(slots=True)
class RecordJobLate:
    """Write `JobLate`."""

    job_id: str


@attrs.frozen(slots=True)
class ReportInfeasible:
    """The last worker that could hold the job is gone; it waits for another one."""

    job_id: str
    detail: str


@attrs.frozen(slots=True)
class SetWorkerAside:
    """The worker gets no work but probes; for counting only."""

    worker: str
    detail: str


@attrs.frozen(slots=True)
class ProbeWorker:
    """The next start on this worker is a probe; for counting only."""

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
    """Expected fate of a job that is not yet admitted.

    Args:
        feasible: whether the present workers and quotas can ever hold it.
        expected_start_s: seconds until its first task starts.
        expected_late: whether it is expected to miss its deadline.
        code: `OK`, `ACCEPTED_LATE`, or the code of the refusal.
        detail: one sentence.
    """

    feasible: bool
    expected_start_s: float
    expected_late: bool
    code: ResultCode
    detail: str


@attrs.frozen(slots=True, kw_only=True)
class JobStatus:
    """State of a job as its caller sees it."""

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
