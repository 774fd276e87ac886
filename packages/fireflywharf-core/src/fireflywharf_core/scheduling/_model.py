"""Mutable state of workers, attempts and jobs in the scheduler."""

from __future__ import annotations

import heapq
from array import array
from enum import Enum

import attrs

from ..jobs import AttemptId, JobKind, JobSpec, JobState, TaskId
from ..platform import VmInfo
from ..resources import ResourceVector
from ..results import ResultCode

WAITING, LIVE, DONE = 0, 1, 2
FINAL_STATES = frozenset({JobState.DONE, JobState.FAILED, JobState.CANCELLED, JobState.UNKNOWN})


class AttemptPhase(Enum):
    """Phase of an attempt.

    Attributes:
        INTENT: its start intent is not durable yet; no start was sent.
        STARTING: the start was sent and not answered yet.
        UNCERTAIN: no answer to the start arrived, so it may be running.
        RUNNING: its worker confirmed that it runs.
    """

    INTENT = "intent"
    STARTING = "starting"
    UNCERTAIN = "uncertain"
    RUNNING = "running"


class Pool(Enum):
    """Pool of a worker, which determines the tasks it accepts.

    Attributes:
        GENERAL: any task.
        HEADROOM: urgent tasks only.
        GANG: the job that holds the gang reservation, urgent tasks, and tasks that end earlier.
        RESERVED: the job for which resources are being reclaimed on the worker.
        CLOSED: no task except probes.
    """

    GENERAL = "general"
    HEADROOM = "headroom"
    GANG = "gang"
    RESERVED = "promised"
    CLOSED = "closed"


@attrs.define(slots=True, eq=False)
class Worker:
    """A worker, the attempts charged to it and its free resources.

    Attributes:
        vm: row of the VM list.
        worker_number: index in order of joining.
        attempts: attempts that hold resources of the worker.
        pool: pool that determines the tasks it accepts.
        reported: whether its list of attempts is current in this tenure.
        lost: whether it is unreachable.
        leaving: whether it is being drained.
        set_aside: whether it gets no tasks except probes, after failures of several jobs.
        free_unknown: whether it refused a start for lack of resources and has not reported since.
        reserved_for_job_id: job for which resources are being reclaimed on it; empty for none.
        reservation_ends_s: time at which that reservation ends.
    """

    vm: VmInfo
    worker_number: int
    free_processors_millicores: int
    free_memory_mb: int
    free_accelerators_count: int
    attempts: dict[AttemptId, Attempt] = attrs.field(factory=dict)
    pool: Pool = Pool.CLOSED
    reported: bool = False
    lost: bool = False
    leaving: bool = False
    set_aside: bool = False
    free_unknown: bool = False
    reclaimable_processors_millicores: int = 0
    reclaimable_memory_mb: int = 0
    reclaimable_accelerators_count: int = 0
    reserved_for_job_id: str = ""
    reservation_ends_s: float = 0.0

    @property
    def free(self) -> ResourceVector:
        """Free resources; a component is negative if usage exceeds the capacity."""
        return ResourceVector(
            self.free_processors_millicores, self.free_memory_mb, self.free_accelerators_count
        )

    @property
    def name(self) -> str:
        """Name in the VM list."""
        return self.vm.name

    @property
    def is_usable(self) -> bool:
        """Whether the worker may get tasks other than probes."""
        return self.reported and not (
            self.lost or self.leaving or self.set_aside or self.free_unknown
        )

    def can_fit(self, size: ResourceVector) -> bool:
        """Return whether `size` fits into the free resources."""
        return (
            size.processors_millicores <= self.free_processors_millicores
            and size.memory_mb <= self.free_memory_mb
            and size.accelerators_count <= self.free_accelerators_count
        )


@attrs.define(slots=True, eq=False)
class Attempt:
    """One run of a task, from the reservation of resources until its end is known.

    Args:
        attempt_id: identifier.
        job: its job; None while the job is unknown to the scheduler.
        worker: worker on which it runs.
        reserved: resources that the worker reserves for it.
        charged: resources charged to the worker: the larger of reserved and used ones.
        phase: phase of the attempt.
        since_s: time of the last change of phase.
        started_s: time of its start, corrected by the worker's report.
        stop_commands_count: number of reclaim or stop commands sent.
        stop_sent_s: time of the last such command.
        first_missing_s: time of the request for the first report that did not list it; else None.
        usage: largest reported usage.
        reclaimable: whether its resources may be reclaimed.
        counts_as_long: whether it counts as a long task.
        estimate_s: run time in seconds predicted at its start.
        prepaid_share_seconds: share-seconds charged at its start.
    """

    attempt_id: AttemptId
    job: Job | None
    worker: Worker
    reserved: ResourceVector
    charged: ResourceVector
    phase: AttemptPhase
    since_s: float
    started_s: float
    stop_commands_count: int = 0
    stop_sent_s: float = 0.0
    first_missing_s: float | None = None
    usage: ResourceVector | None = None
    reclaimable: bool = False
    counts_as_long: bool = False
    estimate_s: float = 0.0
    prepaid_share_seconds: float = 0.0


