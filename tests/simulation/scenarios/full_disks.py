"""Points 2 and 3: disks are full for long, first as many as may be lost and then most; then space is freed.

A full disk accepts no write that it cannot sync: its store answers no ballot and stores no turn, and acknowledged data
stays. While a majority is full, service may be unavailable.
"""

import asyncio

from ..recovery import check_change_latency, check_recovered_state, check_turns_accepted

WORLD = {"stores": 3, "fronts": 3}
READ_EVERY_S = 0.4


async def run_scenario(context):
    world, rng = context.world, context.rng
    context.start(context.operators.make_changes_forever(1.5))
    context.start(context.operators.read_everywhere_forever(READ_EVERY_S))
    context.start(context.clients.run_programs_forever(0.6))
    for _ in range(2):
        await context.wait(0.5, 3)
        await _fill_one_disk(context)
        await asyncio.sleep(world.bounds["catch_up_s"])
    world.oracle.contact.allowed_outage_began()
    full = rng.sample(world.stores(), rng.randint(2, 3))
    _fill(context, full)
    await context.wait(1, 8)
    if rng.random() < 0.5:
        world.kill(rng.choice(full), rng.uniform(0.2, 1))
    await context.wait(1, 4)
    _free_space(context, full)
    await asyncio.sleep(world.bounds["recovery_s"])
    world.oracle.contact.allowed_outage_ended()
    await check_change_latency(context)
    await check_recovered_state(context)
    await check_turns_accepted(context)


async def _fill_one_disk(context):
    """Check that turns are accepted while one disk is full, even if its process is killed."""
    host = context.rng.choice(context.world.stores())
    _fill(context, [host])
    await context.wait(2, 8)
    if context.rng.random() < 0.4:
        context.world.kill(host, context.rng.uniform(0.2, 1))
        await context.wait(1, 3)
    await check_turns_accepted(context)
    _free_space(context, [host])


def _fill(context, hosts):
    for host in hosts:
        context.world.record_event("disk full", host)
        context.world.oracle.set_slow(host.ip, True)
        host.disk.full = True


def _free_space(context, hosts):
    for host in hosts:
        context.world.record_event("room on the disk", host)
        host.disk.full = False
        context.world.oracle.set_slow(host.ip, False)
