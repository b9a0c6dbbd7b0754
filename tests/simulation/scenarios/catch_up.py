"""Point 4: hundreds of changes, large bodies, long outages of members; then restarts of one or all machines."""

import asyncio

WORLD = {"stores": 3, "fronts": 2}
CHANGES = 150
BODIES = (0, 0, 0, 4_000, 30_000)


async def run_scenario(context):
    world, rng = context.world, context.rng
    context.start(context.clients.run_programs_forever(3.0))
    outages = context.start(_repeat_member_outages(context))
    base = await context.operators.current()
    for _ in range(CHANGES):
        change = context.operators.new_change(base, padding_bytes=rng.choice(BODIES))
        if await context.operators.put(change) == 200:
            base = change.generation
        else:
            base = await context.operators.current()
    outages.cancel()
    world.heal()
    await asyncio.sleep(world.bounds["catch_up_s"])
    await _restarts(context)


async def _repeat_member_outages(context):
    """Take one member after the other down, some with the loss of their disk."""
    world, rng = context.world, context.rng
    while True:
        victim = rng.choice(world.stores())
        downtime_s = rng.uniform(1, 12)
        rng.choice((world.kill, world.power_off, world.wipe))(victim, downtime_s)
        await asyncio.sleep(downtime_s + world.bounds["catch_up_s"])


async def _restarts(context):
    """Restart all machines at once or the stores one after the other; then wipe a disk."""
    world, rng = context.world, context.rng
    if rng.random() < 0.5:
        for host in [*world.stores(), *world.fronts()]:
            world.power_off(host, rng.uniform(0.2, 1.0))
    else:
        for host in world.stores():
            world.kill(host, rng.uniform(0.2, 2.0))
            await context.wait(2.5, world.bounds["catch_up_s"] + 2.5)
    await asyncio.sleep(1.0 + world.bounds["catch_up_s"])
    world.wipe(rng.choice(world.stores()), 0.5)
    await asyncio.sleep(0.5 + world.bounds["catch_up_s"])
