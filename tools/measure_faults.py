"""Measures how fast daemons recover from faults, and writes docs/measurements/faults.md.

Starts clusters of daemons on loopback, one after the other. All counts and times are bounded.
"""

import contextlib
import pathlib
import platform
import statistics
import threading
import time
from collections.abc import Callable, Iterator

import attrs
import defopt
import tabulate

from fireflywharf_core.history import (
    AttemptStarted,
    LeaseGranted,
    RequestEnded,
    RequestSent,
    RequestStarted,
)
from fireflywharf_core.jobs import derive_job_id
from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.results import ResultCode
from fireflywharf_testing import (
    Cluster,
    Domain,
    FaultSettings,
    RecordingCaller,
    RequestPlan,
    TargetGroup,
    Topology,
    WorkerGroup,
    wait_until,
)

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "measurements" / "faults.md"
# Slowest rate of failing requests for which the measurement waits.
MIN_REQUESTS_PER_S = 10.0
WAIT_TIMEOUT_S = 30.0
LEAVING_OBSERVATION_S = 4.0
SENDERS_COUNT = 8
UNLIMITED = {
    "processors_millicores": "unlimited",
    "memory_mb": "unlimited",
    "accelerators_count": "unlimited",
}
CONTRACT = {
    "customer": "austral",
    "share_weight": 1,
    "quota": UNLIMITED,
    "requests_per_second": "unlimited",
    "queue_max_tasks": "unlimited",
}


@attrs.frozen(slots=True)
class Row:
    """One row of the table.

    Attributes:
        name: the measured case.
        unit: unit of the values and the limit.
        limit: upper bound from the design.
        values: one value per run.
    """

    name: str
    unit: str
    limit: float
    values: list[float]


@contextlib.contextmanager
def run_cluster(domains: tuple[str, ...], entry_vms_count: int) -> Iterator[Cluster]:
    """Run a cluster with one contract that is in force at all entry VMs."""
    topology = Topology(
        domains=[
            Domain(
                name=name,
                region=name,
                entry_vms_count=entry_vms_count,
                workers=[WorkerGroup(count=4, capacity=ResourceVector(2_000, 8_000, 0))],
                targets=[TargetGroup(service="dispatch", count=4)],
            )
            for name in domains
        ]
    )
    with Cluster(topology) as cluster:
        caller = cluster.caller("austral")
        caller.apply_contract(next(iter(cluster.entry_vms)), CONTRACT, 0)
        for vm in cluster.entry_vms:
            wait_until_true(
                lambda v=vm: caller.poll_contract(v, "austral").answer.get("version") == 1
            )
        yield cluster


def wait_until_true(condition: Callable[[], object], timeout_s: float = WAIT_TIMEOUT_S) -> None:
    """Wait until a condition holds.

    Raises:
        TimeoutError: the condition does not hold within `timeout_s` seconds.
    """
    if not wait_until(lambda: bool(condition()), timeout_s, 0.01):
        raise TimeoutError(f"a condition did not become true within {timeout_s} s")


class RequestSenders:
    """Threads that send idempotent requests to the given entry VMs.

    They start and stop with the `with` block.
    """

    def __init__(self, caller: RecordingCaller, vms: list[str]) -> None:
        self.caller = caller
        self.vms = vms
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._send, args=[number], daemon=True)
            for number in range(SENDERS_COUNT)
        ]

    def __enter__(self) -> "RequestSenders":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join(WAIT_TIMEOUT_S)

    def _send(self, number: int) -> None:
        plan = RequestPlan(service="dispatch", service_ms=20, deadline_ms=5000)
        while not self._stopping.wait(0.01):
            self.caller.send_request(self.vms[number % len(self.vms)], plan)


