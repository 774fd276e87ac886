"""Calls to entry VMs, and the operators who change contracts."""

import random
from collections.abc import Callable, Coroutine
from typing import Any

from fireflywharf_core.contracts import Contract, Quota
from fireflywharf_core.history import (
    ContractApplied,
    ContractSeen,
)
from fireflywharf_daemon.http import (
    AppliedContract,
    ApplyContract,
)

from .._effects import HistoryRecorder
from ._entry import EntryVm
from ._loop import World

CUSTOMERS = {"austral": 2.0, "tico": 1.0}
RETRY_S = 1.0


class Operators:
    """Makes calls to entry VMs, and changes contracts.

    Args:
        world: clock and events.
        rng: source of the load.
        recorder: receives the records.
        entries: present life of each entry VM by name.
    """

    def __init__(
        self,
        world: World,
        rng: random.Random,
        recorder: HistoryRecorder,
        entries: dict[str, EntryVm],
    ) -> None:
        self.world = world
        self.rng = rng
        self.recorder = recorder
        self.entries = entries

    def _serving(self) -> list[EntryVm]:
        return [entry for entry in self.entries.values() if entry.serving]

    def _pick(self) -> EntryVm | None:
        """Return an entry VM that accepts connections; a paused one does so, too."""
        alive = [entry for entry in self.entries.values() if entry.alive]
        return self.rng.choice(alive) if alive else None

    def _call(
        self,
        entry: EntryVm,
        make: Callable[[], Coroutine[Any, Any, Any]],
        done: Callable[[Any], None],
    ) -> None:
        """Make a call that arrives after the delay to the client, as does the answer."""

        def arrive() -> None:
            if entry.alive:
                entry.call(make, lambda answer: self._answered(answer, done))
            else:
                done(None)

        self.world.after(self.rng.uniform(0.001, 0.006), arrive)

    def _answered(self, answer: Any, done: Callable[[Any], None]) -> None:
        if answer is None:
            done(None)
        else:
            self.world.after(self.rng.uniform(0.001, 0.006), lambda: done(answer))

    # Contracts.

    def change_contract(self, customer: str, base_version: int, weight: float) -> None:
        """Apply a contract; repeat until it exists when it is the first."""
        entry = self._pick()
        if entry is None:
            self.world.after(RETRY_S, lambda: self.change_contract(customer, base_version, weight))
            return
        change = ApplyContract(
            contract=make_contract(customer, weight), base_version=base_version, author="operator"
        )

        def done(answer: Any) -> None:
            if isinstance(answer, AppliedContract):
                self.recorder.add(
                    ContractApplied(
                        time_s=self.world.now_s, customer=customer, version=answer.version
                    )
                )
            elif base_version == 0 and not self._known_version(entry, customer):
                self.world.after(
                    RETRY_S, lambda: self.change_contract(customer, base_version, weight)
                )

        self._call(entry, lambda: entry.application.contracts.apply(change), done)

    def race_contract(self, customer: str, changes_count: int) -> None:
        """Apply concurrent changes on the same base version."""
        entry = self._pick()
        base_version = 0 if entry is None else self._known_version(entry, customer)
        if base_version:
            for _ in range(changes_count):
                self.change_contract(customer, base_version, self.rng.uniform(0.5, 4.0))

    def _known_version(self, entry: EntryVm, customer: str) -> int:
        row = entry.application.contracts.registry.get(customer)
        return 0 if row is None else row.version

    def _see_contracts(self, entry: EntryVm) -> None:
        for customer in CUSTOMERS:
            version = self._known_version(entry, customer)
            self.recorder.add(
                ContractSeen(
                    time_s=self.world.now_s,
                    entry_vm=entry.name,
                    customer=customer,
                    version=version,
                )
            )


def make_contract(customer: str, weight: float) -> Contract:
    """Return a contract without bounds."""
    quota = Quota(
        processors_millicores="unlimited", memory_mb="unlimited", accelerators_count="unlimited"
    )
    return Contract(
        customer=customer,
        share_weight=weight,
        quota=quota,
        requests_per_second="unlimited",
        queue_max_tasks="unlimited",
        provisional_admission=True,
    )
