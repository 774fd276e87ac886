"""Faults that a history can inject, by name."""

import random
from collections.abc import Callable

import attrs

from fireflywharf_core.history import EntryVmDown, EntryVmUp, VmDied

from ._cluster import VirtualCluster

FAULT_START_S = 6.0
FAULT_END_S = 24.0


def _pick_entry_vm_name(cluster: VirtualCluster, rng: random.Random) -> str | None:
    """Return a serving entry VM, the acting scheduler with probability 0.5; None without any."""
    running = [name for name, entry in cluster.entry_vms.items() if entry.is_serving]
    acting = [n for n in running if cluster.entry_vms[n].application.scheduler.acting]
    if acting and rng.random() < 0.5:
        return acting[0]
    return rng.choice(running) if running else None


def _kill_and_restart(
    cluster: VirtualCluster, rng: random.Random, min_downtime_s: float, max_downtime_s: float
) -> None:
    """Kill an entry VM and start it again after a random downtime in seconds."""
    name = _pick_entry_vm_name(cluster, rng)
    if name is not None:
        cluster.kill_entry_vm(name)
        cluster.simulator.schedule_after(
            rng.uniform(min_downtime_s, max_downtime_s), lambda: cluster.start_entry_vm(name)
        )


def kill(cluster: VirtualCluster, rng: random.Random) -> None:
    """Kill an entry VM and start it again after 8 to 15 s."""
    _kill_and_restart(cluster, rng, 8.0, 15.0)


def restart(cluster: VirtualCluster, rng: random.Random) -> None:
    """Restart an entry VM with empty memory within 1 s."""
    _kill_and_restart(cluster, rng, 0.05, 1.0)


def pause(cluster: VirtualCluster, rng: random.Random) -> None:
    """Pause an entry VM, in most cases for longer than its leases, and resume it.

    Half of the pauses begin between the check of a lease and a call that relies on the lease.
    """
    name = _pick_entry_vm_name(cluster, rng)
    if name is None:
        return
    entry = cluster.entry_vms[name]
    simulator, recorder = cluster.simulator, cluster.recorder
    length_s = rng.uniform(1.0, 12.0)

    def resume() -> None:
        if entry.alive:
            entry.loop.paused = False
            recorder.add(EntryVmUp(time_s=simulator.now_s, entry_vm=name))

    def begin() -> float:
        entry.loop.paused = True
        recorder.add(EntryVmDown(time_s=simulator.now_s, entry_vm=name))
        simulator.schedule_after(length_s, resume)
        return length_s

    if rng.random() < 0.5:
        entry.application.context.pools.pause_before_effect = begin
    else:
        begin()


def worker_replaced(cluster: VirtualCluster, rng: random.Random) -> None:
    """Crash a worker and add a new one at a new address, with the same or another name."""
    name = rng.choice(sorted(cluster.workers))
    worker = cluster.workers.pop(name)
    worker.simulate_crash()
    cluster.recorder.add(VmDied(time_s=cluster.simulator.now_s, vm=name))
    del cluster.network.stand_ins[worker.vm.address]
    new_name = name if rng.random() < 0.5 else f"{name}-new"

    def replace() -> None:
        if new_name != name:
            cluster.vm_list.remove(name)
        cluster.add_worker(new_name)

    cluster.simulator.schedule_after(rng.uniform(0.0, 6.0), replace)


def target_leaving(cluster: VirtualCluster, rng: random.Random) -> None:
    """Mark a target as leaving, in the VM list and in its answers."""
    name = rng.choice(sorted(cluster.targets))
    cluster.targets[name].leaving = True
    cluster.vm_list.mark_leaving(name)


def log_down(cluster: VirtualCluster, rng: random.Random) -> None:
    """Let the log refuse connections for a while."""
    cluster.conditions.log_down = True

    def end() -> None:
        cluster.conditions.log_down = False

    cluster.simulator.schedule_after(rng.uniform(2.0, 12.0), end)


def log_slow(cluster: VirtualCluster, rng: random.Random) -> None:
    """Delay the log for a while, so much that some calls reach their time limit."""
    cluster.conditions.log_delay_s = rng.uniform(0.3, 1.6)

    def end() -> None:
        cluster.conditions.log_delay_s = 0.0

    cluster.simulator.schedule_after(rng.uniform(5.0, 15.0), end)