def measure_failover(count: int) -> list[Row]:
    """Kill the scheduler's entry VM under load, `count` times, and measure the recovery."""
    start_delays_s, answer_delays_s = [], []
    with run_cluster(("centro",), entry_vms_count=3) as cluster:
        caller = cluster.caller("austral")
        for number in range(count):
            scheduler_vm = cluster.scheduler("centro")
            other_vms = [vm for vm in cluster.entry_vms if vm != scheduler_vm]
            job = {"key": f"backlog-{number}", "kind": "batch", "tasks_count": 200}
            job |= {"size": {"processors_millicores": 1000, "memory_mb": 100}, "run_time_s": 0.5}
            # An entry VM that was just restarted does not know the scheduler yet.
            wait_until_true(
                lambda vm=other_vms[0], job=job: caller.submit_job(vm, job).code
                is ResultCode.ACCEPTED
            )
            rows = cluster.status(scheduler_vm)["targets"]
            held_targets = {row["name"] for row in rows if row["held"]}
            with RequestSenders(caller, other_vms):
                time.sleep(1.0)
                incarnation = cluster.status(scheduler_vm)["incarnation"]
                killed_s = time.monotonic()
                cluster.kill(scheduler_vm)
                start_delays_s.append(
                    _find_first_start_s(cluster, killed_s, incarnation) - killed_s
                )
                if held_targets:
                    answer_delays_s.append(
                        _find_first_answer_s(cluster, killed_s, held_targets) - killed_s
                    )
            job_id = derive_job_id("austral", job["key"])
            caller.exchange(other_vms[0], "POST", f"/v1/jobs/{job_id}/cancel")
            cluster.restart(scheduler_vm)
            cluster.wait_schedulers()
            print(
                f"kill {number + 1}: start {start_delays_s[-1]:.2f} s,"
                f" answers {answer_delays_s[-1:]}"
            )
    return [
        Row("scheduler killed: next start of a waiting task", "s", 10.0, start_delays_s),
        Row("same kill: first answer of a target that it held", "s", 10.0, answer_delays_s),
    ]


def _find_first_start_s(cluster: Cluster, killed_s: float, incarnation: str) -> float:
    """Return the time of the first task start after a new scheduler got a worker's lease."""
    found: list[float] = []

    def find() -> bool:
        grants = [
            row.time_s
            for row in cluster.recorder.of(LeaseGranted)
            if row.time_s > killed_s and row.holder != incarnation and "-worker-" in row.vm
        ]
        starts = [row.time_s for row in cluster.recorder.of(AttemptStarted)]
        found.extend(time_s for time_s in starts if grants and time_s >= grants[0])
        return bool(found)

    wait_until_true(find)
    return found[0]


def _find_first_answer_s(cluster: Cluster, killed_s: float, targets: set[str]) -> float:
    """Return when one of the targets first completed a request for its new lease holder."""
    found: list[float] = []

    def find() -> bool:
        granted = {
            row.vm: row.time_s
            for row in reversed(cluster.recorder.of(LeaseGranted))
            if row.time_s > killed_s and row.vm in targets
        }
        started_executions = {
            (row.target, row.execution)
            for row in cluster.recorder.of(RequestStarted)
            if row.target in granted and row.time_s >= granted[row.target]
        }
        ends = cluster.recorder.of(RequestEnded)
        found.extend(
            r.time_s for r in ends if r.completed and (r.target, r.execution) in started_executions
        )
        return bool(found)

    wait_until_true(find)
    return found[0]


def measure_leaving_targets(count: int) -> list[Row]:
    """Mark `count` targets as leaving under load and measure when the last new request starts."""
    times_s = []
    with run_cluster(("centro",), entry_vms_count=3) as cluster:
        platform_ = cluster.platform
        names = sorted(platform_.targets)
        with RequestSenders(cluster.caller("austral"), list(cluster.entry_vms)):
            # A target stays marked as leaving, so each target is measured only once.
            for name in names[:count]:
                before_s = time.monotonic()
                wait_until_true(lambda n=name, s=before_s: _find_last_start_s(cluster, n) > s)
                left_s = time.monotonic()
                platform_.mark_leaving(name)
                time.sleep(LEAVING_OBSERVATION_S)
                times_s.append(max(0.0, _find_last_start_s(cluster, name) - left_s))
    return [Row("target leaving: last new request", "s", 3.0, times_s)]


def _find_last_start_s(cluster: Cluster, target: str) -> float:
    """Return when the target last started a request, or 0."""
    starts = cluster.recorder.of(RequestStarted)
    return max((row.time_s for row in starts if row.target == target), default=0.0)


