"""A store, executors and an advice service, served on loopback by one thread."""

from __future__ import annotations

import asyncio
import inspect
import random
import threading
from collections.abc import Awaitable, Callable, Coroutine
from concurrent.futures import Future

from aiohttp import web

from ._events import Event
from ._executor import SERVICE, StandInExecutor
from ._faulty_executor import FaultyExecutor
from ._gangs import GangBoard
from ._silence import Direction, SilenceableServer
from ._store import StandInStore

HOST = "queue.example"
PREFIX = "/jobs/"
ADVISED_PREFIX = "/advised/"
CALL_TIMEOUT_S = 10.0
SHUTDOWN_TIMEOUT_S = 0.1
TICK_S = 0.01
CLOCK_RATE_MIN = 0.98


def make_configuration(version: int) -> dict:
    """Return the operator's configuration with a plain route and one that requires advice."""
    route = {
        "host": HOST,
        "kind": "unsafe",
        "timeout_ms": 3000,
        "target_duration_ms": 1000,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 3,
        "stretch": 2.0,
    }
    advice = {"decision_ms": 5.0, "period_ms": 1.0, "validity_ms": 2000}
    return {
        "version": version,
        "routes": [
            {**route, "name": "plain", "path_prefix": PREFIX},
            {**route, "name": "advised", "path_prefix": ADVISED_PREFIX, "advice": advice},
        ],
        "services": [{"name": SERVICE, "admission_control": False, "standby": False}],
        "limits": {"max_body_bytes": 262144},
    }


class PlatformStandIns:
    """Runs the stand-ins in a thread with its own event loop.

    Args:
        executors_count: number of executors.
        work_s: run time of a task in seconds.
        workers_count: number of executors with faults (`workers`).
        seed: seed of the faults that these executors draw themselves, and of their clocks.
        forgets_later_ends: attribute of these executors.

    Attributes:
        events: what the executors with faults have seen.
        store_server: server of the store.
        executor_servers: servers of the executors without faults.
        worker_servers: servers of the executors with faults.
        configuration: newest configuration of the operator.
    """

    def __init__(
        self,
        executors_count: int = 2,
        work_s: float = 0.2,
        workers_count: int = 0,
        seed: int = 0,
        forgets_later_ends: bool = True,
    ) -> None:
        self.store = StandInStore()
        self.events: list[Event] = []
        self.executors = [
            StandInExecutor(f"i-{index:08x}", work_s) for index in range(executors_count)
        ]
        gangs = GangBoard()
        self.workers = [
            FaultyExecutor(
                f"i-{0xFA000000 + index:08x}",
                self._put_entry,
                random.Random(f"{seed}:{index}"),
                work_s=work_s,
                gangs=gangs,
                events=self.events,
            )
            for index in range(workers_count)
        ]
        rng = random.Random(seed)
        for worker in self.workers:
            worker.clock_rate = rng.uniform(CLOCK_RATE_MIN, 1.0)
            worker.forgets_later_ends = forgets_later_ends
        self.advised: list[str] = []
        self.configuration: dict = {}
        self.store_server = SilenceableServer(self.store.serve)
        self.executor_servers = [SilenceableServer(executor.serve) for executor in self.executors]
        self.worker_servers = [worker.server for worker in self.workers]
        self.store_address = ""
        self.advice_address = ""
        self._loop = asyncio.new_event_loop()
        self._runners: list[web.ServerRunner] = []
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def open(self) -> None:
        """Start all servers."""
        self._thread.start()
        self.call(self._start_servers)

    def close(self) -> None:
        """Stop all servers and the thread."""
        self.call(self._stop_servers)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(CALL_TIMEOUT_S)

    def call(self, function: Callable, *arguments: object) -> object:
        """Run a function or coroutine function in the event loop of the servers.

        Returns:
            The result of the function or of its coroutine.

        Raises:
            TimeoutError: there is no result within `CALL_TIMEOUT_S`.
        """

        async def invoke() -> object:
            result = function(*arguments)
            return await result if asyncio.iscoroutine(result) else result

        future: Future = asyncio.run_coroutine_threadsafe(invoke(), self._loop)
        return future.result(CALL_TIMEOUT_S)

    def run(self, coroutine: Coroutine) -> object:
        """Run a coroutine in the event loop of the servers without a time limit."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    def silence_store(self, direction: Direction) -> int:
        """Make all open connections to the store silent, and return their number."""
        return self.call(self.store_server.silence, direction)

    def silence_executors(self, direction: Direction) -> int:
        """Make all open connections to the executors silent, and return their number."""
        return sum(self.call(server.silence, direction) for server in self.executor_servers)

    def add_store_server(
        self,
        rejects: Callable[
            [web.BaseRequest], web.StreamResponse | None | Awaitable[web.StreamResponse | None]
        ],
    ) -> tuple[str, SilenceableServer]:
        """Serve the store at a further address.

        Args:
            rejects: returns the answer with which a request is rejected, or None; may be a
                coroutine function.

        Returns:
            The address and the server.
        """

        async def serve(request: web.BaseRequest) -> web.StreamResponse:
            rejection = rejects(request)
            if inspect.isawaitable(rejection):
                rejection = await rejection
            return await self.store.serve(request) if rejection is None else rejection

        server = SilenceableServer(serve)
        return self.call(self._start_server, server.serve), server

    def put_configuration(self, configuration: dict) -> None:
        """Write a configuration as the operator does."""
        self.configuration = configuration
        self.store.put("keyed.op", "config", configuration)

    def _put_entry(self, executor_id: str, entry: object) -> None:
        self.store.put("keyed.servers", executor_id, entry)

    async def _start_servers(self) -> None:
        self.store_address = await self._start_server(self.store_server.serve)
        self.advice_address = await self._start_server(self._advise)
        for executor, server in zip(self.executors, self.executor_servers, strict=True):
            address = await self._start_server(server.serve)
            entry = executor.make_entry(address, {"cpu": 8000, "mem_mb": 16000, "gpu": 0})
            self.store.put("keyed.servers", executor.executor_id, entry)
        for worker in self.workers:
            await worker.listener.listen()
            worker.register()
        if self.workers:
            self._ticker = asyncio.get_running_loop().create_task(self._tick())
        self.store.put("keyed.servers", "i-broken", b"not json")
        self.put_configuration(make_configuration(1))

    async def _start_server(self, handler) -> str:
        runner = web.ServerRunner(
            web.Server(handler, access_log=None), shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self._runners.append(runner)
        port = runner.addresses[0][1]
        return f"127.0.0.1:{port}"

    async def _advise(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request for advice: allow the first worker, with a ticket."""
        body = await request.json()
        self.advised.append(body["step"])
        allowed = [[worker, f"ticket-{worker}"] for worker in body["workers"][:1]]
        return web.json_response({"allowed": allowed, "validity_ms": 2000})

    async def _tick(self) -> None:
        """End the runs of the executors with faults when they are due, also without a call."""
        while True:
            await asyncio.sleep(TICK_S)
            for worker in self.workers:
                if worker.is_up:
                    worker.end_due_runs()

    async def _stop_servers(self) -> None:
        await asyncio.gather(*(worker.listener.close() for worker in self.workers))
        for runner in self._runners:
            await runner.cleanup()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
