"""Simulation of one router and its targets in virtual time, with the answers to the callers."""

import heapq
import math
import random
from collections.abc import Callable

import attrs

from fireflywharf_core.contracts import Contract, Quota
from fireflywharf_core.platform import TargetStatus, VmInfo, VmRole
from fireflywharf_core.results import Completed, Outcome
from fireflywharf_core.routing import (
    Answer,
    ContractChanged,
    PollTarget,
    RequestArrived,
    RequestRouter,
    RoutingPolicy,
    SendFailed,
    SendRefusalReason,
    SendRefused,
    SendSucceeded,
    SendToTarget,
    TargetLeaseGranted,
    TargetListed,
    TargetStatusReceived,
)

SERVICE = "dispatch"
_NEVER_S = 1e9
_UNLIMITED_QUOTA = Quota(
    processors_millicores="unlimited", memory_mb="unlimited", accelerators_count="unlimited"
)


@attrs.frozen
class Row:
    """One result of a benchmark.

    Attributes:
        subject: what was measured.
        target: target value as text.
        baseline: value of the baseline policy.
        present: value of the present version.
        ratio: `present` divided by `baseline`; NaN when the baseline is 0.
        met: whether the present value meets the target.
    """

    subject: str
    target: str
    baseline: float
    present: float
    ratio: float
    met: bool


def make_row(subject: str, target: str, baseline: float, present: float, met: bool) -> Row:
    """Return a row and compute its ratio."""
    ratio = present / baseline if baseline else math.nan
    return Row(subject, target, baseline, present, ratio, met)


def make_request(number: int, customer: str = "austral") -> RequestArrived:
    """Return a short idempotent request of 1,000 bytes."""
    return RequestArrived(
        request_id=f"r{number}",
        customer=customer,
        service=SERVICE,
        kind="short",
        idempotent=True,
        deadline_s=5.0,
        body_digest=b"",
        body_bytes=1000,
    )


def make_contract(customer: str, **changed_fields) -> Contract:
    """Return a contract without limits; `changed_fields` override its fields."""
    fields = {"share_weight": 1.0, "requests_per_second": "unlimited", "queue_max_tasks": 10}
    return Contract(customer=customer, quota=_UNLIMITED_QUOTA, **(fields | changed_fields))


def make_router(
    policy: RoutingPolicy, seed: int, contracts: list[Contract], incarnation: str = "entry-1.a1"
) -> RequestRouter:
    """Return a router that knows the contracts."""
    router = RequestRouter(
        incarnation=incarnation,
        domain="centro-1",
        region="centro",
        rng=random.Random(seed),
        policy=policy,
    )
    for contract in contracts:
        router.observe(ContractChanged(contract.customer, contract), 0.0)
    return router


def hold_targets(router: RequestRouter, targets_count: int, slots_count: int) -> None:
    """Give a router leases of targets that never expire, with `slots_count` slots each."""
    for number in range(targets_count):
        vm = VmInfo(
            name=f"target-{number}",
            role=VmRole.TARGET,
            address="127.0.0.1:1",
            region="centro",
            failure_domain="centro-1",
            service=SERVICE,
            slots_count=slots_count,
            connections_count=64,
        )
        router.observe(TargetListed(vm), 0.0)
        lease_event = TargetLeaseGranted(
            name=vm.name, epoch=1, boot_id="boot-1", lease_until_s=_NEVER_S, asked_s=0.0
        )
        router.observe(lease_event, 0.0)


@attrs.define
class RequestObservation:
    """One request as its caller observes it. Times are virtual, in seconds.

    Attributes:
        kind: kind of the request.
        arrived_s: time at which the router got the request.
        deadline_s: time from the arrival until the answer must be complete.
        sent_s: time of the first send to a target; None before it.
        sends_count: number of sends, retries included.
        answered_s: time of the answer; None before it.
        outcome: outcome that the caller received; None before the answer.
    """

    kind: str
    arrived_s: float
    deadline_s: float
    sent_s: float | None = None
    sends_count: int = 0
    answered_s: float | None = None
    outcome: Outcome | None = None

    @property
    def is_on_time(self) -> bool:
        """Return whether the request completed within its deadline."""
        done = isinstance(self.outcome, Completed)
        return done and self.answered_s - self.arrived_s <= self.deadline_s


