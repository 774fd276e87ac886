"""Admission control of requests by contract, key and load of the service."""

from ..contracts import Contract
from ..results import NotRun, Outcome, OutcomeUnknown, ResultCode
from ._actions import AskKeyHolder, ClaimKey
from ._claims import Claim
from ._counters import CrossRegionReason
from ._events import RequestArrived
from ._keys import ISSUED_KEY_PREFIX, InvalidKey, OtherKey, OwnKey
from ._requests import KeyKind, Request, RequestPhase, Send, SendRoute
from ._state import DeadlineTimer, RouterState

_REQUEST_KIND = "request"
_UNKNOWN_CONTRACT_DEADLINE_S = 10.0
# Fraction of the deadline that the expected time may use. The rest covers prediction errors, so
# that few admitted requests expire in the queue.
_EXPECTED_TIME_MAX_RATIO = 0.9
# Repeats of a forwarded request that must not run twice are recognised for this long.
_FORWARD_DEDUPLICATION_S = 60.0
_FORWARD_DEDUPLICATION_MAX_COUNT = 50_000


class AdmissionController:
    """Decides whether an arriving request is queued, answered or refused.

    Args:
        state: state of the router.
    """

    def __init__(self, state: RouterState) -> None:
        self.state = state
        self._forwards_until_s: dict[str, float] = {}

    def handle_arrival(self, event: RequestArrived, now_s: float) -> None:
        """Queue, answer or refuse a request; a request id that is in progress is ignored."""
        if event.request_id in self.state.requests:
            return
        refusal = self._check_customer_and_service(event)
        if refusal is not None:
            self.state.answer_stateless(event.request_id, refusal)
        elif event.idempotent or (event.forwarded and not event.sent_to_key_holder):
            self._handle_unkeyed(event, now_s)
        elif not event.key:
            self.state.refuse(
                event.request_id,
                ResultCode.INVALID_FIELD,
                "key: a request that is not idempotent needs a key",
            )
        elif event.key.startswith(ISSUED_KEY_PREFIX):
            self._handle_issued_key(event, now_s)
        else:
            self._handle_caller_key(event, now_s)

    def resolve_claim(self, request: Request, claim: Claim, now_s: float) -> None:
        """Execute, answer or forward a request once the winning claim of its key is known."""
        state = self.state
        state.remove_claiming_request(request)
        if request.answered:
            return
        request.phase = RequestPhase.RUNNING
        known_outcome = self._outcome_of_claim(claim, request.digest)
        if known_outcome is not None:
            self._answer_unsent(request, known_outcome)
        elif claim.incarnation != state.incarnation:
            self._ask_key_holder(request, claim.incarnation, now_s)
        else:
            claim.started = True
            request.key_kind = KeyKind.CALLER
            state.queue(request.service).push(request)

    def refuse_unconfirmed_claim(self, request: Request) -> None:
        """Refuse a request whose claim the log did not confirm."""
        self.state.remove_claiming_request(request)
        if not request.answered and request.phase is RequestPhase.CLAIMING:
            self._answer_unsent(
                request,
                NotRun(
                    ResultCode.STORE_UNAVAILABLE,
                    "the platform log did not confirm the claim of the key; "
                    "a key issued by POST /v1/keys works without the log",
                ),
            )

    def _check_customer_and_service(self, event: RequestArrived) -> NotRun | None:
        state = self.state
        if event.forwarded:
            return None
        if event.customer not in state.contracts:
            return NotRun(
                ResultCode.UNKNOWN_CUSTOMER, f"customer {event.customer} has no contract in force"
            )
        if state.targets.service(event.service) is None and not state.peers.has_service(
            event.service
        ):
            return NotRun(ResultCode.UNKNOWN_SERVICE, f"no target serves service {event.service}")
        return None

    def _handle_unkeyed(self, event: RequestArrived, now_s: float) -> None:
        refusal = self._check_limits(event, now_s)
        if refusal is None and event.forwarded and not event.idempotent:
            refusal = self._register_forward(event.request_id, now_s)
        if refusal is not None:
            self.state.answer_stateless(event.request_id, refusal)
            return
        self.state.queue(event.service).push(self._create_request(event, now_s))

    def _handle_issued_key(self, event: RequestArrived, now_s: float) -> None:
        state = self.state
        match state.issuer.check(event.key, event.customer, now_s):
            case InvalidKey(reason):
                state.refuse(event.request_id, ResultCode.INVALID_KEY, f"key: {reason}")
            case OtherKey(incarnation):
                self._handle_peer_key(event, incarnation, now_s)
            case OwnKey() as own_key:
                self._handle_own_key(event, own_key, now_s)

    def _handle_own_key(self, event: RequestArrived, own_key: OwnKey, now_s: float) -> None:
        state = self.state
        execution = state.executed_keys.get(own_key.number)
        if execution is not None:
            outcome = _outcome_of_repeat(execution.digest, event.body_digest, execution.outcome)
            state.answer_stateless(event.request_id, outcome)
            return
        refusal = self._check_limits(event, now_s)
        has_begun = refusal is None and state.executed_keys.begin_execution(
            own_key.number, event.body_digest, own_key.expires_s, now_s
        )
        if not has_begun:
            refusal = refusal or NotRun(ResultCode.QUEUE_FULL, "the table of executed keys is full")
            state.answer_stateless(event.request_id, refusal)
            return
        request = self._create_request(event, now_s)
        request.key_kind = KeyKind.ISSUED
        request.key_number = own_key.number
        state.queue(event.service).push(request)

    def _handle_peer_key(self, event: RequestArrived, incarnation: str, now_s: float) -> None:
        if event.sent_to_key_holder or self._is_holder_lost(incarnation):
            self.state.answer_stateless(event.request_id, _key_holder_gone(incarnation))
            return
        refusal = self._check_limits(event, now_s)
        if refusal is not None:
            self.state.answer_stateless(event.request_id, refusal)
            return
        self._ask_key_holder(self._create_request(event, now_s), incarnation, now_s)

    def _handle_caller_key(self, event: RequestArrived, now_s: float) -> None:
        state = self.state
        name = event.customer, event.key
        claim = state.claims.get(*name)
        if claim is not None:
            known_outcome = self._outcome_of_claim(claim, event.body_digest)
            if (
                known_outcome is None
                and event.sent_to_key_holder
                and claim.incarnation != state.incarnation
            ):
                known_outcome = _key_holder_gone(claim.incarnation)
        else:
            claimer = state.claiming_requests.get(name)
            known_outcome = claimer and _outcome_of_repeat(claimer.digest, event.body_digest, None)
            if known_outcome is None and event.sent_to_key_holder:
                # The peer has read a claim by this VM that this VM has not read back yet.
                known_outcome = OutcomeUnknown(
                    ResultCode.IN_PROGRESS,
                    "the claim of the key has not been read back yet; ask again",
                )
        refusal = known_outcome or self._check_limits(event, now_s)
        if refusal is None and claim is None and state.claims.is_full:
            refusal = NotRun(ResultCode.QUEUE_FULL, "the table of claimed keys is full")
        if refusal is not None:
            state.answer_stateless(event.request_id, refusal)
            return
        request = self._create_request(event, now_s)
        if claim is not None:
            self.resolve_claim(request, claim, now_s)
            return
        state.add_claiming_request(request)
        state.actions.append(ClaimKey(event.request_id, *name, event.body_digest))

    def _outcome_of_claim(self, claim: Claim, digest: bytes) -> Outcome | None:
        if claim.request_digest and claim.request_digest != digest.hex():
            return _key_conflict()
        if claim.outcome is not None:
            return claim.outcome
        if claim.incarnation == self.state.incarnation:
            return _key_in_progress() if claim.started else None
        if self._is_holder_lost(claim.incarnation):
            return _key_holder_gone(claim.incarnation)
        return None

    def _is_holder_lost(self, incarnation: str) -> bool:
        state = self.state
        return state.peers.is_lost(incarnation) or state.issuer.is_earlier_incarnation(incarnation)

    def _ask_key_holder(self, request: Request, incarnation: str, now_s: float) -> None:
        state = self.state
        request.phase = RequestPhase.RUNNING
        request.sends_count = request.live_sends_count = 1
        send_id = f"{request.request_id}.{state.issuer.suffix}1"
        state.sends[send_id] = Send(send_id, request, SendRoute.KEY_HOLDER, incarnation, 0, now_s)
        peer = state.peers.get(incarnation)
        if peer is not None and peer.region != state.peers.region:
            # Charged but never refused, because only the key holder knows the outcome.
            state.counters.cross_region_bytes[CrossRegionReason.KEY_HOLDER] += request.body_bytes
            bucket = state.cross_region_bucket(request.customer)
            if bucket is not None:
                bucket.force_take(request.body_bytes, now_s)
        remaining_ms = forward_budget_ms(request.deadline_at_s - now_s)
        state.actions.append(AskKeyHolder(send_id, request.request_id, incarnation, remaining_ms))

    def _create_request(self, event: RequestArrived, now_s: float) -> Request:
        state = self.state
        request = Request(
            request_id=event.request_id,
            customer=event.customer,
            service=event.service,
            kind=event.kind,
            service_time_key=(event.service, event.customer, event.kind),
            idempotent=event.idempotent,
            key=event.key,
            digest=event.body_digest,
            body_bytes=event.body_bytes,
            forwarded=event.forwarded,
            may_be_forwarded=not event.forwarded or event.sent_to_key_holder,
            arrived_s=now_s,
            deadline_at_s=now_s + self._deadline_s(event),
        )
        state.requests[event.request_id] = request
        state.schedule_timer(request.deadline_at_s, DeadlineTimer(event.request_id))
        return request

    def _deadline_s(self, event: RequestArrived) -> float:
        contract = self.state.contracts.get(event.customer)
        if contract is None:
            return event.deadline_s or _UNKNOWN_CONTRACT_DEADLINE_S
        return min(event.deadline_s or contract.default_deadline_s, contract.max_deadline_s)

    def _check_limits(self, event: RequestArrived, now_s: float) -> NotRun | None:
        state = self.state
        if state.draining:
            return NotRun(ResultCode.DRAINING, "the entry VM is shutting down")
        if event.deadline_s < 0:
            return NotRun(ResultCode.DEADLINE_PASSED, "the deadline passed before admission")
        if event.forwarded:
            own_targets = state.targets.service(event.service)
            if not event.sent_to_key_holder and (own_targets is None or not own_targets.held_count):
                return NotRun(ResultCode.NO_TARGET, "the entry VM holds no target of the service")
            return None
        contract = state.contracts[event.customer]
        waiting_count = state.waiting_count(event.customer)
        if waiting_count >= contract.queue_max_requests:
            return NotRun(
                ResultCode.QUEUE_FULL, f"{waiting_count} requests of the customer are waiting"
            )
        if state.policy.early_refusal and _REQUEST_KIND in contract.refusable_kinds:
            refusal = self._check_expected_time(event, contract, now_s)
            if refusal is not None:
                return refusal
        rate = state.rate_bucket(event.customer)
        if rate is not None and not rate.try_take(1.0, now_s):
            return NotRun(
                ResultCode.RATE_LIMITED,
                f"the contract admits {rate.rate_per_s:g} requests per second",
                rate.wait_s(1.0, now_s),
            )
        return None

    def _check_expected_time(
        self, event: RequestArrived, contract: Contract, now_s: float
    ) -> NotRun | None:
        state = self.state
        slots_count = state.usable_slots_count(event.service)
        if slots_count == 0 and not state.peers.has_service(event.service):
            return NotRun(ResultCode.NO_TARGET, "no entry VM holds a target of the service", 1.0)
        queue = state.queue(event.service)
        if not queue.waiting_requests_count:
            return None
        wait_s = queue.expected_wait_s(event.customer, event.kind, slots_count, now_s)
        run_s = state.service_times.predict((event.service, event.customer, event.kind)).p50_s
        deadline_s = self._deadline_s(event)
        if wait_s + run_s <= _EXPECTED_TIME_MAX_RATIO * deadline_s:
            return None
        detail = (
            f"the expected time to the answer, {wait_s + run_s:.3f} s, is too long for the deadline"
            f" of {deadline_s:.3f} s"
        )
        return NotRun(ResultCode.WOULD_BE_LATE, detail, min(wait_s, 60.0))

    def _register_forward(self, request_id: str, now_s: float) -> Outcome | None:
        while self._forwards_until_s:
            oldest = next(iter(self._forwards_until_s))
            if self._forwards_until_s[oldest] > now_s:
                break
            del self._forwards_until_s[oldest]
        if request_id in self._forwards_until_s:
            return OutcomeUnknown(
                ResultCode.OUTCOME_UNKNOWN,
                "a request with this id was forwarded to this entry VM before",
            )
        if len(self._forwards_until_s) >= _FORWARD_DEDUPLICATION_MAX_COUNT:
            return NotRun(ResultCode.QUEUE_FULL, "the table of forwarded requests is full")
        self._forwards_until_s[request_id] = now_s + _FORWARD_DEDUPLICATION_S
        return None

    def _answer_unsent(self, request: Request, outcome: Outcome) -> None:
        request.answered = True
        request.phase = RequestPhase.DONE
        self.state.requests.pop(request.request_id, None)
        self.state.answer_stateless(request.request_id, outcome)


def forward_budget_ms(remaining_s: float) -> int:
    """Return the deadline in ms to forward, less a reserve for the way back of the answer."""
    return max(1, int((remaining_s - min(0.05, 0.1 * remaining_s)) * 1000))


def _outcome_of_repeat(first_digest: bytes, digest: bytes, outcome: Outcome | None) -> Outcome:
    if first_digest != digest:
        return _key_conflict()
    return _key_in_progress() if outcome is None else outcome


def _key_conflict() -> NotRun:
    return NotRun(ResultCode.KEY_CONFLICT, "the key was used before with different content")


def _key_in_progress() -> OutcomeUnknown:
    return OutcomeUnknown(
        ResultCode.IN_PROGRESS, "a request with the same key is in progress; ask again"
    )


def _key_holder_gone(incarnation: str) -> OutcomeUnknown:
    return OutcomeUnknown(
        ResultCode.KEY_HOLDER_GONE, f"entry VM {incarnation}, which executes this key, is gone"
    )
