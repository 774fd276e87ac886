"""Free slots at peers, the other entry VMs."""

from collections import OrderedDict

import attrs

from ..messages import ServiceSlots
from ._events import PeerSlotsReported

_LOST_PEERS_MAX_COUNT = 1000
# Ten heartbeats or five digests; a peer without a report for longer gets no forwards.
_REPORT_MAX_AGE_S = 5.0


@attrs.define(slots=True, eq=False)
class Peer:
    """One peer and its latest report.

    Attributes:
        incarnation: incarnation of the peer.
        domain: failure domain of the peer.
        region: region of the peer.
        reported_s: time of the latest report.
        draining: whether the peer accepts nothing new.
        slots: reported slots by service.
        forwards_since_report: forwards by service that the latest report cannot include yet.
        outstanding_forwards: unanswered forwards by service.
    """

    incarnation: str
    domain: str
    region: str
    reported_s: float = 0.0
    draining: bool = False
    slots: dict[str, ServiceSlots] = attrs.field(factory=dict)
    forwards_since_report: dict[str, int] = attrs.field(factory=dict)
    outstanding_forwards: dict[str, int] = attrs.field(factory=dict)

    def free_count(self, service: str) -> int:
        """Return the reported free slots less the forwards since that report."""
        slots = self.slots.get(service)
        if slots is None or self.draining:
            return 0
        return slots.free_count - self.forwards_since_report.get(service, 0)

    def total_count(self, service: str) -> int:
        """Return the slots of the service at targets that the peer holds."""
        slots = self.slots.get(service)
        return 0 if slots is None or self.draining else slots.total_count


class PeerSlotTable:
    """Peers and their free slots by incarnation.

    Args:
        domain: own failure domain.
        region: own region.
    """

    def __init__(self, domain: str, region: str) -> None:
        self.domain = domain
        self.region = region
        self._peers: OrderedDict[str, Peer] = OrderedDict()
        self._lost: dict[str, None] = {}

    def apply_report(self, event: PeerSlotsReported, now_s: float) -> None:
        """Replace the slots of a peer by those of a new report."""
        peer = self._peers.get(event.incarnation)
        if peer is None:
            peer = Peer(event.incarnation, event.domain, event.region)
            self._peers[event.incarnation] = peer
        self._peers.move_to_end(event.incarnation)
        peer.reported_s = now_s
        peer.draining = event.draining
        peer.slots = {slots.service: slots for slots in event.slots}
        peer.forwards_since_report.clear()
        self._lost.pop(event.incarnation, None)

    def remove_silent(self, now_s: float) -> None:
        """Remove peers whose latest report is older than `_REPORT_MAX_AGE_S`."""
        while self._peers:
            peer = next(iter(self._peers.values()))
            if peer.reported_s + _REPORT_MAX_AGE_S > now_s:
                return
            del self._peers[peer.incarnation]

    def mark_lost(self, incarnation: str) -> None:
        """Remove a peer and remember its incarnation as lost, until it reports again."""
        self._peers.pop(incarnation, None)
        self._lost[incarnation] = None
        if len(self._lost) > _LOST_PEERS_MAX_COUNT:
            del self._lost[next(iter(self._lost))]

    def is_lost(self, incarnation: str) -> bool:
        """Return whether the incarnation was marked as lost."""
        return incarnation in self._lost

    def get(self, incarnation: str) -> Peer | None:
        """Return the peer with this incarnation, or None."""
        return self._peers.get(incarnation)

    def has_service(self, service: str) -> bool:
        """Return whether any peer holds targets of the service."""
        return any(peer.total_count(service) > 0 for peer in self._peers.values())

    def has_service_in_region(self, service: str) -> bool:
        """Return whether a peer of the own region holds targets of the service."""
        return any(
            peer.region == self.region and peer.total_count(service) > 0
            for peer in self._peers.values()
        )

    def own_domain_slots(self, service: str) -> tuple[int, int]:
        """Return the total slots of the peers of the own domain, and the number of these peers."""
        peers = [peer for peer in self._peers.values() if peer.domain == self.domain]
        return sum(peer.total_count(service) for peer in peers), len(peers)

    def pick(self, service: str, same_region: bool) -> Peer | None:
        """Return the peer with the most free slots, preferring peers of the own domain.

        Args:
            service: service of the request.
            same_region: whether to search the own region; otherwise all other regions.

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

    def pick_for_queueing(self, service: str, ratio: float) -> Peer | None:
        """Return the peer of the own domain with the fewest outstanding forwards per slot.

        Its slots may all be taken, so that the request waits in the queue of the peer. Without
        this, an entry VM that holds no target would starve while its peers are always full.

        Args:
            service: service of the request.
            ratio: outstanding forwards per slot from which on a peer is not chosen.

        Returns:
            The peer, or None.
        """
        best, best_load = None, ratio
        for peer in self._peers.values():
            total_count = peer.total_count(service)
            if peer.domain == self.domain and total_count > 0:
                load = peer.outstanding_forwards.get(service, 0) / total_count
                if load < best_load:
                    best, best_load = peer, load
        return best

    def count_forward(self, peer: Peer, service: str) -> None:
        """Count a forward that is sent to a peer."""
        peer.forwards_since_report[service] = peer.forwards_since_report.get(service, 0) + 1
        peer.outstanding_forwards[service] = peer.outstanding_forwards.get(service, 0) + 1

    def count_forward_end(self, incarnation: str, service: str) -> None:
        """Count the end of a forward, answered or failed."""
        peer = self._peers.get(incarnation)
        if peer is not None and peer.outstanding_forwards.get(service, 0) > 0:
            peer.outstanding_forwards[service] -= 1
