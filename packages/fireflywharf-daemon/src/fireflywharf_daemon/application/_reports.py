"""Heartbeats, digests and metrics gauges from the state of the components."""

from fireflywharf_core.messages import DomainDigest, Heartbeat

from ._components import ApplicationComponents


def make_heartbeat(application: ApplicationComponents, sequence: int) -> Heartbeat:
    """Return a heartbeat with the current state of this process."""
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


def make_digest(application: ApplicationComponents, sequence: int) -> DomainDigest | None:
    """Return the digest of the domain, or None unless this process is the scheduler."""
    scheduler = application.scheduler
    if not scheduler.acting:
        return None
    context = application.context
    free, largest_free = scheduler.free_resources()
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
        set_aside_targets_count=len(application.requests.router.ejected_targets()),
        mesh_address=context.settings.mesh.listen,
    )


def update_gauges(application: ApplicationComponents) -> None:
    """Set the gauges of the metrics to the current state of the components."""
    metrics = application.context.metrics
    router = application.requests.router
    now_s = application.context.now_s()
    metrics.set_log(
        available=application.log_available,
        backlog_count=sum(row.writer.backlog_count for row in application.streams.values()),
    )
    metrics.set_leases(
        scheduler=application.scheduler.acting,
        workers_count=len(application.scheduler.gateway.held()),
        targets_count=len(application.requests.targets.held()),
    )
    metrics.set_state(
        ready=application.ready, live_peers_count=len(application.membership.live_peers())
    )
    slots = router.service_slots(now_s)
    metrics.set_slots(
        {row.service: row.free_count for row in slots},
        {row.service: row.total_count for row in slots},
    )
    customers = application.contracts.registry.current()
    metrics.set_waiting(
        {customer: router.queued_count_of(customer) for customer in customers},
        application.scheduler.waiting_tasks_by_customer(),
    )
    metrics.copy_routing_counters(router.counters)
