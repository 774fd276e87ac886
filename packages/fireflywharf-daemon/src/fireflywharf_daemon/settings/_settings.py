"""Data of the settings."""

from enum import Enum

import attrs


@attrs.frozen(slots=True, kw_only=True)
class VmSettings:
    """Identity of the entry VM.

    Args:
        name: unique name of the VM.
        region: region of the failure domain.
        failure_domain: failure domain of the VM.
    """

    name: str
    region: str
    failure_domain: str


@attrs.frozen(slots=True, kw_only=True)
class HttpSettings:
    """Interface for callers and operators.

    Args:
        listen: `ip:port`; port 0 takes a free port.
        body_max_bytes: largest accepted body.
        body_timeout_s: time in which a request must arrive and its answer must be taken.
        threads_count: requests handled at once.
        waiting_connections_max: connections that wait for a thread before new ones get 503.
        connections_max: open connections before new ones get 503.
    """

    listen: str
    body_max_bytes: int = 1_048_576
    body_timeout_s: float = 10.0
    threads_count: int = 64
    waiting_connections_max: int = 1024
    connections_max: int = 4096


@attrs.frozen(slots=True, kw_only=True)
class MeshPeer:
    """Another entry VM."""

    address: str
    failure_domain: str
    region: str


@attrs.frozen(slots=True, kw_only=True)
class MeshSettings:
    """Transport between entry VMs.

    Args:
        listen: `ip:port` at which peers reach this daemon; peers answer to this address.
        peers: all other entry VMs.
        call_threads_count: calls from peers handled at once.
        queue_max_messages: messages that wait for one peer.
    """

    listen: str
    peers: list[MeshPeer] = attrs.field(factory=list)
    call_threads_count: int = 16
    queue_max_messages: int = 1000


@attrs.frozen(slots=True, kw_only=True)
class MetricsSettings:
    """Metrics in Prometheus text format.

    Args:
        listen: `ip:port`; port 0 takes a free port.
    """

    listen: str


@attrs.frozen(slots=True, kw_only=True)
class PlatformSettings:
    """Services of the platform.

    Args:
        log_url: base URL of the log service.
        vm_list_url: base URL of the VM list.
        retention_s: time after which the log may delete a record.
        timeout_s: time limit of one call to the log, the VM list or a worker.
    """

    log_url: str
    vm_list_url: str
    retention_s: float = 86_400.0
    timeout_s: float = 2.0


@attrs.frozen(slots=True, kw_only=True)
class SchedulingSettings:
    """Intervals and bounds of the scheduler and of the log writer.

    Args:
        holder_lease_s: holder lease of workers.
        task_lease_s: time after which a worker stops attempts without a renewal.
        renew_interval_s: time between renewals of held workers and targets.
        claim_interval_s: time between claims of a candidate.
        append_interval_s: shortest time between two appends.
        backlog_max_records: records kept while the log is down.
        log_poll_interval_s: time between reads of each stream.
        vm_list_interval_s: time between reads of the VM list.
        heartbeat_interval_s: time between heartbeats to peers of the domain.
        suspicion_s: silence after which a peer counts as failed.
        digest_interval_s: time between digests to other domains.
        decision_interval_s: time for which events are collected before a round of placement.
        share_window_s: window of the fair share.
        worker_calls_count: calls to workers made at once.
    """

    holder_lease_s: float = 5.0
    task_lease_s: float = 30.0
    renew_interval_s: float = 1.0
    claim_interval_s: float = 0.5
    append_interval_s: float = 0.1
    backlog_max_records: int = 10_000
    log_poll_interval_s: float = 1.0
    vm_list_interval_s: float = 2.0
    heartbeat_interval_s: float = 0.5
    suspicion_s: float = 2.0
    digest_interval_s: float = 1.0
    decision_interval_s: float = 0.01
    share_window_s: float = 60.0
    worker_calls_count: int = 16


@attrs.frozen(slots=True, kw_only=True)
class RoutingSettings:
    """Sending of requests to targets.

    Args:
        retry_ratio: retries earned by each request.
        sends_max: sends of one request, the first included.
        connect_timeout_s: time limit of a connection attempt to a target.
        status_interval_s: time between status reads of a target with slots in doubt.
        target_lease_s: holder lease of targets.
        idle_connection_max_s: age at which an unused connection is closed.
        answer_max_bytes: largest accepted answer of a target.
        key_lifetime_s: time for which a request key is remembered.
        queue_max_requests: waiting requests of all customers.
    """

    retry_ratio: float = 0.1
    sends_max: int = 2
    connect_timeout_s: float = 1.0
    status_interval_s: float = 1.0
    target_lease_s: float = 5.0
    idle_connection_max_s: float = 10.0
    answer_max_bytes: int = 1_048_576
    key_lifetime_s: float = 3600.0
    queue_max_requests: int = 10_000


@attrs.frozen(slots=True, kw_only=True)
class ShutdownSettings:
    """Graceful shutdown.

    Args:
        shutdown_deadline_s: time until work in progress is cut.
    """

    shutdown_deadline_s: float = 30.0


@attrs.frozen(slots=True, kw_only=True)
class LogSettings:
    """Log lines of the daemon.

    Args:
        level: `DEBUG`, `INFO`, `WARNING` or `ERROR`.
    """

    level: str = "INFO"


@attrs.frozen(slots=True, kw_only=True)
class Settings:
    """All settings of one daemon."""

    vm: VmSettings
    http: HttpSettings
    mesh: MeshSettings
    metrics: MetricsSettings
    platform: PlatformSettings
    scheduling: SchedulingSettings = attrs.field(factory=SchedulingSettings)
    routing: RoutingSettings = attrs.field(factory=RoutingSettings)
    shutdown: ShutdownSettings = attrs.field(factory=ShutdownSettings)
    logs: LogSettings = attrs.field(factory=LogSettings)


class LinkKind(Enum):
    """Distance between two entry VMs; traffic across regions is paid by volume."""

    IN_DOMAIN = "in_domain"
    IN_REGION = "in_region"
    CROSS_REGION = "cross_region"


def classify_peer_links(settings: Settings) -> dict[str, LinkKind]:
    """Return the kind of link to each peer, by mesh address."""
    links = {}
    for peer in settings.mesh.peers:
        if peer.failure_domain == settings.vm.failure_domain:
            links[peer.address] = LinkKind.IN_DOMAIN
        elif peer.region == settings.vm.region:
            links[peer.address] = LinkKind.IN_REGION
        else:
            links[peer.address] = LinkKind.CROSS_REGION
    return links


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of `ip:port` or `[ipv6]:port`.

    Example:
        >>> split_address("[::1]:80")
        ('::1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
