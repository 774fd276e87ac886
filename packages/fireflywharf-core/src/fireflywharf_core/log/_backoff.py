"""Exponential backoff with jitter."""

import random

MAX_DOUBLINGS = 16


def compute_backoff_s(
    failures_count: int, base_s: float, max_s: float, rng: random.Random
) -> float:
    """Return the delay before the retry after `failures_count` consecutive failures.

    Args:
        failures_count: consecutive failures, at least 1.
        base_s: delay after the first failure, before jitter.
        max_s: longest delay.
        rng: random source of the jitter, so that writers do not retry at the same time.

    Returns:
        A delay in seconds between half of the exponential value and the whole.
    """
    doublings = min(failures_count - 1, MAX_DOUBLINGS)
    return min(max_s, base_s * 2**doublings) * rng.uniform(0.5, 1.0)
