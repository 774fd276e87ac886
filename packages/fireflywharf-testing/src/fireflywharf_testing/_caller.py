"""Client of the daemon's HTTP interface that records its calls and their answers."""

import hashlib
import http.client
import itertools
import json
import threading
import time
import uuid
from collections.abc import Callable, Mapping
from typing import Any, Literal

import attrs

from fireflywharf_core.history import (
    ContractApplied,
    ContractSeen,
    JobAcceptedSeen,
    JobStateSeen,
    RequestAnswered,
    RequestOutcome,
    RequestSent,
)
from fireflywharf_core.results import CodeClass, ResultCode

from ._recorder import HistoryRecorder

CallOutcome = RequestOutcome | Literal["not_connected"]

_OUTCOMES: dict[str, RequestOutcome] = {
    CodeClass.COMPLETED.value: "completed",
    CodeClass.NOT_RUN.value: "not_run",
    CodeClass.INVALID.value: "not_run",
    CodeClass.UNKNOWN.value: "unknown",
}
_ACCEPTED_CODES = (ResultCode.ACCEPTED, ResultCode.ACCEPTED_LATE)


@attrs.frozen(slots=True)
class CallResult:
    """Result of one call.

    Args:
        outcome: class of the outcome; `lost` when the connection broke before a whole answer, and
            `not_connected` when nothing was sent, which is not recorded.
        answer: decoded JSON document; empty without an answer.
        elapsed_s: time in seconds from the connection attempt to the end of the call.
    """

    outcome: CallOutcome
    answer: dict[str, Any] = attrs.field(factory=dict)
    elapsed_s: float = 0.0

    @property
    def code(self) -> ResultCode | None:
        """Result code of the answer, or None when the answer has none."""
        number = self.answer.get("code")
        return ResultCode(number) if isinstance(number, int) else None


@attrs.frozen(slots=True, kw_only=True)
class RequestPlan:
    """One request to send.

    Args:
        service: service to call.
        kind: kind of the request.
        idempotent: whether the request may run more than once.
        key: idempotency key, chosen by the caller or issued by a daemon; empty for none.
        service_ms: time in milliseconds that the target takes; None for a time from the target's
            own distribution.
        deadline_ms: deadline in milliseconds; None for that of the contract.
        operation: identifier that all repeats of one request share; empty for a new one.
    """

    service: str
    kind: str = "default"
    idempotent: bool = True
    key: str = ""
    service_ms: float | None = None
    deadline_ms: int | None = None
    operation: str = ""


