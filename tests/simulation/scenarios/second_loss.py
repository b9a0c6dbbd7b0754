"""Point 3: a loss, its repair, and the next loss just after `catch_up_s`; replacements, retirement, wiped disks."""

import asyncio

from ..hosts import StoreHost

WORLD = {"stores": 3, "fronts": 3}
ROUNDS = 3
EDGE_S = 0.3


async def run_scenario(context):
    context.start(context.clients.run_programs_forever(0.8))
    context.start(context.operators.make_changes_forever(4.0))
    await context.wait(2, 5)
    for _ in range(ROUNDS):
        loss = context.rng.choice(LOSSES)
        victim = context.rng.choice(context.world.stores())
        context.world.record_event(loss.__name__, victim)
        await loss(context, victim)
        catch_up_s = context.world.bounds["catch_up_s"]
        await context.wait(catch_up_s, catch_up_s + context.rng.choice((EDGE_S, 4.0)))


async def _wipe(context, victim):
    downtime_s = context.rng.choice((context.rng.uniform(0.3, 3), context.rng.uniform(18, 24)))
    context.world.wipe(victim, downtime_s)
    await asyncio.sleep(downtime_s)


async def _power_off(context, victim):
    downtime_s = context.rng.choice((context.rng.uniform(0.3, 3), context.rng.uniform(18, 24)))
    context.world.power_off(victim, downtime_s)
    await asyncio.sleep(downtime_s)


async def _freeze(context, victim):
    context.world.freeze(victim)
    await context.wait(0.5, 23)
    context.world.unfreeze(victim)


async def _cut(context, victim):
    others = [ip for ip in context.world.all_addresses() if ip != victim.ip]
    pairs = context.world.cut_links([victim.ip], others) + context.world.cut_links(others, [victim.ip])
    await context.wait(0.5, 23)
    context.world.restore_links(pairs)


async def _replace(context, victim):
    """Remove the machine; an empty one replaces it at another address, under the same name or another."""
    world, rng = context.world, context.rng
    name = rng.choice((victim.name, None))
    world.remove(victim)
    await context.wait(0.1, 3)
    world.boot(world.add(StoreHost, name, victim.zone))


async def _replace_planned(context, victim):
    """Add the new machine first, and stop the old one permanently some time later."""
    world, rng = context.world, context.rng
    world.boot(world.add(StoreHost, rng.choice((victim.name, None)), victim.zone))
    await asyncio.sleep(world.bounds["catch_up_s"] + rng.uniform(0, 3))
    world.stop(victim, None)
    await asyncio.sleep(1.0)
    world.remove(victim)


async def _retire(context, victim):
    """Add a machine, then retire another one and remove it."""
    world = context.world
    world.boot(world.add(StoreHost))
    await asyncio.sleep(world.bounds["catch_up_s"] + context.rng.uniform(0, 3))
    await context.operators.retire(victim, within_s=20.0)


LOSSES = (_wipe, _wipe, _power_off, _freeze, _replace, _replace_planned, _retire, _cut)
