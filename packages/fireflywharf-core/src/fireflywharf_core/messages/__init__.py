"""Messages between entry VMs."""

from ._messages import (
    MESSAGE_CODEC,
    Acknowledged,
    CancelJob,
    ContractsCatchUp,
    ContractsSince,
    DomainDigest,
    Envelope,
    ForwardRequest,
    Handover,
    Heartbeat,
    JobAnswer,
    JobQuery,
    RequestAnswer,
    ServiceSlots,
    SubmitToScheduler,
    Verdict,
)

__all__ = [
    "MESSAGE_CODEC",
    "Acknowledged",
    "CancelJob",
    "ContractsCatchUp",
    "ContractsSince",
    "DomainDigest",
    "Envelope",
    "ForwardRequest",
    "Handover",
    "Heartbeat",
    "JobAnswer",
    "JobQuery",
    "RequestAnswer",
    "ServiceSlots",
    "SubmitToScheduler",
    "Verdict",
]
