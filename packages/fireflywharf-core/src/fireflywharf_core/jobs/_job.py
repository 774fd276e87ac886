"""Data classes of jobs, tasks and attempts."""

from enum import Enum

import attrs

from ..resources import ResourceVector


class JobKind(Enum):
    """Kind of a job, which selects the rule by which it is scheduled."""

    BATCH = "batch"
    GANG = "gang"
    SERVICE = "service"
    URGENT = "urgent"


class JobState(Enum):
    """State of a job as shown to its caller."""

    PROVISIONAL = "provisional"
    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


class AttemptEnd(Enum):
    """How an attempt ended, as reported by its worker."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    LEASE_LAPSED = "lease_lapsed"


@attrs.frozen(slots=True)
class TaskId:
    """Identifier of a task: its job and its index within the job."""

    job_id: str
    index: int


@attrs.frozen(slots=True)
class AttemptId:
    """Identifier of one run of a task; the attempts of a task are numbered consecutively."""

    task: TaskId
    number: int


@attrs.frozen(slots=True, kw_only=True)
class JobSpec:
    """A job as submitted.

    Args:
        job_id: identifier derived from customer and key; a repeated submission has the same one.
        customer: name of the contract.
        team: team of the customer, or empty.
        kind: kind of the job.
        workload: name under which run times are learned.
        tasks_count: number of tasks; a gang starts all of them or none.
        size: declared size of one task.
        run_time_s: declared run time of one task; 0 if unknown.
        deadline_s: time from submission until the job must be done; None without a deadline.
        restartable: whether a task whose attempt was lost may run again.
        max_attempts: attempts of a task after which the job fails.
        command: opaque text passed to the worker.
    """

    job_id: str
    customer: str
    team: str = ""
    kind: JobKind
    workload: str = "default"
    tasks_count: int = 1
    size: ResourceVector
    run_time_s: float = 0.0
    deadline_s: float | None = None
    restartable: bool = True
    max_attempts: int = 3
    command: str = ""
