"""Free slots at other entry VMs."""

from collections import OrderedDict

import attrs

from ..messages import ServiceSlots
from ._events import PeerSlotsReported

_GONE_MAX_COUNT = 1000
# Ten heartbeats or five digests; a peer that is silent for longer gets no forwards.
_REPORT_MAX_AGE_S = 5.0


@attrs.define(slots=True, eq=False)
class Peer:
    """One other entry VM; forwards since its last report are counted against its free slots."""

    incarnation: str
    domain: str
    region: str
    reported_s: float = 0.0
    draining: bool = False
    slots: dict[str, ServiceSlots] = attrs.field(factory=dict)
    since_report: dict[str, int] = attrs.field(factory=dict)
    outstanding: dict[str, int] = attrs.field(factory=dict)

    def free_count(self, service: str) -> int:
        """Return the free slots that this VM may still use."""
        slots = self.slots.get(service)
        if slots is None or self.draining:
            return 0
        return slots.free_count - self.since_report.get(service, 0)

    def total_count(self, service: str) -> int:
        """Return the slots of the service that the peer holds."""
        slots = self.slots.get(service)
        return 0 if slots is None or self.draining else slots.total_count


class PeerTable:
    """Other entry VMs by incarnation.

    Args:
        domain: own failure domain.
        region: own region.
    """

    def __init__(self, domain: str, region: str) -> None:
        self.domain = domain
        self.region = region
        self._peers: OrderedDict[str, Peer] = OrderedDict()
        self._gone: dict[str, None] = {}

    def observe(self, event: PeerSlotsReported, now_s: float) -> None:
        """Take a report of a peer."""
        peer = self._peers.get(event.incarnation)
        if peer is None:
            peer = Peer(event.incarnation, event.domain, event.region)
            self._peers[event.incarnation] = peer
        self._peers.move_to_end(event.incarnation)
        peer.reported_s = now_s
        peer.draining = event.draining
        peer.slots = {slots.service: slots for slots in event.slots}
        peer.since_report.clear()
        self._gone.pop(event.incarnation, None)

    def expire(self, now_s: float) -> None:
        """Forget the slots of peers that have not reported for long."""
        while self._peers:
            peer = next(iter(self._peers.values()))
            if peer.reported_s + _REPORT_MAX_AGE_S > now_s:
                return
            del self._peers[peer.incarnation]

    def remove(self, incarnation: str) -> None:
        """Forget a peer that is gone and remember its incarnation as gone."""
        self._peers.pop(incarnation, None)
        self._gone[incarnation] = None
        if len(self._gone) > _GONE_MAX_COUNT:
            del self._gone[next(iter(self._gone))]

    def is_gone(self, incarnation: str) -> bool:
        """Return whether the incarnation is known to be gone."""
        return incarnation in self._gone

    def get(self, incarnation: str) -> Peer | None:
        """Return a peer by incarnation."""
        return self._peers.get(incarnation)

    def serves(self, service: str) -> bool:
        """Return whether any peer holds targets of the service."""
        return any(peer.total_count(service) > 0 for peer in self._peers.values())

    def serves_region(self, service: str) -> bool:
        """Return whether a peer of the own region holds targets of the service."""
        return any(
            peer.region == self.region and peer.total_count(service) > 0
            for peer in self._peers.values()
        )

    def own_domain_slots(self, service: str) -> tuple[int, int]:
        """Return the slots that peers of the own domain hold, and the number of these peers."""
        peers = [peer for peer in self._peers.values() if peer.domain == self.domain]
        return sum(peer.total_count(service) for peer in peers), len(peers)

    def pick(self, service: str, same_region: bool) -> Peer | None:
        """Return the peer with most free slots, peers of the own domain first.

        Args:
            service: service of the request.
            same_region: whether to look in the own region; otherwise in the others.

        Returns:
            A peer with a free slot, or None.
        """
        best, best_rank = None, (False, 0)
        for peer in self._peers.values():
            if (peer.region == self.region) is not same_region:
                continue
            free_count = peer.free_count(service)
            rank = (peer.domain == self.domain, free_count)
            if free_count > 0 and (best is None or rank > best_rank):
                best, best_rank = peer, rank
        return best

    def pick_queue(self, service: str, ratio: float) -> Peer | None:
        """Return a peer of the own domain at which a request may wait although it is full.

        Without this, an entry VM that holds no target starves while the holders are always full.
        """
        best, best_load = None, ratio
        for peer in self._peers.values():
            total_count = peer.total_count(service)
            if peer.domain == self.domain and total_count > 0:
                load = peer.outstanding.get(service, 0) / total_count
                if load < best_load:
                    best, best_load = peer, load
        return best

    def charge(self, peer: Peer, service: str) -> None:
        """Count a forward to a peer."""
        peer.since_report[service] = peer.since_report.get(service, 0) + 1
        peer.outstanding[service] = peer.outstanding.get(service, 0) + 1

    def release(self, incarnation: str, service: str) -> None:
        """Count the end of a forward."""
        peer = self._peers.get(incarnation)
        if peer is not None and peer.outstanding.get(service, 0) > 0:
            peer.outstanding[service] -= 1
