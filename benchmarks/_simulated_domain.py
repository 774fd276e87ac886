"""Workers that only hold capacity and end tasks on time, driven in virtual time."""

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
CHECKPOINT_S = 0.5
STOP_S = 0.1
WORKERS_PER_RACK = 8


def contract(customer: str, weight: float = 1.0, **changes) -> Contract:
    """Return a contract without bounds that allows every reclaim step."""
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
    return Contract(**(fields | changes))


def worker_rows(count: int, accelerated_count: int = 0, cores: int = 16) -> list[VmInfo]:
    """Return rows of the VM list; the last ones have four accelerators each."""
    return [
        VmInfo(
            name=f"w{number:04d}",
            role=VmRole.WORKER,
            address=f"127.0.0.1:{20000 + number}",
            region="centro",
            failure_domain="centro-1",
            rack=f"r{number // WORKERS_PER_RACK}",
            capacity=ResourceVector(
                cores * 1000, 65536, 4 if number >= count - accelerated_count else 0
            ),
        )
        for number in range(count)
    ]


@attrs.frozen(slots=True)
class Arrival:
    """A job, the time of its submission and the truth about its tasks.

    Args:
        at_s: time of submission.
        spec: the job as declared.
        run_times_s: true run time of each task.
        usage: true use of each task.
    """

    at_s: float
    spec: JobSpec
    run_times_s: list[float]
    usage: ResourceVector


@attrs.define(slots=True)
class FakeWorker:
    """Capacity and running attempts of one worker."""

    vm: VmInfo
    free: ResourceVector
    running: dict[AttemptId, RunningAttempt] = attrs.field(factory=dict)
    started_s: dict[AttemptId, float] = attrs.field(factory=dict)
    ended: dict[AttemptId, EndedAttempt] = attrs.field(factory=dict)


@attrs.define(slots=True)
class Measures:
    """What one run recorded."""

    decide_s: list[float] = attrs.field(factory=list)
    decide_processor_s: list[float] = attrs.field(factory=list)
    busy_s: float = 0.0
    starts_count: int = 0
    waits: dict[str, list[float]] = attrs.field(factory=dict)
    finished: dict[str, float] = attrs.field(factory=dict)
    refused_count: int = 0
    samples: list[tuple[float, dict[str, float]]] = attrs.field(factory=list)