class RecordingCaller:
    """Calls daemons and records the calls and answers.

    Each call opens a connection of its own, because a pool would hide broken connections.

    Args:
        recorder: receives the history records.
        entry_vms: `ip:port` of the HTTP interface by name of the entry VM.
        customer: customer in whose name calls are made.
        timeout_s: time limit in seconds for each network operation of a call; an answer that takes
            longer counts as lost.
    """

    def __init__(
        self,
        recorder: HistoryRecorder,
        entry_vms: Mapping[str, str],
        customer: str,
        timeout_s: float = 30.0,
    ) -> None:
        self.recorder = recorder
        self.entry_vms = entry_vms
        self.customer = customer
        self.timeout_s = timeout_s
        self._call_prefix = uuid.uuid4().hex[:12]
        self._call_numbers = itertools.count(1)
        self._lock = threading.Lock()

    def send_request(self, entry_vm: str, plan: RequestPlan) -> CallResult:
        """Send a request to an entry VM and record the call and its outcome."""
        call = self._next_call_name()
        operation = plan.operation or call
        text = _make_request_body(plan, operation)

        def record_sent() -> None:
            self.recorder.add(
                RequestSent(
                    time_s=time.monotonic(),
                    call=call,
                    operation=operation,
                    entry_vm=entry_vm,
                    customer=self.customer,
                    kind=plan.kind,
                    idempotent=plan.idempotent,
                    body_digest=_hash_text(text),
                )
            )

        result = self.exchange(
            entry_vm, "POST", "/v1/requests", self._make_request_document(plan, text), record_sent
        )
        if result.outcome != "not_connected":
            self.recorder.add(
                RequestAnswered(
                    time_s=time.monotonic(),
                    call=call,
                    outcome=result.outcome,
                    echoed_digest=_hash_echoed_body(result.answer),
                )
            )
        return result

    def submit_job(self, entry_vm: str, job: Mapping[str, Any]) -> CallResult:
        """Submit a job and record its acceptance.

        Args:
            entry_vm: name of the entry VM.
            job: JSON body without the field `customer`.

        Returns:
            The result.
        """
        result = self.exchange(entry_vm, "POST", "/v1/jobs", {"customer": self.customer, **job})
        if result.code in _ACCEPTED_CODES:
            self.recorder.add(
                JobAcceptedSeen(
                    time_s=time.monotonic(),
                    job_id=result.answer["job_id"],
                    customer=self.customer,
                    tasks_count=job.get("tasks_count", 1),
                    deadline_s=job.get("deadline_s"),
                    restartable=job.get("restartable", True),
                )
            )
        return result

    def poll_job(self, entry_vm: str, job_id: str) -> CallResult:
        """Get the state of a job and record it; a job that is unknown is recorded as `missing`."""
        result = self.exchange(entry_vm, "GET", f"/v1/jobs/{job_id}")
        state = result.answer.get("state") if result.code == ResultCode.OK else None
        if result.code == ResultCode.UNKNOWN_JOB:
            state = "missing"
        if state:
            self.recorder.add(
                JobStateSeen(
                    time_s=time.monotonic(),
                    job_id=job_id,
                    state=state,
                    late=bool(result.answer.get("late")),
                    recorded=bool(result.answer.get("recorded", True)),
                )
            )
        return result

    def apply_contract(
        self, entry_vm: str, contract: Mapping[str, Any], base_version: int, author: str = "test"
    ) -> CallResult:
        """Apply a contract on top of `base_version` and record the new version if accepted."""
        name = contract["customer"]
        document = {"base_version": base_version, "contract": contract, "author": author}
        result = self.exchange(entry_vm, "PUT", f"/v1/contracts/{name}", document)
        if result.code == ResultCode.OK:
            version = result.answer["version"]
            self.recorder.add(
                ContractApplied(time_s=time.monotonic(), customer=name, version=version)
            )
        return result

    def poll_contract(self, entry_vm: str, customer: str) -> CallResult:
        """Get a contract and record its version; 0 when the entry VM knows no such contract."""
        result = self.exchange(entry_vm, "GET", f"/v1/contracts/{customer}")
        version = result.answer.get("version") if result.code == ResultCode.OK else None
        if result.code == ResultCode.UNKNOWN_CONTRACT:
            version = 0
        if version is not None:
            self.recorder.add(
                ContractSeen(
                    time_s=time.monotonic(), entry_vm=entry_vm, customer=customer, version=version
                )
            )
        return result

    def exchange(
        self,
        entry_vm: str,
        method: str,
        path: str,
        document: Any = None,
        before_send: Callable[[], None] = lambda: None,
    ) -> CallResult:
        """Make one call without recording it.

        Args:
            entry_vm: name of the entry VM.
            method: HTTP method.
            path: path of the URL.
            document: document to send as JSON; None for an empty body.
            before_send: called once the connection is open, before anything is sent.

        Returns:
            The result.
        """
        host, port = self.entry_vms[entry_vm].rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=self.timeout_s)
        start_s = time.monotonic()
        try:
            connection.connect()
        except OSError:
            return CallResult("not_connected")
        before_send()
        try:
            body = None if document is None else json.dumps(document)
            headers = {"Content-Type": "application/json", "Connection": "close"}
            connection.request(method, path, body, headers)
            answer = json.loads(connection.getresponse().read())
        except (OSError, http.client.HTTPException, ValueError):
            return CallResult("lost", {}, time.monotonic() - start_s)
        finally:
            connection.close()
        outcome = _OUTCOMES.get(answer.get("class"), "unknown")
        return CallResult(outcome, answer, time.monotonic() - start_s)

    def _make_request_document(self, plan: RequestPlan, text: str) -> dict[str, Any]:
        document = {
            "customer": self.customer,
            "service": plan.service,
            "kind": plan.kind,
            "idempotent": plan.idempotent,
            "body": text,
        }
        document |= {"key": plan.key} if plan.key else {}
        return document | ({"deadline_ms": plan.deadline_ms} if plan.deadline_ms else {})

    def _next_call_name(self) -> str:
        with self._lock:
            return f"{self._call_prefix}-{next(self._call_numbers)}"


def _make_request_body(plan: RequestPlan, operation: str) -> str:
    content: dict[str, Any] = {"echo": operation}
    if plan.service_ms is not None:
        content["service_ms"] = plan.service_ms
    return json.dumps(content)


def _hash_text(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def _hash_echoed_body(answer: Mapping[str, Any]) -> str:
    """Return the SHA-256 digest of the body that the target echoed; empty without such a body."""
    try:
        return _hash_text(json.loads(answer["body"])["body"])
    except (KeyError, TypeError, ValueError, AttributeError):
        return ""
