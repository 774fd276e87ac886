"""Execution of the actions that the scheduler core decides on."""

import asyncio
import logging
from collections.abc import Callable

from fireflywharf_core.jobs import AttemptId
from fireflywharf_core.platform import (
    AcknowledgeAttempt,
    CheckpointAttempt,
    StopAttempt,
    ThrottleAttempt,
)
from fireflywharf_core.records import JobFinished, JobLate, StartIntent, TaskEnded
from fireflywharf_core.results import NotRun
from fireflywharf_core.scheduling import (
    AcknowledgeEnd,
    Action,
    CheckpointTask,
    Event,
    JobFinishRecorded,
    ProbeWorker,
    RecordJobFinish,
    RecordJobLate,
    RecordStartIntent,
    RecordTaskEnd,
    ReportInfeasible,
    SetWorkerAside,
    StartAnswered,
    StartIntentDurable,
    StartOutcomeUnknown,
    StartTask,
    StopTask,
    ThrottleTask,
)

from ..metrics import Metrics
from ._log_stream import LogStream
from ._worker_gateway import (
    CommandAnswered,
    CommandNotRun,
    CommandResult,
    CommandUncertain,
    WorkerGateway,
)

_LOG = logging.getLogger(__name__)


class DecisionExecutor:
    """Translates the actions of one scheduler tenure to worker commands and log records.

    Args:
        gateway: sends the worker commands.
        stream: log stream of the failure domain.
        jobs_stream: log stream `jobs`.
        observe: receives the events that result from the actions; ignores them once the tenure
            has ended.
        metrics: counts finished and late jobs.
    """

    def __init__(
        self,
        gateway: WorkerGateway,
        stream: LogStream,
        jobs_stream: LogStream,
        observe: Callable[[Event], None],
        metrics: Metrics,
    ) -> None:
        self.gateway = gateway
        self.stream = stream
        self.jobs_stream = jobs_stream
        self.observe = observe
        self.metrics = metrics
        self._recorded_ends: dict[AttemptId, asyncio.Future[int] | NotRun] = {}

    def execute(self, action: Action) -> None:
        """Send the command or append the record of an action."""
        match action:
            case StartTask(worker, start):
                self.gateway.send(
                    worker,
                    start,
                    lambda result: self._observe_start_result(worker, start.attempt, result),
                )
            case StopTask(worker, attempt):
                self.gateway.send(worker, StopAttempt(attempt), _ignore_result)
            case CheckpointTask(worker, attempt):
                self.gateway.send(worker, CheckpointAttempt(attempt), _ignore_result)
            case ThrottleTask(worker, attempt, processors_millicores):
                command = ThrottleAttempt(attempt, processors_millicores)
                self.gateway.send(worker, command, _ignore_result)
            case AcknowledgeEnd(worker, attempt):
                self._acknowledge_when_recorded(worker, attempt)
            case SetWorkerAside(worker, detail):
                _LOG.warning("worker %s set aside: %s", worker, detail)
            case ProbeWorker(worker):
                _LOG.info("worker %s probed", worker)
            case _:
                self._record_action(action)

    def _record_action(self, action: Action) -> None:
        match action:
            case RecordTaskEnd(attempt, end, worker, elapsed_s):
                record = TaskEnded(attempt, end, worker, elapsed_s)
                self._recorded_ends[attempt] = self.stream.submit(record)
            case RecordStartIntent(attempt, worker):
                durable = self.stream.submit(StartIntent(attempt, worker))
                self._observe_when_durable(durable, StartIntentDurable(attempt))
            case RecordJobFinish(job_id, state, late, detail):
                self.metrics.count_finished_job(state)
                record = JobFinished(job_id, state, late, detail)
                self._observe_when_durable(
                    self.jobs_stream.submit(record), JobFinishRecorded(job_id)
                )
            case RecordJobLate(job_id):
                self.metrics.count_late_job()
                _LOG.warning("job passed its deadline", extra={"job_id": job_id})
                self.jobs_stream.submit(JobLate(job_id))
            case ReportInfeasible(job_id, detail):
                _LOG.warning("job cannot run: %s", detail, extra={"job_id": job_id})

    def _observe_start_result(self, worker: str, attempt: AttemptId, result: CommandResult) -> None:
        match result:
            case CommandAnswered(answer):
                self.observe(StartAnswered(attempt, worker, answer.accepted, answer.reason))
            case CommandNotRun(reason):
                self.observe(StartAnswered(attempt, worker, False, reason))
            case CommandUncertain():
                self.observe(StartOutcomeUnknown(attempt, worker))

    def _acknowledge_when_recorded(self, worker: str, attempt: AttemptId) -> None:
        def send() -> None:
            self.gateway.send(worker, AcknowledgeAttempt(attempt), _ignore_result)

        future = self._recorded_ends.pop(attempt, None)
        if future is None:
            send()
        elif not isinstance(future, NotRun):
            # If the log refused the record, the worker keeps reporting the end, and the core
            # requests the record again.
            future.add_done_callback(lambda done: None if done.cancelled() else send())

    def _observe_when_durable(self, future: "asyncio.Future[int] | NotRun", event: Event) -> None:
        if not isinstance(future, NotRun):
            future.add_done_callback(lambda done: None if done.cancelled() else self.observe(event))


def _ignore_result(_: CommandResult) -> None:
    """Discard a result; the next worker report shows whether the command must be repeated."""
