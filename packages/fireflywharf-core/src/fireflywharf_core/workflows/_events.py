"""Events that the scheduler observes and actions that it decides on."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

import attrs

from ..contracts import TeamQuota
from ._journal import JournaledWorkflow
from ._names import StepName, TaskName
from ._specs import Directory


class EndKind(Enum):
    """Outcome of a run."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_LAPSED = "lease_lapsed"
    GANG_BROKEN = "gang_broken"
    GANG_INCOMPLETE = "gang_incomplete"


class StartResult(Enum):
    """Result of an order to start a run."""

    STARTED = "started"
    STALE_EPOCH = "stale_epoch"
    NUMBER_TOO_LOW = "number_too_low"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    OTHER_INCARNATION = "other_incarnation"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


class StopCause(Enum):
    """Reason for an order to stop a run."""

    JOB_CANCELLED = "the job was cancelled"
    JOB_FAILED = "a task of the job failed its last attempt"
    TASK_DONE = "another run of the task is done"
    NOT_NEEDED = "the task needs no run"
    NO_PROGRESS = "the run made no progress"
    START_UNANSWERED = "the start order got no answer"
    START_REFUSED = "a repeated start order was refused"
    GANG_START_FAILED = "another member of the gang did not start"
    GANG_MEMBER_ENDED = "another member of the gang ended"
    GANG_MEMBER_STALLED = "another member of the gang made no progress"


class LossCause(Enum):
    """Reason why a run counts as ended although its end was not reported."""

    NOT_REPORTED = "the worker reported neither the run nor its end"
    PROCESS_ENDED = "the process of the worker has ended"
    LEASE_EXPIRED = "the worker was silent until its leases had expired"


class IncarnationSource(Enum):
    """Where a later incarnation of a worker was read."""

    DIRECTORY = "the directory"
    REPORT = "a report of the worker"


@attrs.frozen(slots=True)
class ReportedRun:
    """A run that a worker reports as running."""

    task: TaskName
    number: int
    checkpoint: str
    percent: float
    load: float = 0.0


@attrs.frozen(slots=True)
class ReportedEnd:
    """An ended run that a worker reports until the report is acknowledged."""

    serial: int
    task: TaskName
    number: int
    kind: EndKind
    checkpoint: str


@attrs.frozen(slots=True, kw_only=True)
class JobAdded:
    """A job was read from the journal.

    Args:
        job_id: the job.
        journaled: its state in the journal. With progress, an earlier tenure may have started runs.
    """

    job_id: str
    journaled: JournaledWorkflow


@attrs.frozen(slots=True)
class JobsRecorded:
    """The progress of jobs, as returned by `pop_progress`, has become durable."""

    job_ids: tuple[str, ...]


@attrs.frozen(slots=True)
class ProgressTooLarge:
    """The journal has rejected the progress of a job for its size.

    The job starts no further runs until a later, smaller progress has become durable.
    """

    job_id: str


@attrs.frozen(slots=True)
class TenureConfirmed:
    """The journal has accepted a record of the tenure, so no later tenure had begun before.

    Args:
        sent_s: local time at which the record was sent, in seconds.
    """

    sent_s: float


@attrs.frozen(slots=True)
class JobCancelled:
    """The cancellation of a job was read from the journal."""

    job_id: str


@attrs.frozen(slots=True)
class DirectoryChanged:
    """A new version of the worker directory was read."""

    workers: Directory


@attrs.frozen(slots=True)
class TeamsChanged:
    """A new version of the teams, with their weights and quotas, was read."""

    teams: tuple[TeamQuota, ...]


@attrs.frozen(slots=True, kw_only=True)
class WorkerReported:
    """A worker reported its running and ended runs.

    Args:
        worker_id: the worker.
        incarnation: incarnation of the worker.
        sent_s: local time at which the report was requested, in seconds.
        running: runs that are running.
        ended: ended runs that are not acknowledged yet.
        ends_complete: whether `ended` lists all of them; a worker limits the length of the list.
    """

    worker_id: str
    incarnation: int
    sent_s: float
    running: tuple[ReportedRun, ...]
    ended: tuple[ReportedEnd, ...]
    ends_complete: bool = True


