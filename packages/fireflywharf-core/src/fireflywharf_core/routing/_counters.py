"""Counts by reason for metrics."""

from collections import Counter
from enum import Enum

import attrs

from ..results import ResultCode


class RetryReason(Enum):
    """Why a request was sent again."""

    REFUSED = "refused"
    STALE_EPOCH = "stale_epoch"
    FAILED = "failed"
    BAD_ANSWER = "bad_answer"
    FORWARD_NOT_RUN = "forward_not_run"
    FORWARD_FAILED = "forward_failed"
    HEDGE = "hedge"


class SuppressedRetry(Enum):
    """Why a request was not sent again although it was not answered."""

    BUDGET_SPENT = "budget_spent"
    SENDS_SPENT = "sends_spent"
    FORWARDED = "forwarded"
    NOT_IDEMPOTENT = "not_idempotent"


class CrossRegionReason(Enum):
    """Why request bytes went to another region."""

    NO_TARGET_IN_REGION = "no_target_in_region"
    REGION_FULL = "region_full"
    KEY_HOLDER = "key_holder"


@attrs.define
class RoutingCounters:
    """Plain counts since the start of the process.

    Args:
        outcomes: answers by result code, refusals included.
        retries: further sends by reason.
        suppressed_retries: further sends that were not made, by reason.
        cross_region_bytes: request bytes sent to other regions, by reason.
        first_sends_count: first sends of accepted requests.
        late_answers_count: complete answers after the caller had its answer.
        mismatched_answers_count: answers with another request id or a wrong digest.
        lapsed_leases_count: targets passed over at a send because the lease had lapsed.
        set_aside_count: times that a target was set aside.
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
