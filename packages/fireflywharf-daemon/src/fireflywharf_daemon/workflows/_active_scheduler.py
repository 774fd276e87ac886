"""The active scheduler: decisions, orders to workers and the journal records of one tenure."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Mapping

from fireflywharf_core.workflows import (
    AskApproval,
    DirectoryChanged,
    Event,
    JobAdded,
    JobCancelled,
    JobLimits,
    JobsRecorded,
    JournalRecord,
    JournalState,
    ProgressTooLarge,
    StartRun,
    StopRun,
    TenureConfirmed,
    TenureRecord,
    Timing,
    WorkerInfo,
    WorkersInUse,
    WorkflowAccepted,
    WorkflowCancelled,
    WorkflowProgress,
    WorkflowScheduler,
    count_excess_jobs,
    count_held_steps,
    encode_record,
    job_keys,
    list_held_processors,
    progress_job_id,
)

from ._append_groups import find_size_bytes
from ._background import BackgroundTasks
from ._decision_log import DecisionLog
from ._election import RENEWAL_S, JournalWriter
from ._interfaces import AppendFenced, LogRecord, PlatformServices
from ._interference_log import InterferenceLog
from ._metrics import WorkflowMetrics
from ._orders import OrderSender
from ._peers import ApprovalBalancer
from ._sessions import WorkerSession
from ._submissions import Submissions

_LOG = logging.getLogger(__name__)

_APPEND_BATCH_S = 0.015
"""Time in which changes are collected for one append."""
_EVENT_BATCH_S = 0.004
"""Time in which events are collected for one decision."""
_RESIGNATION_TIMEOUT_S = 1.0
"""Timeout for storing a resignation; without it, the successor waits for the silence."""
_DECISION_INTERVAL_MAX_S = 0.1
"""Maximum time between two decisions."""
RETENTION_S = 150.0
"""Time for which the state of an ended job is kept; callers may query it for 120 s."""
_RUN_NUMBERS_PER_TENURE = 1000
"""Size of the range of run numbers of a tenure; later tenures use higher numbers."""


def _make_scheduler(
    record: TenureRecord,
    journal_state: JournalState,
    timing: Timing,
    limits: JobLimits,
    now_s: float,
    process_started_s: float,
) -> WorkflowScheduler:
    """Return the scheduler of a tenure, which knows the jobs in the journal."""
    scheduler = WorkflowScheduler(
        timing=timing,
        first_number=(record.ordinal - 1) * _RUN_NUMBERS_PER_TENURE + 1,
        workers_in_use=journal_state.workers_in_use,
        departures=journal_state.departures,
        started_s=now_s,
        leases_end_s=journal_state.tenures.leases_end_s(timing, record.holder, process_started_s),
        find_spec=journal_state.find_spec,
        find_team=journal_state.find_team,
        limits=limits,
    )
    for job_id, journaled in journal_state.jobs.items():
        scheduler.observe(JobAdded(job_id=job_id, journaled=journaled), now_s)
    return scheduler


class ActiveScheduler:
    """Runs the scheduler for one tenure.

    Args:
        record: record of the tenure.
        writer: appends the records of the tenure.
        journal_state: the journal as read up to the tenure record.
        submissions: reads the submissions.
        platform_services: external services.
        timing: timeouts of the deployment.
        on_tenure_end: called once with the reason when the tenure is lost.
        on_loaded: called when all submissions were read, so that workers can be used.
        approvals: distributes approval requests.
        metrics: counts results and durations.
        process_started_s: local time of the start of this process, in seconds.
    """

    def __init__(
        self,
        record: TenureRecord,
        writer: JournalWriter,
        journal_state: JournalState,
        submissions: Submissions,
        platform_services: PlatformServices,
        timing: Timing,
        on_tenure_end: Callable[[str], None],
        on_loaded: Callable[[], None],
        approvals: ApprovalBalancer,
        metrics: WorkflowMetrics,
        process_started_s: float,
    ) -> None:
        self.record = record
        self._writer = writer
        self._platform = platform_services
        self._submissions = submissions
        self._on_tenure_end = on_tenure_end
        self._on_loaded = on_loaded
        self._loaded = False
        self._closing = False
        self._resigning = False
        self._now_s = time.monotonic
        self.scheduler = _make_scheduler(
            record, journal_state, timing, writer.limits, self._now_s(), process_started_s
        )
        self.scheduler.observe(TenureConfirmed(writer.confirmed_s), self._now_s())
        self._worker_ids_in_use = set(journal_state.workers_in_use)
        self._departures = {
            worker_id: departure.departure_id
            for worker_id, departure in journal_state.departures.items()
        }
        self._departures_count = 0
        self._directory: Mapping[str, WorkerInfo] = {}
        self._sessions: dict[str, tuple[WorkerSession, asyncio.Task]] = {}
        self._wake = asyncio.Event()
        self._records_pending = asyncio.Event()
        self._flush_futures: list[asyncio.Future] = []
        self._extra_records: list[JournalRecord | LogRecord] = []
        self._journal_state = journal_state
        self._decision_log = DecisionLog(
            self.scheduler, record.epoch, self._now_s(), lambda: writer.confirmation_age_s
        )
        self._interference_log = InterferenceLog(self.scheduler.runs.interference, metrics)
        self._background = BackgroundTasks(
            "scheduler", lambda: self.end_tenure("a background task of the scheduler failed")
        )
        self._approvals = approvals
        self._metrics = metrics
        self._orders = OrderSender(self, platform_services.workers, approvals, metrics)
        self._unstarted_read_s: dict[str, float] = {}
        self._deleted_cancellations: set[str] = set()

    def start(self) -> None:
        """Start the decision and record loops, and read the submissions."""
        self._background.spawn(self._decision_loop())
        self._background.spawn(self._record_loop())
        self._background.spawn(self._submissions.run_releases())
        self._background.spawn(self._follow_submissions())

    async def _follow_submissions(self) -> None:
        """Read all submissions, then allow the use of workers and follow the partitions.

        The workers report runs of earlier tenures, which are only recognized with their jobs.
        """
        await self._submissions.load()
        self._loaded = True
        self._on_loaded()
        for reader in self._submissions.readers.values():
            self._background.spawn(reader.run())

    async def close(self) -> None:
        """Stop all loops and sessions."""
        self._closing = True
        await self._background.close()
        self._interference_log.close()
        self._metrics.set_teams({}, 0, 0)
        self._resolve_flushes(len(self._flush_futures), False)

    async def resign(self) -> None:
        """Record the resignation in the journal, then stop.

        From now on, no lease is renewed and no order is sent, so that the successor waits for one
        lease only.
        """
        ended = TenureRecord(
            holder=self.record.holder,
            epoch=self.record.epoch,
            ordinal=self.record.ordinal,
            resigned=True,
            active_s=self._active_s(),
        )
        self._resigning = True
        try:
            async with asyncio.timeout(_RESIGNATION_TIMEOUT_S):
                await self._append(ended)
        except TimeoutError:
            _LOG.warning("resignation was not recorded", extra={"epoch": self.record.epoch})
        await self.close()

    def end_tenure(self, reason: str) -> None:
        """End the tenure, unless it has ended already."""
        if not self._closing:
            self._closing = True
            self._on_tenure_end(reason)

    def observe(self, event: Event) -> None:
        """Process an event and trigger a decision."""
        self.scheduler.observe(event, self._now_s())
        self._wake.set()

    def handle_record(
        self, record: JournalRecord, offset: int, journal_state: JournalState
    ) -> None:
        """Process a record that was read from the journal."""
        match record:
            case WorkflowAccepted(job_id=job_id):
                journaled = journal_state.jobs[job_id]
                if not journaled.state.is_final:
                    self._unstarted_read_s[job_id] = self._now_s()
                self.observe(JobAdded(job_id=job_id, journaled=journaled))
                self._records_pending.set()
            case WorkflowCancelled(job_id=job_id):
                self._unstarted_read_s.pop(job_id, None)
                self.observe(JobCancelled(job_id))
            case TenureRecord() if record.epoch > self.record.epoch:
                self.end_tenure(f"tenure {record.epoch} of {record.holder} began")

    async def handle_directory(self, directory: Mapping[str, WorkerInfo]) -> None:
        """Process a new directory.

        A worker gets a session, which it needs to get runs, only after it was recorded as in use.
        """
        self._directory = directory
        if not self._loaded:
            return
        in_use = self._find_workers_in_use()
        if in_use != self._worker_ids_in_use or not self._departures.keys().isdisjoint(directory):
            self._queue_workers_in_use(in_use)
            if not await self.flush() or self._closing:
                return
        self.observe(DirectoryChanged(directory))
        for worker_id in directory:
            info = self.scheduler.workers[worker_id].info
            entry = self._sessions.get(worker_id)
            if entry is None:
                self._open_session(info)
            else:
                entry[0].update_info(info)

    def _find_workers_in_use(self) -> set[str]:
        """Return the ids of the workers on which runs may be started or alive."""
        recorded = self._worker_ids_in_use
        return self.scheduler.workers_to_record(recorded, self._now_s()).union(self._directory)

    def _queue_workers_in_use(self, worker_ids: set[str]) -> None:
        """Queue the record of the workers in use; the records are appended in this order."""
        self._worker_ids_in_use = worker_ids
        self._departures = {
            worker_id: departure_id
            for worker_id, departure_id in self._departures.items()
            if worker_id in worker_ids and worker_id not in self._directory
        }
        self._extra_records.append(
            WorkersInUse(worker_ids=tuple(sorted(worker_ids)), departures=self._departures)
        )
        self._records_pending.set()

    def _remove_departed_workers(self) -> None:
        """End the sessions with workers that have left, and record their departure.

        The next scheduler waits for every recorded worker before it starts inherited jobs. After a
        departure was recorded, no lease is renewed there, so it knows when the runs have ended.
        """
        if not self._loaded:
            return
        departed = self.scheduler.find_departed(self._now_s())
        departed.update(self._sessions.keys() - self.scheduler.workers.keys())
        departed = departed.intersection(self._sessions) - self._directory.keys()
        for worker_id in departed:
            _, task = self._sessions.pop(worker_id)
            task.cancel()
            self._background.spawn(self._platform.workers.forget_worker(worker_id))
            self._departures_count += 1
            self._departures[worker_id] = f"{self.record.epoch}.{self._departures_count}"
            _LOG.info("worker removed", extra={"worker": worker_id})
        in_use = self._find_workers_in_use()
        if departed or in_use < self._worker_ids_in_use:
            self._queue_workers_in_use(in_use.intersection(self._worker_ids_in_use))

    def _open_session(self, info: WorkerInfo) -> None:
        session = WorkerSession(
            info,
            epoch=self.record.epoch,
            gateway=self._platform.workers,
            observe=self.observe,
            flush=self.flush,
            on_fenced=lambda worker_id: self.end_tenure(
                f"worker {worker_id} rejected the epoch as stale"
            ),
            find_lease_s=self.find_lease_s,
            metrics=self._metrics,
        )
        task = self._background.spawn(session.run())
        self._sessions[info.worker_id] = (session, task)

    def may_start(self) -> bool:
        """Return whether the tenure was confirmed recently enough to start runs."""
        start_permission_s = self.scheduler.timing.start_permission_s
        return not self._resigning and self._writer.confirmation_age_s < start_permission_s

    def find_lease_s(self) -> float:
        """Return the lease that a renewal may give now, in seconds; 0 if it may give none."""
        if self._resigning:
            return 0.0
        return self.scheduler.timing.find_lease_s(self._writer.confirmation_age_s)

    def _active_s(self) -> int:
        """Return the time for which the tenure has lasted, in whole seconds."""
        return int(self._now_s() - self.scheduler.started_s)

    async def flush(self) -> bool:
        """Wait until everything observed so far is durable, or the tenure has ended.

        Returns:
            Whether it is durable.
        """
        if self._closing:
            return False
        future = asyncio.get_running_loop().create_future()
        self._flush_futures.append(future)
        self._records_pending.set()
        return await future

    def _resolve_flushes(self, count: int, durable: bool) -> None:
        """Resolve the oldest calls of `flush`.

        Each call stays listed until it is resolved, so that the end of the tenure finds it.
        """
        resolved = self._flush_futures[:count]
        del self._flush_futures[:count]
        for future in resolved:
            if not future.done():
                future.set_result(durable)

    async def _decision_loop(self) -> None:
        while True:
            try:
                async with asyncio.timeout(_DECISION_INTERVAL_MAX_S):
                    await self._wake.wait()
                await asyncio.sleep(_EVENT_BATCH_S)
            except TimeoutError:
                pass
            self._wake.clear()
            if self.find_lease_s() <= 0:
                continue
            self.scheduler.ticket_tracker.long_requests_max = (
                self._approvals.long_requests_vms_count
            )
            for action in self.scheduler.decide(self._now_s(), time.time()):
                self._decision_log.log_action(action)
                match action:
                    case StartRun():
                        read_s = self._unstarted_read_s.pop(action.task.step_name.job_id, None)
                        if read_s is not None:
                            self._metrics.first_start_s.observe(self._now_s() - read_s)
                        self._background.spawn(self._orders.start_run(action))
                    case StopRun():
                        self._background.spawn(self._orders.stop_run(action))
                    case AskApproval():
                        self._background.spawn(self._orders.request_approval(action))
            self._remove_departed_workers()
            if self._decision_log.log_state(self._now_s()):
                self._metrics.set_teams(
                    list_held_processors(self.scheduler),
                    count_held_steps(self.scheduler),
                    count_excess_jobs(self.scheduler),
                )
            self._interference_log.update(self._now_s())
            if self.scheduler.confirmation.is_wanted or any(
                job.dirty for job in self.scheduler.jobs.values()
            ):
                self._records_pending.set()

    async def _append(self, record: JournalRecord) -> bool:
        """Append through the record loop, which is the only user of the writer."""
        self._extra_records.append(record)
        return await self.flush()

    def _delete_expired_jobs(self) -> None:
        """Delete the records of jobs whose retention time has passed."""
        for job_id in self._journal_state.find_expired(self._now_s(), RETENTION_S):
            if not self.scheduler.ledger.may_close(job_id):
                # Its team would be unknown to the next scheduler.
                continue
            for key in job_keys(job_id, self._journal_state.jobs[job_id].early_cancellations):
                self._replace_record(LogRecord(key, b""))
        expired = self._journal_state.find_expired_cancellations(self._now_s(), RETENTION_S)
        for key in set(expired) - self._deleted_cancellations:
            self._replace_record(LogRecord(key, b""))
        self._deleted_cancellations = set(expired)

    def _replace_record(self, record: LogRecord) -> None:
        """Queue a record of an ended job for its partition."""
        if self._submissions.find_reader(record.key) is None:
            self._extra_records.append(record)
        else:
            self._submissions.release([record])

    def _observe_recorded(self, progress: list[WorkflowProgress]) -> None:
        if progress:
            self.observe(JobsRecorded(tuple(record.job_id for record in progress)))
        confirmed = TenureConfirmed(self._writer.confirmed_s)
        if self.scheduler.confirmation.is_wanted:
            self.observe(confirmed)
        else:
            self.scheduler.observe(confirmed, self._now_s())

    def _block_jobs(self) -> set[str]:
        """Block the jobs whose progress is too large for the journal, and return their ids."""
        job_ids = set()
        for record in self._writer.pop_too_large():
            job_id = progress_job_id(record.key)
            job = self.scheduler.jobs.get(job_id)
            queue_name = "" if job is None else job.queue.name
            self._metrics.progress_too_large.labels(queue_name).inc()
            if job is None or job.blocked_s is None:
                _LOG.error(
                    "progress is too large for the journal; the job starts no further runs",
                    extra={
                        "job_id": job_id,
                        "queue": queue_name,
                        "size_bytes": find_size_bytes(record),
                        "limit_bytes": self._writer.limits.value_max_bytes,
                    },
                )
            self.observe(ProgressTooLarge(job_id))
            job_ids.add(job_id)
        return job_ids

    async def _record_loop(self) -> None:
        """Append progress, other records and tenure renewals in groups."""
        renewed_s, renewal = self._now_s(), 0
        while True:
            try:
                async with asyncio.timeout(max(0.0, renewed_s + RENEWAL_S - self._now_s())):
                    await self._records_pending.wait()
                await asyncio.sleep(_APPEND_BATCH_S)
            except TimeoutError:
                pass
            self._records_pending.clear()
            flushes_count = len(self._flush_futures)
            # Closing records are appended after the progress that they depend on.
            for closed in self.scheduler.pop_closed():
                self._replace_record(LogRecord(*encode_record(closed)))
            records, self._extra_records = self._extra_records, []
            progress = self.scheduler.pop_progress()
            records += progress
            is_due = self._now_s() >= renewed_s + RENEWAL_S - _APPEND_BATCH_S
            is_wanted = self.scheduler.confirmation.is_wanted and not records
            if not self._resigning and (is_due or is_wanted):
                renewal += 1
                renewed_s = self._now_s()
                self._delete_expired_jobs()
                records.append(
                    TenureRecord(
                        holder=self.record.holder,
                        epoch=self.record.epoch,
                        ordinal=self.record.ordinal,
                        renewal=renewal,
                        active_s=self._active_s(),
                    )
                )
            if records and isinstance(await self._writer.append(records), AppendFenced):
                self.end_tenure("the journal rejected the epoch as stale")
                return
            too_large = self._block_jobs()
            self._observe_recorded([row for row in progress if row.job_id not in too_large])
            self._resolve_flushes(flushes_count, True)
