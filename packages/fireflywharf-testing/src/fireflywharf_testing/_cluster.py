"""Test cluster: a platform of stand-ins with one daemon per entry VM."""

import http.client
import logging
import pathlib
import shutil
import tempfile
import threading
import time
from collections.abc import Collection, Iterator, Mapping
from typing import Any

import attrs
import tomli_w

from fireflywharf_core.history import (
    EntryVmDown,
    EntryVmUp,
    History,
    ShutdownFinished,
    ShutdownRequested,
    Violation,
    check_history,
)
from fireflywharf_core.platform import VmInfo

from ._caller import RecordingCaller
from ._nodes import EmbeddedNode, MeshPartition, ProcessNode
from ._platform import Platform, wait_until
from ._ports import reserve_port
from ._topology import Topology

READY_TIMEOUT_S = 30.0
SHUTDOWN_TIMEOUT_S = 45.0
CALL_TIMEOUT_S = 5.0


@attrs.frozen(slots=True)
class ShutdownResult:
    """Result of a graceful shutdown.

    Args:
        exit_status: exit status of the daemon.
        elapsed_s: time from the request to the end in seconds.
    """

    exit_status: int
    elapsed_s: float


class Cluster:
    """Runs a platform and the daemons of its entry VMs, and injects faults.

    Daemons run as separate processes, except those of the domains in `embedded`, which run in
    threads of this process. Embedded daemons cannot be killed or paused. Mesh traffic between two
    failure domains can be blocked only if at least one of them is embedded.

    Args:
        topology: stand-ins and entry VMs to start.
        embedded: failure domains whose daemons run in this process.
        settings: settings of all daemons by section; they override the generated ones.
        folder: folder for settings files and logs; None creates a temporary one and removes it at
            the end.

    Example:
        >>> from fireflywharf_testing import Cluster, Domain, Topology, WorkerGroup
        >>> domain = Domain(name="centro", region="centro", workers=[WorkerGroup()])
        >>> with Cluster(Topology(domains=[domain])) as cluster:
        ...     cluster.status("centro-entry-1")["ready"]
        True
    """

    def __init__(
        self,
        topology: Topology,
        embedded: Collection[str] = (),
        settings: Mapping[str, Mapping[str, Any]] | None = None,
        folder: pathlib.Path | None = None,
    ) -> None:
        self.topology = topology
        self.embedded = embedded
        self.settings = settings
        self.folder = folder
        self.platform = Platform(topology)
        self.recorder = self.platform.recorder
        self.nodes: dict[str, ProcessNode | EmbeddedNode] = {}
        self._metrics_addresses: dict[str, str] = {}
        self._mesh_partition = MeshPartition({})
        self._lock = threading.Lock()
        self._callers: dict[str, RecordingCaller] = {}

    def __enter__(self) -> "Cluster":
        return self.start()

    def __exit__(self, *_: object) -> None:
        self.stop()

    @property
    def entry_vms(self) -> dict[str, str]:
        """Address `ip:port` of the HTTP interface by name of the entry VM."""
        return {name: vm.address for name, vm in self.platform.entry_vms.items()}

    def entry_vm_names(self, domain: str) -> list[str]:
        """Return the names of the entry VMs of a failure domain."""
        vms = self.platform.entry_vms.values()
        return [vm.name for vm in vms if vm.failure_domain == domain]

    # Start and stop.

    def start(self) -> "Cluster":
        """Start the platform and all daemons; wait until they are ready and have schedulers.

        Raises:
            TimeoutError: a daemon is not ready or a domain has no scheduler after
                `READY_TIMEOUT_S`.
        """
        self._folder = self.folder or pathlib.Path(tempfile.mkdtemp(prefix="fireflywharf-"))
        try:
            self.platform.start()
            self._create_nodes()
            for node in self.nodes.values():
                node.start()
            self._wait_until_ready(list(self.nodes))
            self.wait_schedulers()
        except BaseException:
            self.stop()
            raise
        return self

    def stop(self) -> None:
        """Stop all daemons and the platform; daemons in processes are killed by process id."""
        for node in self.nodes.values():
            if isinstance(node, ProcessNode):
                node.kill()
            elif node.running:
                node.request_stop()
        for node in self.nodes.values():
            if isinstance(node, EmbeddedNode) and node.running:
                node.wait(SHUTDOWN_TIMEOUT_S)
        self.platform.stop()
        if self.folder is None:
            shutil.rmtree(self._folder, ignore_errors=True)

    def wait_schedulers(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until each failure domain with workers has a scheduler.

        Args:
            timeout_s: time limit per failure domain in seconds.

        Raises:
            TimeoutError: a domain has no scheduler after the time limit.
        """
        names = [domain.name for domain in self.topology.domains if domain.workers]
        for name in names:
            if not wait_until(lambda n=name: self.scheduler(n) is not None, timeout_s):
                raise TimeoutError(f"failure domain {name} has no scheduler after {timeout_s} s")

    # Faults.

    def kill(self, vm: str) -> None:
        """Kill the daemon of an entry VM."""
        since_s = time.monotonic()
        self._record_entry_vm_down(vm)
        self.nodes[vm].kill()
        # Recorded again with the time before the kill: calls that broke between the death of the
        # process and its detection by this parent process are excused.
        self.recorder.add(
            EntryVmDown(time_s=time.monotonic(), since_s=since_s, entry_vm=vm, killed=True)
        )

    def pause(self, vm: str) -> None:
        """Suspend the process of an entry VM."""
        self._record_entry_vm_down(vm)
        self.nodes[vm].pause()

    def resume(self, vm: str) -> None:
        """Resume the suspended process of an entry VM and wait until it is ready."""
        self.nodes[vm].resume()
        self._wait_until_ready([vm])

    def restart(self, vm: str) -> None:
        """Start an entry VM again at the same addresses, after a kill if it still runs."""
        if self.nodes[vm].running:
            self.kill(vm)
        self.nodes[vm].start()
        self._wait_until_ready([vm])

    def terminate(self, vm: str) -> ShutdownResult:
        """Shut an entry VM down gracefully and wait for its end.

        Raises:
            TimeoutError: the daemon still runs after `SHUTDOWN_TIMEOUT_S`.
        """
        start_s = time.monotonic()
        self.recorder.add(ShutdownRequested(time_s=start_s, entry_vm=vm))
        self.nodes[vm].request_stop()
        status = self.nodes[vm].wait(SHUTDOWN_TIMEOUT_S)
        end_s = time.monotonic()
        self._record_entry_vm_down(vm)
        self.recorder.add(ShutdownFinished(time_s=end_s, entry_vm=vm, exit_status=status))
        return ShutdownResult(status, end_s - start_s)

    def isolate_domain(self, domain: str, log: bool = False) -> None:
        """Partition a failure domain from all others.

        Args:
            domain: failure domain; either it or all other domains must be embedded.
            log: whether the log becomes unreachable for the domain as well.

        Raises:
            ValueError: `domain` and another failure domain both run as processes.
        """
        others = [row.name for row in self.topology.domains if row.name != domain]
        if domain not in self.embedded and not all(name in self.embedded for name in others):
            raise ValueError(
                f"cannot isolate {domain}: it or all other failure domains must be embedded"
            )
        if log:
            for vm in self.entry_vm_names(domain):
                self._record_entry_vm_down(vm)
            self.platform.set_log_fault(domain)
        for name in others:
            self._mesh_partition.block(domain, name)

    def heal_partitions(self) -> None:
        """End all partitions, restore the log for all domains and wait until all are ready."""
        self._mesh_partition.unblock_all()
        self.platform.set_log_fault(down="")
        self._wait_until_ready([name for name, node in self.nodes.items() if node.running])

    # Queries.

    def caller(self, customer: str) -> RecordingCaller:
        """Return the recording client of a customer, the same one for each call of this method."""
        with self._lock:
            if customer not in self._callers:
                caller = RecordingCaller(self.recorder, self.entry_vms, customer)
                self._callers[customer] = caller
            return self._callers[customer]

    def status(self, vm: str) -> dict[str, Any]:
        """Return the answer to `GET /v1/status`; empty when the entry VM does not answer."""
        return self._get_json(vm, "/v1/status")

    def scheduler(self, domain: str) -> str | None:
        """Return the entry VM that reports to be the scheduler of a domain; None without one."""
        for vm in self.entry_vm_names(domain):
            if self.status(vm).get("scheduler"):
                return vm
        return None

    def metrics(self, vm: str) -> str:
        """Return the metrics of an entry VM in Prometheus text format.

        Raises:
            OSError: the entry VM does not answer.
        """
        host, port = self._metrics_addresses[vm].rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_S)
        try:
            connection.request("GET", "/metrics")
            return connection.getresponse().read().decode()
        finally:
            connection.close()

    def log_lines(self, vm: str) -> str:
        """Return the standard error of the daemon of an entry VM; empty for an embedded daemon."""
        return (self._folder / f"{vm}.log").read_text(encoding="utf-8", errors="replace")

    def violations(self) -> list[Violation]:
        """Check all promises on the records made so far and return the violations."""
        return check_history(History(self.recorder.all()))

    # Helpers.

    def _create_nodes(self) -> None:
        """Write a settings file for each entry VM and create its node."""
        host = self.topology.host
        vms = list(self.platform.entry_vms.values())
        mesh = {vm.name: f"{host}:{reserve_port(host)}" for vm in vms}
        self._metrics_addresses = {vm.name: f"{host}:{reserve_port(host)}" for vm in vms}
        self._mesh_partition = MeshPartition({mesh[vm.name]: vm.failure_domain for vm in vms})
        for vm in vms:
            path = self._folder / f"{vm.name}.toml"
            path.write_text(tomli_w.dumps(self._make_settings(vm, mesh)), encoding="utf-8")
            stderr_path = self._folder / f"{vm.name}.log"
            stderr_path.touch()
            if vm.failure_domain in self.embedded:
                self.nodes[vm.name] = EmbeddedNode(vm.name, path, self._mesh_partition)
            else:
                self.nodes[vm.name] = ProcessNode(vm.name, path, stderr_path)
        if self.embedded:
            # Without a handler, warnings of embedded daemons would go to the terminal.
            logging.getLogger("fireflywharf_daemon").addHandler(logging.NullHandler())

    def _make_settings(self, vm: VmInfo, mesh: Mapping[str, str]) -> dict[str, Any]:
        addresses: Any = self.platform.addresses()
        document: dict[str, Any] = {
            "vm": {
                "name": vm.name,
                "region": vm.region,
                "failure_domain": vm.failure_domain,
            },
            "http": {"listen": vm.address},
            "mesh": {"listen": mesh[vm.name], "peers": list(self._list_mesh_peers(vm, mesh))},
            "metrics": {"listen": self._metrics_addresses[vm.name]},
            "platform": {
                "log_url": f"http://{addresses['log'][vm.failure_domain]}",
                "vm_list_url": f"http://{addresses['vm_list'][vm.failure_domain]}",
            },
            "scheduling": {"task_lease_s": self.topology.task_lease_s},
        }
        for section, values in (self.settings or {}).items():
            document.setdefault(section, {}).update(values)
        return document

    def _list_mesh_peers(self, vm: VmInfo, mesh: Mapping[str, str]) -> Iterator[dict[str, str]]:
        for other in self.platform.entry_vms.values():
            if other.name != vm.name:
                yield {
                    "address": mesh[other.name],
                    "failure_domain": other.failure_domain,
                    "region": other.region,
                }

    def _wait_until_ready(self, vms: list[str]) -> None:
        """Wait until entry VMs are ready, one by one, and record it."""
        for vm in vms:
            if not wait_until(
                lambda v=vm: self._get_json(v, "/readyz").get("code") == 0, READY_TIMEOUT_S
            ):
                text = self.nodes[vm].log_tail()
                raise TimeoutError(f"entry VM {vm} is not ready after {READY_TIMEOUT_S} s\n{text}")
            self.recorder.add(EntryVmUp(time_s=time.monotonic(), entry_vm=vm))

    def _record_entry_vm_down(self, vm: str) -> None:
        self.recorder.add(EntryVmDown(time_s=time.monotonic(), entry_vm=vm))

    def _get_json(self, vm: str, path: str) -> dict[str, Any]:
        """Return the JSON answer of an entry VM to GET; empty when it does not answer."""
        caller = RecordingCaller(self.recorder, self.entry_vms, "", CALL_TIMEOUT_S)
        return caller.exchange(vm, "GET", path).answer
