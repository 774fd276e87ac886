"""Facts that the tables of the scheduler tell its policy engine and estimators."""

import attrs

from ..contracts import Contract
from ..resources import ResourceVector
from ._model import Attempt, Job, Worker


@attrs.frozen(slots=True)
class JobReady:
    """A job has waiting tasks and is not in the queue."""

    job: Job


@attrs.frozen(slots=True)
class JobEnded:
    """A job has its last state or was cancelled."""

    job: Job


@attrs.frozen(slots=True)
class AttemptReserved:
    """An attempt holds room from now on."""

    attempt: Attempt


@attrs.frozen(slots=True)
class AttemptReleased:
    """An attempt holds no room any more.

    Args:
        attempt: the attempt.
        elapsed_s: its run time; None when it is unknown or it did not run.
        finished: whether it ran to its own end, so that its run time is worth learning.
    """

    attempt: Attempt
    elapsed_s: float | None
    finished: bool


@attrs.frozen(slots=True)
class AttemptRunning:
    """A worker runs the attempt."""

    attempt: Attempt


@attrs.frozen(slots=True)
class AttemptChargeChanged:
    """The charge of a running attempt changes from `before` to its present one."""

    attempt: Attempt
    before: ResourceVector


@attrs.frozen(slots=True)
class AttemptUsageReported:
    """The first usage of an attempt, or one well above those before, was reported."""

    attempt: Attempt


@attrs.frozen(slots=True)
class FreeResourcesChanged:
    """The free room or the state of a worker changed."""

    worker: Worker
    increased: bool


@attrs.frozen(slots=True)
class CapacityChanged:
    """A worker joined or went; the sum of capacities changed."""

    worker: Worker


@attrs.frozen(slots=True)
class ContractSet:
    """A contract is in force."""

    contract: Contract


StateChange = (
    JobReady
    | JobEnded
    | AttemptReserved
    | AttemptReleased
    | AttemptRunning
    | AttemptChargeChanged
    | AttemptUsageReported
    | FreeResourcesChanged
    | CapacityChanged
    | ContractSet
)
