"""Codec of history records and access to them by class."""

import json
from collections.abc import Iterable
from typing import Any, TypeVar

import msgspec

from . import _effects, _observations

HistoryRecord = (
    _effects.AppendDone
    | _effects.LeaseGranted
    | _effects.AttemptStarted
    | _effects.AttemptResized
    | _effects.AttemptEnded
    | _effects.StartRefused
    | _effects.RequestStarted
    | _effects.RequestEnded
    | _effects.RequestRefused
    | _effects.VmAdded
    | _effects.VmLeaving
    | _effects.VmRemoved
    | _effects.VmDied
    | _observations.RequestSent
    | _observations.RequestAnswered
    | _observations.JobAcceptedSeen
    | _observations.JobStateSeen
    | _observations.ContractApplied
    | _observations.ContractSeen
    | _observations.EntryVmDown
    | _observations.EntryVmUp
    | _observations.ShutdownRequested
    | _observations.ShutdownFinished
)

RecordType = TypeVar("RecordType")
_TYPES = {cls.__name__: cls for cls in HistoryRecord.__args__}
# At one time, what ends is counted before what starts: the worker reuses the room at once.
_ENDS = (_effects.AttemptEnded, _effects.RequestEnded, _effects.AttemptResized)


def _run_of(record: HistoryRecord) -> tuple | None:
    """Return what identifies the attempt or execution of a record."""
    match record:
        case _effects.AttemptStarted() | _effects.AttemptEnded() | _effects.AttemptResized():
            return (record.time_s, record.worker, record.attempt)
        case _effects.RequestStarted() | _effects.RequestEnded():
            return (record.time_s, record.target, record.execution)
    return None


class History:
    """Records of one run in order of time.

    Args:
        records: records of all sources, in any order; those of one source in its order.

    Example:
        >>> from fireflywharf_core.history import VmAdded
        >>> History([VmAdded(time_s=2.0, vm="b"), VmAdded(time_s=1.0, vm="a")]).records[0].vm
        'a'
    """

    def __init__(self, records: Iterable[HistoryRecord]) -> None:
        records = list(records)
        # What starts and ends at one time, such as in one batch of commands, keeps its order.
        starts = (_effects.AttemptStarted, _effects.RequestStarted)
        started = {_run_of(record) for record in records if isinstance(record, starts)}

        def key(record: HistoryRecord) -> tuple[float, bool]:
            ends_earlier_run = isinstance(record, _ENDS) and _run_of(record) not in started
            return (record.time_s, not ends_earlier_run)

        self.records = sorted(records, key=key)

    def of_type(self, kind: type[RecordType]) -> list[RecordType]:
        """Return the records of one class in order of time."""
        return [record for record in self.records if isinstance(record, kind)]

    @property
    def end_s(self) -> float:
        """Return the time of the last record; zero for an empty history."""
        return self.records[-1].time_s if self.records else 0.0


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
