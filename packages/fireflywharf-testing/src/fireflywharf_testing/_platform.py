"""All stand-ins of one platform, in one process."""

import pathlib
import threading
import time
from collections.abc import Callable, Iterator
from typing import TypeVar

import attrs

from fireflywharf_core.history import VmDied
from fireflywharf_core.platform import VmInfo, VmRole

from ._faults import NO_FAULTS, FaultSettings, parse_faults
from ._log import LogSettings, LogStandIn
from ._ports import reserve_port
from ._recorder import HistoryRecorder
from ._server import Answer, Call, StandInServer, json_answer
from ._target import TargetSettings, TargetStandIn
from ._task import CheckpointStore
from ._topology import Domain, TargetGroup, Topology, WorkerGroup
from ._vm_list import VmListStandIn
from ._worker import WorkerSettings, WorkerStandIn

LOG_THREADS = 8
VM_LIST_THREADS = 3
WORKER_THREADS = 2
TARGET_SPARE_THREADS = 3
ADVANCE_INTERVAL_S = 0.05

T = TypeVar("T")


class Platform:
    """Runs the stand-ins for log, VM list, workers and targets, and a control server.

    The log and the VM list have one server per failure domain (`log-DOMAIN`, `vms-DOMAIN`) over
    shared state, so that a fault can make them unreachable for a single domain.

    Args:
        topology: failure domains and settings of the stand-ins.
        effects_path: file for the history records as JSON lines; None keeps them in memory only.

    Example:
        >>> from fireflywharf_testing import Domain, Platform, Topology, WorkerGroup
        >>> domain = Domain(name="centro", region="centro", workers=[WorkerGroup(count=2)])
        >>> with Platform(Topology(domains=[domain])) as platform:
        ...     sorted(platform.workers)
        ['centro-worker-1', 'centro-worker-2']
    """

    def __init__(self, topology: Topology, effects_path: pathlib.Path | None = None) -> None:
        self.topology = topology
        self.effects_path = effects_path
        self.recorder = HistoryRecorder(effects_path)
        self.checkpoints = CheckpointStore()
        self.log = LogStandIn(
            LogSettings(
                appends_per_second=topology.appends_per_second,
                retention_s=topology.retention_s,
                retention_records=topology.retention_records,
            ),
            self.recorder,
        )
        self.vm_list = VmListStandIn(topology.vm_list_lag_s, self.recorder)
        self.workers: dict[str, WorkerStandIn] = {}
        self.targets: dict[str, TargetStandIn] = {}
        self.servers: dict[str, StandInServer] = {}
        self.entry_vms: dict[str, VmInfo] = {}
        self._stopping = threading.Event()
        self._advance_thread: threading.Thread | None = None

    def __enter__(self) -> "Platform":
        return self.start()

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start(self) -> "Platform":
        """Start all stand-ins, fill the VM list and return the platform."""
        self._add_server("control", self._handle_control, VM_LIST_THREADS)
        for domain in self.topology.domains:
            self._add_server(f"log-{domain.name}", self.log.handle, LOG_THREADS)
            self._add_server(f"vms-{domain.name}", self._vm_list_handler(domain), VM_LIST_THREADS)
        vms = [vm for domain in self.topology.domains for vm in self._create_vms(domain)]
        _in_parallel([server.start for server in self.servers.values()])
        self.vm_list.add(*(self._with_address(vm) for vm in vms))
        self._advance_thread = threading.Thread(target=self._advance_workers, daemon=True)
        self._advance_thread.start()
        return self

    def stop(self) -> None:
        """Stop all stand-ins and close the effects file."""
        self._stopping.set()
        for server in self.servers.values():
            server.refuse()
        for target in self.targets.values():
            target.simulate_crash()
        _in_parallel([server.stop for server in self.servers.values()])
        if self._advance_thread is not None:
            self._advance_thread.join()
        self.recorder.close()

    def addresses(self) -> dict[str, object]:
        """Return the `ip:port` addresses of all stand-ins and entry VMs, by kind and name."""
        names = [domain.name for domain in self.topology.domains]
        return {
            "control": self.servers["control"].address,
            "log": {name: self.servers[f"log-{name}"].address for name in names},
            "vm_list": {name: self.servers[f"vms-{name}"].address for name in names},
            "entry_vms": {name: vm.address for name, vm in self.entry_vms.items()},
            "workers": {name: self.servers[name].address for name in self.workers},
            "targets": {name: self.servers[name].address for name in self.targets},
        }

    def set_faults(self, name: str, settings: FaultSettings = NO_FAULTS) -> None:
        """Set the faults of the stand-in `name`: a VM name, `log-DOMAIN` or `vms-DOMAIN`."""
        self.servers[name].set_faults(settings)

    def set_log_fault(self, domain: str | None = None, down: str = "refuse") -> None:
        """Make the log unreachable for a failure domain, or reachable again.

        Args:
            domain: failure domain; None for all.
            down: kind of outage as in `FaultSettings`; empty ends the outage.
        """
        names = (
            [domain]
            if domain
            else [topology_domain.name for topology_domain in self.topology.domains]
        )
        settings = FaultSettings(down=down)
        _in_parallel([lambda n=name: self.set_faults(f"log-{n}", settings) for name in names])

    def mark_leaving(self, name: str) -> None:
        """Mark a VM as leaving: in its own answers at once, in the VM list after the lag."""
        stand_in = self.workers.get(name) or self.targets.get(name)
        self.vm_list.mark_leaving(name)
        if stand_in is not None:
            stand_in.leaving = True

    def kill_vm(self, name: str) -> None:
        """Crash a worker or target, which loses what it runs; the VM list does not change."""
        stand_in = self.workers.get(name) or self.targets[name]
        self.servers[name].refuse()
        stand_in.simulate_crash()
        self.recorder.add(VmDied(time_s=time.monotonic(), vm=name))
        self.servers[name].set_faults(FaultSettings(down="refuse"))

    def restart_vm(self, name: str) -> None:
        """Start a crashed worker or target again, with a new boot id and its former epoch."""
        self.servers[name].set_faults(NO_FAULTS)

    def add_worker(self, domain: str, group: WorkerGroup) -> list[str]:
        """Add a group of workers to a running platform and return their names."""
        topology_domain = next(item for item in self.topology.domains if item.name == domain)
        start = sum(1 for worker in self.workers.values() if worker.vm.failure_domain == domain)
        return self._start_vms(list(self._create_workers(topology_domain, group, start)))

    def add_target(self, domain: str, group: TargetGroup) -> list[str]:
        """Add a group of targets to a running platform and return their names."""
        topology_domain = next(item for item in self.topology.domains if item.name == domain)
        start = sum(1 for target in self.targets.values() if target.vm.failure_domain == domain)
        return self._start_vms(list(self._create_targets(topology_domain, group, start)))

    def _start_vms(self, vms: list[VmInfo]) -> list[str]:
        """Start the servers of workers or targets and add these to the VM list."""
        names = [vm.name for vm in vms]
        _in_parallel([self.servers[name].start for name in names])
        self.vm_list.add(*(self._with_address(vm) for vm in vms))
        return names

    def _create_vms(self, domain: Domain) -> Iterator[VmInfo]:
        """Create the stand-ins of a failure domain; yield its VMs, also the entry VMs."""
        for number in range(1, domain.entry_vms_count + 1):
            vm = VmInfo(
                name=f"{domain.name}-entry-{number}",
                role=VmRole.ENTRY,
                address=f"{self.topology.host}:{reserve_port(self.topology.host)}",
                region=domain.region,
                failure_domain=domain.name,
            )
            self.entry_vms[vm.name] = vm
            yield vm
        start = 0
        for group in domain.workers:
            yield from self._create_workers(domain, group, start)
            start += group.count
        start = 0
        for target_group in domain.targets:
            yield from self._create_targets(domain, target_group, start)
            start += target_group.count

    def _create_workers(self, domain: Domain, group: WorkerGroup, start: int) -> Iterator[VmInfo]:
        topology = self.topology
        settings = WorkerSettings(
            task_lease_s=topology.task_lease_s,
            usage_lag_s=topology.usage_lag_s,
            default_run_s=topology.default_run_s,
            time_scale=topology.time_scale,
        )
        for index in range(start, start + group.count):
            vm = VmInfo(
                name=f"{domain.name}-worker-{index + 1}",
                role=VmRole.WORKER,
                address="",
                region=domain.region,
                failure_domain=domain.name,
                rack=f"{domain.name}-rack-{index // group.rack_size + 1}",
                capacity=group.capacity,
            )
            worker = WorkerStandIn(vm, settings, self.recorder, self.checkpoints)
            self.workers[vm.name] = worker
            self._add_server(vm.name, worker.handle, WORKER_THREADS)
            yield vm

    def _create_targets(self, domain: Domain, group: TargetGroup, start: int) -> Iterator[VmInfo]:
        settings = TargetSettings(
            service_ms=group.service_ms,
            service_sigma=group.service_sigma,
            straggler_percent=group.straggler_percent,
            straggler_factor=group.straggler_factor,
            time_scale=self.topology.time_scale,
            seed=self.topology.seed,
        )
        for index in range(start, start + group.count):
            vm = VmInfo(
                name=f"{domain.name}-target-{index + 1}",
                role=VmRole.TARGET,
                address="",
                region=domain.region,
                failure_domain=domain.name,
                rack=f"{domain.name}-rack-{index // 8 + 1}",
                service=group.service,
                slots_count=group.slots_count,
                connections_count=group.connections_count,
            )
            target = TargetStandIn(vm, settings, self.recorder)
            self.targets[vm.name] = target
            threads_count = group.slots_count + TARGET_SPARE_THREADS
            self._add_server(vm.name, target.handle, threads_count, group.connections_count)
            yield vm

    def _add_server(
        self,
        name: str,
        handler: Callable[[Call], Answer],
        threads_count: int,
        connections_count: int | None = None,
    ) -> None:
        self.servers[name] = StandInServer(
            name, handler, threads_count, connections_count, self.topology.host
        )

    def _vm_list_handler(self, domain: Domain) -> Callable[[Call], Answer]:
        name = f"vms-{domain.name}"
        return lambda call: self.vm_list.handle(call, self.servers[name].faults.lag_s)

    def _with_address(self, vm: VmInfo) -> VmInfo:
        """Return `vm` with the address of its server; entry VMs have their address already."""
        if vm.name not in self.servers:
            return vm
        return attrs.evolve(vm, address=self.servers[vm.name].address)

    def _advance_workers(self) -> None:
        """Advance all workers every `ADVANCE_INTERVAL_S` until the platform stops."""
        while not self._stopping.wait(ADVANCE_INTERVAL_S):
            for name, worker in list(self.workers.items()):
                worker.extra_lag_s = self.servers[name].faults.lag_s
                worker.advance()

    def _handle_control(self, call: Call) -> Answer:
        """Answer a control call: `/v1/addresses`, `/v1/vms/NAME/ACTION` or `/v1/faults/NAME`."""
        parts = call.path.strip("/").split("/")
        if call.method == "GET" and parts == ["v1", "addresses"]:
            return json_answer(self.addresses())
        actions = {
            "leaving": self.mark_leaving,
            "kill": self.kill_vm,
            "restart": self.restart_vm,
            "remove": self.vm_list.remove,
        }
        match (call.method, *parts):
            case ("POST", "v1", "vms", name, action) if action in actions:
                if name not in {vm.name for vm in self.vm_list.current_vms()}:
                    return json_answer({"detail": f"no such VM: {name}"}, 404)
                actions[action](name)
                return json_answer({})
            case ("POST", "v1", "faults", name) if name in self.servers and name != "control":
                settings, problems = parse_faults(call.json())
                if settings is None:
                    return json_answer({"problems": [str(problem) for problem in problems]}, 400)
                self.set_faults(name, settings)
                return json_answer(settings)
        return json_answer({"detail": f"no such route: {call.method} {call.path}"}, 404)


def _in_parallel(actions: list[Callable[[], object]]) -> None:
    """Run each action in a thread of its own and raise the first error.

    Starting or stopping a server takes up to half a second.
    """
    errors: list[BaseException] = []

    def run(action: Callable[[], object]) -> None:
        try:
            action()
        except Exception as error:
            errors.append(error)

    threads = [threading.Thread(target=run, args=[action]) for action in actions]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if errors:
        raise errors[0]


def wait_until(condition: Callable[[], T], timeout_s: float, step_s: float = 0.02) -> T:
    """Poll a condition until its value is true or the time limit has passed.

    Args:
        condition: function to poll.
        timeout_s: time limit in seconds.
        step_s: time between two calls in seconds.

    Returns:
        The first true value, or the last value after the time limit.
    """
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        value = condition()
        if value:
            return value
        time.sleep(step_s)
    return condition()
