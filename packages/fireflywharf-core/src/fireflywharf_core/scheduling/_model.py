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


class Phase(Enum):
    """Where an attempt stands."""

    INTENT = "intent"
    STARTING = "starting"
    UNCERTAIN = "uncertain"
    RUNNING = "running"


class Zone(Enum):
    """Which work a worker is open to."""

    GENERAL = "general"
    HEADROOM = "headroom"
    GANG = "gang"
    PROMISED = "promised"
    CLOSED = "closed"


@attrs.define(slots=True, eq=False)
class Worker:
    """A worker and the room that is free by the sizes charged to it."""

    vm: VmInfo
    order: int
    free_cpu: int
    free_mem: int
    free_acc: int
    attempts: dict[AttemptId, Attempt] = attrs.field(factory=dict)
    zone: Zone = Zone.CLOSED
    reported: bool = False
    lost: bool = False
    leaving: bool = False
    set_aside: bool = False
    room_unknown: bool = False
    reclaim_cpu: int = 0
    reclaim_mem: int = 0
    reclaim_acc: int = 0
    promised_to: str = ""
    promise_ends_s: float = 0.0

    @property
    def free(self) -> ResourceVector:
        """Free room; a component is negative when use exceeds the reserved sizes."""
        return ResourceVector(self.free_cpu, self.free_mem, self.free_acc)

    @property
    def name(self) -> str:
        """Name in the VM list."""
        return self.vm.name

    @property
    def usable(self) -> bool:
        """Whether it may get work other than probes."""
        return self.reported and not (
            self.lost or self.leaving or self.set_aside or self.room_unknown
        )

    def fits(self, size: ResourceVector) -> bool:
        """Return whether `size` fits in the free room."""
        return (
            size.processors_millicores <= self.free_cpu
            and size.memory_mb <= self.free_mem
            and size.accelerators_count <= self.free_acc
        )


@attrs.define(slots=True, eq=False)
class Attempt:
    """One run of a task, from the reservation of room until its end is known.

    Args:
        ident: identifier.
        job: its job; None for an attempt of a job that is not known here.
        worker: where it runs.
        reserved: size that the worker reserves.
        charged: size charged here; no component is below `reserved`.
        phase: where it stands.
        since_s: time of the last change of phase.
        started_s: time of its start, corrected by the worker's report.
        stop_step: number of reclaim or stop commands sent.
        stop_sent_s: time of the last of them.
        missing_s: time at which the first report that does not list it was asked for.
        usage: largest reported use.
        reclaimable: whether its room may be taken back.
        long: whether it counts as long work.
        estimate_s: predicted run time at its start.
        prepaid: share-seconds charged at its start.
    """

    ident: AttemptId
    job: Job | None
    worker: Worker
    reserved: ResourceVector
    charged: ResourceVector
    phase: Phase
    since_s: float
    started_s: float
    stop_step: int = 0
    stop_sent_s: float = 0.0
    missing_s: float | None = None
    usage: ResourceVector | None = None
    reclaimable: bool = False
    long: bool = False
    estimate_s: float = 0.0
    prepaid: float = 0.0


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
    stopping: bool = False
    infeasible: bool = False
    queued: bool = False
    order_key: float = 0.0
    blocked_s: float | None = None
    retry_s: float = 0.0
    short: bool = False
    size: ResourceVector | None = None
    size_due_s: float = 0.0
    wait_code: ResultCode = ResultCode.ACCEPTED
    wait_detail: str = "it waits for its turn"
    racks: dict[str, int] = attrs.field(factory=dict)
    flags: bytearray = attrs.field(init=False)
    numbers: array = attrs.field(init=False)
    live: dict[int, Attempt] = attrs.field(factory=dict)
    failures: dict[int, int] = attrs.field(factory=dict)
    avoided: dict[int, set[str]] = attrs.field(factory=dict)
    intended: set[int] = attrs.field(factory=set)
    returned: list[int] = attrs.field(factory=list)
    next_index: int = 0
    done_count: int = 0
    waiting_count: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.flags = bytearray(self.spec.tasks_count)
        self.numbers = array("I", [0]) * self.spec.tasks_count
        self.waiting_count = self.spec.tasks_count

    @property
    def final(self) -> bool:
        """Whether the job has its last state."""
        return self.state in FINAL_STATES

    @property
    def is_gang(self) -> bool:
        """Whether its tasks start all together or not at all."""
        return self.spec.kind is JobKind.GANG

    def peek_waiting(self) -> int:
        """Return the index of the waiting task that runs next."""
        while self.returned and self.flags[self.returned[0]] != WAITING:
            heapq.heappop(self.returned)
        if self.returned:
            return self.returned[0]
        while self.flags[self.next_index] != WAITING:
            self.next_index += 1
        return self.next_index

    def mark(self, index: int, flag: int) -> None:
        """Set the state of a task and keep the counts."""
        before = self.flags[index]
        if before == flag:
            return
        self.waiting_count += (flag == WAITING) - (before == WAITING)
        self.done_count += (flag == DONE) - (before == DONE)
        self.flags[index] = flag
        if flag == WAITING and index < self.next_index:
            heapq.heappush(self.returned, index)

    def next_attempt(self, index: int) -> AttemptId:
        """Return the next attempt of a task; numbers rise above every number seen."""
        self.numbers[index] += 1
        return AttemptId(TaskId(self.spec.job_id, index), self.numbers[index])

    def saw_number(self, index: int, number: int) -> None:
        """Take note of an attempt number of an earlier scheduler."""
        self.numbers[index] = max(self.numbers[index], number)
