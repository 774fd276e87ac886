"""Order in which VMs stand as candidates in a scheduler election."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping

from ._journal_records import (
    VmPresent,
)

STRONG_VM_SHARE = 0.5
"""Minimum processor speed and bandwidth of a preferred candidate, relative to the largest VM.

The scheduler exchanges messages with every worker, so a slow VM limits the whole deployment."""


def candidate_rank(vms: Mapping[str, VmPresent], vm: str, holder: str, epoch: int) -> int:
    """Return the number of VMs that stand for election before `vm`.

    All VMs notice the end of a scheduler within a fraction of a second. The rank staggers their
    candidacies, so that two candidates do not replace each other. In a deployment of 30 VMs, most
    had a quarter of the processors and a twentieth of the bandwidth of the largest. VMs below
    `STRONG_VM_SHARE` therefore come last, and none of them becomes scheduler while a larger one is
    available.

    Args:
        vms: VMs of the deployment by name.
        vm: name of the VM whose rank is wanted.
        holder: VM of the scheduler that ended; it is not counted.
        epoch: fencing token of that scheduler; varies the order among VMs of the same class.
    """
    others = {name: record for name, record in vms.items() if name != holder}
    processors = STRONG_VM_SHARE * max(
        (row.processors_millicores for row in others.values()), default=0
    )
    link = STRONG_VM_SHARE * max((row.link_mbps for row in others.values()), default=0.0)

    def candidate_key(name: str) -> tuple[bool, bytes]:
        record = others.get(name)
        is_strong = (
            record is not None
            and record.processors_millicores >= processors
            and record.link_mbps >= link
        )
        return not is_strong, hashlib.sha256(f"{name}:{epoch}".encode()).digest()

    own = candidate_key(vm)
    return sum(candidate_key(name) < own for name in others if name != vm)
