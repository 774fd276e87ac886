"""Stand-in for a worker, which runs attempts of tasks."""

import math
import secrets
import threading
import time
from collections.abc import Callable, Sequence
from typing import Any

import attrs
import msgspec

from fireflywharf_core.history import (
    AttemptEnded,
    AttemptResized,
    AttemptStarted,
    HistoryRecord,
    LeaseGranted,
    StartRefused,
)
from fireflywharf_core.jobs import AttemptEnd, AttemptId
from fireflywharf_core.platform import (
    AcknowledgeAttempt,
    CheckpointAttempt,
    ClaimAnswer,
    CommandAnswer,
    EndedAttempt,
    RunningAttempt,
    StartAttempt,
    StopAttempt,
    ThrottleAttempt,
    VmInfo,
    WorkerCommand,
    WorkerListing,
)
from fireflywharf_core.resources import ResourceVector

from ._lease import StandInLease
from ._lease_routes import handle_claim, handle_release
from ._recorder import HistoryRecorder
from ._server import Answer, Call, json_answer
from ._task import CheckpointStore, TaskBehaviour, TaskRun, parse_behaviour

_COMMAND_TYPES = {cls.__name__: cls for cls in WorkerCommand.__args__}
ACCEPTED = CommandAnswer(True)
UNKNOWN_ATTEMPT = CommandAnswer(False, "unknown_attempt")
NO_ROOM = CommandAnswer(False, "no_room")
DUPLICATE = CommandAnswer(False, "duplicate")


@attrs.frozen(slots=True, kw_only=True)
class WorkerSettings:
    """Settings of a worker.

    Args:
        task_lease_s: time in seconds after which an attempt ends unless its lease is renewed.
        usage_lag_s: time in seconds from the start of an attempt to the first report of its usage.
        default_run_s: run time in seconds of a task that gives none.
        time_scale: factor on run times.
    """

    task_lease_s: float = 30.0
    usage_lag_s: float = 2.0
    default_run_s: float = 1.0
    time_scale: float = 1.0


