"""Points 3 and 4: links of 15 Mbit/s carry a store's copy and large configurations along with client traffic."""

import asyncio

from ..hosts import StoreHost

WORLD = {"stores": 3, "fronts": 4}
RATE_MBIT = 15.0
TURN_TOKENS = 20_000
"""Maximum size of a turn made at the beginning, so that a copy takes seconds of a link's capacity."""
PROGRAMS, TURNS = 12, 8
PADDING_BYTES = 0, 30_000, 100_000


async def run_scenario(context):
    world, rng = context.world, context.rng
    await _add_long_histories(context)
    for host in [*world.stores(), *world.fronts()]:
        world.limit_rate(host, RATE_MBIT)
    context.start(context.clients.run_programs_forever(0.8))
    for _ in range(3):
        copying = asyncio.ensure_future(rng.choice((_wipe, _add, _replace))(context))
        for _ in range(2):
            change = context.operators.new_change(
                await context.operators.current(), padding_bytes=rng.choice(PADDING_BYTES)
            )
            await context.operators.put(change, retry_for_s=6.0)
            await context.wait(0.5, 2)
        await copying
        await asyncio.sleep(world.bounds["catch_up_s"])


async def _add_long_histories(context):
    """Store long turns before the links are limited."""
    for _ in range(PROGRAMS):
        program = context.clients.add_program(max_tokens=TURN_TOKENS, turns_in_budget=2 * TURNS)
        previous = None
        for _ in range(TURNS):
            turn, status = await context.clients.take_turn(
                context.rng.choice(context.world.fronts()), program, previous
            )
            previous = turn if status == "done" else previous


async def _wipe(context):
    downtime_s = context.rng.uniform(0.3, 2)
    context.world.wipe(context.rng.choice(context.world.stores()), downtime_s)
    await asyncio.sleep(downtime_s)


async def _add(context):
    host = context.world.add(StoreHost)
    context.world.limit_rate(host, RATE_MBIT)
    context.world.boot(host)


async def _replace(context):
    victim = context.rng.choice(context.world.stores())
    context.world.remove(victim)
    await context.wait(0.1, 2)
    host = context.world.add(StoreHost, victim.name, victim.zone)
    context.world.limit_rate(host, RATE_MBIT)
    context.world.boot(host)
