"""Randomized faults against daemons that run as separate processes.

One seed decides which faults come when. Signals pause, stop, kill and restart daemons; a proxy
between each daemon and the store delays, resets, silences or cuts its connections; the store fails
in its own ways. Faults come in series and overlap. What callers were told and what the executors
did is checked.
"""

import asyncio
import random
import signal
import threading
import time
from types import SimpleNamespace

import urllib3
from platform_processes import PlatformDaemon, PlatformDeployment

from fireflywharf_testing.platform_stand_ins import StoreFault

WORK_S = 0.3
EXECUTORS_COUNT = 4
JOB_PAUSE_S = 0.12
CALL_S = 3.0
"""Time that callers wait for an answer (`timeout_ms` of the queues)."""
VISIBLE_S = 3.0
"""Time after which an accepted job must be known everywhere."""
SETTLE_S = 60.0
"""Time after the last fault in which every accepted job must end: silence of the scheduler, leases
of lost runs (12.5 s) and the work itself."""
FAULT_MAX_S = 3.0
STORE_FAULTS = [fault for fault in StoreFault if fault is not StoreFault.NONE]
LINK_FAULTS = ["delay", "reset", "silent", "answers cut"]
DELAY_S = 0.2


class FaultProxy:
    """Forwards connections to an address and harms them as told."""

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
        """Stop listening and break all connections."""
        self._server.close()
        self.reset()

    def set_mode(self, mode):
        """Change how connections are harmed."""
        self.mode = mode
        if mode == "reset":
            self.reset()

    def reset(self):
        """Break all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        await asyncio.gather(
            self._pump(reader, far_writer, answers=False),
            self._pump(far_reader, writer, answers=True),
        )
        self._writers -= {writer, far_writer}

    async def _pump(self, reader, writer, answers):
        try:
            while data := await reader.read(1 << 16):
                if self.mode == "delay":
                    await asyncio.sleep(DELAY_S)
                if self.mode == "silent" or (self.mode == "answers cut" and answers):
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.transport.abort()


class Soak:
    """One run of daemons, callers and faults under a seed."""

    def __init__(self, seed, seconds, daemons_count=3):
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.events = []
        self.violations = []
        self.jobs = {}
        self.accepted_s = {}
        self.refused = set()
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self.deployment = PlatformDeployment(0, executors_count=EXECUTORS_COUNT, work_s=WORK_S)
        self.world = self.deployment.world
        self.proxies = [FaultProxy(self.world.store_address) for _ in range(daemons_count)]
        for index, proxy in enumerate(self.proxies):
            self.world.call(proxy.open)
            reached = SimpleNamespace(
                store_address=proxy.address, advice_address=self.world.advice_address
            )
            daemon = PlatformDaemon(f"vm-{index}", reached, self.deployment.folder.name)
            self.deployment.daemons.append(daemon)
        self.started_s = time.monotonic()

    def run(self):
        """Run the load under faults, wait until all has settled, and check."""
        try:
            self.deployment.start()
            callers = [threading.Thread(target=self._call, args=[n]) for n in range(3)]
            for caller in callers:
                caller.start()
            self._inject()
            self._stopping.set()
            for caller in callers:
                caller.join()
            self._heal()
            self._settle()
            self._check_runs()
        finally:
            self._stopping.set()
            for proxy in self.proxies:
                self.world.call(proxy.close)
            for daemon in self.deployment.daemons:
                if daemon.process is not None and daemon.process.poll() is None:
                    daemon.send_signal(signal.SIGCONT)
            self.deployment.close()

    def _note(self, what):
        self.events.append(f"{time.monotonic() - self.started_s:.2f} s {what}")

    def _violated(self, what):
        with self._lock:
            self.violations.append(f"{time.monotonic() - self.started_s:.2f} s {what}")

    def _call(self, number):
        rng = random.Random(f"{self.rng.random()}:{number}")
        count = 0
        while not self._stopping.wait(JOB_PAUSE_S):
            count += 1
            self._submit(rng, f"{number:04x}{count:012x}")
            self._look(rng)

    def _submit(self, rng, job_id):
        steps = [{"count": rng.randint(1, 3), "cpu": 500, "mem_mb": 100, "estimate_ms": 300}]
        if rng.random() < 0.4:
            steps.append({**steps[0], "count": rng.randint(1, 2), "after": [0]})
        self.jobs[job_id] = steps
        answers = []
        for _ in range(5):
            answers.append(self._post(rng, job_id, steps))
            if answers[-1] == 200:
                self.accepted_s[job_id] = time.monotonic()
                return
            if answers[-1] in (429, 503) or self._stopping.is_set():
                break
        if set(answers) <= {429, 503}:
            self.refused.add(job_id)

    def _post(self, rng, job_id, steps):
        daemon = rng.choice(self.deployment.daemons)
        try:
            body = {"spec": "x", "steps": steps}
            return daemon.call("POST", f"/jobs/{job_id}", body, CALL_S)[0]
        except urllib3.exceptions.HTTPError:
            return 0

    def _look(self, rng):
        """Ask about a job that was accepted a while ago."""
        limit_s = time.monotonic() - VISIBLE_S
        known = [job_id for job_id, at_s in list(self.accepted_s.items()) if at_s < limit_s]
        if not known:
            return
        job_id = rng.choice(known)
        daemon = rng.choice(self.deployment.daemons)
        try:
            status, body, _ = daemon.call("GET", f"/jobs/{job_id}", timeout_s=CALL_S)
        except urllib3.exceptions.HTTPError:
            return
        if status == 410 or body.get("state") in ("failed", "cancelled"):
            self._violated(f"{daemon.name} shows {job_id} as {status} {body}")

    def _inject(self):
        end_s = time.monotonic() + self.seconds
        timers = []
        while time.monotonic() < end_s:
            time.sleep(self.rng.uniform(0.2, 1.5))
            timers.append(self._fault(self.rng.uniform(0.3, FAULT_MAX_S)))
        for timer in timers:
            timer.join()

    def _fault(self, for_s):
        """Begin a fault and return the timer that ends it."""
        index = self.rng.randrange(len(self.proxies))
        daemon, proxy = self.deployment.daemons[index], self.proxies[index]
        kind = self.rng.choice(["kill", "term", "pause", "store", "history", "link", "link"])
        self._note(f"{kind} {daemon.name} for {for_s:.2f} s")
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
                self._note(fault.value)
                end, arguments = self._set_store, [StoreFault.NONE]
                self._set_store(fault)
            case "history":
                self.world.call(self.world.store.compact_topics)
                end, arguments = self._note, ["history was dropped"]
            case "link":
                mode = self.rng.choice(LINK_FAULTS)
                self._note(mode)
                self.world.call(proxy.set_mode, mode)
                end, arguments = self.world.call, [proxy.set_mode, "pass"]
        timer = threading.Timer(for_s, end, arguments)
        timer.start()
        return timer

    def _set_store(self, fault):
        self.world.store.fault = fault

    def _restart(self, daemon, process):
        """Start a daemon again once its process has ended, unless another fault has done so."""
        process.wait()
        with self._lock:
            if daemon.process is process:
                daemon.start()

    def _heal(self):
        self._set_store(StoreFault.NONE)
        for daemon, proxy in zip(self.deployment.daemons, self.proxies, strict=True):
            self.world.call(proxy.set_mode, "pass")
            if daemon.process.poll() is None:
                daemon.send_signal(signal.SIGCONT)
            else:
                self._restart(daemon, daemon.process)

    def _settle(self):
        end_s = time.monotonic() + SETTLE_S
        left = dict.fromkeys(self.accepted_s, "")
        while left and time.monotonic() < end_s:
            for job_id in list(left):
                daemon = self.rng.choice(self.deployment.daemons)
                try:
                    status, body, _ = daemon.call("GET", f"/jobs/{job_id}", timeout_s=CALL_S)
                except urllib3.exceptions.HTTPError as error:
                    left[job_id] = type(error).__name__
                    break
                left[job_id] = f"{status} {body}"
                if body.get("state") == "complete":
                    del left[job_id]
            time.sleep(0.2)
        for job_id, seen in left.items():
            self._violated(f"{job_id} was accepted and has not ended: {seen}")

    def _check_runs(self):
        runs = {}
        for executor in self.world.executors:
            for task, start_s, end_s, how in executor.intervals:
                runs.setdefault(task, []).append((start_s, end_s, how))
            for task in executor.overlaps:
                self._violated(f"{task} was started while another run of it was there")
        for task, rows in runs.items():
            rows.sort()
            for (_, end_s, how), (start_s, _, _) in zip(rows, rows[1:], strict=False):
                if start_s < end_s:
                    self._violated(f"{task} ran twice at the same time: {rows}")
                elif how == "done":
                    self._violated(f"{task} started after it was done: {rows}")
            if task.partition(".")[0] in self.refused:
                self._violated(f"{task} ran, and its job was refused")
        self._check_order(runs)

    def _check_order(self, runs):
        for job_id, steps in self.jobs.items():
            starts = [
                rows[0][0] for task, rows in runs.items() if task.startswith(f"{job_id}.0.1.")
            ]
            done = [
                min((end_s for _, end_s, how in runs.get(task, ()) if how == "done"), default=None)
                for task in (f"{job_id}.0.0.{number}" for number in range(steps[0]["count"]))
            ]
            if starts and (None in done or max(done) > min(starts)):
                self._violated(f"{job_id}: its second step started before the first was done")
