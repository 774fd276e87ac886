"""Execution of requests: runs the router core and performs its actions."""

import asyncio
import hashlib
import logging
import random
import time
import uuid
from collections.abc import Callable

import attrs

from fireflywharf_core.contracts import Contract
from fireflywharf_core.log import ReadRecord
from fireflywharf_core.messages import DomainDigest, ForwardRequest, Heartbeat, RequestAnswer
from fireflywharf_core.platform import VmInfo
from fireflywharf_core.records import KeyClaimed, KeyOutcome
from fireflywharf_core.results import (
    CodeClass,
    Completed,
    NotRun,
    Outcome,
    OutcomeUnknown,
    ResultCode,
    describe_code,
)
from fireflywharf_core.routing import (
    Action,
    Answer,
    AskKeyHolder,
    ClaimKey,
    ContractChanged,
    DrainStarted,
    Event,
    ForwardAnswered,
    ForwardToPeer,
    KeyClaimRead,
    KeyClaimUnconfirmed,
    KeyOutcomeRead,
    PeerLost,
    PeerSlotsReported,
    PollTarget,
    RecordKeyOutcome,
    RequestArrived,
    RequestRouter,
    RoutingPolicy,
    SendFailed,
    SendRefusalReason,
    SendRefused,
    SendSucceeded,
    SendToTarget,
    TargetLeaving,
)

from ..http import ExecuteRequest, RequestResult
from ..mesh import CallRefused, IncomingCall, Unreachable
from ..platform import (
    Failed,
    PlatformOutcome,
    RefusalReason,
    RefusedBeforeRun,
    Success,
    TargetAnswer,
    TargetRequest,
)
from ._context import Context
from ._log_stream import LogStream, StreamListener
from ._membership import Membership
from ._targets import TargetService
from ._tasks import BackgroundTasks

_LOG = logging.getLogger(__name__)
KEY_CLAIM_TIMEOUT_S = 3.0


@attrs.define(slots=True)
class _PendingRequest:
    """A request that is queued or in progress.

    Args:
        request: request as received.
        on_outcome: receives the outcome once.
        arrived_s: monotonic time of the arrival.
        first_send_s: monotonic time of the first send to a target; None before.
    """

    request: ForwardRequest
    on_outcome: Callable[[Outcome], None]
    arrived_s: float
    first_send_s: float | None = None


