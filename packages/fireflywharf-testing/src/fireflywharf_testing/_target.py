"""Stand-in for a target, which executes requests of a service."""

import hashlib
import itertools
import json
import math
import random
import secrets
import threading
import time
from collections.abc import Callable
from typing import Any

import attrs

from fireflywharf_core.history import LeaseGranted, RequestEnded, RequestRefused, RequestStarted
from fireflywharf_core.platform import ClaimAnswer, TargetStatus, VmInfo

from ._lease import StandInLease
from ._lease_routes import handle_claim, handle_release
from ._recorder import HistoryRecorder
from ._server import Answer, Call, json_answer

NOT_RUN = {"X-Not-Run": "1"}


@attrs.frozen(slots=True, kw_only=True)
class TargetSettings:
    """Service times of a target; `service_ms` in the body of a request overrides them.

    Args:
        service_ms: median service time in milliseconds, of a log-normal distribution.
        service_sigma: standard deviation of the logarithm of the service time; zero for a constant
            time.
        straggler_percent: percentage of the requests that take longer.
        straggler_factor: factor on the service time of these requests.
        time_scale: factor on all service times, also on those given in a request.
        seed: seed of the distribution.
    """

    service_ms: float = 20.0
    service_sigma: float = 0.0
    straggler_percent: float = 0.0
    straggler_factor: float = 20.0
    time_scale: float = 1.0
    seed: int = 0


@attrs.frozen(slots=True)
class RequestExecution:
    """One execution of a request at a target.

    Args:
        execution: number of the execution, counted per target.
        request_id: identifier of the send, from the header X-Request-Id.
        call: the HTTP call.
        fields: fields of its JSON body.
        service_s: duration in seconds.
        stopping: set when the target crashes.
    """

    execution: int
    request_id: str
    call: Call
    fields: dict[str, Any]
    service_s: float
    stopping: threading.Event


