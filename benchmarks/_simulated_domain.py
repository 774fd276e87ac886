"""Simulation of the scheduler and the workers of one failure domain in virtual time."""

import heapq
import random
import time

import attrs

from fireflywharf_core.contracts import UNLIMITED, Contract, Quota, ReclaimStep
from fireflywharf_core.jobs import AttemptEnd, AttemptId, JobSpec
from fireflywharf_core.platform import EndedAttempt, RunningAttempt, VmInfo, VmRole
from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.scheduling import (
    AcknowledgeEnd,
    AttemptEndReported,
    CheckpointTask,
    ContractChanged,
    DomainScheduler,
    JobAdmitted,
    JobCancelled,
    JobFinishRecorded,
    Policy,
    RecordJobFinish,
    RecordStartIntent,
    StartAnswered,
    StartIntentDurable,
    StartTask,
    StopTask,
    ThrottleTask,
    WorkerJoined,
    WorkerReport,
)

TICK_S = 0.02
REPORT_PERIOD_S = 1.0
CHECKPOINT_DURATION_S = 0.5
STOP_DURATION_S = 0.1
WORKERS_PER_RACK = 8


def make_contract(customer: str, weight: float = 1.0, **changed_fields) -> Contract:
    """Return a contract without limits that allows every reclaim step."""
    fields = {
        "customer": customer,
        "share_weight": weight,
        "quota": Quota(
            processors_millicores=UNLIMITED, memory_mb=UNLIMITED, accelerators_count=UNLIMITED
        ),
        "requests_per_second": UNLIMITED,
        "queue_max_tasks": UNLIMITED,
        "reclaim_steps": [ReclaimStep.CHECKPOINT, ReclaimStep.THROTTLE, ReclaimStep.STOP],
    }
    return Contract(**(fields | changed_fields))


def make_worker_vms(
    count: int, accelerated_workers_count: int = 0, cores: int = 16
) -> list[VmInfo]:
    """Return VM list entries of workers.

    Args:
        count: number of workers.
        accelerated_workers_count: number of workers with four accelerators; they come last.
        cores: cores of each worker.

    Returns:
        The entries, in racks of `WORKERS_PER_RACK` workers.
    """
    return [
        VmInfo(
            name=f"w{number:04d}",
            role=VmRole.WORKER,
            address=f"127.0.0.1:{20000 + number}",
            region="centro",
            failure_domain="centro-1",
            rack=f"r{number // WORKERS_PER_RACK}",
            capacity=ResourceVector(
                cores * 1000, 65536, 4 if number >= count - accelerated_workers_count else 0
            ),
        )
        for number in range(count)
    ]


@attrs.frozen(slots=True)
class Arrival:
    """A job with its submission time and the true run times and resource usage of its tasks.

    Args:
        submitted_s: virtual time of the submission in seconds.
        spec: the job as declared by the customer.
        run_times_s: true run time of each task in seconds.
        usage: resources that each task really uses.
    """

    submitted_s: float
    spec: JobSpec
    run_times_s: list[float]
    usage: ResourceVector


@attrs.define(slots=True)
class SimulatedWorker:
    """State of one worker.

    Attributes:
        vm: entry of the VM list.
        free: capacity that is not reserved.
        running: running attempts.
        started_s: virtual start time of each running attempt in seconds.
        ended: ended attempts that the scheduler has not acknowledged.
    """

    vm: VmInfo
    free: ResourceVector
    running: dict[AttemptId, RunningAttempt] = attrs.field(factory=dict)
    started_s: dict[AttemptId, float] = attrs.field(factory=dict)
    ended: dict[AttemptId, EndedAttempt] = attrs.field(factory=dict)


@attrs.define(slots=True)
class Measurements:
    """Measurements of one run.

    Attributes:
        decision_times_s: elapsed time of each call of the scheduler's `decide`.
        decision_processor_times_s: processor time of each call of `decide`.
        scheduler_time_s: elapsed time in the scheduler, events included.
        starts_count: attempts started.
        waiting_times_s: virtual time from submission to first start of each task, by workload.
        finish_times_s: virtual time at which each job finished.
        refused_count: starts refused because the worker had too little free capacity.
        samples: not used.
    """

    decision_times_s: list[float] = attrs.field(factory=list)
    decision_processor_times_s: list[float] = attrs.field(factory=list)
    scheduler_time_s: float = 0.0
    starts_count: int = 0
    waiting_times_s: dict[str, list[float]] = attrs.field(factory=dict)
    finish_times_s: dict[str, float] = attrs.field(factory=dict)
    refused_count: int = 0
    samples: list[tuple[float, dict[str, float]]] = attrs.field(factory=list)


