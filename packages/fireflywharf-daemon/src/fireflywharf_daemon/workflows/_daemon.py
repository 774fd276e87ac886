"""The daemon for workflows; every VM runs one, and one of them is the active scheduler."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import time
from collections.abc import Mapping

from fireflywharf_core.workflows import (
    ApprovalRates,
    ApprovalReceived,
    Configuration,
    JobLimits,
    JournalRecord,
    KeyCheck,
    StepName,
    TeamHistory,
    TenureRecord,
    Timing,
    VmPresent,
    WorkerDirectory,
    WorkerInfo,
    WorkersInUse,
    WorkflowAccepted,
    WorkflowProgress,
    approval_request_ms,
    encode_record,
    has_short_requests,
    sample_workers,
    taken_calls_max,
)

from ._active_scheduler import ActiveScheduler
from ._append_timeouts import AppendTimeouts
from ._appends import JournalAppender
from ._approvals import ApprovalQueue
from ._background import BackgroundTasks
from ._election import Election, JournalWriter
from ._forwarding import CallForwarder, TakenCalls
from ._http import HttpClient
from ._interfaces import Appended, LogRecord, PlatformServices
from ._journal import FOLLOWER_PAUSE_S, SCHEDULER_PAUSE_S, JournalReader
from ._metrics import WorkflowMetrics
from ._peers import ApprovalBalancer, PeerClient, PeerServer, RecordMessage
from ._service import WorkflowService
from ._submissions import Submissions

_LOG = logging.getLogger(__name__)

_FOLLOWER_DIRECTORY_S = 1.0
"""Pause between directory reads of an inactive daemon."""
_SCHEDULER_DIRECTORY_S = 0.25
"""Pause between directory reads of the active scheduler.

A draining worker must get no runs later than 2.5 s after it announced so."""
_ELECTION_INTERVAL_S = 0.1
_CATCH_UP_TIMEOUT_S = 5.0
"""Timeout for reading the journal up to the daemon's own tenure record."""
_CATCH_UP_PAUSE_S = 0.005
"""Pause between two checks whether that record has been read."""
_READ_CHECK_S = 0.6
"""Timeout of the read before a candidacy; the slowest log answers in 0.3 s."""
_CONFIGURATION_RETRY_S = 0.3
_PEER_CONNECTIONS = 8
"""Maximum number of connections to a peer; further requests would only wait in its queue."""
_APPROVAL_KEEPALIVE_S = 1.0
"""Time for which an idle connection for requests for approval is kept.

Such a request shows only after seconds that its connection has gone silent. Messages show it after
one second, and would be delayed by opening connections."""
_ANNOUNCE_INTERVAL_S = 2.0
"""Timeout of an attempt to record the address of this VM, and the pause after it."""


