"""Facts that the daemon tells the scheduler of a failure domain."""

import attrs

from ..contracts import Contract
from ..jobs import AttemptEnd, AttemptId, JobSpec, JobState, TaskId
from ..platform import EndedAttempt, RunningAttempt, VmInfo


@attrs.frozen(slots=True)
class WorkerJoined:
    """The scheduler may use this worker; starts wait for its first report."""

    vm: VmInfo


@attrs.frozen(slots=True)
class WorkerReport:
    """Lists of a worker from the answer to a claim or renewal.

    Args:
        worker: name of the worker.
        running: attempts that it runs.
        ended: ended attempts that were not acknowledged.
        asked_s: time at which the claim was sent; the lists are not older than this.
    """

    worker: str
    running: list[RunningAttempt]
    ended: list[EndedAttempt]
    asked_s: float


@attrs.frozen(slots=True)
class WorkerLost:
    """The worker is unreachable.

    Args:
        name: name of the worker.
        attempts_ended: whether its task leases have lapsed, so that its tasks may run again.
    """

    name: str
    attempts_ended: bool = False


@attrs.frozen(slots=True)
class WorkerLeaving:
    """The worker is leaving and gets no new work."""

    name: str


@attrs.frozen(slots=True, kw_only=True)
class JobAdmitted:
    """A job to run here; repeating it is harmless, and `recorded` can become true.

    Args:
        spec: the job.
        accepted_age_s: time since its acceptance.
        late_reported: whether it was already reported late.
        recorded: whether its record is durable; otherwise it is provisional.
        new_in_tenure: whether this scheduler itself accepted it. Only such a job may start while
            a recovery is in progress, because no earlier scheduler can have started it.
    """

    spec: JobSpec
    accepted_age_s: float = 0.0
    late_reported: bool = False
    recorded: bool = True
    new_in_tenure: bool = False


@attrs.frozen(slots=True)
class JobCancelled:
    """The caller cancelled the job."""

    job_id: str


@attrs.frozen(slots=True)
class JobFinishRecorded:
    """The last state of a job is durable.

    Args:
        job_id: the job.
        state: the recorded state, when the record was read from the log. An earlier scheduler may
            have written it, and then the job must not run here.
    """

    job_id: str
    state: JobState | None = None


@attrs.frozen(slots=True)
class StartAnswered:
    """The worker answered a start; `reason` is that of its `CommandAnswer` or `stale_epoch`."""

    attempt: AttemptId
    worker: str
    accepted: bool
    reason: str = ""


@attrs.frozen(slots=True)
class StartOutcomeUnknown:
    """The answer to a start was lost; the attempt may be running."""

    attempt: AttemptId
    worker: str


@attrs.frozen(slots=True)
class AttemptEndReported:
    """A worker reported the end of an attempt."""

    attempt: AttemptId
    worker: str
    end: AttemptEnd
    elapsed_s: float = 0.0


@attrs.frozen(slots=True)
class TaskDone:
    """Replay of the log: the task succeeded."""

    task: TaskId


@attrs.frozen(slots=True)
class AttemptEndRecorded:
    """Replay of the log: an attempt ended; a success counts as `TaskDone`."""

    attempt: AttemptId
    end: AttemptEnd


@attrs.frozen(slots=True)
class StartIntentDurable:
    """The intent to start is in the log, written just now or found by replay."""

    attempt: AttemptId


@attrs.frozen(slots=True)
class ContractChanged:
    """A contract is in force from now on."""

    contract: Contract


@attrs.frozen(slots=True)
class RecoveryStarted:
    """This process became scheduler; `known_workers` may run attempts of its predecessor."""

    known_workers: frozenset[str] = attrs.field(converter=frozenset)


@attrs.frozen(slots=True)
class RecoveryFinished:
    """The replay of the log is complete.

    Earlier jobs start once this was observed and every known worker reported or is lost with
    `attempts_ended`.
    """


Event = (
    WorkerJoined
    | WorkerReport
    | WorkerLost
    | WorkerLeaving
    | JobAdmitted
    | JobCancelled
    | JobFinishRecorded
    | StartAnswered
    | StartOutcomeUnknown
    | AttemptEndReported
    | TaskDone
    | AttemptEndRecorded
    | StartIntentDurable
    | ContractChanged
    | RecoveryStarted
    | RecoveryFinished
)
