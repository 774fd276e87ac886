"""Workers that contracts keep free for urgent work."""

import math

from ..resources import ResourceVector
from ._model import Zone
from ._rooms import Rooms
from ._share import ShareLedger


class Headroom:
    """Keeps whole workers free, because free parts of many workers may fit no urgent task.

    Args:
        rooms: zones of workers.
        ledger: contracts in force.
    """

    def __init__(self, rooms: Rooms, ledger: ShareLedger) -> None:
        self.rooms = rooms
        self.ledger = ledger

    def predict(self) -> ResourceVector:
        """Return the room that all contracts together keep free."""
        percent = sum(
            account.contract.urgent_reserve_percent for account in self.ledger.accounts_.values()
        )
        part, total = min(1.0, percent / 100.0), self.rooms.total
        return ResourceVector(
            math.ceil(total.processors_millicores * part), math.ceil(total.memory_mb * part)
        )

    def decide(self) -> None:
        """Choose as many workers as the contracts ask for, keeping those already chosen."""
        target, kept = self.predict(), ResourceVector()
        workers = [worker for worker in self.rooms.workers.all() if worker.usable]
        workers.sort(
            key=lambda worker: (
                worker.zone is not Zone.HEADROOM,
                worker.vm.capacity.accelerators_count > 0,
                -worker.free_cpu,
                worker.order,
            )
        )
        for worker in workers:
            enough = (
                kept.processors_millicores >= target.processors_millicores
                and kept.memory_mb >= target.memory_mb
            )
            if not enough and worker.zone in (Zone.GENERAL, Zone.HEADROOM):
                kept += worker.vm.capacity
                self.rooms.set_zone(worker, Zone.HEADROOM)
            elif worker.zone is Zone.HEADROOM:
                self.rooms.set_zone(worker, Zone.GENERAL)
