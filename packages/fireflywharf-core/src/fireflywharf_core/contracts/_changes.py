"""Log records of contract changes, and outcomes of changes."""

from dataclasses import dataclass

import attrs

from ._contract import Contract


@attrs.frozen(slots=True)
class VersionedContract:
    """A contract and its version; versions start at 1 and rise with each effective change."""

    contract: Contract
    version: int


@attrs.frozen(slots=True, kw_only=True)
class ContractApplied:
    """Change of one contract.

    The change takes effect only if `base_version` is the current version at its offset in the log.

    Args:
        operation_id: unique id by which the writer recognises its own record.
        contract: new content.
        base_version: version that the change is based on; 0 for a new contract.
        author: operator who made the change.
        time_utc: time by the clock of the writer, for display only.
    """

    operation_id: str
    contract: Contract
    base_version: int
    author: str = ""
    time_utc: str = ""


@attrs.frozen(slots=True)
class ContractsSnapshot:
    """All contracts in force after the record at `as_of_offset`."""

    as_of_offset: int
    contracts: list[VersionedContract]


@attrs.frozen(slots=True, kw_only=True)
class ContractChange:
    """One entry in the history of a contract.

    Args:
        offset: offset of the record.
        version: base version plus 1: the version of the contract if the change took effect.
        author: operator who made the change.
        time_utc: time by the clock of the writer, for display only.
        contract: content of the change.
        won: whether the change took effect.
    """

    offset: int
    version: int
    author: str
    time_utc: str
    contract: Contract
    won: bool


@dataclass(frozen=True, slots=True)
class ChangeWon:
    """The change took effect and gave the contract `version`."""

    version: int


@dataclass(frozen=True, slots=True)
class ChangeLost:
    """The change had no effect: `base_version` was not the current version."""

    base_version: int
    current_version: int


@dataclass(frozen=True, slots=True)
class ChangeUndetermined:
    """The outcome is unknown: the change is in the log, but records before it were truncated."""

    offset: int


ChangeOutcome = ChangeWon | ChangeLost | ChangeUndetermined
