"""Contracts of customers: data, parsing and the versioned registry."""

from ._contract import UNLIMITED, Contract, Quota, ReclaimStep, TeamQuota
from ._parse import parse_contract

__all__ = [
    "UNLIMITED",
    "Contract",
    "Quota",
    "ReclaimStep",
    "TeamQuota",
    "parse_contract",
]
