"""Stand-ins for the platform interfaces of fireflywharf."""

from ._caller import CallResult, RecordingCaller, RequestPlan
from ._cluster import Cluster, Shutdown
from ._effects import EffectsRecorder
from ._faults import NO_FAULTS, FaultSettings, parse_faults
from ._lease import HolderLease
from ._log import LogSettings, LogStandIn
from ._platform import Platform, wait_until
from ._server import Answer, Call, StandInServer, json_answer
from ._target import TargetSettings, TargetStandIn
from ._task import CheckpointStore, TaskBehaviour, read_behaviour
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

__all__ = [
    "NO_FAULTS",
    "Answer",
    "Call",
    "CallResult",
    "CheckpointStore",
    "Cluster",
    "Domain",
    "EffectsRecorder",
    "FaultSettings",
    "HolderLease",
    "LogSettings",
    "LogStandIn",
    "Platform",
    "RecordingCaller",
    "RequestPlan",
    "Shutdown",
    "StandInServer",
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
    "json_answer",
    "load_topology",
    "parse_faults",
    "parse_topology",
    "read_behaviour",
    "wait_until",
]
