"""Settings, clients and transports that the components of the application share."""

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
    """Return a unique identifier of this process: the VM name and a random 64-bit number."""
    return f"{vm_name}.{secrets.token_hex(8)}"


@attrs.define(slots=True, kw_only=True)
class Clients:
    """HTTP clients of the platform services, the workers and the targets."""

    log: LogClient
    vm_list: VmListClient
    worker: WorkerClient
    target: TargetClient


@attrs.define(slots=True, kw_only=True)
class Context:
    """Objects that the components of one application share.

    Args:
        settings: validated settings.
        incarnation: unique identifier of this process.
        clients: clients of the platform, the workers and the targets.
        pools: thread pools for calls of the blocking clients.
        metrics: metrics of the daemon.
        mesh: transport to other entry VMs; None until the application starts.
        draining: whether a shutdown has begun.
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
        """Name of the failure domain of this VM."""
        return self.settings.vm.failure_domain

    def now_s(self) -> float:
        """Return the time of the monotonic clock in seconds."""
        return time.monotonic()

    async def call(self, address: str, message: Any, budget_s: float) -> Any:
        """Call a peer over the mesh and wait for the outcome.

        Args:
            address: mesh address of the peer.
            message: message of `MESSAGE_CODEC`.
            budget_s: time until the call fails, in seconds.

        Returns:
            The answer, or a `CallFailure`.
        """
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Any] = loop.create_future()

        def done(outcome: Any) -> None:
            loop.call_soon_threadsafe(_set_result_once, future, outcome)

        self.mesh.start_call(address, message, int(budget_s * 1000), done)
        return await future


def _set_result_once(future: "asyncio.Future[Any]", outcome: Any) -> None:
    if not future.done():
        future.set_result(outcome)
