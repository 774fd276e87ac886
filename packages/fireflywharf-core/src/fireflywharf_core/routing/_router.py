"""Router of interactive requests of one entry VM, without I/O."""

import random
from heapq import heappop

import attrs

from ..messages import ServiceSlots
from ..records import KeyClaimed
from ._actions import Action
from ._admission import AdmissionController
from ._claims import Claim
from ._completion import CompletionHandler
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
from ._requests import RequestPhase
from ._state import DeadlineTimer, HedgeTimer, PollTimer, QueueTimer, RouterState


@attrs.frozen(slots=True)
class Forecast:
    """Expected times of a new request.

    Attributes:
        wait_s: waiting time; infinite if no slot is known.
        run_s: service time.
    """

    wait_s: float
    run_s: float


class RequestRouter:
    """Routes requests to targets and peers: admission, queues, slots, retries and keys.

    `observe` takes events as they arrive and `decide` returns the commands that result from them. A
    daemon calls `decide` after each batch of events and at `next_wakeup_s`.

    Args:
        incarnation: own incarnation; ends in letters and digits after a separator.
        domain: own failure domain.
        region: own region.
        rng: random source of target choices and of the secret for issued keys.
        policy: parameters of the decisions.

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
        self._completion = CompletionHandler(self._state)
        self._admission = AdmissionController(self._state)
        self._dispatcher = Dispatcher(self._state, self._completion)

    @property
    def counters(self) -> RoutingCounters:
        """Counters since the start of the process."""
        return self._state.counters

    @property
    def key_issuer(self) -> KeyIssuer:
        """Issuer of the keys of this incarnation."""
        return self._state.issuer

    @property
    def unfinished_count(self) -> int:
        """Number of requests that wait or have a send in flight; a drain ends when it is zero."""
        return len(self._state.requests)

    @property
    def queued_count(self) -> int:
        """Number of queued requests."""
        return sum(queue.waiting_requests_count for queue in self._state.queues.values())

    def queued_count_of(self, customer: str) -> int:
        """Return the number of queued requests of one customer."""
        return sum(queue.count_waiting(customer) for queue in self._state.queues.values())

    def free_slots_count(self, target_name: str) -> int:
        """Return the number of free slots of a held target; 0 for any other name."""
        for service in self._state.targets.services.values():
            target = service.targets.get(target_name)
            if target is not None and target.held:
                return max(0, target.free_count)
        return 0

    def observe(self, event: Event, now_s: float) -> None:
        """Update the state by one event.

        Args:
            event: the event.
            now_s: time at which the event became known.
        """
        match event:
            case RequestArrived():
                self._admission.handle_arrival(event, now_s)
            case SendSucceeded():
                self._completion.handle_success(event, now_s)
            case SendRefused():
                self._completion.handle_refusal(event, now_s)
            case SendFailed():
                self._completion.handle_failure(event, now_s)
            case ForwardAnswered():
                self._completion.handle_forward_answer(event, now_s)
            case CallerDisconnected(request_id):
                request = self._state.requests.get(request_id)
                if request is not None:
                    self._completion.abandon_request(request)
            case PeerSlotsReported():
                self._state.peers.apply_report(event, now_s)
            case PeerLost(incarnation):
                self._state.peers.mark_lost(incarnation)
            case ContractChanged(customer, contract):
                self._state.apply_contract(customer, contract)
            case DrainStarted():
                self._state.draining = True
            case KeyClaimRead() | KeyOutcomeRead() | KeyClaimWon() | KeyClaimLost():
                self._observe_key(event, now_s)
            case KeyClaimUnconfirmed(request_id):
                request = self._state.requests.get(request_id)
                if request is not None:
                    self._admission.refuse_unconfirmed_claim(request)
            case _:
                self._observe_target(event, now_s)

    def decide(self, now_s: float) -> list[Action]:
        """Run due timers, dispatch waiting requests and return the resulting commands in order.

        Args:
            now_s: present time.

        Returns:
            Commands since the previous call.
        """
        state = self._state
        state.peers.remove_silent(now_s)
        while state.timers and state.timers[0][0] <= now_s:
            self._run_timer(heappop(state.timers)[2], now_s)
        self._dispatcher.dispatch_all(now_s)
        actions, state.actions = state.actions, []
        return actions

    def predict(self, customer: str, service: str, kind: str, now_s: float) -> Forecast:
        """Return the expected waiting and service time of a new request."""
        state = self._state
        run_s = state.service_times.predict((service, customer, kind)).p50_s
        slots_count = state.usable_slots_count(service)
        if not slots_count:
            return Forecast(float("inf"), run_s)
        queue = state.queue(service)
        if not queue.waiting_requests_count:
            return Forecast(0.0, run_s)
        return Forecast(queue.expected_wait_s(customer, kind, slots_count, now_s), run_s)

    def next_wakeup_s(self) -> float | None:
        """Return when to call `decide` next: at once if commands wait, at a timer, or None."""
        if self._state.actions:
            return float("-inf")
        return self._state.timers[0][0] if self._state.timers else None

    def service_slots(self, now_s: float) -> list[ServiceSlots]:
        """Return the free and total slots by service, for heartbeats and digests.

        Slots of ejected targets count only in the total. Waiting requests are subtracted from the
        free slots.
        """
        rows = []
        for name, service in self._state.targets.services.items():
            held = [
                target
                for target in service.targets.values()
                if target.held and not target.leaving and now_s < target.lease_until_s
            ]
            free = sum(max(0, t.free_count) for t in held if not t.is_ejected)
            waiting = (
                self._state.queues[name].waiting_requests_count if name in self._state.queues else 0
            )
            total = sum(target.vm.slots_count for target in held)
            if total:
                rows.append(ServiceSlots(name, max(0, free - waiting), total))
        return rows

    def ejected_targets(self) -> list[str]:
        """Return the names of the held targets that are ejected."""
        return [
            name
            for service in self._state.targets.services.values()
            for name, target in service.targets.items()
            if target.held and target.is_ejected
        ]

    def _run_timer(
        self, timer: DeadlineTimer | HedgeTimer | PollTimer | QueueTimer, now_s: float
    ) -> None:
        match timer:
            case DeadlineTimer(request_id):
                request = self._state.requests.get(request_id)
                if request is not None and request.deadline_at_s <= now_s:
                    self._completion.expire_request(request)
            case HedgeTimer(send_id):
                send = self._state.sends.get(send_id)
                if send is not None:
                    self._dispatcher.send_hedge(send, now_s)
            case PollTimer(target):
                self._completion.poll_target(target, now_s)
            case QueueTimer():
                pass

    def _observe_target(self, event: Event, now_s: float) -> None:
        targets = self._state.targets
        match event:
            case TargetListed(vm):
                targets.update_vm(vm)
            case TargetDelisted(name):
                targets.mark_delisted(name)
            case TargetLeaseGranted():
                targets.apply_lease(event, now_s)
                self._completion.schedule_poll(event.name, now_s)
            case TargetLeaseLost(name):
                targets.drop_lease(name)
            case TargetLeaving(name):
                targets.mark_leaving(name)
            case TargetStatusReceived(name, status, asked_s):
                targets.apply_status(name, status, asked_s)
                self._completion.schedule_poll(name, now_s)
            case _:
                raise TypeError(f"not an event of the router: {event!r}")

    def _observe_key(self, event: Event, now_s: float) -> None:
        state = self._state
        match event:
            case KeyOutcomeRead(record):
                state.claims.fold_outcome(record)
            case KeyClaimRead(record):
                claim = state.claims.fold_claim(record, now_s)
                request = state.claiming_requests.get((record.customer, record.key))
                if request is not None:
                    self._admission.resolve_claim(request, claim, now_s)
            case KeyClaimWon(request_id):
                self._resolve_reported_claim(request_id, state.incarnation, now_s)
            case KeyClaimLost(request_id, winner):
                self._resolve_reported_claim(request_id, winner, now_s)

    def _resolve_reported_claim(self, request_id: str, winner: str, now_s: float) -> None:
        state = self._state
        request = state.requests.get(request_id)
        if request is None or request.phase is not RequestPhase.CLAIMING:
            return
        claim = state.claims.get(request.customer, request.key)
        if claim is None:
            is_own = winner == state.incarnation
            record = KeyClaimed(
                request.customer, request.key, winner, request.digest.hex() if is_own else "", 0.0
            )
            claim = Claim(winner, record.request_digest, 0.0, now_s)
            if is_own:
                claim = state.claims.fold_claim(record, now_s)
        self._admission.resolve_claim(request, claim, now_s)
