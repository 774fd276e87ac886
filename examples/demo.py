"""Runs a demo cluster in one process: two failure domains, two customers, embedded stand-ins.

It submits batch, gang, service and urgent jobs and interactive requests over HTTP and prints their
outcomes. The exit status is above 0 if an outcome is missing or if the history that the stand-ins
recorded violates a promise of the system.
"""

import asyncio
import logging
import pathlib
import sys
import threading
import time
import tomllib

from fireflywharf_core.history import History, check_history
from fireflywharf_core.resources import ResourceVector
from fireflywharf_daemon.application import Application
from fireflywharf_daemon.settings import parse_settings
from fireflywharf_testing import (
    Domain,
    Platform,
    RecordingCaller,
    TargetGroup,
    Topology,
    WorkerGroup,
    Workload,
    WorkloadPlan,
    outcome_table,
    reserve_port,
    wait_until,
)

CONTRACTS_FOLDER = pathlib.Path(__file__).parent / "contracts" / "consortium"
CUSTOMERS = ("austral", "tico")
DOMAINS = ("centro", "pacifico")
START_TIMEOUT_S = 20.0


def make_settings(platform: Platform) -> list[dict]:
    """Return the settings document of each entry VM of the platform."""
    addresses = platform.addresses()
    vms = list(platform.entry_vms.values())
    mesh = {vm.name: f"127.0.0.1:{reserve_port('127.0.0.1')}" for vm in vms}
    return [
        {
            "vm": {"name": vm.name, "region": vm.region, "failure_domain": vm.failure_domain},
            "http": {"listen": vm.address, "threads_count": 24},
            "mesh": {
                "listen": mesh[vm.name],
                "peers": [
                    {
                        "address": mesh[other.name],
                        "failure_domain": other.failure_domain,
                        "region": other.region,
                    }
                    for other in vms
                    if other is not vm
                ],
            },
            "metrics": {"listen": "127.0.0.1:0"},
            "platform": {
                "log_url": f"http://{addresses['log'][vm.failure_domain]}",
                "vm_list_url": f"http://{addresses['vm_list'][vm.failure_domain]}",
            },
        }
        for vm in vms
    ]


def start_daemons(platform: Platform) -> tuple[list[Application], list[threading.Thread]]:
    """Start one application per entry VM in a thread of its own, and wait until all are ready."""
    applications, threads = [], []
    for document in make_settings(platform):
        settings, problems = parse_settings(document)
        if settings is None:
            raise SystemExit("\n".join(map(str, problems)))
        application = Application(settings)
        daemon_thread = threading.Thread(
            target=lambda app=application: asyncio.run(app.run(handle_signals=False))
        )
        daemon_thread.start()
        applications.append(application)
        threads.append(daemon_thread)
    schedulers_count = len(platform.topology.domains)
    if not wait_until(
        lambda: all(app.ready for app in applications)
        and sum(app.scheduler.acting for app in applications) == schedulers_count,
        START_TIMEOUT_S,
    ):
        print("the daemons did not become ready", file=sys.stderr)
    return applications, threads


def apply_contracts(callers: dict[str, RecordingCaller], entry_vm: str) -> None:
    """Apply the example contracts and wait until they are in force at every entry VM."""
    for customer, caller in callers.items():
        contract = tomllib.loads((CONTRACTS_FOLDER / f"{customer}.toml").read_text())
        result = caller.apply_contract(entry_vm, contract, base_version=0, author="demo")
        print(f"contract {customer}: {result.answer.get('name')}", flush=True)
        if result.answer.get("version") != 1:
            raise SystemExit(f"contract {customer} was not applied: {result.answer}")
        for other in caller.entry_vms:
            wait_until(
                lambda c=caller, o=other, n=customer: c.poll_contract(o, n).answer.get("version")
                == 1,
                10.0,
            )


def main() -> int:
    """Run the demo and return its exit status."""
    logging.basicConfig(level=logging.ERROR)
    started_s = time.monotonic()
    worker = WorkerGroup(count=6, rack_size=3, capacity=ResourceVector(16_000, 64_000, 0))
    target = TargetGroup(service="dispatch", count=4)
    domains = [
        Domain(name=name, region=name, entry_vms_count=2, workers=[worker], targets=[target])
        for name in DOMAINS
    ]
    with Platform(Topology(domains=domains)) as platform:
        applications, threads = start_daemons(platform)
        print(f"4 entry VMs in 2 failure domains ready after {time.monotonic() - started_s:.1f} s")
        entry_vms = {name: vm.address for name, vm in platform.entry_vms.items()}
        callers = {name: RecordingCaller(platform.recorder, entry_vms, name) for name in CUSTOMERS}
        apply_contracts(callers, next(iter(entry_vms)))
        workload = Workload(callers, WorkloadPlan(), lambda text: print(text, flush=True))
        workload.run()
        for application in applications:
            application.request_stop()
        for thread in threads:
            thread.join(30.0)
        records = platform.recorder.all()
    print(outcome_table(workload.submitted, records))
    violations = check_history(History(records))
    for violation in violations:
        print(f"broken promise: {violation}", file=sys.stderr)
    missing = workload.missing_submissions()
    print(
        f"{len(workload.submitted)} submitted, {len(missing)} without an outcome,"
        f" {len(violations)} broken promises, {time.monotonic() - started_s:.1f} s"
    )
    return 1 if missing or violations else 0


if __name__ == "__main__":
    sys.exit(main())
