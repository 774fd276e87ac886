"""The scheduler is stopped and started while the store holds one entry of another writer."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
from world import PREFIX, free_ports, main  # noqa: E402

WORLD = {"daemons": 3, "executors": 4}
JOB = "5c0e7a21d94b36f8"
AFTER_LAST_RUN_S, CALM_BEFORE_S, IDLE_S = 6.0, 4.0, 3.0


async def play(world, trouble):
    if trouble:
        entry = {
            "service": "inventory", "address": f"127.0.0.1:{free_ports()}", "zone": "zone-a",
            "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
            "capacity": {"cpu": 1000, "mem_mb": 1000, "gpu": 0}, "labels": ["a", "r1-1"],
            "clock_ms": 1000, "sequence": 1, "born": int(time.time() * 1000),
        }  # fmt: skip
        world.store.put("keyed.servers", "inventory-7", entry)
        world.record.write(f"another writer puts an entry under inventory-7: {entry}")
    body = {
        "spec": '{"lasts": true}',
        "steps": [
            {"count": 3, "cpu": 500, "mem_mb": 256, "long_running": True, "anti_affinity": 1}
        ],
    }
    status, _ = await world.call(world.daemons[0], "POST", PREFIX + JOB, body)
    if status != 200:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(6.0)
    stopped = world.scheduler()
    world.record.write(f"SIGTERM for {stopped.name}, the scheduler")
    exit_task = asyncio.create_task(stopped.kill(signal.SIGTERM))
    await asyncio.sleep(1.5)
    executor = next(executor for executor in world.executors if executor.runs)
    run = next(iter(executor.runs.values()))
    executor.end(run, "failed")  # a task that lasts "may fail at any time"
    ended_s = time.monotonic()
    await exit_task
    await stopped.start()
    started_s = time.monotonic()
    world.record.write(f"{stopped.name} has exited and is started again")
    # Nothing is disturbed from here on. The rule is broken if the task has no run in these 3 s.
    begin_s = max(ended_s + AFTER_LAST_RUN_S, started_s + CALM_BEFORE_S)
    idle = True
    while time.monotonic() < begin_s + IDLE_S:
        if time.monotonic() >= begin_s and _is_running(world, run.task):
            idle = False
        await asyncio.sleep(0.05)
    offsets = [round(at_s - world.record.start_s, 1) for at_s in (begin_s, begin_s + IDLE_S)]
    world.record.write(f"{run.task} without a run from {offsets[0]} to {offsets[1]}: {idle}")
    if not idle:
        return None
    while not _is_running(world, run.task) and time.monotonic() < ended_s + 30.0:
        await asyncio.sleep(0.05)
    return f"LOST: {run.task} had no run for {time.monotonic() - ended_s:.1f} s or more"


def _is_running(world, task):
    return any(run.task == task for executor in world.executors for run in executor.runs.values())


if __name__ == "__main__":
    main(sys.modules[__name__], pathlib.Path(__file__).resolve().parent)
