"""A client leaves a submission that has no answer yet and cancels the job."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
from world import PREFIX, main  # noqa: E402

WORLD = {"daemons": 2, "executors": 2}
JOB = "5c0e7a21d94b36f8"
LEAVE_S = 0.2
"""The client leaves after half of the objective of slot-check (400 ms)."""
CONTACT_S, CANCEL_S, STOP_S = 4.0, 3.0, 0.2


async def play(world, trouble):
    vm = world.daemons[0]
    lost = []

    def lose_append(name, part, keys):
        # One append in the whole script, carried out 1 s later as `how = "late"` may do.
        if trouble and not lost and f"a{JOB}" in keys:
            lost.append(keys)
            return 1.0
        return None

    world.store.lose_append = lose_append
    writes = world.store.writes
    body = {
        "spec": '{"work_s": 20}',
        "steps": [{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 20000}],
    }
    path = PREFIX + JOB
    await world.call(vm, "POST", path, body, timeout_s=LEAVE_S)
    status, _ = await world.call(vm, "DELETE", path)
    if status is None or not (status < 300 or status == 410):
        raise RuntimeError("the cancelling was not acknowledged")
    acked_s = world.record.now_s()
    world.record.write(f"the cancelling is acknowledged with {status}")
    # The lost append is carried out 1 s after it was sent; from then on nothing is disturbed.
    await asyncio.sleep(1.0 + CONTACT_S + CANCEL_S + STOP_S + 1.0)
    share = f"{world.store.lost} of {world.store.writes - writes} writes lost"
    world.record.write(share)
    await world.call(world.daemons[1], "GET", path)
    now_s = world.record.now_s()
    bad = [row for row in world.history() if row[3] is None]
    world.record.write(f"{now_s - acked_s:.1f} s after the acknowledgement {len(bad)} tasks run")
    for task, number, start_s, _, how, executor in bad:
        world.record.write(
            f"{executor}: run {number} of {task} began at {start_s - world.record.start_s:.3f} "
            f"and is {how}"
        )
    if bad:
        return f"UNASKED: {len(bad)} tasks run on after the cancelling was acknowledged ({status})"
    return None


if __name__ == "__main__":
    main(sys.modules[__name__], pathlib.Path(__file__).resolve().parent)
