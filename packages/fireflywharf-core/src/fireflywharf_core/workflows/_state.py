"""Mutable state of workers, runs, steps and jobs inside the scheduler."""

from __future__ import annotations

from enum import Enum

import attrs

from ..resources import ResourceVector
from ._journal import StepProgress, WorkflowProgress, WorkflowState
from ._names import StepName, TaskName
from ._specs import Queue, StepSpec, WorkerInfo, WorkflowSpec

GANG_INDEX = -1
"""Index under which the failures of a gang are counted."""


class RunPhase(Enum):
    """Where a run stands."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@attrs.define(slots=True, eq=False)
class Run:
    """One run of a task on a worker; it takes room until its end is known.

    Args:
        task: the task.
        number: number of the run; rises for each task.
        step: its step; None when the job is not known or the task needs no run.
        worker: where it runs.
        demand: room that it takes.
        phase: where it stands.
        phase_since_s: time of the last change of phase.
        last_order_s: time of the latest order that concerns it.
        started_s: time of the start.
        percent: progress that the worker reported last.
        progressed_s: time at which `percent` rose last.
        late_start_until_s: time after which an unanswered start cannot take effect any more.
        starts_count: orders to start it that were sent.
        refusals_count: orders to start it that were refused for certain.
        stop_answered: whether the worker has taken up an order to stop it.
        checkpoint: newest checkpoint that the worker reported.
        speed_read_s: time of the reading of progress from which speed is measured.
        speed_read_percent: progress at that time.
        projected_s: run time that the latest speed leads to; 0 if not known.
    """

    task: TaskName
    number: int
    step: Step | None
    worker: Worker
    demand: ResourceVector
    phase: RunPhase
    phase_since_s: float
    started_s: float
    last_order_s: float = 0.0
    percent: float = 0.0
    progressed_s: float = 0.0
    late_start_until_s: float = 0.0
    starts_count: int = 0
    refusals_count: int = 0
    stop_answered: bool = False
    checkpoint: str = ""
    speed_read_s: float = 0.0
    speed_read_percent: float = 0.0
    projected_s: float = 0.0

    @property
    def is_finite(self) -> bool:
        """Whether the run ends without an order to stop it."""
        return self.step is None or not self.step.spec.long_running


@attrs.frozen(slots=True)
class Reservation:
    """Room that a worker keeps for a gang.

    Args:
        size: the room.
        until_s: time at which this ends.
        firm: whether work of a higher priority may not use it either, because the gang starts there
            as soon as its tickets come.
    """

    size: ResourceVector
    until_s: float
    firm: bool


@attrs.define(slots=True, eq=False)
class Worker:
    """A worker with its free room.

    Args:
        info: what the directory says.
        free: capacity less the room of all runs.
        runs: its runs by task and number.
        finite_demand: room of the runs that end by themselves.
        listed: whether it has answered with its lists in this tenure.
        reachable: whether its latest answer came in time.
        present: whether the directory names it.
        runs_end_s: time by which every run there has ended if no order reaches it any more.
        failure_rate: recent share of runs that failed, decaying.
        failed_job: job of the latest failed run.
        quarantines_count: times that it was set aside since it last ended a run well.
        quarantined_until_s: time until which it gets no work.
        slow_until_s: time until which it counts as slow.
        reservations: room kept for gangs.
    """

    info: WorkerInfo
    free: ResourceVector
    runs: dict[tuple[TaskName, int], Run] = attrs.field(factory=dict)
    finite_demand: ResourceVector = ResourceVector()
    listed: bool = False
    reachable: bool = False
    present: bool = True
    runs_end_s: float = 0.0
    failure_rate: float = 0.0
    failed_job: str = ""
    quarantines_count: int = 0
    quarantined_until_s: float = 0.0
    slow_until_s: float = 0.0
    reservations: dict[Step, Reservation] = attrs.field(factory=dict)

    @property
    def worker_id(self) -> str:
        """Identifier in the directory."""
        return self.info.worker_id

    def is_usable(self, now_s: float) -> bool:
        """Return whether new runs may be started there."""
        return (
            self.listed
            and self.reachable
            and self.present
            and not self.info.draining
            and now_s >= self.quarantined_until_s
        )

    def available_capacity(self, step: Step, now_s: float) -> ResourceVector:
        """Return the free room that is not held for other steps."""
        free = self.free
        for holder, hold in list(self.reservations.items()):
            if now_s >= hold.until_s:
                del self.reservations[holder]
            elif holder is not step and (
                hold.firm or holder.job.queue.priority <= step.job.queue.priority
            ):
                free = free - hold.size
        return free

    def add(self, run: Run) -> None:
        """Take room for a run."""
        self.runs[run.task, run.number] = run
        self.free = self.free - run.demand
        if run.is_finite:
            self.finite_demand = self.finite_demand + run.demand

    def remove(self, run: Run) -> None:
        """Give the room of a run back."""
        if self.runs.pop((run.task, run.number), None) is not None:
            self.free = self.free + run.demand
            if run.is_finite:
                self.finite_demand = self.finite_demand - run.demand


@attrs.define(slots=True, eq=False)
class Step:
    """A step of one occurrence.

    Args:
        name: name of the step.
        spec: what was submitted.
        job: its job.
        done_bits: bit `index` is set when that task is done.
        failures: numbers of failed runs by task index; a gang counts under `GANG_INDEX`.
        runs: present run of each task that has one.
        waiting: indices of tasks without a run that are not done.
        numbers: highest run number by task index.
        checkpoints: checkpoint from which a task resumes.
        avoided: worker on which the latest run of a task failed.
        tickets: ticket and its expiry by worker that may run the step.
        approval_asked_s: time of the latest request for approval; None before the first.
        asked: workers about which an answer has been received.
        blocked_version: version of the free room at which it could not be placed.
        renewed_s: time of the latest request for tickets that had lapsed.
        last_attempt_s: time at which it could not be placed last.
        reserved_counts: workers whose room is kept for it, with the number of tasks.
    """

    name: StepName
    spec: StepSpec
    job: Job
    done_bits: int = 0
    failures: dict[int, tuple[int, ...]] = attrs.field(factory=dict)
    runs: dict[int, Run] = attrs.field(factory=dict)
    waiting: set[int] = attrs.field(factory=set)
    numbers: dict[int, int] = attrs.field(factory=dict)
    checkpoints: dict[int, str] = attrs.field(factory=dict)
    avoided: dict[int, str] = attrs.field(factory=dict)
    tickets: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    approval_asked_s: float | None = None
    asked: set[str] = attrs.field(factory=set)
    blocked_version: int = -1
    renewed_s: float = float("-inf")
    last_attempt_s: float = float("-inf")
    reserved_counts: dict[Worker, int] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.waiting = {
            index for index in range(self.spec.tasks_count) if not self.done_bits >> index & 1
        }

    @property
    def done(self) -> bool:
        """Whether all tasks are done."""
        return self.done_bits == (1 << self.spec.tasks_count) - 1

    def mark_done(self, index: int) -> None:
        """Record the end of a task, or of the whole gang."""
        if self.spec.gang:
            self.done_bits = (1 << self.spec.tasks_count) - 1
            self.waiting.clear()
        else:
            self.done_bits |= 1 << index
            self.waiting.discard(index)

    def is_done(self, index: int) -> bool:
        """Return whether a task needs no further run."""
        return bool(self.done_bits >> index & 1)

    def progress(self) -> StepProgress:
        """Return what is to be durable."""
        return StepProgress(
            occurrence=self.name.occurrence,
            step=self.name.step,
            done_bits=self.done_bits,
            failures=dict(self.failures),
        )


@attrs.define(slots=True, eq=False)
class Job:
    """A job with the steps of the occurrences that are due.

    Args:
        job_id: identifier.
        queue: settings of its queue at acceptance.
        spec: what was submitted.
        accepted_s: local time of its acceptance.
        inherited: whether an earlier tenure may have started runs.
        state: state to be recorded.
        steps: steps by occurrence and index.
        dirty: whether there is progress to record.
    """

    job_id: str
    queue: Queue
    spec: WorkflowSpec
    accepted_s: float
    inherited: bool
    state: WorkflowState = WorkflowState.QUEUED
    steps: dict[tuple[int, int], Step] = attrs.field(factory=dict)
    dirty: bool = False

    def create_occurrence(self, occurrence: int) -> None:
        """Create the steps of an occurrence."""
        for index, spec in enumerate(self.spec.steps):
            if (occurrence, index) not in self.steps:
                name = StepName(self.job_id, occurrence, index)
                self.steps[occurrence, index] = Step(name=name, spec=spec, job=self)

    def is_ready(self, step: Step) -> bool:
        """Return whether all earlier steps that it depends on are done."""
        occurrence = step.name.occurrence
        return all(self.steps[occurrence, index].done for index in step.spec.after)

    @property
    def is_complete(self) -> bool:
        """Whether every task of every occurrence is done."""
        wanted = self.spec.occurrences_count * len(self.spec.steps)
        return len(self.steps) == wanted and all(step.done for step in self.steps.values())

    def progress(self) -> WorkflowProgress:
        """Return what is to be durable."""
        rows = tuple(step.progress() for step in self.steps.values())
        return WorkflowProgress(
            job_id=self.job_id,
            state=self.state,
            steps=tuple(
                row for row in rows if not self.state.is_final and (row.done_bits or row.failures)
            ),
        )

    def restore(self, progress: WorkflowProgress) -> None:
        """Take over what an earlier tenure recorded."""
        self.state = progress.state
        for row in progress.steps:
            self.create_occurrence(row.occurrence)
            step = self.steps.get((row.occurrence, row.step))
            if step is None:
                continue
            step.done_bits = row.done_bits
            step.failures = dict(row.failures)
            step.waiting = {i for i in step.waiting if not row.done_bits >> i & 1}
