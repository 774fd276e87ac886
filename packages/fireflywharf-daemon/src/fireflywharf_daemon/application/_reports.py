"""Heartbeats, digests and gauges, built from the state of the components."""

from typing import TYPE_CHECKING

from fireflywharf_core.messages import DomainDigest, Heartbeat

if TYPE_CHECKING:
    from ._application import Application


def make_heartbeat(application: "Application", sequence: int) -> Heartbeat:
    """Return the own heartbeat."""
    context = application.context
    requests = application.requests
    return Heartbeat(
        incarnation=context.incarnation,
        vm_name=context.settings.vm.name,
        domain=context.domain,
        sequence=sequence,
        draining=context.draining,
        scheduler=application.scheduler.acting,
        held_workers_count=len(application.scheduler.gateway.held()),
        slots=requests.router.service_slots(context.now_s()),
        contracts_offset=application.contracts.registry.offset,
        jobs_offset=application.jobs_fold.offset_,
        queued_requests_count=requests.router.queued_count,
        mesh_address=context.settings.mesh.listen,
    )


def make_digest(application: "Application", sequence: int) -> DomainDigest | None:
    """Return the digest of the domain; None unless this process is its scheduler."""
    scheduler = application.scheduler
    if not scheduler.acting:
        return None
    context = application.context
    free, largest_free = scheduler.free()
    return DomainDigest(
        incarnation=context.incarnation,
        vm_name=context.settings.vm.name,
        domain=context.domain,
        region=context.settings.vm.region,
        sequence=sequence,
        free=free,
        largest_free=largest_free,
        slots=application.requests.router.service_slots(context.now_s()),
        contracts_offset=application.contracts.registry.offset,
        set_aside_workers_count=scheduler.core.set_aside_count,
        set_aside_targets_count=len(application.requests.router.set_aside_targets()),
        mesh_address=context.settings.mesh.listen,
    )


def update_gauges(application: "Application") -> None:
    """Copy the present state into the metrics."""
    metrics = application.context.metrics
    metrics.set_log_available(application.log_available)
    metrics.set_scheduler(application.scheduler.acting)
    metrics.set_held(
        workers_count=len(application.scheduler.gateway.held()),
        targets_count=len(application.requests.targets.held()),
    )
    metrics.set_queued_requests(application.requests.router.queued_count)
    metrics.set_routing_counters(application.requests.router.counters)
    for name, stream in application.streams.items():
        metrics.set_stream(
            name,
            appends_count=stream.writer.appends_count_,
            backlog_count=stream.writer.backlog_count,
            next_offset=stream.reader.next_offset,
        )
