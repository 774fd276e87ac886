"""Caller of the daemon's HTTP interface that records what it sent and was told."""

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
        outcome: class of the outcome; `lost` when the connection broke without a whole answer, and
            `not_connected` when nothing was sent, which is not recorded.
        answer: decoded JSON document, or an empty one.
        elapsed_s: time from sending to the whole answer.
    """

    outcome: CallOutcome
    answer: dict[str, Any] = attrs.field(factory=dict)
    elapsed_s: float = 0.0

    @property
    def code(self) -> ResultCode | None:
        """Return the result code of the answer, if there is one."""
        number = self.answer.get("code")
        return ResultCode(number) if isinstance(number, int) else None


@attrs.frozen(slots=True, kw_only=True)
class RequestPlan:
    """One request to send.

    Args:
        service: service to call.
        kind: kind of the request.
        idempotent: whether it may run more than once.
        key: the caller's own or an issued key, or empty.
        service_ms: time that the target takes; None for the target's own distribution.
        deadline_ms: deadline, or None for that of the contract.
        operation: the same for repeats of one request; empty for a new one.
    """

    service: str
    kind: str = "default"
    idempotent: bool = True
    key: str = ""
    service_ms: float | None = None
    deadline_ms: int | None = None
    operation: str = ""


class RecordingCaller:
    """Calls daemons with one connection per call, so that no pool hides a broken one.

    Args:
        recorder: receives what was sent and told.
        entry_vms: `ip:port` of the HTTP interface of each entry VM.
        customer: name of the contract.
        timeout_s: time limit of one call; an answer that takes longer counts as lost.
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
        """Submit a job, given as the JSON body without its customer; records its acceptance."""
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
        """Ask for the state of a job and record it; an unknown job is recorded as missing."""
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
        """Apply a contract and record the version if the change won."""
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
        """Ask an entry VM for a contract and record its version."""
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
            path: path.
            document: JSON document, or None.
            before_send: called after the connection is open and before the first byte.

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
    """Return the digest of the body that the target echoed, or an empty text."""
    try:
        return _hash_text(json.loads(answer["body"])["body"])
    except (KeyError, TypeError, ValueError, AttributeError):
        return ""
