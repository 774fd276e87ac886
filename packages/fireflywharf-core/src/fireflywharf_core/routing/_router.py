"""Decisions of one entry VM about interactive requests."""

import random
from heapq import heappop

import attrs

from ..messages import ServiceSlots
from ..records import KeyClaimed
from ._actions import Action
from ._admission import Admission
from ._claims import Claim
from ._counters import RoutingCounters
from ._dispatch import Dispatcher
from ._events import (
    CallerDisconnected,
    ContractChanged,
    DrainStarted,
    Event,
    ForwardAnswered,
    KeyClaimLost,
    KeyClaimRead,
    KeyClaimUnconfirmed,
    KeyClaimWon,
    KeyOutcomeRead,
    PeerLost,
    PeerSlotsReported,
    RequestArrived,
    SendFailed,
    SendRefused,
    SendSucceeded,
    TargetDelisted,
    TargetLeaseGranted,
    TargetLeaseLost,
    TargetLeaving,
    TargetListed,
    TargetStatusReceived,
)
from ._keys import KeyIssuer
from ._policy import RoutingPolicy
from ._requests import Phase
from ._settlement import Settlement
from ._state import DeadlineTimer, HedgeTimer, PollTimer, RouterState, WakeTimer


@attrs.frozen(slots=True)
class Forecast:
    """Expected times of a new request; `wait_s` is infinite when no slot is known."""

    wait_s: float
    run_s: float


