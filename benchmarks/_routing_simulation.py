"""Runs one router against in-memory targets in virtual time and records what callers see."""

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
_FOREVER_S = 1e9
_UNBOUNDED = Quota(
    processors_millicores="unlimited", memory_mb="unlimited", accelerators_count="unlimited"
)


@attrs.frozen
class Row:
    """One measured quality; `ratio` is present to baseline, `met` compares with the target."""

    subject: str
    target: str
    baseline: float
    present: float
    ratio: float
    met: bool


def make_row(subject: str, target: str, baseline: float, present: float, met: bool) -> Row:
    """Return a row with its ratio."""
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


def make_contract(customer: str, **changes) -> Contract:
    """Return a contract without bounds, with changes."""
    fields = {"share_weight": 1.0, "requests_per_second": "unlimited", "queue_max_tasks": 10}
    return Contract(customer=customer, quota=_UNBOUNDED, **(fields | changes))


def make_router(
    policy: RoutingPolicy, seed: int, contracts: list[Contract], incarnation: str = "entry-1.a1"
) -> RequestRouter:
    """Return a router with contracts in force."""
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
    """Let a router hold targets for the whole run."""
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
        held = TargetLeaseGranted(
            name=vm.name, epoch=1, boot_id="boot-1", lease_until_s=_FOREVER_S, asked_s=0.0
        )
        router.observe(held, 0.0)


@attrs.define
class Seen:
    """What the caller of one request saw; `sent_s` is the time of its first send."""

    kind: str
    arrived_s: float
    deadline_s: float
    sent_s: float | None = None
    sends_count: int = 0
    answered_s: float | None = None
    outcome: Outcome | None = None

    @property
    def on_time(self) -> bool:
        """Return whether the whole answer came within the deadline."""
        done = isinstance(self.outcome, Completed)
        return done and self.answered_s - self.arrived_s <= self.deadline_s


@attrs.frozen
class Work:
    """What a target does with a send: takes `run_s`, and then answers, fails or refuses."""

    run_s: float
    end: str = "answer"


class Driver:
    """Event loop in virtual time around one router.

    Args:
        router: router that holds its targets.
        work: returns the work of a send from its request and target.
        delay_s: one-way delay to the targets.
    """

    def __init__(
        self, router: RequestRouter, work: Callable[[Seen, str], Work], delay_s: float = 0.001
    ) -> None:
        self.router = router
        self.work = work
        self.delay_s = delay_s
        self.now_s = 0.0
        self.seen: dict[str, Seen] = {}
        self.running: dict[str, set[str]] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._tickets = 0
        self._woken_s = _FOREVER_S

    def at(self, at_s: float, call: Callable[[], None]) -> None:
        """Plan a call."""
        self._tickets += 1
        heapq.heappush(self._events, (at_s, self._tickets, call))

    def arrive_at(
        self,
        at_s: float,
        kind: str,
        deadline_s: float,
        customer: str = "austral",
        idempotent: bool = True,
        body_bytes: int = 1000,
    ) -> None:
        """Plan the arrival of a request."""
        request_id = f"r{len(self.seen)}"
        self.seen[request_id] = Seen(kind, at_s, deadline_s)
        event = RequestArrived(
            request_id=request_id,
            customer=customer,
            service=SERVICE,
            kind=kind,
            idempotent=idempotent,
            deadline_s=deadline_s,
            body_bytes=body_bytes,
        )
        self.at(at_s, lambda: self.router.observe(event, self.now_s))

    def run(self) -> None:
        """Run until nothing is planned."""
        while self._events:
            self.now_s, _, call = heapq.heappop(self._events)
            call()
            for action in self.router.decide(self.now_s):
                self._act(action)
            wake_s = self.router.next_wakeup_s()
            if wake_s is not None and (wake_s < self._woken_s or self._woken_s <= self.now_s):
                self._woken_s = max(wake_s, self.now_s)
                self.at(self._woken_s, lambda: None)

    def _act(self, action) -> None:
        match action:
            case SendToTarget(send_id, request_id, target, _, _):
                seen = self.seen[request_id]
                seen.sent_s = self.now_s if seen.sent_s is None else seen.sent_s
                seen.sends_count += 1
                self._start(send_id, target, self.work(seen, target))
            case Answer(request_id, outcome):
                seen = self.seen[request_id]
                seen.answered_s, seen.outcome = self.now_s, outcome
            case PollTarget(name):
                asked_s, listed = self.now_s, sorted(self.running.get(name, ()))
                status = TargetStatus("boot-1", 1, False, listed)
                self.at(
                    self.now_s + 2 * self.delay_s,
                    lambda: self.router.observe(
                        TargetStatusReceived(name, status, asked_s), self.now_s
                    ),
                )

    def _start(self, send_id: str, target: str, work: Work) -> None:
        elapsed_s = work.run_s + 2 * self.delay_s
        running = self.running.setdefault(target, set())
        running.add(send_id)

        def end() -> None:
            running.discard(send_id)
            match work.end:
                case "answer":
                    event = SendSucceeded(send_id, 200, b"done", send_id, True, elapsed_s)
                case "refuse":
                    event = SendRefused(send_id, SendRefusalReason.NOT_RUN)
                case _:
                    event = SendFailed(send_id, any_bytes_sent=True)
            self.router.observe(event, self.now_s)

        self.at(self.now_s + elapsed_s, end)


def percentile(values: list[float], part: float) -> float:
    """Return the value at a part of the sorted values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]
