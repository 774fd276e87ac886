"""Settings of the router."""

import attrs


@attrs.frozen(slots=True, kw_only=True)
class RoutingPolicy:
    """Parameters of the routing decisions.

    Args:
        fair_queue: weighted queue, short before long; otherwise first come first served.
        early_refusal: refuse what cannot meet its deadline, where the contract allows it.
        set_outliers_aside: stop using targets that fail or are slow, and probe them.
        hedging: send an idempotent request again after its learned 95th percentile.
        retry_budget_ratio: retries and hedges per request; None lifts the bound.
        sends_max_count: sends of one request by the entry VM that accepted it.
        retry_budget_max_count: retries that a quiet time can save up.
        hedge_min_observations: observations before a kind is hedged.
        poll_interval_s: time between status polls of a target with slots of unknown state.
        settle_s: a status must be asked this long after the end of a send that the target never
            listed, because bytes of that send may still be on their way.
        probe_interval_s: time between probes of a target that is set aside.
        outlier_failures_count: consecutive failures that set a target aside.
        outlier_time_factor: service time relative to the learned median that sets it aside.
        set_aside_max_ratio: part of the held targets of a service that may be set aside.
        forward_queue_ratio: part of a peer's slots that may be queued there beyond its free slots.
        cross_region_min_wait_s: time in the queue before a request leaves the region, when its own
            region has targets; below this the network delay is not repaid.
        long_slots_ratio: part of the held slots that long kinds may take while short kinds arrive,
            so that a burst of short requests does not wait for a long one to end.
        long_kind_factor: a kind is long when its median is this many times the shortest one.
        key_lifetime_s: lifetime of keys.
        remembered_keys_max_count: keys that are remembered.
        remembered_body_max_bytes: longest answer that is kept for repeats.
        remembered_bodies_max_bytes: bound on all kept answers.
        short_seen_s: time without a short request after which long kinds may take all slots.
        kinds_max_count: learned kinds; further ones share one estimate.
    """

    fair_queue: bool = True
    early_refusal: bool = True
    set_outliers_aside: bool = True
    hedging: bool = True
    retry_budget_ratio: float | None = 0.1
    sends_max_count: int = 2
    retry_budget_max_count: float = 20.0
    hedge_min_observations: int = 50
    poll_interval_s: float = 0.25
    settle_s: float = 0.5
    probe_interval_s: float = 1.0
    outlier_failures_count: int = 5
    outlier_time_factor: float = 4.0
    set_aside_max_ratio: float = 0.5
    forward_queue_ratio: float = 0.25
    cross_region_min_wait_s: float = 0.05
    long_slots_ratio: float = 0.9
    long_kind_factor: float = 5.0
    short_seen_s: float = 10.0
    key_lifetime_s: float = 3600.0
    remembered_keys_max_count: int = 50_000
    remembered_body_max_bytes: int = 16_384
    remembered_bodies_max_bytes: int = 16_777_216
    kinds_max_count: int = 256


def baseline_policy(retry_budget: bool = False) -> RoutingPolicy:
    """Return first come first served with least connections.

    Args:
        retry_budget: whether retries are bounded; without it each request may use all its sends.

    Returns:
        The policy.
    """
    return RoutingPolicy(
        fair_queue=False,
        early_refusal=False,
        set_outliers_aside=False,
        hedging=False,
        retry_budget_ratio=0.1 if retry_budget else None,
        sends_max_count=2 if retry_budget else 4,
    )
