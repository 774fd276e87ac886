"""Typed records of a run.

Stand-ins write what took effect, callers write what they sent and were told, and daemons write what
they adopted. `time_s` is the machine's monotonic clock, which all processes of a run share.
"""

import json
from typing import Any

import attrs
import msgspec

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
    """

    time_s: float
    target: str
    execution: int
    request_id: str
    key: str = ""
    kind: str = ""
    operation: str = ""
    epoch: int = 0


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


HistoryRecord = (
    AppendDone
    | LeaseGranted
    | AttemptStarted
    | AttemptResized
    | AttemptEnded
    | RequestStarted
    | RequestEnded
    | VmAdded
    | VmLeaving
    | VmRemoved
)

_TYPES = {cls.__name__: cls for cls in HistoryRecord.__args__}


def record_to_json(record: HistoryRecord) -> str:
    """Return the record as one line of JSON with its class name in the field `type`."""
    return json.dumps({"type": type(record).__name__, **msgspec.to_builtins(record)})


def record_from_json(line: str) -> HistoryRecord:
    """Return the record that `record_to_json` wrote.

    Args:
        line: one line of JSON.

    Returns:
        The record.

    Raises:
        ValueError: the line is not JSON, has an unknown type, or does not match its class.

    Example:
        >>> record_from_json('{"type": "VmAdded", "time_s": 1.5, "vm": "w1"}')
        VmAdded(time_s=1.5, vm='w1')
    """
    data: Any = json.loads(line)
    if not isinstance(data, dict) or data.get("type") not in _TYPES:
        raise ValueError(f"not a history record: {line[:80]}")
    return msgspec.convert(data, _TYPES[data["type"]])
