"""Simulated calls to entry VMs, and operators who change contracts."""

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

from .._recorder import HistoryRecorder
from ._entry import EntryVm
from ._loop import Simulator

CUSTOMERS = {"austral": 2.0, "tico": 1.0}
RETRY_INTERVAL_S = 1.0


class Operators:
    """Makes calls to entry VMs and changes contracts.

    Args:
        simulator: clock and events.
        rng: source of all random choices of the load.
        recorder: receives the history records.
        entry_vms: newest process of each entry VM by name.
    """

    def __init__(
        self,
        simulator: Simulator,
        rng: random.Random,
        recorder: HistoryRecorder,
        entry_vms: dict[str, EntryVm],
    ) -> None:
        self.simulator = simulator
        self.rng = rng
        self.recorder = recorder
        self.entry_vms = entry_vms

    def _serving_entry_vms(self) -> list[EntryVm]:
        return [entry for entry in self.entry_vms.values() if entry.is_serving]

    def _pick_entry_vm(self) -> EntryVm | None:
        """Return a random entry VM whose process exists, also a paused one; None without any."""
        alive = [entry for entry in self.entry_vms.values() if entry.alive]
        return self.rng.choice(alive) if alive else None

    def _make_call(
        self,
        entry: EntryVm,
        make_coroutine: Callable[[], Coroutine[Any, Any, Any]],
        on_done: Callable[[Any], None],
    ) -> None:
        """Make a call; the call and its answer each take 1 to 6 ms.

        Args:
            entry: entry VM to call.
            make_coroutine: creates the coroutine that handles the call.
            on_done: called with the answer, or with None without one.
        """

        def arrive() -> None:
            if entry.alive:
                entry.run_call(make_coroutine, lambda answer: self._deliver_answer(answer, on_done))
            else:
                on_done(None)

        self.simulator.schedule_after(self.rng.uniform(0.001, 0.006), arrive)

    def _deliver_answer(self, answer: Any, on_done: Callable[[Any], None]) -> None:
        if answer is None:
            on_done(None)
        else:
            self.simulator.schedule_after(self.rng.uniform(0.001, 0.006), lambda: on_done(answer))

    # Contracts.

    def change_contract(self, customer: str, base_version: int, weight: float) -> None:
        """Apply a contract on top of `base_version`; repeat a first version until there is one."""
        entry = self._pick_entry_vm()
        if entry is None:
            self.simulator.schedule_after(
                RETRY_INTERVAL_S, lambda: self.change_contract(customer, base_version, weight)
            )
            return
        change = ApplyContract(
            contract=make_contract(customer, weight), base_version=base_version, author="operator"
        )

        def on_done(answer: Any) -> None:
            if isinstance(answer, AppliedContract):
                self.recorder.add(
                    ContractApplied(
                        time_s=self.simulator.now_s, customer=customer, version=answer.version
                    )
                )
            elif base_version == 0 and not self._known_version(entry, customer):
                self.simulator.schedule_after(
                    RETRY_INTERVAL_S, lambda: self.change_contract(customer, base_version, weight)
                )

        self._make_call(entry, lambda: entry.application.contracts.apply(change), on_done)

    def apply_concurrent_changes(self, customer: str, changes_count: int) -> None:
        """Make `changes_count` changes at once on the same base version, if there is one."""
        entry = self._pick_entry_vm()
        base_version = 0 if entry is None else self._known_version(entry, customer)
        if base_version:
            for _ in range(changes_count):
                self.change_contract(customer, base_version, self.rng.uniform(0.5, 4.0))

    def _known_version(self, entry: EntryVm, customer: str) -> int:
        """Return the version of a contract known to an entry VM; zero when it knows none."""
        row = entry.application.contracts.registry.get(customer)
        return 0 if row is None else row.version

    def _observe_contracts(self, entry: EntryVm) -> None:
        """Record the versions of all contracts that an entry VM knows."""
        for customer in CUSTOMERS:
            version = self._known_version(entry, customer)
            self.recorder.add(
                ContractSeen(
                    time_s=self.simulator.now_s,
                    entry_vm=entry.name,
                    customer=customer,
                    version=version,
                )
            )


def make_contract(customer: str, weight: float) -> Contract:
    """Return a contract without limits, with `weight` as its share."""
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
