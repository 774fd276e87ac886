"""Checks how contract versions reach the entry VMs."""

import bisect
import math
from collections import defaultdict

import attrs

from ._history import History
from ._observations import ContractApplied, ContractSeen, EntryVmDown, EntryVmUp
from ._violation import Promise, Violation

CONTRACT_IN_FORCE_LIMIT_S = 10.0


@attrs.define
class _ReachabilityTimeline:
    """Changes of the reachability of one entry VM, sorted by time.

    Attributes:
        change_times_s: times of the changes.
        since_s: for each change, since when the entry VM is reachable; infinity when it is not.
    """

    change_times_s: list[float] = attrs.field(factory=list)
    since_s: list[float] = attrs.field(factory=list)

    def add_change(self, time_s: float, since_s: float) -> None:
        """Append a change; `since_s` is infinity when the entry VM becomes unreachable."""
        self.change_times_s.append(time_s)
        self.since_s.append(since_s)

    def get_reachable_since_s(self, time_s: float) -> float:
        """Return since when the entry VM is reachable, or infinity if it is not at `time_s`."""
        index = bisect.bisect_right(self.change_times_s, time_s)
        return self.since_s[index - 1] if index else math.inf


def _build_reachability_timelines(history: History) -> dict[str, _ReachabilityTimeline]:
    timelines: dict[str, _ReachabilityTimeline] = defaultdict(_ReachabilityTimeline)
    for record in history.records:
        match record:
            case EntryVmDown():
                timelines[record.entry_vm].add_change(record.time_s, math.inf)
            case EntryVmUp():
                timelines[record.entry_vm].add_change(record.time_s, record.time_s)
    return timelines


def check_contract_versions(
    history: History, limit_s: float = CONTRACT_IN_FORCE_LIMIT_S
) -> list[Violation]:
    """Check that contract versions reach every entry VM in time and never decrease.

    Each entry VM with an `EntryVmUp` record must report each applied version, or a higher one, at
    most `limit_s` after the version was applied or after the entry VM became reachable, whichever
    is later. If the history continues past that limit without any such report, this is a
    violation, too, because nothing proves that the version arrived.

    Args:
        history: records of a run.
        limit_s: longest allowed delay in seconds.

    Returns:
        One violation for each version that arrived late or never, and for each decrease.
    """
    observations_by_key: dict[tuple[str, str], list[ContractSeen]] = defaultdict(list)
    for seen in history.of_type(ContractSeen):
        observations_by_key[(seen.entry_vm, seen.customer)].append(seen)
    violations = [
        violation
        for observations in observations_by_key.values()
        for violation in _check_version_decreases(observations)
    ]
    for entry_vm, reachability in sorted(_build_reachability_timelines(history).items()):
        for applied in history.of_type(ContractApplied):
            observations = observations_by_key[(entry_vm, applied.customer)]
            violation = _check_in_force_delay(applied, observations, reachability, limit_s)
            if violation is None and not any(
                row.time_s >= applied.time_s and row.version >= applied.version
                for row in observations
            ):
                start_s = max(applied.time_s, reachability.get_reachable_since_s(history.end_s))
                if history.end_s > start_s + limit_s:
                    detail = f"{entry_vm} never reported version {applied.version}"
                    detail += f" of {applied.customer}"
                    violation = Violation(Promise.CONFIGURATION, detail, history.end_s)
            if violation is not None:
                violations.append(violation)
    return violations


def _check_version_decreases(observations: list[ContractSeen]) -> list[Violation]:
    """Return a violation for each version that is below one reported earlier."""
    violations = []
    highest = 0
    for seen in observations:
        if seen.version < highest:
            detail = f"{seen.entry_vm} went back from version {highest} of {seen.customer}"
            detail += f" to {seen.version}"
            violations.append(Violation(Promise.CONFIGURATION, detail, seen.time_s))
        highest = max(highest, seen.version)
    return violations


def _check_in_force_delay(
    applied: ContractApplied,
    observations: list[ContractSeen],
    reachability: _ReachabilityTimeline,
    limit_s: float,
) -> Violation | None:
    """Return a violation for the first lower version reported after the limit, or None."""
    first = bisect.bisect_left(observations, applied.time_s, key=lambda row: row.time_s)
    for seen in observations[first:]:
        if seen.version >= applied.version:
            return None
        start_s = max(applied.time_s, reachability.get_reachable_since_s(seen.time_s))
        if seen.time_s > start_s + limit_s:
            detail = (
                f"{seen.entry_vm} has version {seen.version} of {seen.customer}"
                f" {seen.time_s - start_s:.1f} s after version {applied.version} was applied"
            )
            return Violation(Promise.CONFIGURATION, detail, seen.time_s)
    return None
