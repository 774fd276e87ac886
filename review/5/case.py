"""Two executors fail all that they start for some seconds; later gangs need them."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from harness import PLAIN, TROUBLE, World, run_case  # noqa: E402

EXECUTORS, GREY_S, TRAFFIC_S = 24, 6.5, 24


def world():
    """Two of 24 executors are of kind b."""
    return World([["b" if i < 2 else "a", f"r1-{1 + i // 8}"] for i in range(EXECUTORS)])


async def grey(world):
    await asyncio.sleep(4)
    for executor in world.executors[:2]:
        executor.grey = True
    world.record.add("executors 0 and 1 fail all that they start")
    await asyncio.sleep(GREY_S)
    for executor in world.executors[:2]:
        executor.grey = False
    world.record.add("executors 0 and 1 are sound again")
    world.sound_s = asyncio.get_running_loop().time()


async def play(world):
    world.sound_s = 0.0
    if TROUBLE:
        trouble = world.spawn(grey(world))
    jobs = []
    gang = {"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500, "gang": True}
    single = {"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500}
    for _ in range(TRAFFIC_S):
        for _ in range(4):
            jobs.append(world.spawn(world.submit(PLAIN, [single], {"ms": 500})))
            await asyncio.sleep(0.2)
        post = world.submit(PLAIN, [{**gang, "requires": "b"}], {"ms": 500, "gang": 2})
        jobs.append(world.spawn(post))
        await asyncio.sleep(0.2)
    await asyncio.gather(*jobs)
    may_fail = set()
    if TROUBLE:
        await trouble
        may_fail = {path for path, accepted_s in world.jobs.items() if accepted_s < world.sound_s}
    lost = await world.finish(may_fail)
    return world.broken_twice() + lost


run_case(FOLDER, sys.modules[__name__])