class FakeDomain:
    """Runs one scheduler against workers that hold capacity.

    Args:
        policy: policy of the scheduler.
        seed: seed of the scheduler's randomness.
        rows: workers.
        contracts: contracts in force from the start.
        report_usage: whether reports carry the true use of attempts.
    """

    def __init__(
        self,
        policy: Policy,
        seed: int,
        rows: list[VmInfo],
        contracts: list[Contract],
        report_usage: bool = True,
    ) -> None:
        self.scheduler = DomainScheduler(policy=policy, rng=random.Random(seed))
        self.now_s = 0.0
        self.measures = Measures()
        self.report_usage = report_usage
        self.workers = {row.name: FakeWorker(row, row.capacity) for row in rows}
        self.truth: dict[str, Arrival] = {}
        self.remaining_s: dict[tuple[str, int], float] = {}
        self._ends: list[tuple[float, int, str, AttemptId, AttemptEnd]] = []
        self._count = 0
        for row in rows:
            self.observe(WorkerJoined(row))
            self.observe(WorkerReport(row.name, [], [], self.now_s))
        for each in contracts:
            self.observe(ContractChanged(each))

    def observe(self, event) -> None:
        """Pass an event to the scheduler and count its time."""
        begin_s = time.perf_counter()
        self.scheduler.observe(event, self.now_s)
        self.measures.busy_s += time.perf_counter() - begin_s

    def submit(self, arrival: Arrival) -> None:
        """Submit a job now."""
        self.truth[arrival.spec.job_id] = arrival
        self.observe(JobAdmitted(spec=arrival.spec, new_in_tenure=True))

    def cancel(self, job_id: str) -> None:
        """Cancel a job now."""
        self.observe(JobCancelled(job_id))

    def decide(self) -> None:
        """Let the scheduler decide until it has no more actions, and carry them out."""
        while True:
            begin_s, begin_processor_s = time.perf_counter(), time.thread_time()
            actions = self.scheduler.decide(self.now_s)
            processor_s = time.thread_time() - begin_processor_s
            elapsed_s = time.perf_counter() - begin_s
            self.measures.decide_processor_s.append(processor_s)
            self.measures.decide_s.append(elapsed_s)
            self.measures.busy_s += elapsed_s
            for action in actions:
                self._carry_out(action)
            if not self.scheduler.has_more_actions:
                return

    def _carry_out(self, action) -> None:
        match action:
            case StartTask(worker, start):
                self._start(worker, start)
            case RecordStartIntent(attempt, _):
                self.observe(StartIntentDurable(attempt))
            case StopTask(worker, attempt):
                self._end_early(worker, attempt, STOP_S, AttemptEnd.STOPPED)
            case CheckpointTask(worker, attempt):
                self._end_early(worker, attempt, CHECKPOINT_S, AttemptEnd.CHECKPOINTED)
            case ThrottleTask():
                pass
            case AcknowledgeEnd(worker, attempt):
                self.workers[worker].ended.pop(attempt, None)
            case RecordJobFinish(job_id):
                self.measures.finished[job_id] = self.now_s
                self.observe(JobFinishRecorded(job_id))

    def _start(self, name: str, start) -> None:
        worker, ident = self.workers[name], start.attempt
        if not start.size.fits_in(worker.free):
            self.measures.refused_count += 1
            self.observe(StartAnswered(ident, name, False, "no_room"))
            return
        worker.free -= start.size
        arrival = self.truth[ident.task.job_id]
        usage = arrival.usage if self.report_usage else None
        worker.running[ident] = RunningAttempt(ident, start.size, usage)
        worker.started_s[ident] = self.now_s
        task = (ident.task.job_id, ident.task.index)
        if task not in self.remaining_s:
            self.remaining_s[task] = arrival.run_times_s[ident.task.index]
            waits = self.measures.waits.setdefault(arrival.spec.workload, [])
            waits.append(self.now_s - arrival.at_s)
        end_s = self.now_s + self.remaining_s[task]
        self._push(end_s, name, ident, AttemptEnd.SUCCEEDED)
        self.measures.starts_count += 1
        self.observe(StartAnswered(ident, name, True))

    def _push(self, end_s: float, name: str, ident: AttemptId, end: AttemptEnd) -> None:
        self._count += 1
        heapq.heappush(self._ends, (end_s, self._count, name, ident, end))

    def _end_early(self, name: str, ident: AttemptId, after_s: float, end: AttemptEnd) -> None:
        if ident in self.workers[name].running:
            self._push(self.now_s + after_s, name, ident, end)

    def _end(self, name: str, ident: AttemptId, end: AttemptEnd) -> None:
        worker = self.workers[name]
        row = worker.running.pop(ident, None)
        if row is None:
            return
        worker.free += row.size
        elapsed_s = self.now_s - worker.started_s.pop(ident)
        if end is AttemptEnd.CHECKPOINTED:
            self.remaining_s[(ident.task.job_id, ident.task.index)] -= elapsed_s
        worker.ended[ident] = EndedAttempt(ident, end, elapsed_s)
        self.observe(AttemptEndReported(ident, name, end, elapsed_s))

    def report(self) -> None:
        """Send the lists of every worker."""
        for name, worker in self.workers.items():
            running = [
                attrs.evolve(row, elapsed_s=self.now_s - worker.started_s[ident])
                for ident, row in worker.running.items()
            ]
            ended = list(worker.ended.values())
            self.observe(WorkerReport(name, running, ended, self.now_s))

    def used_by_customer(self) -> dict[str, ResourceVector]:
        """Return what each customer occupies: the reserved size or the use, if larger."""
        used: dict[str, ResourceVector] = {}
        for worker in self.workers.values():
            for ident, row in worker.running.items():
                arrival = self.truth[ident.task.job_id]
                size = ResourceVector(
                    max(row.size.processors_millicores, arrival.usage.processors_millicores),
                    max(row.size.memory_mb, arrival.usage.memory_mb),
                    row.size.accelerators_count,
                )
                customer = arrival.spec.customer
                used[customer] = used.get(customer, ResourceVector()) + size
        return used

    def run(self, arrivals: list[Arrival], until_s: float, sample=None) -> None:
        """Submit arrivals and run to a virtual time.

        Args:
            arrivals: jobs in order of submission.
            until_s: end of the run.
            sample: called with the domain once a virtual second.
        """
        position, next_report_s = 0, self.now_s + REPORT_PERIOD_S
        while self.now_s < until_s:
            self.now_s += TICK_S
            while self._ends and self._ends[0][0] <= self.now_s:
                _, _, name, ident, end = heapq.heappop(self._ends)
                self._end(name, ident, end)
            while position < len(arrivals) and arrivals[position].at_s <= self.now_s:
                self.submit(arrivals[position])
                position += 1
            if self.now_s >= next_report_s:
                next_report_s += REPORT_PERIOD_S
                self.report()
                if sample is not None:
                    sample(self)
            self.decide()
