"""A machine loses a desired state for good, if another record follows it and one read fails."""

import asyncio
import random
import sys

from world import BOUNDS, CONTACT_S, make_configuration, main

ROUNDS = 4
REJECTED_S = 9.0
REJECTED_SHARE = 0.9
APPLY_S = BOUNDS["config_apply_ms"] / 1000


async def play(world):
    names = ["batch", "urgent", *(f"idle-{number}" for number in range(8))]
    await world.open(6, 2, make_configuration(1, names))
    rejected = {daemon.name for daemon in world.daemons[-2:]}
    rng = random.Random(38)
    is_rejecting = False

    def gate(node, call):
        rejects = is_rejecting and node in rejected and rng.random() < REJECTED_SHARE
        return 429 if rejects else None

    if world.trouble:
        world.store.gate = gate
    broken = []
    for number in range(1, ROUNDS + 1):
        is_rejecting = True
        if world.trouble:
            world.record.write(
                f"the store rejects {REJECTED_SHARE:.0%} of the calls of {sorted(rejected)} with 429"
            )
        await asyncio.sleep(3.0)
        names.append(f"route-{number}")
        version = number + 1
        world.store.put("keyed.op", "config", make_configuration(version, names))
        world.record.write(f"op/config version {version} is acknowledged; it adds {names[-1]}")
        await asyncio.sleep(0.2)
        wave = {"wave": number, "machines": ["m-1"], "duration_s": 60, "cap": 1}
        world.store.put("keyed.op", f"wave/{number}", wave)
        world.record.write(f"op/wave/{number} is acknowledged")
        await asyncio.sleep(REJECTED_S - 3.2)
        is_rejecting = False
        world.record.write("the store serves all calls again")
        await asyncio.sleep(CONTACT_S + APPLY_S + 0.5)
        for daemon in world.daemons:
            status, _ = await world.call(daemon, "GET", f"/{names[-1]}/")
            if status == 404:
                broken.append(
                    f"CONFIG: {daemon.name} answers 404 for {names[-1]}, which version {version} "
                    f"has, {CONTACT_S + APPLY_S + 0.5:.1f} s after the end of the disruption"
                )
    return broken


sys.exit(main(".", play))
