"""Records of a run and one checker per promise."""

from ._records import (
    AppendDone,
    AttemptEnded,
    AttemptResized,
    AttemptStarted,
    HistoryRecord,
    LeaseGranted,
    RequestEnded,
    RequestStarted,
    VmAdded,
    VmLeaving,
    VmRemoved,
    record_from_json,
    record_to_json,
)

__all__ = [
    "AppendDone",
    "AttemptEnded",
    "AttemptResized",
    "AttemptStarted",
    "HistoryRecord",
    "LeaseGranted",
    "RequestEnded",
    "RequestStarted",
    "VmAdded",
    "VmLeaving",
    "VmRemoved",
    "record_from_json",
    "record_to_json",
]
