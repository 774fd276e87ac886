"""JSON calls to platform services."""

import json
import time
from typing import Any, TypeVar

import msgspec

from ._exchange import HttpRequest, HttpResponse
from ._outcomes import (
    Failed,
    FailureReason,
    PlatformOutcome,
    RefusalReason,
    RefusedBeforeRun,
    Success,
)
from ._pool import ConnectionPool

Value = TypeVar("Value")

STATUS_OK = 200
STATUS_CONFLICT = 409
DETAIL_MAX_BYTES = 200


def call_json(
    pool: ConnectionPool,
    method: str,
    path: str,
    response_type: Any,
    timeout_s: float,
    data: Any = None,
) -> PlatformOutcome[Any]:
    """Call a JSON interface of the platform.

    Args:
        pool: connection pool of the service.
        method: HTTP method.
        path: path with query string.
        response_type: type of the response document; None to ignore the response body.
        timeout_s: time limit of the call.
        data: JSON-serializable request document; None for a request without a body.

    Returns:
        The decoded response; a refusal, which is `STALE_EPOCH` for status 409; or the failure.
    """
    body = None if data is None else json.dumps(data).encode("ascii")
    headers = {} if body is None else {"Content-Type": "application/json"}
    request = HttpRequest(
        method=method,
        path=path,
        body=body,
        headers=headers,
        deadline_s=time.monotonic() + timeout_s,
    )
    result = pool.send(request)
    if not isinstance(result, HttpResponse):
        return result
    if result.status != STATUS_OK:
        excerpt = result.body[:DETAIL_MAX_BYTES].decode("utf-8", "replace")
        detail = f"{pool.address}{path} answered HTTP status {result.status}: {excerpt}"
        if result.status == STATUS_CONFLICT:
            return RefusedBeforeRun(RefusalReason.STALE_EPOCH, detail)
        return Failed(True, FailureReason.ERROR_STATUS, detail, result.status)
    if response_type is None:
        return Success(None)
    try:
        return Success(msgspec.json.decode(result.body, type=response_type))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        detail = f"{pool.address}{path} answered invalid JSON: {error}"
        return Failed(True, FailureReason.MALFORMED, detail, result.status)
