"""Targets with their leases, slots and evidence of faults."""

import random

import attrs

from ..platform import TargetStatus, VmInfo, VmState
from ._events import TargetLeaseGranted

# Connections of a target left for claims and status polls.
_SPARE_CONNECTIONS_COUNT = 2
_NOT_INDEXED = -1
# Learned times within this factor count as equal; otherwise noise would steer all requests.
_ALIKE_FACTOR = 1.25


@attrs.define(slots=True, eq=False)
class Occupant:
    """A request id that holds a slot.

    `ended_s` is None while this VM's send is live. `listed_asked_s` is the time at which the latest
    answer that lists the id was asked, or None.
    """

    boot_id: str
    ended_s: float | None = None
    listed_asked_s: float | None = None


@attrs.define(slots=True, eq=False)
class Target:
    """One target; it is usable while it is held, not leaving and not set aside."""

    vm: VmInfo
    held: bool = False
    epoch: int = 0
    boot_id: str = ""
    boot_asked_s: float = float("-inf")
    leaving: bool = False
    lease_until_s: float = float("-inf")
    gone: bool = False
    occupants: dict[str, Occupant] = attrs.field(factory=dict)
    connections_count: int = 0
    poll_planned: bool = False
    set_aside: bool = False
    probe_at_s: float = 0.0
    failures_count_: int = 0
    slowness_: float = 1.0
    times_count_: int = 0
    free_index: int = _NOT_INDEXED
    position: int = 0

    @property
    def free_count(self) -> int:
        """Return the slots that may take a new request."""
        spare = self.vm.connections_count - _SPARE_CONNECTIONS_COUNT - self.connections_count
        free = self.vm.slots_count - len(self.occupants)
        return min(free, spare) if self.vm.connections_count else free

    @property
    def unsettled(self) -> bool:
        """Return whether a slot waits for a status."""
        return any(occupant.ended_s is not None for occupant in self.occupants.values())


class ServiceTargets:
    """Targets of one service, indexed by the number of free slots."""

    def __init__(self) -> None:
        self.targets: dict[str, Target] = {}
        self.held_count = 0
        self.held_slots_count = 0
        self.set_aside_count = 0
        self.long_count = 0
        self._by_free: list[list[Target]] = [[]]
        self._top = 0

    def reindex(self, target: Target) -> None:
        """Put the target where its present number of free slots belongs."""
        usable = target.held and not target.leaving and not target.set_aside
        index = target.free_count if usable else _NOT_INDEXED
        index = index if index > 0 else _NOT_INDEXED
        if index == target.free_index:
            return
        if target.free_index != _NOT_INDEXED:
            row = self._by_free[target.free_index]
            last = row.pop()
            if last is not target:
                row[target.position] = last
                last.position = target.position
        target.free_index = index
        if index == _NOT_INDEXED:
            return
        while len(self._by_free) <= index:
            self._by_free.append([])
        target.position = len(self._by_free[index])
        self._by_free[index].append(target)
        self._top = max(self._top, index)

    def has_free(self) -> bool:
        """Return whether a usable target has a free slot."""
        while self._top > 0 and not self._by_free[self._top]:
            self._top -= 1
        return self._top > 0

    def pick(self, avoided: str, rng: random.Random) -> Target | None:
        """Return a target with most free slots, the clearly faster of two candidates.

        Args:
            avoided: target that is used only when there is no other.
            rng: source of the candidates.

        Returns:
            The target, or None when none has a free slot.
        """
        last_resort = None
        if not self.has_free():
            return None
        for index in range(self._top, 0, -1):
            row = self._by_free[index]
            if not row:
                continue
            first = row[int(rng.random() * len(row))]
            second = row[int(rng.random() * len(row))]
            alike = first.slowness_ <= second.slowness_ * _ALIKE_FACTOR
            chosen = first if alike else second
            if chosen.vm.name != avoided:
                return chosen
            last_resort = last_resort or chosen
            other = next((target for target in row if target.vm.name != avoided), None)
            if other is not None:
                return other
        return last_resort

    def pick_probe(self, now_s: float) -> Target | None:
        """Return a target that is set aside, idle and due for a probe."""
        if not self.set_aside_count:
            return None
        for target in self.targets.values():
            if target.set_aside and target.held and not target.leaving:
                due = now_s >= target.probe_at_s and now_s < target.lease_until_s
                if due and not target.occupants and target.free_count > 0:
                    return target
        return None


