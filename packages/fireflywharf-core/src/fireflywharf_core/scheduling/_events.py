"""Events that the daemon passes to the scheduler of a failure domain."""

import attrs

from ..contracts import Contract
from ..jobs import AttemptEnd, AttemptId, JobSpec, JobState, TaskId
from ..platform import EndedAttempt, RunningAttempt, VmInfo


@attrs.frozen(slots=True)
class WorkerJoined:
    """A worker joined the domain; tasks start on it only after its first report."""

    vm: VmInfo


@attrs.frozen(slots=True)
class WorkerReport:
    """A worker listed its attempts in the answer to a lease claim or renewal.

    Args:
        worker: name of the worker.
        running: attempts that it runs.
        ended: ended attempts that were not yet acknowledged.
        asked_s: time at which the claim was sent; the lists are at least as new as this.
    """

    worker: str
    running: list[RunningAttempt]
    ended: list[EndedAttempt]
    asked_s: float


@attrs.frozen(slots=True)
class WorkerLost:
    """A worker became unreachable.

    Args:
        name: name of the worker.
        attempts_ended: whether its task leases have expired, so that its tasks may run elsewhere.
    """

    name: str
    attempts_ended: bool = False


@attrs.frozen(slots=True)
class WorkerLeaving:
    """A worker is being drained and gets no new tasks."""

    name: str


@attrs.frozen(slots=True, kw_only=True)
class JobAdmitted:
    """A job is to run in this domain.

    A repeated event changes nothing except that `recorded` and `late_reported` may become true.

    Args:
        spec: the job.
        accepted_age_s: time since its acceptance in seconds.
        late_reported: whether it was already reported as late.
        recorded: whether its record is durable; otherwise the job is provisional.
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
    """The final state of a job is durable.

    Args:
        job_id: the job.
        state: recorded state if the record was read from the log, else None. A job that an earlier
            scheduler finished must not run again.
    """

    job_id: str
    state: JobState | None = None


@attrs.frozen(slots=True)
class StartAnswered:
    """A worker answered a start; `reason` comes from its `CommandAnswer` or is `stale_epoch`."""

    attempt: AttemptId
    worker: str
    accepted: bool
    reason: str = ""


@attrs.frozen(slots=True)
class StartOutcomeUnknown:
    """No answer to a start arrived, so the attempt may be running."""

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
    """The log shows that a task succeeded; sent during replay."""

    task: TaskId


@attrs.frozen(slots=True)
class AttemptEndRecorded:
    """The log shows that an attempt ended; sent during replay. A success counts as `TaskDone`."""

    attempt: AttemptId
    end: AttemptEnd


@attrs.frozen(slots=True)
class StartIntentDurable:
    """The intent to start an attempt is in the log, written just now or found during replay."""

    attempt: AttemptId


@attrs.frozen(slots=True)
class ContractChanged:
    """A contract came into force."""

    contract: Contract


@attrs.frozen(slots=True)
class RecoveryStarted:
    """This process became the scheduler; `known_workers` may run attempts of earlier ones."""

    known_workers: frozenset[str] = attrs.field(converter=frozenset)


@attrs.frozen(slots=True)
class RecoveryFinished:
    """The replay of the log is complete.

    Tasks of jobs accepted by earlier schedulers start after this event, once every known worker has
    reported or is lost with `attempts_ended`.
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
