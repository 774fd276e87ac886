"""Check of contract versions at the entry VMs."""

import bisect
import math
from collections import defaultdict

import attrs

from ._history import History
from ._observations import ContractApplied, ContractSeen, EntryVmDown, EntryVmUp
from ._violation import Promise, Violation

IN_FORCE_LIMIT_S = 10.0


@attrs.define
class _Reachability:
    """Since when an entry VM is reachable, by time of the change; infinity when it is not."""

    times_s: list[float] = attrs.field(factory=list)
    since_s: list[float] = attrs.field(factory=list)

    def add(self, time_s: float, since_s: float) -> None:
        self.times_s.append(time_s)
        self.since_s.append(since_s)

    def at(self, time_s: float) -> float:
        index = bisect.bisect_right(self.times_s, time_s)
        return self.since_s[index - 1] if index else math.inf


def _reachabilities(history: History) -> dict[str, _Reachability]:
    found: dict[str, _Reachability] = defaultdict(_Reachability)
    for record in history.records:
        match record:
            case EntryVmDown():
                found[record.entry_vm].add(record.time_s, math.inf)
            case EntryVmUp():
                found[record.entry_vm].add(record.time_s, record.time_s)
    return found


def check_configuration(history: History, limit_s: float = IN_FORCE_LIMIT_S) -> list[Violation]:
    """Return a violation for each version that came too late or fell.

    Each entry VM with an `EntryVmUp` record must show each applied version `limit_s` after it was
    applied, or after the entry VM returned. A version that an entry VM was never seen to have is a
    violation when the history goes on that long, because nothing proves it.
    """
    shown: dict[tuple[str, str], list[ContractSeen]] = defaultdict(list)
    for seen in history.of_type(ContractSeen):
        shown[(seen.entry_vm, seen.customer)].append(seen)
    violations = [violation for rows in shown.values() for violation in _check_falls(rows)]
    for entry_vm, reachability in sorted(_reachabilities(history).items()):
        for applied in history.of_type(ContractApplied):
            rows = shown[(entry_vm, applied.customer)]
            violation = _check_in_force(applied, rows, reachability, limit_s)
            if violation is None and not any(
                row.time_s >= applied.time_s and row.version >= applied.version for row in rows
            ):
                start_s = max(applied.time_s, reachability.at(history.end_s))
                if history.end_s > start_s + limit_s:
                    detail = f"{entry_vm} never showed version {applied.version}"
                    detail += f" of {applied.customer}"
                    violation = Violation(Promise.CONFIGURATION, detail, history.end_s)
            if violation is not None:
                violations.append(violation)
    return violations


def _check_falls(rows: list[ContractSeen]) -> list[Violation]:
    violations = []
    highest = 0
    for seen in rows:
        if seen.version < highest:
            detail = f"{seen.entry_vm} fell from version {highest} of {seen.customer}"
            detail += f" to {seen.version}"
            violations.append(Violation(Promise.CONFIGURATION, detail, seen.time_s))
        highest = max(highest, seen.version)
    return violations


def _check_in_force(
    applied: ContractApplied, rows: list[ContractSeen], reachability: _Reachability, limit_s: float
) -> Violation | None:
    """Return a violation for the first lower version that is shown after the limit."""
    first = bisect.bisect_left(rows, applied.time_s, key=lambda row: row.time_s)
    for seen in rows[first:]:
        if seen.version >= applied.version:
            return None
        start_s = max(applied.time_s, reachability.at(seen.time_s))
        if seen.time_s > start_s + limit_s:
            detail = (
                f"{seen.entry_vm} has version {seen.version} of {seen.customer}"
                f" {seen.time_s - start_s:.1f} s after version {applied.version} was applied"
            )
            return Violation(Promise.CONFIGURATION, detail, seen.time_s)
    return None
