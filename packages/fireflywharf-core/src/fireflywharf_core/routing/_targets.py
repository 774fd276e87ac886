"""Targets with their leases, slots and outlier statistics."""

import random

import attrs

from ..platform import TargetStatus, VmInfo, VmState
from ._events import TargetLeaseGranted

# Connections of a target that requests leave free for claims and status polls.
_SPARE_CONNECTIONS_COUNT = 2
_NO_BUCKET = -1
# Latency ratios within this factor count as equal, so that noise does not decide between targets.
_EQUAL_LATENCY_FACTOR = 1.25


@attrs.define(slots=True, eq=False)
class OccupiedSlot:
    """A slot of a target that is taken by one send.

    Attributes:
        boot_id: boot of the target when the slot was taken.
        send_ended_s: time at which this VM's send ended; None while it is in flight.
        last_listed_s: request time of the latest claim or status whose answer listed the send;
            None if no answer listed it.
    """

    boot_id: str
    send_ended_s: float | None = None
    last_listed_s: float | None = None


@attrs.define(slots=True, eq=False)
class Target:
    """A target; it gets requests while it is held, not leaving and not ejected.

    Attributes:
        vm: row of the VM list.
        held: whether this VM holds the lease of the target.
        epoch: epoch of the lease, sent with each request as fencing token.
        boot_id: boot of the target at the newest answer.
        boot_asked_s: request time of the newest answer.
        leaving: whether the target accepts no new requests.
        lease_until_s: end of the lease.
        is_delisted: whether the VM list no longer contains the target.
        occupied_slots: taken slots by send id.
        connections_count: sends in flight to the target.
        is_poll_scheduled: whether a timer for a status poll is pending.
        is_ejected: whether the target gets only probes because it failed or was slow.
        probe_at_s: earliest time of the next probe of an ejected target.
        consecutive_failures_count_: failed sends since the last success.
        latency_ratio_: moving average of service time over the learned median of the kind.
        latency_samples_count_: service times in `latency_ratio_`.
        bucket_index: index of the target's bucket in `ServiceTargets`, or `_NO_BUCKET`.
        bucket_position: position in this bucket.
    """

    vm: VmInfo
    held: bool = False
    epoch: int = 0
    boot_id: str = ""
    boot_asked_s: float = float("-inf")
    leaving: bool = False
    lease_until_s: float = float("-inf")
    is_delisted: bool = False
    occupied_slots: dict[str, OccupiedSlot] = attrs.field(factory=dict)
    connections_count: int = 0
    is_poll_scheduled: bool = False
    is_ejected: bool = False
    probe_at_s: float = 0.0
    consecutive_failures_count_: int = 0
    latency_ratio_: float = 1.0
    latency_samples_count_: int = 0
    bucket_index: int = _NO_BUCKET
    bucket_position: int = 0

    @property
    def free_count(self) -> int:
        """Number of further requests that the slots and connections of the target allow."""
        spare_connections = (
            self.vm.connections_count - _SPARE_CONNECTIONS_COUNT - self.connections_count
        )
        free = self.vm.slots_count - len(self.occupied_slots)
        return min(free, spare_connections) if self.vm.connections_count else free

    @property
    def has_unknown_slots(self) -> bool:
        """Whether a send has ended without proof that its slot is free."""
        return any(slot.send_ended_s is not None for slot in self.occupied_slots.values())


