"""Mutable state of workers, attempts and jobs inside the scheduler."""

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
    """Where an attempt stands."""

    INTENT = "intent"
    STARTING = "starting"
    UNCERTAIN = "uncertain"
    RUNNING = "running"


class Pool(Enum):
    """Which work a worker is open to."""

    GENERAL = "general"
    HEADROOM = "headroom"
    GANG = "gang"
    RESERVED = "promised"
    CLOSED = "closed"


@attrs.define(slots=True, eq=False)
class Worker:
    """A worker and the room that is free by the sizes charged to it."""

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
        """Free room; a component is negative when use exceeds the reserved sizes."""
        return ResourceVector(
            self.free_processors_millicores, self.free_memory_mb, self.free_accelerators_count
        )

    @property
    def name(self) -> str:
        """Name in the VM list."""
        return self.vm.name

    @property
    def is_usable(self) -> bool:
        """Whether it may get work other than probes."""
        return self.reported and not (
            self.lost or self.leaving or self.set_aside or self.free_unknown
        )

    def can_fit(self, size: ResourceVector) -> bool:
        """Return whether `size` fits in the free room."""
        return (
            size.processors_millicores <= self.free_processors_millicores
            and size.memory_mb <= self.free_memory_mb
            and size.accelerators_count <= self.free_accelerators_count
        )


@attrs.define(slots=True, eq=False)
class Attempt:
    """One run of a task, from the reservation of room until its end is known.

    Args:
        attempt_id: identifier.
        job: its job; None for an attempt of a job that is not known here.
        worker: where it runs.
        reserved: size that the worker reserves.
        charged: size charged here; no component is below `reserved`.
        phase: where it stands.
        since_s: time of the last change of phase.
        started_s: time of its start, corrected by the worker's report.
        stop_commands_count: number of reclaim or stop commands sent.
        stop_sent_s: time of the last of them.
        first_missing_s: time at which the first report that does not list it was asked for.
        usage: largest reported use.
        reclaimable: whether its room may be taken back.
        counts_as_long: whether it counts as long work.
        estimate_s: predicted run time at its start.
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
    """A job and the state of its tasks; one byte and one 32-bit number per task."""

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
    wait_detail: str = "it waits for its turn"
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
        """Whether the job has its last state."""
        return self.state in FINAL_STATES

    @property
    def is_gang(self) -> bool:
        """Whether its tasks start all together or not at all."""
        return self.spec.kind is JobKind.GANG

    def peek_waiting(self) -> int:
        """Return the index of the waiting task that runs next."""
        while self.requeued_indexes and self.task_states[self.requeued_indexes[0]] != WAITING:
            heapq.heappop(self.requeued_indexes)
        if self.requeued_indexes:
            return self.requeued_indexes[0]
        while self.task_states[self.next_index] != WAITING:
            self.next_index += 1
        return self.next_index

    def set_task_state(self, index: int, task_state: int) -> None:
        """Set the state of a task and keep the counts."""
        before = self.task_states[index]
        if before == task_state:
            return
        self.waiting_count += (task_state == WAITING) - (before == WAITING)
        self.done_count += (task_state == DONE) - (before == DONE)
        self.task_states[index] = task_state
        if task_state == WAITING and index < self.next_index:
            heapq.heappush(self.requeued_indexes, index)

    def next_attempt(self, index: int) -> AttemptId:
        """Return the next attempt of a task; numbers rise above every number seen."""
        self.attempt_numbers[index] += 1
        return AttemptId(TaskId(self.spec.job_id, index), self.attempt_numbers[index])

    def raise_attempt_number(self, index: int, number: int) -> None:
        """Take note of an attempt number of an earlier scheduler."""
        self.attempt_numbers[index] = max(self.attempt_numbers[index], number)
