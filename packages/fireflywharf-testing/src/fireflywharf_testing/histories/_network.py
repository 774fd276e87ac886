"""Simulated network between daemons and stand-ins, with seeded delays and losses."""

import asyncio
import random
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from fireflywharf_core.platform import AppendAnswer, WorkerCommand
from fireflywharf_daemon.mesh import CallRefused, IncomingCall, NoAnswer, Sender, Unreachable
from fireflywharf_daemon.platform import (
    Failed,
    FailureReason,
    RefusalReason,
    RefusedBeforeRun,
    Success,
    TargetAnswer,
    TargetRequest,
)

from .._server import Answer, Call
from ._loop import Simulator, VirtualLoop

TIMEOUT_S = 2.0
TIMED_OUT = Failed(True, FailureReason.TIMEOUT, "no answer in time")
RESET = Failed(True, FailureReason.RESET, "connection reset")
REFUSED = RefusedBeforeRun(RefusalReason.CONNECT_FAILED, "connection refused")
STALE = RefusedBeforeRun(RefusalReason.STALE_EPOCH, "stale epoch")

# Names of the methods whose calls act under a lease: commands to workers, requests to targets.
LEASE_GUARDED_CALLS = ("commands", "_execute_at_target")


@attrs.define
class NetworkConditions:
    """Faults of the network and the log that are in force.

    Args:
        lost_before: probability that a call or message is lost on its way.
        lost_after: probability that an answer is lost on its way.
        slow: probability that a message takes up to 1.5 s.
        log_down: whether the log refuses connections.
        log_delay_s: largest additional delay of the log in seconds, each way.
        log_answers_lost: probability that the answer to an append is lost.
        silent: addresses of targets whose answers are lost.
    """

    lost_before: float = 0.0
    lost_after: float = 0.0
    slow: float = 0.0
    log_down: bool = False
    log_delay_s: float = 0.0
    log_answers_lost: float = 0.0
    silent: set[str] = attrs.field(factory=set)


@attrs.frozen(slots=True, kw_only=True)
class StandInCall:
    """A call to a stand-in, before it is sent.

    Args:
        service: `log`, `list`, or the address of a worker or target.
        effect: performs the call at the stand-in and passes the outcome to its argument.
        timeout_s: time limit of the caller in seconds.
        is_append: whether the call appends to the log.
        failure: outcome for the caller when no answer arrives in time.
    """

    service: str
    effect: Callable[[Callable[[Any], None]], None]
    timeout_s: float = TIMEOUT_S
    is_append: bool = False
    failure: Any = TIMED_OUT


class ReceivingProcess(Protocol):
    """Process that receives mesh messages and calls; implemented by `EntryVm`."""

    alive: bool
    loop: VirtualLoop
    application: Any


class VirtualNetwork:
    """Delivers calls and answers.

    Args:
        simulator: clock and events.
        rng: source of delays and losses.
        conditions: faults in force.
    """

    def __init__(
        self, simulator: Simulator, rng: random.Random, conditions: NetworkConditions
    ) -> None:
        self.simulator = simulator
        self.rng = rng
        self.conditions = conditions
        self.stand_ins: dict[str, Any] = {}
        self.entry_vms: dict[str, ReceivingProcess] = {}

    def draw_delay_s(self) -> float:
        """Draw the delay of one message in seconds."""
        if self.rng.random() < self.conditions.slow:
            return self.rng.uniform(0.05, 1.5)
        return self.rng.uniform(0.0005, 0.004)

    def perform_call(self, stand_in_call: StandInCall, on_done: Callable[[Any], None]) -> None:
        """Send a call; `on_done` gets its outcome, or its failure after the time limit."""
        conditions, simulator = self.conditions, self.simulator
        finished = False

        def finish(outcome: Any) -> None:
            nonlocal finished
            if not finished:
                finished = True
                on_done(outcome)

        def answer(outcome: Any) -> None:
            lost = conditions.log_answers_lost if stand_in_call.is_append else 0.0
            silent = stand_in_call.service in conditions.silent
            if silent or self.rng.random() < max(lost, conditions.lost_after):
                return
            simulator.schedule_after(self._draw_delay_to_s(stand_in_call), lambda: finish(outcome))

        def arrive() -> None:
            if finished:
                # The caller closed the connection before its call arrived.
                return
            if (
                stand_in_call.service == "log"
                and conditions.log_down
                or stand_in_call.service not in ("log", "list", *self.stand_ins)
            ):
                finish(REFUSED)
            else:
                stand_in_call.effect(answer)

        if self.rng.random() >= conditions.lost_before:
            simulator.schedule_after(self._draw_delay_to_s(stand_in_call), arrive)
        simulator.schedule_after(stand_in_call.timeout_s, lambda: finish(stand_in_call.failure))

    def _draw_delay_to_s(self, stand_in_call: StandInCall) -> float:
        """Draw the delay of a call or its answer in seconds, with that of the log if it applies."""
        extra_s = 0.0
        if stand_in_call.service == "log" and self.conditions.log_delay_s > 0:
            extra_s = self.rng.uniform(0.0, self.conditions.log_delay_s)
        return self.draw_delay_s() + extra_s


