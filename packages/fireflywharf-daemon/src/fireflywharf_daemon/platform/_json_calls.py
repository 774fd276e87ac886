"""JSON calls to the platform."""

import json
import time
from typing import Any, TypeVar

import msgspec

from ._exchange import HttpRequest, HttpResult
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
    answer_type: Any,
    timeout_s: float,
    data: Any = None,
) -> PlatformOutcome[Any]:
    """Call a JSON interface of the platform.

    Args:
        pool: connections to the service.
        method: HTTP method.
        path: path with query.
        answer_type: type of the answer; None for an answer that is not read.
        timeout_s: time limit of the call.
        data: document to send, or None.

    Returns:
        The typed answer; a refusal, among them status 409 as a stale epoch; or the failure.
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
    result = pool.run(request)
    if not isinstance(result, HttpResult):
        return result
    if result.status != STATUS_OK:
        shown = result.body[:DETAIL_MAX_BYTES].decode("utf-8", "replace")
        detail = f"{pool.address}{path} answered {result.status}: {shown}"
        if result.status == STATUS_CONFLICT:
            return RefusedBeforeRun(RefusalReason.STALE_EPOCH, detail)
        return Failed(True, FailureReason.ERROR_STATUS, detail, result.status)
    if answer_type is None:
        return Success(None)
    try:
        return Success(msgspec.json.decode(result.body, type=answer_type))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        detail = f"{pool.address}{path} answered unreadable JSON: {error}"
        return Failed(True, FailureReason.MALFORMED, detail, result.status)
