"""Seeded faults of workers, daemons and the store for the worker soak."""

import asyncio
import signal
import time

from worker_soak_partitions import Network, draw_partition

from fireflywharf_testing.platform_stand_ins import Direction, FaultNoted, StoreFault

MIXES = {
    "restarts": ["restart"],
    "late-entries": ["restart with a late entry"],
    "crashes": ["crash", "crash", "crash for good"],
    "refusals": ["refusal", "refusal", "closed listener"],
    "entries": ["odd entry", "odd entry", "earlier entry"],
    "cuts": ["cut", "cut", "late orders"],
    "daemons": ["kill", "stop", "term", "store silent", "store"],
    "partitions": ["partition"],
    "silences": ["silent workers", "silent log", "restart", "kill"],
}
"""Kinds of faults by name of the mix."""
SEPARATE_MIXES = frozenset({"silences"})
"""Mixes that are no part of the mix `all`, whose seeds would otherwise play other faults."""
DAEMON_FAULTS = frozenset({"kill", "stop", "term", "store silent"})
STORE_FAULTS = [StoreFault.DOWN, StoreFault.ANSWER_LOST, StoreFault.APPLIED_LATE]
ODD_ENTRIES = ["no born", "wrong types", "broken", "other service"]
WORKER_SECONDS_PER_FAULT = 12.0
"""Mean time between two series of faults, times the number of workers."""
PARTITION_PAUSE_S = 6.0
"""Mean time between two series of cuts of the network, if there are no other faults."""
PARTITIONS_MAX_COUNT = 2
SERIES_SHARE = 0.3
SERIES_MAX_COUNT = 4
TERM_TIMEOUT_S = 8.0
GONE_SHARE = 8
"""One in this many workers may crash for good."""


def list_kinds(mix):
    """Return the kinds of faults of a mix."""
    if mix == "all":
        return [
            kind for name, kinds in MIXES.items() if name not in SEPARATE_MIXES for kind in kinds
        ]
    return MIXES[mix]


