"""Measures decision times and memory of the router."""

import gc
import math
import random
import time
import tracemalloc
from collections.abc import Callable

import attrs

from fireflywharf_core.results import Completed
from fireflywharf_core.routing import (
    RoutingPolicy,
    SendSucceeded,
    SendToTarget,
)

from ._routing_simulation import (
    Row,
    hold_targets,
    make_contract,
    make_request,
    make_router,
    make_row,
    percentile,
)


def measure_decision_times_s(targets_count: int, count: int, seed: int) -> list[float]:
    """Measure the decision time of each request in seconds, at a load of about 0.9.

    The times include queueing and the end of an earlier request. The first half is left out as
    warm-up.
    """
    customers = [f"customer-{number}" for number in range(20)]
    contracts = [make_contract(name, queue_max_requests=100_000) for name in customers]
    router = make_router(RoutingPolicy(), seed, contracts)
    hold_targets(router, targets_count, 8)
    rng, decision_times_s, running = random.Random(seed), [], []
    for number in range(count):
        now_s = number * 0.001
        event = make_request(number, customers[int(rng.random() * 20)])
        ended = None
        if len(running) > targets_count * 8 * 0.95:
            ended = running.pop(int(rng.random() * len(running)))
        start_s = time.perf_counter()
        router.observe(event, now_s)
        if ended is not None:
            router.observe(SendSucceeded(ended, 200, b"", ended, True, 0.05), now_s)
        actions = router.decide(now_s)
        decision_times_s.append(time.perf_counter() - start_s)
        running += [action.send_id for action in actions if isinstance(action, SendToTarget)]
    return decision_times_s[count // 2 :]


def measure_decisions(quick: bool, seed: int) -> list[Row]:
    """Measure the decision time per request for different numbers of targets."""
    count = 20_000 if quick else 60_000
    gc.collect()
    mean_s, p99_s = {}, {}
    for targets_count in (24, 240, 1000):
        decision_times_s = measure_decision_times_s(targets_count, count, seed)
        mean_s[targets_count] = sum(decision_times_s) / len(decision_times_s)
        p99_s[targets_count] = percentile(decision_times_s, 0.99)
    slope = math.log(mean_s[1000] / mean_s[24]) / math.log(1000 / 24)
    is_fast = mean_s[1000] <= 200e-6
    small, large = mean_s[24] * 1e6, mean_s[1000] * 1e6
    return [
        make_row(
            "mean decision at 24 and 1,000 targets, us",
            "at most 200 us",
            small,
            large,
            is_fast,
        ),
        make_row(
            "p99 decision at 24 and 1,000 targets, ms",
            "below 5 ms",
            p99_s[24] * 1e3,
            p99_s[1000] * 1e3,
            p99_s[1000] < 0.005,
        ),
        make_row("slope of mean decision over targets", "below 1 (linear)", 1.0, slope, slope < 1),
    ]


def _measure_bytes_per_item(count: int, build: Callable[[], object]) -> float:
    """Return the memory of the result of `build`, divided by `count`."""
    gc.collect()
    tracemalloc.start()
    held_object = build()
    gc.collect()
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del held_object
    return size_bytes / count


def measure_memory(quick: bool, seed: int) -> list[Row]:
    """Measure the memory of a waiting request and of a remembered key."""
    count = 5000 if quick else 50_000

    def queue_requests():
        contract = make_contract("austral", queue_max_requests=count)
        router = make_router(RoutingPolicy(), seed, [contract])
        hold_targets(router, 1, 0)
        for number in range(count):
            router.observe(make_request(number), 0.0)
        router.decide(0.0)
        assert router.queued_count == count
        return router

    def use_keys():
        router = make_router(RoutingPolicy(), seed, [make_contract("austral")])
        hold_targets(router, 1, 8)
        for number in range(count):
            [key] = router.key_issuer.issue("austral", 1, 0.0)
            event = attrs.evolve(
                make_request(number),
                idempotent=False,
                key=key,
                body_digest=number.to_bytes(32, "big"),
            )
            router.observe(event, 0.0)
            [send] = router.decide(0.0)
            router.observe(
                SendSucceeded(send.send_id, 200, b"%64d" % number, send.send_id, True, 0.05), 0.0
            )
            [answer] = router.decide(0.0)
            assert isinstance(answer.outcome, Completed)
        return router

    queued, key = _measure_bytes_per_item(count, queue_requests), _measure_bytes_per_item(
        count, use_keys
    )
    return [
        make_row(
            "memory of a waiting request, bytes", "at most 1,000", 1000.0, queued, queued <= 1000
        ),
        make_row(
            "memory of a remembered key with an answer of 64 bytes, bytes",
            "at most 1,000",
            1000.0,
            key,
            key <= 1000,
        ),
    ]
