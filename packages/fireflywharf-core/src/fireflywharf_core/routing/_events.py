"""Facts that the router observes; times are seconds of the caller's monotonic clock."""

from enum import Enum

import attrs

from ..contracts import Contract
from ..messages import ServiceSlots
from ..platform import TargetStatus, VmInfo
from ..records import KeyClaimed, KeyOutcome
from ..results import Outcome


class SendRefusalReason(Enum):
    """Why a target provably did not start a request."""

    CONNECT = "connect refused"
    STALE_EPOCH = "stale epoch"
    NOT_RUN = "target answered not run"


@attrs.frozen(slots=True, kw_only=True)
class RequestArrived:
    """A request was read in full from a caller or from a peer.

    Args:
        request_id: unique id.
        customer: name of the contract.
        service: service that answers.
        kind: kind of request, for learned times.
        idempotent: whether it may run more than once.
        key: issued key or caller's own key; empty if none.
        deadline_s: remaining time; 0 stands for the default of the contract.
        body_digest: SHA-256 of service, kind and body, for repeats of a key.
        body_bytes: length of the body.
        forwarded: whether a peer accepted it; such a request is never retried here.
        sent_to_key_holder: whether the peer forwarded it because this VM decides for its key
            (`ForwardRequest.execute_issued_key`).
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
    """A row of the VM list."""

    vm: VmInfo


@attrs.frozen(slots=True)
class TargetDelisted:
    """The VM list no longer has the target."""

    name: str


@attrs.frozen(slots=True, kw_only=True)
class TargetLeaseGranted:
    """A claim or renewal of a target was granted that `TargetListed` has named before.

    Args:
        name: name of the target.
        epoch: granted epoch.
        in_progress: ids that the target runs.
        boot_id: boot of the target.
        leaving: whether the target is leaving.
        lease_until_s: end of the lease as the holder counts it, with its margin.
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
    """The lease lapsed, was released or was refused."""

    name: str


@attrs.frozen(slots=True)
class TargetStatusReceived:
    """Answer to a status poll; `asked_s` is the time just before the poll was sent."""

    name: str
    status: TargetStatus
    asked_s: float


@attrs.frozen(slots=True)
class TargetLeaving:
    """The target said that it is leaving (answer header or renewal)."""

    name: str


@attrs.frozen(slots=True)
class PeerSlotsReported:
    """Slots at another entry VM, from its `Heartbeat` or `DomainDigest`.

    Args:
        incarnation: sender.
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
    """An incarnation is believed to be gone."""

    incarnation: str


@attrs.frozen(slots=True)
class SendSucceeded:
    """A complete answer arrived.

    Args:
        send_id: id of the action.
        status: HTTP status.
        body: body of the answer.
        request_id: `X-Request-Id` of the answer, to be equal to `send_id`.
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
    """The target provably did not start the request."""

    send_id: str
    reason: SendRefusalReason = SendRefusalReason.CONNECT


@attrs.frozen(slots=True)
class SendFailed:
    """The send ended without a complete valid answer.

    Args:
        send_id: id of the action.
        any_bytes_sent: whether any byte of the request was written.
        complete: whether the target's answer ended in full but was unusable.
    """

    send_id: str
    any_bytes_sent: bool
    complete: bool = False


@attrs.frozen(slots=True)
class ForwardAnswered:
    """A peer answered a forwarded request or a question about a key."""

    send_id: str
    outcome: Outcome


@attrs.frozen(slots=True)
class KeyClaimRead:
    """A claim was read from stream `keys`, in log order."""

    record: KeyClaimed


@attrs.frozen(slots=True)
class KeyOutcomeRead:
    """An outcome was read from stream `keys`, in log order."""

    record: KeyOutcome


@attrs.frozen(slots=True)
class KeyClaimWon:
    """The claim for this request was read back as the first of its key."""

    request_id: str


@attrs.frozen(slots=True)
class KeyClaimLost:
    """Another incarnation's claim of the key is first."""

    request_id: str
    winner: str


@attrs.frozen(slots=True)
class KeyClaimUnconfirmed:
    """The log did not confirm the claim of this request."""

    request_id: str


@attrs.frozen(slots=True)
class ContractChanged:
    """A contract is in force; None removes it."""

    customer: str
    contract: Contract | None


@attrs.frozen(slots=True)
class DrainStarted:
    """This entry VM admits nothing more."""


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
