"""What every component of the application shares."""

import asyncio
import secrets
import time
from typing import Any

import attrs

from ..mesh import Mesh
from ..metrics import Metrics
from ..platform import LogClient, TargetClient, VmListClient, WorkerClient
from ..settings import Settings
from ._pools import IoPools


def generate_incarnation(vm_name: str) -> str:
    """Return a new incarnation: the name of the VM and a random 64-bit number."""
    return f"{vm_name}.{secrets.token_hex(8)}"


@attrs.define(slots=True, kw_only=True)
class Clients:
    """Clients of the platform interfaces."""

    log: LogClient
    vm_list: VmListClient
    worker: WorkerClient
    target: TargetClient


@attrs.define(slots=True, kw_only=True)
class Context:
    """Settings, clients and transports of one application.

    Args:
        settings: checked settings.
        incarnation: this life of the process.
        clients: clients of the platform.
        pools: threads for blocking clients.
        metrics: counters and gauges.
        mesh: transport to other entry VMs; set when the application starts.
        draining: whether the shutdown has begun.
    """

    settings: Settings
    incarnation: str
    clients: Clients
    pools: IoPools
    metrics: Metrics
    mesh: Mesh | None = None
    draining: bool = False

    @property
    def domain(self) -> str:
        """Own failure domain."""
        return self.settings.vm.failure_domain

    def now_s(self) -> float:
        """Return the monotonic time."""
        return time.monotonic()

    async def call(self, address: str, message: Any, budget_s: float) -> Any:
        """Call a peer and return its answer or a failure of the mesh."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Any] = loop.create_future()

        def done(outcome: Any) -> None:
            loop.call_soon_threadsafe(_set_result_once, future, outcome)

        self.mesh.start_call(address, message, int(budget_s * 1000), done)
        return await future


def _set_result_once(future: "asyncio.Future[Any]", outcome: Any) -> None:
    if not future.done():
        future.set_result(outcome)
