"""State of one request and of one send inside the router."""

from enum import Enum

import attrs


class Phase(Enum):
    """Where a request is."""

    CLAIMING = "claiming"
    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"


class KeyUse(Enum):
    """Which memory decides about repeats of the request."""

    NONE = "none"
    ISSUED = "issued"
    CALLER = "caller"


@attrs.define(slots=True, eq=False, kw_only=True)
class Request:
    """A request that was admitted; `maybe_ran` is set once a send may have taken effect."""

    request_id: str
    customer: str
    service: str
    kind: str
    time_key: tuple[str, str, str]
    idempotent: bool
    key: str
    digest: bytes
    body_bytes: int
    forwarded: bool
    arrived_s: float
    deadline_at_s: float
    may_forward: bool = True
    phase: Phase = Phase.QUEUED
    key_use: KeyUse = KeyUse.NONE
    key_number: int = 0
    sends_count: int = 0
    live_count: int = 0
    maybe_ran: bool = False
    answered: bool = False
    last_target: str = ""
    charged_s: float = 0.0


class Route(Enum):
    """Kind of a send."""

    TARGET = "target"
    PEER = "peer"
    KEY_HOLDER = "key_holder"


@attrs.define(slots=True, eq=False)
class Send:
    """A send that has not ended."""

    send_id: str
    request: Request
    route: Route
    destination: str
    epoch: int
    sent_s: float
    probe: bool = False
    long: bool = False
