"""Cuts of the network into two sides, each with daemons and workers, for the worker soak.

The smaller side has some daemons and workers. The other side has the store and all others. Messages
between daemons are not cut.
"""

import asyncio
import functools
import signal
import time
from enum import Enum

import attrs

from fireflywharf_core.workflows import TenureRecord, decode_record
from fireflywharf_testing.platform_stand_ins import FaultNoted

JOURNAL_TOPIC, TENURE_KEY = "keyed.journal", "tenure"
SCHEDULER_SHARE = 0.75
SECOND_DAEMON_SHARE = 0.3
NO_WORKERS_SHARE = 0.1
LAG_MIN_S, LAG_MAX_S = 0.2, 3.0
DURATION_MIN_S, DURATION_MAX_S = 3.0, 13.0
MARKED_DURATIONS_S = (6.0, 7.0, 8.0, 11.0, 12.5)
"""Near the permission of a scheduler, the lease of a run and the wait of a successor."""
MARKED_SHARE = 0.7
MARKED_WIDTH_S = 0.4


class CutKind(Enum):
    """What a cut drops, and in which order.

    Attributes:
        AT_ONCE: the calls between the sides and all calls of the smaller side to the store.
        WORKERS_FIRST: the same, the calls to the store later.
        STORE_FIRST: the same, the calls to workers later.
        MAIN_PART: as `AT_ONCE`, but of the store only part 0 of each topic.
        STOPPED: as `AT_ONCE`, and the daemons of the smaller side are stopped for a part of it.
    """

    AT_ONCE = "at once"
    WORKERS_FIRST = "workers first"
    STORE_FIRST = "store first"
    MAIN_PART = "only part 0 of the store"
    STOPPED = "with stopped daemons"


@attrs.define(eq=False)
class Partition:
    """A cut of the network into two sides.

    Args:
        daemons: names of the daemons on the smaller side.
        workers: ids of the workers on the smaller side.
        kind: what is cut.
        duration_s: length in seconds.
        lag_s: time in seconds between the two steps of a cut that has two.
        stop_share: begin and end of the stop of the daemons, as shares of the length.

    Attributes:
        drops_calls: whether calls to workers of the other side are dropped now.
        drops_main_part: whether calls to part 0 of the topics of the store are dropped now.
    """

    daemons: frozenset[str]
    workers: frozenset[str]
    kind: CutKind = CutKind.AT_ONCE
    duration_s: float = 6.0
    lag_s: float = 0.0
    stop_share: tuple[float, float] = (0.0, 0.0)
    drops_calls: bool = attrs.field(default=False, init=False)
    drops_main_part: bool = attrs.field(default=False, init=False)

    def separates(self, daemon, worker_id):
        """Return whether a daemon and a worker are on different sides; None is outside."""
        return (daemon in self.daemons) != (worker_id in self.workers)


def draw_partition(rng, daemons, worker_ids, scheduler):
    """Return a random cut, mostly with the scheduler on the smaller side.

    Args:
        rng: source of the cut.
        daemons: names of the daemons that may be cut off, at least two; one of them stays outside.
        worker_ids: ids of all workers.
        scheduler: name of the daemon that holds the tenure; None if there is none.
    """
    followers = [name for name in daemons if name != scheduler]
    is_scheduler = scheduler in daemons and rng.random() < SCHEDULER_SHARE
    inside = {scheduler if is_scheduler else rng.choice(followers)}
    if len(daemons) > 2 and rng.random() < SECOND_DAEMON_SHARE:
        inside.add(rng.choice([name for name in daemons if name not in inside]))
    workers_count = 0
    if rng.random() >= NO_WORKERS_SHARE:
        workers_count = min(len(worker_ids) - 1, round(rng.triangular() * len(worker_ids)))
    duration_s = rng.uniform(DURATION_MIN_S, DURATION_MAX_S)
    if rng.random() < MARKED_SHARE:
        duration_s = rng.choice(MARKED_DURATIONS_S) + rng.uniform(-1.0, 1.0) * MARKED_WIDTH_S
    kind, lag_s = rng.choice(list(CutKind)), rng.uniform(LAG_MIN_S, LAG_MAX_S)
    stop_from = rng.uniform(0.0, 0.6)
    return Partition(
        frozenset(inside),
        frozenset(rng.sample(worker_ids, workers_count)),
        kind,
        duration_s,
        lag_s if kind in (CutKind.WORKERS_FIRST, CutKind.STORE_FIRST) else 0.0,
        (stop_from, stop_from + rng.uniform(0.1, 0.4)),
    )