class ServiceTargets:
    """Targets of one service, in buckets by the number of free slots.

    Attributes:
        targets: targets by name.
        held_count: held targets.
        held_slots_count: slots of the held targets.
        ejected_count: held targets that are ejected.
        long_sends_count: sends of long kinds in flight.
    """

    def __init__(self) -> None:
        self.targets: dict[str, Target] = {}
        self.held_count = 0
        self.held_slots_count = 0
        self.ejected_count = 0
        self.long_sends_count = 0
        self._buckets: list[list[Target]] = [[]]
        self._highest_bucket = 0

    def reindex(self, target: Target) -> None:
        """Move the target to the bucket of its free slots, or out of all buckets if not usable."""
        is_usable = target.held and not target.leaving and not target.is_ejected
        index = target.free_count if is_usable else _NO_BUCKET
        index = index if index > 0 else _NO_BUCKET
        if index == target.bucket_index:
            return
        if target.bucket_index != _NO_BUCKET:
            bucket = self._buckets[target.bucket_index]
            last = bucket.pop()
            if last is not target:
                bucket[target.bucket_position] = last
                last.bucket_position = target.bucket_position
        target.bucket_index = index
        if index == _NO_BUCKET:
            return
        while len(self._buckets) <= index:
            self._buckets.append([])
        target.bucket_position = len(self._buckets[index])
        self._buckets[index].append(target)
        self._highest_bucket = max(self._highest_bucket, index)

    def has_free_slot(self) -> bool:
        """Return whether a usable target has a free slot."""
        while self._highest_bucket > 0 and not self._buckets[self._highest_bucket]:
            self._highest_bucket -= 1
        return self._highest_bucket > 0

    def pick(self, avoided: str, rng: random.Random) -> Target | None:
        """Return a target with the most free slots; of two random candidates, the clearly faster.

        Args:
            avoided: name of a target that is returned only if no other has a free slot.
            rng: random source of the two candidates.

        Returns:
            The target, or None when none has a free slot.
        """
        last_resort = None
        if not self.has_free_slot():
            return None
        for index in range(self._highest_bucket, 0, -1):
            bucket = self._buckets[index]
            if not bucket:
                continue
            first = bucket[int(rng.random() * len(bucket))]
            second = bucket[int(rng.random() * len(bucket))]
            is_similar = first.latency_ratio_ <= second.latency_ratio_ * _EQUAL_LATENCY_FACTOR
            chosen = first if is_similar else second
            if chosen.vm.name != avoided:
                return chosen
            last_resort = last_resort or chosen
            other = next((target for target in bucket if target.vm.name != avoided), None)
            if other is not None:
                return other
        return last_resort

    def pick_probe_target(self, now_s: float) -> Target | None:
        """Return an ejected target that is idle and due for a probe, or None."""
        if not self.ejected_count:
            return None
        for target in self.targets.values():
            if target.is_ejected and target.held and not target.leaving:
                is_due = now_s >= target.probe_at_s and now_s < target.lease_until_s
                if is_due and not target.occupied_slots and target.free_count > 0:
                    return target
        return None


