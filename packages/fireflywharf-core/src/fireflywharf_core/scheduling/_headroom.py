"""Headroom: workers kept free for urgent tasks, as contracts require."""

import math

from ..resources import ResourceVector
from ._model import Pool
from ._share_ledger import ShareLedger
from ._worker_pools import WorkerPools


class Headroom:
    """Keeps whole workers free, because free parts of many workers may not fit an urgent task.

    Args:
        pools: pools of workers by the work they accept.
        ledger: accounts with the contracts in force.
    """

    def __init__(self, pools: WorkerPools, ledger: ShareLedger) -> None:
        self.pools = pools
        self.ledger = ledger

    def reserved_resources(self) -> ResourceVector:
        """Return the resources that all contracts together keep free."""
        percent = sum(
            account.contract.urgent_reserve_percent for account in self.ledger.accounts_.values()
        )
        fraction, total = min(1.0, percent / 100.0), self.pools.total
        return ResourceVector(
            math.ceil(total.processors_millicores * fraction), math.ceil(total.memory_mb * fraction)
        )

    def choose_workers(self) -> None:
        """Move as many workers to the headroom pool as contracts require, keeping chosen ones."""
        target, kept = self.reserved_resources(), ResourceVector()
        workers = [worker for worker in self.pools.workers.all() if worker.is_usable]
        workers.sort(
            key=lambda worker: (
                worker.pool is not Pool.HEADROOM,
                worker.vm.capacity.accelerators_count > 0,
                -worker.free_processors_millicores,
                worker.worker_number,
            )
        )
        for worker in workers:
            enough = (
                kept.processors_millicores >= target.processors_millicores
                and kept.memory_mb >= target.memory_mb
            )
            if not enough and worker.pool in (Pool.GENERAL, Pool.HEADROOM):
                kept += worker.vm.capacity
                self.pools.move_to_pool(worker, Pool.HEADROOM)
            elif worker.pool is Pool.HEADROOM:
                self.pools.move_to_pool(worker, Pool.GENERAL)
