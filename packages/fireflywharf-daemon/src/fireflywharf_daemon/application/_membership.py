"""Membership: heartbeats within the failure domain and digests to the other domains."""

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

import attrs

from fireflywharf_core.membership import DigestPlanner, HeartbeatEffect, PeerTable
from fireflywharf_core.messages import DomainDigest, Heartbeat, Identity, IdentityQuery

from ._context import Context

_LOG = logging.getLogger(__name__)
DIGEST_STALE_S = 5.0
IDENTITY_QUERY_INTERVAL_S = 1.0
IDENTITY_QUERY_TIMEOUT_S = 1.0


@attrs.define(slots=True)
class RemoteDomain:
    """Newest digest of a remote failure domain.

    Args:
        digest: the digest.
        received_s: monotonic time at which it arrived.
    """

    digest: DomainDigest
    received_s: float


class PeerListener(Protocol):
    """Receives changes of peers and remote domains."""

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Handle a heartbeat that is newer than the previous one of its sender."""

    def handle_digest(self, digest: DomainDigest) -> None:
        """Handle a digest that is newer than the previous one of its sender."""

    def handle_peer_gone(self, incarnation: str) -> None:
        """Handle a peer that is suspected to have failed or was replaced."""


class Membership:
    """Tracks the other entry VMs by their heartbeats and digests.

    Args:
        context: shared context.
        make_heartbeat: returns the local heartbeat with the given sequence number.
        make_digest: returns the digest of the domain with the given sequence number, or None if
            this process is not the scheduler.
    """

    def __init__(
        self,
        context: Context,
        make_heartbeat: Callable[[int], Heartbeat],
        make_digest: Callable[[int], DomainDigest | None],
    ) -> None:
        self.context = context
        self.make_heartbeat = make_heartbeat
        self.make_digest = make_digest
        self.listener: PeerListener | None = None
        settings = context.settings
        self.peers = PeerTable(context.incarnation, settings.scheduling.suspicion_s)
        self.planner = DigestPlanner(context.domain, settings.scheduling.digest_interval_s)
        self.remote_domains: dict[str, RemoteDomain] = {}
        self._sequence = 0
        self._addresses_by_incarnation: dict[str, str] = {}
        self._last_identity_query_s = float("-inf")
        self._identity_query: asyncio.Future[None] | None = None
        self._suspected: set[str] = set()

    async def find_address(self, incarnation: str) -> str | None:
        """Return the mesh address of an incarnation, or None if no entry VM answers for it.

        All entry VMs are asked if the address is not known, at most once per
        `IDENTITY_QUERY_INTERVAL_S`. The digests are not sufficient: they name only the schedulers
        of other domains, but any entry VM can be the holder of a key.
        """
        now_s = self.context.now_s()
        if (
            incarnation not in self._addresses_by_incarnation
            and now_s - self._last_identity_query_s >= IDENTITY_QUERY_INTERVAL_S
        ):
            self._last_identity_query_s = now_s
            self._identity_query = asyncio.ensure_future(self._query_identities())
        if incarnation not in self._addresses_by_incarnation and self._identity_query is not None:
            await asyncio.shield(self._identity_query)
        return self._addresses_by_incarnation.get(incarnation)

    async def _query_identities(self) -> None:
        calls = [
            self.context.call(peer.address, IdentityQuery(), IDENTITY_QUERY_TIMEOUT_S)
            for peer in self.context.settings.mesh.peers
        ]
        for answer in await asyncio.gather(*calls):
            if isinstance(answer, Identity):
                self._addresses_by_incarnation[answer.incarnation] = answer.mesh_address

    def live_peers(self) -> list[Heartbeat]:
        """Return the newest heartbeats of the peers in the domain that are not suspected."""
        return self.peers.peers(self.context.now_s())

    def scheduler_address(self) -> str | None:
        """Return the mesh address of the domain's scheduler, or None unless it is a live peer."""
        scheduler = self.peers.scheduler(self.context.now_s())
        return None if scheduler is None else scheduler.mesh_address

    def live_remote_domains(self) -> list[RemoteDomain]:
        """Return the remote domains whose digest is newer than `DIGEST_STALE_S`."""
        now_s = self.context.now_s()
        return [
            row for row in self.remote_domains.values() if now_s - row.received_s < DIGEST_STALE_S
        ]

    def send_heartbeats(self) -> None:
        """Send a heartbeat to each peer of the domain and report newly suspected peers."""
        self._sequence += 1
        heartbeat = self.make_heartbeat(self._sequence)
        for peer in self.context.settings.mesh.peers:
            if peer.failure_domain == self.context.domain:
                self.context.mesh.send(peer.address, heartbeat)
        suspected_incarnations = {
            row.incarnation for row in self.peers.suspected(self.context.now_s())
        }
        for incarnation in suspected_incarnations - self._suspected:
            _LOG.warning("peer %s suspected to have failed: no heartbeat", incarnation)
            self.listener.handle_peer_gone(incarnation)
        self._suspected = suspected_incarnations

    def send_digests(self) -> None:
        """Send the digest of the domain to some entry VMs of each remote domain."""
        members: dict[str, list[str]] = {}
        for peer in self.context.settings.mesh.peers:
            members.setdefault(peer.failure_domain, []).append(peer.address)
        addresses = self.planner.take_due_receivers(members, self.context.now_s())
        digest = self.make_digest(self._sequence) if addresses else None
        if digest is not None:
            for address in addresses:
                self.context.mesh.send(address, digest)

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Handle a heartbeat of a peer; heartbeats from other domains are ignored."""
        if heartbeat.domain != self.context.domain:
            return
        known = {row.vm_name: row.incarnation for row in self.live_peers()}
        effect = self.peers.on_heartbeat(heartbeat, self.context.now_s())
        if effect is HeartbeatEffect.IGNORED:
            return
        if effect is HeartbeatEffect.REPLACED and heartbeat.vm_name in known:
            self.listener.handle_peer_gone(known[heartbeat.vm_name])
        self._addresses_by_incarnation[heartbeat.incarnation] = heartbeat.mesh_address
        self.listener.handle_heartbeat(heartbeat)

    def handle_digest(self, digest: DomainDigest) -> None:
        """Handle a digest of a remote domain; outdated digests of a sender are ignored."""
        known = self.remote_domains.get(digest.domain)
        same_sender = known is not None and known.digest.incarnation == digest.incarnation
        if digest.domain == self.context.domain:
            return
        if same_sender and digest.sequence <= known.digest.sequence:
            return
        self.remote_domains[digest.domain] = RemoteDomain(digest, self.context.now_s())
        self._addresses_by_incarnation[digest.incarnation] = digest.mesh_address
        self.listener.handle_digest(digest)
