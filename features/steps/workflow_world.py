"""Workers in virtual time that speak to a `WorkflowScheduler`, with faults and their own checks.

The workers count room, runs and fencing tokens themselves, so a broken promise shows here whatever
the scheduler believes.
"""

import math
import random

import attrs

from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.workflows import (
    Approval,
    ApprovalReceived,
    AskApproval,
    DirectoryChanged,
    EndKind,
    JobAdded,
    JobCancelled,
    JournalState,
    Queue,
    ReportedEnd,
    ReportedRun,
    StartAnswered,
    StartResult,
    StartRun,
    StepSpec,
    StopAnswered,
    StopRun,
    Timing,
    WorkerInfo,
    WorkerReported,
    WorkerSilent,
    WorkersInUse,
    WorkflowAccepted,
    WorkflowCancelled,
    WorkflowScheduler,
    WorkflowSpec,
    encode_record,
)

STEP_S = 0.05
TASK_S = 0.4
LEASE_S = 6.0
STOP_S = 0.2


@attrs.define(slots=True, eq=False)
class Process:
    """A run at a worker."""

    order: StartRun
    spec: StepSpec
    started_s: float
    ends_s: float
    fails: bool
    stops_s: float | None = None

    def percent(self, now_s):
        """Return the progress in whole percent."""
        elapsed = (now_s - self.started_s) / max(STEP_S, self.ends_s - self.started_s)
        return math.floor(100 * min(1.0, elapsed))


@attrs.define(slots=True, eq=False)
class FakeWorker:
    """A worker that remembers the highest epoch and keeps its ends until they are acknowledged."""

    info: WorkerInfo
    world: "WorkflowWorld"
    epoch: int = 0
    lease_end_s: float = 0.0
    serial: int = 0
    processes: dict = attrs.field(factory=dict)
    ends: list = attrs.field(factory=list)
    finished_numbers: dict = attrs.field(factory=dict)
    reachable: bool = True
    fails_all: bool = False
    loses_starts: bool = False
    work_s: float = TASK_S

    def end(self, key, kind):
        """End a run and keep its end."""
        process = self.processes.pop(key, None)
        if process is None:
            return
        self.serial += 1
        self.ends.append(ReportedEnd(self.serial, key[0], key[1], kind, ""))
        highest = self.finished_numbers.get(key[0], 0)
        self.finished_numbers[key[0]] = max(highest, key[1])
        if kind is EndKind.DONE:
            self.world.note_done(key[0], process.spec)
        if kind is not EndKind.DONE and process.spec.gang:
            self.world.break_gang(key[0].step_name, key[1])

    def advance(self, now_s):
        """End runs that are due."""
        for key, process in list(self.processes.items()):
            if now_s >= self.lease_end_s:
                self.end(key, EndKind.LEASE_LAPSED)
            elif process.stops_s is not None and now_s >= process.stops_s:
                self.end(key, EndKind.STOPPED)
            elif now_s >= process.ends_s and self.world.gang_is_whole(key, process):
                self.end(key, EndKind.FAILED if process.fails else EndKind.DONE)

    def used(self):
        """Return the room that is taken."""
        total = ResourceVector()
        for process in self.processes.values():
            total = total + process.spec.demand
        return total

    def start(self, order, epoch, now_s):
        """Start a run as told, without a check of its room."""
        if epoch < self.epoch:
            return StartResult.STALE_EPOCH
        self.epoch = epoch
        self.lease_end_s = max(self.lease_end_s, now_s + 4.0)
        key = (order.task, order.number)
        if key in self.processes:
            return StartResult.STARTED
        if order.number <= self.finished_numbers.get(order.task, 0):
            return StartResult.NUMBER_TOO_LOW
        spec = self.world.spec_of(order.task)
        self.world.check_start(self, order, spec)
        fails = self.fails_all or self.world.rng.random() < self.world.failing_share
        work_s = self.work_s
        if self.world.work_spread:
            work_s *= 0.5 + self.world.rng.random()
        self.processes[key] = Process(order, spec, now_s, now_s + work_s, fails)
        return StartResult.STARTED

    def stop(self, order, epoch, now_s):
        """Stop a run, or refuse it for good if it is not there yet."""
        if epoch < self.epoch:
            return
        self.epoch = epoch
        process = self.processes.get((order.task, order.number))
        if process is not None and process.stops_s is None:
            process.stops_s = now_s + STOP_S
        highest = self.finished_numbers.get(order.task, 0)
        self.finished_numbers[order.task] = max(highest, order.number)

    def hold(self, epoch, acknowledged, now_s):
        """Renew leases and return both lists; None for a stale epoch."""
        if epoch < self.epoch:
            return None
        self.epoch = epoch
        self.lease_end_s = max(self.lease_end_s, now_s + LEASE_S)
        self.ends = [end for end in self.ends if end.serial > acknowledged]
        running = tuple(
            ReportedRun(task, number, "", process.percent(now_s))
            for (task, number), process in self.processes.items()
        )
        return running, tuple(self.ends)