class RequestRouter:
    """Queues, slots, retries and keys of one entry VM, without I/O.

    `observe` takes facts as they arrive and `decide` returns the commands that follow from them. A
    daemon calls `decide` after each batch of events and at `next_wakeup_s`.

    Args:
        incarnation: own incarnation; ends in letters and digits after a separator.
        domain: own failure domain.
        region: own region.
        rng: source of target choices and of the secret of issued keys.
        policy: parameters; `baseline_policy()` for comparison.

    Example:
        >>> router = RequestRouter(
        ...     incarnation="entry-1.9f", domain="centro-1", region="centro",
        ...     rng=random.Random(1), policy=RoutingPolicy(),
        ... )
        >>> router.decide(now_s=0.0)
        []
    """

    def __init__(
        self,
        *,
        incarnation: str,
        domain: str,
        region: str,
        rng: random.Random,
        policy: RoutingPolicy,
    ) -> None:
        self.incarnation = incarnation
        self.domain = domain
        self.region = region
        self.rng = rng
        self.policy = policy
        self._state = RouterState(incarnation, domain, region, rng, policy)
        self._settlement = Settlement(self._state)
        self._admission = Admission(self._state)
        self._dispatcher = Dispatcher(self._state, self._settlement)

    @property
    def counters(self) -> RoutingCounters:
        """Return the counts since the start."""
        return self._state.counters

    @property
    def key_issuer(self) -> KeyIssuer:
        """Return the issuer of keys of this incarnation."""
        return self._state.issued

    @property
    def unfinished_count(self) -> int:
        """Return requests that wait or have a live send; a drain waits until it is zero."""
        return len(self._state.requests)

    @property
    def queued_count(self) -> int:
        """Return the waiting requests."""
        return sum(queue.live_count for queue in self._state.queues.values())

    def queued_count_of(self, customer: str) -> int:
        """Return the waiting requests of one customer."""
        return sum(queue.count(customer) for queue in self._state.queues.values())

    def free_slots_count(self, target_name: str) -> int:
        """Return the free slots of a held target; 0 for any other."""
        for service in self._state.targets.services.values():
            target = service.targets.get(target_name)
            if target is not None and target.held:
                return max(0, target.free_count)
        return 0

    def observe(self, event: Event, now_s: float) -> None:
        """Take one fact.

        Args:
            event: the fact.
            now_s: time at which it became known.
        """
        match event:
            case RequestArrived():
                self._admission.arrive(event, now_s)
            case SendSucceeded():
                self._settlement.succeed(event, now_s)
            case SendRefused():
                self._settlement.refuse(event, now_s)
            case SendFailed():
                self._settlement.fail(event, now_s)
            case ForwardAnswered():
                self._settlement.take_forwarded(event, now_s)
            case CallerDisconnected(request_id):
                request = self._state.requests.get(request_id)
                if request is not None:
                    self._settlement.leave_caller(request)
            case PeerSlotsReported():
                self._state.peers.observe(event, now_s)
            case PeerLost(incarnation):
                self._state.peers.remove(incarnation)
            case ContractChanged(customer, contract):
                self._state.change_contract(customer, contract)
            case DrainStarted():
                self._state.draining = True
            case KeyClaimRead() | KeyOutcomeRead() | KeyClaimWon() | KeyClaimLost():
                self._observe_key(event, now_s)
            case KeyClaimUnconfirmed(request_id):
                request = self._state.requests.get(request_id)
                if request is not None:
                    self._admission.claim_unavailable(request)
            case _:
                self._observe_target(event, now_s)

    def decide(self, now_s: float) -> list[Action]:
        """Return the commands that are due, in order.

        Args:
            now_s: present time.

        Returns:
            Commands; each is returned once.
        """
        state = self._state
        state.peers.expire(now_s)
        while state.timers and state.timers[0][0] <= now_s:
            self._fire(heappop(state.timers)[2], now_s)
        self._dispatcher.run(now_s)
        actions, state.actions = state.actions, []
        return actions

    def predict(self, customer: str, service: str, kind: str, now_s: float) -> Forecast:
        """Return the expected times of a new request."""
        state = self._state
        run_s = state.times.predict((service, customer, kind)).p50_s
        slots_count = state.usable_slots_count(service)
        if not slots_count:
            return Forecast(float("inf"), run_s)
        queue = state.queue(service)
        if not queue.live_count:
            return Forecast(0.0, run_s)
        return Forecast(queue.expected_wait_s(customer, kind, slots_count, now_s), run_s)

    def next_wakeup_s(self) -> float | None:
        """Return the time of the next timer, or None; commands of `observe` are due at once."""
        if self._state.actions:
            return float("-inf")
        return self._state.timers[0][0] if self._state.timers else None

    def service_slots(self, now_s: float) -> list[ServiceSlots]:
        """Return the free and total slots of held targets, for heartbeats and digests."""
        rows = []
        for name, service in self._state.targets.services.items():
            held = [
                target
                for target in service.targets.values()
                if target.held and not target.leaving and now_s < target.lease_until_s
            ]
            free = sum(max(0, t.free_count) for t in held if not t.set_aside)
            waiting = self._state.queues[name].live_count if name in self._state.queues else 0
            total = sum(target.vm.slots_count for target in held)
            if total:
                rows.append(ServiceSlots(name, max(0, free - waiting), total))
        return rows

    def ejected_targets(self) -> list[str]:
        """Return the names of the held targets that are set aside."""
        return [
            name
            for service in self._state.targets.services.values()
            for name, target in service.targets.items()
            if target.held and target.set_aside
        ]

    def _fire(
        self, timer: DeadlineTimer | HedgeTimer | PollTimer | WakeTimer, now_s: float
    ) -> None:
        match timer:
            case DeadlineTimer(request_id):
                request = self._state.requests.get(request_id)
                if request is not None and request.deadline_at_s <= now_s:
                    self._settlement.pass_deadline(request)
            case HedgeTimer(send_id):
                send = self._state.sends.get(send_id)
                if send is not None:
                    self._dispatcher.hedge(send, now_s)
            case PollTimer(target):
                self._settlement.poll(target, now_s)
            case WakeTimer():
                pass

    def _observe_target(self, event: Event, now_s: float) -> None:
        targets = self._state.targets
        match event:
            case TargetListed(vm):
                targets.see(vm)
            case TargetDelisted(name):
                targets.gone(name)
            case TargetLeaseGranted():
                targets.hold(event, now_s)
                self._settlement.plan_poll(event.name, now_s)
            case TargetLeaseLost(name):
                targets.lose(name)
            case TargetLeaving(name):
                targets.leave(name)
            case TargetStatusReceived(name, status, asked_s):
                targets.see_status(name, status, asked_s)
                self._settlement.plan_poll(name, now_s)
            case _:
                raise TypeError(f"not an event of the router: {event!r}")

    def _observe_key(self, event: Event, now_s: float) -> None:
        state = self._state
        match event:
            case KeyOutcomeRead(record):
                state.claims.fold_outcome(record)
            case KeyClaimRead(record):
                claim = state.claims.fold_claim(record, now_s)
                request = state.claimers.get((record.customer, record.key))
                if request is not None:
                    self._admission.resolve_claim(request, claim, now_s)
            case KeyClaimWon(request_id):
                self._resolve_told(request_id, state.incarnation, now_s)
            case KeyClaimLost(request_id, winner):
                self._resolve_told(request_id, winner, now_s)

    def _resolve_told(self, request_id: str, winner: str, now_s: float) -> None:
        state = self._state
        request = state.requests.get(request_id)
        if request is None or request.phase is not Phase.CLAIMING:
            return
        claim = state.claims.get(request.customer, request.key)
        if claim is None:
            own = winner == state.incarnation
            record = KeyClaimed(
                request.customer, request.key, winner, request.digest.hex() if own else "", 0.0
            )
            claim = Claim(winner, record.request_digest, 0.0, now_s)
            if own:
                claim = state.claims.fold_claim(record, now_s)
        self._admission.resolve_claim(request, claim, now_s)
