"""Commands that the router returns."""

import attrs

from ..results import Outcome


@attrs.frozen(slots=True)
class SendToTarget:
    """Send the request to a target.

    The header `X-Request-Id` carries `send_id`, because two sends of one request must be told apart
    in the list of requests in progress. Each send ends in exactly one event: `SendSucceeded`,
    `SendRefused` or `SendFailed`, also after `remaining_ms`.
    """

    send_id: str
    request_id: str
    target: str
    epoch: int
    remaining_ms: int


@attrs.frozen(slots=True)
class ForwardToPeer:
    """Let a peer execute the request at one of its targets, without retry by the peer.

    `ForwardRequest.request_id` carries `send_id`, because the peer may be the entry VM that
    accepted the request: the holder of its key may have no target and forward it back.
    """

    send_id: str
    request_id: str
    incarnation: str
    remaining_ms: int


@attrs.frozen(slots=True)
class AskKeyHolder:
    """Forward the request to the incarnation that decides for its key.

    The `ForwardRequest` has `execute_issued_key` set, and its `request_id` carries `send_id`.
    """

    send_id: str
    request_id: str
    incarnation: str
    remaining_ms: int


@attrs.frozen(slots=True)
class ClaimKey:
    """Append a `KeyClaimed`, whose `request_digest` is `digest.hex()`, and read it back."""

    request_id: str
    customer: str
    key: str
    digest: bytes


@attrs.frozen(slots=True)
class RecordKeyOutcome:
    """Append a `KeyOutcome` to stream `keys`; `body` is None when it is too long to keep."""

    customer: str
    key: str
    code: int
    status: int
    body: bytes | None


@attrs.frozen(slots=True)
class Answer:
    """Answer the caller or the forwarding peer; there is one per request."""

    request_id: str
    outcome: Outcome


@attrs.frozen(slots=True)
class PollTarget:
    """Ask a target for its status; slots of failed sends wait for it."""

    name: str


Action = (
    SendToTarget | ForwardToPeer | AskKeyHolder | ClaimKey | RecordKeyOutcome | Answer | PollTarget
)
