"""Data classes of the settings."""

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
    """HTTP interface for callers and operators.

    Args:
        listen: `ip:port`; port 0 selects a free port.
        body_max_bytes: largest accepted request body.
        body_timeout_s: time limit for receiving a request, and for sending its response.
        threads_count: number of requests handled concurrently.
        waiting_connections_max: maximum number of connections waiting for a thread; further
            connections get status 503.
        connections_max: maximum number of open connections; further connections get status 503.
    """

    listen: str
    body_max_bytes: int = 1_048_576
    body_timeout_s: float = 10.0
    threads_count: int = 64
    waiting_connections_max: int = 1024
    connections_max: int = 4096


@attrs.frozen(slots=True, kw_only=True)
class MeshPeer:
    """Another entry VM.

    Args:
        address: `ip:port` at which the peer listens for mesh connections.
        failure_domain: failure domain of the peer.
        region: region of that failure domain.
    """

    address: str
    failure_domain: str
    region: str


@attrs.frozen(slots=True, kw_only=True)
class MeshSettings:
    """Transport between entry VMs.

    Args:
        listen: `ip:port` at which this daemon accepts connections of peers, and to which peers
            send their replies.
        peers: all other entry VMs.
        call_threads_count: number of calls from peers handled concurrently.
        queue_max_messages: maximum number of messages queued for one peer.
    """

    listen: str
    peers: list[MeshPeer] = attrs.field(factory=list)
    call_threads_count: int = 16
    queue_max_messages: int = 1000


@attrs.frozen(slots=True, kw_only=True)
class MetricsSettings:
    """Metrics in Prometheus text format.

    Args:
        listen: `ip:port`; port 0 selects a free port.
    """

    listen: str


@attrs.frozen(slots=True, kw_only=True)
class PlatformSettings:
    """Services of the platform.

    Args:
        log_url: base URL of the log service.
        vm_list_url: base URL of the VM list.
        retention_s: minimum time for which the log keeps a record.
        timeout_s: time limit of one call to the log, the VM list or a worker.
    """

    log_url: str
    vm_list_url: str
    retention_s: float = 86_400.0
    timeout_s: float = 2.0


@attrs.frozen(slots=True, kw_only=True)
class SchedulingSettings:
    """Intervals and limits of the scheduler and of the log writer.

    Args:
        holder_lease_s: duration of the holder lease on a worker.
        task_lease_s: time after which a worker stops attempts whose lease was not renewed.
        renew_interval_s: interval between lease renewals of held workers and targets.
        claim_interval_s: interval between claims of a candidate for scheduler.
        append_interval_s: minimum time between two appends to the log.
        backlog_max_records: maximum number of records buffered while the log is unavailable.
        log_poll_interval_s: interval between reads of each stream.
        vm_list_interval_s: interval between reads of the VM list.
        heartbeat_interval_s: interval between heartbeats to peers of the domain.
        suspicion_s: time without a heartbeat after which a peer is considered failed.
        digest_interval_s: interval between digests to other domains.
        decision_interval_s: time for which events are batched before a placement round.
        share_window_s: time window over which fair shares are computed.
        worker_calls_count: number of concurrent calls to workers.
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
    """Routing of requests to targets.

    Args:
        retry_ratio: number of retries that each request adds to the retry budget.
        sends_max: maximum number of sends of one request, including the first.
        connect_timeout_s: time limit of a connection attempt to a target.
        status_interval_s: interval between status reads of a target while it is unknown whether
            some of its slots are free.
        target_lease_s: duration of the holder lease on a target.
        idle_connection_max_s: time after which an idle connection is closed.
        answer_max_bytes: largest accepted response body of a target.
        key_lifetime_s: time for which a request key is remembered.
        queue_max_requests: maximum number of waiting requests of all customers.
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
        shutdown_deadline_s: time for work in progress to finish before it is aborted.
    """

    shutdown_deadline_s: float = 30.0


@attrs.frozen(slots=True, kw_only=True)
class LogSettings:
    """Log lines of the daemon.

    Args:
        level: lowest level that is logged: `DEBUG`, `INFO`, `WARNING` or `ERROR`.
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
    """Kind of link between two entry VMs; cross-region traffic is billed by volume."""

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
    """Split `ip:port` or `[ipv6]:port` into host and port.

    Example:
        >>> split_address("[::1]:80")
        ('::1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
