"""A cancelled task runs on, because stop orders go to channels that have been silent for long."""

import asyncio
import sys

from world import BOUNDS, CONTACT_S, make_configuration, make_job, main

PREFIX = "/batch/"
BURST_ID, LASTING_ID = "00000000000000b1", "00000000000000a1"


async def play(world):
    await world.open(3, 3, make_configuration(1, ["batch"]))
    client = world.daemons[0]
    status, _ = await world.call(client, "POST", PREFIX + LASTING_ID, make_job(None))
    assert status == 200
    assert await world.wait_for(lambda: world.find_runs(LASTING_ID), 5)
    # Twelve tasks of one step start at the same time, so the scheduler opens as many channels.
    status, _ = await world.call(client, "POST", PREFIX + BURST_ID, make_job(0.5, count=12))
    assert status == 200
    await asyncio.sleep(3.0)
    assert not world.find_runs(BURST_ID)
    if world.trouble:
        for executor in world.executors:
            count = executor.proxy.silence()
            world.record.write(f"the {count} open channels to {executor.worker_id} go silent")
    # One second more than after which all machines are in touch again.
    await asyncio.sleep(CONTACT_S + 1.0)
    status, _ = await world.call(client, "DELETE", PREFIX + LASTING_ID)
    assert status == 200
    bound_s = (BOUNDS["cancel_ms"] + BOUNDS["stop_ms"]) / 1000
    world.record.write(f"the cancelling is acknowledged; no run may go on {bound_s} s from now")
    acked = world.record.now()
    await asyncio.sleep(bound_s + 0.1)
    left = world.find_runs(LASTING_ID)
    ended = await world.wait_for(lambda: not world.find_runs(LASTING_ID), 20)
    world.record.write(f"ended: {ended}, {world.record.now() - acked:.3f} s after the ack")
    return [
        f"UNASKED: {worker} still runs {task} run {number} {bound_s} s after the cancelling was "
        f"acknowledged; it ended {world.record.now() - acked:.1f} s after that"
        for worker, task, number in left
    ]


sys.exit(main(".", play))
