"""Data classes of contracts."""

from enum import Enum
from typing import Literal

import attrs

from ..resources import ResourceVector

UNLIMITED: Literal["unlimited"] = "unlimited"

Limit = int | Literal["unlimited"]
RateLimit = float | Literal["unlimited"]


class ReclaimStep(Enum):
    """Ways to reclaim lent resources."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


@attrs.frozen(slots=True, kw_only=True)
class Quota:
    """Upper bounds on concurrently used resources; each is a number or `"unlimited"`."""

    processors_millicores: Limit
    memory_mb: Limit
    accelerators_count: Limit

    def allows(self, held: ResourceVector) -> bool:
        """Return whether these resources may be in use at the same time."""
        return all(
            limit == UNLIMITED or amount <= limit
            for amount, limit in (
                (held.processors_millicores, self.processors_millicores),
                (held.memory_mb, self.memory_mb),
                (held.accelerators_count, self.accelerators_count),
            )
        )


@attrs.frozen(slots=True, kw_only=True)
class TeamQuota:
    """Quota and weight of a team within its customer."""

    team: str
    weight: float
    quota: Quota


@attrs.frozen(slots=True, kw_only=True)
class Contract:
    """Settings that operators make for one customer.

    Args:
        customer: name of the customer; lower-case letters, digits and hyphens.
        share_weight: weight of the customer's fair share, above zero.
        priority: 0 (lowest) to 9; decides between customers with equal use of their shares.
        quota: bounds on concurrently used resources.
        teams: quotas of teams.
        requests_per_second: rate limit of admitted requests at one entry VM domain.
        queue_max_requests: waiting requests from which on further ones are refused.
        queue_max_tasks: waiting tasks from which on further ones are refused.
        urgent_reserve_percent: percentage of a domain kept free for urgent jobs of this customer.
        refusable_kinds: kinds of work that may be refused early under load.
        late_jobs: whether to `accept` or `refuse` jobs that are expected to miss their deadline.
        reclaim_steps: allowed ways to reclaim lent resources from this customer, in order of use.
        provisional_admission: whether jobs may run before they are recorded while the log is down.
        default_deadline_s: deadline of requests that set none.
        max_deadline_s: longest deadline of a request.
        cross_region_bytes_per_second: rate limit of request bytes sent to other regions.
    """

    customer: str
    share_weight: float
    priority: int = 5
    quota: Quota
    teams: list[TeamQuota] = attrs.field(factory=list)
    requests_per_second: RateLimit
    queue_max_requests: int = 1000
    queue_max_tasks: Limit
    urgent_reserve_percent: float = 0.0
    refusable_kinds: list[str] = attrs.field(factory=list)
    late_jobs: Literal["accept", "refuse"] = "accept"
    reclaim_steps: list[ReclaimStep] = attrs.field(factory=list)
    provisional_admission: bool = False
    default_deadline_s: float = 10.0
    max_deadline_s: float = 300.0
    cross_region_bytes_per_second: Limit = UNLIMITED
