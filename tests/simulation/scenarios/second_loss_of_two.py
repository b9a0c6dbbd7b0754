"""Point 3 where two may be lost at once: two losses together, their repair, and the next two at its edge."""

import asyncio

from .second_loss import EDGE_S, LOSSES

WORLD = {"stores": 5, "fronts": 3, "losses": 2}
ROUNDS = 3


async def play(play):
    world, dice = play.world, play.dice
    play.begin(play.clients.programs_for_ever(0.8))
    play.begin(play.operators.change_for_ever(4.0))
    await play.wait(2, 5)
    for _ in range(ROUNDS):
        victims = dice.sample(world.stores(), 2)
        await asyncio.gather(*[_lose(play, dice.choice(LOSSES), victim) for victim in victims])
        catch_up_s = world.bounds["catch_up_s"]
        await play.wait(catch_up_s, catch_up_s + dice.choice((EDGE_S, 4.0)))


async def _lose(play, loss, victim):
    await play.wait(0, play.dice.choice((0.0, 1.0)))
    play.world.note(loss.__name__, victim)
    await loss(play, victim)
