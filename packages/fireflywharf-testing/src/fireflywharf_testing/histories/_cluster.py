"""Simulated failure domain on a virtual clock."""

import random

import attrs

from fireflywharf_core.history import EntryVmDown, EntryVmUp
from fireflywharf_core.platform import ClaimAnswer, CommandAnswer, VmInfo, VmRole, WorkerCommand
from fireflywharf_core.resources import ResourceVector
from fireflywharf_daemon.settings import (
    HttpSettings,
    MeshPeer,
    MeshSettings,
    MetricsSettings,
    PlatformSettings,
    RoutingSettings,
    SchedulingSettings,
    Settings,
    VmSettings,
)

from .._log import LogSettings, LogStandIn
from .._recorder import HistoryRecorder
from .._target import TargetSettings, TargetStandIn
from .._task import CheckpointStore
from .._vm_list import VmListStandIn
from .._worker import WorkerSettings, WorkerStandIn
from ._entry import EntryVm
from ._load import SERVICE, LoadGenerator
from ._loop import Simulator
from ._network import NetworkConditions, VirtualNetwork
from ._operators import CUSTOMERS

DOMAIN = "zone-a"
REGION = "region-a"
WORKERS_COUNT = 5
TARGETS_COUNT = 3
READY_POLL_INTERVAL_S = 0.2
ADVANCE_INTERVAL_S = 0.5


@attrs.frozen(kw_only=True)
class ClusterPlan:
    """Sizes and settings of a simulated cluster.

    Args:
        entry_vms_count: number of entry VMs.
        task_lease_s: duration of task leases in seconds; shorter than in production, so that a
            history is short.
        holder_lease_s: duration of the holder leases of workers and targets in seconds.
        retention_s: age in seconds at which the log removes records; zero to keep them.
        wrong_sizes: whether the declared sizes and run times of jobs are far from the real ones.
        planted_defect: name of a defect in a component that the checks must find; empty for none.
    """

    entry_vms_count: int = 3
    task_lease_s: float = 8.0
    holder_lease_s: float = 3.0
    retention_s: float = 0.0
    wrong_sizes: bool = False
    planted_defect: str = ""


DEFECT_IGNORED_EPOCHS = "a worker ignores epochs and repeats"
DEFECT_TIMEOUT_AS_REFUSAL = "an uncertain send is told as refused"
DEFECT_SKIPPED_RECOVERY = "a new scheduler does not wait for reports"
PLANTED_DEFECTS = (DEFECT_IGNORED_EPOCHS, DEFECT_TIMEOUT_AS_REFUSAL, DEFECT_SKIPPED_RECOVERY)


class EpochIgnoringWorker(WorkerStandIn):
    """Planted defect: grants every claim and runs commands with any epoch, also repeated starts."""

    def claim(self, holder: str, ttl_s: float, renew_tasks: bool = False) -> ClaimAnswer:
        """Grant the lease, also while another holder has it."""
        self._lease.holder = holder
        return super().claim(holder, ttl_s, renew_tasks)

    def commands(
        self, epoch: int, commands: list[WorkerCommand], fail_starts: bool = False
    ) -> list[CommandAnswer] | None:
        """Execute commands as if they had the present epoch and were not repeats."""
        self._started_attempts.clear()
        return super().commands(self._lease.epoch, commands, fail_starts)