class VirtualPools:
    """Replaces the thread pools of one process: performs its calls without threads.

    Args:
        network: carries the calls.
    """

    def __init__(self, network: VirtualNetwork) -> None:
        self.network = network
        self.closed = False
        # Pauses the process before its next lease-guarded call, after the check of the lease, and
        # returns the length of the pause in seconds.
        self.pause_before_effect: Callable[[], float] | None = None

    async def run(self, _pool: str, function: Callable[..., StandInCall], *args: Any) -> Any:
        """Create a call with `function`, send it and wait for its outcome."""
        if self.closed:
            raise asyncio.CancelledError
        future = asyncio.get_running_loop().create_future()

        def on_done(outcome: Any) -> None:
            if not future.done() and not future.get_loop().is_closed():
                future.set_result(outcome)

        stand_in_call = function(*args)
        if self.pause_before_effect is not None and function.__name__ in LEASE_GUARDED_CALLS:
            pause, self.pause_before_effect = self.pause_before_effect, None
            self.network.simulator.schedule_after(
                pause(), lambda: self.network.perform_call(stand_in_call, on_done)
            )
        else:
            self.network.perform_call(stand_in_call, on_done)
        return await future


class LogCalls:
    """Replaces the client of the log service."""

    def __init__(self, log: Any) -> None:
        self.log = log

    def append(self, stream: str, writer: str, sequence: int, records: list[bytes]) -> StandInCall:
        """Return a call that appends records."""

        def effect(answer: Callable[[Any], None]) -> None:
            result = self.log.append(stream, writer, sequence, list(records))
            answer(REFUSED if result is None else Success(AppendAnswer(result.first_offset)))

        return StandInCall(service="log", effect=effect, is_append=True)

    def read(self, stream: str, offset: int, limit: int) -> StandInCall:
        """Return a call that reads records."""
        return StandInCall(
            service="log",
            effect=lambda answer: answer(Success(self.log.read(stream, offset, limit))),
        )


class ListCalls:
    """Replaces the client of the VM list."""

    def __init__(self, vm_list: Any) -> None:
        self.vm_list = vm_list

    def list(self) -> StandInCall:
        """Return a call that lists the VMs."""
        return StandInCall(
            service="list", effect=lambda answer: answer(Success(self.vm_list.lagged_vms()))
        )


class WorkerCalls:
    """Replaces the client of the workers."""

    def __init__(self, network: VirtualNetwork, failing_workers: set[str]) -> None:
        self.network = network
        self.failing_workers = failing_workers

    def claim(self, address: str, holder: str, ttl_s: float, renew_tasks: bool) -> StandInCall:
        """Return a call that claims or renews a holder lease."""
        return self._make_call(address, lambda vm: Success(vm.claim(holder, ttl_s, renew_tasks)))

    def commands(self, address: str, epoch: int, commands: list[WorkerCommand]) -> StandInCall:
        """Return a call that sends commands."""

        def run(worker: Any) -> Any:
            answers = worker.commands(epoch, commands, worker.vm.name in self.failing_workers)
            return STALE if answers is None else Success(answers)

        return self._make_call(address, run)

    def release(self, address: str, epoch: int) -> StandInCall:
        """Return a call that releases a holder lease."""
        return self._make_call(address, lambda vm: Success(None) if vm.release(epoch) else STALE)

    def list(self, address: str) -> StandInCall:
        """Return a call that lists the attempts of a worker."""
        return self._make_call(address, lambda vm: Success(vm.listing()))

    def _make_call(self, address: str, run: Callable[[Any], Any]) -> StandInCall:
        return StandInCall(
            service=address,
            effect=lambda answer: answer(run(self.network.stand_ins[address])),
        )


