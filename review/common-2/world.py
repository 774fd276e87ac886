"""Stand-ins of the platform and a driver for the scripts of this review.

The store, the executors and the advice service follow PROTOCOL.md. They listen on loopback
addresses, and so do the proxies in front of them. All files that a run needs lie in a temporary
folder, except `record.txt`, which lists what was sent, answered and run.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

import aiohttp
from aiohttp import web

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "review.example"
SERVICE = "svc"
BOUNDS = {
    "contact_ms": 4000, "ack_ms": 5000, "drain_ms": 2500, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 2500, "rollback_slack_ms": 250, "recovery_s": 12, "max_hold_ms": 6000,
    "stop_ms": 200, "gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
    "early_ms": 250, "finish_s": 14, "status_s": 120, "checkpoint_interval_s": 1,
    "restore_ms": 250, "fencing_required": True, "lease_ms": 3000,
}  # fmt: skip
MAX_HOLD_S = BOUNDS["max_hold_ms"] / 1000
CONTACT_S = BOUNDS["contact_ms"] / 1000
HEARTBEAT_S = 1.5
STORE_DELAY_S = 0.004
PARTS = 24
RECORD_BYTES, REQUEST_BYTES = 262144, 2097152


class Record:
    """Lines of `record.txt`, with the seconds since the start of the run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self.started_s = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.started_s

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


_RESERVED: list[socket.socket] = []


def free_port(count: int = 1) -> int:
    """Reserve `count` neighbouring free ports on the loopback address; return the first one.

    A socket that is bound and doesn't listen keeps others from choosing a port; the process that
    it is meant for can still listen there. The ports lie below those of outgoing channels.
    """
    while True:
        port = random.randrange(20000, 32000)
        found = []
        try:
            for number in range(port, port + count):
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", number))
                found.append(socket.socket())
                found[-1].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                found[-1].bind(("127.0.0.1", number))
        except OSError:
            for each in found:
                each.close()
            continue
        _RESERVED.extend(found)
        return port


async def listen(handler) -> tuple[web.ServerRunner, str]:
    """Serve HTTP on a free loopback port; return the runner and the address."""
    runner = web.ServerRunner(web.Server(handler, access_log=None), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0, backlog=512).start()
    return runner, f"127.0.0.1:{runner.addresses[0][1]}"


