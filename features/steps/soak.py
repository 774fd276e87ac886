"""Randomized fault injection for daemons that run as separate processes.

A seed determines the faults and their times. Signals pause, stop and kill daemons, which are then
resumed or restarted. A proxy between each daemon and the store delays, resets, silences or cuts its
connections, and the store itself fails. Faults may overlap. The answers to callers and the task
runs on the executors are checked for violations.
"""

import asyncio
import random
import signal
import sys
import threading
import time
from types import SimpleNamespace

import urllib3
from platform_processes import PlatformDaemon, PlatformDeployment
from run_folders import keep_run_folders

from fireflywharf_testing.platform_stand_ins import StoreFault

TASK_RUN_TIME_S = 0.3
EXECUTORS_COUNT = 4
JOB_PAUSE_S = 0.12
CALL_TIMEOUT_S = 3.0
"""Time for which callers wait for an answer (`timeout_ms` of the queues)."""
VISIBILITY_DELAY_S = 3.0
"""Time after its acceptance from which every daemon must report a job."""
JOBS_END_TIMEOUT_S = 60.0
"""Time after the last fault within which every accepted job must end. It covers the detection of a
lost scheduler, the expiry of the leases of lost runs (12.5 s) and the runs themselves."""
FAULT_DURATION_MAX_S = 3.0
STORE_FAULTS = [fault for fault in StoreFault if fault is not StoreFault.NONE]
LINK_FAULTS = ["delay", "reset", "silent", "answers cut"]
LINK_DELAY_S = 0.2


