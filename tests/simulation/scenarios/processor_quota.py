"""Points 1 to 4: each process has a CPU quota and is paused once it is used up."""

import asyncio

from ..processor_quota import QUOTA_SHARES, limit_processor

WORLD = {"stores": 3, "fronts": 3}
ROUNDS = 3
BUSY_SHARES = 0.5, 1.0
"""Shares of the periods in which a process uses up its quota."""


async def run_scenario(context):
    world, rng = context.world, context.rng
    for host in [*world.stores(), *world.fronts()]:
        context.start(limit_processor(world, host, rng.choice(QUOTA_SHARES), rng.choice(BUSY_SHARES)))
    context.start(context.operators.make_changes_forever(2.0))
    context.start(context.clients.run_programs_forever(1.0))
    for _ in range(ROUNDS):
        await context.wait(1, 4)
        await rng.choice((_kill, _wipe, _kill_fronts, _cut))(context)
        await asyncio.sleep(world.bounds["catch_up_s"])


async def _kill(context):
    downtime_s = context.rng.uniform(0.2, 2)
    context.world.kill(context.rng.choice(context.world.stores()), downtime_s)
    await asyncio.sleep(downtime_s)


async def _wipe(context):
    downtime_s = context.rng.uniform(0.3, 3)
    context.world.wipe(context.rng.choice(context.world.stores()), downtime_s)
    await asyncio.sleep(downtime_s)


async def _kill_fronts(context):
    for front in context.world.fronts():
        context.world.kill(front, context.rng.uniform(0.2, 1))
    await asyncio.sleep(1)


async def _cut(context):
    """Isolate one store from the others; fronts that start meanwhile reach all stores."""
    world = context.world
    victim = context.rng.choice(world.stores())
    others = [host.ip for host in world.stores() if host is not victim]
    pairs = world.cut_links([victim.ip], others) + world.cut_links(others, [victim.ip])
    for _ in range(3):
        await context.wait(0.5, 3)
        world.kill(context.rng.choice(world.fronts()), context.rng.uniform(0.1, 1))
    world.restore_links(pairs)
