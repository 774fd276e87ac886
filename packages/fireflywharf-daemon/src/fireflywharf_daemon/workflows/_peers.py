"""Messages between the daemons of different VMs.

The messages only save time: their content is also in the journal, or is requested again if it is
lost.
"""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable, Mapping, Sequence

import attrs
import msgspec
from aiohttp import web

from fireflywharf_core.workflows import ApprovalReceived, StepName, VmPresent

from ._approvals import ApprovalQueue
from ._forwarding import CALLS_PATH, CallMessage, TakenCalls
from ._http import Answer, HttpClient
from ._interfaces import ApprovalGranted, LogRecord

_LOG = logging.getLogger(__name__)

_APPROVALS_PATH = "/approvals"
_JOURNAL_PATH = "/journal"
_TICKETS_PATH = "/tickets"
_MESSAGE_TIMEOUT_S = 1.0
"""Timeout of a one-way message; a later delivery would be of no use."""
_APPROVAL_TIMEOUT_S = 4.0
"""Timeout of a request to a peer; covers its queue, one request and the network delay."""
_PEERS_MAX = 3
"""Maximum number of VMs that are tried for one request.

After a power failure, most VMs refuse connections for some seconds. If their requests all waited
at this VM, the last ones would be answered after half a minute."""
_REFUSAL_MAX_S = 1.0
"""Time after which a request that got no answer is not sent to another VM."""
_SHORT_LANE_STRIDE = 6
"""One in this many VMs of a failure domain sends short requests."""
_PEER_PAUSE_S = 5.0
"""Time for which a peer that did not answer gets no further requests."""
_REMOTE_ROUND_TRIP_MS = 25.0
"""Cost of a round trip to another failure domain when the load of VMs is compared."""
_LOCAL_ROUND_TRIP_MS = 3.0
"""Cost of a round trip to another VM of the same failure domain."""
MESSAGE_MAX_BYTES = 1 << 16
_MALFORMED = (msgspec.DecodeError, RecursionError)
"""Errors of a message that cannot be decoded; the second one if it is nested too deeply."""


@attrs.frozen(slots=True)
class ApprovalRequest:
    """Asks a peer to send a request to the approval service."""

    job_id: str
    occurrence: int
    step: int
    worker_ids: list[str]
    cost_ms: float


@attrs.frozen(slots=True)
class ApprovalReply:
    """Answer of a peer; without tickets and validity if the service gave no usable answer."""

    tickets: dict[str, str]
    validity_s: float


@attrs.frozen(slots=True)
class RecordMessage:
    """Notifies of a record that has just become durable."""

    offset: int
    key: str
    value: bytes


@attrs.frozen(slots=True)
class TicketsMessage:
    """Delivers the tickets of a step; `validity_s` counts from the arrival of the message."""

    job_id: str
    occurrence: int
    step: int
    tickets: dict[str, str]
    asked: list[str]
    validity_s: float


class PeerServer:
    """Serves the requests of other daemons.

    Args:
        queue: approval requests of this VM.
        on_record: called with each record that has just become durable.
        on_tickets: called with each set of tickets.
        taken_calls: serves the calls that peers forward; None if none are taken.
    """

    def __init__(
        self,
        queue: ApprovalQueue,
        on_record: Callable[[RecordMessage], None],
        on_tickets: Callable[[ApprovalReceived], None],
        taken_calls: TakenCalls | None = None,
    ) -> None:
        self._queue = queue
        self._on_record = on_record
        self._on_tickets = on_tickets
        self._taken_calls = taken_calls
        self._runner: web.ServerRunner | None = None

    async def open(self, host: str, port: int) -> None:
        """Start listening on an address."""
        self._runner = web.ServerRunner(web.Server(self._serve, access_log=None))
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port, reuse_address=True).start()

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        body = await request.read()
        try:
            match request.path:
                case path if path == _APPROVALS_PATH:
                    return await self._serve_approval(_decode(body, ApprovalRequest))
                case path if path == _JOURNAL_PATH:
                    self._on_record(_decode(body, RecordMessage))
                case path if path == _TICKETS_PATH:
                    self._on_tickets(_to_event(_decode(body, TicketsMessage)))
                case path if path == CALLS_PATH and self._taken_calls is not None:
                    return await self._taken_calls.serve(_decode(body, CallMessage))
                case _:
                    return web.Response(status=404)
        except _MALFORMED as error:
            return web.Response(status=400, text=str(error))
        return web.Response(status=204)

    async def _serve_approval(self, order: ApprovalRequest) -> web.Response:
        step = StepName(order.job_id, order.occurrence, order.step)
        granted = await self._queue.ask(step, order.worker_ids, order.cost_ms)
        if granted is None:
            return web.Response(status=503)
        reply = ApprovalReply(dict(granted.tickets), granted.validity_s)
        return web.Response(body=msgspec.msgpack.encode(reply))


def _decode(body: bytes, cls: type) -> object:
    return msgspec.msgpack.decode(body, type=cls)


def _to_event(message: TicketsMessage) -> ApprovalReceived:
    return ApprovalReceived(
        step=StepName(message.job_id, message.occurrence, message.step),
        tickets=message.tickets,
        asked=tuple(message.asked),
        expires_s=time.monotonic() + message.validity_s,
    )


