"""Serialization of typed answers to JSON."""

import http.client
import json
import math
from typing import Any

import attrs
import msgspec

from fireflywharf_core.results import (
    Completed,
    NotRun,
    OutcomeUnknown,
    ResultCode,
    describe_code,
)

from ._service import (
    CallerError,
    JobStatus,
    RequestResult,
    SubmittedJob,
    VersionConflict,
    VmListing,
)


@attrs.frozen(slots=True)
class HttpAnswer:
    """HTTP answer with a JSON body.

    Args:
        code: result code.
        status: HTTP status code.
        headers: header fields, with `Content-Length`.
        body: encoded JSON document.
    """

    code: ResultCode
    status: int
    headers: list[tuple[str, str]]
    body: bytes

    @property
    def status_line(self) -> str:
        """HTTP status code with its reason phrase."""
        return f"{self.status} {http.client.responses.get(self.status, 'Status')}"


def json_answer(code: ResultCode, fields: dict[str, Any], retry_after_s: float = 0.0) -> HttpAnswer:
    """Return an answer with the common fields and `fields`.

    Args:
        code: result code, which determines the common fields and the HTTP status.
        fields: further fields of the document.
        retry_after_s: time after which a retry can succeed, in seconds; omitted if zero.
    """
    info = describe_code(code)
    document: dict[str, Any] = {
        "code": int(code),
        "name": code.name,
        "class": info.code_class.value,
    }
    document.update(fields)
    headers = [("Content-Type", "application/json")]
    if retry_after_s > 0:
        document["retry_after_s"] = retry_after_s
        headers.append(("Retry-After", str(math.ceil(retry_after_s))))
    body = json.dumps(document).encode("ascii")
    headers.append(("Content-Length", str(len(body))))
    return HttpAnswer(code, info.http_status, headers, body)


def error_answer(error: CallerError) -> HttpAnswer:
    """Return the HTTP answer for a refused or failed call."""
    problems = [
        {"field": problem.field, "value": problem.value, "accepted": problem.accepted}
        for problem in error.problems
    ]
    fields = {"detail": error.detail, "problems": problems}
    return json_answer(error.code, fields, error.retry_after_s)


def _request_answer(result: RequestResult) -> HttpAnswer:
    fields: dict[str, Any] = {"request_id": result.request_id}
    match result.outcome:
        case Completed(body, status, code):
            text = body.decode("utf-8", "backslashreplace")
            return json_answer(code, fields | {"status": status, "body": text})
        case NotRun(code, detail, retry_after_s):
            return json_answer(code, fields | {"detail": detail, "problems": []}, retry_after_s)
        case OutcomeUnknown(code, detail):
            return json_answer(code, fields | {"detail": detail, "problems": []})


def _omit_fields(fields: dict[str, Any], *names: str) -> dict[str, Any]:
    return {name: value for name, value in fields.items() if name not in names}


def build_answer(value: Any) -> HttpAnswer:
    """Return the HTTP answer for a typed answer of the caller service."""
    match value:
        case CallerError():
            return error_answer(value)
        case VersionConflict(customer, base_version, current_version):
            detail = (
                f"contract {customer} has version {current_version}, "
                f"but the change is based on version {base_version}"
            )
            fields = {"base_version": base_version, "current_version": current_version}
            return json_answer(
                ResultCode.VERSION_CONFLICT, {"detail": detail, "problems": []} | fields
            )
        case RequestResult():
            return _request_answer(value)
        case SubmittedJob():
            return json_answer(value.code, _omit_fields(msgspec.to_builtins(value), "code"))
        case JobStatus(explanation=""):
            return json_answer(
                ResultCode.OK, _omit_fields(msgspec.to_builtins(value), "explanation")
            )
        case VmListing(vms):
            rows = [
                msgspec.to_builtins(row.vm) | {"held_by": row.held_by, "set_aside": row.set_aside}
                for row in vms
            ]
            return json_answer(ResultCode.OK, {"vms": rows})
        case _:
            return json_answer(ResultCode.OK, msgspec.to_builtins(value))
