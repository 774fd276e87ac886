"""Contracts of customers: data classes, parsing and the versioned registry."""

from ._changes import (
    ChangeLost,
    ChangeOutcome,
    ChangeUndetermined,
    ChangeWon,
    ContractApplied,
    ContractChange,
    ContractsSnapshot,
    VersionedContract,
)
from ._contract import UNLIMITED, Contract, Quota, ReclaimStep, TeamQuota
from ._parse import parse_contract
from ._registry import ContractRegistry

__all__ = [
    "UNLIMITED",
    "ChangeLost",
    "ChangeOutcome",
    "ChangeUndetermined",
    "ChangeWon",
    "Contract",
    "ContractApplied",
    "ContractChange",
    "ContractRegistry",
    "ContractsSnapshot",
    "Quota",
    "ReclaimStep",
    "TeamQuota",
    "VersionedContract",
    "parse_contract",
]
