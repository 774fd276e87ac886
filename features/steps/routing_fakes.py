"""In-memory targets, and entry VMs with one router each."""

import random

from fireflywharf_core.contracts import Contract, Quota
from fireflywharf_core.platform import VmInfo, VmRole
from fireflywharf_core.routing import (
    ContractChanged,
    RequestRouter,
    TargetListed,
)

SERVICE = "dispatch"
LEASE_S = 5.0
# Bytes of a cut connection reach the target within this time or not at all.
IN_FLIGHT_AFTER_CUT_S = 0.4
UNBOUNDED = Quota(
    processors_millicores="unlimited", memory_mb="unlimited", accelerators_count="unlimited"
)


def original_request_id(request_id):
    """Return the id that the first entry VM gave to a request, without suffixes of forwards."""
    return request_id.split(".")[0]


def make_contract(customer, **changes):
    """Return a contract without limits, except for the fields in `changes`."""
    fields = {"share_weight": 1.0, "requests_per_second": "unlimited", "queue_max_tasks": 10}
    return Contract(customer=customer, quota=UNBOUNDED, **(fields | changes))


def make_target_vm(name, slots_count=2):
    """Return the entry of a target in the VM list."""
    return VmInfo(
        name=name,
        role=VmRole.TARGET,
        address="127.0.0.1:1",
        region="centro",
        failure_domain="centro-1",
        service=SERVICE,
        slots_count=slots_count,
        connections_count=64,
    )


class FakeTarget:
    """Target with a lease, an epoch and slots; it records when more requests run than slots."""

    def __init__(self, name, slots_count):
        self.name, self.slots_count = name, slots_count
        self.boot, self.epoch, self.holder, self.lease_end_s = 1, 0, "", 0.0
        self.leaving, self.running, self.overloads = False, {}, []

    def claim(self, holder, now_s):
        """Grant or renew the lease and return True, or return False if another VM holds it."""
        if self.holder not in ("", holder) and now_s < self.lease_end_s:
            return False
        if self.holder != holder or now_s >= self.lease_end_s:
            self.epoch += 1
        self.holder, self.lease_end_s = holder, now_s + LEASE_S
        return True

    def accepts(self, epoch, now_s):
        """Return whether a request with this epoch is started."""
        return epoch == self.epoch and now_s < self.lease_end_s

    def start(self, send_id, content):
        """Run a request, and record an overload if more requests run than there are slots."""
        self.running[send_id] = content
        if len(self.running) > self.slots_count:
            self.overloads.append(sorted(self.running))

    def reboot(self):
        """Restart the target, which drops all running requests and the lease."""
        self.boot += 1
        self.epoch, self.holder, self.lease_end_s = self.epoch + 1, "", 0.0
        self.running, self.leaving = {}, False


class EntryVm:
    """One router and the state that its daemon keeps.

    Attributes:
        live_sends: request of each live send, and origin of each forward by ("from", request).
        keys: keys that the router has issued.
    """

    def __init__(self, world, name, number):
        self.world, self.name, self.number = world, name, number
        self.incarnation, self.alive = f"{name}.{number:x}", True
        self.live_sends, self.log_read_count, self.keys = {}, 0, []
        self.router = RequestRouter(
            incarnation=self.incarnation,
            domain="centro-1",
            region="centro",
            rng=random.Random(number),
            policy=world.policy,
        )
        self.handle_event(ContractChanged("austral", make_contract("austral")))
        for target in world.targets:
            self.handle_event(TargetListed(make_target_vm(target.name, target.slots_count)))

    def handle_event(self, event):
        """Pass an event to the router, unless the VM has died."""
        if self.alive:
            self.router.observe(event, self.world.now_s)
