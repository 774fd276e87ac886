"""Commands that the router returns to the daemon."""

import attrs

from ..results import Outcome


@attrs.frozen(slots=True)
class SendToTarget:
    """Send the request to a target.

    The header `X-Request-Id` carries `send_id`, so that two sends of one request differ in the
    target's list of requests in progress. Each send ends in exactly one event, `SendSucceeded`,
    `SendRefused` or `SendFailed`, also when `remaining_ms` have passed.
    """

    send_id: str
    request_id: str
    target: str
    epoch: int
    remaining_ms: int


@attrs.frozen(slots=True)
class ForwardToPeer:
    """Forward the request to a peer, which sends it to one of its targets without retries.

    `ForwardRequest.request_id` carries `send_id`, because the peer may be the entry VM that
    accepted the request: a key holder without targets forwards it back.
    """

    send_id: str
    request_id: str
    incarnation: str
    remaining_ms: int


@attrs.frozen(slots=True)
class AskKeyHolder:
    """Forward the request to the incarnation that executes the requests of its key.

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
    """Answer the caller or the forwarding peer; each request gets at most one answer."""

    request_id: str
    outcome: Outcome


@attrs.frozen(slots=True)
class PollTarget:
    """Poll the status of a target, to learn whether slots of failed sends are free."""

    name: str


Action = (
    SendToTarget | ForwardToPeer | AskKeyHolder | ClaimKey | RecordKeyOutcome | Answer | PollTarget
)
