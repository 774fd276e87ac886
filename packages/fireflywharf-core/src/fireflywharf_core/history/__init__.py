"""Recorded histories of a run, and one check per guarantee of the system."""

from ._check_all import CHECKS, check_history
from ._contract_checks import check_contract_versions
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
from ._job_checks import check_accepted_jobs
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
from ._placement_checks import check_capacity, check_single_placement
from ._request_checks import (
    check_answers,
    check_at_most_once,
    check_graceful_shutdown,
    check_leaving_targets,
    check_not_run_answers,
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
    "check_contract_versions",
    "check_fair_share",
    "check_history",
    "check_leaving_targets",
    "check_not_run_answers",
    "check_accepted_jobs",
    "check_single_placement",
    "check_answers",
    "check_capacity",
    "check_graceful_shutdown",
    "record_from_json",
    "record_to_json",
]