class TargetTable:
    """All targets of the platform that this VM has heard of, with the slots of those it holds.

    Args:
        settle_s: see `RoutingPolicy`.
    """

    def __init__(self, settle_s: float) -> None:
        self.settle_s = settle_s
        self.services: dict[str, ServiceTargets] = {}
        self._targets: dict[str, Target] = {}

    def get(self, name: str) -> Target | None:
        """Return a target by name."""
        return self._targets.get(name)

    def service(self, name: str) -> ServiceTargets | None:
        """Return the targets of a service."""
        return self.services.get(name)

    def see(self, vm: VmInfo) -> None:
        """Take a row of the VM list; a target that is leaving stays so until it restarts."""
        target = self._targets.get(vm.name)
        if target is not None and target.vm.service != vm.service:
            self._unhold(target)
            self._remove(target)
            target = None
        if target is None:
            target = self._targets[vm.name] = Target(vm)
            self.services.setdefault(vm.service, ServiceTargets()).targets[vm.name] = target
        target.gone = False
        if target.vm is not vm:
            self._count_held(target, -1)
            target.vm = vm
            self._count_held(target, 1)
        if vm.state is VmState.LEAVING:
            target.leaving = True
        self._reindex(target)

    def gone(self, name: str) -> None:
        """Forget a target that the VM list no longer has, unless it is held or in use."""
        target = self._targets.get(name)
        if target is not None:
            target.gone = True
            self._remove_unused(target)

    def hold(self, event: TargetLeaseGranted, now_s: float) -> None:
        """Take a granted claim or a renewal."""
        target = self._targets.get(event.name)
        if target is None:
            return
        known_epoch = target.epoch if event.boot_id == target.boot_id else -1
        if event.epoch < known_epoch or self._is_stale(target, event.boot_id, event.asked_s):
            return
        self._see_boot(target, event.boot_id, event.asked_s, event.leaving)
        if not target.held:
            target.held = True
            self._count_held(target, 1)
        target.epoch = event.epoch
        target.lease_until_s = max(target.lease_until_s, event.lease_until_s)
        target.leaving = target.leaving or event.leaving
        listed = set(event.in_progress)
        self._settle(target, listed, event.asked_s)
        if event.epoch != known_epoch:
            for request_id in listed - target.occupants.keys():
                target.occupants[request_id] = Occupant(event.boot_id, now_s, event.asked_s)
        self._reindex(target)

    def lose(self, name: str) -> Target | None:
        """Stop using a target; its slots stay charged for the case that it is held again."""
        target = self._targets.get(name)
        if target is not None:
            self._unhold(target)
            self._reindex(target)
            self._remove_unused(target)
        return target

    def leave(self, name: str) -> None:
        """Give the target no new work."""
        target = self._targets.get(name)
        if target is not None:
            target.leaving = True
            self._reindex(target)

    def see_status(self, name: str, status: TargetStatus, asked_s: float) -> bool:
        """Take a status and return whether it freed a slot."""
        target = self._targets.get(name)
        if target is None or self._is_stale(target, status.boot_id, asked_s):
            return False
        before_count = len(target.occupants)
        if target.boot_id and status.boot_id != target.boot_id:
            self._unhold(target)
        self._see_boot(target, status.boot_id, asked_s, status.leaving)
        target.leaving = target.leaving or status.leaving
        self._settle(target, set(status.in_progress), asked_s)
        self._reindex(target)
        return len(target.occupants) < before_count

    def occupy(self, target: Target, send_id: str) -> None:
        """Charge a slot and a connection for a send."""
        target.occupants[send_id] = Occupant(target.boot_id)
        target.connections_count += 1
        self._reindex(target)

    def end(self, target: Target, send_id: str, free: bool, now_s: float) -> None:
        """Take the end of a send.

        Args:
            target: target of the send.
            send_id: id of the send.
            free: whether the target provably no longer runs it.
            now_s: present time.
        """
        target.connections_count = max(0, target.connections_count - 1)
        if free:
            target.occupants.pop(send_id, None)
        elif send_id in target.occupants:
            target.occupants[send_id].ended_s = now_s
        self._reindex(target)
        self._remove_unused(target)

    def set_aside(self, target: Target, aside: bool, probe_at_s: float = 0.0) -> None:
        """Set a target aside for probes, or use it again."""
        if target.set_aside is not aside and target.held:
            self.services[target.vm.service].set_aside_count += 1 if aside else -1
        target.set_aside = aside
        target.probe_at_s = probe_at_s
        self._reindex(target)

    def _settle(self, target: Target, listed: set[str], asked_s: float) -> None:
        for request_id, occupant in list(target.occupants.items()):
            if request_id in listed:
                occupant.listed_asked_s = max(occupant.listed_asked_s or asked_s, asked_s)
                continue
            if occupant.ended_s is None:
                continue
            # Bytes of a send that was never listed may still be on their way to the target.
            after_s = occupant.ended_s + self.settle_s
            if occupant.listed_asked_s is not None:
                after_s = max(occupant.ended_s, occupant.listed_asked_s)
            if asked_s > after_s:
                del target.occupants[request_id]

    def _is_stale(self, target: Target, boot_id: str, asked_s: float) -> bool:
        """Return whether an answer is of a boot that a later answer has superseded."""
        return boot_id != target.boot_id and asked_s <= target.boot_asked_s

    def _see_boot(self, target: Target, boot_id: str, asked_s: float, leaving: bool) -> None:
        target.boot_asked_s = max(target.boot_asked_s, asked_s)
        if boot_id == target.boot_id:
            return
        target.boot_id = boot_id
        target.leaving = leaving
        target.failures_count_ = 0
        target.occupants.clear()

    def _count_held(self, target: Target, sign: int) -> None:
        if target.held:
            service = self.services[target.vm.service]
            service.held_count += sign
            service.held_slots_count += sign * target.vm.slots_count
            service.set_aside_count += sign if target.set_aside else 0

    def _unhold(self, target: Target) -> None:
        self._count_held(target, -1)
        target.held = False
        target.lease_until_s = float("-inf")

    def _remove_unused(self, target: Target) -> None:
        if target.gone and not target.held and not target.connections_count:
            self._remove(target)

    def _remove(self, target: Target) -> None:
        target.held = False
        self._reindex(target)
        if self._targets.pop(target.vm.name, None) is None:
            return
        service = self.services[target.vm.service]
        del service.targets[target.vm.name]
        if not service.targets:
            del self.services[target.vm.service]

    def _reindex(self, target: Target) -> None:
        self.services[target.vm.service].reindex(target)
