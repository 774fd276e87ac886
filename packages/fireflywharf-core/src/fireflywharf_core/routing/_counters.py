"""Counters of the router for metrics."""

from collections import Counter
from enum import Enum

import attrs

from ..results import ResultCode


class RetryReason(Enum):
    """Why a request was retried or hedged."""

    REFUSED = "refused"
    STALE_EPOCH = "stale_epoch"
    FAILED = "failed"
    BAD_ANSWER = "bad_answer"
    FORWARD_NOT_RUN = "forward_not_run"
    FORWARD_FAILED = "forward_failed"
    HEDGE = "hedge"


class SuppressedRetry(Enum):
    """Why a request that had no answer was not retried."""

    BUDGET_SPENT = "budget_spent"
    SENDS_SPENT = "sends_spent"
    FORWARDED = "forwarded"
    NOT_IDEMPOTENT = "not_idempotent"


class CrossRegionReason(Enum):
    """Why request bytes were sent to another region."""

    NO_TARGET_IN_REGION = "no_target_in_region"
    REGION_FULL = "region_full"
    KEY_HOLDER = "key_holder"


@attrs.define
class RoutingCounters:
    """Counts since the start of the process.

    Args:
        outcomes: answers by result code, refusals included.
        retries: retries and hedges by reason.
        suppressed_retries: retries that were not made, by reason.
        cross_region_bytes: request bytes sent to other regions, by reason.
        first_sends_count: first sends of accepted requests.
        late_answers_count: complete answers that arrived after the caller was answered.
        mismatched_answers_count: answers with the request id of another send or a wrong digest.
        lapsed_leases_count: targets skipped at a send because their lease had expired.
        set_aside_count: ejections of targets.
    """

    outcomes: Counter[ResultCode] = attrs.field(factory=Counter)
    retries: Counter[RetryReason] = attrs.field(factory=Counter)
    suppressed_retries: Counter[SuppressedRetry] = attrs.field(factory=Counter)
    cross_region_bytes: Counter[CrossRegionReason] = attrs.field(factory=Counter)
    first_sends_count: int = 0
    late_answers_count: int = 0
    mismatched_answers_count: int = 0
    lapsed_leases_count: int = 0
    set_aside_count: int = 0