@attrs.frozen
class TargetBehavior:
    """What a target does with a send.

    Attributes:
        run_s: time until the target responds, in seconds.
        end: `answer`, `refuse`, or anything else to fail after bytes were sent.
    """

    run_s: float
    end: str = "answer"


class RoutingSimulation:
    """Event loop in virtual time that drives one router.

    Args:
        router: router that holds leases of its targets.
        choose_behavior: returns what the target does with a send, given the request and the name of
            the target.
        delay_s: one-way network delay to the targets in seconds.
    """

    def __init__(
        self,
        router: RequestRouter,
        choose_behavior: Callable[[RequestObservation, str], TargetBehavior],
        delay_s: float = 0.001,
    ) -> None:
        self.router = router
        self.choose_behavior = choose_behavior
        self.delay_s = delay_s
        self.now_s = 0.0
        self.observations: dict[str, RequestObservation] = {}
        self.running: dict[str, set[str]] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._scheduled_count = 0
        self._planned_wakeup_s = _NEVER_S

    def schedule(self, at_s: float, call: Callable[[], None]) -> None:
        """Schedule a call at a virtual time."""
        self._scheduled_count += 1
        heapq.heappush(self._events, (at_s, self._scheduled_count, call))

    def schedule_arrival(
        self,
        at_s: float,
        kind: str,
        deadline_s: float,
        customer: str = "austral",
        idempotent: bool = True,
        body_bytes: int = 1000,
    ) -> None:
        """Schedule the arrival of a request; `deadline_s` counts from the arrival."""
        request_id = f"r{len(self.observations)}"
        self.observations[request_id] = RequestObservation(kind, at_s, deadline_s)
        event = RequestArrived(
            request_id=request_id,
            customer=customer,
            service=SERVICE,
            kind=kind,
            idempotent=idempotent,
            deadline_s=deadline_s,
            body_bytes=body_bytes,
        )
        self.schedule(at_s, lambda: self.router.observe(event, self.now_s))

    def run(self) -> None:
        """Process events until none is left."""
        while self._events:
            self.now_s, _, call = heapq.heappop(self._events)
            call()
            for action in self.router.decide(self.now_s):
                self._execute_action(action)
            wake_s = self.router.next_wakeup_s()
            if wake_s is not None and (
                wake_s < self._planned_wakeup_s or self._planned_wakeup_s <= self.now_s
            ):
                self._planned_wakeup_s = max(wake_s, self.now_s)
                self.schedule(self._planned_wakeup_s, lambda: None)

    def _execute_action(self, action) -> None:
        match action:
            case SendToTarget(send_id, request_id, target, _, _):
                observation = self.observations[request_id]
                observation.sent_s = (
                    self.now_s if observation.sent_s is None else observation.sent_s
                )
                observation.sends_count += 1
                self._start_send(send_id, target, self.choose_behavior(observation, target))
            case Answer(request_id, outcome):
                observation = self.observations[request_id]
                observation.answered_s, observation.outcome = self.now_s, outcome
            case PollTarget(name):
                asked_s, running_requests = self.now_s, sorted(self.running.get(name, ()))
                status = TargetStatus("boot-1", 1, False, running_requests)
                self.schedule(
                    self.now_s + 2 * self.delay_s,
                    lambda: self.router.observe(
                        TargetStatusReceived(name, status, asked_s), self.now_s
                    ),
                )

    def _start_send(self, send_id: str, target: str, behavior: TargetBehavior) -> None:
        elapsed_s = behavior.run_s + 2 * self.delay_s
        running = self.running.setdefault(target, set())
        running.add(send_id)

        def finish_send() -> None:
            running.discard(send_id)
            match behavior.end:
                case "answer":
                    event = SendSucceeded(send_id, 200, b"done", send_id, True, elapsed_s)
                case "refuse":
                    event = SendRefused(send_id, SendRefusalReason.NOT_RUN)
                case _:
                    event = SendFailed(send_id, any_bytes_sent=True)
            self.router.observe(event, self.now_s)

        self.schedule(self.now_s + elapsed_s, finish_send)


def percentile(values: list[float], fraction: float) -> float:
    """Return the value below which `fraction` of the values lie."""
    sorted_values = sorted(values)
    return sorted_values[min(len(sorted_values) - 1, int(fraction * len(sorted_values)))]
