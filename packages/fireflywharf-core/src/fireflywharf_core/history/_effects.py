"""Records that stand-ins write about what took effect.

`time_s` is the machine's monotonic clock, which all processes of a run share.
"""

import attrs

from ..jobs import AttemptId
from ..resources import ResourceVector


@attrs.frozen(slots=True, kw_only=True)
class AppendDone:
    """The log stored an append, or recognised it as a repeat."""

    time_s: float
    stream: str
    writer: str
    sequence: int
    first_offset: int
    records_count: int
    duplicate: bool = False


@attrs.frozen(slots=True, kw_only=True)
class LeaseGranted:
    """A worker or target granted its holder lease to a new holder, or renewed a lapsed one."""

    time_s: float
    vm: str
    holder: str
    epoch: int


@attrs.frozen(slots=True, kw_only=True)
class AttemptStarted:
    """A worker started an attempt and reserved `size` of its `capacity`."""

    time_s: float
    worker: str
    attempt: AttemptId
    size: ResourceVector
    capacity: ResourceVector
    epoch: int = 0


@attrs.frozen(slots=True, kw_only=True)
class AttemptResized:
    """A worker changed the reservation of a running attempt."""

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
    """A worker refused to start an attempt; `reason` is that of the `CommandAnswer`."""

    time_s: float
    worker: str
    attempt: AttemptId
    reason: str


@attrs.frozen(slots=True, kw_only=True)
class RequestRefused:
    """A target refused a request before its start, with an HTTP status."""

    time_s: float
    target: str
    request_id: str
    status: int


@attrs.frozen(slots=True, kw_only=True)
class RequestStarted:
    """A target started to execute a request.

    Args:
        time_s: start.
        target: name of the target.
        execution: unique per target over the run.
        request_id: header `X-Request-Id`.
        key: header `X-Request-Key`, or empty.
        kind: header `X-Kind`.
        operation: `echo` field of the body, by which the caller recognises its own request.
        epoch: header `X-Epoch`.
        slots_count: executions that the target can run at once; zero when not known.
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
    """A target ended an execution; `completed` is false when the target died in it."""

    time_s: float
    target: str
    execution: int
    request_id: str
    completed: bool = True


@attrs.frozen(slots=True, kw_only=True)
class VmAdded:
    """A VM exists from now on."""

    time_s: float
    vm: str


@attrs.frozen(slots=True, kw_only=True)
class VmLeaving:
    """A VM was marked as leaving."""

    time_s: float
    vm: str


@attrs.frozen(slots=True, kw_only=True)
class VmRemoved:
    """A VM no longer exists."""

    time_s: float
    vm: str


@attrs.frozen(slots=True, kw_only=True)
class VmDied:
    """A worker or target lost everything that it ran and knew."""

    time_s: float
    vm: str
