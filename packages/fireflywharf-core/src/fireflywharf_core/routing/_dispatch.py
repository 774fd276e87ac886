"""Dispatch of waiting requests to targets and peers."""

from ..results import NotRun, ResultCode
from ._actions import ForwardToPeer, SendToTarget
from ._admission import forward_budget_ms
from ._completion import CompletionHandler
from ._counters import CrossRegionReason, RetryReason
from ._peers import Peer
from ._queue import ServiceQueue
from ._requests import Request, RequestPhase, Send, SendRoute
from ._state import HedgeTimer, QueueTimer, RouterState
from ._targets import ServiceTargets, Target

_REQUEST_KIND = "request"
# Requests that may not be forwarded and are skipped in one search of a queue.
_PASSED_OVER_MAX_COUNT = 16
# An ejected target is probed with a request that must not run twice only if it got no other request
# for this many probe intervals. Without this, it might never be probed again.
_PROBE_OVERDUE_FACTOR = 10
_MIN_OBSERVATIONS_COUNT = 50


class Dispatcher:
    """Sends waiting requests to free slots.

    Args:
        state: state of the router.
        completion: finishes requests that end without a send.
    """

    def __init__(self, state: RouterState, completion: CompletionHandler) -> None:
        self.state = state
        self.completion = completion

    def dispatch_all(self, now_s: float) -> None:
        """Send or forward waiting requests of all queues while slots are free."""
        for service, queue in self.state.queues.items():
            if queue.waiting_requests_count:
                self._dispatch_service(service, queue, now_s)

    def send_hedge(self, send: Send, now_s: float) -> None:
        """Send a hedge to another target if a slot is free, none waits and the budget allows it."""
        state, request = self.state, send.request
        targets = state.targets.service(request.service)
        if targets is None or request.answered or request.deadline_at_s <= now_s:
            return
        if request.sends_count >= state.policy.sends_max_count:
            return
        if state.queue(request.service).waiting_requests_count:
            return
        target = self._pick_target(targets, send.destination, now_s)
        if target is None or target.vm.name == send.destination:
            return
        if state.retry_budget(request.customer, request.service).try_withdraw():
            state.counters.retries[RetryReason.HEDGE] += 1
            self._send(request, target, now_s)

    def _dispatch_service(self, service: str, queue: ServiceQueue, now_s: float) -> None:
        targets = self.state.targets.service(service)
        skipped: set[str] = set()
        while queue.waiting_requests_count:
            if targets is not None and targets.ejected_count:
                self._send_probe(targets, queue, now_s)
            target = None if targets is None else self._pick_target(targets, "", now_s)
            if target is not None:
                request = self._pop_viable(
                    queue, skipped, now_s, self._is_long_limit_reached(targets, queue, now_s)
                )
                if request is None:
                    return
                if request.last_destination == target.vm.name:
                    target = self._pick_target(targets, request.last_destination, now_s) or target
                self._send(request, target, now_s)
                continue
            if not self._forward_next(service, queue, skipped, now_s):
                return

    def _is_long_limit_reached(
        self, targets: ServiceTargets, queue: ServiceQueue, now_s: float
    ) -> bool:
        """Return whether long kinds use all the slots allowed to them while short ones arrive."""
        policy = self.state.policy
        if not policy.fair_queue or now_s > queue.short_kind_seen_at_s + policy.short_kind_window_s:
            return False
        allowed_count = max(1, int(policy.long_slots_ratio * targets.held_slots_count))
        return targets.long_sends_count >= allowed_count

    def _pop_viable(
        self, queue: ServiceQueue, skipped: set[str], now_s: float, short_only: bool = False
    ) -> Request | None:
        """Pop the next request that can meet its deadline; finish those that cannot."""
        state = self.state
        while (request := queue.pop(now_s, skipped, short_only)) is not None:
            remaining_s = request.deadline_at_s - now_s
            if remaining_s <= 0:
                self.completion.expire_request(request)
                continue
            contract = state.contracts.get(request.customer)
            is_refusable = contract is not None and _REQUEST_KIND in contract.refusable_kinds
            if state.policy.early_refusal and is_refusable and not request.may_have_run:
                estimate = state.service_times.predict(request.service_time_key)
                is_known = estimate.observations_count >= _MIN_OBSERVATIONS_COUNT
                if is_known and remaining_s < estimate.p50_s:
                    detail = (
                        f"{remaining_s:.3f} s remain until the deadline, but the expected run time"
                        f" is {estimate.p50_s:.3f} s"
                    )
                    self.completion.finish_request(
                        request, NotRun(ResultCode.WOULD_BE_LATE, detail)
                    )
                    continue
            return request
        return None

    def _pick_target(self, targets: ServiceTargets, avoided: str, now_s: float) -> Target | None:
        while (target := targets.pick(avoided, self.state.rng)) is not None:
            if now_s < target.lease_until_s:
                return target
            self.state.counters.lapsed_leases_count += 1
            self.state.targets.drop_lease(target.vm.name)
        return None

    def _send_probe(self, targets: ServiceTargets, queue: ServiceQueue, now_s: float) -> None:
        target = targets.pick_probe_target(now_s)
        if target is None:
            return
        request = self._pop_viable(queue, set(), now_s)
        if request is None:
            return
        overdue_s = _PROBE_OVERDUE_FACTOR * self.state.policy.probe_interval_s
        may_run_twice = request.idempotent and not request.forwarded
        if not may_run_twice and now_s < target.probe_at_s + overdue_s:
            queue.put_back(request)
            return
        target.probe_at_s = now_s + self.state.policy.probe_interval_s
        self._send(request, target, now_s).is_probe = True

    def _forward_next(
        self, service: str, queue: ServiceQueue, skipped: set[str], now_s: float
    ) -> bool:
        """Forward one request to a peer; return whether the queue may hold more to forward."""
        state = self.state
        own_targets = state.targets.service(service)
        holds_no_target = own_targets is None or own_targets.held_count == 0
        peer = state.peers.pick(service, same_region=True)
        if peer is None and holds_no_target:
            peer = state.peers.pick_for_queueing(service, state.policy.forward_queue_ratio)
        remote_peer = None if peer is not None else state.peers.pick(service, same_region=False)
        if peer is None and remote_peer is None:
            return False
        request, passed = None, []
        while len(passed) < _PASSED_OVER_MAX_COUNT:
            request = self._pop_viable(queue, skipped, now_s)
            if request is None or request.may_be_forwarded:
                break
            passed.append(request)
            request = None
        for other in reversed(passed):
            queue.put_back(other)
        if request is None:
            return False
        if peer is None:
            return self._forward_cross_region(request, remote_peer, queue, skipped, now_s)
        self._forward(request, peer, now_s)
        return True

    def _forward_cross_region(
        self, request: Request, peer: Peer, queue: ServiceQueue, skipped: set[str], now_s: float
    ) -> bool:
        state = self.state
        reason = CrossRegionReason.NO_TARGET_IN_REGION
        if self._is_served_in_region(request.service):
            reason = CrossRegionReason.REGION_FULL
            ready_at_s = request.arrived_s + state.policy.cross_region_min_wait_s
            if now_s < ready_at_s:
                queue.put_back(request)
                skipped.add(request.customer)
                state.schedule_timer(ready_at_s, QueueTimer(request.service))
                return True
        bucket = state.cross_region_bucket(request.customer)
        if bucket is not None and not bucket.try_take(request.body_bytes, now_s):
            queue.put_back(request)
            skipped.add(request.customer)
            return True
        state.counters.cross_region_bytes[reason] += request.body_bytes
        self._forward(request, peer, now_s)
        return True

    def _is_served_in_region(self, service: str) -> bool:
        own_targets = self.state.targets.service(service)
        holds_target = own_targets is not None and own_targets.held_count > 0
        return holds_target or self.state.peers.has_service_in_region(service)

    def _forward(self, request: Request, peer: Peer, now_s: float) -> None:
        state = self.state
        state.peers.count_forward(peer, request.service)
        send = self._create_send(request, SendRoute.PEER, peer.incarnation, 0, now_s)
        remaining_ms = forward_budget_ms(request.deadline_at_s - now_s)
        state.actions.append(
            ForwardToPeer(send.send_id, request.request_id, peer.incarnation, remaining_ms)
        )

    def _send(self, request: Request, target: Target, now_s: float) -> Send:
        state = self.state
        send = self._create_send(request, SendRoute.TARGET, target.vm.name, target.epoch, now_s)
        state.targets.occupy_slot(target, send.send_id)
        if state.queue(request.service).is_long(request):
            send.is_long_kind = True
            state.targets.services[request.service].long_sends_count += 1
        remaining_ms = max(1, int((request.deadline_at_s - now_s) * 1000))
        state.actions.append(
            SendToTarget(
                send.send_id, request.request_id, target.vm.name, target.epoch, remaining_ms
            )
        )
        if state.policy.hedging and request.idempotent and not request.forwarded:
            estimate = state.service_times.predict(request.service_time_key)
            if estimate.observations_count >= state.policy.hedge_min_observations:
                state.schedule_timer(now_s + estimate.p95_s, HedgeTimer(send.send_id))
        return send

    def _create_send(
        self, request: Request, route: SendRoute, destination: str, epoch: int, now_s: float
    ) -> Send:
        state = self.state
        if request.sends_count == 0:
            state.counters.first_sends_count += 1
            if not request.forwarded:
                state.retry_budget(request.customer, request.service).deposit()
        request.sends_count += 1
        request.live_sends_count += 1
        request.phase = RequestPhase.RUNNING
        request.last_destination = destination
        send_id = f"{request.request_id}.{state.issuer.suffix}{request.sends_count}"
        send = Send(send_id, request, route, destination, epoch, now_s)
        state.sends[send_id] = send
        return send
