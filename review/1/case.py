"""The leader is cut off from the store while it records a new executor; it leads again later."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from harness import PLAIN, TROUBLE, Executor, World, run_case  # noqa: E402

EXECUTORS, RELEASED, CUT_S, DOWN_S, TRAFFIC_S = 8, 3, 5.5, 3.5, 34


def world():
    return World([["a", "r1-1"] for _ in range(EXECUTORS)], daemons_count=2)


async def release(world):
    """Replace an executor each second: the new one starts first, the old one drains."""
    for number in range(RELEASED):
        old, new = world.executors[number], Executor(world, f"i-{100 + number:08x}", ["a", "r1-1"])
        world.executors.append(new)
        await new.start()
        await asyncio.sleep(0.5)
        old.drain()
        world.spawn(leave(world, old))
        await asyncio.sleep(0.5)


async def leave(world, executor):
    await asyncio.sleep(7)
    await executor.crash()
    world.store.put("keyed.servers", executor.executor_id, b"")


async def cut_leader(world):
    """Cut the leader off as it writes, then kill the process that leads after it."""
    world.store.cut_on = b"workers"
    while world.store.cut_on:
        await asyncio.sleep(0.01)
    first = world.store.leader
    world.record.add(f"{first} is cut off from the store for {CUT_S} s")
    await asyncio.sleep(CUT_S)
    world.store.silent.clear()
    world.record.add(f"{first} reaches the store again; {world.store.leader} leads")
    await asyncio.sleep(2)
    second = next(d for d in world.daemons if d.name == world.store.leader)
    second.kill()
    await asyncio.sleep(DOWN_S)
    await second.start()


async def play(world):
    jobs = []
    if TROUBLE:
        world.spawn(cut_leader(world))
    releasing = world.spawn(release(world))
    for _ in range(TRAFFIC_S * 4):
        step = {"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500}
        jobs.append(world.spawn(world.submit(PLAIN, [step], {"ms": 500})))
        await asyncio.sleep(0.25)
    await asyncio.gather(*jobs, releasing)
    lost = await world.finish()
    return world.broken_twice() + lost


run_case(FOLDER, sys.modules[__name__])
