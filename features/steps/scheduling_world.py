"""Simulation of workers, a lossy network and a log, which execute the actions of a scheduler.

The simulated workers execute every start without checking their capacity or other places of the
task, so that a wrong start is detected as a violation and not refused by the worker.
"""

import random

from fireflywharf_core.contracts import UNLIMITED, Contract, Quota, ReclaimStep
from fireflywharf_core.jobs import AttemptEnd, JobKind, JobSpec
from fireflywharf_core.platform import EndedAttempt, RunningAttempt, VmInfo, VmRole
from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.scheduling import (
    AcknowledgeEnd,
    AttemptEndRecorded,
    AttemptEndReported,
    CheckpointTask,
    ContractChanged,
    DomainScheduler,
    JobAdmitted,
    JobCancelled,
    JobFinishRecorded,
    RecordJobFinish,
    RecordStartIntent,
    RecordTaskEnd,
    RecoveryFinished,
    RecoveryStarted,
    StartAnswered,
    StartIntentDurable,
    StartOutcomeUnknown,
    StartTask,
    StopTask,
    WorkerJoined,
    WorkerLost,
    WorkerReport,
)

LEASE_S = 30.0
LEASE_MARGIN_S = 1.5
STEP_S = 0.5
CAPACITY = ResourceVector(4000, 8192, 2)


def make_contract(customer, **changes):
    """Return a contract without limits, except for the fields in `changes`."""
    quota = Quota(
        processors_millicores=UNLIMITED, memory_mb=UNLIMITED, accelerators_count=UNLIMITED
    )
    fields = {
        "customer": customer,
        "share_weight": 1.0,
        "quota": quota,
        "requests_per_second": UNLIMITED,
        "queue_max_tasks": UNLIMITED,
        "reclaim_steps": [ReclaimStep.CHECKPOINT, ReclaimStep.STOP],
    }
    return Contract(**(fields | changes))


def make_worker_vm(number, capacity=CAPACITY):
    """Return the entry of a worker in the VM list."""
    return VmInfo(
        name=f"w{number}",
        role=VmRole.WORKER,
        address=f"127.0.0.1:{21000 + number}",
        region="centro",
        failure_domain="centro-1",
        rack=f"r{number // 2}",
        capacity=capacity,
    )


class SimulatedWorker:
    """Running and ended attempts of one worker, whether or not it is reachable."""

    def __init__(self, vm):
        self.vm, self.epoch, self.down_since_s, self.is_loss_reported = vm, 0, None, False
        self.running, self.ended = {}, {}


