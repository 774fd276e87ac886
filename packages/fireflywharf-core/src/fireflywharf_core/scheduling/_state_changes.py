"""State changes of jobs, workers and attempts, of which the policy engine is notified."""

import attrs

from ..contracts import Contract
from ..resources import ResourceVector
from ._model import Attempt, Job, Worker


@attrs.frozen(slots=True)
class JobReady:
    """A job has waiting tasks and may be queued."""

    job: Job


@attrs.frozen(slots=True)
class JobEnded:
    """A job reached a final state."""

    job: Job


@attrs.frozen(slots=True)
class AttemptReserved:
    """An attempt holds resources from now on."""

    attempt: Attempt


@attrs.frozen(slots=True)
class AttemptReleased:
    """An attempt no longer holds resources.

    Args:
        attempt: the attempt.
        elapsed_s: run time in seconds; None if unknown.
        finished: whether it succeeded, so that its run time may be learned.
    """

    attempt: Attempt
    elapsed_s: float | None
    finished: bool


@attrs.frozen(slots=True)
class AttemptRunning:
    """A worker confirmed that it runs the attempt."""

    attempt: Attempt


@attrs.frozen(slots=True)
class AttemptChargeChanged:
    """The charge of a running attempt changed from `before` to `attempt.charged`."""

    attempt: Attempt
    before: ResourceVector


@attrs.frozen(slots=True)
class AttemptUsageReported:
    """A worker reported the first usage of an attempt, or one well above earlier reports."""

    attempt: Attempt


@attrs.frozen(slots=True)
class FreeResourcesChanged:
    """The free resources or the usability of a worker changed.

    Args:
        worker: the worker.
        increased: whether it can hold more than before.
    """

    worker: Worker
    increased: bool


@attrs.frozen(slots=True)
class CapacityChanged:
    """A worker joined, left or changed its capacity, so the total capacity changed."""

    worker: Worker


@attrs.frozen(slots=True)
class ContractSet:
    """A contract came into force."""

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
