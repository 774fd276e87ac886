"""Leases with fencing epochs: the granter side and the holder side."""

from ._granter import Grant, GranterLease
from ._holder import (
    HolderLease,
    LeaseGained,
    LeaseRenewed,
    PauseDetector,
    RenewalResult,
    StaleAnswer,
    margin_s,
)
from ._table import LeaseTable, UnwantedLeaseGranted

__all__ = [
    "StaleAnswer",
    "Grant",
    "GranterLease",
    "HolderLease",
    "LeaseGained",
    "LeaseRenewed",
    "LeaseTable",
    "UnwantedLeaseGranted",
    "PauseDetector",
    "RenewalResult",
    "margin_s",
]