class TargetStandIn:
    """Simulates the execution of requests under a holder lease, at most `slots_count` at once.

    Args:
        vm: entry of the VM list; its `slots_count` is enforced.
        settings: service times.
        recorder: receives the history records.
        clock: monotonic clock of this target in seconds.
    """

    def __init__(
        self,
        vm: VmInfo,
        settings: TargetSettings,
        recorder: HistoryRecorder,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.vm = vm
        self.settings = settings
        self.recorder = recorder
        self.clock = clock
        self.leaving = False
        self._lock = threading.Lock()
        self._lease = StandInLease()
        self._boot_id = secrets.token_hex(8)
        self._random = random.Random(f"{settings.seed}:{vm.name}")
        self._executions = itertools.count(1)
        self._in_progress: dict[int, str] = {}
        self._stopping = threading.Event()

    def claim(self, holder: str, ttl_s: float, _renew_tasks: bool = False) -> ClaimAnswer:
        """Grant, renew or refuse the holder lease.

        Args:
            holder: incarnation of the claimant.
            ttl_s: requested duration in seconds.

        Returns:
            The answer; requests in progress are listed only if the claim is granted.
        """
        with self._lock:
            now_s = self.clock()
            epoch_before = self._lease.epoch
            granted = self._lease.claim(holder, ttl_s, now_s)
            if self._lease.epoch != epoch_before:
                self.recorder.add(
                    LeaseGranted(
                        time_s=now_s, vm=self.vm.name, holder=holder, epoch=self._lease.epoch
                    )
                )
            return ClaimAnswer(
                granted=granted,
                holder=self._lease.current_holder(now_s),
                epoch=self._lease.epoch,
                remaining_s=self._lease.remaining_s(now_s),
                leaving=self.leaving,
                in_progress=list(self._in_progress.values()) if granted else [],
                boot_id=self._boot_id,
            )

    def release(self, epoch: int) -> bool:
        """Release the holder lease if `epoch` is valid, and return whether it was."""
        with self._lock:
            return self._lease.release(epoch, self.clock())

    def status(self) -> TargetStatus:
        """Return the boot id, the epoch and the requests in progress."""
        with self._lock:
            return TargetStatus(
                self._boot_id, self._lease.epoch, self.leaving, list(self._in_progress.values())
            )

    def simulate_crash(self) -> None:
        """Abort all requests and change the boot id, as after a crash; the epoch is kept."""
        with self._lock:
            for execution, request_id in self._in_progress.items():
                self._record_end(execution, request_id, completed=False)
            self._in_progress.clear()
            self._boot_id = secrets.token_hex(8)
            self._stopping.set()
            self._stopping = threading.Event()

    def handle(self, call: Call) -> Answer:
        """Answer an HTTP call of the target interface."""
        match (call.method, call.path):
            case ("POST", "/v1/claim"):
                return handle_claim(call, self.claim)
            case ("POST", "/v1/release"):
                return handle_release(call, self.release)
            case ("GET", "/v1/status"):
                return json_answer(self.status())
            case ("POST", "/v1/execute"):
                return self._handle_execute(call)
        return json_answer({"detail": f"no such route: {call.method} {call.path}"}, 404)

    def _handle_execute(self, call: Call) -> Answer:
        begun = self.begin_execution(call)
        if isinstance(begun, Answer):
            return begun
        begun.stopping.wait(begun.service_s)
        self.finish_execution(begun)
        return self.answer_execution(begun)

    def begin_execution(self, call: Call) -> RequestExecution | Answer:
        """Start the execution of a request, or return the answer that refuses it.

        The caller ends the execution with `finish_execution` after `service_s` and then gets the
        answer from `answer_execution`, so that an event loop can do so without a thread.
        """
        request_id = call.headers.get("x-request-id", "")
        try:
            epoch = int(call.headers.get("x-epoch", ""))
            deadline_ms = float(call.headers.get("x-deadline-ms", "inf"))
        except ValueError:
            epoch, deadline_ms = -1, math.nan
        if not request_id or epoch < 0 or math.isnan(deadline_ms):
            return self._refuse_request(
                request_id, 400, "X-Request-Id, X-Epoch or X-Deadline-Ms invalid"
            )
        body = call.json()
        fields = body if isinstance(body, dict) else {}
        with self._lock:
            if not self._lease.is_valid_epoch(epoch, self.clock()):
                return self._refuse_request(request_id, 409, "stale epoch or expired lease")
            if len(self._in_progress) >= self.vm.slots_count:
                return self._refuse_request(request_id, 503, "all slots are in use")
            if deadline_ms <= 0:
                return self._refuse_request(request_id, 503, "the deadline has passed")
            execution = self._start_execution(call, request_id, fields, epoch)
            return RequestExecution(
                execution,
                request_id,
                call,
                fields,
                self._choose_service_time_s(fields),
                self._stopping,
            )

    def finish_execution(self, begun: RequestExecution) -> None:
        """Record the end of an execution, unless the target crashed since its start."""
        with self._lock:
            if self._in_progress.pop(begun.execution, None) is not None:
                self._record_end(begun.execution, begun.request_id, completed=True)

    def answer_execution(self, begun: RequestExecution) -> Answer:
        """Return the answer to an execution, which echoes the body of the request."""
        return self._build_answer(begun.call, begun.request_id, begun.fields)

    def _start_execution(
        self, call: Call, request_id: str, fields: dict[str, Any], epoch: int
    ) -> int:
        execution = next(self._executions)
        self._in_progress[execution] = request_id
        self.recorder.add(
            RequestStarted(
                time_s=self.clock(),
                target=self.vm.name,
                execution=execution,
                request_id=request_id,
                key=call.headers.get("x-request-key", ""),
                kind=call.headers.get("x-kind", ""),
                operation=str(fields.get("echo", "")),
                epoch=epoch,
                slots_count=self.vm.slots_count,
            )
        )
        return execution

    def _record_end(self, execution: int, request_id: str, completed: bool) -> None:
        self.recorder.add(
            RequestEnded(
                time_s=self.clock(),
                target=self.vm.name,
                execution=execution,
                request_id=request_id,
                completed=completed,
            )
        )

    def _choose_service_time_s(self, fields: dict[str, Any]) -> float:
        """Return the service time in seconds, given in the request or drawn at random."""
        settings = self.settings
        requested_ms = fields.get("service_ms")
        if (
            isinstance(requested_ms, int | float)
            and math.isfinite(requested_ms)
            and requested_ms >= 0
        ):
            service_ms = float(requested_ms)
        else:
            service_ms = settings.service_ms
            if settings.service_sigma > 0:
                service_ms *= self._random.lognormvariate(0.0, settings.service_sigma)
            if self._random.random() * 100 < settings.straggler_percent:
                service_ms *= settings.straggler_factor
        return service_ms / 1000 * settings.time_scale

    def _build_answer(self, call: Call, request_id: str, fields: dict[str, Any]) -> Answer:
        text = call.body.decode("utf-8", "replace")
        body = json.dumps({"request_id": request_id, "target": self.vm.name, "body": text}).encode()
        failed = call.faults.fail or fields.get("fail") is True
        return Answer(500 if failed else 200, body, self._build_headers(request_id, body))

    def _refuse_request(self, request_id: str, status: int, detail: str) -> Answer:
        """Record a refusal and return its answer, which says that the request was not run."""
        self.recorder.add(
            RequestRefused(
                time_s=self.clock(), target=self.vm.name, request_id=request_id, status=status
            )
        )
        body = json.dumps({"detail": detail}).encode()
        return Answer(status, body, self._build_headers(request_id, body) | NOT_RUN)

    def _build_headers(self, request_id: str, body: bytes) -> dict[str, str]:
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": request_id,
            "X-Digest": hashlib.sha256(body).hexdigest(),
        }
        if self.leaving:
            headers["X-Leaving"] = "1"
        return headers
