"""Data exchanged with the platform's log, VM list, workers and targets."""

from ._log import AppendAnswer, LogEntry, ReadAnswer
from ._vms import VmInfo, VmRole, VmState
from ._workers import (
    AcknowledgeAttempt,
    CheckpointAttempt,
    ClaimAnswer,
    CommandAnswer,
    EndedAttempt,
    RunningAttempt,
    StartAttempt,
    StopAttempt,
    TargetStatus,
    ThrottleAttempt,
    WorkerCommand,
    WorkerListing,
)

__all__ = [
    "AcknowledgeAttempt",
    "AppendAnswer",
    "CheckpointAttempt",
    "ClaimAnswer",
    "CommandAnswer",
    "EndedAttempt",
    "LogEntry",
    "ReadAnswer",
    "RunningAttempt",
    "StartAttempt",
    "StopAttempt",
    "TargetStatus",
    "ThrottleAttempt",
    "VmInfo",
    "VmRole",
    "VmState",
    "WorkerCommand",
    "WorkerListing",
]
