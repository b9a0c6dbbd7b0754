"""Points 1 and 3: control machines are removed permanently, with and without notice, and replaced at other addresses.

The removed machine is the oldest, the one that reads the platform's list, or any. With two tolerated losses the next
one may be removed before the first replacement has caught up.
"""

import asyncio

from ..hosts import StoreHost
from ..recovery import check_turns_accepted

WORLD = {"stores": 3, "fronts": 3}
WORLD_TOLERATING_TWO = {"stores": 5, "fronts": 3, "tolerated_losses": 2}
LEAVES_WITHIN_S = 0.8
NOTICED_WITHIN_S = 3.0


def world_options(seed):
    """With odd seeds the system tolerates one lost machine, with even ones two."""
    return WORLD if seed % 2 else WORLD_TOLERATING_TWO


async def run_scenario(context):
    world, rng = context.world, context.rng
    context.start(context.operators.make_changes_forever(2.0))
    context.start(context.clients.run_programs_forever(0.8))
    await context.wait(1, 4)
    for _ in range(3):
        losses = rng.randint(1, world.tolerated_losses)
        for number in range(losses):
            await _take_away(context, rng.choice((_oldest, _reader, _any))(context))
            if number + 1 < losses:
                await context.wait(0, world.bounds["catch_up_s"])
        await context.wait(world.bounds["catch_up_s"], world.bounds["catch_up_s"] + rng.choice((0.3, 4.0)))
    await check_turns_accepted(context)


async def _take_away(context, victim):
    """Remove a machine, with notice or without, and add an empty one at another address."""
    world, rng = context.world, context.rng
    world.record_event("taken away", victim)
    if rng.random() < 0.5:
        world.stop(victim, None)
        await asyncio.sleep(LEAVES_WITHIN_S)
    world.remove(victim)
    await context.wait(0.1, NOTICED_WITHIN_S)
    world.boot(world.add(StoreHost, rng.choice((victim.name, None)), victim.zone))


def _oldest(context):
    return min(context.world.stores(), key=lambda host: host.first_started_s)


def _reader(context):
    """A machine whose process reads the platform's list, or any machine if none does."""
    readers = [
        host
        for host in context.world.stores()
        if host.is_responsive and host.control_server is not None and host.control_server._is_assigned_reader()
    ]
    return context.rng.choice(readers or context.world.stores())


def _any(context):
    return context.rng.choice(context.world.stores())
