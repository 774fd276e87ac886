"""Daemons whose connections go silent and whose calls to the store are rejected, as a seed says.

Whether a rule holds is decided by what the stand-in workers and the callers see, in the times that
the users' pages allow.
"""

import json
import random
import signal
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

import attrs
import urllib3
from aiohttp import web
from connection_soak_keys import APPLY_S, KEY_SETTINGS, PERMANENT_KEY, KeyCallers, KeyRing
from platform_processes import PlatformDaemon, PlatformDeployment, wait_for
from run_folders import keep_run_folders

from fireflywharf_testing import wait_until
from fireflywharf_testing.platform_stand_ins import Direction

CONTACT_S, CANCEL_S, STOP_S, CONFIG_APPLY_S = 4.0, 3.0, 0.2, 2.5
"""The bounds `contact_ms`, `cancel_ms`, `stop_ms` and `config_apply_ms`."""
CHECK_S = 0.1
"""Time that a check may take itself."""
EXECUTORS_COUNT = 3
LASTING_WORK_S, BURST_WORK_S, BURST_TASKS_COUNT = 120.0, 0.3, 36
QUERIES_COUNT, CALLERS_COUNT = 60, 30
FAULTS_S = 5.0
SILENCES_MAX_COUNT = 3
REJECTING_SHARE = 0.7
REJECTION_KINDS = ["429", "503", "reset", "no answer"]
WAVE = {"wave": 1, "machines": ["m-1"], "duration_s": 60, "cap": 1}
FIRST_QUEUES_COUNT = 8
KEY_CHANGES_COUNT = 4
SUSPENSION_S = 7.0
"""Duration of a suspension; longer than the bound for revocations."""
CUT_OFF_AFTER_S = 2.0
READY_S = 6.0


@attrs.define
class Rejection:
    """What a store does with the calls of some daemons.

    Args:
        share: share of the calls that are rejected.
        kind: status of the answer, `reset` or `no answer`.
        rng: draws which calls are rejected; used only by the thread of the stand-ins.
        topic: topic whose calls are rejected; empty for all.
    """

    share: float
    kind: str
    rng: random.Random = attrs.field(repr=False)
    topic: str = ""


