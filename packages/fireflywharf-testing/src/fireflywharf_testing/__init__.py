"""Stand-ins for the platform interfaces of fireflywharf."""

from ._caller import CallResult, RecordingCaller, RequestPlan
from ._cluster import Cluster, ShutdownResult
from ._faults import NO_FAULTS, FaultSettings, parse_faults
from ._lease import StandInLease
from ._log import LogSettings, LogStandIn
from ._platform import Platform, wait_until
from ._ports import reserve_port
from ._recorder import HistoryRecorder
from ._server import Answer, Call, StandInServer, json_answer
from ._target import TargetSettings, TargetStandIn
from ._task import CheckpointStore, TaskBehaviour, parse_behaviour
from ._topology import (
    Domain,
    TargetGroup,
    Topology,
    TopologyError,
    WorkerGroup,
    load_topology,
    parse_topology,
)
from ._vm_list import VmListStandIn
from ._worker import WorkerSettings, WorkerStandIn
from ._worker_checks import (
    Breach,
    JobAnswer,
    TaskRun,
    check_answers,
    check_finished,
    check_twice,
    collect_runs,
    describe_breach,
)
from ._workload import Submission, Workload, WorkloadPlan, outcome_table, waiting_times_s

__all__ = [
    "NO_FAULTS",
    "Answer",
    "Breach",
    "Call",
    "CallResult",
    "CheckpointStore",
    "Cluster",
    "Domain",
    "HistoryRecorder",
    "FaultSettings",
    "JobAnswer",
    "TaskRun",
    "check_answers",
    "check_finished",
    "check_twice",
    "collect_runs",
    "describe_breach",
    "StandInLease",
    "LogSettings",
    "LogStandIn",
    "Platform",
    "RecordingCaller",
    "RequestPlan",
    "ShutdownResult",
    "StandInServer",
    "Submission",
    "TargetGroup",
    "TargetSettings",
    "TargetStandIn",
    "TaskBehaviour",
    "Topology",
    "TopologyError",
    "VmListStandIn",
    "WorkerGroup",
    "WorkerSettings",
    "WorkerStandIn",
    "Workload",
    "WorkloadPlan",
    "reserve_port",
    "json_answer",
    "load_topology",
    "outcome_table",
    "parse_faults",
    "parse_topology",
    "parse_behaviour",
    "wait_until",
    "waiting_times_s",
]
