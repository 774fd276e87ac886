"""Run a daemon process against stand-ins, for the features of the command line."""

import json
import pathlib
import socket
import subprocess
import sys
import time

import tomli_w
import urllib3

from fireflywharf_testing import Domain, Platform, TargetGroup, Topology, WorkerGroup

DOMAIN = "centro-a"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 60.0


def allocate_address() -> str:
    """Return a loopback address with a port that is free at the time of the call."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class DaemonProcess:
    """A daemon in a separate process that runs against stand-ins in this process.

    Args:
        folder: folder for the settings file and the log of the daemon.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.platform = Platform(
            Topology(
                domains=[
                    Domain(
                        name=DOMAIN,
                        region="centro",
                        workers=[WorkerGroup(count=3)],
                        targets=[TargetGroup(service="dispatch", count=2)],
                    )
                ]
            ),
            None,
        )
        self.folder = folder
        self.address = allocate_address()
        self.metrics_address = allocate_address()
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the stand-ins and the daemon."""
        self.platform.__enter__()
        addresses = self.platform.addresses()
        settings = {
            "vm": {
                "name": next(iter(addresses["entry_vms"])),
                "region": "centro",
                "failure_domain": DOMAIN,
            },
            "http": {"listen": self.address},
            "mesh": {"listen": allocate_address()},
            "metrics": {"listen": self.metrics_address},
            "platform": {
                "log_url": f"http://{addresses['log'][DOMAIN]}",
                "vm_list_url": f"http://{addresses['vm_list'][DOMAIN]}",
            },
        }
        path = self.folder / "entry.toml"
        path.write_text(tomli_w.dumps(settings))
        with (self.folder / "daemon.log").open("w") as log:
            command = [sys.executable, "-m", "fireflywharf_daemon.main", str(path)]
            self.process = subprocess.Popen(command, stderr=log)

    def wait_until_ready(self) -> None:
        """Wait until the daemon is ready, is the scheduler and holds all its targets.

        Raises:
            AssertionError: `START_TIMEOUT_S` has passed; the message is the end of the log.
        """
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                url = f"http://{self.address}/v1/status"
                status = json.loads(urllib3.request("GET", url, retries=False).data)
            except urllib3.exceptions.HTTPError:
                status = {}
            # A target refuses requests until the daemon holds its lease.
            held = [target["held"] for target in status.get("targets", [])]
            if status.get("ready") and status.get("scheduler") and held and all(held):
                return
            time.sleep(0.1)
        raise AssertionError((self.folder / "daemon.log").read_text()[-2000:])

    def terminate(self) -> int:
        """Send SIGTERM and return the exit status."""
        self.process.terminate()
        return self.process.wait(STOP_TIMEOUT_S)

    def stop(self) -> None:
        """Kill the daemon if it is running, and stop the stand-ins."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.platform.__exit__(None, None, None)
