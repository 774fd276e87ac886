"""More than 500 tasks end on one executor while it is cut off."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from harness import PLAIN, TROUBLE, World, run_case  # noqa: E402

JOBS, WIDTH, WORK_MS, CUT_S = 10, 60, 4500, 3.5
TASKS = JOBS * WIDTH


def world():
    """One of 8 executors has the label that the jobs require."""
    return World([["b" if index == 0 else "a", "r1-1"] for index in range(8)], max_attempts=4)


async def play(world):
    step = {"count": WIDTH, "cpu": 20, "mem_mb": 8, "estimate_ms": WORK_MS, "requires": "b"}
    executor = world.executors[0]
    posts = [world.submit(PLAIN, [step], {"ms": WORK_MS}) for _ in range(JOBS)]
    await asyncio.gather(*posts)
    for _ in range(100):
        await asyncio.sleep(0.05)
        if len(world.begun) == TASKS:
            break
    world.record.add(f"{len(world.begun)} of {TASKS} tasks have begun")
    if TROUBLE:
        first_s = min(run.ends_s for run in executor.runs.values())
        last_s = max(run.ends_s for run in executor.runs.values())
        world.record.add(f"the tasks end within {last_s - first_s:.2f} s")
        await asyncio.sleep(max(0, last_s - CUT_S + 0.3 - asyncio.get_running_loop().time()))
        executor.cut = True
        world.record.add(f"{executor.executor_id} is cut off for {CUT_S} s and runs on")
        await asyncio.sleep(CUT_S)
        executor.cut = False
        world.record.add(f"the cut heals; {len(executor.finished)} ends are not acknowledged")
    lost = await world.finish()
    return world.broken_twice() + lost


run_case(FOLDER, sys.modules[__name__])
