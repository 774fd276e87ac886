"""Execution of interactive requests: the router core, targets, peers and request keys."""

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
    KeyClaimSeen,
    KeyClaimUnavailable,
    KeyOutcomeSeen,
    PeerGone,
    PeerSlots,
    PollTarget,
    RecordKeyOutcome,
    RefusedBy,
    RequestArrived,
    RequestRouter,
    RoutingPolicy,
    SendFailed,
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
from ._tasks import TaskGroup

_LOG = logging.getLogger(__name__)
KEY_CLAIM_TIMEOUT_S = 3.0


@attrs.define(slots=True)
class _Accepted:
    """A request that waits for its outcome."""

    request: ForwardRequest
    on_outcome: Callable[[Outcome], None]
    arrived_s: float
    first_send_s: float | None = None


class RequestService(StreamListener):
    """Runs the router core of this entry VM.

    Args:
        context: shared parts.
        membership: other entry VMs.
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
        self.tasks = TaskGroup()
        self.targets = TargetService(context, membership, self.observe)
        self.stream: LogStream | None = None
        self._accepted: dict[str, _Accepted] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._pump_planned = False

    # Callers and peers.

    async def execute(self, asked: ExecuteRequest) -> RequestResult:
        """Execute a request of a caller and wait for its outcome."""
        request = ForwardRequest(
            request_id=f"r-{uuid.uuid4().hex}",
            customer=asked.customer,
            service=asked.service,
            kind=asked.kind,
            idempotent=asked.idempotent,
            key=asked.key,
            deadline_ms=asked.deadline_ms or 0,
            body=asked.body,
        )
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Outcome] = loop.create_future()

        def done(outcome: Outcome) -> None:
            if not future.done():
                future.set_result(outcome)

        self._arrive(request, done, forwarded=False, decides_key=False)
        outcome = await future
        self.context.metrics.count_request(request.service, outcome)
        return RequestResult(request.request_id, outcome)

    def take_forwarded(self, call: IncomingCall) -> None:
        """Execute a request of a peer; the answer is sent when its outcome is known."""
        request: ForwardRequest = call.message
        remaining_ms = int((call.deadline_s - time.monotonic()) * 1000)
        request = attrs.evolve(request, deadline_ms=max(1, min(request.deadline_ms, remaining_ms)))
        if request.request_id in self._accepted:
            call.fail()
            return
        self._arrive(
            request,
            lambda outcome: call.reply(_to_message(request.request_id, outcome)),
            forwarded=True,
            decides_key=request.execute_issued_key,
        )

    def _arrive(
        self,
        request: ForwardRequest,
        on_outcome: Callable[[Outcome], None],
        forwarded: bool,
        decides_key: bool,
    ) -> None:
        self._accepted[request.request_id] = _Accepted(request, on_outcome, self.context.now_s())
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
                decides_key=decides_key,
            )
        )

    # Facts from other components.

    def observe(self, event: Event) -> None:
        """Give an event to the router and execute what follows soon after."""
        self.router.observe(event, self.context.now_s())
        if not self._pump_planned:
            self._pump_planned = True
            asyncio.get_running_loop().call_soon(self._pump)

    def set_contract(self, contract: Contract) -> None:
        """Take a contract that is in force."""
        self.observe(ContractChanged(contract.customer, contract))

    def set_listed(self, vms: list[VmInfo]) -> None:
        """Take the VM list."""
        self.targets.set_listed(vms)

    def take_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take the free slots of a peer of the domain."""
        self.observe(
            PeerSlots(
                heartbeat.incarnation,
                heartbeat.domain,
                self.context.settings.vm.region,
                heartbeat.slots,
                heartbeat.draining,
            )
        )

    def take_digest(self, digest: DomainDigest) -> None:
        """Take the free slots of another domain."""
        self.observe(PeerSlots(digest.incarnation, digest.domain, digest.region, digest.slots))

    def peer_gone(self, incarnation: str) -> None:
        """Stop forwarding to a peer."""
        self.observe(PeerGone(incarnation))

    def start_drain(self) -> None:
        """Admit nothing more."""
        self.observe(DrainStarted())

    def fold_record(self, row: ReadRecord) -> None:
        """Fold one record of stream `keys`."""
        match row.record:
            case KeyClaimed():
                self.observe(KeyClaimSeen(row.record))
            case KeyOutcome():
                self.observe(KeyOutcomeSeen(row.record))

    # Execution of actions.

    def _pump(self) -> None:
        self._pump_planned = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        with self.context.metrics.time_decision("router"):
            actions = self.router.decide(self.context.now_s())
        for action in actions:
            self._execute(action)
        wakeup_s = self.router.next_wakeup_s()
        if wakeup_s is not None:
            delay_s = max(0.001, wakeup_s - self.context.now_s())
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._pump)

    def _execute(self, action: Action) -> None:
        match action:
            case SendToTarget():
                self.tasks.spawn(self._send(action))
            case ForwardToPeer(send_id, request_id, incarnation, remaining_ms):
                self.tasks.spawn(
                    self._forward(send_id, request_id, incarnation, remaining_ms, False)
                )
            case AskKeyHolder(send_id, request_id, incarnation, remaining_ms):
                self.tasks.spawn(
                    self._forward(send_id, request_id, incarnation, remaining_ms, True)
                )
            case ClaimKey(request_id, customer, key, digest):
                self.tasks.spawn(self._claim_key(request_id, customer, key, digest))
            case RecordKeyOutcome(customer, key, code, status, body):
                self.stream.submit(KeyOutcome(customer, key, code, status, body))
            case PollTarget(name):
                self.targets.poll(name)
            case Answer(request_id, outcome):
                accepted = self._accepted.pop(request_id, None)
                if accepted is not None:
                    self._count(accepted)
                    accepted.on_outcome(outcome)

    def _count(self, accepted: _Accepted) -> None:
        """Observe the times of a request that was sent."""
        if accepted.first_send_s is not None:
            wait_s = accepted.first_send_s - accepted.arrived_s
            total_s = self.context.now_s() - accepted.arrived_s
            self.context.metrics.observe_request_times(accepted.request.kind, wait_s, total_s)

    async def _send(self, action: SendToTarget) -> None:
        accepted = self._accepted.get(action.request_id)
        vm = self.targets.vms.get(action.target)
        if accepted is None or vm is None:
            self.observe(SendRefused(action.send_id, RefusedBy.CONNECT))
            return
        request = accepted.request
        started_s = self.context.now_s()
        if accepted.first_send_s is None:
            accepted.first_send_s = started_s
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
                self.observe(SendRefused(action.send_id, _refused_by(reason)))
                if leaving:
                    self.observe(TargetLeaving(action.target))
            case Failed(bytes_sent):
                self.observe(SendFailed(action.send_id, bytes_sent))

    def _execute_at_target(
        self, action: SendToTarget, request: ForwardRequest, vm: VmInfo, started_s: float
    ) -> PlatformOutcome[TargetAnswer]:
        # The pool can delay the call; what is left of the deadline goes to the target.
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

    async def _forward(
        self, send_id: str, request_id: str, incarnation: str, remaining_ms: int, ask_holder: bool
    ) -> None:
        accepted = self._accepted.get(request_id)
        address = await self.membership.find(incarnation)
        if accepted is None or address is None:
            detail = f"entry VM {incarnation} is not known"
            code = ResultCode.KEY_HOLDER_GONE if ask_holder else ResultCode.NO_TARGET
            self.observe(ForwardAnswered(send_id, _unreached(code, detail)))
            return
        message = attrs.evolve(
            accepted.request,
            request_id=send_id,
            deadline_ms=remaining_ms,
            execute_issued_key=ask_holder,
        )
        answer = await self.context.call(address, message, remaining_ms / 1000)
        match answer:
            case RequestAnswer():
                outcome = _from_message(send_id, answer)
            case Unreachable(detail) | CallRefused(detail):
                code = ResultCode.KEY_HOLDER_GONE if ask_holder else ResultCode.NO_TARGET
                outcome = _unreached(code, detail)
            case _:
                detail = f"entry VM {incarnation} did not answer"
                outcome = OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, detail)
        self.observe(ForwardAnswered(send_id, outcome))

    async def _claim_key(self, request_id: str, customer: str, key: str, digest: bytes) -> None:
        record = KeyClaimed(customer, key, self.context.incarnation, digest.hex(), time.time())
        offset = await self.stream.append(record, KEY_CLAIM_TIMEOUT_S)
        if isinstance(offset, int):
            await self.stream.read_past(offset, KEY_CLAIM_TIMEOUT_S)
        # After the read-back the router has resolved the claim, and this event changes nothing.
        self.observe(KeyClaimUnavailable(request_id))


