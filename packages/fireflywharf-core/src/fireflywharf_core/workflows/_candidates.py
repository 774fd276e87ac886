"""Order in which VMs stand for scheduler."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping

from ._journal import VmPresent

STRONG_VM_SHARE = 0.5
"""Part of the largest processor and link of all VMs that a VM needs to stand among the first.

The scheduler exchanges messages with every worker, and a VM that is slower limits all others."""


def candidate_rank(vms: Mapping[str, VmPresent], vm: str, holder: str, epoch: int) -> int:
    """Return how many VMs stand before a VM.

    Pattern: the scheduler dies beside 30 VMs, most of which have a quarter of the processor of the
    largest and a twentieth of its link. All notice it within a fraction of a second. VMs stand one
    after the other, small ones last, so that no two replace each other and no small VM becomes
    scheduler while a large one lives.

    Args:
        vms: VMs of the deployment by name.
        vm: name of the VM that asks.
        holder: VM of the scheduler that ended; it does not count.
        epoch: fencing token of that scheduler; VMs of one size take turns by it.
    """
    others = {name: record for name, record in vms.items() if name != holder}
    processors = STRONG_VM_SHARE * max(
        (row.processors_millicores for row in others.values()), default=0
    )
    link = STRONG_VM_SHARE * max((row.link_mbps for row in others.values()), default=0.0)

    def place(name: str) -> tuple[bool, bytes]:
        record = others.get(name)
        strong = (
            record is not None
            and record.processors_millicores >= processors
            and record.link_mbps >= link
        )
        return not strong, hashlib.sha256(f"{name}:{epoch}".encode()).digest()

    own = place(vm)
    return sum(place(name) < own for name in others if name != vm)
