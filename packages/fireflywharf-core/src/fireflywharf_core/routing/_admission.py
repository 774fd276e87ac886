"""Admission of requests by contract, key and state of the service."""

from ..contracts import Contract
from ..results import NotRun, Outcome, OutcomeUnknown, ResultCode
from ._actions import AskKeyHolder, ClaimKey
from ._claims import Claim
from ._counters import CrossRegionReason
from ._events import RequestArrived
from ._keys import PREFIX, InvalidKey, OtherKey, OwnKey
from ._requests import KeyUse, Phase, Request, Route, Send
from ._state import DeadlineTimer, RouterState

_REFUSABLE_KIND = "request"
_FORWARDED_DEADLINE_S = 10.0
# Part of the deadline that the expected time may use; the rest covers errors of the prediction, so
# that few admitted requests are dropped in the queue.
_DEADLINE_PART = 0.9
# A forwarded request that must not run twice is recognised for this long if it arrives again.
_FORWARD_MEMORY_S = 60.0
_FORWARD_MEMORY_MAX_COUNT = 50_000


class Admission:
    """Decides what happens to a request that arrives.

    Args:
        state: state of the router.
    """

    def __init__(self, state: RouterState) -> None:
        self.state = state
        self._forwards: dict[str, float] = {}

    def arrive(self, event: RequestArrived, now_s: float) -> None:
        """Queue, answer or refuse a request."""
        if event.request_id in self.state.requests:
            return
        refusal = self._check_known(event)
        if refusal is not None:
            self.state.answer_directly(event.request_id, refusal)
        elif event.idempotent or (event.forwarded and not event.sent_to_key_holder):
            self._arrive_unkeyed(event, now_s)
        elif not event.key:
            self.state.refuse(
                event.request_id,
                ResultCode.INVALID_FIELD,
                "key: a request that is not idempotent needs a key",
            )
        elif event.key.startswith(PREFIX):
            self._arrive_issued(event, now_s)
        else:
            self._arrive_claimed(event, now_s)

    def resolve_claim(self, request: Request, claim: Claim, now_s: float) -> None:
        """Go on with a request whose key has a winning claim."""
        state = self.state
        state.remove_claimer(request)
        if request.answered:
            return
        request.phase = Phase.RUNNING
        known = self._outcome_of_claim(claim, request.digest)
        if known is not None:
            self._finish_unsent(request, known)
        elif claim.incarnation != state.incarnation:
            self._ask(request, claim.incarnation, now_s)
        else:
            claim.started = True
            request.key_use = KeyUse.CALLER
            state.queue(request.service).push(request)

    def claim_unavailable(self, request: Request) -> None:
        """Refuse a request because the log did not confirm its claim."""
        self.state.remove_claimer(request)
        if not request.answered and request.phase is Phase.CLAIMING:
            self._finish_unsent(
                request,
                NotRun(
                    ResultCode.STORE_UNAVAILABLE,
                    "the log did not confirm the claim of the key; keys from POST /v1/keys work "
                    "without the log",
                ),
            )

    def _check_known(self, event: RequestArrived) -> NotRun | None:
        state = self.state
        if event.forwarded:
            return None
        if event.customer not in state.contracts:
            return NotRun(
                ResultCode.UNKNOWN_CUSTOMER, f"no contract exists for customer {event.customer}"
            )
        if state.targets.service(event.service) is None and not state.peers.serves(event.service):
            return NotRun(ResultCode.UNKNOWN_SERVICE, f"no target serves {event.service}")
        return None

    def _arrive_unkeyed(self, event: RequestArrived, now_s: float) -> None:
        refusal = self._admit(event, now_s)
        if refusal is None and event.forwarded and not event.idempotent:
            refusal = self._remember_forward(event.request_id, now_s)
        if refusal is not None:
            self.state.answer_directly(event.request_id, refusal)
            return
        self.state.queue(event.service).push(self._create(event, now_s))

    def _arrive_issued(self, event: RequestArrived, now_s: float) -> None:
        state = self.state
        match state.issued.check(event.key, event.customer, now_s):
            case InvalidKey(reason):
                state.refuse(event.request_id, ResultCode.INVALID_KEY, f"key: {reason}")
            case OtherKey(incarnation):
                self._arrive_elsewhere(event, incarnation, now_s)
            case OwnKey() as own:
                self._arrive_own(event, own, now_s)

    def _arrive_own(self, event: RequestArrived, own: OwnKey, now_s: float) -> None:
        state = self.state
        known = state.remembered.get(own.number)
        if known is not None:
            outcome = _repeat(known.digest, event.body_digest, known.outcome)
            state.answer_directly(event.request_id, outcome)
            return
        refusal = self._admit(event, now_s)
        begun = refusal is None and state.remembered.begin(
            own.number, event.body_digest, own.expires_s, now_s
        )
        if not begun:
            refusal = refusal or NotRun(ResultCode.QUEUE_FULL, "the memory of used keys is full")
            state.answer_directly(event.request_id, refusal)
            return
        request = self._create(event, now_s)
        request.key_use = KeyUse.ISSUED
        request.key_number = own.number
        state.queue(event.service).push(request)

    def _arrive_elsewhere(self, event: RequestArrived, incarnation: str, now_s: float) -> None:
        if event.sent_to_key_holder or self._is_gone(incarnation):
            self.state.answer_directly(event.request_id, _holder_gone(incarnation))
            return
        refusal = self._admit(event, now_s)
        if refusal is not None:
            self.state.answer_directly(event.request_id, refusal)
            return
        self._ask(self._create(event, now_s), incarnation, now_s)

    def _arrive_claimed(self, event: RequestArrived, now_s: float) -> None:
        state = self.state
        name = event.customer, event.key
        claim = state.claims.get(*name)
        if claim is not None:
            known = self._outcome_of_claim(claim, event.body_digest)
            if (
                known is None
                and event.sent_to_key_holder
                and claim.incarnation != state.incarnation
            ):
                known = _holder_gone(claim.incarnation)
        else:
            claimer = state.claimers.get(name)
            known = claimer and _repeat(claimer.digest, event.body_digest, None)
            if known is None and event.sent_to_key_holder:
                # The peer has read a claim of this incarnation that is not read here yet.
                known = OutcomeUnknown(
                    ResultCode.IN_PROGRESS, "the claim of the key is being read; ask again"
                )
        refusal = known or self._admit(event, now_s)
        if refusal is None and claim is None and state.claims.full:
            refusal = NotRun(ResultCode.QUEUE_FULL, "the table of claimed keys is full")
        if refusal is not None:
            state.answer_directly(event.request_id, refusal)
            return
        request = self._create(event, now_s)
        if claim is not None:
            self.resolve_claim(request, claim, now_s)
            return
        state.add_claimer(request)
        state.actions.append(ClaimKey(event.request_id, *name, event.body_digest))

    def _outcome_of_claim(self, claim: Claim, digest: bytes) -> Outcome | None:
        if claim.request_digest and claim.request_digest != digest.hex():
            return _conflict()
        if claim.outcome is not None:
            return claim.outcome
        if claim.incarnation == self.state.incarnation:
            return _in_progress() if claim.started else None
        if self._is_gone(claim.incarnation):
            return _holder_gone(claim.incarnation)
        return None

    def _is_gone(self, incarnation: str) -> bool:
        state = self.state
        return state.peers.is_gone(incarnation) or state.issued.is_earlier_self(incarnation)

    def _ask(self, request: Request, incarnation: str, now_s: float) -> None:
        state = self.state
        request.phase = Phase.RUNNING
        request.sends_count = request.live_count = 1
        send_id = f"{request.request_id}.{state.issued.suffix}1"
        state.sends[send_id] = Send(send_id, request, Route.KEY_HOLDER, incarnation, 0, now_s)
        peer = state.peers.get(incarnation)
        if peer is not None and peer.region != state.peers.region:
            # This traffic cannot be refused, because only the holder knows the outcome.
            state.counters.cross_region_bytes[CrossRegionReason.KEY_HOLDER] += request.body_bytes
            bucket = state.cross_region(request.customer)
            if bucket is not None:
                bucket.charge(request.body_bytes, now_s)
        remaining_ms = forward_ms(request.deadline_at_s - now_s)
        state.actions.append(AskKeyHolder(send_id, request.request_id, incarnation, remaining_ms))

    def _create(self, event: RequestArrived, now_s: float) -> Request:
        state = self.state
        request = Request(
            request_id=event.request_id,
            customer=event.customer,
            service=event.service,
            kind=event.kind,
            time_key=(event.service, event.customer, event.kind),
            idempotent=event.idempotent,
            key=event.key,
            digest=event.body_digest,
            body_bytes=event.body_bytes,
            forwarded=event.forwarded,
            may_forward=not event.forwarded or event.sent_to_key_holder,
            arrived_s=now_s,
            deadline_at_s=now_s + self._deadline_s(event),
        )
        state.requests[event.request_id] = request
        state.add_timer(request.deadline_at_s, DeadlineTimer(event.request_id))
        return request

    def _deadline_s(self, event: RequestArrived) -> float:
        contract = self.state.contracts.get(event.customer)
        if contract is None:
            return event.deadline_s or _FORWARDED_DEADLINE_S
        return min(event.deadline_s or contract.default_deadline_s, contract.max_deadline_s)

    def _admit(self, event: RequestArrived, now_s: float) -> NotRun | None:
        state = self.state
        if state.draining:
            return NotRun(ResultCode.DRAINING, "the entry VM is shutting down")
        if event.deadline_s < 0:
            return NotRun(ResultCode.DEADLINE_PASSED, "the deadline passed before admission")
        if event.forwarded:
            own = state.targets.service(event.service)
            if not event.sent_to_key_holder and (own is None or not own.held_count):
                return NotRun(ResultCode.NO_TARGET, "the peer holds no target of the service")
            return None
        contract = state.contracts[event.customer]
        waiting_count = state.waiting_count(event.customer)
        if waiting_count >= contract.queue_max_requests:
            return NotRun(ResultCode.QUEUE_FULL, f"{waiting_count} requests are waiting")
        if state.policy.early_refusal and _REFUSABLE_KIND in contract.refusable_kinds:
            refusal = self._refuse_early(event, contract, now_s)
            if refusal is not None:
                return refusal
        rate = state.rate(event.customer)
        if rate is not None and not rate.take(1.0, now_s):
            return NotRun(
                ResultCode.RATE_LIMITED,
                f"the contract admits {rate.rate_per_s:g} requests per second",
                rate.wait_s(1.0, now_s),
            )
        return None

    def _refuse_early(
        self, event: RequestArrived, contract: Contract, now_s: float
    ) -> NotRun | None:
        state = self.state
        slots_count = state.usable_slots_count(event.service)
        if slots_count == 0 and not state.peers.serves(event.service):
            return NotRun(ResultCode.NO_TARGET, "no target of the service is held", 1.0)
        queue = state.queue(event.service)
        if not queue.live_count:
            return None
        wait_s = queue.expected_wait_s(event.customer, event.kind, slots_count, now_s)
        run_s = state.times.predict((event.service, event.customer, event.kind)).p50_s
        deadline_s = self._deadline_s(event)
        if wait_s + run_s <= _DEADLINE_PART * deadline_s:
            return None
        detail = f"expected {wait_s + run_s:.3f} s, deadline {deadline_s:.3f} s"
        return NotRun(ResultCode.WOULD_BE_LATE, detail, min(wait_s, 60.0))

    def _remember_forward(self, request_id: str, now_s: float) -> Outcome | None:
        while self._forwards:
            oldest = next(iter(self._forwards))
            if self._forwards[oldest] > now_s:
                break
            del self._forwards[oldest]
        if request_id in self._forwards:
            return OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, "the request was forwarded before")
        if len(self._forwards) >= _FORWARD_MEMORY_MAX_COUNT:
            return NotRun(ResultCode.QUEUE_FULL, "the memory of forwarded requests is full")
        self._forwards[request_id] = now_s + _FORWARD_MEMORY_S
        return None

    def _finish_unsent(self, request: Request, outcome: Outcome) -> None:
        request.answered = True
        request.phase = Phase.DONE
        self.state.requests.pop(request.request_id, None)
        self.state.answer_directly(request.request_id, outcome)


def forward_ms(remaining_s: float) -> int:
    """Return the time budget of a forwarded request, less a part for the way back."""
    return max(1, int((remaining_s - min(0.05, 0.1 * remaining_s)) * 1000))


def _repeat(first_digest: bytes, digest: bytes, outcome: Outcome | None) -> Outcome:
    if first_digest != digest:
        return _conflict()
    return _in_progress() if outcome is None else outcome


def _conflict() -> NotRun:
    return NotRun(ResultCode.KEY_CONFLICT, "the key was used before with other content")


def _in_progress() -> OutcomeUnknown:
    return OutcomeUnknown(ResultCode.IN_PROGRESS, "the same key is being executed; ask again")


def _holder_gone(incarnation: str) -> OutcomeUnknown:
    return OutcomeUnknown(
        ResultCode.KEY_HOLDER_GONE, f"{incarnation} decided for this key and is gone"
    )