class World:
    """Actual state of workers and jobs, against which the decisions of the scheduler are checked.

    Args:
        policy: scheduling policy.
        seed: seed of the random faults.
        workers_count: number of workers.
    """

    def __init__(self, policy, seed, workers_count=4):
        self.policy, self.rng = policy, random.Random(seed)
        self.now_s, self.epoch = 0.0, 0
        self.workers = {f"w{n}": SimulatedWorker(make_worker_vm(n)) for n in range(workers_count)}
        self.specs, self.final_states, self.cancelled, self.log = {}, {}, set(), []
        self.delayed_starts, self.run_counts, self.recorded_ends = [], {}, set()
        self.fault = "none"
        self.replace_scheduler()

    def replace_scheduler(self):
        """Replace the scheduler by one that recovers from the log and the worker reports."""
        self.epoch += 1
        self.scheduler = DomainScheduler(policy=self.policy, rng=random.Random(1))
        self.send_event(RecoveryStarted(frozenset(self.workers)))
        for customer in ("a", "b"):
            self.send_event(ContractChanged(make_contract(customer)))
        for worker in self.workers.values():
            self.send_event(WorkerJoined(worker.vm))
            worker.is_loss_reported = False
        for job_id, spec in self.specs.items():
            if job_id not in self.final_states:
                self.send_event(JobAdmitted(spec=spec))
        for record in self.log:
            self.send_event(record)
        self.send_event(RecoveryFinished())

    def send_event(self, event):
        """Pass an event to the current scheduler."""
        self.scheduler.observe(event, self.now_s)

    def submit(self, kind, tasks_count, size, restartable, customer):
        """Submit a job whose id contains its number, `j0` for the first one."""
        spec = JobSpec(
            job_id=f"j{len(self.specs)}",
            customer=customer,
            kind=kind,
            tasks_count=tasks_count,
            size=size,
            restartable=restartable,
            max_attempts=50,
            run_time_s=2.0,
        )
        self.specs[spec.job_id] = spec
        self.send_event(JobAdmitted(spec=spec, new_in_tenure=True))

    def cancel(self):
        """Cancel a random unfinished job."""
        unfinished_jobs = [job for job in self.specs if job not in self.final_states]
        if unfinished_jobs:
            job_id = self.rng.choice(unfinished_jobs)
            self.cancelled.add(job_id)
            self.send_event(JobCancelled(job_id))

    def disconnect_worker(self):
        """Make a worker unreachable; its attempts keep running until their lease lapses."""
        reachable = [w for w in self.workers.values() if w.down_since_s is None]
        if reachable:
            self.rng.choice(reachable).down_since_s = self.now_s

    def reconnect_workers(self):
        """Make all workers reachable."""
        for worker in self.workers.values():
            worker.down_since_s = None

    def restart_worker(self):
        """Restart a worker, which forgets all its attempts."""
        worker = self.rng.choice(list(self.workers.values()))
        worker.running.clear()
        worker.ended.clear()

    def step(self):
        """Advance the time by `STEP_S`: late starts, ends, reports, decisions, checks."""
        self.now_s += STEP_S
        due = [row for row in self.delayed_starts if row[0] <= self.now_s]
        self.delayed_starts = [row for row in self.delayed_starts if row[0] > self.now_s]
        for _, epoch, worker, start in due:
            if epoch >= worker.epoch and worker.down_since_s is None:
                self.run_attempt(worker, start)
        for worker in self.workers.values():
            self.end_attempts(worker)
            self.report_worker(worker)
        while True:
            actions = self.scheduler.decide(self.now_s)
            self.check_gang_starts(actions)
            for action in actions:
                self.execute_action(action)
            if not self.scheduler.has_more_actions:
                break
        self.check_workers()

    def end_attempts(self, worker):
        """End attempts whose lease has lapsed, and random others."""
        down_s = 0.0 if worker.down_since_s is None else self.now_s - worker.down_since_s
        for attempt_id in list(worker.running):
            if down_s >= LEASE_S:
                self.end_attempt(worker, attempt_id, AttemptEnd.LEASE_LAPSED)
            elif self.rng.random() < 0.15:
                failed = self.fault == "failing" and self.rng.random() < 0.3
                self.end_attempt(
                    worker, attempt_id, AttemptEnd.FAILED if failed else AttemptEnd.SUCCEEDED
                )

    def end_attempt(self, worker, attempt_id, end):
        """End a running attempt and keep its end until it is acknowledged."""
        row = worker.running.pop(attempt_id)
        worker.ended[attempt_id] = EndedAttempt(attempt_id, end, row.elapsed_s)

    def report_worker(self, worker):
        """Report a reachable worker to the scheduler, or its loss once it is overdue."""
        if worker.down_since_s is not None:
            down_s = self.now_s - worker.down_since_s
            if not worker.is_loss_reported and down_s >= 1.0:
                worker.is_loss_reported = True
                self.send_event(WorkerLost(worker.vm.name))
            if down_s >= LEASE_S + LEASE_MARGIN_S:
                self.send_event(WorkerLost(worker.vm.name, attempts_ended=True))
            return
        worker.is_loss_reported, worker.epoch = False, self.epoch
        running, ended = list(worker.running.values()), list(worker.ended.values())
        if self.rng.random() < 0.2:
            for row in ended:
                self.send_event(
                    AttemptEndReported(row.attempt, worker.vm.name, row.end, row.elapsed_s)
                )
        self.send_event(WorkerReport(worker.vm.name, running, ended, self.now_s))

    def run_attempt(self, worker, start):
        """Run an attempt on a worker and count it."""
        worker.running[start.attempt] = RunningAttempt(start.attempt, start.size)
        task = start.attempt.task
        self.run_counts[task] = self.run_counts.get(task, 0) + 1

    def execute_action(self, action):
        """Execute an action of the scheduler and return its results as events."""
        match action:
            case StartTask(name, start):
                self.start(self.workers[name], start)
            case RecordStartIntent(attempt, _):
                self.log.append(StartIntentDurable(attempt))
                self.send_event(StartIntentDurable(attempt))
            case StopTask(name, attempt):
                self.stop(name, attempt, AttemptEnd.STOPPED)
            case CheckpointTask(name, attempt):
                self.stop(name, attempt, AttemptEnd.CHECKPOINTED)
            case RecordTaskEnd(attempt, end):
                self.log.append(AttemptEndRecorded(attempt, end))
                self.recorded_ends.add(attempt)
            case AcknowledgeEnd(name, attempt):
                assert (
                    attempt in self.recorded_ends
                ), f"{attempt} was acknowledged before its record"
                worker = self.workers[name]
                if worker.down_since_s is None and not self.is_message_lost():
                    worker.ended.pop(attempt, None)
            case RecordJobFinish(job_id, state):
                assert job_id not in self.final_states, f"{job_id} was finished twice"
                self.final_states[job_id] = state
                self.send_event(JobFinishRecorded(job_id))

    def is_message_lost(self):
        """Return whether a message is lost, at random under the fault `lossy`."""
        return self.fault == "lossy" and self.rng.random() < 0.3

    def start(self, worker, start):
        """Send a start, which may be lost, executed without an answer, delayed or refused."""
        name = worker.vm.name
        if worker.down_since_s is not None or self.is_message_lost():
            if worker.down_since_s is None:
                delivery = self.rng.choice(["lost", "executed", "delayed"])
                if delivery == "executed":
                    self.run_attempt(worker, start)
                elif delivery == "delayed":
                    due_s = self.now_s + self.rng.choice([0.5, 1.0, 1.5])
                    self.delayed_starts.append((due_s, self.epoch, worker, start))
            self.send_event(StartOutcomeUnknown(start.attempt, name))
        elif self.fault == "refusing" and self.rng.random() < 0.3:
            reason = self.rng.choice(["no_room", "stale_epoch"])
            self.send_event(StartAnswered(start.attempt, name, False, reason))
        else:
            self.run_attempt(worker, start)
            self.send_event(StartAnswered(start.attempt, name, True))

    def stop(self, name, attempt, end):
        """End a running attempt, unless the message is lost."""
        worker = self.workers[name]
        if worker.down_since_s is None and not self.is_message_lost() and attempt in worker.running:
            self.end_attempt(worker, attempt, end)

    def check_gang_starts(self, actions):
        """Check that a gang starts all of its unfinished tasks in one decision."""
        started = {}
        for action in actions:
            if isinstance(action, StartTask):
                job_id = action.start.attempt.task.job_id
                started[job_id] = started.get(job_id, 0) + 1
        for job_id, count in started.items():
            spec = self.specs[job_id]
            if spec.kind is JobKind.GANG and spec.restartable:
                status = self.scheduler.job_status(job_id)
                unfinished_count = spec.tasks_count - status.tasks_done_count
                assert (
                    count == unfinished_count
                ), f"{job_id}: {count} of {unfinished_count} tasks started"

    def check_workers(self):
        """Check the capacity of each worker, and the places and run counts of each task."""
        workers_by_task = {}
        for worker in self.workers.values():
            held = ResourceVector()
            for attempt_id, row in worker.running.items():
                held += row.size
                workers_by_task.setdefault(attempt_id.task, []).append(worker.vm.name)
            assert held.fits_in(
                worker.vm.capacity
            ), f"{worker.vm.name} runs more than its capacity: {held}"
        for task, names in workers_by_task.items():
            assert len(names) == 1, f"{task} runs on {names}"
        for task, count in self.run_counts.items():
            if not self.specs[task.job_id].restartable:
                assert count <= 1, f"{task} is not restartable, but ran {count} times"

    def settle(self, steps=400):
        """End all faults and run until each job has its last state."""
        self.fault = "none"
        self.reconnect_workers()
        for _ in range(steps):
            self.step()
            if len(self.final_states) == len(self.specs):
                return
        unfinished_jobs = [job for job in self.specs if job not in self.final_states]
        raise AssertionError(
            "; ".join(self.scheduler.explain(job, self.now_s) for job in unfinished_jobs)
        )
