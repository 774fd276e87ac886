"""Stand-ins for the store, the executors, the advice service and the clients, and daemon processes.

They implement the users' PROTOCOL.md. Where that page is silent they do the harmless thing. All of
them live in the event loop of the script; only the project's own daemons are separate processes.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import socket
import struct
import sys
import tempfile
import time
import tomllib
import weakref

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "target" / "deps"))

import aiohttp  # noqa: E402
from aiohttp import web  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "queue.example"
SERVICE = "svc"
PLAIN, ADVISED = "/plain/", "/advised/"
MAX_HOLD_S, STOP_S, GANG_TIMEOUT_S = 6.0, 0.05, 3.0
VISIBLE_S, FINISH_S = 3.0, 14.0
ENDS_MAX = 500
ENTRY_EXPIRY_S = 4.5
"""Three liveness report intervals of 1,500 ms."""
LENGTH, HEAD = struct.Struct(">I"), struct.Struct(">QQ")


async def never():
    """Wait until cancelled: the request gets no answer."""
    await asyncio.Event().wait()


class Record:
    """Events of one run of the script, in order, with the time since its start."""

    def __init__(self):
        self.started_s = time.monotonic()
        self.lines = []

    def add(self, text):
        self.lines.append(f"{time.monotonic() - self.started_s:8.3f} {text}")

    def save(self, path):
        pathlib.Path(path).write_text("\n".join(self.lines) + "\n")


class Server:
    """An HTTP server on a fixed loopback port that can crash and come back."""

    def __init__(self, handler):
        self.handler, self.port, self.runner = handler, 0, None

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def open(self):
        self.server = web.Server(self.handler, access_log=None)
        self.runner = web.ServerRunner(self.server, shutdown_timeout=0.05)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", self.port, backlog=512).start()
        self.port = self.runner.addresses[0][1]

    async def crash(self):
        """Stop listening and reset all connections."""
        for connection in list(self.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await self.runner.cleanup()


class Topic:
    def __init__(self):
        self.records, self.newest, self.epochs, self.sequences, self.answers = [], {}, {}, {}, {}
        self.added = asyncio.Event()


class Store:
    """The platform's metadata store in its `log` form.

    `silent` holds the names of the machines whose calls get no answer and have no effect; `leader`
    is the machine that last wrote under a condition. If `cut_on` is set, the next machine that
    writes these bytes under a condition becomes silent as the answer is on its way.
    """

    def __init__(self, record):
        self.record, self.topics, self.silent = record, {}, set()
        self.delay_s, self.leader, self.cut_on = 0.004, None, None

    def topic(self, name, part=0):
        return self.topics.setdefault((name, int(part)), Topic())

    def put(self, name, key, value):
        """Write a record as the operator or an executor does."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._append(name, self.topic(name), [bytes([len(key)]) + key.encode() + content])

    def _append(self, name, topic, records):
        offset = len(topic.records)
        for row in records:
            if name.startswith("keyed."):
                key, value = row[1 : 1 + row[0]].decode(), row[1 + row[0] :]
                if value:
                    topic.newest[key] = (len(topic.records), value)
                else:
                    topic.newest.pop(key, None)
            topic.records.append(row)
        if records:
            topic.added.set()
            topic.added = asyncio.Event()
        return {"offset": offset, "end": len(topic.records)}

    def handler(self, machine):
        async def serve(request):
            if machine in self.silent:
                await never()
            body = await request.read()
            await asyncio.sleep(self.delay_s)
            if machine in self.silent:
                await never()
            call = request.path.rpartition("/")[2]
            if call == "log-append":
                status, answer = self._serve_append(request.query, body)
                if status == 200 and "producer" in request.query:
                    self.leader = machine
                    if self.cut_on and self.cut_on in body:
                        self.cut_on = None
                        self.silent.add(machine)
                response = web.json_response(answer, status=status)
            elif call == "log-read":
                response = await self._serve_read(request.query)
            elif call == "log-newest":
                response = self._serve_newest(request.query)
            else:
                response = web.Response(status=404)
            if machine in self.silent:
                await never()
            return response

        return serve

    def _serve_append(self, query, body):
        name, topic, records, at = query["topic"], self.topic(query["topic"], query["part"]), [], 0
        if name in ("keyed.op", "keyed.servers"):
            return 403, {}
        while at < len(body):
            (size,) = LENGTH.unpack_from(body, at)
            records.append(body[at + 4 : at + 4 + size])
            at += 4 + size
        if "at" in query and int(query["at"]) != len(topic.records):
            return 412, {"end": len(topic.records)}
        producer = query.get("producer")
        if producer is None:
            return 200, self._append(name, topic, records)
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        known = topic.epochs.get(producer, -1)
        if epoch < known:
            return 409, {"reason": "fenced"}
        if epoch > known:
            topic.epochs[producer], topic.answers[producer] = epoch, []
        else:
            for number, answer in topic.answers[producer]:
                if number == sequence:
                    return 200, answer
            if sequence != topic.sequences[producer] + 1:
                return 409, {"reason": "seq", "sequence": topic.sequences[producer] + 1}
        topic.sequences[producer] = sequence
        answer = self._append(name, topic, records)
        topic.answers[producer] = [*topic.answers[producer], (sequence, answer)][-5:]
        return 200, answer

    async def _serve_read(self, query):
        topic, first = self.topic(query["topic"], query["part"]), int(query["from"])
        limit = int(query.get("max_kb", 1024)) * 1024
        if first >= len(topic.records) and int(query.get("wait_ms", 0)):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                    await topic.added.wait()
        body = HEAD.pack(len(topic.records), 0)
        for row in topic.records[first:]:
            body += LENGTH.pack(len(row)) + row
            if len(body) >= limit:
                break
        return web.Response(body=body)

    def _serve_newest(self, query):
        topic = self.topic(query["topic"], query["part"])
        keys = sorted(key for key in topic.newest if key > query.get("after", ""))
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:500]
        ]
        end = len(topic.records)
        return web.json_response({"items": items, "more_pages": len(keys) > 500, "end": end})


