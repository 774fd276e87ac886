"""Simulation of workers that execute the actions of a `WorkflowScheduler` in virtual time.

The simulated workers keep their own account of capacity, runs and fencing tokens, so a violated
guarantee is detected independently of the state of the scheduler.
"""

import random

import attrs
from workflow_workers import STEP_S, FakeWorker

from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.workflows import (
    Approval,
    ApprovalReceived,
    AskApproval,
    DirectoryChanged,
    EndKind,
    JobAdded,
    JobCancelled,
    JobsRecorded,
    JournalState,
    Queue,
    StartAnswered,
    StartResult,
    StartRun,
    StepSpec,
    StopAnswered,
    StopRun,
    TenureConfirmed,
    Timing,
    WorkerInfo,
    WorkerReported,
    WorkerSilent,
    WorkersInUse,
    WorkflowAccepted,
    WorkflowCancelled,
    WorkflowScheduler,
    WorkflowSpec,
    approval_request_ms,
    encode_record,
    has_short_requests,
)


class WorkflowWorld:
    """Journal, workers and the schedulers of successive tenures.

    Args:
        seed: seed of the random faults.
        workers_count: number of workers.
        capacity: capacity of each worker; by default 4 processors.
        approval: whether the queue needs approval.
        max_attempts: maximum number of attempts of a task.
    """

    def __init__(self, seed=1, workers_count=3, capacity=None, approval=False, max_attempts=3):
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.journal_state = JournalState()
        self.offset = 0
        self.newest_records = {}
        self.steps_by_job = {}
        self.violations = []
        self.failure_probability = 0.0
        self.loss_probability = 0.0
        self.delayed_orders = []
        self.done_tasks = set()
        self.actions = []
        self.approval_requests = []
        self.answers_approvals = True
        self.approval_delay_s = 0.0
        self.delayed_approvals = []
        self.allowed_share = 1.0
        self.ticket_validity_s = 2.0
        self.rejected_tickets_count = 0
        self.allowed_share_by_queue = {}
        self.approval_vms_free_s = []
        self.varies_run_times = False
        self.runs_as_estimated = False
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
        self.unlisted_workers = set()
        self.report_interval_s = 0.0
        self.answered_polls_s = {}
        self.begin_tenure()

    def utc_s(self):
        """Return the time of day, in seconds since the Unix epoch."""
        return 0.0

    def append(self, record):
        """Append a record to the journal."""
        key, value = encode_record(record)
        self.newest_records[key] = (self.offset, value)
        self.journal_state.apply(self.offset, key, value, self.now_s)
        self.offset += 1

    def begin_tenure(self):
        """Replace the scheduler by one that knows only the journal."""
        ordinal = len(self.tenures) + 1
        scheduler = WorkflowScheduler(
            timing=Timing(),
            first_number=(ordinal - 1) * 1000 + 1,
            workers_in_use=self.journal_state.workers_in_use,
            departures=self.journal_state.departures,
            started_s=self.now_s,
            find_spec=self.journal_state.find_spec,
            find_team=self.journal_state.find_team,
        )
        for job_id, journaled in self.journal_state.jobs.items():
            event = JobAdded(job_id=job_id, journaled=journaled)
            scheduler.observe(event, self.now_s)
        self.append(WorkersInUse(worker_ids=tuple(self.workers)))
        self.scheduler = scheduler
        self.epoch = ordinal
        self.acknowledged = dict.fromkeys(self.workers, 0)
        self.tenures.append(scheduler)
        self.publish_directory()

    def publish_directory(self):
        """Pass the directory of the listed workers to the scheduler."""
        directory = {n: w.info for n, w in self.workers.items() if n not in self.unlisted_workers}
        self.scheduler.observe(DirectoryChanged(directory), self.now_s)

    def submit(self, job_id, steps, payload="p", team=""):
        """Append a job to the journal and pass it to the scheduler."""
        spec = WorkflowSpec(payload=payload, steps=tuple(steps))
        self.steps_by_job[job_id] = spec.steps
        self.append(
            WorkflowAccepted(
                job_id=job_id,
                queue=self.queue,
                spec=spec,
                accepted_utc_s=self.now_s if team else 0.0,
                team=team,
            )
        )
        journaled = self.journal_state.jobs[job_id]
        event = JobAdded(job_id=job_id, journaled=journaled)
        self.scheduler.observe(event, self.now_s)

    def cancel(self, job_id, scheduler_informed=True):
        """Append the cancellation of a job; the scheduler reads it if `scheduler_informed`."""
        self.append(WorkflowCancelled(job_id=job_id))
        if scheduler_informed:
            self.scheduler.observe(JobCancelled(job_id), self.now_s)

    def find_step_spec(self, task):
        """Return the specification of the step of a task."""
        return self.steps_by_job[task.step_name.job_id][task.step_name.step]

    def iterate_active_runs(self):
        """Yield the worker, the key and the run of each active run."""
        for worker in self.workers.values():
            for key, active_run in worker.active_runs.items():
                yield worker, key, active_run

    def can_end(self, key, active_run, now_s):
        """Return whether a run may end now; the members of a gang end together."""
        if now_s < active_run.end_due_s:
            return False
        if not active_run.spec.gang or self.is_done(key[0]):
            return True
        members = [
            other
            for _, (task, number), other in self.iterate_active_runs()
            if task.step_name == key[0].step_name and number == key[1]
        ]
        return len(members) == active_run.spec.tasks_count and all(
            now_s >= other.end_due_s for other in members
        )

    def is_done(self, task):
        """Return whether a run of the task has ended as done."""
        return task in self.done_tasks

    def end_gang_run(self, step_name, number):
        """End all active members of a run of a gang as broken."""
        for worker, key, _ in list(self.iterate_active_runs()):
            if key[0].step_name == step_name and key[1] == number:
                worker.end_run(key, EndKind.GANG_BROKEN)

    def record_done(self, task, spec):
        """Record that a task is done, or all tasks of its step if that is a gang."""
        if spec.gang:
            for index in range(spec.tasks_count):
                self.done_tasks.add(attrs.evolve(task, index=index))
        self.done_tasks.add(task)

    def check_start(self, worker, order, spec):
        """Record a violation for each guarantee that a start breaks."""
        free_capacity = worker.info.capacity - worker.used_capacity()
        if not spec.demand.fits_in(free_capacity):
            self.violations.append(f"{order.task} exceeds the capacity of {worker.info.address}")
        for other, (task, number), active_run in self.iterate_active_runs():
            if task == order.task and number != order.number:
                place = "the same worker" if other is worker else "another worker"
                self.violations.append(
                    f"{task} runs twice, on {place}, run {active_run.order.number}"
                )
        job = self.journal_state.jobs[order.task.step_name.job_id]
        if job.progress is not None and is_recorded_done(job.progress, order.task):
            self.violations.append(f"{order.task} starts after its recorded end")
        for earlier in spec.after:
            step = attrs.evolve(order.task.step_name, step=earlier)
            count = self.steps_by_job[order.task.step_name.job_id][earlier].tasks_count
            for index in range(count):
                if not self.is_done(attrs.evolve(order.task, step_name=step, index=index)):
                    self.violations.append(f"{order.task} starts before step {earlier} is done")

    def execute(self, action):
        """Execute an action of the current scheduler; orders may be lost or delayed."""
        self.actions.append(action)
        match action:
            case StartRun():
                self._execute_start(action)
            case StopRun():
                worker = self.workers[action.worker_id]
                if worker.reachable and self.rng.random() >= self.loss_probability:
                    worker.stop(action, self.epoch, self.now_s)
                    event = StopAnswered(action.worker_id, action.task, action.number)
                    self.scheduler.observe(event, self.now_s)
            case AskApproval():
                self.approval_requests.append(action)
                queue = self.journal_state.jobs[action.step.job_id].accepted.queue
                is_slow = self.approval_delay_s and not has_short_requests(queue.approval)
                if self.answers_approvals and self.approval_vms_free_s:
                    due_s = self._queue_approval(action, queue)
                    self.delayed_approvals.append((due_s, action))
                elif self.answers_approvals and is_slow:
                    self.delayed_approvals.append((self.now_s + self.approval_delay_s, action))
                elif self.answers_approvals:
                    self.answer_approval(action)

    def answer_approval(self, action, allowed=None):
        """Answer a request: allow the given workers, or by default the allowed share of them."""
        if allowed is None:
            allowed = [n for n in action.worker_ids if self._is_allowed(action.step, n)]
        expires_s = self.now_s + self.ticket_validity_s
        tickets = {n: f"{n} {expires_s:.3f}" for n in action.worker_ids if n in allowed}
        event = ApprovalReceived(
            step=action.step, tickets=tickets, asked=action.worker_ids, expires_s=expires_s
        )
        self.scheduler.observe(event, self.now_s)

    def _queue_approval(self, action, queue):
        """Return when a request is answered; each VM has one long request served at a time."""
        cost_s = approval_request_ms(queue.approval, len(action.worker_ids)) / 1000.0
        if has_short_requests(queue.approval):
            return self.now_s + cost_s
        free_s = self.approval_vms_free_s
        vm = min(range(len(free_s)), key=free_s.__getitem__)
        free_s[vm] = max(self.now_s, free_s[vm]) + cost_s
        return free_s[vm]

    def _is_allowed(self, step, worker_id):
        share = self.allowed_share
        if self.allowed_share_by_queue:
            queue = self.journal_state.jobs[step.job_id].accepted.queue
            share = self.allowed_share_by_queue[queue.name]
        return random.Random(f"{step}{worker_id}").random() < share

    def is_ticket_valid(self, order, now_s):
        """Return whether a worker accepts the ticket of a start order."""
        queue = self.journal_state.jobs[order.task.step_name.job_id].accepted.queue
        if queue.approval is None:
            return True
        worker_id, _, expires_s = order.ticket.partition(" ")
        return worker_id == order.worker_id and now_s <= float(expires_s)

    def _execute_start(self, order):
        worker = self.workers[order.worker_id]
        result = StartResult.UNKNOWN
        lost = self.rng.random() < self.loss_probability
        if worker.reachable and not lost and not worker.loses_start_orders:
            result = worker.start(order, self.epoch, self.now_s)
            if worker.falls_silent_at_start:
                worker.reachable, result = False, StartResult.UNKNOWN
        elif worker.reachable and not worker.loses_start_orders:
            delay_s = self.rng.random() * 8.0
            if delay_s < 4.0:
                self.delayed_orders.append((self.now_s + delay_s, worker, order, self.epoch))
        event = StartAnswered(order.worker_id, order.task, order.number, result)
        self.scheduler.observe(event, self.now_s)

    def step(self):
        """Advance the time by `STEP_S`: late orders, ends, reports, actions, records."""
        self.now_s += STEP_S
        for row in [row for row in self.delayed_orders if row[0] <= self.now_s]:
            self.delayed_orders.remove(row)
            if row[1].reachable:
                row[1].start(row[2], row[3], self.now_s)
        for row in [row for row in self.delayed_approvals if row[0] <= self.now_s]:
            self.delayed_approvals.remove(row)
            self.answer_approval(row[1])
        for worker in self.workers.values():
            worker.advance(self.now_s)
        reported_serials = {}
        for name, worker in self.workers.items():
            if name in self.scheduler.workers and self._is_poll_answered(name, worker):
                reported_serials[name] = self._poll_worker(name, worker)
        for action in self.scheduler.decide(self.now_s, self.utc_s()):
            self.execute(action)
        for record in self.scheduler.pop_closed():
            self.append(record)
        self.record_progress()
        for name, serial in reported_serials.items():
            self.acknowledged[name] = max(self.acknowledged[name], serial)

    def record_progress(self):
        """Append the progress of the scheduler's jobs and confirm it and the tenure."""
        progress = self.scheduler.pop_progress()
        for record in progress:
            self.append(record)
        recorded = JobsRecorded(tuple(record.job_id for record in progress))
        self.scheduler.observe(recorded, self.now_s)
        self.scheduler.observe(TenureConfirmed(self.now_s), self.now_s)

    def _is_poll_answered(self, name, worker):
        """Return whether a worker answers a poll now: with an end, or after the interval."""
        elapsed_s = self.now_s - self.answered_polls_s.get(name, float("-inf"))
        return bool(worker.ends) or elapsed_s >= self.report_interval_s

    def _poll_worker(self, name, worker):
        sent_s = self.answered_polls_s.get(name, self.now_s) if self.report_interval_s else None
        self.answered_polls_s[name] = self.now_s
        reported_runs = None
        if worker.reachable:
            reported_runs = worker.renew_leases(self.epoch, self.acknowledged[name], self.now_s)
        if reported_runs is None:
            renewed_s = self.now_s if worker.reachable else 0.0
            self.scheduler.observe(WorkerSilent(name, renewed_s), self.now_s)
            return 0
        running, ended = reported_runs
        event = WorkerReported(
            worker_id=name,
            incarnation=worker.info.incarnation,
            sent_s=self.now_s if sent_s is None else sent_s,
            running=running,
            ended=ended,
            ends_complete=len(ended) < worker.reported_ends_max,
        )
        self.scheduler.observe(event, self.now_s)
        return max((end.serial for end in ended), default=0)

    def run(self, seconds):
        """Advance the time by a number of seconds."""
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def job_state(self, job_id):
        """Return the state of a job as callers see it."""
        return self.journal_state.jobs[job_id].state


def is_recorded_done(progress, task):
    """Return whether a progress record shows a task as done."""
    name = task.step_name
    done_ranges = ((0, progress.done_before), *progress.done_ranges)
    return any(first <= name.occurrence < end for first, end in done_ranges) or any(
        (row.occurrence, row.step) == (name.occurrence, name.step)
        and row.done_bits >> task.index & 1
        for row in progress.steps
    )


def make_step(count, cpu=1000, **changes):
    """Return a step of `count` tasks."""
    size = ResourceVector(cpu, 500)
    return StepSpec(tasks_count=count, size=size, estimate_ms=400.0, **changes)
