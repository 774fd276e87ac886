"""Data of the platform's VM list: `GET /v1/vms` answers a JSON list of `VmInfo`."""

from enum import Enum

import attrs

from ..resources import ResourceVector


class VmRole(Enum):
    """What a VM is used for."""

    ENTRY = "entry"
    WORKER = "worker"
    TARGET = "target"


class VmState(Enum):
    """State of a VM as the lagging list shows it."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen(slots=True, kw_only=True)
class VmInfo:
    """One row of the VM list.

    Args:
        name: unique name.
        role: what the VM is used for.
        address: `ip:port` of its interface.
        region: region of the failure domain.
        failure_domain: failure domain.
        rack: rack; empty for entry VMs.
        state: live or leaving.
        capacity: resources of a worker.
        service: service of a target.
        slots_count: requests that a target runs at once.
        connections_count: connections that a target accepts.
    """

    name: str
    role: VmRole
    address: str
    region: str
    failure_domain: str
    rack: str = ""
    state: VmState = VmState.LIVE
    capacity: ResourceVector = ResourceVector()
    service: str = ""
    slots_count: int = 0
    connections_count: int = 0