def _refused_by(reason: RefusalReason) -> RefusedBy:
    match reason:
        case RefusalReason.STALE_EPOCH:
            return RefusedBy.STALE_EPOCH
        case RefusalReason.NOT_RUN:
            return RefusedBy.NOT_RUN
        case _:
            return RefusedBy.CONNECT


def _unreached(code: ResultCode, detail: str) -> Outcome:
    if describe_code(code).code_class is CodeClass.UNKNOWN:
        return OutcomeUnknown(code, detail)
    return NotRun(code, detail)


def _to_message(request_id: str, outcome: Outcome) -> RequestAnswer:
    match outcome:
        case Completed(body, status, code):
            digest = hashlib.sha256(body).hexdigest()
            return RequestAnswer(
                request_id=request_id, code=code, status=status, body=body, digest=digest
            )
        case NotRun(code, detail) | OutcomeUnknown(code, detail):
            return RequestAnswer(request_id=request_id, code=code, detail=detail)


def _from_message(request_id: str, answer: RequestAnswer) -> Outcome:
    digest_ok = answer.digest == hashlib.sha256(answer.body).hexdigest()
    code = ResultCode(answer.code)
    code_class = describe_code(code).code_class
    if answer.request_id != request_id or (code_class is CodeClass.COMPLETED and not digest_ok):
        detail = "the answer of a peer belongs to another request or is incomplete"
        return OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, detail)
    if code_class is CodeClass.COMPLETED:
        return Completed(answer.body, answer.status, code)
    if code_class is CodeClass.UNKNOWN:
        return OutcomeUnknown(code, answer.detail)
    return NotRun(code, answer.detail)