class SimulatedDomain:
    """Runs one scheduler against simulated workers.

    The workers reserve capacity and end each attempt after its true run time.

    Args:
        policy: policy of the scheduler.
        seed: seed of the scheduler's random numbers.
        vms: workers of the domain.
        contracts: contracts in force from the start.
        reports_usage: whether worker reports carry the true resource usage of attempts.
    """

    def __init__(
        self,
        policy: Policy,
        seed: int,
        vms: list[VmInfo],
        contracts: list[Contract],
        reports_usage: bool = True,
    ) -> None:
        self.scheduler = DomainScheduler(policy=policy, rng=random.Random(seed))
        self.now_s = 0.0
        self.measurements = Measurements()
        self.reports_usage = reports_usage
        self.workers = {vm.name: SimulatedWorker(vm, vm.capacity) for vm in vms}
        self.arrivals_by_job_id: dict[str, Arrival] = {}
        self.remaining_s: dict[tuple[str, int], float] = {}
        self._planned_ends: list[tuple[float, int, str, AttemptId, AttemptEnd]] = []
        self._planned_ends_count = 0
        for vm in vms:
            self.observe(WorkerJoined(vm))
            self.observe(WorkerReport(vm.name, [], [], self.now_s))
        for contract in contracts:
            self.observe(ContractChanged(contract))

    def observe(self, event) -> None:
        """Pass an event to the scheduler and add the time that it takes to the measurements."""
        begin_s = time.perf_counter()
        self.scheduler.observe(event, self.now_s)
        self.measurements.scheduler_time_s += time.perf_counter() - begin_s

    def submit(self, arrival: Arrival) -> None:
        """Submit a job at the current virtual time."""
        self.arrivals_by_job_id[arrival.spec.job_id] = arrival
        self.observe(JobAdmitted(spec=arrival.spec, new_in_tenure=True))

    def cancel(self, job_id: str) -> None:
        """Cancel a job at the current virtual time."""
        self.observe(JobCancelled(job_id))

    def decide(self) -> None:
        """Let the scheduler decide until it has no more actions, and execute the actions."""
        while True:
            begin_s, begin_processor_s = time.perf_counter(), time.thread_time()
            actions = self.scheduler.decide(self.now_s)
            processor_s = time.thread_time() - begin_processor_s
            elapsed_s = time.perf_counter() - begin_s
            self.measurements.decision_processor_times_s.append(processor_s)
            self.measurements.decision_times_s.append(elapsed_s)
            self.measurements.scheduler_time_s += elapsed_s
            for action in actions:
                self._execute_action(action)
            if not self.scheduler.has_more_actions:
                return

    def _execute_action(self, action) -> None:
        match action:
            case StartTask(worker, start):
                self._start_attempt(worker, start)
            case RecordStartIntent(attempt, _):
                self.observe(StartIntentDurable(attempt))
            case StopTask(worker, attempt):
                self._plan_early_end(worker, attempt, STOP_DURATION_S, AttemptEnd.STOPPED)
            case CheckpointTask(worker, attempt):
                self._plan_early_end(
                    worker, attempt, CHECKPOINT_DURATION_S, AttemptEnd.CHECKPOINTED
                )
            case ThrottleTask():
                pass
            case AcknowledgeEnd(worker, attempt):
                self.workers[worker].ended.pop(attempt, None)
            case RecordJobFinish(job_id):
                self.measurements.finish_times_s[job_id] = self.now_s
                self.observe(JobFinishRecorded(job_id))

    def _start_attempt(self, name: str, start) -> None:
        worker, attempt_id = self.workers[name], start.attempt
        if not start.size.fits_in(worker.free):
            self.measurements.refused_count += 1
            self.observe(StartAnswered(attempt_id, name, False, "no_room"))
            return
        worker.free -= start.size
        arrival = self.arrivals_by_job_id[attempt_id.task.job_id]
        usage = arrival.usage if self.reports_usage else None
        worker.running[attempt_id] = RunningAttempt(attempt_id, start.size, usage)
        worker.started_s[attempt_id] = self.now_s
        task = (attempt_id.task.job_id, attempt_id.task.index)
        if task not in self.remaining_s:
            self.remaining_s[task] = arrival.run_times_s[attempt_id.task.index]
            waiting_times_s = self.measurements.waiting_times_s.setdefault(
                arrival.spec.workload, []
            )
            waiting_times_s.append(self.now_s - arrival.submitted_s)
        end_s = self.now_s + self.remaining_s[task]
        self._plan_end(end_s, name, attempt_id, AttemptEnd.SUCCEEDED)
        self.measurements.starts_count += 1
        self.observe(StartAnswered(attempt_id, name, True))

    def _plan_end(self, end_s: float, name: str, attempt_id: AttemptId, end: AttemptEnd) -> None:
        self._planned_ends_count += 1
        heapq.heappush(self._planned_ends, (end_s, self._planned_ends_count, name, attempt_id, end))

    def _plan_early_end(
        self, name: str, attempt_id: AttemptId, after_s: float, end: AttemptEnd
    ) -> None:
        if attempt_id in self.workers[name].running:
            self._plan_end(self.now_s + after_s, name, attempt_id, end)

    def _end_attempt(self, name: str, attempt_id: AttemptId, end: AttemptEnd) -> None:
        worker = self.workers[name]
        running_attempt = worker.running.pop(attempt_id, None)
        if running_attempt is None:
            return
        worker.free += running_attempt.size
        elapsed_s = self.now_s - worker.started_s.pop(attempt_id)
        if end is AttemptEnd.CHECKPOINTED:
            self.remaining_s[(attempt_id.task.job_id, attempt_id.task.index)] -= elapsed_s
        worker.ended[attempt_id] = EndedAttempt(attempt_id, end, elapsed_s)
        self.observe(AttemptEndReported(attempt_id, name, end, elapsed_s))

    def report_workers(self) -> None:
        """Send a report of running and ended attempts from each worker."""
        for name, worker in self.workers.items():
            running = [
                attrs.evolve(running_attempt, elapsed_s=self.now_s - worker.started_s[attempt_id])
                for attempt_id, running_attempt in worker.running.items()
            ]
            ended = list(worker.ended.values())
            self.observe(WorkerReport(name, running, ended, self.now_s))

    def get_usage_by_customer(self) -> dict[str, ResourceVector]:
        """Return the resources that each customer occupies: the larger of reservation and usage."""
        used: dict[str, ResourceVector] = {}
        for worker in self.workers.values():
            for attempt_id, running_attempt in worker.running.items():
                arrival = self.arrivals_by_job_id[attempt_id.task.job_id]
                size = ResourceVector(
                    max(
                        running_attempt.size.processors_millicores,
                        arrival.usage.processors_millicores,
                    ),
                    max(running_attempt.size.memory_mb, arrival.usage.memory_mb),
                    running_attempt.size.accelerators_count,
                )
                customer = arrival.spec.customer
                used[customer] = used.get(customer, ResourceVector()) + size
        return used

    def run(self, arrivals: list[Arrival], until_s: float, sample=None) -> None:
        """Run until a virtual time and submit the arrivals meanwhile.

        Args:
            arrivals: jobs, sorted by submission time.
            until_s: virtual time of the end in seconds.
            sample: called with this object after the worker reports of each virtual second.
        """
        next_index, next_report_s = 0, self.now_s + REPORT_PERIOD_S
        while self.now_s < until_s:
            self.now_s += TICK_S
            while self._planned_ends and self._planned_ends[0][0] <= self.now_s:
                _, _, name, attempt_id, end = heapq.heappop(self._planned_ends)
                self._end_attempt(name, attempt_id, end)
            while next_index < len(arrivals) and arrivals[next_index].submitted_s <= self.now_s:
                self.submit(arrivals[next_index])
                next_index += 1
            if self.now_s >= next_report_s:
                next_report_s += REPORT_PERIOD_S
                self.report_workers()
                if sample is not None:
                    sample(self)
            self.decide()
