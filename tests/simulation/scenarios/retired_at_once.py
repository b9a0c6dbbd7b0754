"""Point 3: a retiring store's machine is removed as soon as its retirement is done, and another store is lost then."""

import asyncio

from ..hosts import StoreHost
from ..recovery import check_turns_accepted

WORLD = {"stores": 3, "fronts": 2}


async def run_scenario(context):
    world, rng = context.world, context.rng
    context.start(context.clients.run_programs_forever(1.2))
    await context.wait(1, 3)
    world.boot(world.add(StoreHost))
    await context.wait(world.bounds["catch_up_s"], world.bounds["catch_up_s"] + 2)
    if not await context.operators.retire(rng.choice(world.stores()), within_s=20.0):
        world.oracle.report_violation("RETIRE", "a retirement without faults was not done within 20 s")
        return
    await context.wait(0, rng.choice((0.01, 0.3)))
    downtime_s = rng.uniform(0.3, 3)
    rng.choice((world.wipe, world.power_off))(rng.choice(world.stores()), downtime_s)
    await asyncio.sleep(downtime_s + world.bounds["recovery_s"])
    await check_turns_accepted(context)
