"""Leases and commands of the workers in the local failure domain."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass

import attrs

from fireflywharf_core.leases import LeaseGained, LeaseTable, margin_s
from fireflywharf_core.platform import ClaimAnswer, CommandAnswer, VmInfo, WorkerCommand

from ..platform import RefusalReason, RefusedBeforeRun, Success
from ._context import Context
from ._tasks import BackgroundTasks

_LOG = logging.getLogger(__name__)
COMMANDS_PER_CALL_MAX = 200
ENDED_REPORT_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class CommandAnswered:
    """The worker answered the command."""

    answer: CommandAnswer


@dataclass(frozen=True, slots=True)
class CommandNotRun:
    """The command had no effect on the worker; `reason` says why."""

    reason: str


@dataclass(frozen=True, slots=True)
class CommandUncertain:
    """The command was sent, but its answer was lost, so it may have taken effect."""


CommandResult = CommandAnswered | CommandNotRun | CommandUncertain
ResultCallback = Callable[[CommandResult], None]


@attrs.define(slots=True)
class _WorkerState:
    """Commands and claim times of one worker.

    Args:
        vm: row of the VM list.
        queue: commands to send, each with its callback.
        sending: whether a task is sending the queue.
        last_claim_s: end of the last claim, which may have renewed task leases.
        unreachable_since_s: start of the first failed claim since the last answered one; None while
            the worker is reachable.
        last_ended_report_s: time at which the end of its attempts was last reported.
    """

    vm: VmInfo
    queue: deque[tuple[WorkerCommand, ResultCallback]] = attrs.field(factory=deque)
    sending: bool = False
    last_claim_s: float = float("-inf")
    unreachable_since_s: float | None = None
    last_ended_report_s: float = float("-inf")


class WorkerGateway:
    """Holds the leases of workers and sends commands with their epochs as fencing tokens.

    Args:
        context: shared context.
        tasks: background tasks of the owner.
        may_command: returns whether this process may send commands; called before each batch.
        on_report: called with a worker, the answer to its claim and the time of the claim's start.
        on_lost: called with a worker and whether its attempts are known to have ended.

    Attributes:
        holders: incarnation that holds the lease, by worker, from the last answered claim.
    """

    def __init__(
        self,
        context: Context,
        tasks: BackgroundTasks,
        may_command: Callable[[], bool],
        on_report: Callable[[str, ClaimAnswer, float], None],
        on_lost: Callable[[str, bool], None],
    ) -> None:
        settings = context.settings.scheduling
        self.context = context
        self.tasks = tasks
        self.may_command = may_command
        self.on_report = on_report
        self.on_lost = on_lost
        self.leases = LeaseTable(
            settings.holder_lease_s, settings.renew_interval_s, settings.claim_interval_s
        )
        self.holders: dict[str, str] = {}
        self._workers: dict[str, _WorkerState] = {}

    def held(self) -> frozenset[str]:
        """Return the names of the workers whose lease is valid now."""
        return self.leases.held(self.context.now_s())

    def unreachable_since_s(self) -> dict[str, float]:
        """Return the last time at which a claim may have reached each unreachable worker.

        The times are those of the monotonic clock, in seconds, by name of the worker.
        """
        states = self._workers.items()
        return {
            name: max(state.unreachable_since_s, state.last_claim_s)
            for name, state in states
            if state.unreachable_since_s is not None
        }

    def track(self, workers: dict[str, VmInfo]) -> None:
        """Set the workers to claim; state of all other workers is dropped."""
        for name, vm in workers.items():
            state = self._workers.get(name)
            if state is None or state.vm.address != vm.address:
                self._forget_workers([name])
                self._workers[name] = _WorkerState(vm)
            else:
                state.vm = vm
        self._forget_workers(sorted(set(self._workers).difference(workers)))
        self.leases.track(workers, self.context.now_s())

    def step(self, limit: int) -> None:
        """Start the claims that are due, and report lost leases and ended attempts.

        Args:
            limit: largest number of claims to start.
        """
        now_s = self.context.now_s()
        for name in self.leases.take_lost(now_s):
            _LOG.warning("lease of worker %s lost", name)
            self._cancel_commands(name)
            self.on_lost(name, False)
        for name in self.leases.take_due(now_s, limit):
            if name in self._workers:
                self.tasks.spawn(self._claim_worker(name))
        self._report_ended_attempts(now_s)

    async def release_all(self) -> None:
        """Release all leases, so that the next scheduler does not wait for their expiry."""
        names = self.leases.names()
        worker = self.context.clients.worker
        calls = [
            self.context.pools.run("workers", worker.release, self._workers[name].vm.address, epoch)
            for name, epoch in self.leases.release(names, self.context.now_s())
        ]
        for name in names:
            self._cancel_commands(name)
        self._workers.clear()
        await asyncio.gather(*calls, return_exceptions=True)

    def send(self, name: str, command: WorkerCommand, on_result: ResultCallback) -> None:
        """Queue a command; the commands of one worker are sent in order and in batches.

        Args:
            name: name of the worker.
            command: command to send.
            on_result: receives the result once.
        """
        state = self._workers.get(name)
        if state is None:
            on_result(CommandNotRun("unknown_worker"))
            return
        state.queue.append((command, on_result))
        if not state.sending:
            state.sending = True
            self.tasks.spawn(self._send_queue(name, state))

    def _forget_workers(self, names: Collection[str]) -> None:
        for name in list(names):
            self._cancel_commands(name)
            self._workers.pop(name, None)
        self.leases.forget(names)

    def _cancel_commands(self, name: str) -> None:
        state = self._workers.get(name)
        while state is not None and state.queue:
            state.queue.popleft()[1](CommandNotRun("stale_epoch"))

    async def _claim_worker(self, name: str) -> None:
        state = self._workers.get(name)
        if state is None:
            return
        worker = self.context.clients.worker
        was_held = self.leases.may_act(name, self.context.now_s())
        if not was_held and state.unreachable_since_s is not None:
            # A claim may renew the task leases of a worker whose answers are lost. A worker that
            # became unreachable is therefore first probed with a request without effects.
            listed = await self.context.pools.run("workers", worker.list, state.vm.address)
            if not isinstance(listed, Success):
                self.leases.on_failed(name, self.context.now_s())
                return
        sent_s = (
            self.leases.record_claim_sent(name, self.context.now_s())
            if name in self.leases
            else 0.0
        )
        settings = self.context.settings.scheduling
        answer = await self.context.pools.run(
            "workers",
            worker.claim,
            state.vm.address,
            self.context.incarnation,
            settings.holder_lease_s,
            was_held and self.may_command(),
        )
        self._handle_claim_answer(name, state, answer, sent_s)

    def _handle_claim_answer(
        self, name: str, state: _WorkerState, answer: object, sent_s: float
    ) -> None:
        now_s = self.context.now_s()
        state.last_claim_s = now_s
        if self._workers.get(name) is not state:
            self._release_unwanted(name, state, answer, sent_s)
            return
        match answer:
            case Success(claim) if claim.granted:
                state.unreachable_since_s = None
                self.holders[name] = self.context.incarnation
                result = self.leases.on_granted(
                    name, claim.epoch, sent_s, now_s, claim.remaining_s, claim.boot_id
                )
                if isinstance(result, LeaseGained):
                    self._cancel_commands(name)
                    _LOG.info("lease of worker %s acquired", name, extra={"epoch": claim.epoch})
                if self.leases.may_act(name, now_s):
                    self.on_report(name, claim, sent_s)
            case Success(claim):
                state.unreachable_since_s = None
                self.holders[name] = claim.holder
                self.leases.on_refused(name, claim.epoch, now_s)
            case _:
                if state.unreachable_since_s is None:
                    state.unreachable_since_s = sent_s
                self.leases.on_failed(name, now_s)

    def _release_unwanted(
        self, name: str, state: _WorkerState, answer: object, sent_s: float
    ) -> None:
        """Release a lease that was granted after the worker was dropped."""
        match answer:
            case Success(claim) if claim.granted and name not in self._workers:
                self.leases.on_granted(
                    name,
                    claim.epoch,
                    sent_s,
                    self.context.now_s(),
                    claim.remaining_s,
                    claim.boot_id,
                )
                release = self.context.clients.worker.release
                self.tasks.spawn(
                    self.context.pools.run("workers", release, state.vm.address, claim.epoch)
                )

    def _report_ended_attempts(self, now_s: float) -> None:
        task_lease_s = self.context.settings.scheduling.task_lease_s
        wait_s = task_lease_s + margin_s(task_lease_s) + self.context.settings.platform.timeout_s
        for name, state in self._workers.items():
            if state.unreachable_since_s is None:
                continue
            silent_s = now_s - max(state.last_claim_s, state.unreachable_since_s)
            # The report is repeated, because a tenure or its recovery can begin after the first.
            if silent_s >= wait_s and now_s - state.last_ended_report_s >= ENDED_REPORT_INTERVAL_S:
                state.last_ended_report_s = now_s
                self.on_lost(name, True)

    async def _send_queue(self, name: str, state: _WorkerState) -> None:
        try:
            while state.queue:
                count = min(len(state.queue), COMMANDS_PER_CALL_MAX)
                batch = [state.queue.popleft() for _ in range(count)]
                await self._send_batch(name, state, batch)
        finally:
            state.sending = False

    async def _send_batch(
        self, name: str, state: _WorkerState, batch: list[tuple[WorkerCommand, ResultCallback]]
    ) -> None:
        # The lease can expire after this check, for example during a pause of the process. The
        # worker then refuses the stale epoch.
        if not (self.may_command() and self.leases.may_act(name, self.context.now_s())):
            results: list[CommandResult] = [CommandNotRun("stale_epoch")] * len(batch)
        else:
            epoch = self.leases.epoch(name)
            answer = await self.context.pools.run(
                "workers",
                self.context.clients.worker.commands,
                state.vm.address,
                epoch,
                [command for command, _ in batch],
            )
            match answer:
                case Success(answers) if len(answers) == len(batch):
                    results = [CommandAnswered(command_answer) for command_answer in answers]
                case RefusedBeforeRun(RefusalReason.STALE_EPOCH):
                    self.leases.on_stale(name, epoch, self.context.now_s())
                    results = [CommandNotRun("stale_epoch")] * len(batch)
                case RefusedBeforeRun():
                    results = [CommandNotRun("unreachable")] * len(batch)
                case _:
                    results = [CommandUncertain()] * len(batch)
        for (_, on_result), result in zip(batch, results, strict=True):
            on_result(result)
