"""Table of the workers of a failure domain and their free resources."""

from collections.abc import Callable

from ..platform import VmInfo
from ..resources import ResourceVector
from ._model import Worker
from ._state_changes import CapacityChanged, FreeResourcesChanged, StateChange


class WorkerTable:
    """Keeps the workers by name and by number.

    Args:
        notify: called with (change, now_s) for each state change.
    """

    def __init__(self, notify: Callable[[StateChange, float], None]) -> None:
        self.notify = notify
        self._by_name: dict[str, Worker] = {}
        self.by_number: list[Worker] = []

    def __len__(self) -> int:
        return len(self._by_name)

    def get(self, name: str) -> Worker | None:
        """Return a worker, or None if it is unknown."""
        return self._by_name.get(name)

    def all(self) -> list[Worker]:
        """Return all workers, lost ones included, in order of joining."""
        return self.by_number

    def add_or_update(self, vm: VmInfo, now_s: float) -> None:
        """Add a worker, or update it after its row of the VM list changed."""
        known = self._by_name.get(vm.name)
        if known is None:
            size = vm.capacity
            worker = Worker(
                vm,
                len(self.by_number),
                size.processors_millicores,
                size.memory_mb,
                size.accelerators_count,
            )
            self._by_name[vm.name] = worker
            self.by_number.append(worker)
            return
        if known.vm == vm:
            return
        change = vm.capacity - known.vm.capacity
        known.vm = vm
        self.charge(known, ResourceVector() - change, now_s)
        self.notify(CapacityChanged(known), now_s)

    def charge(self, worker: Worker, size: ResourceVector, now_s: float) -> None:
        """Subtract resources from the free resources of a worker."""
        worker.free_processors_millicores -= size.processors_millicores
        worker.free_memory_mb -= size.memory_mb
        worker.free_accelerators_count -= size.accelerators_count
        self.notify(FreeResourcesChanged(worker, False), now_s)

    def discharge(self, worker: Worker, size: ResourceVector, now_s: float) -> None:
        """Add resources to the free resources of a worker."""
        worker.free_processors_millicores += size.processors_millicores
        worker.free_memory_mb += size.memory_mb
        worker.free_accelerators_count += size.accelerators_count
        self.notify(FreeResourcesChanged(worker, True), now_s)

    def set_state(self, worker: Worker, now_s: float, **changes: bool) -> None:
        """Set flags of a worker, and notify if its usability or the total capacity changed.

        Args:
            worker: the worker.
            now_s: current time in seconds.
            **changes: new values of boolean attributes of the worker.
        """
        is_usable, counted = worker.is_usable, worker.reported and not worker.lost
        for name, value in changes.items():
            setattr(worker, name, value)
        if is_usable != worker.is_usable:
            self.notify(FreeResourcesChanged(worker, worker.is_usable), now_s)
        if counted != (worker.reported and not worker.lost):
            self.notify(CapacityChanged(worker), now_s)
