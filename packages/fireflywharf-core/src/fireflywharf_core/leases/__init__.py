"""Holder side and granter side of leases."""

from ._granter import Grant, GranterLease
from ._holder import (
    AnswerStale,
    HolderLease,
    LeaseGained,
    LeaseRenewed,
    PauseDetector,
    RenewalResult,
    margin_s,
)
from ._table import LeaseTable, LeaseUnwanted

__all__ = [
    "AnswerStale",
    "Grant",
    "GranterLease",
    "HolderLease",
    "LeaseGained",
    "LeaseRenewed",
    "LeaseTable",
    "LeaseUnwanted",
    "PauseDetector",
    "RenewalResult",
    "margin_s",
]
