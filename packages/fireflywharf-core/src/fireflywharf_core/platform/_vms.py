"""Data of the platform's VM list: `GET /v1/vms` returns a JSON list of `VmInfo`."""

from enum import Enum

import attrs

from ..resources import ResourceVector


class VmRole(Enum):
    """Role of a VM."""

    ENTRY = "entry"
    WORKER = "worker"
    TARGET = "target"


class VmState(Enum):
    """State of a VM in the VM list, which may be outdated."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen(slots=True, kw_only=True)
class VmInfo:
    """One row of the VM list.

    Args:
        name: unique name.
        role: role of the VM.
        address: `ip:port` at which the VM is called.
        region: region of the failure domain.
        failure_domain: failure domain of the VM.
        rack: rack of the VM; empty for entry VMs.
        state: live or leaving.
        capacity: total resources of a worker.
        service: service that a target runs.
        slots_count: number of requests that a target runs concurrently.
        connections_count: number of connections that a target accepts.
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
