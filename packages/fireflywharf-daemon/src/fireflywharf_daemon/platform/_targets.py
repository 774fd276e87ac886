"""Client for targets."""

import hashlib
import time

import attrs

from fireflywharf_core.platform import ClaimAnswer, TargetStatus

from ._exchange import HttpRequest, HttpResponse
from ._json_calls import STATUS_CONFLICT, call_json
from ._outcomes import (
    Failed,
    FailureReason,
    PlatformOutcome,
    RefusalReason,
    RefusedBeforeRun,
    Success,
)
from ._pool import PoolSet

# Connections reserved for claims and status calls, so that renewals do not wait for requests.
CONTROL_CONNECTIONS_COUNT = 2
STATUS_UNAVAILABLE = 503


@attrs.frozen(slots=True, kw_only=True)
class TargetRequest:
    """A request to a target.

    Args:
        request_id: identifier of this send; the response must echo it.
        body: request body.
        kind: kind of the request, or empty.
        key: idempotency key of the caller, or empty.
    """

    request_id: str
    body: bytes
    kind: str = ""
    key: str = ""


@attrs.frozen(slots=True)
class TargetAnswer:
    """A complete response whose request id and digest match.

    Args:
        status: HTTP status; 400 and above means that the target ran the request and failed.
        body: complete response body.
        leaving: whether the response announced that the target is leaving.
    """

    status: int
    body: bytes
    leaving: bool = False


class TargetClient:
    """Calls targets by address.

    Args:
        timeout_s: time limit of a claim, release or status call.
        connect_timeout_s: time limit of a connection attempt.
        idle_max_s: time after which an idle connection is closed.
        answer_max_bytes: largest accepted response body.
    """

    def __init__(
        self,
        timeout_s: float = 2.0,
        connect_timeout_s: float = 1.0,
        idle_max_s: float = 10.0,
        answer_max_bytes: int = 1_048_576,
    ) -> None:
        self.timeout_s = timeout_s
        self.connect_timeout_s = connect_timeout_s
        self.idle_max_s = idle_max_s
        self.answer_max_bytes = answer_max_bytes
        self._control_pools = PoolSet(CONTROL_CONNECTIONS_COUNT, connect_timeout_s, idle_max_s)
        self._request_pools = PoolSet(1, connect_timeout_s, idle_max_s)

    def execute(
        self,
        address: str,
        connections_count: int,
        epoch: int,
        request: TargetRequest,
        budget_s: float,
        read_timeout_s: float | None = None,
    ) -> PlatformOutcome[TargetAnswer]:
        """Send a request and wait for its complete response.

        Args:
            address: `ip:port` of the target.
            connections_count: connections that the target accepts.
            epoch: epoch of the holder lease on the target.
            request: request to send.
            budget_s: time until the deadline of the request.
            read_timeout_s: longest time without a received byte; None to wait until the deadline.

        Returns:
            The validated response; a refusal if the target did not start the request; or the
            failure if the request may have run.
        """
        request_connections_count = max(1, connections_count - CONTROL_CONNECTIONS_COUNT)
        deadline_s = time.monotonic() + budget_s
        headers = {
            "Content-Type": "application/octet-stream",
            "X-Request-Id": request.request_id,
            "X-Epoch": str(epoch),
            "X-Deadline-Ms": str(max(1, int(budget_s * 1000))),
            "X-Kind": request.kind,
            "X-Request-Key": request.key,
        }
        return self._request_pools.get(address, request_connections_count).send(
            HttpRequest(
                method="POST",
                path="/v1/execute",
                body=request.body,
                headers={name: value for name, value in headers.items() if value},
                deadline_s=deadline_s,
                read_timeout_s=read_timeout_s,
                answer_max_bytes=self.answer_max_bytes,
            ),
            lambda result: _check_answer(address, request, result),
        )

    def claim(self, address: str, holder: str, ttl_s: float) -> PlatformOutcome[ClaimAnswer]:
        """Claim or renew the holder lease; `granted` tells whether the caller holds it."""
        data = {"holder": holder, "ttl_s": ttl_s}
        pool = self._control_pools.get(address)
        return call_json(pool, "POST", "/v1/claim", ClaimAnswer, self.timeout_s, data)

    def release(self, address: str, epoch: int) -> PlatformOutcome[None]:
        """Release the holder lease."""
        pool = self._control_pools.get(address)
        return call_json(pool, "POST", "/v1/release", None, self.timeout_s, {"epoch": epoch})

    def status(self, address: str) -> PlatformOutcome[TargetStatus]:
        """Read the boot id and the requests in progress."""
        pool = self._control_pools.get(address)
        return call_json(pool, "GET", "/v1/status", TargetStatus, self.timeout_s)

    def close_all_except(self, addresses: set[str]) -> None:
        """Close the connections to all other addresses."""
        self._control_pools.close_all_except(addresses)
        self._request_pools.close_all_except(addresses)

    def close(self) -> None:
        """Close all connections."""
        self.close_all_except(set())


def _check_answer(
    address: str, request: TargetRequest, result: HttpResponse
) -> Success[TargetAnswer] | RefusedBeforeRun | Failed:
    """Return the outcome of a response after checking its request id and digest."""
    echoed_id = result.headers.get("X-Request-Id", "")
    if echoed_id != request.request_id:
        detail = f"{address} answered request {echoed_id[:80]!r} instead of {request.request_id}"
        return Failed(True, FailureReason.WRONG_REQUEST_ID, detail, result.status)
    if result.headers.get("X-Digest", "").lower() != hashlib.sha256(result.body).hexdigest():
        detail = f"{address} answered with a body that does not match its digest"
        return Failed(True, FailureReason.WRONG_DIGEST, detail, result.status)
    leaving = result.headers.get("X-Leaving") == "1"
    if result.status == STATUS_CONFLICT:
        detail = f"{address} rejected the epoch as stale"
        return RefusedBeforeRun(RefusalReason.STALE_EPOCH, detail, leaving)
    if result.status == STATUS_UNAVAILABLE and result.headers.get("X-Not-Run") == "1":
        detail = f"{address} did not start the request"
        return RefusedBeforeRun(RefusalReason.NOT_RUN, detail, leaving)
    return Success(TargetAnswer(result.status, result.body, leaving))
