"""Points 2 to 4: disks are lost, as many as may be, while all other machines lose power at the same moment.

Also the machines that do not count, the fronts, lose power. What was acknowledged must be on the disks that remain.
"""

import asyncio

from ..recovery import check_change_latency, check_recovered_state, check_turns_accepted

WORLD = {"stores": 3, "fronts": 3}
WORLD_TOLERATING_TWO = {"stores": 5, "fronts": 3, "tolerated_losses": 2}
SLOW_DISK_S = 0.05
MAX_DOWNTIME_S = 3.0


def world_options(seed):
    """With odd seeds one disk may be lost, with even ones two."""
    return WORLD if seed % 2 else WORLD_TOLERATING_TWO


async def run_scenario(context):
    world = context.world
    context.start(context.operators.make_changes_forever(2.0))
    context.start(context.clients.run_programs_forever(0.8))
    await context.wait(2.0, 5.0)
    world.oracle.contact.allowed_outage_began()
    recovered_at_s = world.loop.now + await _lose_disks_and_power(context)
    await asyncio.sleep(recovered_at_s - world.loop.now + world.bounds["recovery_s"])
    world.oracle.contact.allowed_outage_ended()
    await check_change_latency(context)
    await check_recovered_state(context)
    await check_turns_accepted(context)


async def _lose_disks_and_power(context):
    """Wipe stores and cut the power of all others, mostly right after a change was acknowledged.

    Returns the time until all are back.
    """
    world, rng = context.world, context.rng
    stores = world.stores()
    for host in stores:
        host.disk.slow_s = rng.choice((0.0, SLOW_DISK_S))
    if rng.random() < 0.7:
        await context.operators.make_change(retry_for_s=2.0)
    wiped = rng.sample(stores, context.world.tolerated_losses)
    downtimes_s = []
    for host in [*stores, *world.fronts()]:
        downtimes_s.append(rng.uniform(0.2, MAX_DOWNTIME_S))
        lose = world.wipe if host in wiped else world.power_off
        lose(host, downtimes_s[-1])
    for host in world.stores():
        host.disk.slow_s = 0.0
    return max(downtimes_s)
