"""Failure detector for the other entry VMs of the same failure domain, based on heartbeats."""

from collections import OrderedDict
from enum import Enum

import attrs

from ..messages import Heartbeat

REPLACED_INCARNATIONS_MAX = 256


class HeartbeatEffect(Enum):
    """Effect of a heartbeat on the peer table.

    Attributes:
        NEW: the VM was unknown.
        REPLACED: a new incarnation replaced the known one of the VM.
        UPDATED: the heartbeat is newer than the known one.
        IGNORED: the heartbeat is late, repeated or the own one.
    """

    NEW = "new"
    REPLACED = "replaced"
    UPDATED = "updated"
    IGNORED = "ignored"


@attrs.define(slots=True)
class Peer:
    """Newest heartbeat of one entry VM.

    Attributes:
        heartbeat: the newest heartbeat.
        last_heard_s: time of its arrival.
        heard_since_s: time since which heartbeats have arrived without suspicion.
    """

    heartbeat: Heartbeat
    last_heard_s: float
    heard_since_s: float


class PeerTable:
    """Keeps the newest heartbeat of each VM and suspects silent VMs.

    Args:
        incarnation: incarnation of this process, whose heartbeats are ignored.
        suspicion_s: silence in seconds after which a peer is suspected.
        forget_s: silence in seconds after which a peer is removed.
    """

    def __init__(self, incarnation: str, suspicion_s: float = 2.0, forget_s: float = 60.0) -> None:
        self.incarnation = incarnation
        self.suspicion_s = suspicion_s
        self.forget_s = forget_s
        self.ignored_count_ = 0
        self._peers: dict[str, Peer] = {}
        # Highest sequence of each incarnation that another one replaced or that was removed.
        self._replaced_sequences: OrderedDict[str, int] = OrderedDict()

    def on_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> HeartbeatEffect:
        """Handle a heartbeat; late, repeated and reordered ones are ignored.

        Args:
            heartbeat: heartbeat of a peer.
            now_s: time of arrival in seconds.

        Returns:
            The effect on the table.
        """
        if heartbeat.incarnation == self.incarnation:
            return self._count_ignored()
        peer = self._peers.get(heartbeat.vm_name)
        if peer is None:
            if heartbeat.sequence <= self._replaced_sequences.get(heartbeat.incarnation, -1):
                return self._count_ignored()
            self._peers[heartbeat.vm_name] = Peer(heartbeat, now_s, now_s)
            return HeartbeatEffect.NEW
        newest = peer.heartbeat
        if newest.incarnation != heartbeat.incarnation:
            return self._replace(peer, heartbeat, now_s)
        if heartbeat.sequence <= newest.sequence:
            return self._count_ignored()
        if self._is_suspected(peer, now_s):
            peer.heard_since_s = now_s
        peer.heartbeat, peer.last_heard_s = heartbeat, now_s
        return HeartbeatEffect.UPDATED

    def peers(self, now_s: float, include_draining: bool = True) -> list[Heartbeat]:
        """Return the newest heartbeats of all peers that are not suspected."""
        self._forget(now_s)
        return [
            peer.heartbeat
            for peer in self._peers.values()
            if not self._is_suspected(peer, now_s)
            and (include_draining or not peer.heartbeat.draining)
        ]

    def suspected(self, now_s: float) -> list[Heartbeat]:
        """Return the newest heartbeats of the suspected peers."""
        self._forget(now_s)
        return [p.heartbeat for p in self._peers.values() if self._is_suspected(p, now_s)]

    def live_since_s(self, vm_name: str, now_s: float) -> float | None:
        """Return the time since which a peer is live without interruption; None if it is not."""
        peer = self._peers.get(vm_name)
        if peer is None or self._is_suspected(peer, now_s):
            return None
        return peer.heard_since_s

    def silent_s(self, vm_name: str, now_s: float) -> float:
        """Return the time in seconds since the last heartbeat; infinite for an unknown peer."""
        peer = self._peers.get(vm_name)
        return float("inf") if peer is None else now_s - peer.last_heard_s

    def newest_contracts(self, now_s: float) -> Heartbeat | None:
        """Return the heartbeat of the live peer with the highest contracts offset, or None."""
        return max(self.peers(now_s), key=lambda peer: peer.contracts_offset, default=None)

    def scheduler(self, now_s: float) -> Heartbeat | None:
        """Return the heartbeat of the live peer that claims to be the scheduler, or None."""
        return next((peer for peer in self.peers(now_s) if peer.scheduler), None)

    def _replace(self, peer: Peer, heartbeat: Heartbeat, now_s: float) -> HeartbeatEffect:
        highest_sequence = self._replaced_sequences.get(heartbeat.incarnation)
        if highest_sequence is not None and (
            # A replaced incarnation returns only when its replacement is suspected. This corrects a
            # replacement by the late first heartbeat of an incarnation that had already ended.
            heartbeat.sequence <= highest_sequence
            or not self._is_suspected(peer, now_s)
        ):
            return self._count_ignored()
        self._replaced_sequences[peer.heartbeat.incarnation] = peer.heartbeat.sequence
        if len(self._replaced_sequences) > REPLACED_INCARNATIONS_MAX:
            self._replaced_sequences.popitem(last=False)
        self._replaced_sequences.pop(heartbeat.incarnation, None)
        self._peers[heartbeat.vm_name] = Peer(heartbeat, now_s, now_s)
        return HeartbeatEffect.REPLACED

    def _is_suspected(self, peer: Peer, now_s: float) -> bool:
        return now_s - peer.last_heard_s >= self.suspicion_s

    def _forget(self, now_s: float) -> None:
        forgotten_vm_names = [
            n for n, peer in self._peers.items() if now_s - peer.last_heard_s >= self.forget_s
        ]
        for vm_name in forgotten_vm_names:
            newest = self._peers.pop(vm_name).heartbeat
            self._replaced_sequences[newest.incarnation] = newest.sequence
        while len(self._replaced_sequences) > REPLACED_INCARNATIONS_MAX:
            self._replaced_sequences.popitem(last=False)

    def _count_ignored(self) -> HeartbeatEffect:
        self.ignored_count_ += 1
        return HeartbeatEffect.IGNORED
