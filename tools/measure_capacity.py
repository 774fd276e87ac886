"""Measures the costs per unit of load that docs/CAPACITY.md multiplies by the full size.

Each cost is the difference between the usage at two loads, divided by the difference of the loads,
for one daemon process against stand-ins on loopback: processor time per held worker, per request
and per task start, memory, and bytes per exchange with workers, targets and the log.
"""

import pathlib
import socket
import sys
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor

import defopt
import psutil
from tabulate import tabulate

from fireflywharf_core.jobs import AttemptId, TaskId
from fireflywharf_core.platform import StartAttempt
from fireflywharf_core.resources import ResourceVector
from fireflywharf_daemon.platform import LogClient, TargetClient, WorkerClient
from fireflywharf_testing import (
    Cluster,
    Domain,
    Platform,
    RequestPlan,
    TargetGroup,
    Topology,
    WorkerGroup,
)

ROOT = pathlib.Path(__file__).resolve().parent.parent
CONTRACT = {
    "customer": "measured",
    "share_weight": 1.0,
    "quota": dict.fromkeys(("processors_millicores", "memory_mb"), "unlimited")
    | {"accelerators_count": "unlimited"},
    "requests_per_second": "unlimited",
    "queue_max_requests": 10_000,
    "queue_max_tasks": "unlimited",
}
Row = tuple[str, float, str]