class RequestService(StreamListener):
    """Runs the router core of this entry VM and performs its actions.

    Args:
        context: shared context.
        membership: peers and remote domains.
    """

    def __init__(self, context: Context, membership: Membership) -> None:
        self.context = context
        self.membership = membership
        self.router = RequestRouter(
            incarnation=context.incarnation,
            domain=context.domain,
            region=context.settings.vm.region,
            rng=random.SystemRandom(),
            policy=RoutingPolicy(
                retry_budget_ratio=context.settings.routing.retry_ratio,
                sends_max_count=context.settings.routing.sends_max,
                key_lifetime_s=context.settings.routing.key_lifetime_s,
            ),
        )
        self.tasks = BackgroundTasks()
        self.targets = TargetService(context, membership, self.observe)
        self.stream: LogStream | None = None
        self._pending: dict[str, _PendingRequest] = {}
        self._wakeup_timer: asyncio.TimerHandle | None = None
        self._router_run_pending = False

    # Requests of callers and peers

    async def execute(self, execution: ExecuteRequest) -> RequestResult:
        """Execute a request of a caller and wait for the outcome."""
        request = ForwardRequest(
            request_id=f"r-{uuid.uuid4().hex}",
            customer=execution.customer,
            service=execution.service,
            kind=execution.kind,
            idempotent=execution.idempotent,
            key=execution.key,
            deadline_ms=execution.deadline_ms or 0,
            body=execution.body,
        )
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Outcome] = loop.create_future()

        def done(outcome: Outcome) -> None:
            if not future.done():
                future.set_result(outcome)

        self._submit_to_router(request, done, forwarded=False, sent_to_key_holder=False)
        outcome = await future
        self.context.metrics.count_request(request.service, outcome)
        return RequestResult(request.request_id, outcome)

    def handle_forwarded(self, call: IncomingCall) -> None:
        """Start a request that a peer forwarded; the reply is sent when the outcome is known."""
        request: ForwardRequest = call.message
        remaining_ms = int((call.deadline_s - time.monotonic()) * 1000)
        request = attrs.evolve(request, deadline_ms=max(1, min(request.deadline_ms, remaining_ms)))
        if request.request_id in self._pending:
            call.fail()
            return
        self._submit_to_router(
            request,
            lambda outcome: call.reply(_encode_outcome(request.request_id, outcome)),
            forwarded=True,
            sent_to_key_holder=request.execute_issued_key,
        )

    def _submit_to_router(
        self,
        request: ForwardRequest,
        on_outcome: Callable[[Outcome], None],
        forwarded: bool,
        sent_to_key_holder: bool,
    ) -> None:
        self._pending[request.request_id] = _PendingRequest(
            request, on_outcome, self.context.now_s()
        )
        identity = f"{request.service}\x00{request.kind}\x00".encode()
        self.observe(
            RequestArrived(
                request_id=request.request_id,
                customer=request.customer,
                service=request.service,
                kind=request.kind,
                idempotent=request.idempotent,
                key=request.key,
                deadline_s=request.deadline_ms / 1000,
                body_digest=hashlib.sha256(identity + request.body).digest(),
                body_bytes=len(request.body),
                forwarded=forwarded,
                sent_to_key_holder=sent_to_key_holder,
            )
        )

    # Events from other components

    def observe(self, event: Event) -> None:
        """Pass an event to the router core and schedule a run of the core."""
        self.router.observe(event, self.context.now_s())
        if not self._router_run_pending:
            self._router_run_pending = True
            asyncio.get_running_loop().call_soon(self._run_router)

    def set_contract(self, contract: Contract) -> None:
        """Set the contract of a customer."""
        self.observe(ContractChanged(contract.customer, contract))

    def set_vm_list(self, vms: list[VmInfo]) -> None:
        """Update the targets from the VM list."""
        self.targets.set_vm_list(vms)

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Update the free slots of a peer of the domain."""
        self.observe(
            PeerSlotsReported(
                heartbeat.incarnation,
                heartbeat.domain,
                self.context.settings.vm.region,
                heartbeat.slots,
                heartbeat.draining,
            )
        )

    def handle_digest(self, digest: DomainDigest) -> None:
        """Update the free slots of a remote domain."""
        self.observe(
            PeerSlotsReported(digest.incarnation, digest.domain, digest.region, digest.slots)
        )

    def handle_peer_gone(self, incarnation: str) -> None:
        """Stop forwarding requests to a peer that has failed or was replaced."""
        self.observe(PeerLost(incarnation))

    def start_drain(self) -> None:
        """Stop admitting requests."""
        self.observe(DrainStarted())

    def fold_record(self, row: ReadRecord) -> None:
        """Pass a key claim or a key outcome from stream `keys` to the router core."""
        match row.record:
            case KeyClaimed():
                self.observe(KeyClaimRead(row.record))
            case KeyOutcome():
                self.observe(KeyOutcomeRead(row.record))

    # Actions of the router core

    def _run_router(self) -> None:
        self._router_run_pending = False
        if self._wakeup_timer is not None:
            self._wakeup_timer.cancel()
            self._wakeup_timer = None
        with self.context.metrics.time_decision("router"):
            actions = self.router.decide(self.context.now_s())
        for action in actions:
            self._perform_action(action)
        wakeup_s = self.router.next_wakeup_s()
        if wakeup_s is not None:
            delay_s = max(0.001, wakeup_s - self.context.now_s())
            self._wakeup_timer = asyncio.get_running_loop().call_later(delay_s, self._run_router)

    def _perform_action(self, action: Action) -> None:
        match action:
            case SendToTarget():
                self.tasks.spawn(self._send_to_target(action))
            case ForwardToPeer(send_id, request_id, incarnation, remaining_ms):
                self.tasks.spawn(
                    self._forward_to_peer(send_id, request_id, incarnation, remaining_ms, False)
                )
            case AskKeyHolder(send_id, request_id, incarnation, remaining_ms):
                self.tasks.spawn(
                    self._forward_to_peer(send_id, request_id, incarnation, remaining_ms, True)
                )
            case ClaimKey(request_id, customer, key, digest):
                self.tasks.spawn(self._claim_key(request_id, customer, key, digest))
            case RecordKeyOutcome(customer, key, code, status, body):
                self.stream.submit(KeyOutcome(customer, key, code, status, body))
            case PollTarget(name):
                self.targets.start_status_read(name)
            case Answer(request_id, outcome):
                pending = self._pending.pop(request_id, None)
                if pending is not None:
                    self._observe_times(pending)
                    pending.on_outcome(outcome)

    def _observe_times(self, pending: _PendingRequest) -> None:
        """Record the waiting time and the total time of a request that was sent to a target."""
        if pending.first_send_s is not None:
            wait_s = pending.first_send_s - pending.arrived_s
            total_s = self.context.now_s() - pending.arrived_s
            self.context.metrics.observe_request_times(pending.request.kind, wait_s, total_s)

    async def _send_to_target(self, action: SendToTarget) -> None:
        pending = self._pending.get(action.request_id)
        vm = self.targets.vms.get(action.target)
        if pending is None or vm is None:
            self.observe(SendRefused(action.send_id, SendRefusalReason.CONNECT))
            return
        request = pending.request
        started_s = self.context.now_s()
        if pending.first_send_s is None:
            pending.first_send_s = started_s
        answer = await self.context.pools.run(
            "targets", self._execute_at_target, action, request, vm, started_s
        )
        elapsed_s = self.context.now_s() - started_s
        match answer:
            case Success(TargetAnswer(status, body, leaving)):
                self.observe(
                    SendSucceeded(action.send_id, status, body, action.send_id, True, elapsed_s)
                )
                if leaving:
                    self.observe(TargetLeaving(action.target))
            case RefusedBeforeRun(reason, leaving=leaving):
                self.observe(SendRefused(action.send_id, _translate_refusal(reason)))
                if leaving:
                    self.observe(TargetLeaving(action.target))
            case Failed(bytes_sent):
                self.observe(SendFailed(action.send_id, bytes_sent))

    def _execute_at_target(
        self, action: SendToTarget, request: ForwardRequest, vm: VmInfo, started_s: float
    ) -> PlatformOutcome[TargetAnswer]:
        # The call may have waited for a thread, so the target gets the remaining time only.
        budget_s = action.remaining_ms / 1000 - (time.monotonic() - started_s)
        return self.context.clients.target.execute(
            vm.address,
            vm.connections_count,
            action.epoch,
            TargetRequest(
                request_id=action.send_id, body=request.body, kind=request.kind, key=request.key
            ),
            budget_s,
        )

    async def _forward_to_peer(
        self,
        send_id: str,
        request_id: str,
        incarnation: str,
        remaining_ms: int,
        asks_key_holder: bool,
    ) -> None:
        pending = self._pending.get(request_id)
        address = await self.membership.find_address(incarnation)
        if pending is None or address is None:
            detail = f"no entry VM answers for incarnation {incarnation}"
            code = ResultCode.KEY_HOLDER_GONE if asks_key_holder else ResultCode.NO_TARGET
            self.observe(ForwardAnswered(send_id, _unreachable_outcome(code, detail)))
            return
        message = attrs.evolve(
            pending.request,
            request_id=send_id,
            deadline_ms=remaining_ms,
            execute_issued_key=asks_key_holder,
        )
        answer = await self.context.call(address, message, remaining_ms / 1000)
        match answer:
            case RequestAnswer():
                outcome = _decode_answer(send_id, answer)
            case Unreachable(detail) | CallRefused(detail):
                code = ResultCode.KEY_HOLDER_GONE if asks_key_holder else ResultCode.NO_TARGET
                outcome = _unreachable_outcome(code, detail)
            case _:
                detail = f"entry VM {incarnation} did not answer"
                outcome = OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, detail)
        self.observe(ForwardAnswered(send_id, outcome))

    async def _claim_key(self, request_id: str, customer: str, key: str, digest: bytes) -> None:
        record = KeyClaimed(customer, key, self.context.incarnation, digest.hex(), time.time())
        offset = await self.stream.append(record, KEY_CLAIM_TIMEOUT_S)
        if isinstance(offset, int):
            await self.stream.wait_until_read_past(offset, KEY_CLAIM_TIMEOUT_S)
        # If the claim was read back, the router has resolved it and ignores this event.
        self.observe(KeyClaimUnconfirmed(request_id))


def _translate_refusal(reason: RefusalReason) -> SendRefusalReason:
    match reason:
        case RefusalReason.STALE_EPOCH:
            return SendRefusalReason.STALE_EPOCH
        case RefusalReason.NOT_RUN:
            return SendRefusalReason.NOT_RUN
        case _:
            return SendRefusalReason.CONNECT


def _unreachable_outcome(code: ResultCode, detail: str) -> Outcome:
    if describe_code(code).code_class is CodeClass.UNKNOWN:
        return OutcomeUnknown(code, detail)
    return NotRun(code, detail)


def _encode_outcome(request_id: str, outcome: Outcome) -> RequestAnswer:
    match outcome:
        case Completed(body, status, code):
            digest = hashlib.sha256(body).hexdigest()
            return RequestAnswer(
                request_id=request_id, code=code, status=status, body=body, digest=digest
            )
        case NotRun(code, detail) | OutcomeUnknown(code, detail):
            return RequestAnswer(request_id=request_id, code=code, detail=detail)


def _decode_answer(request_id: str, answer: RequestAnswer) -> Outcome:
    digest_ok = answer.digest == hashlib.sha256(answer.body).hexdigest()
    code = ResultCode(answer.code)
    code_class = describe_code(code).code_class
    if answer.request_id != request_id or (code_class is CodeClass.COMPLETED and not digest_ok):
        detail = "the answer of the peer belongs to another request or has a wrong digest"
        return OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, detail)
    if code_class is CodeClass.COMPLETED:
        return Completed(answer.body, answer.status, code)
    if code_class is CodeClass.UNKNOWN:
        return OutcomeUnknown(code, answer.detail)
    return NotRun(code, answer.detail)