class Faults:
    """Starts faults at times that a seed determines; they overlap and come in series.

    Args:
        world: the stand-ins.
        daemons: the daemons.
        proxies: proxies between each daemon and the store.
        mix: name of the mix.
        rng: source of the faults and their times.

    Attributes:
        daemon_faults_s: begin and end of the faults of each daemon, by name.
        count: number of faults.
    """

    def __init__(self, world, daemons, proxies, mix, rng):
        self.world, self.daemons, self.proxies, self.rng = world, daemons, proxies, rng
        self.kinds = list_kinds(mix)
        names = [daemon.name for daemon in daemons]
        self.network = Network(world, daemons, dict(zip(names, proxies, strict=True)))
        self.daemon_faults_s = {daemon.name: [] for daemon in daemons}
        self.count = 0
        self._end_s = 0.0
        self._gone_count = 0
        self._impaired_daemons = set()
        self._tasks = set()

    async def run(self, seconds):
        """Start faults for a while and wait until all have ended."""
        self._end_s = time.monotonic() + seconds
        pause_s = WORKER_SECONDS_PER_FAULT / len(self.world.workers)
        if self.kinds == MIXES["partitions"]:
            pause_s = PARTITION_PAUSE_S
        while True:
            await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1.5))
            if time.monotonic() > self._end_s - 1.0:
                break
            self._tasks.add(asyncio.create_task(self._run_series()))
        await asyncio.gather(*self._tasks)

    def resume_daemons(self):
        """Let stopped daemons go on, so that they can be ended."""
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.send_signal(signal.SIGCONT)

    async def _run_series(self):
        kind, worker = self.rng.choice(self.kinds), self.rng.choice(self.world.workers)
        count = 1
        if self.rng.random() < SERIES_SHARE:
            count = self.rng.randint(2, SERIES_MAX_COUNT)
        for _ in range(count):
            if time.monotonic() > self._end_s - 0.5:
                return
            self.count += 1
            if kind in DAEMON_FAULTS:
                await self._harm_daemon(kind)
            elif kind == "store":
                await self._harm_store()
            elif kind == "partition":
                await self._harm_network()
            elif kind == "silent workers":
                self._silence(self.world.worker_servers)
            elif kind == "silent log":
                self._silence([self.world.store_server])
            else:
                await self._harm_worker(kind, worker)
            await asyncio.sleep(self.rng.uniform(0.1, 1.5))

    def _duration_s(self, shortest_s, longest_s):
        """Return a random time that ends before the traffic does."""
        left_s = max(0.05, self._end_s - time.monotonic())
        return min(left_s, self.rng.uniform(shortest_s, longest_s))

    async def _harm_worker(self, kind, worker):
        match kind:
            case "restart":
                await worker.lose_power(self._duration_s(0.05, 1.2))
            case "restart with a late entry":
                await worker.lose_power(self._duration_s(0.05, 4.0), self._duration_s(0.2, 3.0))
            case "crash":
                await worker.crash(self._duration_s(0.3, 6.0), self._duration_s(0.0, 1.0))
            case "crash for good":
                if self._gone_count < len(self.world.workers) // GONE_SHARE and worker.is_up:
                    self._gone_count += 1
                    await worker.crash(None)
            case "refusal":
                await worker.refuse_connections(self._duration_s(0.3, 1.5), reset=True)
            case "closed listener":
                await worker.refuse_connections(self._duration_s(0.3, 1.5), reset=False)
            case "odd entry":
                await worker.show_odd_entry(self.rng.choice(ODD_ENTRIES))
            case "earlier entry":
                await worker.lose_power(self._duration_s(0.05, 1.2))
                await asyncio.sleep(self._duration_s(0.5, 4.0))
                await worker.show_odd_entry("earlier life")
            case "cut":
                await worker.cut_off(self._duration_s(0.5, 5.5))
            case "late orders":
                await worker.delay_orders(self._duration_s(1.0, 5.0), share=0.5)

    def _note(self, what):
        self.world.events.append(FaultNoted(time.monotonic(), "", 0, what))

    async def _harm_store(self):
        if self.world.store.fault is not StoreFault.NONE:
            return
        fault, duration_s = self.rng.choice(STORE_FAULTS), self._duration_s(0.3, 1.5)
        self._note(f"store: {fault.value} for {duration_s:.2f} s")
        self.world.store.fault = fault
        begin_s = time.monotonic()
        await asyncio.sleep(duration_s)
        self.world.store.fault = StoreFault.NONE
        for rows in self.daemon_faults_s.values():
            rows.append((begin_s, time.monotonic()))

    def _silence(self, servers):
        """Make all connections to some servers that are open now silent for good."""
        direction = self.rng.choice(list(Direction))
        count = sum(server.silence(direction) for server in servers)
        self._note(f"{count} open connections to {len(servers)} servers lose {direction.value}")
        now_s = time.monotonic()
        for rows in self.daemon_faults_s.values():
            rows.append((now_s, now_s))

    async def _harm_daemon(self, kind):
        """Harm a daemon, unless it would be the last one without a fault."""
        free = [index for index in range(len(self.daemons)) if index not in self._impaired_daemons]
        if len(free) < 2:
            return
        index = self.rng.choice(free)
        daemon = self.daemons[index]
        self._impaired_daemons.add(index)
        begin_s = time.monotonic()
        self._note(f"{daemon.name}: {kind}")
        match kind:
            case "kill" | "term":
                await self._restart(daemon, kind)
            case "stop":
                daemon.send_signal(signal.SIGSTOP)
                await asyncio.sleep(self._duration_s(0.5, 9.0))
                daemon.send_signal(signal.SIGCONT)
            case "store silent":
                self.proxies[index].set_mode("silent")
                await asyncio.sleep(self._duration_s(0.5, 5.0))
                # A connection that has dropped data must not go on.
                self.proxies[index].set_mode("reset")
                self.proxies[index].set_mode("pass")
        self._note(f"{daemon.name}: {kind} ends")
        self.daemon_faults_s[daemon.name].append((begin_s, time.monotonic()))
        self._impaired_daemons.discard(index)

    async def _harm_network(self):
        """Cut the network in two, so that a daemon without another fault is on the larger side."""
        names = [daemon.name for daemon in self.daemons]
        free = [name for index, name in enumerate(names) if index not in self._impaired_daemons]
        if len(free) < 2 or len(self.network.partitions) >= PARTITIONS_MAX_COUNT:
            return
        workers = [worker.executor_id for worker in self.world.workers]
        partition = draw_partition(self.rng, free, workers, self.network.scheduler)
        partition.duration_s = self._duration_s(partition.duration_s, partition.duration_s)
        indexes = {names.index(name) for name in partition.daemons}
        self._impaired_daemons |= indexes
        begin_s = await self.network.cut(partition)
        for name in partition.daemons:
            self.daemon_faults_s[name].append((begin_s, time.monotonic()))
        self._impaired_daemons -= indexes

    async def _restart(self, daemon, kind):
        daemon.send_signal(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
        limit_s = time.monotonic() + TERM_TIMEOUT_S
        while daemon.process.poll() is None:
            if time.monotonic() > limit_s:
                daemon.send_signal(signal.SIGKILL)
            await asyncio.sleep(0.02)
        await asyncio.sleep(self._duration_s(0.1, 3.0))
        daemon.start()
