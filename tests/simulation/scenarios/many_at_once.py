"""Points 2 to 4: any share of all processes is lost at once, by kill or power loss, also twice within `catch_up_s`.

All disks survive. More may be lost than `fault_tolerance` allows: service may be unavailable until `recovery_s` after
all are back, and then all acknowledged data is available.
"""

import asyncio

from ..recovery import check_change_latency, check_recovered_state, check_turns_accepted

WORLD = {"stores": 3, "fronts": 3}
WORLD_TOLERATING_TWO = {"stores": 5, "fronts": 3, "tolerated_losses": 2}
ROUNDS = 3
READ_EVERY_S = 0.4
SLOW_DISK_S = 0.05


def world_options(seed):
    """With odd seeds the system tolerates one lost machine, with even ones two."""
    return WORLD if seed % 2 else WORLD_TOLERATING_TWO


async def run_scenario(context):
    world = context.world
    context.start(context.operators.make_changes_forever(2.0))
    context.start(context.operators.read_everywhere_forever(READ_EVERY_S))
    context.start(context.clients.run_programs_forever(0.8))
    for _ in range(ROUNDS):
        await context.wait(0.5, 4)
        world.oracle.contact.allowed_outage_began()
        recovered_at_s = world.loop.now
        for _ in range(context.rng.choice((1, 2, 2))):
            recovered_at_s = max(recovered_at_s, world.loop.now + await _lose_many(context))
            await context.wait(0, context.rng.choice((0.3, world.bounds["catch_up_s"])))
        await asyncio.sleep(max(0.0, recovered_at_s - world.loop.now) + world.bounds["recovery_s"])
        world.oracle.contact.allowed_outage_ended()
        await check_change_latency(context)
        await check_recovered_state(context)
    await check_turns_accepted(context)


async def _lose_many(context):
    """Stop a share of all processes at once, mostly right after a change was acknowledged.

    Returns the time until all are back.
    """
    world, rng = context.world, context.rng
    disks = [host.disk for host in world.stores()]
    for disk in disks:
        disk.slow_s = rng.choice((0.0, SLOW_DISK_S))
    if rng.random() < 0.6:
        await context.operators.make_change(retry_for_s=2.0)
    hosts = [*world.stores(), *world.fronts()]
    victims = rng.sample(hosts, rng.randint(2, len(hosts)))
    lose = rng.choice((world.kill, world.power_off))
    downtimes_s = [rng.uniform(0.2, rng.choice((1.0, 6.0))) for _ in victims]
    for victim, downtime_s in zip(victims, downtimes_s, strict=True):
        lose(victim, downtime_s)
    for disk in disks:
        disk.slow_s = 0.0
    return max(downtimes_s)
