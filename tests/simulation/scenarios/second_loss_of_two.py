"""Point 3 where two may be lost at once: two losses together, their repair, and the next two just after it."""

import asyncio

from .second_loss import EDGE_S, LOSSES

WORLD = {"stores": 5, "fronts": 3, "tolerated_losses": 2}
ROUNDS = 3


async def run_scenario(context):
    world, rng = context.world, context.rng
    context.start(context.clients.run_programs_forever(0.8))
    context.start(context.operators.make_changes_forever(4.0))
    await context.wait(2, 5)
    for _ in range(ROUNDS):
        victims = rng.sample(world.stores(), 2)
        await asyncio.gather(*[_lose(context, rng.choice(LOSSES), victim) for victim in victims])
        catch_up_s = world.bounds["catch_up_s"]
        await context.wait(catch_up_s, catch_up_s + rng.choice((EDGE_S, 4.0)))


async def _lose(context, loss, victim):
    await context.wait(0, context.rng.choice((0.0, 1.0)))
    context.world.record_event(loss.__name__, victim)
    await loss(context, victim)
