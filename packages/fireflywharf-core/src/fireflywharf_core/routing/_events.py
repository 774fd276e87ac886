"""Events that the router observes; times are seconds of the caller's monotonic clock."""

from enum import Enum

import attrs

from ..contracts import Contract
from ..messages import ServiceSlots
from ..platform import TargetStatus, VmInfo
from ..records import KeyClaimed, KeyOutcome
from ..results import Outcome


class SendRefusalReason(Enum):
    """Why a target is known not to have started a request."""

    CONNECT = "connect refused"
    STALE_EPOCH = "stale epoch"
    NOT_RUN = "target answered not run"


@attrs.frozen(slots=True, kw_only=True)
class RequestArrived:
    """A request arrived in full from a caller or a peer.

    Args:
        request_id: unique id.
        customer: name of the contract.
        service: service that answers.
        kind: kind of request, under which service times are learned.
        idempotent: whether the request may run more than once.
        key: issued key or the caller's own key; empty if none.
        deadline_s: time left until the deadline; 0 selects the default of the contract.
        body_digest: SHA-256 of service, kind and body, to compare repeats of a key.
        body_bytes: length of the body.
        forwarded: whether a peer forwarded it; such a request is never retried here.
        sent_to_key_holder: whether the peer forwarded it because this VM executes the requests of
            its key (`ForwardRequest.execute_issued_key`).
    """

    request_id: str
    customer: str
    service: str
    kind: str
    idempotent: bool
    key: str = ""
    deadline_s: float = 0.0
    body_digest: bytes = b""
    body_bytes: int = 0
    forwarded: bool = False
    sent_to_key_holder: bool = False


@attrs.frozen(slots=True)
class TargetListed:
    """The VM list contains a target."""

    vm: VmInfo


@attrs.frozen(slots=True)
class TargetDelisted:
    """The VM list no longer contains a target."""

    name: str


@attrs.frozen(slots=True, kw_only=True)
class TargetLeaseGranted:
    """A claim or renewal of a listed target was granted; unlisted targets are ignored.

    Args:
        name: name of the target.
        epoch: granted epoch.
        in_progress: send ids of the requests that the target runs.
        boot_id: boot of the target.
        leaving: whether the target is leaving.
        lease_until_s: end of the lease less the holder's safety margin.
        asked_s: time just before the claim was sent.
    """

    name: str
    epoch: int
    in_progress: tuple[str, ...] = attrs.field(default=(), converter=tuple)
    boot_id: str = ""
    leaving: bool = False
    lease_until_s: float
    asked_s: float


@attrs.frozen(slots=True)
class TargetLeaseLost:
    """The lease of a target expired, was released or was refused."""

    name: str


@attrs.frozen(slots=True)
class TargetStatusReceived:
    """A target answered a status poll that was sent at `asked_s`."""

    name: str
    status: TargetStatus
    asked_s: float


@attrs.frozen(slots=True)
class TargetLeaving:
    """A target reported in an answer or renewal that it is leaving."""

    name: str


@attrs.frozen(slots=True)
class PeerSlotsReported:
    """A peer reported its slots in a `Heartbeat` or `DomainDigest`.

    Args:
        incarnation: incarnation of the sender.
        domain: failure domain of the sender.
        region: region of the sender.
        slots: free and total slots by service.
        draining: whether the sender accepts nothing new.
    """

    incarnation: str
    domain: str
    region: str
    slots: tuple[ServiceSlots, ...] = attrs.field(converter=tuple)
    draining: bool = False


@attrs.frozen(slots=True)
class PeerLost:
    """A peer is believed to have stopped."""

    incarnation: str


@attrs.frozen(slots=True)
class SendSucceeded:
    """A complete answer arrived from a target.

    Args:
        send_id: id of the send.
        status: HTTP status.
        body: body of the answer.
        request_id: `X-Request-Id` of the answer; a valid answer repeats `send_id`.
        digest_ok: whether `X-Digest` matches the body.
        elapsed_s: time since the send.
    """

    send_id: str
    status: int
    body: bytes
    request_id: str
    digest_ok: bool
    elapsed_s: float


@attrs.frozen(slots=True)
class SendRefused:
    """The destination is known not to have started the request."""

    send_id: str
    reason: SendRefusalReason = SendRefusalReason.CONNECT


@attrs.frozen(slots=True)
class SendFailed:
    """The send ended without a complete valid answer.

    Args:
        send_id: id of the send.
        any_bytes_sent: whether any byte of the request was written.
        complete: whether the target answered in full, but with an unusable answer.
    """

    send_id: str
    any_bytes_sent: bool
    complete: bool = False


@attrs.frozen(slots=True)
class ForwardAnswered:
    """A peer answered a forwarded request, also one that was sent to the holder of its key."""

    send_id: str
    outcome: Outcome


@attrs.frozen(slots=True)
class KeyClaimRead:
    """A claim was read from stream `keys`; claims must come in log order."""

    record: KeyClaimed


@attrs.frozen(slots=True)
class KeyOutcomeRead:
    """An outcome was read from stream `keys`; outcomes must come in log order."""

    record: KeyOutcome


@attrs.frozen(slots=True)
class KeyClaimWon:
    """The claim for this request was read back and is the first of its key."""

    request_id: str


@attrs.frozen(slots=True)
class KeyClaimLost:
    """The claim of another incarnation, `winner`, is the first of the key."""

    request_id: str
    winner: str


@attrs.frozen(slots=True)
class KeyClaimUnconfirmed:
    """The log did not confirm the claim for this request."""

    request_id: str


@attrs.frozen(slots=True)
class ContractChanged:
    """A contract came into force; `contract` is None if it was removed."""

    customer: str
    contract: Contract | None


@attrs.frozen(slots=True)
class DrainStarted:
    """This entry VM admits no more requests."""


@attrs.frozen(slots=True)
class CallerDisconnected:
    """The caller of a request closed its connection."""

    request_id: str


Event = (
    RequestArrived
    | TargetListed
    | TargetDelisted
    | TargetLeaseGranted
    | TargetLeaseLost
    | TargetStatusReceived
    | TargetLeaving
    | PeerSlotsReported
    | PeerLost
    | SendSucceeded
    | SendRefused
    | SendFailed
    | ForwardAnswered
    | KeyClaimRead
    | KeyOutcomeRead
    | KeyClaimWon
    | KeyClaimLost
    | KeyClaimUnconfirmed
    | ContractChanged
    | DrainStarted
    | CallerDisconnected
)