@attrs.define(slots=True, eq=False)
class Job:
    """A job and the state of its tasks, which takes one byte and one 32-bit number per task.

    Attributes:
        spec: specification of the job.
        sequence: number in order of admission.
        admitted_s: time of its acceptance.
        deadline_s: time by which it is due; infinite for none.
        recorded: whether its acceptance is durable.
        new_in_tenure: whether this scheduler accepted it, so that no earlier one has started it.
        late: whether its deadline passed before it finished.
        finish_recorded: whether its final state is durable.
        restarting: whether all tasks of the gang are being stopped to start again together.
        infeasible: whether it was reported as infeasible.
        order_key: time that orders it in its queue, the deadline or a substitute for it.
        blocked_since_s: time since which none of its tasks finds free resources; None if one may.
        next_try_s: time before which a gang is not placed again.
        short: whether its tasks are expected to be short.
        size: resources to reserve for a task; computed again at `size_refresh_s`.
        wait_code: result code of the reason why its tasks wait.
        wait_detail: reason why its tasks wait.
        tasks_per_rack: running tasks of a service by rack.
        task_states: `WAITING`, `LIVE` or `DONE` for each task.
        attempt_numbers: highest known attempt number of each task.
        live_attempts: attempt of each live task, by task index.
        failures: counted failures by task index.
        avoided_workers: workers on which a task failed, by task index.
        recorded_intents: indexes of tasks with a durable start intent.
        requeued_indexes: heap of indexes below `next_index` that wait again.
        next_index: lowest index that may not have been started yet.
    """

    spec: JobSpec
    sequence: int
    admitted_s: float
    deadline_s: float
    recorded: bool
    new_in_tenure: bool
    late: bool = False
    state: JobState = JobState.WAITING
    detail: str = ""
    finish_recorded: bool = False
    cancelled: bool = False
    restarting: bool = False
    infeasible: bool = False
    queued: bool = False
    order_key: float = 0.0
    blocked_since_s: float | None = None
    next_try_s: float = 0.0
    short: bool = False
    size: ResourceVector | None = None
    size_refresh_s: float = 0.0
    wait_code: ResultCode = ResultCode.ACCEPTED
    wait_detail: str = "it waits in the queue"
    tasks_per_rack: dict[str, int] = attrs.field(factory=dict)
    task_states: bytearray = attrs.field(init=False)
    attempt_numbers: array = attrs.field(init=False)
    live_attempts: dict[int, Attempt] = attrs.field(factory=dict)
    failures: dict[int, int] = attrs.field(factory=dict)
    avoided_workers: dict[int, set[str]] = attrs.field(factory=dict)
    recorded_intents: set[int] = attrs.field(factory=set)
    requeued_indexes: list[int] = attrs.field(factory=list)
    next_index: int = 0
    done_count: int = 0
    waiting_count: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.task_states = bytearray(self.spec.tasks_count)
        self.attempt_numbers = array("I", [0]) * self.spec.tasks_count
        self.waiting_count = self.spec.tasks_count

    @property
    def is_final(self) -> bool:
        """Whether the job has reached a final state."""
        return self.state in FINAL_STATES

    @property
    def is_gang(self) -> bool:
        """Whether all tasks of the job must start together."""
        return self.spec.kind is JobKind.GANG

    def peek_waiting(self) -> int:
        """Return the index of the waiting task to start next."""
        while self.requeued_indexes and self.task_states[self.requeued_indexes[0]] != WAITING:
            heapq.heappop(self.requeued_indexes)
        if self.requeued_indexes:
            return self.requeued_indexes[0]
        while self.task_states[self.next_index] != WAITING:
            self.next_index += 1
        return self.next_index

    def set_task_state(self, index: int, task_state: int) -> None:
        """Set the state of a task and update the counts of waiting and done tasks."""
        before = self.task_states[index]
        if before == task_state:
            return
        self.waiting_count += (task_state == WAITING) - (before == WAITING)
        self.done_count += (task_state == DONE) - (before == DONE)
        self.task_states[index] = task_state
        if task_state == WAITING and index < self.next_index:
            heapq.heappush(self.requeued_indexes, index)

    def next_attempt(self, index: int) -> AttemptId:
        """Return a new attempt identifier for a task, with a number above all known ones."""
        self.attempt_numbers[index] += 1
        return AttemptId(TaskId(self.spec.job_id, index), self.attempt_numbers[index])

    def raise_attempt_number(self, index: int, number: int) -> None:
        """Raise the highest known attempt number of a task to `number`."""
        self.attempt_numbers[index] = max(self.attempt_numbers[index], number)