class CountingRelay:
    """TCP relay that counts the bytes forwarded in both directions."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.bytes_count = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            host, port = self.target.rsplit(":", 1)
            server = socket.create_connection((host, int(port)))
            for source, sink in ((client, server), (server, client)):
                threading.Thread(target=self._copy, args=(source, sink), daemon=True).start()

    def _copy(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(65_536):
                self.bytes_count += len(data)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            return


def make_topology(workers_count: int, targets_count: int, entry_vms_count: int = 1) -> Topology:
    """Return a topology of one failure domain, without a limit on appends."""
    targets = [TargetGroup(service="dispatch", count=targets_count)] if targets_count else []
    domain = Domain(
        name="centro",
        region="centro",
        entry_vms_count=entry_vms_count,
        workers=[WorkerGroup(count=workers_count)],
        targets=targets,
    )
    return Topology(domains=[domain], appends_per_second=0.0)


def get_processor_time_s(cluster: Cluster, vm: str) -> float:
    """Return the processor time that the daemon of an entry VM has used, in seconds."""
    times = psutil.Process(cluster.nodes[vm].pid).cpu_times()
    return times.user + times.system


def measure_idle_daemon(window_s: float) -> Iterator[Row]:
    """Measure processor time and memory of an idle scheduler with 8 and with 48 workers."""
    usage_by_workers_count = {}
    for count in (8, 48):
        with Cluster(make_topology(count, 0)) as cluster:
            time.sleep(3.0)
            before_s = get_processor_time_s(cluster, "centro-entry-1")
            time.sleep(window_s)
            used_s = get_processor_time_s(cluster, "centro-entry-1") - before_s
            memory = psutil.Process(cluster.nodes["centro-entry-1"].pid).memory_info().rss
            usage_by_workers_count[count] = (used_s / window_s, memory)
    load_per_worker = (usage_by_workers_count[48][0] - usage_by_workers_count[8][0]) / 40
    yield "processor per held worker, renewals at 1/s", 100 * load_per_worker, "% of a core"
    base_percent = 100 * (usage_by_workers_count[8][0] - 8 * load_per_worker)
    yield "processor of an idle daemon without workers", base_percent, "% of a core"
    yield "memory per held worker", (
        usage_by_workers_count[48][1] - usage_by_workers_count[8][1]
    ) / 40 / 1000, "KB"
    yield "memory of an idle daemon with 8 workers", usage_by_workers_count[8][1] / 1e6, "MB"


def _run_at_rate(count: int, rate: float, call: Callable[[int], object]) -> None:
    """Make `count` calls at `rate` per second in a thread pool, and wait for them."""
    started_s = time.monotonic()
    with ThreadPoolExecutor(32) as pool:
        for number in range(count):
            delay_s = started_s + number / rate - time.monotonic()
            if delay_s > 0:
                time.sleep(delay_s)
            pool.submit(call, number)


def measure_load(window_s: float) -> Iterator[Row]:
    """Measure processor time per request, per request with a key and per task start and end."""
    with Cluster(make_topology(8, 8)) as cluster:
        vm = "centro-entry-1"
        caller = cluster.caller("measured")
        caller.apply_contract(vm, CONTRACT, 0)
        time.sleep(2.0)

        def measure(count: int, rate: float, call: Callable[[int], object]) -> float:
            before_s = get_processor_time_s(cluster, vm)
            _run_at_rate(count, rate, call)
            return get_processor_time_s(cluster, vm) - before_s

        idle_per_s = measure(int(window_s), 1.0, lambda number: None) / window_s
        request_plan = RequestPlan(service="dispatch", service_ms=5.0)
        count = int(100 * window_s)
        used_s = measure(count, 100.0, lambda number: caller.send_request(vm, request_plan))
        yield "processor per idempotent request", 1e6 * (used_s / count - idle_per_s / 100), "us"

        def send_keyed_request(number: int) -> None:
            key = f"measure-{number}"
            request = RequestPlan(service="dispatch", idempotent=False, key=key, service_ms=5.0)
            caller.send_request(vm, request)

        count = int(50 * window_s)
        used_s = measure(count, 50.0, send_keyed_request)
        yield "processor per request with a claimed key", 1e6 * (
            used_s / count - idle_per_s / 50
        ), "us"

        def submit_job_of_ten(number: int) -> None:
            size = {"processors_millicores": 100, "memory_mb": 10}
            job = {"key": f"j{number}", "kind": "batch", "tasks_count": 10, "size": size}
            caller.submit_job(vm, job | {"run_time_s": 1.0, "command": '{"run_s": 1.0}'})

        count = int(4 * window_s)
        used_s = measure(count, 4.0, submit_job_of_ten)
        yield "processor per task start and end, jobs of 10", 1e6 * (
            used_s / count / 10 - idle_per_s / 40
        ), "us"


def _measure_bytes_per_call(
    relay: CountingRelay, call: Callable[[], object], repeats: int = 10
) -> float:
    call()
    before = relay.bytes_count
    for _ in range(repeats):
        call()
    time.sleep(0.05)
    return (relay.bytes_count - before) / repeats


def measure_exchange_bytes() -> Iterator[Row]:
    """Measure the bytes of single HTTP exchanges, including their headers."""
    with Platform(make_topology(1, 1)) as platform:
        servers = platform.servers
        worker = CountingRelay(servers["centro-worker-1"].address)
        target = CountingRelay(servers["centro-target-1"].address)
        log = CountingRelay(servers["log-centro"].address)
        workers, targets = WorkerClient(), TargetClient()
        logs = LogClient(f"http://{log.address}")

        def renew_worker() -> object:
            return workers.claim(worker.address, "entry-1.00000000000000aa", 5.0, True)

        empty_renewal_bytes = _measure_bytes_per_call(worker, renew_worker)
        epoch = renew_worker().value.epoch
        size = ResourceVector(100, 10)
        task_indexes = iter(range(1000))

        def start_attempt() -> object:
            task = TaskId("j-00000000000000000000", next(task_indexes))
            command = StartAttempt(AttemptId(task, 1), size, "", 60.0)
            return workers.commands(worker.address, epoch, [command])

        yield "bytes of a renewal of an empty worker", empty_renewal_bytes, "bytes"
        yield "bytes of one start command", _measure_bytes_per_call(
            worker, start_attempt, 9
        ), "bytes"
        yield "bytes of a renewal per running attempt", (
            _measure_bytes_per_call(worker, renew_worker) - empty_renewal_bytes
        ) / 10, ("bytes")
        yield (
            "bytes of a renewal of a target",
            _measure_bytes_per_call(
                target, lambda: targets.claim(target.address, "entry-1.00aa", 5.0)
            ),
            "bytes",
        )
        yield "bytes of a read of the log without records", _measure_bytes_per_call(
            log, lambda: logs.read("jobs", 0)
        ), "bytes"
        for relay in (worker, target, log):
            relay.close()


def measure_capacity(*, window_s: float = 15.0) -> int:
    """Measure all costs, print them, and write them to docs/measurements/capacity.md.

    Args:
        window_s: length of each measurement in seconds.

    Returns:
        Exit status.
    """
    rows = [*measure_exchange_bytes(), *measure_idle_daemon(window_s), *measure_load(window_s)]
    table = tabulate(rows, headers=["slope", "value", "unit"], tablefmt="github", floatfmt=".4g")
    print(table)
    page = ROOT / "docs" / "measurements" / "capacity.md"
    page.write_text(
        "# Measured slopes for the capacity page\n\n"
        f"Command: `.venv/bin/python tools/measure_capacity.py --window-s {window_s:g}`. One daemon"
        " process against\nstand-ins on loopback, Python 3.11.\n\n" + table + "\n"
    )
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(measure_capacity))