class ConnectionSoak:
    """One run under the faults of a seed.

    Args:
        seed: seed of the faults.
        rounds_count: number of rounds; each has faults, a pause and checks.
        daemons_count: number of daemons.
        with_keys: whether calls need keys, which are then revoked and added during the faults.

    Attributes:
        events: what was done, with times in seconds since the start.
        breaches: broken rules.
        kept_folders: copies of the logs, if the run failed.
        callers: callers with keys; None without keys.
    """

    def __init__(self, seed, rounds_count=2, daemons_count=4, with_keys=False):
        self.seed, self.rounds_count = seed, rounds_count
        self.events, self.breaches, self.kept_folders = [], [], []
        self._rng = random.Random(seed)
        # Keys have draws of their own, so that a seed gives the same faults without them.
        self._key_rng = random.Random(f"keys {seed}")
        self._ring = KeyRing(self._key_rng) if with_keys else None
        self._config_apply_s = APPLY_S if with_keys else CONFIG_APPLY_S
        self.callers = None
        self.outdated_count = 0
        self._rejections = {}
        self._begin_s = time.monotonic()
        self.deployment = PlatformDeployment(0, executors_count=EXECUTORS_COUNT)
        self.world = world = self.deployment.world
        self._store_servers = {}
        for index in range(daemons_count):
            name = f"vm-{index}"
            address, server = world.add_store_server(
                lambda request, name=name: self._reject(name, request)
            )
            self._store_servers[name] = server
            addresses = SimpleNamespace(store_address=address, advice_address=world.advice_address)
            folder = str(self.deployment.folder)
            daemon = PlatformDaemon(name, addresses, folder, **(KEY_SETTINGS if with_keys else {}))
            daemon.key = PERMANENT_KEY if with_keys else None
            self.deployment.daemons.append(daemon)
        self.queues = []
        self._queues_count = 0
        self._version = 1

    def run(self):
        """Run all rounds, and keep the logs if a rule was broken."""
        try:
            for _ in range(FIRST_QUEUES_COUNT):
                self._add_queue()
            self._put_configuration()
            self.deployment.start()
            wait_for(self.deployment.scheduler, 5.0, "no scheduler")
            if self._ring is not None:
                self._start_callers()
            for number in range(self.rounds_count):
                self._play_round(number)
                if self._ring is not None:
                    self._cut_off()
        finally:
            if self.callers is not None:
                self.callers.stop()
                self.breaches += self.callers.breaches
                self._note(f"calls with keys: {dict(sorted(self.callers.statuses.items()))}")
                self.outdated_count = sum(
                    row.get("reason") == "the configuration is outdated"
                    for daemon in self.deployment.daemons
                    for row in daemon.read_log_lines()
                )
            if self.breaches or sys.exc_info()[0] is not None:
                (self.deployment.folder / "connection-soak.txt").write_text(
                    "\n".join([*self.breaches, *self.events]) + "\n"
                )
                self.kept_folders = keep_run_folders(f"connection soak seed {self.seed}")
            self.deployment.close()

    def _note(self, text):
        self.events.append(f"{time.monotonic() - self._begin_s:7.3f} {text}")

    # Faults.

    def _reject(self, name, request):
        """Return the answer to a call that is rejected; runs in the thread of the stand-ins."""
        rejection = self._rejections.get(name)
        if rejection is None or rejection.topic not in request.query.get("topic", ""):
            return None
        if rejection.rng.random() >= rejection.share:
            return None
        match rejection.kind:
            case "reset":
                request.transport.abort()
            case "no answer":
                self._store_servers[name].silence_one(request.transport)
        return web.Response(status=int(rejection.kind) if rejection.kind.isdigit() else 503)

    def _silence(self):
        target, direction = self._rng.choice(["workers", "store"]), self._rng.choice([*Direction])
        servers = self._store_servers.values()
        if target == "workers":
            servers = self.world.executor_servers
        count = sum(self.world.call(server.silence, direction) for server in servers)
        self._note(f"{count} connections to the {target} lose {direction.value}")

    def _begin_rejections(self):
        count = max(1, len(self.deployment.daemons) // 3)
        daemons = self._rng.sample(self.deployment.daemons, count)
        rejection = Rejection(
            self._rng.uniform(0.5, 0.95),
            self._rng.choice(REJECTION_KINDS),
            random.Random(self._rng.random()),
        )
        self._rejections = {daemon.name: rejection for daemon in daemons}
        self._note(f"the store rejects calls of {sorted(self._rejections)}: {rejection}")

    def _end_rejections(self):
        if self._rejections:
            self._rejections = {}
            self._note("the store serves all calls")

    # The operator.

    def _add_queue(self):
        self._queues_count += 1
        self.queues.append(f"q{self._queues_count}")

    def _put_configuration(self):
        first = self.world.configuration["routes"][0]
        routes = [{**first, "name": name, "path_prefix": f"/{name}/"} for name in self.queues]
        self._version += 1
        configuration = {
            **self.world.configuration,
            "version": self._version,
            "routes": [first, *routes],
        }
        if self._ring is None:
            self.world.call(self.world.put_configuration, configuration)
        else:
            self._ring.put(
                lambda teams: self.world.call(
                    self.world.put_configuration, {**configuration, "tenants": teams}
                )
            )

    def _change_keys(self):
        self._note(f"version {self._version + 1}: {self._ring.change()}")
        self._put_configuration()

    def _change_configuration(self):
        """Add or drop a queue; records of upkeep come before and after the version at random."""
        before, after = self._rng.random() < 0.5, self._rng.random() < 0.7
        if before:
            self.world.call(self.world.store.put, "keyed.op", "wave/1", WAVE)
        if self._rng.random() < 0.5:
            dropped = self.queues.pop(self._rng.randrange(len(self.queues)))
            self._note(f"version {self._version + 1} drops {dropped}")
        else:
            self._add_queue()
            self._note(f"version {self._version + 1} adds {self.queues[-1]}")
        self._put_configuration()
        if after:
            time.sleep(self._rng.uniform(0.0, 0.3))
            self.world.call(self.world.store.put, "keyed.op", "wave/1", WAVE)

    # A round.

    def _play_round(self, number):
        lasting_id = f"{self.seed % 65536:04x}{number:04x}000000a1"
        rng = self._rng
        self._open_connections(lasting_id, number)
        begin_s = time.monotonic()
        actions = [
            (rng.uniform(0.0, FAULTS_S), self._silence)
            for _ in range(rng.randint(1, SILENCES_MAX_COUNT))
        ]
        if rng.random() < REJECTING_SHARE:
            actions.append((rng.uniform(0.0, 0.3 * FAULTS_S), self._begin_rejections))
        actions += [
            (rng.uniform(0.2 * FAULTS_S, FAULTS_S), self._change_configuration) for _ in range(2)
        ]
        if self._ring is not None:
            actions += [
                (self._key_rng.uniform(0.0, FAULTS_S), self._change_keys)
                for _ in range(KEY_CHANGES_COUNT)
            ]
        for at_s, action in sorted(actions, key=lambda row: row[0]):
            time.sleep(max(0.0, begin_s + at_s - time.monotonic()))
            action()
        self._end_rejections()
        time.sleep(CONTACT_S)
        self._check_configuration("after the faults")
        self._change_configuration()
        changed_s = time.monotonic()
        self._cancel(lasting_id)
        time.sleep(max(0.0, changed_s + self._config_apply_s - time.monotonic()))
        self._check_configuration("after a change in calm")

    def _start_callers(self):
        path = self.world.configuration["routes"][0]["path_prefix"]
        self.callers = KeyCallers(self._ring, self.deployment.daemons, path, self.seed)
        self.callers.start()

    def _cut_off(self):
        """Cut two daemons off from the configuration, suspend one, and revoke keys meanwhile.

        Calls wait in the socket of the suspended daemon, and are handled before its next read. The
        journal can be read, since without it daemons reject all calls, also with a wrong check.
        """
        suspended, other = self._key_rng.sample(self.deployment.daemons, 2)
        kind = self._key_rng.choice(REJECTION_KINDS)
        self._rejections = {
            daemon.name: Rejection(1.0, kind, random.Random(0), "keyed.op")
            for daemon in (suspended, other)
        }
        for name in self._rejections:
            self.world.call(self._store_servers[name].silence, Direction.ANSWERS)
        self._note(f"{sorted(self._rejections)} are cut off from the configuration: {kind}")
        suspended.send_signal(signal.SIGSTOP)
        self._note(f"{suspended.name} is suspended")
        try:
            for _ in range(KEY_CHANGES_COUNT):
                self._change_keys()
            time.sleep(SUSPENSION_S)
        finally:
            suspended.send_signal(signal.SIGCONT)
            self._note(f"{suspended.name} is resumed")
        time.sleep(CUT_OFF_AFTER_S)
        self._end_rejections()
        for daemon in self.deployment.daemons:
            wait_for(daemon.is_ready, READY_S, f"{daemon.name} is not ready after it was cut off")

    def _open_connections(self, lasting_id, number):
        """Start a lasting run, and leave many idle connections to the workers and the store."""
        daemon = self._rng.choice(self.deployment.daemons)
        self._submit(daemon, lasting_id, 1, LASTING_WORK_S)
        assert wait_until(lambda: self._find_runs(lasting_id), 8.0), "no lasting run"
        burst_id = f"{self.seed % 65536:04x}{number:04x}000000b1"
        self._submit(daemon, burst_id, BURST_TASKS_COUNT, BURST_WORK_S)
        queries = [
            (each, f"/jobs/{index:016x}")
            for index in range(QUERIES_COUNT)
            for each in self.deployment.daemons
        ]
        with ThreadPoolExecutor(CALLERS_COUNT) as pool:
            list(pool.map(lambda query: query[0].call("GET", query[1]), queries))
        assert wait_until(lambda: not self._find_runs(burst_id), 8.0), "the burst runs on"

    def _submit(self, daemon, job_id, count, work_s):
        step = {"count": count, "cpu": 500, "mem_mb": 100, "estimate_ms": int(1000 * work_s)}
        body = {"spec": json.dumps({"work_s": work_s}), "steps": [step]}
        status, _, _ = daemon.call("POST", f"/jobs/{job_id}", body)
        assert status == 200, (job_id, status)

    def _find_runs(self, job_id):
        return [
            (executor.executor_id, task, number)
            for executor in self.world.executors
            for task, number in list(executor.runs)
            if task.startswith(job_id)
        ]

    # Checks.

    def _cancel(self, lasting_id):
        daemon = self._rng.choice(self.deployment.daemons)
        status, _, _ = daemon.call("DELETE", f"/jobs/{lasting_id}")
        self._note(f"{daemon.name} answers {status} to the cancel of {lasting_id}")
        if status not in (200, 410):
            self.breaches.append(f"cancel of {lasting_id} at {daemon.name}: status {status}")
            return
        limit_s = CANCEL_S + STOP_S + CHECK_S
        if not wait_until(lambda: not self._find_runs(lasting_id), limit_s):
            runs = self._find_runs(lasting_id)
            self.breaches.append(f"UNASKED: {runs} go on {limit_s} s after the cancel")

    def _check_configuration(self, when):
        """Ask each daemon for all queues that were ever served."""
        for daemon in self.deployment.daemons:
            for number in range(1, self._queues_count + 1):
                name = f"q{number}"
                expected = 200 if name in self.queues else 404
                try:
                    status, _, _ = daemon.call("GET", f"/{name}/")
                except urllib3.exceptions.HTTPError as error:
                    status = repr(error)
                if status in (200, 404) and status != expected:
                    self.breaches.append(
                        f"CONFIG: {daemon.name} answers {status} for {name} {when}, version"
                        f" {self._version} expects {expected}"
                    )
