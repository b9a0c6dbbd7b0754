"""Point 3: a retiring store's machine is taken away the moment it may, and one other store is lost right then."""

import asyncio

from ..hosts import StoreHost
from ..recovery import turns_are_taken

WORLD = {"stores": 3, "fronts": 2}


async def play(play):
    world, dice = play.world, play.dice
    play.begin(play.clients.programs_for_ever(1.2))
    await play.wait(1, 3)
    world.boot(world.add(StoreHost))
    await play.wait(world.bounds["catch_up_s"], world.bounds["catch_up_s"] + 2)
    if not await play.operators.retire(dice.choice(world.stores()), within_s=20.0):
        world.oracle.breaks("RETIRE", "a store was not let go in 20 s of calm times")
        return
    await play.wait(0, dice.choice((0.01, 0.3)))
    back_s = dice.uniform(0.3, 3)
    dice.choice((world.wipe, world.power_off))(dice.choice(world.stores()), back_s)
    await asyncio.sleep(back_s + world.bounds["recovery_s"])
    await turns_are_taken(play)
