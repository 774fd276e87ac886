"""Runs on the workers: lists, ends, repeated orders."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..resources import ResourceVector
from ._estimates import RunTimes
from ._events import (
    Action,
    EndKind,
    ListedEnd,
    ListedRun,
    StartResult,
    StartRun,
    StopRun,
    WorkerListed,
)
from ._journal import WorkflowState
from ._names import TaskName
from ._specs import WorkflowSpec
from ._state import GANG_INDEX, Job, Run, RunPhase, Step, Worker
from ._suspicion import Suspicion

_UNHEALTHY_S = 1.0
"""Time without work after a worker refused a start as unhealthy."""


class RunTable:
    """Knows every run that may be alive and repeats orders without an answer."""

    def __init__(
        self,
        jobs: Mapping[str, Job],
        workers: Mapping[str, Worker],
        outbox: list[Action],
        run_times: RunTimes,
        timing,
        find_spec: Callable[[str], WorkflowSpec | None],
    ) -> None:
        self.first_number = 1
        self.room_version = 0
        self.closed: list[str] = []
        self._jobs = jobs
        self._workers = workers
        self._outbox = outbox
        self._run_times = run_times
        self._timing = timing
        self.suspicion = Suspicion(run_times)
        self._find_spec = find_spec

    def next_number(self, step: Step, indices: list[int]) -> int:
        """Return a run number above all earlier ones of the tasks."""
        return max([self.first_number, *(step.numbers.get(index, 0) + 1 for index in indices)])

    def add(self, run: Run) -> None:
        """Enter a run and take its room."""
        run.worker.add(run)
        if run.step is not None:
            index = run.task.index
            run.step.runs[index] = run
            run.step.waiting.discard(index)
            run.step.numbers[index] = max(run.step.numbers.get(index, 0), run.number)

    def any_of(self, job: Job) -> bool:
        """Return whether a run of the job may be alive."""
        return any(step.runs for step in job.steps.values())

    def stop_all(self, job: Job, now_s: float) -> None:
        """Stop every run of a job."""
        for step in job.steps.values():
            step.waiting.clear()
            for run in step.runs.values():
                self.stop(run, now_s)

    def stop(self, run: Run, now_s: float) -> None:
        """Order a run to stop; its room stays taken until its end is known."""
        if run.phase is not RunPhase.STOPPING:
            run.phase = RunPhase.STOPPING
            run.since_s = now_s
            self._send_stop(run, now_s)

    def _send_stop(self, run: Run, now_s: float) -> None:
        run.ordered_s = now_s
        self._outbox.append(
            StopRun(worker_id=run.worker.worker_id, task=run.task, number=run.number)
        )

    def start_answered(
        self, worker_id: str, task: TaskName, number: int, result: StartResult, now_s: float
    ) -> None:
        """Take up the answer to an order to start a run."""
        worker = self._workers.get(worker_id)
        run = None if worker is None else worker.runs.get((task, number))
        if run is None or run.phase is not RunPhase.STARTING:
            return
        match result:
            case StartResult.STARTED | StartResult.NUMBER_TOO_LOW:
                # A number that is too low has ended there; the next list shows how.
                run.phase, run.since_s = RunPhase.RUNNING, now_s
                self._begin(run)
                return
            case StartResult.UNKNOWN | StartResult.STALE_EPOCH | StartResult.OTHER_INCARNATION:
                return
            case StartResult.UNHEALTHY:
                worker.suspect_until_s = max(worker.suspect_until_s, now_s + _UNHEALTHY_S)
            case StartResult.NOT_SENT:
                worker.reachable = False
            case StartResult.NO_TICKET if run.step is not None:
                run.step.tickets.pop(worker_id, None)
        run.refusals_count += 1
        if run.refusals_count < run.starts_count:
            # Another order for this run has no answer and may still be carried out, so the task
            # waits until the worker has taken up a stop.
            self.stop(run, now_s)
        else:
            self._release(run)
        self._abort_gang(run, now_s)

    def stop_answered(self, worker_id: str, task: TaskName, number: int, now_s: float) -> None:
        """Take up that a worker refuses a run from now on and stops it if it is there."""
        worker = self._workers.get(worker_id)
        run = None if worker is None else worker.runs.get((task, number))
        if run is not None and run.phase is RunPhase.STOPPING and not run.stop_answered:
            run.stop_answered = True
            run.since_s = now_s
            run.late_start_until_s = 0.0

    def _begin(self, run: Run) -> None:
        job = None if run.step is None else run.step.job
        if job is not None and job.state is WorkflowState.QUEUED:
            job.state = WorkflowState.RUNNING
            job.dirty = True

    def _release(self, run: Run) -> None:
        """Give the room of an ended run back and let its task wait again if it is not done."""
        run.worker.remove(run)
        self.room_version += 1
        step, index = run.step, run.task.index
        if step is None or step.runs.get(index) is not run:
            return
        del step.runs[index]
        if not step.is_done(index) and not step.job.state.final:
            step.waiting.add(index)
        if step.job.state.final and not self.any_of(step.job):
            self.closed.append(step.job.job_id)

    def _abort_gang(self, run: Run, now_s: float) -> None:
        if run.step is not None and run.step.spec.gang:
            for other in list(run.step.runs.values()):
                self.stop(other, now_s)

    def lost(self, run: Run, now_s: float) -> None:
        """Take up that a run ended without a report of its end."""
        if run.checkpoint and run.step is not None:
            self._keep_checkpoint(run.step, run.task.index, run.checkpoint)
        self._release(run)
        self._abort_gang(run, now_s)

    def listed(self, worker: Worker, event: WorkerListed, now_s: float) -> None:
        """Take up both lists of a worker."""
        for end in event.ended:
            self._ended(worker, end, now_s)
        alive = set()
        for row in event.running:
            alive.add((row.task, row.number))
            self._running(worker, row, now_s)
        self.suspicion.judge_speed(worker, now_s)
        for key, run in list(worker.runs.items()):
            if key in alive or event.sent_s <= run.since_s:
                continue
            if run.phase is RunPhase.STARTING and event.sent_s <= run.late_start_until_s:
                continue
            if run.phase is RunPhase.STOPPING and event.sent_s <= run.late_start_until_s:
                # A late start can still arrive after a stop that the worker has not seen.
                continue
            self.lost(run, now_s)

    def _running(self, worker: Worker, row: ListedRun, now_s: float) -> None:
        run = worker.runs.get((row.task, row.number))
        if run is None:
            run = self._adopt(worker, row, now_s)
        if run.phase is RunPhase.STARTING:
            run.phase, run.since_s = RunPhase.RUNNING, now_s
            self._begin(run)
        run.checkpoint = row.checkpoint or run.checkpoint
        if row.percent != run.percent:
            run.percent, run.progressed_s = row.percent, now_s
        self.suspicion.progressed(run, row.percent, now_s)
        if self.suspicion.stalled(run, now_s):
            run.step.avoided[run.task.index] = worker.worker_id
            self.suspicion.failed(worker, run.step.job.job_id, now_s)
            self.stop(run, now_s)
            self._abort_gang(run, now_s)

    def _adopt(self, worker: Worker, row: ListedRun, now_s: float) -> Run:
        """Enter a run that an earlier tenure started."""
        job = self._jobs.get(row.task.step_name.job_id)
        step = None
        if job is not None:
            job.open_occurrence(row.task.step_name.occurrence)
            step = job.steps.get((row.task.step_name.occurrence, row.task.step_name.step))
        charged = self._size_of(row.task, worker)
        wanted = (
            step is not None
            and not step.job.state.final
            and not step.is_done(row.task.index)
            and row.task.index not in step.runs
        )
        run = Run(
            task=row.task,
            number=row.number,
            step=step if wanted else None,
            worker=worker,
            charged=charged,
            phase=RunPhase.RUNNING,
            since_s=now_s,
            started_s=now_s,
            progressed_s=now_s,
            read_s=now_s,
            read_percent=row.percent,
        )
        self.add(run)
        if wanted:
            self._begin(run)
        else:
            self.stop(run, now_s)
        return run

    def _size_of(self, task: TaskName, worker: Worker) -> ResourceVector:
        """Return what a listed run takes, also when its job needs no further runs.

        A run of a job that is not known at all takes the whole worker.
        """
        spec = self._find_spec(task.step_name.job_id)
        if spec is None or task.step_name.step >= len(spec.steps):
            return worker.info.capacity
        return spec.steps[task.step_name.step].charged

    def _ended(self, worker: Worker, end: ListedEnd, now_s: float) -> None:
        run = worker.runs.get((end.task, end.number))
        step = run.step if run is not None else self._find(end.task)
        if step is not None and not step.job.state.final:
            self._record_end(worker, step, end, run, now_s)
        if run is not None:
            self._release(run)
            if end.kind not in (EndKind.DONE, EndKind.STOPPED):
                self._abort_gang(run, now_s)

    def _find(self, task: TaskName) -> Step | None:
        job = self._jobs.get(task.step_name.job_id)
        if job is None:
            return None
        job.open_occurrence(task.step_name.occurrence)
        return job.steps.get((task.step_name.occurrence, task.step_name.step))

    def _keep_checkpoint(self, step: Step, index: int, checkpoint: str) -> None:
        step.checkpoints[0 if step.spec.gang else index] = checkpoint

    def _record_end(
        self, worker: Worker, step: Step, end: ListedEnd, run: Run | None, now_s: float
    ) -> None:
        index = end.task.index
        step.numbers[index] = max(step.numbers.get(index, 0), end.number)
        if end.checkpoint:
            self._keep_checkpoint(step, index, end.checkpoint)
        match end.kind:
            case EndKind.DONE if not step.spec.long_running:
                self._done(worker, step, index, run, now_s)
            case EndKind.FAILED if not step.spec.long_running and not step.is_done(index):
                self._failed(worker, step, end, now_s)
        step.job.dirty = True

    def _done(self, worker: Worker, step: Step, index: int, run: Run | None, now_s: float) -> None:
        self.suspicion.done(worker)
        if step.is_done(index):
            return
        if run is not None:
            self._run_times.observe(step, now_s - run.started_s)
        step.mark_done(index)
        job = step.job
        if job.complete:
            job.state = WorkflowState.COMPLETE
        elif job.state is WorkflowState.QUEUED:
            job.state = WorkflowState.RUNNING
        other = step.runs.get(index)
        if other is not None and other is not run and not step.spec.gang:
            self.stop(other, now_s)

    def _failed(self, worker: Worker, step: Step, end: ListedEnd, now_s: float) -> None:
        index = end.task.index
        step.avoided[index] = worker.worker_id
        if step.spec.gang:
            index = GANG_INDEX
        counted = step.failures.get(index, ())
        if end.number in counted:
            return
        self.suspicion.failed(worker, step.job.job_id, now_s)
        step.failures[index] = (*counted, end.number)
        if len(step.failures[index]) >= step.job.queue.max_attempts:
            step.job.state = WorkflowState.FAILED
            self.stop_all(step.job, now_s)

    def start(self, run: Run, ticket: str, now_s: float) -> None:
        """Order the start of a run, or repeat the order."""
        timing, step = self._timing, run.step
        run.ordered_s = now_s
        run.starts_count += 1
        run.late_start_until_s = (
            now_s + timing.start_validity_s * (1 + timing.clock_drift) + timing.network_margin_s
        )
        run.worker.runs_end_s = max(run.worker.runs_end_s, run.late_start_until_s)
        index = run.task.index
        self._outbox.append(
            StartRun(
                worker_id=run.worker.worker_id,
                task=run.task,
                number=run.number,
                payload=step.job.spec.payload,
                checkpoint=step.checkpoints.get(0 if step.spec.gang else index, ""),
                ticket=ticket,
            )
        )

    def sweep(self, now_s: float) -> None:
        """Repeat orders that have no answer."""
        repeat_s = self._timing.repeat_s
        for worker in self._workers.values():
            for run in list(worker.runs.values()):
                if run.phase is RunPhase.RUNNING or now_s < run.ordered_s + repeat_s:
                    continue
                if run.phase is RunPhase.STOPPING:
                    if not run.stop_answered:
                        self._send_stop(run, now_s)
                elif now_s < run.since_s + self._timing.start_repeats_s:
                    ticket = run.step.tickets.get(worker.worker_id, ("", 0.0))[0]
                    self.start(run, ticket, now_s)
                else:
                    run.step.avoided[run.task.index] = worker.worker_id
                    self.stop(run, now_s)
                    self._abort_gang(run, now_s)
