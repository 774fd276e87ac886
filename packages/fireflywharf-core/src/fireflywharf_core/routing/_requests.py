"""State of requests and of sends inside the router."""

from enum import Enum

import attrs


class RequestPhase(Enum):
    """Phase of a request: waiting for its claim, queued, sent or answered."""

    CLAIMING = "claiming"
    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"


class KeyKind(Enum):
    """Kind of the key of a request, which selects the table that detects repeats."""

    NONE = "none"
    ISSUED = "issued"
    CALLER = "caller"


@attrs.define(slots=True, eq=False, kw_only=True)
class Request:
    """An admitted request.

    Attributes:
        request_id: unique id.
        customer: name of the contract.
        service: service that answers.
        kind: kind of request.
        service_time_key: service, customer and kind, under which service times are learned.
        idempotent: whether the request may run more than once.
        key: key of the request; empty if none.
        digest: digest of service, kind and body.
        body_bytes: length of the body.
        forwarded: whether a peer accepted the request.
        arrived_s: time of arrival.
        deadline_at_s: time of the deadline.
        may_be_forwarded: whether this VM may forward the request to a peer.
        phase: phase of the request.
        key_kind: kind of the key that this VM executes; `NONE` if it executes none.
        key_number: number of an issued key.
        sends_count: sends so far.
        live_sends_count: sends in flight.
        may_have_run: whether a send may have taken effect.
        answered: whether the caller has its answer or is gone.
        last_destination: destination of the latest send.
        expected_service_s: service time counted as waiting work and as used share.
    """

    request_id: str
    customer: str
    service: str
    kind: str
    service_time_key: tuple[str, str, str]
    idempotent: bool
    key: str
    digest: bytes
    body_bytes: int
    forwarded: bool
    arrived_s: float
    deadline_at_s: float
    may_be_forwarded: bool = True
    phase: RequestPhase = RequestPhase.QUEUED
    key_kind: KeyKind = KeyKind.NONE
    key_number: int = 0
    sends_count: int = 0
    live_sends_count: int = 0
    may_have_run: bool = False
    answered: bool = False
    last_destination: str = ""
    expected_service_s: float = 0.0


class SendRoute(Enum):
    """Where a send goes: to a target, to a peer or to the holder of the key."""

    TARGET = "target"
    PEER = "peer"
    KEY_HOLDER = "key_holder"


@attrs.define(slots=True, eq=False)
class Send:
    """A send in flight.

    Attributes:
        send_id: unique id.
        request: the request.
        route: kind of destination.
        destination: name of the target or incarnation of the peer.
        epoch: epoch of the target's lease; 0 for peers.
        sent_s: time of the send.
        is_probe: whether it probes an ejected target.
        is_long_kind: whether the request is of a long kind.
    """

    send_id: str
    request: Request
    route: SendRoute
    destination: str
    epoch: int
    sent_s: float
    is_probe: bool = False
    is_long_kind: bool = False
