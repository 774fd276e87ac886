"""Data of a contract."""

from enum import Enum
from typing import Literal

import attrs

UNLIMITED: Literal["unlimited"] = "unlimited"

Limit = int | Literal["unlimited"]
RateLimit = float | Literal["unlimited"]


class ReclaimStep(Enum):
    """Ways to take lent resources back, in the order that the contract lists them."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


@attrs.frozen(slots=True, kw_only=True)
class Quota:
    """Upper bounds on what runs at one time; each is a number or `"unlimited"`."""

    processors_millicores: Limit
    memory_mb: Limit
    accelerators_count: Limit


@attrs.frozen(slots=True, kw_only=True)
class TeamQuota:
    """Quota and weight of a team below its customer."""

    team: str
    weight: float
    quota: Quota


@attrs.frozen(slots=True, kw_only=True)
class Contract:
    """Everything that operators set for one customer.

    Args:
        customer: name; lower-case letters, digits and hyphens.
        share_weight: weight of the customer's fair share, above zero.
        priority: 0 (lowest) to 9; decides between customers at equal use of their shares.
        quota: bounds on what runs at one time.
        teams: quotas of teams.
        requests_per_second: admitted requests per second at one entry VM domain.
        queue_max_requests: waiting requests before refusal.
        queue_max_tasks: waiting tasks before refusal.
        urgent_reserve_percent: part of a domain kept free for urgent jobs of this customer.
        refusable_kinds: kinds of work that may be refused early under load.
        late_jobs: `accept` or `refuse` jobs that are expected to miss their deadline.
        reclaim_steps: allowed ways to take lent resources back from this customer.
        provisional_admission: whether jobs may run before their record while the log is down.
        default_deadline_s: deadline of requests that name none.
        max_deadline_s: longest deadline of a request.
        cross_region_bytes_per_second: bound on request bytes sent to other regions.
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
