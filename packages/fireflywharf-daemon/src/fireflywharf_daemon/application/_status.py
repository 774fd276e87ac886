"""Status of the daemon for operators."""

from ..http import CustomerStatus, DaemonStatus, DomainStatus, PeerStatus, TargetRow
from ._components import ApplicationComponents


def describe_status(application: ApplicationComponents) -> DaemonStatus:
    """Return the status of the daemon, its peers, domains, customers and targets."""
    context = application.context
    vm = context.settings.vm
    return DaemonStatus(
        vm_name=vm.name,
        incarnation=context.incarnation,
        domain=vm.failure_domain,
        region=vm.region,
        scheduler=application.scheduler.acting,
        ready=application.ready,
        draining=context.draining,
        log_available=application.log_available,
        peers=_describe_peers(application),
        domains=_describe_domains(application),
        offsets={name: stream.reader.next_offset for name, stream in application.streams.items()},
        customers=_describe_customers(application),
        targets=_describe_targets(application),
    )


def _describe_peers(application: ApplicationComponents) -> list[PeerStatus]:
    now_s = application.context.now_s()
    peers = application.membership.peers
    rows = [(row, True) for row in peers.peers(now_s)]
    rows += [(row, False) for row in peers.suspected(now_s)]
    return [
        PeerStatus(
            vm_name=row.vm_name,
            incarnation=row.incarnation,
            domain=row.domain,
            address=row.mesh_address,
            alive=alive,
            silent_s=peers.silent_s(row.vm_name, now_s),
        )
        for row, alive in sorted(rows, key=lambda pair: pair[0].vm_name)
    ]


def _describe_domains(application: ApplicationComponents) -> list[DomainStatus]:
    settings = application.context.settings
    lost = application.jobs_fold.lost_domains_
    live = {row.digest.domain: row.digest for row in application.membership.live_remote_domains()}
    regions = {peer.failure_domain: peer.region for peer in settings.mesh.peers}
    rows = []
    for domain, region in sorted(regions.items()):
        digest = live.get(domain)
        is_local = domain == application.context.domain
        rows.append(
            DomainStatus(
                domain=domain,
                region=region,
                reachable=is_local or digest is not None,
                lost=domain in lost,
                scheduler="" if digest is None else digest.incarnation,
                set_aside_workers_count=0 if digest is None else digest.set_aside_workers_count,
                set_aside_targets_count=0 if digest is None else digest.set_aside_targets_count,
            )
        )
    return rows


def _describe_customers(application: ApplicationComponents) -> list[CustomerStatus]:
    core = application.scheduler.core
    rows = []
    for customer in sorted(application.contracts.registry.current()):
        jobs = [] if core is None else core.jobs_of_customer(customer)
        rows.append(
            CustomerStatus(
                customer=customer,
                waiting_requests_count=application.requests.router.queued_count_of(customer),
                waiting_tasks_count=sum(job.tasks_waiting_count for job in jobs),
                running_tasks_count=sum(job.tasks_running_count for job in jobs),
                share=0.0 if core is None else core.customer_share(customer),
            )
        )
    return rows


def _describe_targets(application: ApplicationComponents) -> list[TargetRow]:
    set_aside_names = set(application.requests.router.ejected_targets())
    held = application.requests.targets.held()
    return [
        TargetRow(
            name=name,
            service=vm.service,
            held=name in held,
            free_slots_count=application.requests.router.free_slots_count(name),
            slots_count=vm.slots_count,
            set_aside=name in set_aside_names,
            leaving=vm.state.value == "leaving",
        )
        for name, vm in sorted(application.requests.targets.vms.items())
    ]
