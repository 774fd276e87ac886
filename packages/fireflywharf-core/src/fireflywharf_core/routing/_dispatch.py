"""Choice of a target or a peer for waiting requests."""

from ..results import NotRun, ResultCode
from ._actions import ForwardToPeer, SendToTarget
from ._admission import forward_ms
from ._counters import CrossRegionReason, RetryReason
from ._peers import Peer
from ._queue import ServiceQueue
from ._requests import Phase, Request, Route, Send
from ._settlement import Settlement
from ._state import HedgeTimer, RouterState, WakeTimer
from ._targets import ServiceTargets, Target

_REFUSABLE_KIND = "request"
# Requests that may not leave this VM and are passed over in one look at a queue.
_PASSED_OVER_MAX_COUNT = 16
# A target that is set aside gets a request that may not be repeated only when no other request came
# for this many probe intervals; otherwise it would never be tried again.
_PROBE_OVERDUE_FACTOR = 10
_MIN_OBSERVATIONS_COUNT = 50


class Dispatcher:
    """Sends waiting requests to free slots.

    Args:
        state: state of the router.
        settlement: takes requests that end without a send.
    """

    def __init__(self, state: RouterState, settlement: Settlement) -> None:
        self.state = state
        self.settlement = settlement

    def run(self, now_s: float) -> None:
        """Serve all queues."""
        for service, queue in self.state.queues.items():
            if queue.live_count:
                self._serve(service, queue, now_s)

    def hedge(self, send: Send, now_s: float) -> None:
        """Send an idempotent request a second time if a slot is free and nothing waits."""
        state, request = self.state, send.request
        targets = state.targets.service(request.service)
        if targets is None or request.answered or request.deadline_at_s <= now_s:
            return
        if request.sends_count >= state.policy.sends_max_count:
            return
        if state.queue(request.service).live_count:
            return
        target = self._pick_target(targets, send.destination, now_s)
        if target is None or target.vm.name == send.destination:
            return
        if state.budget(request.customer, request.service).spend():
            state.counters.retries[RetryReason.HEDGE] += 1
            self._send(request, target, now_s)

    def _serve(self, service: str, queue: ServiceQueue, now_s: float) -> None:
        targets = self.state.targets.service(service)
        skipped: set[str] = set()
        while queue.live_count:
            if targets is not None and targets.set_aside_count:
                self._probe(targets, queue, now_s)
            target = None if targets is None else self._pick_target(targets, "", now_s)
            if target is not None:
                request = self._next(
                    queue, skipped, now_s, self._is_long_full(targets, queue, now_s)
                )
                if request is None:
                    return
                if request.last_target == target.vm.name:
                    target = self._pick_target(targets, request.last_target, now_s) or target
                self._send(request, target, now_s)
                continue
            if not self._forward_one(service, queue, skipped, now_s):
                return

    def _is_long_full(self, targets: ServiceTargets, queue: ServiceQueue, now_s: float) -> bool:
        """Return whether long kinds hold as many slots as they may while short ones arrive."""
        policy = self.state.policy
        if not policy.fair_queue or now_s > queue.short_seen_s + policy.short_seen_s:
            return False
        allowed_count = max(1, int(policy.long_slots_ratio * targets.held_slots_count))
        return targets.long_count >= allowed_count

    def _next(
        self, queue: ServiceQueue, skipped: set[str], now_s: float, short_only: bool = False
    ) -> Request | None:
        """Pop a request that can still meet its deadline."""
        state = self.state
        while (request := queue.pop(now_s, skipped, short_only)) is not None:
            remaining_s = request.deadline_at_s - now_s
            if remaining_s <= 0:
                self.settlement.pass_deadline(request)
                continue
            contract = state.contracts.get(request.customer)
            refusable = contract is not None and _REFUSABLE_KIND in contract.refusable_kinds
            if state.policy.early_refusal and refusable and not request.maybe_ran:
                learned = state.times.predict(request.time_key)
                known = learned.observations_count >= _MIN_OBSERVATIONS_COUNT
                if known and remaining_s < learned.p50_s:
                    detail = f"{remaining_s:.3f} s are left, {learned.p50_s:.3f} s are needed"
                    self.settlement.finish(request, NotRun(ResultCode.WOULD_BE_LATE, detail))
                    continue
            return request
        return None

    def _pick_target(self, targets: ServiceTargets, avoided: str, now_s: float) -> Target | None:
        while (target := targets.pick(avoided, self.state.rng)) is not None:
            if now_s < target.lease_until_s:
                return target
            self.state.counters.lapsed_leases_count += 1
            self.state.targets.lose(target.vm.name)
        return None

    def _probe(self, targets: ServiceTargets, queue: ServiceQueue, now_s: float) -> None:
        target = targets.pick_probe(now_s)
        if target is None:
            return
        request = self._next(queue, set(), now_s)
        if request is None:
            return
        overdue_s = _PROBE_OVERDUE_FACTOR * self.state.policy.probe_interval_s
        safe = request.idempotent and not request.forwarded
        if not safe and now_s < target.probe_at_s + overdue_s:
            queue.put_back(request)
            return
        target.probe_at_s = now_s + self.state.policy.probe_interval_s
        self._send(request, target, now_s).probe = True

    def _forward_one(
        self, service: str, queue: ServiceQueue, skipped: set[str], now_s: float
    ) -> bool:
        """Forward one request to a peer and return whether there may be more to do."""
        state = self.state
        own = state.targets.service(service)
        holds_none = own is None or own.held_count == 0
        peer = state.peers.pick(service, same_region=True)
        if peer is None and holds_none:
            peer = state.peers.pick_queue(service, state.policy.forward_queue_ratio)
        far = None if peer is not None else state.peers.pick(service, same_region=False)
        if peer is None and far is None:
            return False
        request, passed = None, []
        while len(passed) < _PASSED_OVER_MAX_COUNT:
            request = self._next(queue, skipped, now_s)
            if request is None or request.may_forward:
                break
            passed.append(request)
            request = None
        for other in reversed(passed):
            queue.put_back(other)
        if request is None:
            return False
        if peer is None:
            return self._forward_far(request, far, queue, skipped, now_s)
        self._forward(request, peer, now_s)
        return True

    def _forward_far(
        self, request: Request, peer: Peer, queue: ServiceQueue, skipped: set[str], now_s: float
    ) -> bool:
        state = self.state
        reason = CrossRegionReason.NO_TARGET_IN_REGION
        if self._served_in_region(request.service):
            reason = CrossRegionReason.REGION_FULL
            ready_at_s = request.arrived_s + state.policy.cross_region_min_wait_s
            if now_s < ready_at_s:
                queue.put_back(request)
                skipped.add(request.customer)
                state.add_timer(ready_at_s, WakeTimer(request.service))
                return True
        bucket = state.cross_region(request.customer)
        if bucket is not None and not bucket.take(request.body_bytes, now_s):
            queue.put_back(request)
            skipped.add(request.customer)
            return True
        state.counters.cross_region_bytes[reason] += request.body_bytes
        self._forward(request, peer, now_s)
        return True

    def _served_in_region(self, service: str) -> bool:
        own = self.state.targets.service(service)
        held = own is not None and own.held_count > 0
        return held or self.state.peers.serves_region(service)

    def _forward(self, request: Request, peer: Peer, now_s: float) -> None:
        state = self.state
        state.peers.charge(peer, request.service)
        send = self._start(request, Route.PEER, peer.incarnation, 0, now_s)
        remaining_ms = forward_ms(request.deadline_at_s - now_s)
        state.actions.append(
            ForwardToPeer(send.send_id, request.request_id, peer.incarnation, remaining_ms)
        )

    def _send(self, request: Request, target: Target, now_s: float) -> Send:
        state = self.state
        send = self._start(request, Route.TARGET, target.vm.name, target.epoch, now_s)
        state.targets.occupy(target, send.send_id)
        if state.queue(request.service).is_long(request):
            send.long = True
            state.targets.services[request.service].long_count += 1
        remaining_ms = max(1, int((request.deadline_at_s - now_s) * 1000))
        state.actions.append(
            SendToTarget(
                send.send_id, request.request_id, target.vm.name, target.epoch, remaining_ms
            )
        )
        if state.policy.hedging and request.idempotent and not request.forwarded:
            learned = state.times.predict(request.time_key)
            if learned.observations_count >= state.policy.hedge_min_observations:
                state.add_timer(now_s + learned.p95_s, HedgeTimer(send.send_id))
        return send

    def _start(
        self, request: Request, route: Route, destination: str, epoch: int, now_s: float
    ) -> Send:
        state = self.state
        if request.sends_count == 0:
            state.counters.first_sends_count += 1
            if not request.forwarded:
                state.budget(request.customer, request.service).earn()
        request.sends_count += 1
        request.live_count += 1
        request.phase = Phase.RUNNING
        request.last_target = destination
        send_id = f"{request.request_id}.{state.issued.suffix}{request.sends_count}"
        send = Send(send_id, request, route, destination, epoch, now_s)
        state.sends[send_id] = send
        return send
