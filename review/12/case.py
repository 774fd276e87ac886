"""An executor leaves as planned, and the scheduler is stopped and started right after it."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
from world import PREFIX, main  # noqa: E402

WORLD = {"daemons": 3, "executors": 4}
JOB = "5c0e7a21d94b36f8"
DRAIN_S = 2.5
AFTER_LAST_RUN_S, CALM_BEFORE_S, IDLE_S = 6.0, 4.0, 3.0


async def play(world, trouble):
    body = {
        "spec": '{"lasts": true}',
        "steps": [
            {"count": 3, "cpu": 500, "mem_mb": 256, "long_running": True, "anti_affinity": 1}
        ],
    }
    status, _ = await world.call(world.daemons[0], "POST", PREFIX + JOB, body)
    if status != 200:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(4.0)
    leaving = next(executor for executor in world.executors if executor.runs)
    leaving.state = "draining"
    leaving.register()
    world.record.write(f"{leaving.name} reports draining")
    await asyncio.sleep(DRAIN_S + 0.5)
    tasks = await leaving.leave()
    left_s = time.monotonic()
    world.record.write(f"{leaving.name} has left, with {tasks}")
    started_s = left_s
    if trouble:
        await asyncio.sleep(0.2)
        stopped = world.scheduler()
        world.record.write(f"SIGTERM for {stopped.name}, the scheduler")
        await stopped.kill(signal.SIGTERM)
        world.record.write(f"{stopped.name} has exited with {stopped.process.returncode}")
        await stopped.start()
        started_s = time.monotonic()
        world.record.write(f"{stopped.name} is started again")
    # Nothing is disturbed from here on. The rule is broken if a task has no run in these 3 s.
    begin_s = max(left_s + AFTER_LAST_RUN_S, started_s + CALM_BEFORE_S)
    idle = set(tasks)
    while time.monotonic() < begin_s + IDLE_S:
        if time.monotonic() >= begin_s:
            idle -= {run.task for executor in world.executors for run in executor.runs.values()}
        await asyncio.sleep(0.05)
    offsets = [round(at_s - world.record.start_s, 1) for at_s in (begin_s, begin_s + IDLE_S)]
    world.record.write(f"without a run from {offsets[0]} to {offsets[1]}: {sorted(idle)}")
    # Three executors are sound and idle but for two small tasks.
    while time.monotonic() < begin_s + 15.0 and len(idle):
        rows = [row for row in world.history() if row[0] in idle and row[3] is None]
        if rows:
            gap_s = rows[0][2] - left_s
            world.record.write(f"{rows[0][0]} runs again after {gap_s:.1f} s")
            return f"LOST: {rows[0][0]} had no run for {gap_s:.1f} s"
        await asyncio.sleep(0.1)
    return f"LOST: {sorted(idle)} have no run" if idle else None


if __name__ == "__main__":
    main(sys.modules[__name__], pathlib.Path(__file__).resolve().parent)
