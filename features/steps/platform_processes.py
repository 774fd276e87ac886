"""Daemon processes that run against stand-ins for the platform."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys

import urllib3
from run_folders import create_run_folder, remove_run_folder

from fireflywharf_testing import reserve_port, wait_until
from fireflywharf_testing.platform_stand_ins import PlatformStandIns

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
START_TIMEOUT_S = 15.0
LOG_TAIL_BYTES = 2000
HOST = "queue.example"


class PlatformDaemon:
    """One daemon process with its settings file and log file.

    Args:
        name: name of the VM.
        world: object with the addresses of the store and the approval service.
        folder: folder for the settings file and the log file.
        contracts: list `contracts` of the settings.
        bounds: changes of `bounds` in the settings.

    Attributes:
        key: key that calls send; None for none.
    """

    def __init__(self, name, world, folder, contracts=(), bounds=None):
        self.name = name
        self.key = None
        self.folder = pathlib.Path(folder)
        self.callers_port, self.readiness_port = reserve_port("127.0.0.1"), reserve_port(
            "127.0.0.1"
        )
        self.metrics_port = first = reserve_port("127.0.0.1", following_count=1)
        self.path = self.folder / f"{name}.json"
        settings = self._settings(world, first)
        settings["bounds"] |= bounds or {}
        settings["contracts"] = list(contracts)
        self.path.write_text(json.dumps(settings))
        self.log = self.folder / f"{name}.log"
        self.process = None

    def _settings(self, world, first):
        return {
            "node": self.name,
            "zone": "zone-a",
            "listen": {
                "frontend_address": f"127.0.0.1:{self.callers_port}",
                "readiness_address": f"127.0.0.1:{self.readiness_port}",
            },
            "port_range": [first, first + 1],
            "platform": {"address": world.store_address, "parts": 4},
            "advice": world.advice_address,
            "bounds": {"max_hold_ms": 6000, "grace_s": 3},
        }

    def start(self):
        """Start the process."""
        environment = dict(os.environ, FIREFLYWHARF_NODE_FILE=str(self.path))
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "platform/run.py"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def read_log_lines(self):
        """Return the log lines written so far as objects; lines that are not JSON are skipped."""
        rows = []
        for line in self.log.read_text().splitlines():
            with contextlib.suppress(ValueError):
                rows.append(json.loads(line))
        return rows

    def read_log_tail(self):
        """Return the last `LOG_TAIL_BYTES` characters of the log, for error messages."""
        return self.log.read_text()[-LOG_TAIL_BYTES:]

    def call(self, method, path, body=None, timeout_s=5.0):
        """Send a request as a caller; return status, body and headers of the answer.

        The body is an empty dict if the answer is not JSON.
        """
        headers = {"Host": HOST, "Content-Type": "application/json"}
        if self.key is not None:
            headers["Authorization"] = f"Bearer {self.key}"
        with urllib3.PoolManager(retries=False) as pool:
            response = pool.request(
                method,
                f"http://127.0.0.1:{self.callers_port}{path}",
                headers=headers,
                body=None if body is None else json.dumps(body),
                timeout=timeout_s,
            )
        try:
            return response.status, json.loads(response.data), response.headers
        except ValueError:
            return response.status, {}, response.headers

    def is_ready(self):
        """Return whether the daemon reports itself as ready for callers."""
        try:
            with urllib3.PoolManager(retries=False) as pool:
                url = f"http://127.0.0.1:{self.readiness_port}/fireflywharf/readyz"
                return pool.request("GET", url, timeout=1.0).status == 200
        except urllib3.exceptions.HTTPError:
            return False


class PlatformDeployment:
    """Stand-ins for the platform and several daemon processes."""

    def __init__(self, daemons_count=2, **world):
        self.folder = create_run_folder()
        self.world = PlatformStandIns(**world)
        self.world.open()
        self.daemons = [
            PlatformDaemon(f"vm-{index}", self.world, str(self.folder))
            for index in range(daemons_count)
        ]

    def start(self):
        """Start all daemons and wait until they are ready.

        Raises:
            AssertionError: a daemon is not ready within `START_TIMEOUT_S`; the message has its exit
                status and the end of its log.
        """
        for daemon in self.daemons:
            daemon.start()
        for daemon in self.daemons:
            try:
                wait_for(daemon.is_ready, START_TIMEOUT_S, f"{daemon.name} is not ready")
            except AssertionError as error:
                status = daemon.process.poll()
                raise AssertionError(
                    f"{error}; exit status {status}\n{daemon.read_log_tail()}"
                ) from error

    def scheduler(self):
        """Return the scheduler, or None until every running daemon has logged its tenure."""
        newest, known = (0, None), []
        for daemon in self.daemons:
            lines = daemon.read_log_lines()
            for line in lines:
                if line["message"] == "scheduler is active":
                    newest = max(newest, (line["epoch"], daemon), key=lambda row: row[0])
            if daemon.process.poll() is None:
                epochs = [row["epoch"] for row in lines if row["message"] == "tenure began"]
                known.append(max(epochs, default=0))
        return newest[1] if known and min(known) == newest[0] else None

    def close(self):
        """Kill all daemons, stop the stand-ins and delete the folder with settings and logs."""
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.send_signal(signal.SIGKILL)
                daemon.process.wait()
        self.world.close()
        remove_run_folder(self.folder)


def wait_for(check, limit_s, message):
    """Wait until `check` returns a true value, and return this value.

    Raises:
        AssertionError: with `message`, if the value is still false after `limit_s`.
    """
    value = wait_until(check, limit_s, 0.05)
    assert value, message
    return value
