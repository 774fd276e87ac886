"""Simulated entry VMs: the components of the daemon on a virtual clock and network."""

import contextlib
import random
from collections.abc import Callable, Coroutine, Iterator
from types import SimpleNamespace
from typing import Any
from unittest import mock

from fireflywharf_daemon.application import Application
from fireflywharf_daemon.application import _application as application_module
from fireflywharf_daemon.application import _context as context_module
from fireflywharf_daemon.application import _contracts as contracts_module
from fireflywharf_daemon.application import _jobs as jobs_module
from fireflywharf_daemon.application import _log_stream as log_stream_module
from fireflywharf_daemon.application import _requests as requests_module
from fireflywharf_daemon.application import _scheduling as scheduling_module
from fireflywharf_daemon.application._caller_service import ApplicationCallerService
from fireflywharf_daemon.application._context import Clients
from fireflywharf_daemon.mesh import Sender
from fireflywharf_daemon.settings import Settings

from ._loop import Simulator, VirtualLoop
from ._network import (
    ListCalls,
    LogCalls,
    TargetCalls,
    VirtualMesh,
    VirtualNetwork,
    VirtualPools,
    WorkerCalls,
)

_CLOCK_MODULES = (
    context_module,
    jobs_module,
    log_stream_module,
    requests_module,
    scheduling_module,
)
# Longer than in production to save time: there is no other failure domain that needs digests, and
# targets are claimed every 0.5 s at most.
_STEP_INTERVALS_S = {"TARGET_STEP_S": 0.25, "DIGEST_STEP_S": 5.0, "LATE_STEP_S": 5.0}


@contextlib.contextmanager
def patch_clock_and_randomness(simulator: Simulator, rng: random.Random) -> Iterator[None]:
    """Replace the clock and the sources of randomness in the modules of the daemon.

    Args:
        simulator: clock that replaces the module `time`.
        rng: source of all incarnations, identifiers and seeds.
    """

    def draw_hex(_: int = 8) -> str:
        return f"{rng.getrandbits(64):016x}"

    def make_seeded_random() -> random.Random:
        return random.Random(rng.getrandbits(64))

    ids = SimpleNamespace(uuid4=lambda: SimpleNamespace(hex=draw_hex() + draw_hex()))
    sources = SimpleNamespace(Random=make_seeded_random, SystemRandom=make_seeded_random)
    with contextlib.ExitStack() as stack:
        for module in _CLOCK_MODULES:
            stack.enter_context(mock.patch.object(module, "time", simulator))
        for module in (requests_module, contracts_module):
            stack.enter_context(mock.patch.object(module, "uuid", ids))
        for module in (requests_module, scheduling_module):
            stack.enter_context(mock.patch.object(module, "random", sources))
        for name, interval_s in _STEP_INTERVALS_S.items():
            stack.enter_context(mock.patch.object(application_module, name, interval_s))
        drawn = SimpleNamespace(token_hex=draw_hex)
        stack.enter_context(mock.patch.object(context_module, "secrets", drawn))
        yield


class EntryVm:
    """One process of the daemon of an entry VM, from its start to its end.

    Args:
        settings: settings of the daemon.
        network: carries the calls of the daemon.
        stand_ins: log and VM list.
        failing_workers: names of workers on which every started attempt fails at once.
        on_error: called with the text of each error that no task handled.
        report_timeouts_as_refused: whether to plant the defect described in `TargetCalls`.
    """

    def __init__(
        self,
        settings: Settings,
        network: VirtualNetwork,
        stand_ins: tuple[Any, Any],
        failing_workers: set[str],
        on_error: Callable[[str], None],
        report_timeouts_as_refused: bool = False,
    ) -> None:
        self.settings = settings
        self.network = network
        self.alive = True
        self.loop = VirtualLoop(network.simulator, on_error)
        self.application = Application(settings)
        self.callers = ApplicationCallerService(self.application)
        log, vm_list = stand_ins
        context = self.application.context
        context.pools = VirtualPools(network)
        context.clients = Clients(
            log=LogCalls(log),
            vm_list=ListCalls(vm_list),
            worker=WorkerCalls(network, failing_workers),
            target=TargetCalls(network, report_timeouts_as_refused),
        )
        sender = Sender(context.incarnation, settings.mesh.listen)
        context.mesh = VirtualMesh(network, sender)
        network.simulator.loops.append(self.loop)
        network.entry_vms[settings.mesh.listen] = self
        self.loop.call_soon(self._start)

    @property
    def name(self) -> str:
        """Name of the entry VM."""
        return self.settings.vm.name

    @property
    def is_serving(self) -> bool:
        """Whether the daemon runs, is not paused and is ready."""
        return self.alive and not self.loop.paused and self.application.ready

    def _start(self) -> None:
        # The same steps as in `Application._start`, without the servers.
        application = self.application
        application.loop = self.loop
        application._create_streams()
        for stream in application.streams.values():
            stream.start()
        application._start_periodic_steps()
        application._tasks.spawn(application._become_ready())

    def run_call(
        self, make_coroutine: Callable[[], Coroutine[Any, Any, Any]], on_done: Callable[[Any], None]
    ) -> None:
        """Run a call from outside in the event loop of the daemon.

        Args:
            make_coroutine: creates the coroutine that handles the call.
            on_done: called with the answer, or with None if the process ends before.
        """

        def start() -> None:
            task = self.loop.create_task(make_coroutine())
            task.add_done_callback(lambda ended: on_done(_result_or_none(ended)))

        self.loop.call_soon(start)

    def kill(self) -> None:
        """End the process at once and cancel its tasks, calls and messages."""
        self.alive = False
        self.application.context.pools.closed = True
        self.application.context.mesh.closed = True
        self.network.simulator.loops.remove(self.loop)
        self.loop.cancel_and_close()


def _result_or_none(task: Any) -> Any:
    """Return the result of an ended task, or None if the task was cancelled."""
    return None if task.cancelled() else task.result()