@attrs.frozen(slots=True)
class WorkerSilent:
    """A worker did not answer a poll.

    Args:
        worker_id: the worker.
        renewed_s: local time at which the latest request that renews the leases of its runs was
            sent, in seconds.
    """

    worker_id: str
    renewed_s: float


@attrs.frozen(slots=True)
class StartAnswered:
    """Result of an order to start a run."""

    worker_id: str
    task: TaskName
    number: int
    result: StartResult


@attrs.frozen(slots=True)
class StopAnswered:
    """A worker has accepted a stop order; from now on it refuses to start that run."""

    worker_id: str
    task: TaskName
    number: int


@attrs.frozen(slots=True, kw_only=True)
class ApprovalReceived:
    """Tickets for the workers that may run a step.

    Args:
        step: the step.
        tickets: ticket by id of an approved worker.
        asked: ids of all workers named in the request.
        expires_s: local time at which the tickets expire, in seconds.
    """

    step: StepName
    tickets: Mapping[str, str]
    asked: tuple[str, ...]
    expires_s: float


@attrs.frozen(slots=True)
class ApprovalFailed:
    """A request for approval got no usable answer."""

    step: StepName


Event = (
    JobAdded
    | JobsRecorded
    | ProgressTooLarge
    | TenureConfirmed
    | JobCancelled
    | DirectoryChanged
    | TeamsChanged
    | WorkerReported
    | WorkerSilent
    | StartAnswered
    | StopAnswered
    | ApprovalReceived
    | ApprovalFailed
)


@attrs.frozen(slots=True, kw_only=True)
class StartRun:
    """Order a worker to start a run.

    Args:
        worker_id: the worker.
        task: the task.
        number: run number.
        payload: opaque text of the job.
        checkpoint: checkpoint to resume from; empty for none.
        ticket: ticket of the approval service; empty for none.
        ordered_s: local time of the decision, in seconds, from which the validity counts.
    """

    worker_id: str
    task: TaskName
    number: int
    payload: str
    checkpoint: str
    ticket: str
    ordered_s: float


@attrs.frozen(slots=True, kw_only=True)
class StopRun:
    """Order a worker to stop a run."""

    worker_id: str
    task: TaskName
    number: int
    cause: StopCause
    percent: float


@attrs.frozen(slots=True, kw_only=True)
class AskApproval:
    """Ask the approval service which of the workers may run a step."""

    step: StepName
    worker_ids: tuple[str, ...]


@attrs.frozen(slots=True, kw_only=True)
class RunLost:
    """Notice that a run counts as ended; its task may be started again.

    Args:
        worker_id: worker of the run.
        task: the task.
        number: run number.
        cause: evidence for the end.
        phase: phase of the run in the view of the scheduler.
        report_age_s: time since the latest report of the worker, in seconds; None without one.
        incarnation: latest known incarnation of the worker.
        reported: whether a report has listed the run as running.
    """

    worker_id: str
    task: TaskName
    number: int
    cause: LossCause
    phase: str
    report_age_s: float | None
    incarnation: int
    reported: bool


@attrs.frozen(slots=True, kw_only=True)
class RunAdopted:
    """Notice that a worker reported a run that this tenure did not start."""

    worker_id: str
    task: TaskName
    number: int


@attrs.frozen(slots=True, kw_only=True)
class WorkerRestarted:
    """Notice that the process of a worker has ended and that a later one has its id.

    Args:
        worker_id: the worker.
        earlier: incarnation that has ended.
        later: incarnation that has begun.
        source: what showed the later incarnation.
    """

    worker_id: str
    earlier: int
    later: int
    source: IncarnationSource


@attrs.frozen(slots=True, kw_only=True)
class WorkerUndescribed:
    """Notice that a worker gets no runs until the directory shows its present process.

    Args:
        worker_id: the worker.
        incarnation: incarnation of the present process.
    """

    worker_id: str
    incarnation: int


Action = (
    StartRun | StopRun | AskApproval | RunLost | RunAdopted | WorkerRestarted | WorkerUndescribed
)