class TargetTable:
    """All targets in the VM list, with the lease and slot state of those that this VM holds.

    Args:
        unlisted_send_grace_s: see `RoutingPolicy`.
    """

    def __init__(self, unlisted_send_grace_s: float) -> None:
        self.unlisted_send_grace_s = unlisted_send_grace_s
        self.services: dict[str, ServiceTargets] = {}
        self._targets: dict[str, Target] = {}

    def get(self, name: str) -> Target | None:
        """Return the target with this name, or None."""
        return self._targets.get(name)

    def service(self, name: str) -> ServiceTargets | None:
        """Return the targets of a service, or None if it has none."""
        return self.services.get(name)

    def update_vm(self, vm: VmInfo) -> None:
        """Add or update a target from the VM list; `leaving` is cleared only by a restart."""
        target = self._targets.get(vm.name)
        if target is not None and target.vm.service != vm.service:
            self._clear_lease(target)
            self._remove(target)
            target = None
        if target is None:
            target = self._targets[vm.name] = Target(vm)
            self.services.setdefault(vm.service, ServiceTargets()).targets[vm.name] = target
        target.is_delisted = False
        if target.vm is not vm:
            self._adjust_held_counts(target, -1)
            target.vm = vm
            self._adjust_held_counts(target, 1)
        if vm.state is VmState.LEAVING:
            target.leaving = True
        self._reindex(target)

    def mark_delisted(self, name: str) -> None:
        """Record that the VM list no longer contains a target; remove it once it is not in use."""
        target = self._targets.get(name)
        if target is not None:
            target.is_delisted = True
            self._remove_if_unused(target)

    def apply_lease(self, event: TargetLeaseGranted, now_s: float) -> None:
        """Apply a granted claim or renewal of a lease.

        Answers with an older epoch or from an earlier boot are ignored. The first grant of an epoch
        marks the slots of requests that earlier holders left running as occupied.
        """
        target = self._targets.get(event.name)
        if target is None:
            return
        known_epoch = target.epoch if event.boot_id == target.boot_id else -1
        if event.epoch < known_epoch or self._is_from_older_boot(
            target, event.boot_id, event.asked_s
        ):
            return
        self._update_boot(target, event.boot_id, event.asked_s, event.leaving)
        if not target.held:
            target.held = True
            self._adjust_held_counts(target, 1)
        target.epoch = event.epoch
        target.lease_until_s = max(target.lease_until_s, event.lease_until_s)
        target.leaving = target.leaving or event.leaving
        listed = set(event.in_progress)
        self._reconcile_slots(target, listed, event.asked_s)
        if event.epoch != known_epoch:
            for request_id in listed - target.occupied_slots.keys():
                target.occupied_slots[request_id] = OccupiedSlot(
                    event.boot_id, now_s, event.asked_s
                )
        self._reindex(target)

    def drop_lease(self, name: str) -> Target | None:
        """Stop using a target; its slots stay occupied in case the lease is granted again."""
        target = self._targets.get(name)
        if target is not None:
            self._clear_lease(target)
            self._reindex(target)
            self._remove_if_unused(target)
        return target

    def mark_leaving(self, name: str) -> None:
        """Send no new requests to the target."""
        target = self._targets.get(name)
        if target is not None:
            target.leaving = True
            self._reindex(target)

    def apply_status(self, name: str, status: TargetStatus, asked_s: float) -> bool:
        """Apply the answer to a status poll that was sent at `asked_s`.

        Returns:
            Whether a slot became free.
        """
        target = self._targets.get(name)
        if target is None or self._is_from_older_boot(target, status.boot_id, asked_s):
            return False
        before_count = len(target.occupied_slots)
        if target.boot_id and status.boot_id != target.boot_id:
            self._clear_lease(target)
        self._update_boot(target, status.boot_id, asked_s, status.leaving)
        target.leaving = target.leaving or status.leaving
        self._reconcile_slots(target, set(status.in_progress), asked_s)
        self._reindex(target)
        return len(target.occupied_slots) < before_count

    def occupy_slot(self, target: Target, send_id: str) -> None:
        """Mark a slot and a connection of the target as used by a send."""
        target.occupied_slots[send_id] = OccupiedSlot(target.boot_id)
        target.connections_count += 1
        self._reindex(target)

    def end_send(self, target: Target, send_id: str, free: bool, now_s: float) -> None:
        """Release the connection of a send, and its slot if the target no longer runs the request.

        Args:
            target: target of the send.
            send_id: id of the send.
            free: whether the target provably no longer runs the request.
            now_s: present time.
        """
        target.connections_count = max(0, target.connections_count - 1)
        if free:
            target.occupied_slots.pop(send_id, None)
        elif send_id in target.occupied_slots:
            target.occupied_slots[send_id].send_ended_s = now_s
        self._reindex(target)
        self._remove_if_unused(target)

    def set_ejected(self, target: Target, ejected: bool, probe_at_s: float = 0.0) -> None:
        """Eject a target, so that it gets only probes from `probe_at_s` on, or readmit it."""
        if target.is_ejected is not ejected and target.held:
            self.services[target.vm.service].ejected_count += 1 if ejected else -1
        target.is_ejected = ejected
        target.probe_at_s = probe_at_s
        self._reindex(target)

    def _reconcile_slots(self, target: Target, listed: set[str], asked_s: float) -> None:
        for request_id, slot in list(target.occupied_slots.items()):
            if request_id in listed:
                slot.last_listed_s = max(slot.last_listed_s or asked_s, asked_s)
                continue
            if slot.send_ended_s is None:
                continue
            # The bytes of a send that was never listed may still be in transit to the target.
            after_s = slot.send_ended_s + self.unlisted_send_grace_s
            if slot.last_listed_s is not None:
                after_s = max(slot.send_ended_s, slot.last_listed_s)
            if asked_s > after_s:
                del target.occupied_slots[request_id]

    def _is_from_older_boot(self, target: Target, boot_id: str, asked_s: float) -> bool:
        """Return whether an answer names another boot than an answer requested at or after it."""
        return boot_id != target.boot_id and asked_s <= target.boot_asked_s

    def _update_boot(self, target: Target, boot_id: str, asked_s: float, leaving: bool) -> None:
        target.boot_asked_s = max(target.boot_asked_s, asked_s)
        if boot_id == target.boot_id:
            return
        target.boot_id = boot_id
        target.leaving = leaving
        target.consecutive_failures_count_ = 0
        target.occupied_slots.clear()

    def _adjust_held_counts(self, target: Target, sign: int) -> None:
        if target.held:
            service = self.services[target.vm.service]
            service.held_count += sign
            service.held_slots_count += sign * target.vm.slots_count
            service.ejected_count += sign if target.is_ejected else 0

    def _clear_lease(self, target: Target) -> None:
        self._adjust_held_counts(target, -1)
        target.held = False
        target.lease_until_s = float("-inf")

    def _remove_if_unused(self, target: Target) -> None:
        if target.is_delisted and not target.held and not target.connections_count:
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
