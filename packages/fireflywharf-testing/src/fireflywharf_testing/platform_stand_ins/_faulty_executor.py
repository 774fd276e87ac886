"""An executor whose process, connections and directory entry fail."""

from __future__ import annotations

import asyncio
import random
import time
import weakref
from collections.abc import Callable

from aiohttp import web

from ._events import FaultNoted
from ._executor import StandInExecutor
from ._listener import Listener, stay_silent
from ._silence import SilenceableServer

ENTRY_EXPIRY_S = 4.5
"""Three intervals of the heartbeats, after which the entry of a silent executor is removed."""
HEARTBEAT_S = 1.5
LATE_ORDER_MIN_S, LATE_ORDER_MAX_S = 2.0, 12.0
ORDERS = ("run-start", "run-stop")
CONNECT_RETRIES_S = (1.0, 3.0, 7.0)
"""Times after a connection attempt at which the kernel of the peer repeats it."""


class FaultyExecutor(StandInExecutor):
    """Simulates an executor with faults of its process, its connections and its entry.

    Args:
        executor_id: id of the executor in the store.
        put_entry: writes an entry of the directory: a dict, or bytes; empty bytes delete it.
        rng: source of the late orders.
        arguments: further arguments of `StandInExecutor`.

    Attributes:
        is_up: whether a process runs under this id.
        is_cut: whether all that arrives is dropped, while the process runs on.
        drops_call: tells by the fencing token of a call whether the network drops the call and its
            answer.
        late_share: share of the orders that are executed late and get no answer.
        server: server whose open connections can go silent.
    """

    def __init__(
        self,
        executor_id: str,
        put_entry: Callable[[str, object], None],
        rng: random.Random,
        **arguments: object,
    ) -> None:
        self.is_up = True
        self.is_cut = False
        self.drops_call: Callable[[int], bool] = lambda fencing_token: False
        self.late_share = 0.0
        self._put_entry = put_entry
        self._rng = rng
        self._tasks: set[asyncio.Task] = set()
        # A connection belongs to the process that has served it first.
        self._lives_of_connections: weakref.WeakKeyDictionary = weakref.WeakKeyDictionary()
        self._started = asyncio.Event()
        self.server = SilenceableServer(self.serve)
        self.listener = Listener(self.server.serve)
        self._earlier_entry: dict | None = None
        super().__init__(executor_id, **arguments)

    def note(self, what: str) -> None:
        """Add a fault of this executor to the events."""
        self.events.append(FaultNoted(time.monotonic(), self.executor_id, self.life, what))

    # The entry in the directory.

    def entry(self) -> dict:
        """Return the entry of the present process."""
        return self.make_entry(self.listener.address, {"cpu": 16000, "mem_mb": 65536, "gpu": 0})

    def register(self) -> None:
        """Write the entry of the present process."""
        self._put_entry(self.executor_id, self.entry())

    async def show_odd_entry(self, kind: str) -> None:
        """Show an odd entry of another writer until the next heartbeat.

        Args:
            kind: `no born`, `wrong types`, `broken` (bytes that cannot be read), `other service`
                (an unknown one, with a later start) or `earlier life`; the last one does nothing
                without an earlier process.
        """
        entry: object = self.entry()
        match kind:
            case "no born":
                del entry["born"]
            case "wrong types":
                entry |= {"born": str(self.born), "slots": "eight"}
            case "other service":
                entry |= {"service": "inventory", "born": self.born + 1000}
            case "broken":
                entry = b'{"service": "svc", '
            case "earlier life":
                entry = self._earlier_entry
        if entry is None or not self.is_up:
            return
        self.note(f"odd entry: {kind}")
        self._put_entry(self.executor_id, entry)
        await asyncio.sleep(HEARTBEAT_S)
        if self.is_up:
            self.note("entry corrected")
            self.register()

    # The process.

    def _end_process(self, what: str) -> None:
        self.note(what)
        self._earlier_entry = self.entry()
        self.end_life()
        self.is_up = False
        self._started.clear()

    def _begin_process(self) -> None:
        self.begin_life()
        self.is_up = True
        self.note(f"starts as life {self.life}")
        self._started.set()

    async def _register_after(self, delay_s: float) -> None:
        life = self.life
        await asyncio.sleep(delay_s)
        if self.is_up and self.life == life:
            self.register()

    async def lose_power(self, outage_s: float, entry_delay_s: float = 0.0) -> None:
        """Lose power silently and start again under the same id.

        Peers of the old connections get a reset only when they send something after the restart.

        Args:
            outage_s: time until the new process runs.
            entry_delay_s: time from then on until its entry is written.
        """
        if not self.is_up:
            return
        self._end_process(f"loses power for {outage_s:.3f} s")
        await asyncio.sleep(outage_s)
        self._begin_process()
        await self._register_after(entry_delay_s)

    async def crash(self, outage_s: float | None, entry_delay_s: float = 0.0) -> None:
        """End the process with resets and refused connections; without `outage_s`, for good."""
        if not self.is_up:
            return
        self._end_process("crashes")
        self.listener.stop_listening()
        self.listener.reset_connections()
        if outage_s is None or outage_s > ENTRY_EXPIRY_S:
            await asyncio.sleep(ENTRY_EXPIRY_S)
            self._put_entry(self.executor_id, b"")
        if outage_s is None:
            return
        await asyncio.sleep(outage_s - (ENTRY_EXPIRY_S if outage_s > ENTRY_EXPIRY_S else 0.0))
        self._begin_process()
        await self.listener.listen()
        await self._register_after(entry_delay_s)

    # Connections of a process that runs on.

    async def refuse_connections(self, duration_s: float, reset: bool) -> None:
        """Close the listening socket for a while; with `reset`, reset open connections as well."""
        if not self.is_up:
            return
        life = self.life
        self.note(f"refuses connections for {duration_s:.3f} s, reset of open ones: {reset}")
        self.listener.stop_listening()
        if reset:
            self.listener.reset_connections()
        await asyncio.sleep(duration_s)
        if self.is_up and self.life == life:
            await self.listener.listen()
            self.note("accepts connections again")

    async def cut_off(self, duration_s: float) -> None:
        """Drop silently all that arrives and all answers for a while; the runs go on."""
        if not self.is_up or self.is_cut:
            return
        self.note(f"is cut off for {duration_s:.3f} s")
        self.is_cut = True
        await asyncio.sleep(duration_s)
        self.is_cut = False
        self.note("is reachable again")

    async def delay_orders(self, duration_s: float, share: float) -> None:
        """Execute a share of the orders late for a while."""
        self.note(f"delays orders for {duration_s:.3f} s")
        self.late_share = share
        await asyncio.sleep(duration_s)
        self.late_share = 0.0

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one HTTP request, unless a fault prevents it."""
        body = await request.json()
        token = body.get("fencing_token", 0)
        if self._is_unreachable(token) or not await self._reach_process(request.transport):
            return await stay_silent(request.transport)
        # A cut may have begun while the process was down.
        if self._is_unreachable(token):
            return await stay_silent(request.transport)
        if request.headers.get("X-Fireflywharf-Expected-Instance") != self.executor_id:
            return web.Response(status=421)
        call, life = request.path.rpartition("/")[2], self.life
        if call in ORDERS and self._rng.random() < self.late_share:
            self._execute_late(call, body)
            return await stay_silent(request.transport)
        response = await self.execute(call, body)
        if self._is_unreachable(token) or not self.is_up or self.life != life:
            return await stay_silent(request.transport)
        return response

    def _is_unreachable(self, fencing_token: int) -> bool:
        """Return whether a call and its answer are dropped at this time."""
        return self.is_cut or self.drops_call(fencing_token)

    async def _reach_process(self, transport: asyncio.BaseTransport | None) -> bool:
        """Return whether a request has reached the process that its connection belongs to."""
        if not self.is_up:
            sent_s = time.monotonic()
            await self._started.wait()
            if transport not in self._lives_of_connections:
                # The peer's kernel could not connect during the outage and tries again.
                now_s = time.monotonic()
                retries_s = [sent_s + s for s in CONNECT_RETRIES_S if sent_s + s > now_s]
                await asyncio.sleep(retries_s[0] - now_s if retries_s else 0.0)
        if transport is None or transport.is_closing() or not self.is_up or self.is_cut:
            return False
        if self._lives_of_connections.setdefault(transport, self.life) != self.life:
            transport.abort()
            return False
        return True

    def _execute_late(self, call: str, body: dict) -> None:
        task = asyncio.get_running_loop().create_task(self._wait_and_execute(call, body, self.life))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _wait_and_execute(self, call: str, body: dict, life: int) -> None:
        self.note(f"{call} {body['task']} run {body['run']} gets no answer and is executed late")
        await asyncio.sleep(self._rng.uniform(LATE_ORDER_MIN_S, LATE_ORDER_MAX_S))
        if self.is_up and self.life == life:
            await self.execute(call, body)