class FaultProxy:
    """Forwards connections to an address and injects the fault that its mode selects."""

    def __init__(self, target):
        self.host, _, port = target.partition(":")
        self.port = int(port)
        self.mode = "pass"
        self.address = ""
        self._server = None
        self._writers = set()

    async def open(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def close(self):
        """Stop listening and abort all connections."""
        self._server.close()
        self.abort_connections()

    def set_mode(self, mode):
        """Set the fault: `pass` for none, or one of `LINK_FAULTS`."""
        self.mode = mode
        if mode == "reset":
            self.abort_connections()

    def forwards_from(self, port):
        """Return whether an open connection to the target comes from this local port."""
        return any(writer.get_extra_info("sockname")[1] == port for writer in self._writers)

    def abort_connections(self):
        """Abort all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            store_reader, store_writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, store_writer}
        await asyncio.gather(
            self._forward(reader, store_writer, answers=False),
            self._forward(store_reader, writer, answers=True),
        )
        self._writers -= {writer, store_writer}

    async def _forward(self, reader, writer, answers):
        try:
            while data := await reader.read(1 << 16):
                if self.mode == "delay":
                    await asyncio.sleep(LINK_DELAY_S)
                if self.mode == "silent" or (self.mode == "answers cut" and answers):
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.transport.abort()


class Soak:
    """One run of daemons and callers under the faults of a seed.

    Args:
        seed: seed of the faults and of the callers.
        seconds: time during which faults start.
        daemons_count: number of daemons.

    Attributes:
        events: faults injected so far, each with its time since the start.
        violations: violated guarantees, each with its time since the start.
        jobs: steps of each submitted job, by job id.
        accepted_s: time at which each accepted job was accepted, by job id.
        refused: ids of jobs for which every answer was a refusal; none of their tasks may run.
        kept_folders: copies of the settings and logs of the daemons if the run failed.
    """

    def __init__(self, seed, seconds, daemons_count=3):
        self.seed = seed
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.events = []
        self.violations = []
        self.jobs = {}
        self.accepted_s = {}
        self.refused = set()
        self.kept_folders = []
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self.deployment = PlatformDeployment(
            0, executors_count=EXECUTORS_COUNT, work_s=TASK_RUN_TIME_S
        )
        self.world = self.deployment.world
        self.proxies = [FaultProxy(self.world.store_address) for _ in range(daemons_count)]
        for index, proxy in enumerate(self.proxies):
            self.world.call(proxy.open)
            proxied_world = SimpleNamespace(
                store_address=proxy.address, advice_address=self.world.advice_address
            )
            daemon = PlatformDaemon(f"vm-{index}", proxied_world, str(self.deployment.folder))
            self.deployment.daemons.append(daemon)
        self.started_s = time.monotonic()

    def run(self):
        """Run callers under faults, end the faults, wait for the jobs to end and check the runs."""
        try:
            self.deployment.start()
            callers = [threading.Thread(target=self._run_caller, args=[n]) for n in range(3)]
            for caller in callers:
                caller.start()
            self._inject_faults()
            self._stopping.set()
            for caller in callers:
                caller.join()
            self._end_all_faults()
            self._wait_until_jobs_end()
            self._check_task_runs()
        finally:
            self._stopping.set()
            for proxy in self.proxies:
                self.world.call(proxy.close)
            for daemon in self.deployment.daemons:
                if daemon.process is not None and daemon.process.poll() is None:
                    daemon.send_signal(signal.SIGCONT)
            if self.violations or sys.exc_info()[0] is not None:
                self.kept_folders = keep_run_folders(f"soak seed {self.seed}")
            self.deployment.close()

    def _record_event(self, what):
        self.events.append(f"{time.monotonic() - self.started_s:.2f} s {what}")

    def _record_violation(self, what):
        with self._lock:
            self.violations.append(f"{time.monotonic() - self.started_s:.2f} s {what}")

    def _run_caller(self, number):
        rng = random.Random(f"{self.rng.random()}:{number}")
        count = 0
        while not self._stopping.wait(JOB_PAUSE_S):
            count += 1
            self._submit_job(rng, f"{number:04x}{count:012x}")
            self._check_accepted_job(rng)

    def _submit_job(self, rng, job_id):
        steps = [{"count": rng.randint(1, 3), "cpu": 500, "mem_mb": 100, "estimate_ms": 300}]
        if rng.random() < 0.4:
            steps.append({**steps[0], "count": rng.randint(1, 2), "after": [0]})
        self.jobs[job_id] = steps
        answers = []
        for _ in range(5):
            answers.append(self._post_job(rng, job_id, steps))
            if answers[-1] == 200:
                self.accepted_s[job_id] = time.monotonic()
                return
            if answers[-1] in (429, 503) or self._stopping.is_set():
                break
        if set(answers) <= {429, 503}:
            self.refused.add(job_id)

    def _post_job(self, rng, job_id, steps):
        daemon = rng.choice(self.deployment.daemons)
        try:
            body = {"spec": "x", "steps": steps}
            return daemon.call("POST", f"/jobs/{job_id}", body, CALL_TIMEOUT_S)[0]
        except urllib3.exceptions.HTTPError:
            return 0

    def _check_accepted_job(self, rng):
        """Check that a random daemon reports a job accepted more than `VISIBILITY_DELAY_S` ago."""
        limit_s = time.monotonic() - VISIBILITY_DELAY_S
        visible_jobs = [job_id for job_id, at_s in list(self.accepted_s.items()) if at_s < limit_s]
        if not visible_jobs:
            return
        job_id = rng.choice(visible_jobs)
        daemon = rng.choice(self.deployment.daemons)
        try:
            status, body, _ = daemon.call("GET", f"/jobs/{job_id}", timeout_s=CALL_TIMEOUT_S)
        except urllib3.exceptions.HTTPError:
            return
        if status == 410 or body.get("state") in ("failed", "cancelled"):
            self._record_violation(
                f"{daemon.name} reports accepted job {job_id} as {status} {body}"
            )

    def _inject_faults(self):
        end_s = time.monotonic() + self.seconds
        timers = []
        while time.monotonic() < end_s:
            time.sleep(self.rng.uniform(0.2, 1.5))
            timers.append(self._start_fault(self.rng.uniform(0.3, FAULT_DURATION_MAX_S)))
        for timer in timers:
            timer.join()

    def _start_fault(self, duration_s):
        """Start a random fault and return the timer that ends it after `duration_s`."""
        index = self.rng.randrange(len(self.proxies))
        daemon, proxy = self.deployment.daemons[index], self.proxies[index]
        kind = self.rng.choice(["kill", "term", "pause", "store", "history", "link", "link"])
        self._record_event(f"{kind} {daemon.name} for {duration_s:.2f} s")
        match kind:
            case "kill" | "term":
                number = signal.SIGKILL if kind == "kill" else signal.SIGTERM
                daemon.send_signal(number)
                end, arguments = self._restart, [daemon, daemon.process]
            case "pause":
                daemon.send_signal(signal.SIGSTOP)
                end, arguments = daemon.send_signal, [signal.SIGCONT]
            case "store":
                fault = self.rng.choice(STORE_FAULTS)
                self._record_event(fault.value)
                end, arguments = self._set_store_fault, [StoreFault.NONE]
                self._set_store_fault(fault)
            case "history":
                self.world.call(self.world.store.compact_topics)
                end, arguments = self._record_event, ["history was dropped"]
            case "link":
                mode = self.rng.choice(LINK_FAULTS)
                self._record_event(mode)
                self.world.call(proxy.set_mode, mode)
                end, arguments = self.world.call, [proxy.set_mode, "pass"]
        timer = threading.Timer(duration_s, end, arguments)
        timer.start()
        return timer

    def _set_store_fault(self, fault):
        self.world.store.fault = fault

    def _restart(self, daemon, process):
        """Restart a daemon after its process has ended, unless another fault has restarted it."""
        process.wait()
        with self._lock:
            if daemon.process is process:
                daemon.start()

    def _end_all_faults(self):
        self._set_store_fault(StoreFault.NONE)
        for daemon, proxy in zip(self.deployment.daemons, self.proxies, strict=True):
            self.world.call(proxy.set_mode, "pass")
            if daemon.process.poll() is None:
                daemon.send_signal(signal.SIGCONT)
            else:
                self._restart(daemon, daemon.process)

    def _wait_until_jobs_end(self):
        end_s = time.monotonic() + JOBS_END_TIMEOUT_S
        unfinished_jobs = dict.fromkeys(self.accepted_s, "")
        while unfinished_jobs and time.monotonic() < end_s:
            for job_id in list(unfinished_jobs):
                daemon = self.rng.choice(self.deployment.daemons)
                try:
                    status, body, _ = daemon.call(
                        "GET", f"/jobs/{job_id}", timeout_s=CALL_TIMEOUT_S
                    )
                except urllib3.exceptions.HTTPError as error:
                    unfinished_jobs[job_id] = type(error).__name__
                    break
                unfinished_jobs[job_id] = f"{status} {body}"
                if body.get("state") == "complete":
                    del unfinished_jobs[job_id]
            time.sleep(0.2)
        for job_id, seen in unfinished_jobs.items():
            self._record_violation(f"accepted job {job_id} has not ended; last seen as: {seen}")

    def _check_task_runs(self):
        runs_by_task = {}
        for executor in self.world.executors:
            for task, start_s, end_s, how in executor.intervals:
                runs_by_task.setdefault(task, []).append((start_s, end_s, how))
            for task in executor.overlaps:
                self._record_violation(f"{task} was started while another run of it was active")
        for task, task_runs in runs_by_task.items():
            task_runs.sort()
            for (_, end_s, how), (start_s, _, _) in zip(task_runs, task_runs[1:], strict=False):
                if start_s < end_s:
                    self._record_violation(f"{task} ran twice at the same time: {task_runs}")
                elif how == "done":
                    self._record_violation(f"{task} started after it was done: {task_runs}")
            if task.partition(".")[0] in self.refused:
                self._record_violation(f"{task} ran although its job was refused")
        self._check_step_order(runs_by_task)

    def _check_step_order(self, runs_by_task):
        for job_id, steps in self.jobs.items():
            second_step_starts_s = [
                task_runs[0][0]
                for task, task_runs in runs_by_task.items()
                if task.startswith(f"{job_id}.0.1.")
            ]
            first_step_ends_s = [
                min(
                    (end_s for _, end_s, how in runs_by_task.get(task, ()) if how == "done"),
                    default=None,
                )
                for task in (f"{job_id}.0.0.{number}" for number in range(steps[0]["count"]))
            ]
            if second_step_starts_s and (
                None in first_step_ends_s or max(first_step_ends_s) > min(second_step_starts_s)
            ):
                self._record_violation(
                    f"{job_id}: its second step started before the first was done"
                )
