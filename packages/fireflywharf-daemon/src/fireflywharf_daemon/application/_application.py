"""Application object: owns all components and starts and stops them in order."""

import asyncio
import logging
import signal
import threading
from collections.abc import Callable
from typing import Any

from fireflywharf_core.contracts import Contract
from fireflywharf_core.leases import margin_s
from fireflywharf_core.log import AppendPacer, GroupCommitWriter, JobsFold, StreamReader
from fireflywharf_core.messages import (
    CancelJob,
    ContractsSince,
    DomainDigest,
    ForwardRequest,
    Handover,
    Heartbeat,
    Identity,
    IdentityQuery,
    JobQuery,
    KnownWorkersQuery,
    SubmitToScheduler,
    WorkersKnown,
)
from fireflywharf_core.platform import VmInfo
from fireflywharf_core.records import RECORD_CODEC
from fireflywharf_core.results import ResultCode, describe_code

from ..http import HttpServer, build_application
from ..mesh import IncomingCall, Mesh, Sender
from ..metrics import Metrics, build_metrics_application
from ..platform import LogClient, Success, TargetClient, VmListClient, WorkerClient
from ..settings import Settings, classify_peer_links
from ._caller_service import ApplicationCallerService
from ._context import Clients, Context, generate_incarnation
from ._contracts import ContractService
from ._jobs import JobService
from ._log_stream import LogHealth, LogStream, StreamListener
from ._membership import Membership
from ._pools import IoPools
from ._reports import make_digest, make_heartbeat, update_gauges
from ._requests import RequestService
from ._scheduling import SchedulerService
from ._tasks import BackgroundTasks

_LOG = logging.getLogger(__name__)
POOL_SIZES = {"log": 8, "workers": 16, "targets": 128, "control": 16}
RESERVED_HTTP_THREADS = 8
METRICS_THREADS = 2
SCHEDULER_STEP_S = 0.1
TARGET_STEP_S = 0.2
DIGEST_STEP_S = 0.25
SNAPSHOT_STEP_S = 5.0
COMPACTION_STEP_S = 30.0
LATE_STEP_S = 2.0
DRAIN_POLL_S = 0.02
# Time for the load balancer and the peers to stop sending new work to a draining entry VM.
DRAIN_NOTICE_S = 0.6


