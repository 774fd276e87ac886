"""Parameters of the router."""

import attrs


@attrs.frozen(slots=True, kw_only=True)
class RoutingPolicy:
    """Parameters of the routing decisions.

    Args:
        fair_queue: whether queues are weighted between customers and prefer short kinds; otherwise
            requests are served first come, first served.
        early_refusal: refuse requests that cannot meet their deadline, where the contract allows
            it.
        eject_outliers: stop sending to targets that fail or are slow, and probe them.
        hedging: send an idempotent request a second time once it has taken longer than the learned
            95th percentile of its kind.
        retry_budget_ratio: retries and hedges allowed per first send; None removes the bound.
        sends_max_count: sends of one request by the entry VM that accepted it, the first included.
        retry_budget_max_count: retries that the budget can accumulate.
        hedge_min_observations: observed service times before requests of a kind are hedged.
        poll_interval_s: time between status polls of a target with slots of unknown state.
        unlisted_send_grace_s: a send that no status listed frees its slot only if a status
            requested this long after its end still omits it, because its bytes may arrive late.
        probe_interval_s: time between probes of an ejected target.
        outlier_failures_count: consecutive failures after which a target is ejected.
        outlier_time_factor: ratio of service time to learned median above which a target is
            ejected.
        ejected_max_ratio: fraction of the held targets of a service that may be ejected.
        forward_queue_ratio: forwards that may be outstanding at a full peer, as a fraction of its
            slots.
        cross_region_min_wait_s: waiting time before a request may leave a region that has targets
            of its service; for shorter waits the network delay costs more than it saves.
        long_slots_ratio: fraction of the held slots that long kinds may use while short requests
            arrive, so that short requests need not wait for a long one to end.
        long_kind_factor: a kind is long if its median service time is at least this many times
            that of the shortest kind of the service.
        key_lifetime_s: validity of an issued key and of a claim.
        executed_keys_max_count: bound on the executed issued keys and on the claims in memory.
        kept_answer_max_bytes: longest answer that is kept for repeats of a key.
        kept_answers_max_bytes: total size of the kept answers.
        short_kind_window_s: time after the last short request at which long kinds may use all
            slots again.
        kinds_max_count: kinds with service times of their own; all others share one estimate.
    """

    fair_queue: bool = True
    early_refusal: bool = True
    eject_outliers: bool = True
    hedging: bool = True
    retry_budget_ratio: float | None = 0.1
    sends_max_count: int = 2
    retry_budget_max_count: float = 20.0
    hedge_min_observations: int = 50
    poll_interval_s: float = 0.25
    unlisted_send_grace_s: float = 0.5
    probe_interval_s: float = 1.0
    outlier_failures_count: int = 5
    outlier_time_factor: float = 4.0
    ejected_max_ratio: float = 0.5
    forward_queue_ratio: float = 0.25
    cross_region_min_wait_s: float = 0.05
    long_slots_ratio: float = 0.9
    long_kind_factor: float = 5.0
    short_kind_window_s: float = 10.0
    key_lifetime_s: float = 3600.0
    executed_keys_max_count: int = 50_000
    kept_answer_max_bytes: int = 16_384
    kept_answers_max_bytes: int = 16_777_216
    kinds_max_count: int = 256


def baseline_policy(retry_budget: bool = False) -> RoutingPolicy:
    """Return the baseline for comparison: first come, first served with least connections.

    Args:
        retry_budget: whether a budget bounds the retries; without it each request may use all its
            sends.

    Returns:
        The policy.
    """
    return RoutingPolicy(
        fair_queue=False,
        early_refusal=False,
        eject_outliers=False,
        hedging=False,
        retry_budget_ratio=0.1 if retry_budget else None,
        sends_max_count=2 if retry_budget else 4,
    )