class WorkerStandIn:
    """Simulates attempts as timers, under a holder lease and task leases.

    The end of an attempt is detected at the next call or `advance`, and recorded with the time at
    which it was due.

    Args:
        vm: entry of the VM list; the worker enforces its capacity.
        settings: run times, leases and lag of usage reports.
        recorder: receives the history records.
        checkpoints: checkpoints, shared by all workers.
        clock: monotonic clock of this worker in seconds.
    """

    def __init__(
        self,
        vm: VmInfo,
        settings: WorkerSettings,
        recorder: HistoryRecorder,
        checkpoints: CheckpointStore,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.vm = vm
        self.settings = settings
        self.recorder = recorder
        self.checkpoints = checkpoints
        self.clock = clock
        self.leaving = False
        self.extra_lag_s = 0.0
        self._lock = threading.RLock()
        self._lease = StandInLease()
        self._boot_id = secrets.token_hex(8)
        self._renewed_s = -math.inf
        self._running: dict[AttemptId, TaskRun] = {}
        self._ended: dict[AttemptId, EndedAttempt] = {}
        self._started_attempts: set[AttemptId] = set()

    def claim(self, holder: str, ttl_s: float, renew_tasks: bool = False) -> ClaimAnswer:
        """Grant, renew or refuse the holder lease.

        Only the renewal of an unexpired lease renews the task leases, and only if `renew_tasks` is
        set. A claim that was delayed by a pause of its sender therefore cannot extend task leases.

        Args:
            holder: incarnation of the claimant.
            ttl_s: requested duration in seconds.
            renew_tasks: whether a renewal also renews the leases of all running attempts.

        Returns:
            The answer; attempts are listed only if the claim is granted.
        """
        with self._lock:
            now_s = self.advance()
            epoch_before = self._lease.epoch
            granted = self._lease.claim(holder, ttl_s, now_s)
            if granted and renew_tasks and self._lease.epoch == epoch_before:
                self._renewed_s = now_s
            if self._lease.epoch != epoch_before:
                self._add_record(
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
                running=self._list_running_attempts(now_s) if granted else [],
                ended=list(self._ended.values()) if granted else [],
                boot_id=self._boot_id,
            )

    def release(self, epoch: int) -> bool:
        """Release the holder lease if `epoch` is valid, and return whether it was."""
        with self._lock:
            return self._lease.release(epoch, self.advance())

    def commands(
        self, epoch: int, commands: Sequence[WorkerCommand], fail_starts: bool = False
    ) -> list[CommandAnswer] | None:
        """Execute commands in order.

        Args:
            epoch: epoch of the sender's holder lease.
            commands: commands.
            fail_starts: whether attempts started by these commands fail at once.

        Returns:
            One answer per command, or None when the epoch is stale or the lease has expired.
        """
        with self._lock:
            now_s = self.advance()
            if not self._lease.is_valid_epoch(epoch, now_s):
                return None
            return [self._run_command(command, now_s, fail_starts) for command in commands]

    def listing(self) -> WorkerListing:
        """Return the state of the lease and the running and ended attempts."""
        with self._lock:
            now_s = self.advance()
            return WorkerListing(
                boot_id=self._boot_id,
                epoch=self._lease.epoch,
                holder=self._lease.current_holder(now_s),
                capacity=self.vm.capacity,
                leaving=self.leaving,
                running=self._list_running_attempts(now_s),
                ended=list(self._ended.values()),
            )

    def advance(self) -> float:
        """End the attempts whose run time or task lease is over; return the time in seconds."""
        with self._lock:
            now_s = self.clock()
            for run in list(self._running.values()):
                lease_end_s = max(run.started_s, self._renewed_s) + self.settings.task_lease_s
                if min(run.due_s, lease_end_s) > now_s:
                    continue
                if run.due_s <= lease_end_s:
                    end = AttemptEnd.FAILED if run.behaviour.fail else AttemptEnd.SUCCEEDED
                    self._end_attempt(run, end, run.due_s)
                else:
                    self._end_attempt(run, AttemptEnd.LEASE_LAPSED, lease_end_s)
            return now_s

    def simulate_crash(self) -> None:
        """Lose all attempts and change the boot id, as after a crash; the epoch is kept."""
        with self._lock:
            now_s = self.advance()
            for run in self._running.values():
                self._add_record(
                    AttemptEnded(
                        time_s=now_s, worker=self.vm.name, attempt=run.attempt, end="vm_died"
                    )
                )
            self._running.clear()
            self._ended.clear()
            self._started_attempts.clear()
            self._boot_id = secrets.token_hex(8)

    def reserved_resources(self) -> ResourceVector:
        """Return the resources reserved by all running attempts."""
        with self._lock:
            return sum((run.size for run in self._running.values()), ResourceVector())

    def handle(self, call: Call) -> Answer:
        """Answer an HTTP call of the worker interface."""
        match (call.method, call.path):
            case ("POST", "/v1/claim"):
                return handle_claim(call, self.claim)
            case ("POST", "/v1/release"):
                return handle_release(call, self.release)
            case ("POST", "/v1/commands"):
                return self._handle_commands(call)
            case ("GET", "/v1/list"):
                return json_answer(self.listing())
        return json_answer({"detail": f"no such route: {call.method} {call.path}"}, 404)

    def _handle_commands(self, call: Call) -> Answer:
        data = call.json()
        if not isinstance(data, dict) or not isinstance(data.get("epoch"), int):
            return json_answer({"detail": "expected epoch and commands"}, 400)
        try:
            commands = [_decode_command(item) for item in data.get("commands", [])]
        except (msgspec.ValidationError, KeyError, TypeError, AttributeError) as error:
            return json_answer({"detail": f"invalid command: {error}"}, 400)
        answers = self.commands(data["epoch"], commands, call.faults.fail)
        if answers is None:
            detail = {"detail": "stale epoch or expired lease", "epoch": self._lease.epoch}
            return json_answer(detail, 409)
        return json_answer(answers)

    def _run_command(self, command: WorkerCommand, now_s: float, fail: bool) -> CommandAnswer:
        match command:
            case StartAttempt():
                return self._start_attempt(command, now_s, fail)
            case AcknowledgeAttempt(attempt):
                found = self._ended.pop(attempt, None)
                return UNKNOWN_ATTEMPT if found is None else ACCEPTED
        run = self._running.get(command.attempt)
        if run is None:
            return UNKNOWN_ATTEMPT
        match command:
            case StopAttempt():
                self._end_attempt(run, AttemptEnd.STOPPED, now_s)
            case CheckpointAttempt():
                self.checkpoints.save(run.attempt.task, run.advance_progress(now_s))
                self._end_attempt(run, AttemptEnd.CHECKPOINTED, now_s)
            case ThrottleAttempt(_, processors_millicores):
                return self._throttle_attempt(run, processors_millicores, now_s)
        return ACCEPTED

    def _start_attempt(self, command: StartAttempt, now_s: float, fail: bool) -> CommandAnswer:
        refusal = None
        if command.attempt in self._started_attempts:
            refusal = DUPLICATE
        elif not (self.reserved_resources() + command.size).fits_in(self.vm.capacity):
            refusal = NO_ROOM
        if refusal is not None:
            self._add_record(
                StartRefused(
                    time_s=now_s,
                    worker=self.vm.name,
                    attempt=command.attempt,
                    reason=refusal.reason,
                )
            )
            return refusal
        settings = self.settings
        behaviour = parse_behaviour(command.command, command.run_time_s, settings.default_run_s)
        behaviour = attrs.evolve(behaviour, run_s=behaviour.run_s * settings.time_scale)
        if fail:
            behaviour = TaskBehaviour(0.0, True, behaviour.use)
        progress_s = self.checkpoints.load(command.attempt.task)
        self._started_attempts.add(command.attempt)
        run = TaskRun(
            command.attempt, command.size, command.size, behaviour, now_s, progress_s, now_s
        )
        self._running[command.attempt] = run
        self._add_record(
            AttemptStarted(
                time_s=now_s,
                worker=self.vm.name,
                attempt=command.attempt,
                size=command.size,
                capacity=self.vm.capacity,
                epoch=self._lease.epoch,
            )
        )
        return ACCEPTED

    def _throttle_attempt(
        self, run: TaskRun, processors_millicores: int, now_s: float
    ) -> CommandAnswer:
        size = run.throttled_size(processors_millicores)
        if not (self.reserved_resources() - run.size + size).fits_in(self.vm.capacity):
            return NO_ROOM
        run.throttle(processors_millicores, now_s)
        self._add_record(
            AttemptResized(time_s=now_s, worker=self.vm.name, attempt=run.attempt, size=run.size)
        )
        return ACCEPTED

    def _end_attempt(self, run: TaskRun, end: AttemptEnd, at_s: float) -> None:
        """End a running attempt at the time `at_s`."""
        del self._running[run.attempt]
        elapsed_s = max(0.0, at_s - run.started_s)
        self._ended[run.attempt] = EndedAttempt(run.attempt, end, elapsed_s)
        self._add_record(
            AttemptEnded(time_s=at_s, worker=self.vm.name, attempt=run.attempt, end=end.value)
        )

    def _list_running_attempts(self, now_s: float) -> list[RunningAttempt]:
        """Return the running attempts; the usage is None during the lag of usage reports."""
        lag_s = self.settings.usage_lag_s + self.extra_lag_s
        rows = []
        for run in self._running.values():
            elapsed_s = now_s - run.started_s
            usage = (run.behaviour.use or run.size) if elapsed_s >= lag_s else None
            rows.append(RunningAttempt(run.attempt, run.size, usage, elapsed_s))
        return rows

    def _add_record(self, record: HistoryRecord) -> None:
        self.recorder.add(record)


def _decode_command(item: Any) -> WorkerCommand:
    return msgspec.convert(item, _COMMAND_TYPES[item["type"]])