class PeerClient:
    """Notifies other daemons of records and tickets.

    Args:
        http: client for the other VMs.
    """

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    async def send_record(self, address: str, offset: int, record: LogRecord) -> None:
        """Notify the daemon at `address` of a record that has just become durable."""
        message = RecordMessage(offset, record.key, record.value)
        await self._send(address, _JOURNAL_PATH, message)

    async def send_tickets(
        self, address: str, step: StepName, granted: ApprovalGranted, asked: Sequence[str]
    ) -> None:
        """Deliver tickets to the daemon at `address`."""
        message = TicketsMessage(
            step.job_id,
            step.occurrence,
            step.step,
            dict(granted.tickets),
            list(asked),
            granted.validity_s,
        )
        await self._send(address, _TICKETS_PATH, message)

    async def _send(self, address: str, path: str, message: object) -> None:
        result = await self._http.call(
            "POST",
            f"http://{address}{path}",
            timeout_s=_MESSAGE_TIMEOUT_S,
            body=msgspec.msgpack.encode(message),
        )
        if not isinstance(result, Answer):
            _LOG.info("message to peer failed", extra={"peer": address, "reason": result.reason})


def vms_for_requests(vms: Mapping[str, VmPresent], short: bool) -> frozenset[str]:
    """Return the names of the VMs that send short requests, or of those that send long ones."""
    domains: dict[str, list[str]] = {}
    for name in sorted(vms):
        domains.setdefault(vms[name].domain, []).append(name)
    return frozenset(
        name
        for names in domains.values()
        for index, name in enumerate(names)
        if len(names) == 1 or (index % _SHORT_LANE_STRIDE == 0) == short
    )


class ApprovalBalancer:
    """Distributes approval requests over all VMs.

    The service processes the requests of a VM one at a time, and a request for a wide step takes
    fifty times as long as one for an urgent step. In each failure domain, the first VM and every
    sixth one after it send the short requests and the others send the long ones, so that no short
    request queues behind a long one. A VM that is alone in its domain sends both.

    Args:
        local: request queue of this VM.
        http: client for the other VMs.
        own_name: name of this VM.
        vms: returns the VMs of the deployment by name.
    """

    def __init__(
        self,
        local: ApprovalQueue,
        http: HttpClient,
        own_name: str,
        vms: Callable[[], Mapping[str, VmPresent]],
    ) -> None:
        self._local = local
        self._http = http
        self._own_name = own_name
        self._vms = vms
        self._rng = random.Random(own_name)
        self._outstanding_ms: dict[str, float] = {}
        self._skipped_until_s: dict[str, float] = {}

    @property
    def long_requests_vms_count(self) -> int:
        """Number of VMs that send long requests; at least 1."""
        return max(1, len(vms_for_requests(self._vms(), short=False)))

    async def ask(
        self, step: StepName, worker_ids: Sequence[str], cost_ms: float, *, short: bool
    ) -> ApprovalGranted | None:
        """Ask through the least loaded VM; None without a usable answer.

        If a peer refuses the request, the next one is tried. If it does not answer for long, the
        asker has to choose again, because the choice of workers is outdated by then.

        Args:
            step: the step.
            worker_ids: ids of the workers to ask about.
            cost_ms: expected duration of the request, in milliseconds.
            short: whether the request is a short one.
        """
        vms = dict(self._vms())
        limit_s = time.monotonic() + _REFUSAL_MAX_S
        for _ in range(_PEERS_MAX):
            name = self._choose_vm(vms, short)
            self._outstanding_ms[name] = self._outstanding_ms.get(name, 0.0) + cost_ms
            try:
                if name == self._own_name:
                    return await self._local.ask(step, worker_ids, cost_ms)
                address = vms[name].address
                granted = await self._ask_peer(name, address, step, worker_ids, cost_ms)
            finally:
                self._outstanding_ms[name] -= cost_ms
            if granted is not None or time.monotonic() > limit_s:
                return granted
            del vms[name]
        return None

    def _choose_vm(self, vms: Mapping[str, VmPresent], short: bool) -> str:
        now_s = time.monotonic()
        own = self._vms().get(self._own_name)
        usable = [name for name in vms if self._skipped_until_s.get(name, 0.0) <= now_s]
        chosen = vms_for_requests(vms, short)
        names = [name for name in usable if name in chosen] or usable
        if own is None or not names:
            return self._own_name

        def load_ms(name: str) -> tuple[float, float]:
            distance_ms = (
                _REMOTE_ROUND_TRIP_MS if vms[name].domain != own.domain else _LOCAL_ROUND_TRIP_MS
            )
            distance_ms *= name != self._own_name
            # All VMs choose among the same ones, each by its own requests, so ties are broken at
            # random.
            return self._outstanding_ms.get(name, 0.0) + distance_ms, self._rng.random()

        return min(names, key=load_ms)

    async def _ask_peer(
        self, name: str, address: str, step: StepName, worker_ids: Sequence[str], cost_ms: float
    ) -> ApprovalGranted | None:
        order = ApprovalRequest(step.job_id, step.occurrence, step.step, list(worker_ids), cost_ms)
        sent_s = time.monotonic()
        result = await self._http.call(
            "POST",
            f"http://{address}{_APPROVALS_PATH}",
            timeout_s=_APPROVAL_TIMEOUT_S,
            body=msgspec.msgpack.encode(order),
        )
        if isinstance(result, Answer) and result.status == 200:
            try:
                reply = msgspec.msgpack.decode(result.body, type=ApprovalReply)
                return ApprovalGranted(tickets=reply.tickets, validity_s=reply.validity_s)
            except _MALFORMED as error:
                _LOG.warning("answer of peer is malformed", extra={"reason": str(error)})
        if not isinstance(result, Answer):
            self._skipped_until_s[name] = time.monotonic() + _PEER_PAUSE_S
            _LOG.info(
                "peer does not answer",
                extra={
                    "peer": name,
                    "reason": result.reason,
                    "waited_ms": round((time.monotonic() - sent_s) * 1000),
                },
            )
        return None