class TargetCalls:
    """Replaces the client of the targets.

    Args:
        network: carries the calls.
        report_timeouts_as_refused: whether to plant a defect: a send without an answer, whose
            outcome is unknown, is reported as refused before the run.
    """

    def __init__(self, network: VirtualNetwork, report_timeouts_as_refused: bool = False) -> None:
        self.network = network
        self.report_timeouts_as_refused = report_timeouts_as_refused

    def claim(self, address: str, holder: str, ttl_s: float) -> StandInCall:
        """Return a call that claims or renews a holder lease."""
        return self._make_call(address, lambda vm: Success(vm.claim(holder, ttl_s)))

    def release(self, address: str, epoch: int) -> StandInCall:
        """Return a call that releases a holder lease."""
        return self._make_call(address, lambda vm: Success(None) if vm.release(epoch) else STALE)

    def status(self, address: str) -> StandInCall:
        """Return a call that lists the requests in progress."""
        return self._make_call(address, lambda vm: Success(vm.status()))

    def execute(
        self, address: str, _connections: int, epoch: int, request: TargetRequest, budget_s: float
    ) -> StandInCall:
        """Return a call that executes a request."""
        headers = {
            "x-request-id": request.request_id,
            "x-epoch": str(epoch),
            "x-deadline-ms": str(max(1, int(budget_s * 1000))),
            "x-kind": request.kind,
            "x-request-key": request.key,
        }
        call = Call("POST", "/v1/execute", {}, headers, request.body)

        def effect(answer: Callable[[Any], None]) -> None:
            target = self.network.stand_ins[address]
            begun = target.begin_execution(call)
            if isinstance(begun, Answer):
                answer(_target_outcome(begun))
                return

            def finish() -> None:
                target.finish_execution(begun)
                reset = begun.stopping.is_set()
                answer(RESET if reset else _target_outcome(target.answer_execution(begun)))

            self.network.simulator.schedule_after(begun.service_s, finish)

        failure = REFUSED if self.report_timeouts_as_refused else TIMED_OUT
        return StandInCall(
            service=address, effect=effect, timeout_s=max(0.001, budget_s), failure=failure
        )

    def _make_call(self, address: str, run: Callable[[Any], Any]) -> StandInCall:
        return StandInCall(
            service=address,
            effect=lambda answer: answer(run(self.network.stand_ins[address])),
        )


def _target_outcome(answer: Answer) -> Any:
    """Convert the answer of a target into the outcome that the daemon's client returns."""
    leaving = answer.headers.get("X-Leaving") == "1"
    if answer.status == 409:
        return RefusedBeforeRun(RefusalReason.STALE_EPOCH, "stale epoch", leaving)
    if answer.status == 503 and answer.headers.get("X-Not-Run") == "1":
        return RefusedBeforeRun(RefusalReason.NOT_RUN, "not run", leaving)
    return Success(TargetAnswer(answer.status, answer.body, leaving))


class VirtualMesh:
    """Replaces the mesh of one process.

    Args:
        network: source of delays, losses and peers.
        sender: identity of this process.
    """

    def __init__(self, network: VirtualNetwork, sender: Sender) -> None:
        self.network = network
        self.sender = sender
        self.closed = False

    def send(self, address: str, message: Any) -> bool:
        """Send a one-way message; always return True."""
        if not self.closed and self.network.rng.random() >= self.network.conditions.lost_before:
            self.network.simulator.schedule_after(
                self.network.draw_delay_s(), lambda: self._deliver(address, message)
            )
        return True

    def start_call(
        self, address: str, message: Any, budget_ms: int, on_done: Callable[[Any], None]
    ) -> None:
        """Call a peer; `on_done` gets the answer, or a failure after `budget_ms` at the latest."""
        if self.closed:
            return
        network, simulator = self.network, self.network.simulator
        deadline_s = simulator.now_s + budget_ms / 1000
        finished = False

        def finish(outcome: Any) -> None:
            nonlocal finished
            if not finished and not self.closed:
                finished = True
                on_done(outcome)

        def reply(answer: Any) -> None:
            outcome = NoAnswer("the handler failed") if answer is None else answer
            if network.rng.random() >= network.conditions.lost_after:
                simulator.schedule_after(network.draw_delay_s(), lambda: finish(outcome))

        def handle(entry: ReceivingProcess) -> None:
            if simulator.now_s >= deadline_s:
                finish(CallRefused("the time budget passed before handling"))
                return
            entry.application._dispatch_call(IncomingCall(self.sender, message, deadline_s, reply))

        def arrive() -> None:
            entry = network.entry_vms.get(address)
            if entry is None or not entry.alive:
                finish(Unreachable(f"{address} refused the connection"))
            else:
                entry.loop.call_soon(handle, entry)

        if network.rng.random() >= network.conditions.lost_before:
            simulator.schedule_after(network.draw_delay_s(), arrive)
        simulator.schedule_at(deadline_s, lambda: finish(NoAnswer("no answer in time")))

    def _deliver(self, address: str, message: Any) -> None:
        entry = self.network.entry_vms.get(address)
        if entry is not None and entry.alive:
            entry.loop.call_soon(entry.application._dispatch_message, message)