class Run:
    def __init__(self, task, number, spec, now_s):
        self.task, self.number, self.spec, self.started_s = task, number, spec, now_s
        self.work_s = spec.get("ms", 300) / 1000
        self.ends_s = now_s + self.work_s
        self.step = task.rpartition(".")[0]

    def percent(self, now_s):
        return max(0, min(99, int(100 * (1 - (self.ends_s - now_s) / self.work_s))))


class Executor:
    """An executor. What a task does is in its `spec`: JSON with `ms` and `gang` (its members)."""

    def __init__(self, world, executor_id, labels):
        self.world, self.executor_id, self.labels = world, executor_id, labels
        self.server = Server(self.serve)
        self.cut = self.grey = self.up = False
        self.late_share, self.life_by_transport, self.dark = 0.0, weakref.WeakKeyDictionary(), False
        self.state = "ready"

    async def start(self):
        self._begin_life()
        await self.server.open()
        self.register()

    def _begin_life(self):
        self.born = int(time.time() * 1000)
        self.clock_from_s = time.monotonic() - 1.0
        self.fence, self.lease_s, self.runs, self.ended = 0, 0.0, {}, {}
        self.finished, self.serial, self.news = [], 0, asyncio.Event()
        self.up = True

    def drain(self):
        self.state, self.draining_s = "draining", time.monotonic()
        self.register()

    def register(self):
        self.world.store.put(
            "keyed.servers",
            self.executor_id,
            {
                "service": SERVICE,
                "address": self.server.address,
                "zone": "zone-a",
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold_remaining_ms": 0,
                "sequence": 1,
                "born": self.born,
                "capacity": {"cpu": 16000, "mem_mb": 65536, "gpu": 0},
                "labels": self.labels,
            },
        )

    async def crash(self):
        """End at once; everything that runs is gone. The entry expires if it does not return."""
        self.up = False
        for run in self.runs.values():
            self.world.end(self, run, "gone")
        self.runs = {}
        await self.server.crash()
        self.world.spawn(self._expire(self.born))

    async def reboot_dark(self, down_s):
        """Lose power, silently, and start again under the same id after a while.

        The peers of the old connections learn of it when they send something: a reset.
        """
        self.dark, self.up = True, False
        for run in self.runs.values():
            self.world.end(self, run, "gone")
        self.runs = {}
        await asyncio.sleep(down_s)
        self._begin_life()
        self.dark = False
        self.register()

    async def _expire(self, born):
        await asyncio.sleep(ENTRY_EXPIRY_S)
        if not self.up and self.born == born:
            self.world.store.put("keyed.servers", self.executor_id, b"")

    def clock_ms(self):
        return int((time.monotonic() - self.clock_from_s) * 1000)

    def tick(self, now_s):
        for run in list(self.runs.values()):
            size = run.spec.get("gang", 0)
            if now_s >= self.lease_s:
                self._end(run, "lapsed")
            elif self.grey and now_s >= run.started_s + 0.01:
                self._end(run, "failed")
            elif size:
                self._tick_gang(run, size, now_s)
            elif now_s >= run.ends_s:
                self._end(run, "done")

    def _tick_gang(self, run, size, now_s):
        gang = self.world.gang(run.step, run.number)
        if gang["broken"]:
            self._end(run, "broken")
        elif len(gang["present"]) < size:
            if now_s >= run.started_s + GANG_TIMEOUT_S:
                self._end(run, "alone")
            run.ends_s = now_s + run.work_s
        elif now_s >= run.ends_s or gang["done"]:
            gang["done"] = True
            self._end(run, "done")

    def _end(self, run, how):
        if self.runs.pop((run.task, run.number), None) is None:
            return
        if run.spec.get("gang") and how != "done":
            self.world.gang(run.step, run.number)["broken"] = True
        self.ended[run.task] = max(run.number, self.ended.get(run.task, 0))
        self.serial += 1
        self.finished.append([self.serial, run.task, run.number, how, ""])
        self.world.end(self, run, how)
        self.news.set()
        self.news = asyncio.Event()

    def _renew(self, body):
        if "deadline_ms" in body:
            left_s = (body["deadline_ms"] - self.clock_ms()) / 1000
            self.lease_s = max(self.lease_s, time.monotonic() + min(MAX_HOLD_S, left_s))

    def _answer(self, status=200, **fields):
        return web.json_response(
            {"clock_ms": self.clock_ms(), "born": self.born, **fields}, status=status
        )

    async def serve(self, request):
        if self.cut or self.dark:
            await never()
        life = self.born
        if self.life_by_transport.setdefault(request.transport, life) != life:
            request.transport.abort()
            await never()
        response = await self._serve(request)
        if self.cut or self.dark or self.born != life:
            await never()
        return response

    async def _serve(self, request):
        if request.headers.get("X-Fireflywharf-Expected-Instance") != self.executor_id:
            return web.Response(status=421)
        body = await request.json()
        if self.cut or self.dark:
            await never()
        if body.get("fencing_token", 0) < self.fence:
            return self._answer(409, reason="fence")
        self.fence = body.get("fencing_token", 0)
        call = request.path.rpartition("/")[2]
        orders = {"run-start": self._start, "run-stop": self._stop}
        if call in orders and random.random() < self.late_share:
            self.world.record.add(f"{call} {body['task']} run {body['run']}: no answer, done late")
            self.world.spawn(self._execute_late(orders[call], body))
            await never()
        if call in orders:
            return orders[call](body)
        return await self._hold(body) if call == "hold" else web.Response(status=404)

    async def _execute_late(self, order, body):
        born = self.born
        await asyncio.sleep(random.uniform(2, 12))
        if self.up and self.born == born and body.get("fencing_token", 0) >= self.fence:
            order(body)

    def _start(self, body):
        task, number = body["task"], body["run"]
        if body["deadline_ms"] < self.clock_ms():
            return self._answer(409, reason="late")
        if (task, number) in self.runs:
            return self._answer()
        if number <= self.ended.get(task, 0):
            self._renew(body)
            return self._answer(409, reason="old")
        if task.partition(".")[0] in self.world.advised_jobs and not self.world.is_ticket_valid(
            body.get("ticket"), self, task.rpartition(".")[0]
        ):
            self.world.record.add(f"run-start {task} run {number}: the ticket is not valid")
            return self._answer(409, reason="ticket")
        self._renew(body)
        run = Run(task, number, json.loads(body["spec"]), time.monotonic())
        self.runs[task, number] = run
        self.world.begin(self, run)
        return self._answer()

    def _stop(self, body):
        task, number = body["task"], body["run"]
        run = self.runs.get((task, number))
        if run is not None:
            self._end(run, "stopped")
        self.ended[task] = max(number, self.ended.get(task, 0))
        return self._answer()

    async def _hold(self, body):
        self._renew(body)
        self.finished = [row for row in self.finished if row[0] > body.get("acknowledged", 0)]
        if body.get("acknowledged", 0):
            self.world.acknowledge(self, body["acknowledged"])
        if not self.finished and body.get("wait_ms", 0):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(2.0, body["wait_ms"] / 1000)):
                    await self.news.wait()
        now_s = time.monotonic()
        running = [
            [run.task, run.number, "", run.percent(now_s), 1000] for run in self.runs.values()
        ]
        return self._answer(running=running, finished=self.finished[:ENDS_MAX])


