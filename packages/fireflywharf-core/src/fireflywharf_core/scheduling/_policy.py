"""Scheduling policies and their parameters."""

from enum import Enum

import attrs


class Charging(Enum):
    """When the usage of a task is charged to its customer's fair share.

    Attributes:
        METERED: continuously while the task runs.
        ESTIMATE_FIRST: the estimated usage at the start, corrected at the end.
    """

    METERED = "metered"
    ESTIMATE_FIRST = "estimate_first"


@attrs.frozen(slots=True, kw_only=True)
class FirstComeFirstServed:
    """Baseline policy: one queue in order of admission, first fit, no preemption or learning.

    Args:
        max_starts_per_decision: most task starts of one call of `decide`.
    """

    max_starts_per_decision: int = 16


@attrs.frozen(slots=True, kw_only=True)
class FairShare:
    """Dominant-resource fairness with learned run times and sizes.

    Args:
        max_starts_per_decision: most task starts of one call of `decide`, which bounds its time.
        window_s: time constant of the exponential decay of past usage.
        charging: when usage is charged.
        correct_sizes: whether declared sizes are corrected by observed usage.
        size_factor_min: lowest corrected size relative to the declared one.
        size_factor_max: highest corrected size relative to the declared one.
        short_run_s: predicted run time up to which a task counts as short.
        short_reserve_max: largest fraction of the domain that is kept free of long tasks.
        slack_factor: a job without a deadline is ordered as if it were due this many predicted
            run times after its admission.
        lookahead_count: number of jobs at the head of each size queue that are tried.
        urgent_escalation_s: time between two reclaim steps for urgent tasks. Three steps must end
            within the 5.9 s in which urgent tasks must start.
        reclaim_escalation_s: time between two reclaim steps for fair share.
        reclaim_delay_s: time a customer must be below its share before resources are reclaimed.
        candidates_count: number of workers compared for one placement.
    """

    max_starts_per_decision: int = 8
    window_s: float = 60.0
    charging: Charging = Charging.METERED
    correct_sizes: bool = True
    size_factor_min: float = 0.1
    size_factor_max: float = 10.0
    short_run_s: float = 10.0
    short_reserve_max: float = 0.2
    slack_factor: float = 10.0
    lookahead_count: int = 2
    urgent_escalation_s: float = 1.5
    reclaim_escalation_s: float = 5.0
    reclaim_delay_s: float = 1.0
    candidates_count: int = 12


Policy = FairShare | FirstComeFirstServed
