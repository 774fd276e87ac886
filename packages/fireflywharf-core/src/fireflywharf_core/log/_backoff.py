"""Exponential backoff with jitter."""

import random

MAX_DOUBLINGS = 16


def backoff_s(failures_count: int, base_s: float, max_s: float, rng: random.Random) -> float:
    """Return the delay after `failures_count` consecutive failures.

    Args:
        failures_count: consecutive failures, at least 1.
        base_s: delay after the first failure.
        max_s: longest delay.
        rng: source of the jitter, which keeps writers from retrying at the same time.

    Returns:
        A delay between half of the exponential value and the whole.
    """
    doublings = min(failures_count - 1, MAX_DOUBLINGS)
    return min(max_s, base_s * 2**doublings) * rng.uniform(0.5, 1.0)
