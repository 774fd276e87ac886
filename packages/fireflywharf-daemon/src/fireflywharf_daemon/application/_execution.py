"""Execution of the decisions of the scheduler core."""

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
    FinishJob,
    JobFinishRecorded,
    NeedStartIntent,
    ProbeWorker,
    RecordTaskEnd,
    ReportInfeasible,
    ReportLate,
    SetWorkerAside,
    StartAnswered,
    StartIntentDurable,
    StartTask,
    StartUncertain,
    StopTask,
    ThrottleTask,
)

from ..metrics import Metrics
from ._log_stream import LogStream
from ._worker_gateway import (
    CommandNotRun,
    CommandResult,
    CommandTaken,
    CommandUncertain,
    WorkerGateway,
)

_LOG = logging.getLogger(__name__)


class DecisionExecutor:
    """Turns actions of one tenure into worker commands and log records.

    Args:
        gateway: worker commands.
        stream: stream of the domain.
        jobs_stream: stream `jobs`.
        observe: takes the events that answer the actions; ignores them after the tenure.
        metrics: counts jobs.
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
        """Execute one action."""
        match action:
            case StartTask(worker, start):
                self.gateway.send(
                    worker, start, lambda result: self._started(worker, start.attempt, result)
                )
            case StopTask(worker, attempt):
                self.gateway.send(worker, StopAttempt(attempt), _ignore)
            case CheckpointTask(worker, attempt):
                self.gateway.send(worker, CheckpointAttempt(attempt), _ignore)
            case ThrottleTask(worker, attempt, processors_millicores):
                command = ThrottleAttempt(attempt, processors_millicores)
                self.gateway.send(worker, command, _ignore)
            case AcknowledgeEnd(worker, attempt):
                self._acknowledge(worker, attempt)
            case SetWorkerAside(worker, detail):
                _LOG.warning("worker %s set aside: %s", worker, detail)
            case ProbeWorker(worker):
                _LOG.info("worker %s gets a probe", worker)
            case _:
                self._record(action)

    def _record(self, action: Action) -> None:
        match action:
            case RecordTaskEnd(attempt, end, worker, elapsed_s):
                record = TaskEnded(attempt, end, worker, elapsed_s)
                self._recorded_ends[attempt] = self.stream.submit(record)
            case NeedStartIntent(attempt, worker):
                durable = self.stream.submit(StartIntent(attempt, worker))
                self._then(durable, StartIntentDurable(attempt))
            case FinishJob(job_id, state, late, detail):
                self.metrics.count_finished_job(state)
                record = JobFinished(job_id, state, late, detail)
                self._then(self.jobs_stream.submit(record), JobFinishRecorded(job_id))
            case ReportLate(job_id):
                self.metrics.count_late_job()
                _LOG.warning("job passed its deadline", extra={"job_id": job_id})
                self.jobs_stream.submit(JobLate(job_id))
            case ReportInfeasible(job_id, detail):
                _LOG.warning("job cannot run: %s", detail, extra={"job_id": job_id})

    def _started(self, worker: str, attempt: AttemptId, result: CommandResult) -> None:
        match result:
            case CommandTaken(answer):
                self.observe(StartAnswered(attempt, worker, answer.accepted, answer.reason))
            case CommandNotRun(reason):
                self.observe(StartAnswered(attempt, worker, False, reason))
            case CommandUncertain():
                self.observe(StartUncertain(attempt, worker))

    def _acknowledge(self, worker: str, attempt: AttemptId) -> None:
        def send() -> None:
            self.gateway.send(worker, AcknowledgeAttempt(attempt), _ignore)

        future = self._recorded_ends.pop(attempt, None)
        if future is None:
            send()
        elif not isinstance(future, NotRun):
            # A refused record is asked for again when the worker reports the end again.
            future.add_done_callback(lambda done: None if done.cancelled() else send())

    def _then(self, future: "asyncio.Future[int] | NotRun", event: Event) -> None:
        if not isinstance(future, NotRun):
            future.add_done_callback(lambda done: None if done.cancelled() else self.observe(event))


def _ignore(_: CommandResult) -> None:
    """Take no notice; the next report of the worker shows whether a repeat is needed."""
