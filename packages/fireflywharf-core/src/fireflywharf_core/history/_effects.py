"""History records written by the stand-ins for the log, the workers and the targets.

They state what took effect. `time_s` is read from the machine's monotonic clock, which all
processes of a run share.
"""

import attrs

from ..jobs import AttemptId
from ..resources import ResourceVector


@attrs.frozen(slots=True, kw_only=True)
class AppendDone:
    """The log stored an append, or recognized it as a repeat and stored nothing."""

    time_s: float
    stream: str
    writer: str
    sequence: int
    first_offset: int
    records_count: int
    duplicate: bool = False


@attrs.frozen(slots=True, kw_only=True)
class LeaseGranted:
    """A worker or target granted its holder lease to a new holder, or renewed an expired one."""

    time_s: float
    vm: str
    holder: str
    epoch: int


@attrs.frozen(slots=True, kw_only=True)
class AttemptStarted:
    """A worker started an attempt and reserved `size` out of its `capacity`."""

    time_s: float
    worker: str
    attempt: AttemptId
    size: ResourceVector
    capacity: ResourceVector
    epoch: int = 0


@attrs.frozen(slots=True, kw_only=True)
class AttemptResized:
    """A worker changed the reservation of a running attempt to `size`."""

    time_s: float
    worker: str
    attempt: AttemptId
    size: ResourceVector


@attrs.frozen(slots=True, kw_only=True)
class AttemptEnded:
    """An attempt no longer runs; `end` is an `AttemptEnd` value or `vm_died`."""

    time_s: float
    worker: str
    attempt: AttemptId
    end: str


@attrs.frozen(slots=True, kw_only=True)
class StartRefused:
    """A worker refused to start an attempt; `reason` is copied from the `CommandAnswer`."""

    time_s: float
    worker: str
    attempt: AttemptId
    reason: str


@attrs.frozen(slots=True, kw_only=True)
class RequestRefused:
    """A target answered a request with the HTTP status `status` and did not execute it."""

    time_s: float
    target: str
    request_id: str
    status: int


@attrs.frozen(slots=True, kw_only=True)
class RequestStarted:
    """A target started to execute a request.

    Args:
        time_s: time of the start.
        target: name of the target.
        execution: number of the execution, unique per target during the run.
        request_id: header `X-Request-Id`.
        key: header `X-Request-Key`, or empty.
        kind: header `X-Kind`.
        operation: `echo` field of the body, which the target repeats in its answer.
        epoch: header `X-Epoch`.
        slots_count: executions that the target can run concurrently; 0 when unknown.
    """

    time_s: float
    target: str
    execution: int
    request_id: str
    key: str = ""
    kind: str = ""
    operation: str = ""
    epoch: int = 0
    slots_count: int = 0


@attrs.frozen(slots=True, kw_only=True)
class RequestEnded:
    """An execution ended; `completed` is false when the target crashed during it."""

    time_s: float
    target: str
    execution: int
    request_id: str
    completed: bool = True


@attrs.frozen(slots=True, kw_only=True)
class VmAdded:
    """A VM was created."""

    time_s: float
    vm: str


@attrs.frozen(slots=True, kw_only=True)
class VmLeaving:
    """A VM was marked as leaving: it must get no new work."""

    time_s: float
    vm: str


@attrs.frozen(slots=True, kw_only=True)
class VmRemoved:
    """A VM was deleted."""

    time_s: float
    vm: str


@attrs.frozen(slots=True, kw_only=True)
class VmDied:
    """A worker or target crashed and lost its running work and its state."""

    time_s: float
    vm: str
