"""Scheduling policies as data; the scheduler selects its engine by `match` on them."""

from enum import Enum

import attrs


class Charging(Enum):
    """When the use of a task is charged to its customer's fair share."""

    METERED = "metered"
    ESTIMATE_FIRST = "estimate_first"


@attrs.frozen(slots=True, kw_only=True)
class FirstComeFirstServed:
    """Baseline: one queue in order of admission, first fit, no preemption, nothing learned.

    Args:
        max_starts_per_decision: bound on the starts of one call of `decide`.
    """

    max_starts_per_decision: int = 16


@attrs.frozen(slots=True, kw_only=True)
class FairShare:
    """Dominant-resource fair share with learned times and sizes.

    Args:
        max_starts_per_decision: bound on the starts of one call of `decide`, which bounds its time.
        window_s: time constant with which past use fades.
        charging: when use is charged.
        correct_sizes: whether declared sizes are corrected by observed use.
        size_factor_min: lowest corrected size relative to the declared one.
        size_factor_max: highest corrected size relative to the declared one.
        short_run_s: predicted run time up to which a task counts as short.
        short_reserve_max: largest part of the domain that long work leaves to short work.
        slack_factor: a job without a deadline is ordered as if it were due this many predicted
            run times after its admission.
        lookahead_count: waiting jobs of one size class that are tried behind a blocked one.
        urgent_escalation_s: wait between two reclaim steps for urgent work. Three steps must end
            before the 5.9 s within which urgent work starts.
        reclaim_escalation_s: wait between two reclaim steps for fair share.
        reclaim_delay_s: time that work below its share waits before lent room is taken back.
        candidates_count: workers compared for one placement.
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