def log_answer_lost(cluster: VirtualCluster, rng: random.Random) -> None:
    """Lose some answers to appends for a while; the appends take effect."""
    cluster.conditions.log_answers_lost = rng.uniform(0.2, 0.8)

    def end() -> None:
        cluster.conditions.log_answers_lost = 0.0

    cluster.simulator.schedule_after(rng.uniform(5.0, 15.0), end)


def connection_silent(cluster: VirtualCluster, rng: random.Random) -> None:
    """Lose all answers of a target for a while."""
    name = rng.choice(sorted(cluster.targets))
    address = cluster.targets[name].vm.address
    cluster.conditions.silent.add(address)
    delay_s = rng.uniform(3.0, 15.0)
    cluster.simulator.schedule_after(delay_s, lambda: cluster.conditions.silent.discard(address))


def lagging_list(cluster: VirtualCluster, rng: random.Random) -> None:
    """Increase the lag of the VM list to between 5 and 20 s."""
    cluster.vm_list.lag_s = rng.uniform(5.0, 20.0)


def cancellations(cluster: VirtualCluster, rng: random.Random) -> None:
    """Submit many jobs and cancel them soon after."""
    cluster.load.submit_and_cancel_jobs(rng.randrange(20, 40))


def failing_worker(cluster: VirtualCluster, rng: random.Random) -> None:
    """Let every attempt that a worker starts fail."""
    cluster.failing_workers.add(rng.choice(sorted(cluster.workers)))


def contract_race(cluster: VirtualCluster, rng: random.Random) -> None:
    """Make conflicting contract changes at the same time, once or more often."""
    for customer in cluster.customers:
        cluster.load.apply_concurrent_changes(customer, 4)
    if rng.random() < 0.7:
        cluster.simulator.schedule_after(rng.uniform(0.1, 2.0), lambda: contract_race(cluster, rng))


def network_faults(cluster: VirtualCluster, rng: random.Random) -> None:
    """Lose and delay some calls and answers for a while."""
    cluster.conditions.lost_before = rng.uniform(0.0, 0.1)
    cluster.conditions.lost_after = rng.uniform(0.0, 0.1)
    cluster.conditions.slow = rng.uniform(0.0, 0.1)

    def end() -> None:
        cluster.conditions.lost_before = cluster.conditions.lost_after = 0.0
        cluster.conditions.slow = 0.0

    cluster.simulator.schedule_after(rng.uniform(5.0, 15.0), end)


def no_action(_: VirtualCluster, __: random.Random) -> None:
    """Do nothing: the fault is part of the settings of the cluster."""


@attrs.frozen
class Fault:
    """One kind of fault.

    Args:
        start: injects the fault, and schedules its end if it has one.
        times_max: largest number of times that the fault is injected in one history.
    """

    start: Callable[[VirtualCluster, random.Random], None]
    times_max: int = 1


FAULTS: dict[str, Fault] = {
    "kill": Fault(kill, 2),
    "pause": Fault(pause, 3),
    "restart": Fault(restart, 3),
    "worker replaced": Fault(worker_replaced, 2),
    "target leaving": Fault(target_leaving),
    "log down": Fault(log_down, 2),
    "log slow": Fault(log_slow),
    "log answer lost": Fault(log_answer_lost),
    "records truncated": Fault(no_action),
    "connection silent": Fault(connection_silent, 2),
    "lagging list": Fault(lagging_list),
    "wrong sizes": Fault(no_action),
    "cancellations": Fault(cancellations, 2),
    "failing worker": Fault(failing_worker),
    "contract race": Fault(contract_race),
    "calls lost": Fault(network_faults, 2),
}


def plan_faults(cluster: VirtualCluster, names: tuple[str, ...], rng: random.Random) -> None:
    """Schedule each named fault at one or more random times."""
    for name in names:
        fault = FAULTS[name]
        for _ in range(rng.randint(1, fault.times_max)):
            at_s = rng.uniform(FAULT_START_S, FAULT_END_S)
            cluster.simulator.schedule_at(at_s, lambda start=fault.start: start(cluster, rng))
