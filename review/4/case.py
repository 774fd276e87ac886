"""Executors leave a few orders unanswered and carry them out late, on a queue with advice."""

import asyncio
import pathlib
import random
import sys
import zlib

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from harness import ADVISED, TROUBLE, World, run_case  # noqa: E402

EXECUTORS, PER_S, TRAFFIC_S, WORK_MS, CPU, TASKS = 24, 6, 22, 250, 4000, 20
GAP_S, LATE_S, LATE_SHARE = 4, 5.5, 0.055


def world():
    """The policy of the queue allows one executor of 24 for each step."""

    def allow(step, index):
        return index == zlib.crc32(step.encode()) % EXECUTORS

    labels = [["a", f"r1-{1 + index // 8}"] for index in range(EXECUTORS)]
    return World(labels, allow=allow, validity_ms=2000)


async def make_late(world):
    for _ in range(2):
        await asyncio.sleep(GAP_S)
        for share in (LATE_SHARE, 0.0):
            for executor in world.executors:
                executor.late_share = share
            world.record.add(f"share of the orders that are done late: {share}")
            await asyncio.sleep(LATE_S if share else 0)


async def play(world):
    if TROUBLE:
        world.spawn(make_late(world))
    posts = []
    for _ in range(PER_S * TRAFFIC_S):
        step = {"count": TASKS, "cpu": CPU, "mem_mb": 256, "estimate_ms": WORK_MS}
        posts.append(world.spawn(world.submit(ADVISED, [step], {"ms": WORK_MS})))
        await asyncio.sleep(random.uniform(0, 2 / PER_S))
    await asyncio.gather(*posts)
    lost = await world.finish()
    return world.broken_twice() + lost


run_case(FOLDER, sys.modules[__name__])
