"""Checks that involve more than one field of the settings."""

from collections.abc import Iterator, Mapping
from typing import Any

from fireflywharf_core.results import Problem, ResultCode

from ._settings import MeshSettings, SchedulingSettings, VmSettings, split_address


def _build_problem(field: str, value: Any, accepted: str) -> Problem:
    return Problem(ResultCode.INVALID_SETTINGS, field, repr(value), accepted)


def _check_peers(vm: VmSettings | None, mesh: MeshSettings) -> Iterator[Problem]:
    seen = {mesh.listen}
    regions = {} if vm is None else {vm.failure_domain: vm.region}
    for index, peer in enumerate(mesh.peers):
        path = f"mesh.peers[{index}]"
        if peer.address in seen:
            yield _build_problem(
                f"{path}.address", peer.address, "each peer once, and not mesh.listen itself"
            )
        seen.add(peer.address)
        region = regions.setdefault(peer.failure_domain, peer.region)
        if region != peer.region:
            accepted = f"{region}, as elsewhere for failure domain {peer.failure_domain}"
            yield _build_problem(f"{path}.region", peer.region, accepted)


def _check_scheduling(scheduling: SchedulingSettings) -> Iterator[Problem]:
    # A peer that is alive must not become suspect after two lost heartbeats in a row.
    if scheduling.suspicion_s < 3 * scheduling.heartbeat_interval_s:
        accepted = "at least three times scheduling.heartbeat_interval_s"
        yield _build_problem("scheduling.suspicion_s", scheduling.suspicion_s, accepted)
    # A lease must not expire after one lost renewal.
    if scheduling.renew_interval_s > scheduling.holder_lease_s / 3:
        accepted = "at most a third of scheduling.holder_lease_s"
        yield _build_problem("scheduling.renew_interval_s", scheduling.renew_interval_s, accepted)
    # Attempts must survive a scheduler failover, which takes up to one holder lease.
    if scheduling.task_lease_s < 2 * scheduling.holder_lease_s:
        accepted = "at least twice scheduling.holder_lease_s"
        yield _build_problem("scheduling.task_lease_s", scheduling.task_lease_s, accepted)


def _check_listeners(sections: Mapping[str, Any]) -> Iterator[Problem]:
    seen: dict[str, str] = {}
    for name in ("http", "mesh", "metrics"):
        if sections[name] is None or split_address(sections[name].listen)[1] == 0:
            continue
        listen = sections[name].listen
        if listen in seen:
            yield _build_problem(
                f"{name}.listen", listen, f"an address other than {seen[listen]}.listen"
            )
        seen.setdefault(listen, name)


def cross_check(sections: Mapping[str, Any]) -> list[Problem]:
    """Check constraints between fields of one or several sections.

    Args:
        sections: parsed sections by name; None for an invalid section, whose checks are skipped.

    Returns:
        All problems found.
    """
    problems = list(_check_listeners(sections))
    vm, mesh, platform = sections["vm"], sections["mesh"], sections["platform"]
    scheduling, routing = sections["scheduling"], sections["routing"]
    if mesh is not None:
        problems.extend(_check_peers(vm, mesh))
    if scheduling is not None:
        problems.extend(_check_scheduling(scheduling))
    if scheduling and routing and scheduling.renew_interval_s > routing.target_lease_s / 3:
        accepted = "at least three times scheduling.renew_interval_s"
        problems.append(_build_problem("routing.target_lease_s", routing.target_lease_s, accepted))
    # The log must keep the claim of a key for longer than the key is valid; otherwise a retry could
    # run the request again.
    if routing and platform and routing.key_lifetime_s > platform.retention_s / 2:
        accepted = "at most half of platform.retention_s"
        problems.append(_build_problem("routing.key_lifetime_s", routing.key_lifetime_s, accepted))
    return problems
