"""Facts that the scheduler observes and actions that it decides."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

import attrs

from ._journal import JournaledWorkflow
from ._names import StepName, TaskName
from ._specs import Directory


class EndKind(Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_LAPSED = "lease_lapsed"
    GANG_BROKEN = "gang_broken"
    GANG_INCOMPLETE = "gang_incomplete"


class StartResult(Enum):
    """What is known of an order to start a run."""

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


@attrs.frozen(slots=True)
class ListedRun:
    """A run that a worker lists as running."""

    task: TaskName
    number: int
    checkpoint: str
    percent: float
    load: float = 0.0


@attrs.frozen(slots=True)
class ListedEnd:
    """An end that a worker keeps until it is acknowledged."""

    serial: int
    task: TaskName
    number: int
    kind: EndKind
    checkpoint: str


@attrs.frozen(slots=True, kw_only=True)
class JobAdded:
    """A job that the journal holds."""

    job_id: str
    journaled: JournaledWorkflow
    inherited: bool


@attrs.frozen(slots=True)
class JobCancelled:
    """The journal holds the cancellation of a job."""

    job_id: str


@attrs.frozen(slots=True)
class DirectoryChanged:
    """The directory of workers as read last."""

    workers: Directory


@attrs.frozen(slots=True, kw_only=True)
class WorkerListed:
    """Both lists of a worker.

    Args:
        worker_id: the worker.
        incarnation: its life; 0 if it did not say.
        sent_s: time at which the lists were asked for.
        running: runs at work.
        ended: ends that are not acknowledged yet.
    """

    worker_id: str
    incarnation: int
    sent_s: float
    running: tuple[ListedRun, ...]
    ended: tuple[ListedEnd, ...]


@attrs.frozen(slots=True)
class WorkerSilent:
    """A worker did not answer.

    Args:
        worker_id: the worker.
        renewed_s: time at which the latest order that renews its runs was sent.
    """

    worker_id: str
    renewed_s: float


@attrs.frozen(slots=True)
class WorkerIncarnationEnded:
    """The process of a worker is gone, so that its runs have ended."""

    worker_id: str


@attrs.frozen(slots=True)
class StartAnswered:
    """Answer to an order to start a run."""

    worker_id: str
    task: TaskName
    number: int
    result: StartResult


@attrs.frozen(slots=True)
class StopAnswered:
    """A worker has taken up an order to stop a run; it refuses a start of that run from now on."""

    worker_id: str
    task: TaskName
    number: int


@attrs.frozen(slots=True, kw_only=True)
class ApprovalReceived:
    """Tickets for the workers that may run a step.

    Args:
        step: the step.
        tickets: ticket by worker.
        asked: all workers that were named.
        expires_s: local time until which the tickets can be used.
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
    | JobCancelled
    | DirectoryChanged
    | WorkerListed
    | WorkerSilent
    | WorkerIncarnationEnded
    | StartAnswered
    | StopAnswered
    | ApprovalReceived
    | ApprovalFailed
)


@attrs.frozen(slots=True, kw_only=True)
class StartRun:
    """Order a worker to start a run."""

    worker_id: str
    task: TaskName
    number: int
    payload: str
    checkpoint: str
    ticket: str


@attrs.frozen(slots=True, kw_only=True)
class StopRun:
    """Order a worker to stop a run."""

    worker_id: str
    task: TaskName
    number: int


@attrs.frozen(slots=True, kw_only=True)
class AskApproval:
    """Ask which of the workers may run a step."""

    step: StepName
    worker_ids: tuple[str, ...]


Action = StartRun | StopRun | AskApproval
