"""Effects of the reported ends of runs on steps and jobs."""

from __future__ import annotations

from collections.abc import Callable

from ._estimates import RunTimes
from ._events import EndKind, ReportedEnd, StopCause
from ._journal_records import (
    WorkflowState,
)
from ._state import GANG_INDEX, Job, Run, Step, Worker
from ._worker_health import WorkerHealth


class EndRecorder:
    """Records reported ends: done and failed tasks, checkpoints and the state of the job.

    Args:
        run_times: updated with the run times of successful tasks.
        worker_health: updated with successes and failures.
        order_stop: orders a run to stop.
        order_stop_all: orders all runs of a job to stop.
    """

    def __init__(
        self,
        run_times: RunTimes,
        worker_health: WorkerHealth,
        order_stop: Callable[[Run, StopCause, float], None],
        order_stop_all: Callable[[Job, StopCause, float], None],
    ) -> None:
        self._run_times = run_times
        self._worker_health = worker_health
        self._order_stop = order_stop
        self._order_stop_all = order_stop_all

    def keep_checkpoint(self, step: Step, index: int, checkpoint: str) -> None:
        """Keep the checkpoint from which the next run of a task, or of a gang, resumes."""
        step.checkpoints[0 if step.spec.gang else index] = checkpoint

    def record(
        self, worker: Worker, step: Step, end: ReportedEnd, run: Run | None, now_s: float
    ) -> None:
        """Record a reported end of a run in the state of its step and job.

        Args:
            worker: worker that reported the end.
            step: step of the task.
            end: the reported end.
            run: the run; None if it is not known.
            now_s: current local time, in seconds.
        """
        index = end.task.index
        step.run_numbers[index] = max(step.run_numbers.get(index, 0), end.number)
        if end.checkpoint:
            self.keep_checkpoint(step, index, end.checkpoint)
        match end.kind:
            case EndKind.DONE if not step.spec.long_running:
                self._handle_success(worker, step, index, run, now_s)
            case EndKind.FAILED if not step.spec.long_running and not step.is_done(index):
                self._handle_failure(worker, step, end, now_s)
        step.job.dirty = True

    def _handle_success(
        self, worker: Worker, step: Step, index: int, run: Run | None, now_s: float
    ) -> None:
        self._worker_health.record_success(worker)
        if step.is_done(index):
            return
        if run is not None:
            self._run_times.observe(step, now_s - run.started_s)
        step.mark_done(index)
        job = step.job
        if job.is_complete:
            job.state = WorkflowState.COMPLETE
        elif job.state is WorkflowState.QUEUED:
            job.state = WorkflowState.RUNNING
        other = step.runs.get(index)
        if other is not None and other is not run and not step.spec.gang:
            self._order_stop(other, StopCause.TASK_DONE, now_s)

    def _handle_failure(self, worker: Worker, step: Step, end: ReportedEnd, now_s: float) -> None:
        index = end.task.index
        step.avoided[index] = worker.worker_id
        if step.spec.gang:
            index = GANG_INDEX
        counted = step.failures.get(index, ())
        if end.number in counted:
            return
        self._worker_health.record_failure(worker, step.job.job_id, now_s)
        step.failures[index] = (*counted, end.number)
        if len(step.failures[index]) >= step.job.queue.max_attempts:
            step.job.state = WorkflowState.FAILED
            self._order_stop_all(step.job, StopCause.JOB_FAILED, now_s)
