"""Mutable state of workers, runs, steps and jobs inside the scheduler."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

import attrs

from ..resources import ResourceVector
from ._events import StopCause
from ._journal_records import (
    WorkflowState,
)
from ._names import StepName, TaskName
from ._occurrences import OccurrenceSet
from ._specs import Queue, StepSpec, WorkerInfo, WorkflowSpec

GANG_INDEX = -1
"""Task index under which the failures of a whole gang are counted."""


class RunPhase(Enum):
    """Phase of a run in the view of the scheduler."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@attrs.define(slots=True, eq=False)
class Run:
    """One run of a task on a worker; it occupies capacity until its end is known.

    Args:
        task: the task.
        number: run number; each run of a task gets a higher one.
        step: step of the task; None if the job is unknown or the task needs no run.
        worker: worker of the run.
        demand: resources that the run occupies.
        phase: current phase.
        phase_since_s: local time of the latest change of phase, in seconds.
        started_s: local time of the start, in seconds.
        last_order_s: local time of the latest start or stop order, in seconds.
        percent: progress in the latest report of the worker.
        progressed_s: local time at which `percent` last changed, in seconds.
        late_start_until_s: local time after which an unanswered start order can no longer take
            effect, in seconds.
        start_open: whether the latest start order may still be answered.
        starts_count: number of start orders sent.
        refusals_count: number of start orders that certainly had no effect.
        stop_answered: whether the worker has accepted a stop order.
        needs_stop_answer: whether only an accepted stop order shows that no start order can take
            effect any more, because the worker has restarted since the order.
        stop_cause: reason of the stop order; None before one is sent.
        checkpoint: latest checkpoint that the worker reported.
        reported: whether a report of the worker's present process has listed the run as running.
        speed_read_s: local time of the previous progress reading for the speed, in seconds.
        speed_read_percent: progress at that reading.
        projected_s: total run time at the latest speed, in seconds; 0 if unknown.
        team: team that the run is charged to; empty without one.
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
    start_open: bool = False
    starts_count: int = 0
    refusals_count: int = 0
    stop_answered: bool = False
    needs_stop_answer: bool = False
    stop_cause: StopCause | None = None
    checkpoint: str = ""
    reported: bool = False
    speed_read_s: float = 0.0
    speed_read_percent: float = 0.0
    projected_s: float = 0.0
    team: str = ""

    def may_start_late(self, now_s: float) -> bool:
        """Return whether an order to start the run may still be on its way."""
        settled_count = self.refusals_count + (self.phase is RunPhase.RUNNING or self.reported)
        return settled_count < self.starts_count and now_s < self.late_start_until_s

    @property
    def is_finite(self) -> bool:
        """Whether the run ends without a stop order."""
        return self.step is None or not self.step.spec.long_running


_CERTAIN_START_S = 1.0
"""Time before the start of a gang from which work of no higher priority may use its capacity."""
_ENTRIES_MAX = 4
"""Number of processes of a worker whose directory entries are kept."""
_BACKFILL_FACTOR = 1.5
"""Safety factor on the expected run time of work that uses reserved capacity."""


@attrs.frozen(slots=True)
class Reservation:
    """Capacity of a worker that is reserved for a gang.

    Args:
        size: the reserved resources.
        until_s: local time at which the reservation expires, in seconds.
        start_s: local time at which the gang is expected to start, in seconds.
    """

    size: ResourceVector
    until_s: float
    start_s: float

    def blocks(self, holder: Step, step: Step, now_s: float) -> bool:
        """Return whether `step` may not use the capacity that is reserved for `holder`.

        Work of a higher priority may use it until the plan of the gang is firm, and other work if
        it is expected to end before the start of the gang. An excess gang blocks no owed work.
        """
        if holder.job.is_excess and not step.job.is_excess:
            return False
        is_favoured = holder.job.is_excess or not step.job.is_excess
        if is_favoured and step.job.queue.priority < holder.job.queue.priority:
            return holder.gang_plan is not None and holder.gang_plan.firm
        if now_s >= self.start_s - _CERTAIN_START_S:
            return True
        return now_s + _BACKFILL_FACTOR * step.expected_run_s > self.start_s


@attrs.define(slots=True, eq=False)
class Worker:
    """A worker with its free capacity.

    Args:
        info: entry of the worker in the directory; its incarnation is the latest one known. The
            other fields may be those of an earlier process while `is_described` is false.
        entries: latest entries that the directory has shown, by incarnation.
        ended_incarnations: earlier incarnations, which the directory may show again.
        incarnation_shown_s: local time at which the present incarnation was last shown, in seconds.
        free: capacity minus the demand of all runs.
        runs: runs by task and run number.
        finite_demand: demand of the finite runs.
        reported_s: local time of its latest report, in seconds; None before the first.
        has_reported: whether the worker has reported all of its runs in this tenure.
        first_reported_s: local time of the report by which its present process first did so, in
            seconds.
        reachable: whether its latest answer arrived in time.
        in_directory: whether the directory contains the worker.
        runs_end_s: local time, in seconds, by which all of its runs have ended if it receives no
            further order.
        failure_rate: exponentially decaying share of failed runs.
        failed_job: id of the job of the latest failed run.
        times_set_aside_count: times it was set aside since its failure rate was last acceptable.
        set_aside_until_s: local time until which the worker gets no runs, in seconds.
        slow_until_s: local time until which the worker counts as slow, in seconds.
        reservations: capacity reserved for gangs, by step.
    """

    info: WorkerInfo
    free: ResourceVector
    entries: dict[int, WorkerInfo] = attrs.field(factory=dict)
    ended_incarnations: set[int] = attrs.field(factory=set)
    incarnation_shown_s: float = float("-inf")
    runs: dict[tuple[TaskName, int], Run] = attrs.field(factory=dict)
    finite_demand: ResourceVector = ResourceVector()
    reported_s: float | None = None
    has_reported: bool = False
    first_reported_s: float = float("-inf")
    reachable: bool = False
    in_directory: bool = True
    runs_end_s: float = 0.0
    failure_rate: float = 0.0
    failed_job: str = ""
    times_set_aside_count: int = 0
    set_aside_until_s: float = 0.0
    slow_until_s: float = 0.0
    reservations: dict[Step, Reservation] = attrs.field(factory=dict)

    @property
    def worker_id(self) -> str:
        """Identifier of the worker in the directory."""
        return self.info.worker_id

    @property
    def is_described(self) -> bool:
        """Whether the directory has shown the entry of the present process.

        A worker may restart with another capacity, other labels or in another failure domain, and
        its reports contain none of these.
        """
        return self.info.incarnation in self.entries

    def keep_entry(self, entry: WorkerInfo) -> None:
        """Keep an entry that the directory shows, and discard those of the oldest processes."""
        self.entries[entry.incarnation] = entry
        for incarnation in list(self.entries)[:-_ENTRIES_MAX]:
            if incarnation != self.info.incarnation:
                del self.entries[incarnation]

    def update_info(self, info: WorkerInfo) -> None:
        """Use another directory entry, and derive the free capacity from it."""
        used = self.info.capacity - self.free
        self.info, self.free = info, info.capacity - used

    def is_usable(self, now_s: float) -> bool:
        """Return whether new runs may be started on the worker."""
        return (
            self.has_reported
            and self.is_described
            and self.reachable
            and self.in_directory
            and not self.info.draining
            and not self.info.suspended
            and now_s >= self.set_aside_until_s
        )

    def available_capacity(self, step: Step, now_s: float) -> ResourceVector:
        """Return the free capacity that is not reserved for other steps."""
        if not self.reservations:
            return self.free
        free = self.free
        for holder, reservation in list(self.reservations.items()):
            if now_s >= reservation.until_s:
                del self.reservations[holder]
            elif holder is not step and reservation.blocks(holder, step, now_s):
                free = free - reservation.size
        return free

    def add(self, run: Run) -> None:
        """Add a run and subtract its demand from the free capacity."""
        self.runs[run.task, run.number] = run
        self.free = self.free - run.demand
        if run.is_finite:
            self.finite_demand = self.finite_demand + run.demand

    def remove(self, run: Run) -> None:
        """Remove a run and return its demand to the free capacity."""
        if self.runs.pop((run.task, run.number), None) is not None:
            self.free = self.free + run.demand
            if run.is_finite:
                self.finite_demand = self.finite_demand - run.demand


@attrs.frozen(slots=True)
class GangPlan:
    """Workers that can run a whole gang together.

    Args:
        counts: number of members by worker.
        start_s: local time at which all of them are expected to have room, in seconds.
        firm: whether the start is so close that no work of a higher priority may delay it.
    """

    counts: Mapping[Worker, int]
    start_s: float
    firm: bool = False


@attrs.define(slots=True, eq=False)
class Step:
    """A step of one occurrence of a job.

    Args:
        name: identifier of the step.
        spec: its specification.
        job: its job.
        done_bits: bit set; bit `index` is set when that task is done.
        failures: run numbers of the failed runs by task index; a gang uses `GANG_INDEX`.
        runs: current run by task index.
        waiting: indices of the tasks that are neither done nor running.
        run_numbers: highest run number by task index.
        lost_s: local time, in seconds, at which the latest run was found missing, by task index.
        checkpoints: checkpoint to resume from, by task index.
        avoided: id of the worker of the latest failed run, by task index.
        tickets: ticket and its local expiry time by id of an approved worker.
        approval_asked_s: local time of the open request for approval, in seconds; None if none is
            open.
        open_requests_count: number of open requests for approval.
        asked: ids of the workers for which an answer was received.
        blocked_version: capacity version at the latest unsuccessful placement; -1 to retry at once.
        tickets_renewed_s: local time of the latest request to renew expired tickets, in seconds.
        last_attempt_s: local time of the latest placement attempt, in seconds.
        unplaced_s: local time of the first attempt since which some task has found no place, in
            seconds; None if all have one.
        expected_run_s: expected run time of a task, in seconds.
        gang_plan: workers with capacity reserved for the gang; None if it has no reservation.
        retry_s: local time before which another attempt to place the gang is of no use, in seconds.
        sighted: indices of the tasks of which this tenure has started a run, or seen one at work.
    """

    name: StepName
    spec: StepSpec
    job: Job
    done_bits: int = 0
    failures: dict[int, tuple[int, ...]] = attrs.field(factory=dict)
    runs: dict[int, Run] = attrs.field(factory=dict)
    waiting: set[int] = attrs.field(factory=set)
    run_numbers: dict[int, int] = attrs.field(factory=dict)
    lost_s: dict[int, float] = attrs.field(factory=dict)
    checkpoints: dict[int, str] = attrs.field(factory=dict)
    avoided: dict[int, str] = attrs.field(factory=dict)
    tickets: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    approval_asked_s: float | None = None
    open_requests_count: int = 0
    asked: set[str] = attrs.field(factory=set)
    blocked_version: int = -1
    tickets_renewed_s: float = float("-inf")
    last_attempt_s: float = float("-inf")
    unplaced_s: float | None = None
    expected_run_s: float = 0.0
    gang_plan: GangPlan | None = None
    retry_s: float = float("-inf")
    sighted: set[int] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.waiting = {
            index for index in range(self.spec.tasks_count) if not self.done_bits >> index & 1
        }

    def raise_run_numbers(self) -> None:
        """Number further runs above the counted failures, which are recognized by their numbers."""
        for index, numbers in self.failures.items():
            indices = range(self.spec.tasks_count) if index == GANG_INDEX else [index]
            for task_index in indices:
                self.run_numbers[task_index] = max(self.run_numbers.get(task_index, 0), *numbers, 0)

    def expire_ticket(self, worker_id: str) -> None:
        """Mark the ticket for a worker as expired, so that a new one is requested.

        The worker stays approved: only its ticket was rejected, for instance because it expired on
        the way or the worker has restarted.
        """
        if worker_id in self.tickets:
            self.tickets[worker_id] = (self.tickets[worker_id][0], float("-inf"))

    def find_accounted(self, is_reconciled: bool) -> set[int]:
        """Return the waiting tasks of which no earlier tenure can have left an unknown run.

        An earlier tenure started no further run of a task of which this tenure has seen a run at
        work, nor any run of a step that depends on it, because no end of that run was known. The
        worker that reported the run refuses the earlier tenures, so they learn of no end later.

        Args:
            is_reconciled: whether all runs of earlier tenures are known or have ended.
        """
        if is_reconciled or not self.job.inherited or self.job.has_sighted_before(self):
            return self.waiting
        if self.spec.gang and len(self.sighted) < self.spec.tasks_count:
            # A member that was not seen may still be at work.
            return set()
        return self.waiting & self.sighted

    @property
    def done(self) -> bool:
        """Whether all tasks are done."""
        return self.done_bits == (1 << self.spec.tasks_count) - 1

    def mark_done(self, index: int) -> None:
        """Mark a task, or all tasks of a gang, as done."""
        if self.spec.gang:
            self.done_bits = (1 << self.spec.tasks_count) - 1
            self.waiting.clear()
        else:
            self.done_bits |= 1 << index
            self.waiting.discard(index)

    def is_done(self, index: int) -> bool:
        """Return whether a task is done."""
        return bool(self.done_bits >> index & 1)


@attrs.define(slots=True, eq=False)
class Job:
    """A job with the steps of its open occurrences.

    Args:
        job_id: identifier of the job.
        queue: configuration of its queue when it was accepted.
        spec: its specification.
        accepted_s: local time of the acceptance, in seconds.
        inherited: whether an earlier tenure may have started runs of it.
        recorded: whether its first progress is durable. Before that, no run may be started, so that
            the next scheduler knows that there is none.
        state: current state, to be stored in the journal.
        steps: steps by occurrence and index, of the occurrences that are due and not done.
        done: occurrences of a job with scheduled times that are done and have no runs.
        next_occurrence: first occurrence that may not have been created yet.
        open_occurrences_max: number of open occurrences from which no further ones are created.
        blocked_s: local time, in seconds, at which the journal rejected the progress for its size;
            None if it is stored. No further runs are started until then.
        dirty: whether progress must be stored.
        team: team of the job; empty without teams.
        is_excess: whether its team has sent it beyond its weight.
    """

    job_id: str
    queue: Queue
    spec: WorkflowSpec
    accepted_s: float
    inherited: bool
    recorded: bool = False
    state: WorkflowState = WorkflowState.QUEUED
    steps: dict[tuple[int, int], Step] = attrs.field(factory=dict)
    done: OccurrenceSet = attrs.field(factory=OccurrenceSet)
    next_occurrence: int = 0
    open_occurrences_max: int = 1
    blocked_s: float | None = None
    dirty: bool = False
    team: str = ""
    is_excess: bool = False

    def create_occurrence(self, occurrence: int) -> None:
        """Create the steps of an occurrence that do not exist yet, unless it is done."""
        if occurrence in self.done:
            return
        for index, spec in enumerate(self.spec.steps):
            if (occurrence, index) not in self.steps:
                name = StepName(self.job_id, occurrence, index)
                self.steps[occurrence, index] = Step(name=name, spec=spec, job=self)

    def is_ready(self, step: Step) -> bool:
        """Return whether all steps that `step` depends on are done."""
        occurrence = step.name.occurrence
        return all(self.steps[occurrence, index].done for index in step.spec.after)

    def has_sighted_before(self, step: Step) -> bool:
        """Return whether this tenure has seen a run of a step that `step` depends on."""
        occurrence = step.name.occurrence
        pending, visited = list(step.spec.after), set()
        while pending:
            index = pending.pop()
            if index not in visited:
                visited.add(index)
                if self.steps[occurrence, index].sighted:
                    return True
                pending += self.spec.steps[index].after
        return False

    @property
    def is_complete(self) -> bool:
        """Whether every task of every occurrence is done."""
        count = len(self.spec.steps)
        wanted = (self.spec.occurrences_count - len(self.done)) * count
        return len(self.steps) == wanted and all(step.done for step in self.steps.values())

    @property
    def open_occurrences_count(self) -> int:
        """Number of occurrences with steps."""
        return len(self.steps) // max(1, len(self.spec.steps))
