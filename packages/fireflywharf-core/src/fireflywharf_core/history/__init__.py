"""Records of a run and one checker per promise."""

from ._check_all import CHECKS, check_history
from ._contract_checks import check_configuration
from ._effects import (
    AppendDone,
    AttemptEnded,
    AttemptResized,
    AttemptStarted,
    LeaseGranted,
    RequestEnded,
    RequestRefused,
    RequestStarted,
    StartRefused,
    VmAdded,
    VmDied,
    VmLeaving,
    VmRemoved,
)
from ._history import History, HistoryRecord, record_from_json, record_to_json
from ._job_checks import check_nothing_lost
from ._observations import (
    ContractApplied,
    ContractSeen,
    EntryVmDown,
    EntryVmUp,
    JobAcceptedSeen,
    JobStateSeen,
    RequestAnswered,
    RequestOutcome,
    RequestSent,
    ShutdownFinished,
    ShutdownRequested,
)
from ._placement_checks import check_one_place, check_room
from ._request_checks import (
    check_at_most_once,
    check_leaving,
    check_not_run,
    check_own_answer,
    check_shutdown,
)
from ._share_checks import check_fair_share
from ._violation import Promise, Violation

__all__ = [
    "CHECKS",
    "AppendDone",
    "AttemptEnded",
    "AttemptResized",
    "AttemptStarted",
    "ContractApplied",
    "ContractSeen",
    "EntryVmDown",
    "EntryVmUp",
    "History",
    "HistoryRecord",
    "JobAcceptedSeen",
    "JobStateSeen",
    "LeaseGranted",
    "Promise",
    "RequestAnswered",
    "RequestEnded",
    "RequestOutcome",
    "RequestRefused",
    "RequestSent",
    "RequestStarted",
    "ShutdownFinished",
    "ShutdownRequested",
    "StartRefused",
    "Violation",
    "VmAdded",
    "VmDied",
    "VmLeaving",
    "VmRemoved",
    "check_at_most_once",
    "check_configuration",
    "check_fair_share",
    "check_history",
    "check_leaving",
    "check_not_run",
    "check_nothing_lost",
    "check_one_place",
    "check_own_answer",
    "check_room",
    "check_shutdown",
    "record_from_json",
    "record_to_json",
]