class Application:
    """Daemon process of one entry VM.

    `run` starts all components, serves until a stop is requested, drains and closes them.

    Args:
        settings: validated settings.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.ready = False
        self.loop: asyncio.AbstractEventLoop | None = None
        self.vms: list[VmInfo] = []
        self.started = threading.Event()
        self.context = _make_context(settings)
        self.jobs_fold = JobsFold(self.context.domain, settings.platform.retention_s)
        self.contracts = ContractService(self.context, self._on_contract_change)
        self.membership = Membership(
            self.context,
            lambda sequence: make_heartbeat(self, sequence),
            lambda sequence: make_digest(self, sequence),
        )
        self.requests = RequestService(self.context, self.membership)
        self.membership.listener = self.requests
        self.scheduler = SchedulerService(self.context, self.jobs_fold, self.membership)
        self.jobs = JobService(
            self.context, self.membership, self.jobs_fold, self.scheduler, self.requests
        )
        self.streams: dict[str, LogStream] = {}
        self._log_health = LogHealth()
        self._pacer = AppendPacer(settings.scheduling.append_interval_s)
        self._tasks = BackgroundTasks()
        self._stop_requested: asyncio.Event | None = None
        self._stop_signals_count = 0
        self._http, self._metrics_server = self._make_servers()

    def _make_servers(self) -> tuple[HttpServer, HttpServer]:
        """Return the HTTP server for callers and operators, and the metrics server."""
        http, metrics = self.settings.http, self.context.metrics
        application = build_application(
            ApplicationCallerService(self),
            http.body_max_bytes,
            max(1, http.threads_count - RESERVED_HTTP_THREADS),
            metrics,
        )
        return (
            HttpServer(
                application,
                http.listen,
                http.threads_count,
                http.body_timeout_s,
                http.waiting_connections_max,
            ),
            HttpServer(
                build_metrics_application(metrics.registry),
                self.settings.metrics.listen,
                METRICS_THREADS,
            ),
        )

    @property
    def address(self) -> str:
        """Bound address of the HTTP interface, as `ip:port`."""
        return self._http.address

    @property
    def log_available(self) -> bool:
        """Whether the platform log currently answers reads and appends."""
        return self._log_health.available

    # Life cycle

    async def run(self, handle_signals: bool = True) -> int:
        """Start the daemon, serve until a stop is requested, and shut down.

        Args:
            handle_signals: whether SIGTERM and SIGINT request the stop.

        Returns:
            Exit status: 0 if all work ended before the shutdown deadline, else the exit status of
            `SHUTDOWN_CUT`.
        """
        self.loop = asyncio.get_running_loop()
        self._stop_requested = asyncio.Event()
        if handle_signals:
            for number in (signal.SIGTERM, signal.SIGINT):
                self.loop.add_signal_handler(number, self._on_stop_signal)
        await self._start()
        await self._stop_requested.wait()
        complete = await self._drain()
        await self._close()
        return 0 if complete else describe_code(ResultCode.SHUTDOWN_CUT).exit_status

    def request_stop(self) -> None:
        """Request a graceful shutdown; can be called from any thread."""
        if self.loop is not None:
            self.loop.call_soon_threadsafe(self._stop_requested.set)

    def _on_stop_signal(self) -> None:
        self._stop_signals_count += 1
        self._stop_requested.set()
        if self._stop_signals_count > 1:
            _LOG.warning(
                "second stop signal received; shutting down without waiting for work in progress"
            )

    async def _start(self) -> None:
        self._create_streams()
        self.context.mesh = Mesh(
            self.settings.mesh.listen,
            self.context.incarnation,
            self._on_message,
            self._on_call,
            domain_peers=frozenset(
                peer.address
                for peer in self.settings.mesh.peers
                if peer.failure_domain == self.context.domain
            ),
            call_threads_count=self.settings.mesh.call_threads_count,
            queue_max_messages=self.settings.mesh.queue_max_messages,
            observer=self.context.metrics,
        )
        self.context.mesh.start()
        for stream in self.streams.values():
            stream.start()
        self._start_periodic_steps()
        await asyncio.to_thread(self._metrics_server.start)
        await asyncio.to_thread(self._http.start)
        self._tasks.spawn(self._become_ready())
        self.started.set()
        _LOG.info("HTTP interface listens on %s", self.address)

    def _create_streams(self) -> None:
        domain_stream = f"domain-{self.context.domain}"
        self.streams = {
            "contracts": self._create_stream("contracts", self.contracts),
            "jobs": self._create_stream("jobs", self.jobs),
            "keys": self._create_stream("keys", self.requests),
            domain_stream: self._create_stream(domain_stream, self.scheduler),
        }
        self.contracts.stream = self.streams["contracts"]
        self.jobs.stream = self.scheduler.jobs_stream = self.streams["jobs"]
        self.requests.stream = self.streams["keys"]
        self.scheduler.stream = self.streams[domain_stream]

    def _create_stream(self, name: str, listener: StreamListener) -> LogStream:
        scheduling = self.settings.scheduling
        writer = GroupCommitWriter(
            self.context.incarnation,
            name,
            append_interval_s=scheduling.append_interval_s,
            backlog_max_records=scheduling.backlog_max_records,
            pacer=self._pacer,
        )
        return LogStream(
            self.context.clients.log,
            self.context.pools,
            writer,
            StreamReader(name, RECORD_CODEC),
            listener,
            self.context.metrics,
            self._log_health,
            scheduling.log_poll_interval_s,
        )

    def _start_periodic_steps(self) -> None:
        scheduling = self.settings.scheduling
        run_every = self._tasks.run_every
        run_every(scheduling.heartbeat_interval_s, self.membership.send_heartbeats)
        run_every(DIGEST_STEP_S, self.membership.send_digests)
        run_every(scheduling.vm_list_interval_s, self._read_vm_list)
        run_every(SCHEDULER_STEP_S, self.scheduler.step)
        run_every(TARGET_STEP_S, self.requests.targets.step)
        run_every(scheduling.log_poll_interval_s, self._catch_up_contracts)
        run_every(SNAPSHOT_STEP_S, self._write_snapshot)
        run_every(COMPACTION_STEP_S, self.scheduler.compact_finished_jobs)
        run_every(LATE_STEP_S, self._handle_unreachable_domains)
        run_every(1.0, lambda: update_gauges(self))

    async def _become_ready(self) -> None:
        """Load the contracts from the log, or from peers while it is down, and become ready."""
        contracts = self.streams["contracts"]
        while not self.ready:
            since_s = self.context.now_s()
            read = await contracts.wait_until_read_to_end(
                since_s, self.settings.scheduling.suspicion_s
            )
            self.ready = read and not self.contracts.registry.has_gap
            if not self.ready:
                self.ready = await self._learn_contracts_from_peers()
        _LOG.info("daemon ready; contracts offset %d", self.contracts.registry.offset)

    async def _learn_contracts_from_peers(self) -> bool:
        """Fetch contracts from all live peers and remote domains.

        Returns:
            Whether a peer answered and any contracts are known. An entry VM without a live peer
            does not become ready, because it would serve without contracts.
        """
        addresses = [peer.mesh_address for peer in self.membership.live_peers()]
        addresses += [row.digest.mesh_address for row in self.membership.live_remote_domains()]
        answered = [await self.contracts.catch_up_from(address) for address in addresses]
        return any(answered) and self.contracts.registry.offset >= 0

    async def _drain(self) -> bool:
        """Stop admission and finish the work in progress.

        Returns:
            Whether all work ended before the shutdown deadline.
        """
        deadline_s = self.context.now_s() + self.settings.shutdown.shutdown_deadline_s
        self.context.draining = True
        _LOG.info("daemon stops; draining")
        self.membership.send_heartbeats()
        self.scheduler.step()
        await self._wait_until(lambda: False, self.context.now_s() + DRAIN_NOTICE_S)
        self.requests.start_drain()
        http_done = asyncio.create_task(
            asyncio.to_thread(self._http.stop, max(0.1, deadline_s - self.context.now_s()))
        )
        complete = await self._wait_until(lambda: http_done.done() and self._is_idle(), deadline_s)
        if complete:
            await self.scheduler.tasks.drain()
            await self.requests.targets.release_all()
        return complete and await http_done

    def _is_idle(self) -> bool:
        backlog = any(s.available and s.writer.backlog_count for s in self.streams.values())
        return self.requests.router.unfinished_count == 0 and not backlog

    async def _wait_until(self, condition: Callable[[], bool], deadline_s: float) -> bool:
        while not condition():
            if self.context.now_s() >= deadline_s or self._stop_signals_count > 1:
                return False
            await asyncio.sleep(DRAIN_POLL_S)
        return True

    async def _close(self) -> None:
        await self._tasks.close()
        for group in (self.scheduler.tasks, self.requests.tasks, self.requests.targets.tasks):
            await group.close()
        for stream in self.streams.values():
            await stream.stop()
        await asyncio.to_thread(self.context.mesh.close)
        await asyncio.to_thread(self._metrics_server.stop, 1.0)
        clients = self.context.clients
        for client in (clients.log, clients.vm_list, clients.worker, clients.target):
            client.close()
        self.context.pools.close()
        _LOG.info("daemon stopped")

    # Periodic steps

    async def _read_vm_list(self) -> None:
        answer = await self.context.pools.run("control", self.context.clients.vm_list.list)
        if isinstance(answer, Success):
            self.vms = answer.value
            self.scheduler.set_vm_list(answer.value)
            self.requests.set_vm_list(answer.value)

    async def _catch_up_contracts(self) -> None:
        """Fetch contracts that a peer has and this process lacks.

        They are read from the log if it is available, and fetched from the peer otherwise.
        """
        newest = self.membership.peers.newest_contracts(self.context.now_s())
        remotes = [row.digest for row in self.membership.live_remote_domains()]
        candidates = [row for row in [newest, *remotes] if row is not None]
        best = max(candidates, key=lambda row: row.contracts_offset, default=None)
        if best is None or best.contracts_offset <= self.contracts.registry.offset:
            return
        if self.streams["contracts"].available:
            self.streams["contracts"].request_read()
        else:
            await self.contracts.catch_up_from(best.mesh_address)

    def _write_snapshot(self) -> None:
        names = {row.digest.domain for row in self.membership.live_remote_domains()}
        if self.scheduler.acting and all(self.context.domain < name for name in names):
            self.contracts.write_snapshot_if_due()

    def _handle_unreachable_domains(self) -> None:
        task_lease_s = self.settings.scheduling.task_lease_s
        self.jobs.record_late_remote_jobs()
        self.jobs.adopt_orphaned_jobs(task_lease_s + margin_s(task_lease_s))

    def _on_contract_change(self, customer: str, contract: Contract) -> None:
        self.requests.set_contract(contract)
        self.scheduler.set_contract(contract)

    # Messages from peers: they arrive in threads of the mesh and are handled in the event loop.

    def _on_message(self, _: Sender, message: Any) -> None:
        self.loop.call_soon_threadsafe(self._dispatch_message, message)

    def _dispatch_message(self, message: Any) -> None:
        match message:
            case Heartbeat():
                self.membership.handle_heartbeat(message)
            case DomainDigest():
                self.membership.handle_digest(message)
            case SubmitToScheduler(recorded=True):
                self.jobs.answer_peer(message)
            case Handover():
                self.scheduler.stream.request_read()

    def _on_call(self, call: IncomingCall) -> None:
        self.loop.call_soon_threadsafe(self._dispatch_call, call)

    def _dispatch_call(self, call: IncomingCall) -> None:
        match call.message:
            case ForwardRequest():
                self.requests.handle_forwarded(call)
            case SubmitToScheduler() | JobQuery() | CancelJob():
                call.reply(self.jobs.answer_peer(call.message))
            case ContractsSince():
                call.reply(self.contracts.answer_peer(call.message))
            case IdentityQuery():
                call.reply(Identity(self.context.incarnation, self.settings.mesh.listen))
            case KnownWorkersQuery() | WorkersKnown():
                call.reply(self.scheduler.answer_peer(call.message))
            case _:
                call.fail()


def _make_context(settings: Settings) -> Context:
    """Return the context that all components share."""
    timeout_s = settings.platform.timeout_s
    routing = settings.routing
    return Context(
        settings=settings,
        incarnation=generate_incarnation(settings.vm.name),
        clients=Clients(
            log=LogClient(settings.platform.log_url, timeout_s),
            vm_list=VmListClient(settings.platform.vm_list_url, timeout_s),
            worker=WorkerClient(timeout_s),
            target=TargetClient(
                timeout_s,
                routing.connect_timeout_s,
                routing.idle_connection_max_s,
                routing.answer_max_bytes,
            ),
        ),
        pools=IoPools(POOL_SIZES | {"workers": settings.scheduling.worker_calls_count}),
        metrics=Metrics(classify_peer_links(settings)),
    )
