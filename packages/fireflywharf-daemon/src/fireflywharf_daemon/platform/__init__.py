"""HTTP clients for the platform: log, VM list, workers and targets."""

from ._log import LogClient
from ._outcomes import (
    Failed,
    FailureReason,
    PlatformOutcome,
    RefusalReason,
    RefusedBeforeRun,
    Success,
)
from ._targets import TargetAnswer, TargetClient, TargetRequest
from ._vm_list import VmListClient
from ._workers import WorkerClient

__all__ = [
    "Failed",
    "FailureReason",
    "LogClient",
    "PlatformOutcome",
    "RefusalReason",
    "RefusedBeforeRun",
    "Success",
    "TargetAnswer",
    "TargetClient",
    "TargetRequest",
    "VmListClient",
    "WorkerClient",
]