class Daemon:
    """A process of the project, started with the command of the deploy file."""

    def __init__(self, world, name):
        self.world, self.name, self.process = world, name, None
        self.store = Server(world.store.handler(name))
        self.advice = Server(world.advice_handler(asyncio.Lock()))

    def prepare(self):
        first = reserve_ports(5)
        self.callers, self.ready, control, ports = (
            first,
            first + 1,
            first + 2,
            [first + 3, first + 4],
        )
        self.path = self.world.folder / f"{self.name}.json"
        settings = {
            "node": self.name,
            "role": "entry",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": "127.0.0.1",
            "zone": "zone-a",
            "region": "region-a",
            "zones": {"zone-a": "region-a"},
            "listen": {
                "frontend_address": f"127.0.0.1:{self.callers}",
                "readiness_address": f"127.0.0.1:{self.ready}",
                "control": f"127.0.0.1:{control}",
            },
            "port_range": ports,
            "seeds": [],
            "bootstrap": True,
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300, "link_mbps": 1000.0},
            "heartbeat_ms": 1500,
            "orders": "invocation",
            "advice": self.advice.address,
            "bounds": {"max_hold_ms": 6000, "grace_s": 6, "config_apply_ms": 2500},
            "platform": {
                "address": self.store.address,
                "form": "log",
                "parts": 24,
                "record_bytes": 262144,
                "request_bytes": 2097152,
            },
        }
        self.path.write_text(json.dumps(settings))

    async def start(self):
        command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]["run"]
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["FIREFLYWHARF_NODE_FILE"] = str(self.path)
        self.log = (self.world.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *command.split(), cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )
        self.world.record.add(f"daemon {self.name} started, process {self.process.pid}")

    def messages(self):
        """Return the log lines of the process; used for the record only, never for the verdict."""
        rows = []
        for line in (self.world.folder / f"{self.name}.log").read_text().splitlines():
            with contextlib.suppress(ValueError):
                rows.append(json.loads(line))
        return rows

    def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            self.world.record.add(f"daemon {self.name} killed")