class WorkflowWorld:
    """Journal, workers and the schedulers of successive tenures."""

    def __init__(self, seed=1, workers_count=3, capacity=None, approval=False, max_attempts=3):
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.journal_state = JournalState()
        self.offset = 0
        self.newest = {}
        self.steps = {}
        self.violations = []
        self.failing_share = 0.0
        self.lossy_share = 0.0
        self.late_orders = []
        self.done = set()
        self.asked = []
        self.answers_approvals = True
        self.allowed_share = 1.0
        self.work_spread = False
        capacity = capacity or ResourceVector(4000, 8000)
        self.workers = {}
        for index in range(workers_count):
            name = f"w{index}"
            info = WorkerInfo(
                worker_id=name,
                incarnation=1,
                address="127.0.0.1:1",
                service="s",
                domain="d",
                labels=frozenset(),
                capacity=capacity,
            )
            self.workers[name] = FakeWorker(info, self)
        self.queue = Queue(
            name="q",
            host="h",
            path_prefix="/q/",
            service="s",
            max_attempts=max_attempts,
            approval=(
                Approval(decision_ms=10, per_worker_ms=1, validity_ms=2000) if approval else None
            ),
        )
        self.tenures = []
        self.hidden = set()
        self.take_over()

    def append(self, record):
        """Append to the journal; the present scheduler reads it."""
        key, value = encode_record(record)
        self.newest[key] = (self.offset, value)
        self.journal_state.apply(self.offset, key, value, self.now_s)
        self.offset += 1

    def take_over(self):
        """Begin a new tenure; earlier schedulers stay as they are."""
        ordinal = len(self.tenures) + 1
        scheduler = WorkflowScheduler(
            timing=Timing(),
            first_number=(ordinal - 1) * 1000 + 1,
            workers_in_use=self.journal_state.workers_in_use,
            started_s=self.now_s,
            find_spec=self.journal_state.find_spec,
        )
        for job_id, journaled in self.journal_state.jobs.items():
            event = JobAdded(job_id=job_id, journaled=journaled, inherited=True)
            scheduler.observe(event, self.now_s)
        self.append(WorkersInUse(worker_ids=tuple(self.workers)))
        self.scheduler = scheduler
        self.epoch = ordinal
        self.acknowledged = dict.fromkeys(self.workers, 0)
        self.tenures.append(scheduler)
        self.show_directory()

    def show_directory(self):
        """Tell the scheduler of the workers that are not hidden."""
        directory = {n: w.info for n, w in self.workers.items() if n not in self.hidden}
        self.scheduler.observe(DirectoryChanged(directory), self.now_s)

    def submit(self, job_id, steps, payload="p"):
        """Accept a job."""
        spec = WorkflowSpec(payload=payload, steps=tuple(steps))
        self.steps[job_id] = spec.steps
        self.append(
            WorkflowAccepted(job_id=job_id, queue=self.queue, spec=spec, accepted_utc_s=0.0)
        )
        journaled = self.journal_state.jobs[job_id]
        event = JobAdded(job_id=job_id, journaled=journaled, inherited=False)
        self.scheduler.observe(event, self.now_s)

    def cancel(self, job_id, told=True):
        """Cancel a job; the scheduler reads of it unless it is cut off from the journal."""
        self.append(WorkflowCancelled(job_id=job_id))
        if told:
            self.scheduler.observe(JobCancelled(job_id), self.now_s)

    def spec_of(self, task):
        """Return the step of a task."""
        return self.steps[task.step_name.job_id][task.step_name.step]

    def all_processes(self):
        """Return worker, key and process of everything that runs."""
        for worker in self.workers.values():
            for key, process in worker.processes.items():
                yield worker, key, process

    def gang_is_whole(self, key, process):
        """Return whether all members of the run of a gang are present."""
        if not process.spec.gang:
            return True
        present = sum(
            1
            for _, (task, number), _ in self.all_processes()
            if task.step_name == key[0].step_name and number == key[1]
        )
        return present == process.spec.tasks_count or self.is_done(key[0])

    def is_done(self, task):
        """Return whether an end `done` of a task is known to a worker."""
        return task in self.done

    def break_gang(self, step_name, number):
        """End the other members of a run of a gang."""
        for worker, key, _ in list(self.all_processes()):
            if key[0].step_name == step_name and key[1] == number:
                worker.end(key, EndKind.GANG_BROKEN)

    def note_done(self, task, spec):
        """Take note that a task is done; of a gang, all tasks."""
        if spec.gang:
            for index in range(spec.tasks_count):
                self.done.add(attrs.evolve(task, index=index))
        self.done.add(task)

    def check_start(self, worker, order, spec):
        """Note every promise that a start breaks."""
        room = worker.info.capacity - worker.used()
        if not spec.demand.fits_in(room):
            self.violations.append(f"{order.task} goes over the capacity of {worker.info.address}")
        for other, (task, number), process in self.all_processes():
            if task == order.task and number != order.number:
                same = "the same worker" if other is worker else "another worker"
                self.violations.append(f"{task} runs twice, on {same}, {process.order.number}")
        job = self.journal_state.jobs[order.task.step_name.job_id]
        if job.progress is not None:
            for row in job.progress.steps:
                if row.step == order.task.step_name.step and row.done_bits >> order.task.index & 1:
                    self.violations.append(f"{order.task} starts after its recorded end")
        for earlier in spec.after:
            step = attrs.evolve(order.task.step_name, step=earlier)
            count = self.steps[order.task.step_name.job_id][earlier].tasks_count
            for index in range(count):
                if not self.is_done(attrs.evolve(order.task, step_name=step, index=index)):
                    self.violations.append(f"{order.task} starts before step {earlier} is done")

    def send(self, action):
        """Carry out an order of the present scheduler, unless it gets lost or is held up."""
        match action:
            case StartRun():
                self._send_start(action)
            case StopRun():
                worker = self.workers[action.worker_id]
                if worker.reachable and self.rng.random() >= self.lossy_share:
                    worker.stop(action, self.epoch, self.now_s)
                    event = StopAnswered(action.worker_id, action.task, action.number)
                    self.scheduler.observe(event, self.now_s)
            case AskApproval():
                self.asked.append(action)
                if self.answers_approvals:
                    self.answer_approval(action)

    def answer_approval(self, action, allowed=None):
        """Allow the given workers, or a share of those that were named."""
        if allowed is None:
            allowed = [n for n in action.worker_ids if self._allows(action.step, n)]
        tickets = {n: "t" for n in action.worker_ids if n in allowed}
        event = ApprovalReceived(
            step=action.step,
            tickets=tickets,
            asked=action.worker_ids,
            expires_s=self.now_s + 2.0,
        )
        self.scheduler.observe(event, self.now_s)

    def _allows(self, step, worker_id):
        return random.Random(f"{step}{worker_id}").random() < self.allowed_share

    def _send_start(self, order):
        worker = self.workers[order.worker_id]
        result = StartResult.UNKNOWN
        lost = self.rng.random() < self.lossy_share
        if worker.reachable and not lost and not worker.loses_starts:
            result = worker.start(order, self.epoch, self.now_s)
        elif worker.reachable and not worker.loses_starts:
            delay_s = self.rng.random() * 8.0
            if delay_s < 4.0:
                self.late_orders.append((self.now_s + delay_s, worker, order, self.epoch))
        event = StartAnswered(order.worker_id, order.task, order.number, result)
        self.scheduler.observe(event, self.now_s)

    def step(self):
        """Let time pass: workers, lists, decisions, records."""
        self.now_s += STEP_S
        for row in [row for row in self.late_orders if row[0] <= self.now_s]:
            self.late_orders.remove(row)
            if row[1].reachable:
                row[1].start(row[2], row[3], self.now_s)
        for worker in self.workers.values():
            worker.advance(self.now_s)
        heard = {}
        for name, worker in self.workers.items():
            if name in self.scheduler.workers:
                heard[name] = self._hold(name, worker)
        for action in self.scheduler.decide(self.now_s, 0.0):
            self.send(action)
        for record in [*self.scheduler.pop_closed(), *self.scheduler.pop_progress()]:
            self.append(record)
        for name, serial in heard.items():
            self.acknowledged[name] = max(self.acknowledged[name], serial)

    def _hold(self, name, worker):
        lists = None
        if worker.reachable:
            lists = worker.hold(self.epoch, self.acknowledged[name], self.now_s)
        if lists is None:
            renewed_s = self.now_s if worker.reachable else 0.0
            self.scheduler.observe(WorkerSilent(name, renewed_s), self.now_s)
            return 0
        running, ended = lists
        event = WorkerReported(
            worker_id=name, incarnation=1, sent_s=self.now_s, running=running, ended=ended
        )
        self.scheduler.observe(event, self.now_s)
        return max((end.serial for end in ended), default=0)

    def run(self, seconds):
        """Let several seconds pass."""
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def state(self, job_id):
        """Return the state of a job as callers see it."""
        return self.journal_state.jobs[job_id].state


def tasks(count, cpu=1000, **changes):
    """Return a step of `count` tasks."""
    size = ResourceVector(cpu, 500)
    return StepSpec(tasks_count=count, size=size, estimate_ms=400.0, **changes)
