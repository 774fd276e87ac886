"""Account of the resources that a customer or a team holds."""

from __future__ import annotations

import bisect

import attrs

from ..contracts import Contract, Quota
from ..resources import ResourceVector


@attrs.define(slots=True, eq=False)
class Account:
    """Resource usage of one customer or team.

    Args:
        name: customer or team.
        weight: weight of its fair share.
        quota: limits on the resources it holds at a time.
        priority: priority among customers with equal weighted usage; higher is served first.
        held: resources it holds now.
        held_share: dominant share of `held`.
        decayed_share_seconds: past usage in share-seconds, decayed exponentially with the window.
        updated_s: time up to which `decayed_share_seconds` is computed.
        teams: accounts of the customer's teams by name.
        contract: contract in force; None for a team.
    """

    name: str
    weight: float
    quota: Quota
    priority: int = 0
    held: ResourceVector = ResourceVector()
    held_share: float = 0.0
    decayed_share_seconds: float = 0.0
    updated_s: float = 0.0
    teams: dict[str, Account] = attrs.field(factory=dict)
    contract: Contract | None = None

    def has_quota_for(self, size: ResourceVector, tasks_count: int = 1) -> bool:
        """Return whether the quota allows more tasks of a size."""
        return self.quota.allows(self.held + size.scaled(tasks_count))

    def count_within_quota(self, size: ResourceVector, tasks_count: int) -> int:
        """Return how many of `tasks_count` more tasks of a size the quota allows."""
        if self.has_quota_for(size, tasks_count):
            return tasks_count
        return bisect.bisect_left(
            range(1, tasks_count + 1), True, key=lambda count: not self.has_quota_for(size, count)
        )