_next_port = random.randrange(20000, 30000)


def reserve_ports(count):
    """Return the first of `count` consecutive free ports."""
    global _next_port
    while True:
        first, _next_port = _next_port, _next_port + count
        try:
            for port in range(first, first + count):
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue


class World:
    """All stand-ins and daemons of one script, and what they have seen.

    Args:
        labels: labels of the executors, one entry for each.
        daemons_count: number of daemons.
        max_attempts: `max_attempts` of the queues.
        allow: returns whether an executor (its index) may run a step of the advised queue.
        validity_ms: validity of a ticket.
    """

    def __init__(
        self,
        labels,
        daemons_count=3,
        max_attempts=3,
        allow=lambda step, index: True,
        validity_ms=2000,
    ):
        self.record, self.max_attempts, self.allow = Record(), max_attempts, allow
        self.validity_ms = validity_ms
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.record)
        self.executors = [Executor(self, f"i-{index:08x}", row) for index, row in enumerate(labels)]
        self.daemons = [Daemon(self, f"vm-{index + 1}") for index in range(daemons_count)]
        self.http = None
        self.jobs, self.advised_jobs, self.gangs, self.tasks = {}, set(), {}, set()
        self.begun, self.ends, self.acknowledged = {}, {}, {}
        self.running = {}
        self.twice, self.late_starts = [], []

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def open(self):
        self.http = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.spawn(self._tick())
        self.store.put("keyed.op", "config", self.configuration())
        for executor in self.executors:
            await executor.start()
        for daemon in self.daemons:
            await daemon.store.open()
            await daemon.advice.open()
        for daemon in self.daemons:
            daemon.prepare()
            await daemon.start()
        limit_s = time.monotonic() + 20
        while not all([await self.is_ready(daemon) for daemon in self.daemons]):
            if time.monotonic() > limit_s:
                raise RuntimeError("the daemons are not ready")
            await asyncio.sleep(0.2)
        await asyncio.sleep(2.0)

    def configuration(self):
        route = {
            "host": HOST,
            "kind": "unsafe",
            "timeout_ms": 3000,
            "target_duration_ms": 1000,
            "priority": 1,
            "service": SERVICE,
            "max_attempts": self.max_attempts,
            "stretch": 4.0,
        }
        advice = {"decision_ms": 5.0, "period_ms": 0.5, "validity_ms": self.validity_ms}
        return {
            "version": 7,
            "routes": [
                {**route, "name": "plain", "path_prefix": PLAIN},
                {**route, "name": "advised", "path_prefix": ADVISED, "advice": advice},
            ],
            "services": [{"name": SERVICE, "admission_control": False, "standby": False}],
            "limits": {"max_body_bytes": 262144},
        }

    async def is_ready(self, daemon):
        try:
            url = f"http://127.0.0.1:{daemon.ready}/fireflywharf/readyz"
            async with self.http.get(url, timeout=aiohttp.ClientTimeout(1)) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def close(self):
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(0)
        for daemon in self.daemons:
            daemon.kill()
            if daemon.process is not None:
                await daemon.process.wait()
        if self.http is not None:
            await self.http.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def _tick(self):
        while True:
            await asyncio.sleep(0.01)
            for executor in self.executors:
                if executor.up:
                    executor.tick(time.monotonic())

    # What executors see.

    def gang(self, step, number):
        blank = {"present": set(), "broken": False, "done": False}
        return self.gangs.setdefault((step, number), blank)

    def begin(self, executor, run):
        self.record.add(f"start {run.task} run {run.number} on {executor.executor_id}")
        if executor.state == "draining":
            late_s = time.monotonic() - executor.draining_s
            self.late_starts.append((run.task, executor.executor_id, late_s))
        if run.spec.get("gang"):
            self.gang(run.step, run.number)["present"].add(run.task)
        for other, number in self.running.get(run.task, {}).items():
            self.twice.append(
                f"{run.task}: run {run.number} on {executor.executor_id} begins while "
                f"run {number} is at work on {other}"
            )
        for number, life, serial, where in self.ends.get(run.task, ()):
            self.twice.append(
                (run.task, run.number, executor.executor_id, number, life, serial, where)
            )
        self.begun.setdefault(run.task, []).append((time.monotonic(), run.number))
        self.running.setdefault(run.task, {})[executor.executor_id] = run.number

    def end(self, executor, run, how):
        self.record.add(f"end {run.task} run {run.number} on {executor.executor_id}: {how}")
        self.running.get(run.task, {}).pop(executor.executor_id, None)
        if how == "done":
            life = (executor.executor_id, executor.born)
            row = (run.number, life, executor.serial, executor.executor_id)
            self.ends.setdefault(run.task, []).append(row)

    def acknowledge(self, executor, serial):
        life = (executor.executor_id, executor.born)
        self.acknowledged[life] = max(serial, self.acknowledged.get(life, 0))

    def broken_twice(self):
        """Return the breaches of TWICE: parallel runs, and starts after an end that was noted."""
        rows = []
        for row in self.twice:
            if isinstance(row, str):
                rows.append(f"TWICE {row}")
                continue
            task, number, worker, ended, life, serial, where = row
            if self.acknowledged.get(life, 0) >= serial:
                rows.append(
                    f"TWICE {task}: run {number} on {worker} begins after run {ended} on "
                    f"{where} had ended done; that end was acknowledged"
                )
        return rows

    def broken_drain(self, drain_s=2.5):
        """Return the breaches of DRAIN: starts on an executor long after it said it drains."""
        return [
            f"DRAIN {task} begins on {worker} {late_s:.2f} s after the ack of `draining`"
            for task, worker, late_s in self.late_starts
            if late_s > drain_s
        ]

    # Advice.

    def ticket(self, step, executor, expires_s):
        return f"{step}|{executor.executor_id}|{executor.born}|{expires_s:.3f}"

    def is_ticket_valid(self, ticket, executor, step):
        if not ticket:
            return False
        of_step, worker, born, expires_s = ticket.split("|")
        return (of_step, worker, born) == (
            step,
            executor.executor_id,
            str(executor.born),
        ) and time.monotonic() <= float(expires_s)

    def advice_handler(self, lock):
        async def serve(request):
            body = await request.json()
            async with lock:
                await asyncio.sleep((5.0 + 0.5 * len(body["workers"])) / 1000)
            by_id = {executor.executor_id: index for index, executor in enumerate(self.executors)}
            expires_s = time.monotonic() + self.validity_ms / 1000
            rows = [
                [name, self.ticket(body["step"], self.executors[by_id[name]], expires_s)]
                for name in body["workers"]
                if name in by_id and self.allow(body["step"], by_id[name])
            ]
            return web.json_response({"allowed": rows, "validity_ms": self.validity_ms})

        return serve

    # Clients.

    async def call(self, method, path, body=None):
        """Send one request to a node in rotation; return its status (0: no answer) and body."""
        alive = [d for d in self.daemons if d.process.returncode is None]
        daemon = random.choice(alive or self.daemons)
        try:
            async with self.http.request(
                method,
                f"http://127.0.0.1:{daemon.callers}{path}",
                data=None if body is None else json.dumps(body),
                headers={
                    "Host": HOST,
                    "Content-Type": "application/json",
                    "X-Fireflywharf-Deadline-Ms": "3000",
                },
                timeout=aiohttp.ClientTimeout(3.0),
            ) as answer:
                try:
                    return answer.status, json.loads(await answer.read())
                except ValueError:
                    return answer.status, {}
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, {}

    async def submit(self, prefix, steps, spec):
        """Submit a job with up to 4 retries; return its path, or None if it was not accepted."""
        job_id = f"{random.getrandbits(64):016x}"
        if prefix == ADVISED:
            self.advised_jobs.add(job_id)
        for _ in range(5):
            status, _ = await self.call(
                "POST", prefix + job_id, {"spec": json.dumps(spec), "steps": steps}
            )
            self.record.add(f"client POST {job_id}: {status}")
            if 200 <= status < 300:
                self.jobs[prefix + job_id] = time.monotonic()
                return prefix + job_id
            await asyncio.sleep(0.3)
        return None

    async def state(self, path):
        """Ask for the state of a job with up to 4 retries."""
        for _ in range(5):
            status, body = await self.call("GET", path)
            if status in (200, 410):
                return body.get("state") if status == 200 else "410"
            await asyncio.sleep(0.3)
        return "no answer"

    async def states(self):
        paths = list(self.jobs)
        rows = await asyncio.gather(*(self.state(path) for path in paths))
        return dict(zip(paths, rows, strict=True))

    async def finish(self, may_fail=()):
        """Wait `finish_s` after the traffic and 3 s more; return the breaches of LOST.

        The client checks that nothing of an unfinished job runs in the last 3 s, that no start of
        it happens, and that all executors are idle meanwhile, which the rule does not even ask.
        """
        await asyncio.sleep(FINISH_S)
        before = await self.states()
        counts = {path: self._starts(path) for path in before}
        busy = []
        limit_s = time.monotonic() + 3.0
        idle = {path for path, state in before.items() if state in ("queued", "running")}
        while time.monotonic() < limit_s:
            await asyncio.sleep(0.1)
            busy.append(sum(len(executor.runs) for executor in self.executors if executor.up))
            idle -= {
                path
                for path in idle
                if any(
                    task.startswith(path.rpartition("/")[2] + ".") and rows
                    for task, rows in self.running.items()
                )
            }
        after = await self.states()
        broken = []
        for path, state in after.items():
            if state in ("410", "no answer"):
                broken.append(f"LOST {path}: {state}")
            elif state == "failed" and path not in may_fail:
                broken.append(f"LOST {path}: shown as failed")
            elif (
                path in idle
                and state in ("queued", "running")
                and self._starts(path) == counts[path]
                and max(busy) == 0
            ):
                age_s = time.monotonic() - self.jobs[path]
                broken.append(
                    f"LOST {path}: {state}, accepted {age_s:.1f} s ago, nothing of it ran for 3 s, "
                    f"{self._starts(path)} starts so far; at most {max(busy)} tasks ran meanwhile"
                )
        tally = {state: list(after.values()).count(state) for state in set(after.values())}
        self.record.add(f"states of {len(after)} accepted jobs: {tally}")
        return broken

    def _starts(self, path):
        prefix = path.rpartition("/")[2] + "."
        return sum(len(rows) for task, rows in self.begun.items() if task.startswith(prefix))


def run_case(folder, case):
    """Run a case and exit: 1 if a rule was broken, 0 if all held, 2 if it could not run."""
    status = 2
    record = Record()

    async def main():
        nonlocal status, record
        world = None
        try:
            world = case.world()
            record = world.record
            async with asyncio.timeout(110):
                await world.open()
                broken = await case.play(world)
            for row in broken:
                record.add(f"broken: {row}")
            status = 1 if broken else 0
            print(f"{len(broken)} breaches" + "".join(f"\n  {row}" for row in broken[:8]))
        except Exception as error:  # noqa: BLE001
            record.add(f"the case could not run: {error!r}")
            print(f"could not run: {error!r}")
            status = 2
        finally:
            if world is not None:
                await world.close()

    asyncio.run(main())
    record.add(f"exit status {status}")
    record.save(pathlib.Path(folder) / "record.txt")
    sys.exit(status)