class VirtualCluster:
    """Entry VMs, stand-ins, the network between them and the load.

    Args:
        simulator: clock and events.
        rng: source of delays, losses and the seed of the load.
        plan: sizes and settings.
    """

    customers = tuple(CUSTOMERS)

    def __init__(self, simulator: Simulator, rng: random.Random, plan: ClusterPlan) -> None:
        self.simulator = simulator
        self.rng = rng
        self.plan = plan
        self.recorder = HistoryRecorder()
        self.conditions = NetworkConditions()
        self.network = VirtualNetwork(simulator, rng, self.conditions)
        self.failing_workers: set[str] = set()
        self.errors: list[str] = []
        self.entry_vms: dict[str, EntryVm] = {}
        self.workers: dict[str, WorkerStandIn] = {}
        self.targets: dict[str, TargetStandIn] = {}
        self.checkpoints = CheckpointStore()
        clock = simulator.monotonic
        log_settings = LogSettings(appends_per_second=300.0, retention_s=plan.retention_s)
        self.log = LogStandIn(log_settings, self.recorder, clock)
        self.vm_list = VmListStandIn(0.5, self.recorder, clock)
        self._addresses_count = 0
        for number in range(WORKERS_COUNT):
            self.add_worker(f"worker-{number}")
        for number in range(TARGETS_COUNT):
            self._add_target(f"target-{number}")
        self.load = LoadGenerator(
            simulator,
            random.Random(rng.getrandbits(64)),
            self.recorder,
            self.entry_vms,
            plan.wrong_sizes,
        )
        for number in range(plan.entry_vms_count):
            self.start_entry_vm(f"entry-{number}")
        simulator.schedule_after(ADVANCE_INTERVAL_S, self._advance_workers)

    def _next_address(self) -> str:
        self._addresses_count += 1
        return f"10.0.0.{self._addresses_count}:80"

    def _make_vm(self, name: str, role: VmRole, **fields: object) -> VmInfo:
        return VmInfo(
            name=name,
            role=role,
            address=self._next_address(),
            region=REGION,
            failure_domain=DOMAIN,
            rack="rack-a",
            **fields,
        )

    def add_worker(self, name: str) -> None:
        """Add a worker at a new address; it replaces one of the same name."""
        vm = self._make_vm(name, VmRole.WORKER, capacity=ResourceVector(8_000, 16_000, 0))
        settings = WorkerSettings(task_lease_s=self.plan.task_lease_s, usage_lag_s=1.0)
        planted_defect = self.plan.planted_defect == DEFECT_IGNORED_EPOCHS
        worker_class = EpochIgnoringWorker if planted_defect else WorkerStandIn
        worker = worker_class(
            vm, settings, self.recorder, self.checkpoints, self.simulator.monotonic
        )
        self.workers[name] = self.network.stand_ins[vm.address] = worker
        self.vm_list.add(vm)

    def _add_target(self, name: str) -> None:
        vm = self._make_vm(
            name, VmRole.TARGET, service=SERVICE, slots_count=4, connections_count=16
        )
        target = TargetStandIn(vm, TargetSettings(), self.recorder, self.simulator.monotonic)
        self.targets[name] = self.network.stand_ins[vm.address] = target
        self.vm_list.add(vm)

    def _make_settings(self, name: str) -> Settings:
        plan = self.plan
        names = [f"entry-{number}" for number in range(plan.entry_vms_count)]
        peers = [MeshPeer(address=n, failure_domain=DOMAIN, region=REGION) for n in names]
        return Settings(
            vm=VmSettings(name=name, region=REGION, failure_domain=DOMAIN),
            http=HttpSettings(listen="127.0.0.1:0"),
            mesh=MeshSettings(listen=name, peers=[p for p in peers if p.address != name]),
            metrics=MetricsSettings(listen="127.0.0.1:0"),
            platform=PlatformSettings(
                log_url="", vm_list_url="", retention_s=plan.retention_s or 86_400.0
            ),
            scheduling=SchedulingSettings(
                holder_lease_s=plan.holder_lease_s,
                task_lease_s=plan.task_lease_s,
                renew_interval_s=0.7,
                decision_interval_s=0.15,
                suspicion_s=1.5,
            ),
            routing=RoutingSettings(
                target_lease_s=plan.holder_lease_s,
                key_lifetime_s=plan.retention_s / 2 or 3600.0,
            ),
        )

    def start_entry_vm(self, name: str) -> None:
        """Start an entry VM with empty memory unless it runs already."""
        previous = self.entry_vms.get(name)
        if previous is not None and previous.alive:
            return
        entry = self.entry_vms[name] = EntryVm(
            self._make_settings(name),
            self.network,
            (self.log, self.vm_list),
            self.failing_workers,
            lambda text: self.errors.append(f"{name}: {text}"),
            self.plan.planted_defect == DEFECT_TIMEOUT_AS_REFUSAL,
        )
        self._record_up_when_ready(entry)

    def _record_up_when_ready(self, entry: EntryVm) -> None:
        """Poll until the entry VM is ready and record that, or until it has ended."""
        if entry.is_serving:
            self.recorder.add(EntryVmUp(time_s=self.simulator.now_s, entry_vm=entry.name))
        elif entry.alive:
            self.simulator.schedule_after(
                READY_POLL_INTERVAL_S, lambda: self._record_up_when_ready(entry)
            )

    def kill_entry_vm(self, name: str) -> None:
        """Kill an entry VM."""
        entry = self.entry_vms[name]
        self.recorder.add(EntryVmDown(time_s=self.simulator.now_s, entry_vm=name, killed=True))
        entry.kill()

    def _advance_workers(self) -> None:
        """Let workers detect ends of attempts, to record them before the history ends."""
        for worker in self.workers.values():
            worker.advance()
        self.simulator.schedule_after(ADVANCE_INTERVAL_S, self._advance_workers)

    def close(self) -> None:
        """Kill all running entry VMs."""
        for entry in self.entry_vms.values():
            if entry.alive:
                entry.kill()