class WorkflowDaemon:
    """Daemon of one VM.

    Args:
        presence: record that announces this VM and its daemon to the other VMs.
        platform_services: external services.
        timing: timeouts of the deployment.
        metrics: counters and histograms.
        key_check: decides which keys of callers are accepted.
        limits: limits of the log on the size of records and appends.
    """

    def __init__(
        self,
        presence: VmPresent,
        platform_services: PlatformServices,
        timing: Timing,
        metrics: WorkflowMetrics,
        key_check: KeyCheck | None = None,
        limits: JobLimits | None = None,
    ) -> None:
        self._limits = JobLimits() if limits is None else limits
        self._presence = presence
        self._metrics = metrics
        self._platform = platform_services
        self._timing = timing
        self._rng = random.Random(presence.incarnation)
        log, times = platform_services.log, AppendTimeouts()
        self.reader = JournalReader(log, self._handle_record, times=times)
        self._appender = JournalAppender(log, times, self.reader.doubt, self._limits)
        self.reader.on_return = self._handle_log_return
        self._log_returned = asyncio.Event()
        self._submissions = Submissions(log, self.reader.journal_state, self._handle_record)
        self._approvals = ApprovalQueue(platform_services.approvals)
        self._peer_http = HttpClient(_PEER_CONNECTIONS)
        self._approvals_http = HttpClient(_PEER_CONNECTIONS, _APPROVAL_KEEPALIVE_S)
        self.taken_calls = TakenCalls(
            taken_calls_max(presence.processors_millicores), self._can_serve_peers, metrics
        )
        self.forwarder = CallForwarder(
            presence.vm, self._vms, lambda: self.reader.is_answering, metrics
        )
        metrics.outage_s.set_function(lambda: self.reader.outage_s)
        self._peer_server = PeerServer(
            self._approvals, self._handle_peer_record, self._handle_peer_tickets, self.taken_calls
        )
        self._peer_client = PeerClient(self._peer_http)
        self._balancer = ApprovalBalancer(
            self._approvals, self._approvals_http, presence.vm, self._vms
        )
        self._approval_rates = ApprovalRates()
        self.workflow_service = WorkflowService(
            self.reader,
            self._submissions,
            self._appender,
            self._request_first_tickets,
            self._handle_stored,
            metrics,
            key_check,
            self._limits,
        )
        self.workflow_service.can_forward = self.forwarder.can_forward
        self.forwarder.floor = self.taken_calls.floor = self.workflow_service
        self._election = Election(presence, self._rng, self._vms)
        self._team_history = TeamHistory()
        self._worker_directory = WorkerDirectory()
        self._directory: Mapping[str, WorkerInfo] = {}
        self._directory_wake = asyncio.Event()
        self.active_scheduler: ActiveScheduler | None = None
        self._background = BackgroundTasks("daemon")
        self._stopping = False
        self._started_s = time.monotonic()

    async def start(self) -> None:
        """Start the servers and all loops."""
        for client in (self._peer_http, self._approvals_http, self.forwarder):
            await client.open()
        host, _, port = self._presence.address.rpartition(":")
        await self._peer_server.open(host, int(port))
        for loop in (
            self._announce,
            self.reader.run,
            *(appender.run for appender in self._appender.appenders),
            self._approvals.run,
            self._configuration_loop,
            self._directory_loop,
            self._election_loop,
        ):
            self._background.spawn_loop(loop)

    async def resign(self) -> None:
        """Resign as scheduler, so that another daemon takes over at once."""
        self._stopping = True
        active_scheduler, self.active_scheduler = self.active_scheduler, None
        if active_scheduler is not None:
            await active_scheduler.resign()
            _LOG.info("scheduler resigned", extra={"epoch": active_scheduler.record.epoch})

    async def close(self) -> None:
        """Stop all loops and servers."""
        await self._background.close()
        await self.forwarder.close()
        await self._peer_server.close()
        for client in (self._peer_http, self._approvals_http):
            await client.close()

    async def _announce(self) -> None:
        """Record the address of this VM in the journal."""
        while True:
            deadline_s = time.monotonic() + _ANNOUNCE_INTERVAL_S
            result = await self._appender.put_record(self._presence, deadline_s)
            if isinstance(result, Appended):
                return
            await asyncio.sleep(_ANNOUNCE_INTERVAL_S)

    def _handle_record(self, record: JournalRecord, offset: int) -> None:
        now_s = time.monotonic()
        match record:
            case WorkflowAccepted(queue=queue):
                self._worker_directory.observe_services([queue.service])
            case TenureRecord():
                previous = self._election.latest
                self._election.observe(record, now_s)
                if previous is None or previous.epoch != record.epoch:
                    _LOG.info(
                        "tenure began",
                        extra={"holder": record.holder, "epoch": record.epoch, "offset": offset},
                    )
            case WorkflowProgress() | WorkersInUse():
                self._election.record_activity(now_s)
        if self.active_scheduler is not None:
            try:
                self.active_scheduler.handle_record(record, offset, self.reader.journal_state)
            except Exception:
                # Its successor starts from the journal, with a state that includes the record.
                _LOG.exception("scheduler cannot process a record", extra={"offset": offset})
                self._handle_tenure_end("a record could not be processed")

    async def _configuration_loop(self) -> None:
        known: Configuration | None = None
        while True:
            source = self._platform.configuration
            newer = await self._read_next_version(known)
            # Nothing is awaited between the read and this call, so that no call of a caller is
            # checked with the earlier keys and the later age.
            self.workflow_service.apply_configuration(newer, source.complete_s)
            if newer is None:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(_CONFIGURATION_RETRY_S):
                        await self._log_returned.wait()
                continue
            known = newer
            self._worker_directory.observe_services(newer.services)
            self._worker_directory.observe_services(queue.service for queue in newer.queues)
            teams_changed = self._team_history.observe(newer.teams)
            if self.active_scheduler is not None:
                self.active_scheduler.observe(teams_changed)

    async def _read_next_version(self, known: Configuration | None) -> Configuration | None:
        """Wait for a newer version; start the read anew when the log answers again.

        A read that was sent to a silent store gets no answer when the store returns, and until the
        next one ends, calls with keys are rejected for the age of the configuration.
        """
        self._log_returned.clear()
        read = asyncio.ensure_future(self._platform.configuration.next_version(known))
        returned = asyncio.ensure_future(self._log_returned.wait())
        try:
            await asyncio.wait({read, returned}, return_when=asyncio.FIRST_COMPLETED)
            return read.result() if read.done() else None
        finally:
            read.cancel()
            returned.cancel()
            await asyncio.gather(read, returned, return_exceptions=True)

    def _handle_log_return(self) -> None:
        self._appender.abandon_overdue()
        self._log_returned.set()

    async def _directory_loop(self) -> None:
        while True:
            entries = await self._platform.directory.poll()
            if entries is not None:
                self._directory = self._select_workers(entries)
                if self.active_scheduler is not None:
                    await self.active_scheduler.handle_directory(self._directory)
            pause_s = (
                _FOLLOWER_DIRECTORY_S if self.active_scheduler is None else _SCHEDULER_DIRECTORY_S
            )
            try:
                async with asyncio.timeout(pause_s):
                    await self._directory_wake.wait()
            except TimeoutError:
                continue
            self._directory_wake.clear()

    def _select_workers(self, entries: Mapping[str, WorkerInfo]) -> Mapping[str, WorkerInfo]:
        """Return the workers among the entries of the directory; log and count the others once."""
        for worker_id, service in self._worker_directory.pop_unknown(entries).items():
            self._metrics.ignored_entries.labels("unknown service").inc()
            _LOG.warning(
                "directory entry is ignored",
                extra={"worker": worker_id, "reason": f"service {service!r} is unknown"},
            )
        unreadable_ids = self._platform.directory.unreadable_ids
        return self._worker_directory.select(entries, unreadable_ids)

    def _request_first_tickets(self, accepted: WorkflowAccepted) -> None:
        """Request tickets for the first steps of a job while the job is being stored.

        Only short requests are sent here. The scheduler knows the free capacity of the workers,
        and a long request should name no worker that cannot run the step.
        """
        approval = accepted.queue.approval
        if approval is None or accepted.spec.times_count or not has_short_requests(approval):
            return
        workers = [w for w in self._directory.values() if w.service == accepted.queue.service]
        share = self._approval_rates.predict(accepted.queue.name)
        for index, step in enumerate(accepted.spec.steps):
            if step.after:
                continue
            asked_ids = sample_workers(step, approval, workers, share, self._rng)
            if asked_ids:
                name = StepName(accepted.job_id, 0, index)
                self._background.spawn(self._request_tickets(name, accepted, asked_ids))

    async def _request_tickets(
        self, step: StepName, accepted: WorkflowAccepted, workers: list[str]
    ) -> None:
        cost_ms = approval_request_ms(accepted.queue.approval, len(workers))
        granted = await self._balancer.ask(step, workers, cost_ms, short=True)
        if granted is None:
            return
        self._approval_rates.observe(accepted.queue.name, len(workers), len(granted.tickets))
        if self.active_scheduler is not None:
            self.active_scheduler.observe(
                ApprovalReceived(
                    step=step,
                    tickets=granted.tickets,
                    asked=tuple(workers),
                    expires_s=time.monotonic() + granted.validity_s,
                )
            )
            return
        address = self._scheduler_address()
        if address is not None:
            await self._peer_client.send_tickets(address, step, granted, workers)

    def _scheduler_address(self) -> str | None:
        """Return the address of the active scheduler if it is another daemon, otherwise None."""
        tenure = self.reader.journal_state.tenure
        if tenure is None or tenure.resigned or tenure.holder == self._presence.incarnation:
            return None
        vm = self.reader.journal_state.vms.get(tenure.holder.partition("#")[0])
        return None if vm is None or vm.incarnation != tenure.holder else vm.address

    def _handle_stored(self, record: JournalRecord, offset: int) -> None:
        """Apply a record that this daemon stored, and notify the scheduler."""
        if offset < 0:
            return
        stored = LogRecord(*encode_record(record))
        self._add_record(offset, stored)
        address = self._scheduler_address()
        if address is not None:
            self._background.spawn(self._peer_client.send_record(address, offset, stored))

    def _vms(self) -> Mapping[str, VmPresent]:
        return self.reader.journal_state.vms

    def _can_serve_peers(self) -> bool:
        return not self._stopping and self.reader.is_answering and self.reader.is_current

    def _handle_peer_record(self, message: RecordMessage) -> None:
        self._add_record(message.offset, LogRecord(message.key, message.value))

    def _add_record(self, offset: int, record: LogRecord) -> None:
        """Apply a durable record that has not been read yet."""
        reader = self._submissions.find_reader(record.key)
        if reader is None:
            self.reader.add_early_record(offset, record)
        else:
            reader.apply_record(offset, record)

    def _handle_peer_tickets(self, event: ApprovalReceived) -> None:
        if self.active_scheduler is not None:
            self.active_scheduler.observe(event)

    async def _election_loop(self) -> None:
        while True:
            await asyncio.sleep(_ELECTION_INTERVAL_S)
            now_s = time.monotonic()
            if not self.reader.is_following:
                self._election.record_outage(now_s)
                continue
            if (
                self.active_scheduler is None
                and not self._stopping
                and self._election.is_due(now_s)
            ):
                await self._stand_for_election()

    async def _stand_for_election(self) -> None:
        """Append a tenure record and become the active scheduler if it is accepted.

        The journal is read first, because another candidate may have become scheduler since the
        latest read, or the log may have stopped answering. A record that is sent to a silent log
        may take effect, and replace a scheduler, much later.
        """
        election_started_s = time.monotonic()
        if not await self.reader.read_now(_READ_CHECK_S):
            _LOG.info("candidacy skipped", extra={"reason": "the log does not answer"})
            self._election.record_outage(time.monotonic())
            return
        if not self._election.is_due(time.monotonic()):
            return
        tenure = self._election.next_tenure()
        writer = JournalWriter(
            self._platform.log,
            tenure.epoch,
            self.reader.add_early_record,
            self._metrics,
            self._limits,
        )
        _LOG.info("candidacy started", extra={"epoch": tenure.epoch})
        result = await writer.append([tenure], fail_fast=True)
        self._election.record_activity(time.monotonic())
        if not isinstance(result, Appended):
            _LOG.info("candidacy failed", extra={"epoch": tenure.epoch})
            return
        if not await self._read_own_tenure(tenure, result.offset) or self._stopping:
            return
        self.active_scheduler = ActiveScheduler(
            tenure,
            writer,
            self.reader.journal_state,
            self._submissions,
            self._platform,
            self._timing,
            self._handle_tenure_end,
            self._directory_wake.set,
            self._balancer,
            self._metrics,
            self._started_s,
        )
        for event in self._team_history.list_events():
            self.active_scheduler.observe(event)
        self.reader.pause_s = SCHEDULER_PAUSE_S
        self.active_scheduler.start()
        self._metrics.tenures.labels("began").inc()
        self._metrics.take_over_s.observe(time.monotonic() - election_started_s)
        _LOG.info(
            "scheduler is active",
            extra={"epoch": tenure.epoch, "jobs": len(self.active_scheduler.scheduler.jobs)},
        )

    async def _read_own_tenure(self, tenure: TenureRecord, offset: int) -> bool:
        """Read up to the tenure record of this daemon, and return whether it is the newest one.

        Args:
            tenure: the record.
            offset: its offset; negative if the log did not tell it.
        """
        limit_s = time.monotonic() + _CATCH_UP_TIMEOUT_S
        while not self.reader.has_read(offset) or self._read_epoch() < tenure.epoch:
            await self.reader.refresh(0.5)
            await asyncio.sleep(_CATCH_UP_PAUSE_S)
            if time.monotonic() > limit_s:
                _LOG.warning("own tenure record was not read", extra={"epoch": tenure.epoch})
                return False
        return self._read_epoch() == tenure.epoch

    def _read_epoch(self) -> int:
        """Return the epoch of the newest tenure that was read; 0 without one."""
        tenure = self.reader.journal_state.tenure
        return 0 if tenure is None else tenure.epoch

    def _handle_tenure_end(self, reason: str) -> None:
        active_scheduler, self.active_scheduler = self.active_scheduler, None
        self.reader.pause_s = FOLLOWER_PAUSE_S
        if active_scheduler is not None:
            self._metrics.tenures.labels("lost").inc()
            _LOG.warning(
                "tenure ended", extra={"epoch": active_scheduler.record.epoch, "reason": reason}
            )
            self._election.record_activity(time.monotonic())
            self._background.spawn(active_scheduler.close())