def measure_contracts(count: int) -> list[Row]:
    """Change a contract `count` times and measure when all entry VMs of 3 regions report it."""
    times_s = []
    with run_cluster(("centro", "pacifico", "caribe"), entry_vms_count=2) as cluster:
        caller = cluster.caller("austral")
        vms = list(cluster.entry_vms)
        for version in range(2, count + 2):
            start_s = time.monotonic()
            contract = CONTRACT | {"share_weight": version}
            caller.apply_contract(vms[version % len(vms)], contract, version - 1)
            lagging_vms = list(vms)
            while lagging_vms:
                answers = {vm: caller.poll_contract(vm, "austral").answer for vm in lagging_vms}
                lagging_vms = [vm for vm in lagging_vms if answers[vm].get("version", 0) < version]
                if time.monotonic() > start_s + WAIT_TIMEOUT_S:
                    raise TimeoutError(f"version {version} is not in force at {lagging_vms}")
            times_s.append(time.monotonic() - start_s)
    return [Row("contract: from the call until in force in 3 regions", "s", 10.0, times_s)]


def measure_amplification(requests_count: int) -> list[Row]:
    """Let all targets drop their answers, and measure the executions per idempotent request."""
    with run_cluster(("centro",), entry_vms_count=3) as cluster:
        caller = cluster.caller("austral")
        for name in cluster.platform.targets:
            faults = FaultSettings(lose_answer_p=1.0, only=["/v1/execute"])
            cluster.platform.set_faults(name, faults)
        with RequestSenders(caller, list(cluster.entry_vms)):
            wait_until_true(
                lambda: len(cluster.recorder.of(RequestSent)) >= requests_count,
                WAIT_TIMEOUT_S + requests_count / MIN_REQUESTS_PER_S,
            )
        sent = len(cluster.recorder.of(RequestSent))
        executions = len(cluster.recorder.of(RequestStarted))
        print(f"{executions} executions of {sent} requests")
        operations = {row.operation for row in cluster.recorder.of(RequestStarted)}
        ratio = executions / max(1, len(operations))
    return [Row("all targets fail: executions per executed request", "", 1.1, [ratio])]


def write_table(rows: list[Row], command: str) -> None:
    """Write and print the table, with the command that measures it."""
    table = [
        [row.name, len(row.values), row.unit, min(row.values), statistics.median(row.values)]
        + [max(row.values), row.limit, "yes" if max(row.values) <= row.limit else "NO"]
        for row in rows
    ]
    headers = ["case", "runs", "unit", "min", "median", "max", "bound", "within"]
    text = tabulate.tabulate(table, headers, tablefmt="github", floatfmt=".2f")
    machine = f"{platform.machine()}, Python {platform.python_version()}"
    PAGE.write_text(
        "# Recovery from faults\n\n"
        "Daemons run as processes over loopback against the stand-ins, all on one machine\n"
        f"({machine}), with the default settings. The bounds are those of section 13 of the\n"
        "design; the bound on executions is that of section 10. Written by\n\n"
        f"```\n{command}\n```\n\n{text}\n",
        encoding="utf-8",
    )
    print(text)


def measure(*, kills: int = 20, leaves: int = 10, changes: int = 20, requests: int = 2000) -> None:
    """Measure all cases and write the table.

    Args:
        kills: how often the scheduler is killed, 1 to 50.
        leaves: how often a target leaves, 1 to 50.
        changes: number of contract changes, 1 to 100.
        requests: requests while all targets fail, 100 to 20,000.
    """
    rows = measure_failover(min(50, max(1, kills)))
    rows += measure_leaving_targets(min(50, max(1, leaves)))
    rows += measure_contracts(min(100, max(1, changes)))
    rows += measure_amplification(min(20_000, max(100, requests)))
    command = f".venv/bin/python tools/measure_faults.py --kills {kills} --leaves {leaves}"
    write_table(rows, f"{command} --changes {changes} --requests {requests}")


if __name__ == "__main__":
    defopt.run(measure)
