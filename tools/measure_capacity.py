"""Measures the slopes that docs/CAPACITY.md multiplies by the full size.

Each figure is the difference of two loads divided by the difference of the loads, for one daemon
process against stand-ins on loopback: processor time per held worker, per request and per task
start, memory, and bytes per exchange with workers, targets and the log.
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
    """Forwards connections to one address and counts the bytes of both directions."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.bytes_count = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop accepting."""
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


def one_domain(workers_count: int, targets_count: int, entry_vms_count: int = 1) -> Topology:
    """Return a topology of one failure domain."""
    targets = [TargetGroup(service="dispatch", count=targets_count)] if targets_count else []
    domain = Domain(
        name="centro",
        region="centro",
        entry_vms_count=entry_vms_count,
        workers=[WorkerGroup(count=workers_count)],
        targets=targets,
    )
    return Topology(domains=[domain], appends_per_second=0.0)


def processor_s(cluster: Cluster, vm: str) -> float:
    """Return the processor time that the daemon has used."""
    times = psutil.Process(cluster.nodes[vm].pid).cpu_times()
    return times.user + times.system


def idle_rows(window_s: float) -> Iterator[Row]:
    """Measure processor time and memory of an idle scheduler by number of workers."""
    figures = {}
    for count in (8, 48):
        with Cluster(one_domain(count, 0)) as cluster:
            time.sleep(3.0)
            before_s = processor_s(cluster, "centro-entry-1")
            time.sleep(window_s)
            used_s = processor_s(cluster, "centro-entry-1") - before_s
            memory = psutil.Process(cluster.nodes["centro-entry-1"].pid).memory_info().rss
            figures[count] = (used_s / window_s, memory)
    slope = (figures[48][0] - figures[8][0]) / 40
    yield "processor per held worker, renewals at 1/s", 100 * slope, "% of a core"
    base = 100 * (figures[8][0] - 8 * slope)
    yield "processor of an idle daemon without workers", base, "% of a core"
    yield "memory per held worker", (figures[48][1] - figures[8][1]) / 40 / 1000, "KB"
    yield "memory of an idle daemon with 8 workers", figures[8][1] / 1e6, "MB"


def _paced(count: int, rate: float, call: Callable[[int], object]) -> None:
    started_s = time.monotonic()
    with ThreadPoolExecutor(32) as pool:
        for number in range(count):
            delay_s = started_s + number / rate - time.monotonic()
            if delay_s > 0:
                time.sleep(delay_s)
            pool.submit(call, number)


def load_rows(window_s: float) -> Iterator[Row]:
    """Measure processor time per request, per keyed request and per task start."""
    with Cluster(one_domain(8, 8)) as cluster:
        vm = "centro-entry-1"
        caller = cluster.caller("measured")
        caller.apply_contract(vm, CONTRACT, 0)
        time.sleep(2.0)

        def measure(count: int, rate: float, call: Callable[[int], object]) -> float:
            before_s = processor_s(cluster, vm)
            _paced(count, rate, call)
            return processor_s(cluster, vm) - before_s

        idle_s = measure(int(window_s), 1.0, lambda number: None) / window_s
        plan = RequestPlan(service="dispatch", service_ms=5.0)
        count = int(100 * window_s)
        used_s = measure(count, 100.0, lambda number: caller.send_request(vm, plan))
        yield "processor per idempotent request", 1e6 * (used_s / count - idle_s / 100), "us"

        def keyed(number: int) -> None:
            key = f"measure-{number}"
            request = RequestPlan(service="dispatch", idempotent=False, key=key, service_ms=5.0)
            caller.send_request(vm, request)

        count = int(50 * window_s)
        used_s = measure(count, 50.0, keyed)
        yield "processor per request with a claimed key", 1e6 * (used_s / count - idle_s / 50), "us"

        def submit(number: int) -> None:
            size = {"processors_millicores": 100, "memory_mb": 10}
            job = {"key": f"j{number}", "kind": "batch", "tasks_count": 10, "size": size}
            caller.submit_job(vm, job | {"run_time_s": 1.0, "command": '{"run_s": 1.0}'})

        count = int(4 * window_s)
        used_s = measure(count, 4.0, submit)
        yield "processor per task start and end, jobs of 10", 1e6 * (
            used_s / count / 10 - idle_s / 40
        ), "us"


def _bytes_of(relay: CountingRelay, call: Callable[[], object], repeats: int = 10) -> float:
    call()
    before = relay.bytes_count
    for _ in range(repeats):
        call()
    time.sleep(0.05)
    return (relay.bytes_count - before) / repeats


def byte_rows() -> Iterator[Row]:
    """Measure the bytes of single exchanges over TCP, headers included."""
    with Platform(one_domain(1, 1)) as platform:
        servers = platform.servers
        worker = CountingRelay(servers["centro-worker-1"].address)
        target = CountingRelay(servers["centro-target-1"].address)
        log = CountingRelay(servers["log-centro"].address)
        workers, targets = WorkerClient(), TargetClient()
        logs = LogClient(f"http://{log.address}")

        def renew() -> object:
            return workers.claim(worker.address, "entry-1.00000000000000aa", 5.0, True)

        empty = _bytes_of(worker, renew)
        epoch = renew().value.epoch
        size = ResourceVector(100, 10)
        numbers = iter(range(1000))

        def start() -> object:
            task = TaskId("j-00000000000000000000", next(numbers))
            command = StartAttempt(AttemptId(task, 1), size, "", 60.0)
            return workers.commands(worker.address, epoch, [command])

        yield "bytes of a renewal of an empty worker", empty, "bytes"
        yield "bytes of one start command", _bytes_of(worker, start, 9), "bytes"
        yield "bytes of a renewal per running attempt", (_bytes_of(worker, renew) - empty) / 10, (
            "bytes"
        )
        yield (
            "bytes of a renewal of a target",
            _bytes_of(target, lambda: targets.claim(target.address, "entry-1.00aa", 5.0)),
            "bytes",
        )
        yield "bytes of a read of the log without records", _bytes_of(
            log, lambda: logs.read("jobs", 0)
        ), "bytes"
        for relay in (worker, target, log):
            relay.close()


def measure_capacity(*, window_s: float = 15.0) -> int:
    """Measure the slopes, print them, and write them to docs/measurements/capacity.md.

    Args:
        window_s: length of each measurement.

    Returns:
        Exit status.
    """
    rows = [*byte_rows(), *idle_rows(window_s), *load_rows(window_s)]
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
