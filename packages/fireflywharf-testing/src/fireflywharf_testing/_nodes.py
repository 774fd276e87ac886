"""Daemons of a test cluster, as separate processes or as threads of this process."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import threading
from typing import Any

STOP_TIMEOUT_S = 10.0
START_TIMEOUT_S = 20.0
LOG_TAIL_CHARS = 2000


class ProcessNode:
    """A daemon that runs as a separate process.

    Args:
        name: name of the entry VM.
        settings_path: TOML file with the settings of the daemon.
        stderr_path: file to which the standard error of the daemon, with its log, is appended.
    """

    def __init__(self, name: str, settings_path: pathlib.Path, stderr_path: pathlib.Path) -> None:
        self.name = name
        self.settings_path = settings_path
        self.stderr_path = stderr_path
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def running(self) -> bool:
        """Whether the process runs or is paused."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process."""
        command = [sys.executable, "-m", "fireflywharf_daemon.main", str(self.settings_path)]
        with self.stderr_path.open("ab") as stderr:
            self._process = subprocess.Popen(command, stdin=subprocess.DEVNULL, stderr=stderr)

    def kill(self) -> None:
        """Kill the process with SIGKILL, also when it is paused, and wait for its end."""
        if self.running:
            self._process.kill()
            self._process.wait(STOP_TIMEOUT_S)

    def log_tail(self) -> str:
        """Return the exit status, None while the process runs, and the end of the log."""
        status = None if self._process is None else self._process.poll()
        return f"exit status {status}\n{self.stderr_path.read_text()[-LOG_TAIL_CHARS:]}"

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    def pause(self) -> None:
        """Suspend the process with SIGSTOP until `resume`."""
        os.kill(self._process.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        os.kill(self._process.pid, signal.SIGCONT)

    def request_stop(self) -> None:
        """Ask for a graceful shutdown."""
        self._process.send_signal(signal.SIGTERM)

    def wait(self, timeout_s: float) -> int:
        """Wait for the end of the process.

        Args:
            timeout_s: time limit in seconds.

        Returns:
            The exit status; negative when a signal ended the process.

        Raises:
            TimeoutError: the process still runs after the time limit.
        """
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            raise TimeoutError(f"daemon of {self.name} still runs after {timeout_s} s") from error


class EmbeddedNode:
    """A daemon that runs in threads of this process, so that its mesh can be partitioned.

    It cannot be killed or paused.

    Args:
        name: name of the entry VM.
        settings_path: TOML file with the settings of the daemon.
        partition: drops mesh frames between blocked failure domains.
    """

    def __init__(self, name: str, settings_path: pathlib.Path, partition: "MeshPartition") -> None:
        self.name = name
        self.settings_path = settings_path
        self.partition = partition
        self._thread: threading.Thread | None = None
        self._application: Any = None
        self._status: int | None = None

    @property
    def running(self) -> bool:
        """Whether the daemon's thread is alive."""
        return self._thread is not None and self._thread.is_alive()

    def start(self) -> None:
        """Start the daemon and subject its mesh to the partition.

        Raises:
            RuntimeError: the settings are invalid, or the daemon did not start within
                `START_TIMEOUT_S`.
        """
        # Imported here, because the stand-ins alone work without the daemon's package.
        from fireflywharf_daemon.application import Application
        from fireflywharf_daemon.settings import load_settings

        settings, problems = load_settings(self.settings_path)
        if settings is None:
            raise RuntimeError("; ".join(str(problem) for problem in problems))
        self._application = Application(settings)
        self._thread = threading.Thread(target=self._run, name=self.name, daemon=True)
        self._thread.start()
        if not self._application.started.wait(START_TIMEOUT_S):
            raise RuntimeError(f"daemon of {self.name} did not start within {START_TIMEOUT_S} s")
        self.partition.intercept(self._application.context.mesh, settings.vm.failure_domain)

    def log_tail(self) -> str:
        """Return the exit status, None while the daemon runs; its log goes to this process."""
        return f"exit status {self._status}"

    def request_stop(self) -> None:
        """Ask for a graceful shutdown."""
        self._application.request_stop()

    def wait(self, timeout_s: float) -> int:
        """Wait for the end of the daemon.

        Args:
            timeout_s: time limit in seconds.

        Returns:
            The exit status.

        Raises:
            TimeoutError: the daemon still runs after the time limit.
        """
        self._thread.join(timeout_s)
        if self._thread.is_alive() or self._status is None:
            raise TimeoutError(f"daemon of {self.name} still runs after {timeout_s} s")
        return self._status

    def _run(self) -> None:
        self._status = asyncio.run(self._application.run(handle_signals=False))


class MeshPartition:
    """Simulates network partitions: drops mesh frames between failure domains, both ways.

    Args:
        domain_by_address: failure domain of each mesh address.
    """

    def __init__(self, domain_by_address: dict[str, str]) -> None:
        self.domain_by_address = domain_by_address
        self._blocked_pairs: set[frozenset[str]] = set()

    def block(self, first: str, second: str) -> None:
        """Drop all frames between two failure domains from now on."""
        self._blocked_pairs = self._blocked_pairs | {frozenset((first, second))}

    def unblock_all(self) -> None:
        """End all partitions."""
        self._blocked_pairs = set()

    def intercept(self, mesh: Any, domain: str) -> None:
        """Replace the methods of a mesh that queue and receive frames by ones that drop some.

        Calls, answers, messages and pings all pass through these two methods, so the answer to a
        call that was sent before the partition is lost as well.

        Args:
            mesh: mesh of a daemon.
            domain: failure domain of that daemon.
        """
        from fireflywharf_daemon.mesh._frames import decode_frame

        enqueue, handle = mesh._enqueue_frame, mesh._handle_frame_bytes

        def enqueue_unless_blocked(address: str, item: Any, size_bytes: int) -> bool:
            return True if self._is_blocked(domain, address) else enqueue(address, item, size_bytes)

        def handle_unless_blocked(data: bytes) -> None:
            frame = decode_frame(data)
            if frame is None or not self._is_blocked(domain, frame.sender.address):
                handle(data)

        mesh._enqueue_frame = enqueue_unless_blocked
        mesh._handle_frame_bytes = handle_unless_blocked

    def _is_blocked(self, domain: str, address: str) -> bool:
        """Return whether frames between `domain` and the domain of `address` are dropped."""
        return (
            frozenset((domain, self.domain_by_address.get(address, domain))) in self._blocked_pairs
        )