class Proxy:
    """Forwards TCP channels to one address, and can silence all that are open."""

    def __init__(self, target: str) -> None:
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self._tasks: set[asyncio.Task] = set()
        self._gates: dict[asyncio.Event, None] = {}
        self._server: asyncio.Server | None = None
        self.address, self.port = "", 0

    async def open(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"

    def silence(self) -> int:
        """Forward nothing more on the channels that are open now; return their number."""
        for gate in self._gates:
            gate.clear()
        return len(self._gates)

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        gate = asyncio.Event()
        gate.set()
        self._gates[gate] = None
        far_writer = None
        try:
            far_reader, far_writer = await asyncio.open_connection(self._host, self._port)
            for each in (writer, far_writer):
                each.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            pumps = [
                asyncio.create_task(self._pump(reader, far_writer, gate)),
                asyncio.create_task(self._pump(far_reader, writer, gate)),
            ]
            try:
                await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for pump in pumps:
                    pump.cancel()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._gates.pop(gate, None)
            self._tasks.discard(task)
            for each in (writer, far_writer):
                if each is not None:
                    each.close()

    @staticmethod
    async def _pump(reader, writer, gate) -> None:
        try:
            while data := await reader.read(65536):
                await gate.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass

    async def close(self) -> None:
        self._server.close()
        for task in list(self._tasks):
            task.cancel()


class Partition:
    """One partition of a topic."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.producers: dict[str, dict] = {}
        self.added = asyncio.Event()


class Store:
    """The platform's store as a log (PROTOCOL.md, "The platform's metadata store").

    `gate(node, call)` may return an HTTP status with which a call of that node is rejected, and
    `lose(node, call)` the seconds after which an append is carried out without an answer.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._partitions: dict[tuple[str, int], Partition] = {}
        self.gate = lambda node, call: None
        self.jobs: dict[str, dict] = {}
        self.rejected = 0
        self.lose = lambda node, call: None
        self.delay_s = STORE_DELAY_S
        self._tasks: set[asyncio.Task] = set()

    def partition(self, topic: str, part: int) -> Partition:
        return self._partitions.setdefault((topic, part), Partition())

    def find_step(self, task: str) -> dict | None:
        """Return the step of a task, as the client has sent it."""
        job_id, _, step, _ = task.split(".")
        job = self.jobs.get(job_id)
        return None if job is None else job["steps"][int(step)]

    def put(self, topic: str, key: str, value: object) -> None:
        """Write a record as the operator or an executor does."""
        content = b"" if value is None else json.dumps(value).encode()
        self.put_raw(topic, 0, key, content)

    def put_raw(self, topic: str, part: int, key: str, value: bytes) -> int:
        """Write a record to a partition of a keyed topic, and return its size."""
        content = bytes([len(key)]) + key.encode() + value
        self._append(topic, self.partition(topic, part), [content])
        return len(content)

    def _append(self, topic: str, partition: Partition, records: list[bytes]) -> dict:
        offset = len(partition.records)
        for content in records:
            if topic.startswith("keyed."):
                size = content[0]
                key, value = content[1 : 1 + size].decode(), content[1 + size :]
                if value:
                    partition.newest[key] = (len(partition.records), value)
                else:
                    partition.newest.pop(key, None)
            partition.records.append(content)
        if records:
            partition.added.set()
            partition.added = asyncio.Event()
        return {"offset": offset, "end": len(partition.records)}

    def handler(self, node: str):
        """Return the handler for the calls of one node."""

        async def serve(request: web.BaseRequest) -> web.StreamResponse:
            call = request.path.rpartition("/")[2]
            body = await request.read()
            await asyncio.sleep(self.delay_s)
            status = self.gate(node, call)
            if status is not None:
                return web.Response(status=status)
            query = request.query
            topic, part = query["topic"], int(query["part"])
            if call == "log-append":
                late_s = self.lose(node, call)
                if late_s is not None:
                    self._carry_out_late(node, query, topic, part, body, late_s)
                    await asyncio.sleep(30)
                return self._serve_append(query, topic, part, body)
            if call == "log-read":
                return await self._serve_read(query, topic, part)
            if call == "log-newest":
                return self._serve_newest(query, topic, part)
            return web.Response(status=404)

        return serve

    def _carry_out_late(self, node, query, topic, part, body, late_s) -> None:
        async def later() -> None:
            await asyncio.sleep(late_s)
            self._serve_append(query, topic, part, body)

        task = asyncio.create_task(later())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _serve_append(self, query, topic, part, body) -> web.Response:
        if topic in ("keyed.op", "keyed.servers"):
            return web.Response(status=403)
        records, at = [], 0
        while at < len(body):
            (size,) = struct.unpack_from(">I", body, at)
            records.append(body[at + 4 : at + 4 + size])
            at += 4 + size
        if len(body) > REQUEST_BYTES or any(len(content) > RECORD_BYTES for content in records):
            self.rejected += 1
            return web.Response(status=413)
        partition = self.partition(topic, part)
        if "at" in query and int(query["at"]) != len(partition.records):
            return web.json_response({"end": len(partition.records)}, status=412)
        producer = query.get("producer")
        if producer is None:
            return web.json_response(self._append(topic, partition, records))
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        known = partition.producers.get(producer)
        if known is not None and epoch < known["epoch"]:
            return web.json_response({"reason": "fenced"}, status=409)
        if known is None or epoch > known["epoch"]:
            known = {"epoch": epoch, "next": sequence, "answers": {}}
            partition.producers[producer] = known
        if sequence in known["answers"]:
            return web.json_response(known["answers"][sequence])
        if sequence != known["next"]:
            body = {"reason": "seq", "sequence": known["next"]}
            return web.json_response(body, status=409)
        answer = self._append(topic, partition, records)
        known["next"] = sequence + 1
        known["answers"][sequence] = answer
        known["answers"] = dict(list(known["answers"].items())[-5:])
        return web.json_response(answer)

    async def _serve_read(self, query, topic, part) -> web.Response:
        partition = self.partition(topic, part)
        start, wait_s = int(query["from"]), int(query.get("wait_ms", 0)) / 1000
        if start >= len(partition.records) and wait_s > 0:
            try:
                async with asyncio.timeout(wait_s):
                    await partition.added.wait()
            except TimeoutError:
                pass
        limit = 1024 * int(query.get("max_kb", 1024))
        rows: list[bytes] = []
        size = 0
        for content in partition.records[start:]:
            # The first record is always returned; a client could never read it otherwise.
            if rows and size + 4 + len(content) > limit:
                break
            rows.append(struct.pack(">I", len(content)) + content)
            size += len(rows[-1])
        head = struct.pack(">QQ", len(partition.records), 0)
        return web.Response(body=head + b"".join(rows))

    def _serve_newest(self, query, topic, part) -> web.Response:
        partition = self.partition(topic, part)
        keys = sorted(key for key in partition.newest if key > query.get("after", ""))
        items = [
            {
                "key": key,
                "value": base64.b64encode(partition.newest[key][1]).decode(),
                "offset": partition.newest[key][0],
            }
            for key in keys[:500]
        ]
        body = {"items": items, "more_pages": len(keys) > 500, "end": len(partition.records)}
        return web.json_response(body)


class Run:
    """A run in progress; one without `ends_s` lasts until it is stopped."""

    def __init__(self, number: int, ends_s: float | None, how: str = "done") -> None:
        self.number = number
        self.started_s = time.monotonic()
        self.ends_s = ends_s
        self.how = how


class Executor:
    """An executor (PROTOCOL.md, "Running tasks").

    The `spec` of a task is JSON with `work_s`, null to last, and `how` its runs end, "done" if left
    out.
    """

    def __init__(
        self, worker_id: str, store: Store, record: Record, capacity: dict, labels: list[str]
    ) -> None:
        self.worker_id = worker_id
        self._store, self._record = store, record
        self.capacity, self.labels = capacity, labels
        self.proxy: Proxy | None = None
        self.starts: list[tuple[float, str, int, int]] = []
        self.runs: dict[tuple[str, int], Run] = {}
        self.registers = True
        self.breaches: list[str] = []
        self._begin()

    def _begin(self) -> None:
        self.born = int(time.time() * 1000)
        self._clock_from_s = time.monotonic()
        self.fence, self.lease_end_s, self.serial = 0, 0.0, 0
        self.highest: dict[str, int] = {}
        self.ends: list[list] = []
        self.runs.clear()

    async def open(self) -> None:
        await self._listen()
        self._tick_task = asyncio.create_task(self._tick())
        self._beat_task = asyncio.create_task(self._beat())

    async def _listen(self) -> None:
        """Listen; a later process listens at the address of the first one."""
        self._runner, address = await listen(self._serve)
        port = 0 if self.proxy is None else self.proxy.port
        self.proxy = Proxy(address)
        await self.proxy.open(port)

    async def close(self) -> None:
        self._tick_task.cancel()
        self._beat_task.cancel()
        await self.proxy.close()
        await self._runner.cleanup()

    def register(self) -> None:
        entry = {
            "service": SERVICE, "address": self.proxy.address, "zone": "zone-a", "version": "v1",
            "slots": 8, "state": "ready", "cold_remaining_ms": 0, "capacity": self.capacity,
            "labels": self.labels, "clock_ms": self._clock_ms(), "sequence": self.serial,
            "born": self.born,
        }  # fmt: skip
        self._store.put("keyed.servers", self.worker_id, entry)

    async def _beat(self) -> None:
        while True:
            if self.registers:
                self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(0.005)
            self._end_due()

    async def crash(self) -> None:
        """End with all runs, without notice, and listen no more."""
        self.registers = False
        self._record.write(f"{self.worker_id} crashes")
        await self.proxy.close()
        await self._runner.cleanup()
        self._begin()
        self._entry_task = asyncio.create_task(self._expire_entry())

    async def _expire_entry(self) -> None:
        """Remove the entry after three intervals of silence."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        if not self.registers:
            self._store.put("keyed.servers", self.worker_id, None)

    async def restart(
        self, outage_s: float, entry_delay_s: float, capacity: dict, labels: list[str]
    ) -> None:
        """Crash, and start again under the same id as another kind, after `outage_s`.

        The new process writes its entry, as any does about every heartbeat, after `entry_delay_s`.
        """
        await self.crash()
        await asyncio.sleep(outage_s)
        self.capacity, self.labels = capacity, labels
        self._begin()
        await self._listen()
        self._record.write(
            f"{self.worker_id} runs again, born {self.born}, with {capacity} and labels {labels}"
        )

        async def register() -> None:
            await asyncio.sleep(entry_delay_s)
            self.registers = True
            self.register()
            self._record.write(f"{self.worker_id} has written its entry")

        self._register_task = asyncio.create_task(register())

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._clock_from_s) * 1000) + 1000

    def _end_due(self) -> None:
        now_s = time.monotonic()
        for (task, number), run in list(self.runs.items()):
            if run.ends_s is not None and run.ends_s <= min(now_s, self.lease_end_s):
                self._end(task, number, run.how)
            elif now_s >= self.lease_end_s:
                self._end(task, number, "lapsed")

    def _end(self, task: str, number: int, how: str) -> None:
        del self.runs[task, number]
        self.highest[task] = max(number, self.highest.get(task, 0))
        self.serial += 1
        self.ends.append([self.serial, task, number, how, ""])
        self._record.write(f"{self.worker_id} ends {task} run {number}: {how}")

    def _renew(self, deadline_ms: int) -> None:
        left_s = min((deadline_ms - self._clock_ms()) / 1000, MAX_HOLD_S)
        self.lease_end_s = max(self.lease_end_s, time.monotonic() + left_s)

    def _answer(self, body: dict, status: int = 200) -> web.Response:
        body = {"clock_ms": self._clock_ms(), "born": self.born, **body}
        return web.json_response(body, status=status)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.json()
        if request.headers.get("X-Fireflywharf-Expected-Instance") != self.worker_id:
            return web.Response(status=421)
        self._end_due()
        fence = body.get("fencing_token", 0)
        if fence < self.fence:
            return self._answer({"reason": "fence"}, 409)
        self.fence = fence
        match request.path.rpartition("/")[2]:
            case "run-start":
                return self._start(body)
            case "run-stop":
                return self._stop(body["task"], body["run"])
            case "hold":
                return await self._hold(body)
        return web.Response(status=404)

    def _start(self, body: dict) -> web.Response:
        task, number = body["task"], body["run"]
        if body["deadline_ms"] < self._clock_ms():
            return self._answer({"reason": "late"}, 409)
        self._renew(body["deadline_ms"])
        if (task, number) in self.runs:
            return self._answer({})
        if number <= self.highest.get(task, 0):
            return self._answer({"reason": "old"}, 409)
        spec = json.loads(body["spec"])
        ends_s = None if spec["work_s"] is None else time.monotonic() + spec["work_s"]
        self.runs[task, number] = Run(number, ends_s, spec.get("how", "done"))
        fence = body["fencing_token"]
        self.starts.append((time.monotonic(), task, number, fence))
        self._record.write(f"{self.worker_id} starts {task} run {number} (fence {fence})")
        self._check(task, number)
        return self._answer({})

    def used(self, name: str) -> int:
        """Return how much of a resource the present runs use."""
        return sum((self._store.find_step(task) or {}).get(name, 0) for task, _ in self.runs)

    def _check(self, task: str, number: int) -> None:
        """Note a start that brings the worker over its capacity or lacks a label."""
        step = self._store.find_step(task)
        if step is None:
            return
        label = step.get("requires")
        if label and label not in self.labels:
            self.breaches.append(
                f"ROUTE: {self.worker_id}, with the labels {self.labels}, starts {task} run "
                f"{number}, which requires {label!r}"
            )
        for name in ("cpu", "mem_mb"):
            used = self.used(name)
            if used > self.capacity[name]:
                self.breaches.append(
                    f"LIMIT: {task} run {number} brings {self.worker_id} to {name} {used} of "
                    f"{self.capacity[name]}"
                )

    def _stop(self, task: str, number: int) -> web.Response:
        if (task, number) in self.runs:
            self._end(task, number, "stopped")
        self.highest[task] = max(number, self.highest.get(task, 0))
        return self._answer({})

    async def _hold(self, body: dict) -> web.Response:
        if "deadline_ms" in body:
            self._renew(body["deadline_ms"])
        self.ends = [end for end in self.ends if end[0] > body.get("acknowledged", 0)]
        limit_s = time.monotonic() + min(2.0, body.get("wait_ms", 0) / 1000)
        while not self.ends and time.monotonic() < limit_s:
            await asyncio.sleep(0.005)
        now_s = time.monotonic()
        running = []
        for (task, number), run in self.runs.items():
            share = 1.0
            if run.ends_s is not None:
                whole_s = max(0.001, run.ends_s - run.started_s)
                share = min(0.99, (now_s - run.started_s) / whole_s)
            running.append([task, number, "", int(100 * share), 0])
        return self._answer({"running": running, "finished": self.ends[:500]})


def make_queue(name: str, **fields: object) -> dict:
    """Return a route, which is a queue, as `op/config` lists it."""
    return {
        "name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": "unsafe",
        "timeout_ms": 3000, "target_duration_ms": 1200, "priority": 1, "service": SERVICE,
        "max_attempts": 3, "stretch": 2.2, **fields,
    }  # fmt: skip


def make_configuration(version: int, names: list[str]) -> dict:
    """Return a desired state with these queues."""
    return {
        "version": version,
        "routes": [make_queue(name) for name in names],
        "services": [
            {
                "name": SERVICE, "health_path": "/healthz", "max_connections": 64, "protocol": "h1",
                "tls": False, "admission_control": False, "standby": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }  # fmt: skip


def make_job(work_s: float | None, **fields: object) -> dict:
    """Return the body of a job with one step; without `work_s`, its tasks last."""
    step = {
        "count": 1,
        "cpu": 500,
        "mem_mb": 64,
        "estimate_ms": int(1000 * (work_s or 1)),
        **fields,
    }
    if work_s is None:
        step["long_running"] = True
    return {"spec": json.dumps({"work_s": work_s}), "steps": [step]}


class Daemon:
    """One process of the deploy file's only role."""

    def __init__(self, name: str, zone: str, world: World) -> None:
        self.name, self.zone, self._world = name, zone, world
        self.callers, self.readiness = free_port(), free_port()
        self.first_port = free_port(2)
        self.process: asyncio.subprocess.Process | None = None
        self.store_proxy: Proxy | None = None

    async def open(self) -> None:
        self._runner, address = await listen(self._world.store.handler(self.name))
        self.store_proxy = Proxy(address)
        await self.store_proxy.open()
        self.path = self._world.folder / f"{self.name}.json"
        address = self.store_proxy.address
        settings = {
            "node": self.name, "role": "entry", "machine_class": "edge", "serves": ["edge"],
            "ip": "127.0.0.1", "zone": self.zone, "region": self.zone,
            "zones": {"zone-a": "zone-a", "zone-b": "zone-b", "zone-c": "zone-c"},
            "listen": {
                "frontend_address": f"127.0.0.1:{self.callers}",
                "readiness_address": f"127.0.0.1:{self.readiness}",
            },
            "port_range": [self.first_port, self.first_port + 1],
            "seeds": [], "bootstrap": True, "fault_counted": False,
            "limits": {
                "cpu_share": 0.537, "cores": 2, "memory_mb": 300, "max_fds": 4100,
                "link_mbps": 1000.0, "disk_mb": 0,
            },
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1500,
            "bounds": BOUNDS, "orders": "invocation", "advice": self._world.advice_address,
            "platform": {
                "address": address, "form": "log", "writes_per_s": 600, "reads_per_s": 2000,
                "parts": PARTS, "append_ms": 1.0, "partition_mb_s": 20.0, "read_mb_s": 80.0,
                "record_bytes": RECORD_BYTES, "request_bytes": REQUEST_BYTES, "keep_s": 300,
                "partition_mb": 200, "min_ttl_ms": 1000,
            },
        }  # fmt: skip
        self.path.write_text(json.dumps(settings))
        await self.start()

    async def start(self) -> None:
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["FIREFLYWHARF_NODE_FILE"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self._world.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "platform/run.py", cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._world.record.write(f"{self.name} is started")

    def signal(self, number: int) -> None:
        self._world.record.write(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def log_lines(self) -> list[dict]:
        rows = []
        for line in (self._world.folder / f"{self.name}.log").read_text().splitlines():
            try:
                rows.append(json.loads(line))
            except ValueError:
                continue
        return rows

    async def is_ready(self) -> bool:
        try:
            async with self._world.session.get(
                f"http://127.0.0.1:{self.readiness}/fireflywharf/readyz",
                timeout=aiohttp.ClientTimeout(total=1),
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def close(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.store_proxy is not None:
            await self.store_proxy.close()
            await self._runner.cleanup()


class World:
    """Store, executors and daemons of one run, and a client."""

    def __init__(self, folder: pathlib.Path, trouble: bool) -> None:
        self.trouble = trouble
        self.record = Record(folder / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.record)
        self.executors: list[Executor] = []
        self.daemons: list[Daemon] = []
        self.advice_address = ""
        self._runners: list[web.ServerRunner] = []

    async def open(
        self, daemons_count: int, executors_count: int, configuration: dict, **executor: object
    ) -> None:
        """Start everything and wait until all daemons are ready and one schedules."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        runner, self.advice_address = await listen(self._advise)
        self._runners.append(runner)
        self.store.put("keyed.op", "config", configuration)
        executor.setdefault("capacity", {"cpu": 16000, "mem_mb": 65536, "gpu": 0})
        executor.setdefault("labels", ["a", "r1-1"])
        for index in range(executors_count):
            each = Executor(f"i-{index:08x}", self.store, self.record, **executor)
            self.executors.append(each)
            await each.open()
        for index in range(daemons_count):
            each = Daemon(f"edge-{index}", f"zone-{'abc'[index % 3]}", self)
            self.daemons.append(each)
            await each.open()
        limit_s = time.monotonic() + 20
        while not all([await each.is_ready() for each in self.daemons]) or not self.scheduler():
            if time.monotonic() > limit_s:
                raise RuntimeError("the daemons do not become ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)
        self.record.write(f"all daemons are ready; {self.scheduler().name} schedules")

    async def _advise(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.json()
        allowed = [[worker, f"ticket-{worker}"] for worker in body["workers"]]
        return web.json_response({"allowed": allowed, "validity_ms": 2000})

    def scheduler(self) -> Daemon | None:
        """Return the daemon that began the newest tenure, by the daemons' logs."""
        newest = (0, None)
        for daemon in self.daemons:
            for line in daemon.log_lines():
                if line.get("message") == "scheduler is active":
                    newest = max(newest, (line["epoch"], daemon), key=lambda row: row[0])
        return newest[1]

    async def call(
        self, daemon: Daemon, method: str, path: str, body: object = None, timeout_s: float = 3.0
    ) -> tuple[int, dict]:
        """Send a request as a client; the status is 0 without an answer."""
        data = None if body is None else json.dumps(body)
        if method == "POST":
            self.store.jobs[path.rpartition("/")[2]] = body
        self.record.write(f"client sends {method} {path} to {daemon.name}")
        headers = {
            "Host": HOST,
            "Content-Type": "application/json",
            "X-Fireflywharf-Deadline-Ms": str(int(1000 * timeout_s)),
        }
        try:
            async with self.session.request(
                method,
                f"http://127.0.0.1:{daemon.callers}{path}",
                data=data,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                text = await response.text()
                status = response.status
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.record.write(f"client gets no answer to {method} {path}: {type(error).__name__}")
            return 0, {}
        self.record.write(f"client gets {status} {text} for {method} {path} from {daemon.name}")
        try:
            return status, json.loads(text)
        except ValueError:
            return status, {}

    async def wait_for(self, check, limit_s: float) -> bool:
        """Wait until `check` is true, and return whether it became so."""
        end_s = time.monotonic() + limit_s
        while not check():
            if time.monotonic() > end_s:
                return False
            await asyncio.sleep(0.01)
        return True

    def find_runs(self, job_id: str) -> list[tuple[str, str, int]]:
        """Return executor, task and run number of the runs of a job that are in progress."""
        return [
            (each.worker_id, task, number)
            for each in self.executors
            for task, number in each.runs
            if task.startswith(job_id)
        ]

    async def close(self) -> None:
        for daemon in self.daemons:
            await daemon.close()
        for executor in self.executors:
            await executor.close()
        for runner in self._runners:
            await runner.cleanup()
        await self.session.close()
        if os.environ.get("KEEP"):
            print(f"logs are kept in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


LIMIT_S = 115.0


def main(folder: str, play) -> int:
    """Play a case; return 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        world = World(pathlib.Path(folder).resolve(), trouble)
        world.record.write(f"disruption: {'yes' if trouble else 'no'}")
        try:
            async with asyncio.timeout(LIMIT_S):
                broken = await play(world)
            for text in broken:
                world.record.write(f"BROKEN {text}")
                print(f"BROKEN {text}")
            world.record.write(f"result: {'broken' if broken else 'held'}")
            print("broken" if broken else "held")
            return 1 if broken else 0
        except Exception as error:
            world.record.write(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}", file=sys.stderr)
            return 2
        finally:
            await world.close()

    return asyncio.run(run())
