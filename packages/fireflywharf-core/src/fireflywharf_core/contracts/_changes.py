"""Log records of contract changes and what became of them."""

from dataclasses import dataclass

import attrs

from ._contract import Contract


@attrs.frozen(slots=True)
class VersionedContract:
    """A contract and the version that its last winning change gave it; versions start at 1."""

    contract: Contract
    version: int


@attrs.frozen(slots=True, kw_only=True)
class ContractApplied:
    """Change of one contract; wins only if `base_version` is current at its place in the log.

    Args:
        operation_id: unique id by which the writer recognises its own record.
        contract: new content.
        base_version: version that the operator edited; 0 for a new contract.
        author: operator who applied it.
        time_utc: time at the writer, for display only.
    """

    operation_id: str
    contract: Contract
    base_version: int
    author: str = ""
    time_utc: str = ""


@attrs.frozen(slots=True)
class ContractsSnapshot:
    """All contracts after the record at `as_of_offset`."""

    as_of_offset: int
    contracts: list[VersionedContract]


@attrs.frozen(slots=True, kw_only=True)
class ContractChange:
    """One entry of the history of a contract.

    Args:
        offset: offset of the record.
        version: version that the change has, or would have had if it had won.
        author: operator who applied it.
        time_utc: time at the writer, for display only.
        contract: content of the change.
        won: whether the change came into force.
    """

    offset: int
    version: int
    author: str
    time_utc: str
    contract: Contract
    won: bool


@dataclass(frozen=True, slots=True)
class ChangeWon:
    """The change is in force, or was until a later change replaced it."""

    version: int


@dataclass(frozen=True, slots=True)
class ChangeLost:
    """Another change of the same contract came first."""

    base_version: int
    current_version: int


@dataclass(frozen=True, slots=True)
class ChangeUndetermined:
    """The record is in the log, but the state before it was truncated."""

    offset: int


ChangeOutcome = ChangeWon | ChangeLost | ChangeUndetermined
