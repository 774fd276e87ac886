"""Leases and status reads of the targets in the local failure domain."""

import asyncio
import logging
from collections.abc import Callable

from fireflywharf_core.leases import LeaseTable, UnwantedLeaseGranted
from fireflywharf_core.membership import TargetAssignment
from fireflywharf_core.platform import VmInfo, VmRole, VmState
from fireflywharf_core.routing import (
    Event,
    TargetDelisted,
    TargetLeaseGranted,
    TargetLeaseLost,
    TargetLeaving,
    TargetListed,
    TargetStatusReceived,
)

from ..platform import Success
from ._context import Context
from ._membership import Membership
from ._tasks import BackgroundTasks

_LOG = logging.getLogger(__name__)
CLAIMS_PER_STEP_MAX = 64


class TargetService:
    """Holds the leases of the targets that are assigned to this entry VM.

    Args:
        context: shared context.
        membership: peers and remote domains.
        observe: receives the events for the router core.

    Attributes:
        vms: targets of the domain in the VM list, by name.
        services: services of all listed targets, in any domain.
    """

    def __init__(
        self, context: Context, membership: Membership, observe: Callable[[Event], None]
    ) -> None:
        settings = context.settings
        self.context = context
        self.membership = membership
        self.observe = observe
        self.leases = LeaseTable(
            settings.routing.target_lease_s,
            settings.scheduling.renew_interval_s,
            settings.scheduling.claim_interval_s,
        )
        self.assignment = TargetAssignment(context.incarnation)
        self.tasks = BackgroundTasks()
        self.vms: dict[str, VmInfo] = {}
        self.services: set[str] = set()

    def set_vm_list(self, vms: list[VmInfo]) -> None:
        """Update the targets of the domain and the known services from the VM list."""
        targets = [vm for vm in vms if vm.role is VmRole.TARGET]
        self.services = {vm.service for vm in targets}
        domain_targets = {vm.name: vm for vm in targets if vm.failure_domain == self.context.domain}
        for name in set(self.vms).difference(domain_targets):
            self.leases.forget([name])
            self.observe(TargetDelisted(name))
        for name, vm in domain_targets.items():
            if name in self.vms and self.vms[name].address != vm.address:
                # Another VM replaced the target under the same name, so the old lease is void.
                self.leases.forget([name])
                self.observe(TargetDelisted(name))
            self.observe(TargetListed(vm))
            if vm.state is VmState.LEAVING:
                self.observe(TargetLeaving(name))
        self.vms = domain_targets

    def held(self) -> frozenset[str]:
        """Return the names of the targets whose lease is valid now."""
        return self.leases.held(self.context.now_s())

    def step(self) -> None:
        """Start the claims that are due and release targets that are assigned to another VM."""
        now_s = self.context.now_s()
        members = [p.incarnation for p in self.membership.live_peers() if not p.draining]
        plan = self.assignment.decide(list(self.vms), members, self.held(), now_s, draining=False)
        self.leases.track(plan.claim + plan.keep, now_s)
        wanted = set(plan.claim) | set(plan.keep)
        stale = [name for name in self.leases.names() if name not in wanted]
        for name in self.leases.take_lost(now_s):
            _LOG.warning("lease of target %s lost", name)
            self.observe(TargetLeaseLost(name))
        self._release_leases(stale)
        for name in self.leases.take_due(now_s, CLAIMS_PER_STEP_MAX):
            if name in self.vms:
                self.tasks.spawn(self._claim_target(name))

    async def release_all(self) -> None:
        """Release all leases; to be called after the last request has ended."""
        self._release_leases(self.leases.names())
        await asyncio.sleep(0)
        await self.tasks.drain()

    def start_status_read(self, name: str) -> None:
        """Start a status read of a target."""
        self.tasks.spawn(self._read_status(name))

    def _release_leases(self, names: list[str]) -> None:
        for name, epoch in self.leases.release(names, self.context.now_s()):
            self.observe(TargetLeaseLost(name))
            if name in self.vms:
                self.tasks.spawn(self._release_target(name, epoch))

    async def _release_target(self, name: str, epoch: int) -> None:
        vm = self.vms.get(name)
        if vm is not None:
            release = self.context.clients.target.release
            await self.context.pools.run("control", release, vm.address, epoch)

    async def _claim_target(self, name: str) -> None:
        vm = self.vms[name]
        if name not in self.leases:
            return
        sent_s = self.leases.record_claim_sent(name, self.context.now_s())
        answer = await self.context.pools.run(
            "control",
            self.context.clients.target.claim,
            vm.address,
            self.context.incarnation,
            self.context.settings.routing.target_lease_s,
        )
        now_s = self.context.now_s()
        match answer:
            case Success(claim) if claim.granted:
                result = self.leases.on_granted(
                    name, claim.epoch, sent_s, now_s, claim.remaining_s, claim.boot_id
                )
                if isinstance(result, UnwantedLeaseGranted):
                    await self._release_target(name, claim.epoch)
                if self.leases.may_act(name, now_s):
                    self.observe(
                        TargetLeaseGranted(
                            name=name,
                            epoch=claim.epoch,
                            in_progress=claim.in_progress,
                            boot_id=claim.boot_id,
                            leaving=claim.leaving,
                            lease_until_s=now_s + self.leases.remaining_s(name, now_s),
                            asked_s=sent_s,
                        )
                    )
            case Success(claim):
                self.leases.on_refused(name, claim.epoch, now_s)
            case _:
                self.leases.on_failed(name, now_s)

    async def _read_status(self, name: str) -> None:
        vm = self.vms.get(name)
        if vm is None:
            return
        asked_s = self.context.now_s()
        answer = await self.context.pools.run(
            "control", self.context.clients.target.status, vm.address
        )
        match answer:
            case Success(status):
                self.observe(TargetStatusReceived(name, status, asked_s))
                if status.leaving:
                    self.observe(TargetLeaving(name))
