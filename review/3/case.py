"""An entry that cannot be read is among the executors when the leader is stopped and restarted."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from harness import PLAIN, TROUBLE, World, run_case  # noqa: E402

EXECUTORS, TRAFFIC_S = 6, 24
UNREADABLE = b"[" * 4000


def world():
    return World([["a", "r1-1"] for _ in range(EXECUTORS)])


async def restart_leader(world):
    """Stop the leader with SIGTERM, as the platform does, and start it again."""
    await asyncio.sleep(6)
    leader = next(daemon for daemon in world.daemons if daemon.name == world.store.leader)
    leader.process.send_signal(signal.SIGTERM)
    world.record.add(f"{leader.name} gets SIGTERM")
    await leader.process.wait()
    await asyncio.sleep(0.5)
    await leader.start()


async def play(world):
    if TROUBLE:
        world.store.put("keyed.servers", "i-foreign", UNREADABLE)
        world.record.add("another writer writes an entry that cannot be read")
    restarting = world.spawn(restart_leader(world))
    jobs = []
    for _ in range(5 * TRAFFIC_S):
        step = {"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500}
        jobs.append(world.spawn(world.submit(PLAIN, [step], {"ms": 500})))
        await asyncio.sleep(0.2)
    await asyncio.gather(*jobs, restarting)
    lost = await world.finish()
    return world.broken_twice() + lost


run_case(FOLDER, sys.modules[__name__])