def describe_cut(partition):
    """Return a name of a cut for the events."""
    return f"the cut with {', '.join(sorted(partition.daemons))}"


class Network:
    """The network between daemons, workers and the store, with the cuts in force.

    Args:
        world: the stand-ins.
        daemons: the daemons.
        proxies: proxies between each daemon and the store, by name of the daemon.

    Attributes:
        partitions: cuts in force.
        holders: name of the daemon that holds a tenure, by fencing token.
        scheduler: name of the daemon with the newest tenure; None if there is none.
    """

    def __init__(self, world, daemons, proxies):
        self.world, self.proxies = world, proxies
        self.daemons = {daemon.name: daemon for daemon in daemons}
        self.partitions, self.holders, self.scheduler = [], {}, None
        world.store.observe_record = self.observe_record
        world.store.drops_request = self.drops_request
        for worker in world.workers:
            worker.drops_call = functools.partial(self.drops_call, worker.executor_id)

    def observe_record(self, topic, key, value):
        """Learn from a record of the store which daemon holds a tenure."""
        if topic != JOURNAL_TOPIC or key != TENURE_KEY or not value:
            return
        record = decode_record(value)
        if isinstance(record, TenureRecord):
            self.scheduler = self.holders[record.epoch] = record.holder.partition("#")[0]

    def drops_call(self, worker_id, fencing_token):
        """Return whether a call to a worker is dropped; an unknown caller is outside."""
        daemon = self.holders.get(fencing_token)
        return any(
            partition.drops_calls and partition.separates(daemon, worker_id)
            for partition in self.partitions
        )

    def drops_request(self, request):
        """Return whether a request to part 0 of a topic of the store is dropped."""
        if int(request.query.get("part", 0)) or request.transport is None:
            return False
        cut_off = [partition for partition in self.partitions if partition.drops_main_part]
        if not cut_off:
            return False
        port = request.transport.get_extra_info("peername")[1]
        names = frozenset().union(*(partition.daemons for partition in cut_off))
        return any(self.proxies[name].forwards_from(port) for name in names)

    async def cut(self, partition):
        """Cut the network for a while; return when the calls to the store were cut."""
        self.partitions.append(partition)
        self._note(partition, f"begins, {partition.kind.value}, {partition.duration_s:.2f} s")
        self._note_workers(partition, "is inside")
        lag_s = min(partition.lag_s, partition.duration_s)
        if partition.kind is CutKind.STORE_FIRST:
            begin_s = self._cut_store(partition)
            await asyncio.sleep(lag_s)
            partition.drops_calls = True
        else:
            partition.drops_calls = True
            await asyncio.sleep(lag_s)
            begin_s = self._cut_store(partition)
        await self._wait_until_end(partition, partition.duration_s - lag_s)
        self._heal(partition)
        return begin_s

    def _cut_store(self, partition):
        if partition.kind is CutKind.MAIN_PART:
            partition.drops_main_part = True
        else:
            for name in partition.daemons:
                self.proxies[name].set_mode("silent")
        return time.monotonic()

    async def _wait_until_end(self, partition, left_s):
        if partition.kind is not CutKind.STOPPED:
            await asyncio.sleep(left_s)
            return
        daemons = [self.daemons[name] for name in sorted(partition.daemons)]
        from_share, to_share = partition.stop_share
        await asyncio.sleep(from_share * left_s)
        self._note(partition, "stops its daemons")
        for daemon in daemons:
            daemon.send_signal(signal.SIGSTOP)
        await asyncio.sleep((to_share - from_share) * left_s)
        for daemon in daemons:
            daemon.send_signal(signal.SIGCONT)
        self._note(partition, "lets its daemons go on")
        await asyncio.sleep((1.0 - to_share) * left_s)

    def _heal(self, partition):
        self.partitions.remove(partition)
        if partition.kind is not CutKind.MAIN_PART:
            for name in partition.daemons:
                # A connection that has dropped data must not go on.
                self.proxies[name].set_mode("reset")
                self.proxies[name].set_mode("pass")
        self._note(partition, "ends")
        self._note_workers(partition, "is no longer inside")

    def _note(self, partition, what):
        side = f"{describe_cut(partition)} and {len(partition.workers)} workers inside"
        self.world.events.append(FaultNoted(time.monotonic(), "", 0, f"{side} {what}"))

    def _note_workers(self, partition, what):
        """Add an event for each worker on the smaller side."""
        for worker in self.world.workers:
            if worker.executor_id in partition.workers:
                worker.note(f"{what} {describe_cut(partition)}")
