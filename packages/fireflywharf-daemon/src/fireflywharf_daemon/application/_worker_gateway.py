"""Claims, renewals and commands of the workers of the own failure domain."""

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
    """The command certainly had no effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class CommandUncertain:
    """The command was sent and its answer was lost."""


CommandResult = CommandAnswered | CommandNotRun | CommandUncertain
ResultCallback = Callable[[CommandResult], None]


@attrs.define(slots=True)
class _WorkerState:
    """State of one worker.

    `last_claim_s` is the end of the last claim that may have renewed task leases.
    """

    vm: VmInfo
    queue: deque[tuple[WorkerCommand, ResultCallback]] = attrs.field(factory=deque)
    sending: bool = False
    last_claim_s: float = float("-inf")
    unreachable_since_s: float | None = None
    last_ended_report_s: float = float("-inf")


class WorkerGateway:
    """Keeps leases of workers and sends commands under them.

    Args:
        context: shared parts.
        tasks: background tasks of the owner.
        may_command: whether this process holds a majority; asked before each call.
        on_report: called with the worker, its claim answer, and the time before the claim.
        on_lost: called with the worker and whether its attempts have certainly ended.
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
        """Return the workers whose lease may be acted on now."""
        return self.leases.held(self.context.now_s())

    def unreachable_since_s(self) -> dict[str, float]:
        """Return since when no claim can have reached the workers that do not answer."""
        rows = self._workers.items()
        return {
            name: max(row.unreachable_since_s, row.last_claim_s)
            for name, row in rows
            if row.unreachable_since_s is not None
        }

    def track(self, workers: dict[str, VmInfo]) -> None:
        """Claim exactly these workers from now on."""
        for name, vm in workers.items():
            row = self._workers.get(name)
            if row is None or row.vm.address != vm.address:
                self._forget_workers([name])
                self._workers[name] = _WorkerState(vm)
            else:
                row.vm = vm
        self._forget_workers(sorted(set(self._workers).difference(workers)))
        self.leases.track(workers, self.context.now_s())

    def step(self, limit: int) -> None:
        """Start the claims that are due and report lapsed leases."""
        now_s = self.context.now_s()
        for name in self.leases.lapsed(now_s):
            _LOG.warning("lease of worker %s lapsed", name)
            self._drop_commands(name)
            self.on_lost(name, False)
        for name in self.leases.due(now_s, limit):
            if name in self._workers:
                self.tasks.spawn(self._claim_worker(name))
        self._report_ended_attempts(now_s)

    async def release_all(self) -> None:
        """Give up all leases, so that the next scheduler need not wait for them to lapse."""
        names = self.leases.names()
        worker = self.context.clients.worker
        calls = [
            self.context.pools.run("workers", worker.release, self._workers[name].vm.address, epoch)
            for name, epoch in self.leases.release(names, self.context.now_s())
        ]
        for name in names:
            self._drop_commands(name)
        self._workers.clear()
        await asyncio.gather(*calls, return_exceptions=True)

    def send(self, name: str, command: WorkerCommand, on_result: ResultCallback) -> None:
        """Queue a command; commands of one worker are sent in order and in groups."""
        row = self._workers.get(name)
        if row is None:
            on_result(CommandNotRun("unknown_worker"))
            return
        row.queue.append((command, on_result))
        if not row.sending:
            row.sending = True
            self.tasks.spawn(self._send_queue(name, row))

    def _forget_workers(self, names: Collection[str]) -> None:
        for name in list(names):
            self._drop_commands(name)
            self._workers.pop(name, None)
        self.leases.forget(names)

    def _drop_commands(self, name: str) -> None:
        row = self._workers.get(name)
        while row is not None and row.queue:
            row.queue.popleft()[1](CommandNotRun("stale_epoch"))

    async def _claim_worker(self, name: str) -> None:
        row = self._workers.get(name)
        if row is None:
            return
        worker = self.context.clients.worker
        was_held = self.leases.may_act(name, self.context.now_s())
        if not was_held and row.unreachable_since_s is not None:
            # A claim could prolong the tasks of a worker whose answers are lost, so a worker that
            # fell silent is first asked without effect.
            listed = await self.context.pools.run("workers", worker.list, row.vm.address)
            if not isinstance(listed, Success):
                self.leases.on_failed(name, self.context.now_s())
                return
        sent_s = self.leases.begin(name, self.context.now_s()) if name in self.leases else 0.0
        settings = self.context.settings.scheduling
        answer = await self.context.pools.run(
            "workers",
            worker.claim,
            row.vm.address,
            self.context.incarnation,
            settings.holder_lease_s,
            was_held and self.may_command(),
        )
        self._handle_claim_answer(name, row, answer, sent_s)

    def _handle_claim_answer(
        self, name: str, row: _WorkerState, answer: object, sent_s: float
    ) -> None:
        now_s = self.context.now_s()
        row.last_claim_s = now_s
        if self._workers.get(name) is not row:
            self._release_unwanted(name, row, answer, sent_s)
            return
        match answer:
            case Success(claim) if claim.granted:
                row.unreachable_since_s = None
                self.holders[name] = self.context.incarnation
                result = self.leases.on_granted(
                    name, claim.epoch, sent_s, now_s, claim.remaining_s, claim.boot_id
                )
                if isinstance(result, LeaseGained):
                    self._drop_commands(name)
                    _LOG.info("lease of worker %s gained", name, extra={"epoch": claim.epoch})
                if self.leases.may_act(name, now_s):
                    self.on_report(name, claim, sent_s)
            case Success(claim):
                row.unreachable_since_s = None
                self.holders[name] = claim.holder
                self.leases.on_refused(name, claim.epoch, now_s)
            case _:
                if row.unreachable_since_s is None:
                    row.unreachable_since_s = sent_s
                self.leases.on_failed(name, now_s)

    def _release_unwanted(
        self, name: str, row: _WorkerState, answer: object, sent_s: float
    ) -> None:
        """Release a lease that was granted after this process gave the worker up."""
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
                    self.context.pools.run("workers", release, row.vm.address, claim.epoch)
                )

    def _report_ended_attempts(self, now_s: float) -> None:
        task_lease_s = self.context.settings.scheduling.task_lease_s
        wait_s = task_lease_s + margin_s(task_lease_s) + self.context.settings.platform.timeout_s
        for name, row in self._workers.items():
            if row.unreachable_since_s is None:
                continue
            silent_s = now_s - max(row.last_claim_s, row.unreachable_since_s)
            # It is told again, because a tenure or its recovery can begin after the first time.
            if silent_s >= wait_s and now_s - row.last_ended_report_s >= ENDED_REPORT_INTERVAL_S:
                row.last_ended_report_s = now_s
                self.on_lost(name, True)

    async def _send_queue(self, name: str, row: _WorkerState) -> None:
        try:
            while row.queue:
                count = min(len(row.queue), COMMANDS_PER_CALL_MAX)
                batch = [row.queue.popleft() for _ in range(count)]
                await self._send_batch(name, row, batch)
        finally:
            row.sending = False

    async def _send_batch(
        self, name: str, row: _WorkerState, batch: list[tuple[WorkerCommand, ResultCallback]]
    ) -> None:
        # A pause can follow this check; then the worker refuses the epoch.
        if not (self.may_command() and self.leases.may_act(name, self.context.now_s())):
            results: list[CommandResult] = [CommandNotRun("stale_epoch")] * len(batch)
        else:
            epoch = self.leases.epoch(name)
            answer = await self.context.pools.run(
                "workers",
                self.context.clients.worker.commands,
                row.vm.address,
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
