"""Encoding of history records, and access to them by class."""

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
_CLASSES_BY_NAME = {cls.__name__: cls for cls in HistoryRecord.__args__}
# Of records with equal times, ends sort before starts: a worker reuses freed capacity at once.
_END_CLASSES = (_effects.AttemptEnded, _effects.RequestEnded, _effects.AttemptResized)


def _get_run_key(record: HistoryRecord) -> tuple | None:
    """Return a key of the attempt or execution at the time of a record; None for other records."""
    match record:
        case _effects.AttemptStarted() | _effects.AttemptEnded() | _effects.AttemptResized():
            return (record.time_s, record.worker, record.attempt)
        case _effects.RequestStarted() | _effects.RequestEnded():
            return (record.time_s, record.target, record.execution)
    return None


class History:
    """Records of one run, sorted by time.

    Args:
        records: records of all sources; records of the same source must be in the order in which
            it wrote them.

    Attributes:
        records: the records sorted by time.

    Example:
        >>> from fireflywharf_core.history import VmAdded
        >>> History([VmAdded(time_s=2.0, vm="b"), VmAdded(time_s=1.0, vm="a")]).records[0].vm
        'a'
    """

    def __init__(self, records: Iterable[HistoryRecord]) -> None:
        records = list(records)
        # An attempt that starts and ends at the same time, as in one batch of commands, keeps the
        # order of its records.
        start_classes = (_effects.AttemptStarted, _effects.RequestStarted)
        started_run_keys = {
            _get_run_key(record) for record in records if isinstance(record, start_classes)
        }

        def get_sort_key(record: HistoryRecord) -> tuple[float, bool]:
            ends_earlier_run = (
                isinstance(record, _END_CLASSES) and _get_run_key(record) not in started_run_keys
            )
            return (record.time_s, not ends_earlier_run)

        self.records = sorted(records, key=get_sort_key)

    def of_type(self, record_class: type[RecordType]) -> list[RecordType]:
        """Return the records of one class, sorted by time."""
        return [record for record in self.records if isinstance(record, record_class)]

    @property
    def end_s(self) -> float:
        """Return the time of the last record, or 0 for an empty history."""
        return self.records[-1].time_s if self.records else 0.0


def record_to_json(record: HistoryRecord) -> str:
    """Encode a record as one line of JSON with its class name in the field `type`."""
    return json.dumps({"type": type(record).__name__, **msgspec.to_builtins(record)})


def record_from_json(line: str) -> HistoryRecord:
    """Decode a record that `record_to_json` encoded.

    Args:
        line: one line of JSON.

    Returns:
        The decoded record.

    Raises:
        ValueError: the line is not JSON, its `type` is unknown, or a field does not fit the class.

    Example:
        >>> record_from_json('{"type": "VmAdded", "time_s": 1.5, "vm": "w1"}')
        VmAdded(time_s=1.5, vm='w1')
    """
    data: Any = json.loads(line)
    if not isinstance(data, dict) or data.get("type") not in _CLASSES_BY_NAME:
        raise ValueError(f"not a history record: {line[:80]}")
    return msgspec.convert(data, _CLASSES_BY_NAME[data["type"]])
