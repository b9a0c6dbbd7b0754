"""Points 2 to 4: more machines are lost at once than `fault_tolerance` allows, but no more disks than that.

Service may be unavailable until `recovery_s` after all are back; then all acknowledged data is available.
"""

import asyncio

from ..recovery import check_change_latency, check_recovered_state

WORLD = {"stores": 4, "fronts": 3}
WORLD_TOLERATING_TWO = {"stores": 6, "fronts": 3, "tolerated_losses": 2}
ROUNDS = 3
READ_EVERY_S = 0.3
SPREADS_S = 0.0, 0.0, 0.5, 3.0
SLOW_DISK_S = 0.05
SHORT_S, LONG_S = (0.3, 4.0), (4.0, 24.0)


def world_options(seed):
    """With odd seeds the system tolerates one lost machine, with even ones two."""
    return WORLD if seed % 2 else WORLD_TOLERATING_TWO


async def run_scenario(context):
    world = context.world
    context.start(context.operators.make_changes_forever(3.0))
    context.start(context.operators.read_everywhere_forever(READ_EVERY_S))
    context.start(context.clients.run_programs_forever(1.0))
    for _ in range(ROUNDS):
        await context.wait(1, 4)
        if context.rng.random() < 0.4:
            await _change_on_slow_disks(context)
        world.oracle.contact.allowed_outage_began()
        await _losses(context)
        await asyncio.sleep(world.bounds["recovery_s"])
        world.oracle.contact.allowed_outage_ended()
        await check_change_latency(context)
        await check_recovered_state(context)


async def _change_on_slow_disks(context):
    """A change is acknowledged just before the losses, while most disks have not written it yet."""
    for host in context.world.stores():
        host.disk.slow_s = SLOW_DISK_S
    await context.operators.make_change(retry_for_s=4.0)
    for host in context.world.stores():
        host.disk.slow_s = 0.0


async def _losses(context):
    """Lose more machines than tolerated, but no more disks than tolerated, and wait until all are back."""
    world, rng = context.world, context.rng
    stores = world.stores()
    victims = rng.sample(stores, rng.randint(world.tolerated_losses + 1, len(stores)))
    lost_disks = rng.randint(0, world.tolerated_losses)
    losses = [_wipe] * lost_disks
    losses += [rng.choice((world.power_off, world.power_off, world.kill, _freeze)) for _ in victims[lost_disks:]]
    fronts = rng.sample(world.fronts(), rng.choice((0, 0, 1, len(world.fronts()))))
    faults = [*zip(losses, victims, strict=True), *((world.kill, front) for front in fronts)]
    spread_s = rng.choice(SPREADS_S)
    await asyncio.gather(*[_lose(context, loss, victim, spread_s) for loss, victim in faults])


async def _lose(context, loss, victim, spread_s):
    downtime_s = context.rng.uniform(*context.rng.choice((SHORT_S, SHORT_S, LONG_S)))
    if spread_s:
        await context.wait(0, spread_s)
    loss(victim, downtime_s)
    await asyncio.sleep(downtime_s)


def _wipe(victim, downtime_s):
    victim.world.wipe(victim, downtime_s)


def _freeze(victim, downtime_s):
    world = victim.world
    world.freeze(victim)
    world.loop.call_at(world.loop.now + downtime_s, world.unfreeze, victim)
