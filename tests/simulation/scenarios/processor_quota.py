"""Points 1 to 4: each process has a quota of processor time, and stands still once it is spent."""

import asyncio

from ..processor_quota import SHARES, limit_processor

WORLD = {"stores": 3, "fronts": 3}
ROUNDS = 3
BUSY = 0.5, 1.0
"""Share of the tenths in which a process uses up its quota."""


async def play(play):
    world, dice = play.world, play.dice
    for host in [*world.stores(), *world.fronts()]:
        play.begin(limit_processor(world, host, dice.choice(SHARES), dice.choice(BUSY)))
    play.begin(play.operators.change_for_ever(2.0))
    play.begin(play.clients.programs_for_ever(1.0))
    for _ in range(ROUNDS):
        await play.wait(1, 4)
        await dice.choice((_kill, _wipe, _kill_fronts, _cut))(play)
        await asyncio.sleep(world.bounds["catch_up_s"])


async def _kill(play):
    back_s = play.dice.uniform(0.2, 2)
    play.world.kill(play.dice.choice(play.world.stores()), back_s)
    await asyncio.sleep(back_s)


async def _wipe(play):
    back_s = play.dice.uniform(0.3, 3)
    play.world.wipe(play.dice.choice(play.world.stores()), back_s)
    await asyncio.sleep(back_s)


async def _kill_fronts(play):
    for front in play.world.fronts():
        play.world.kill(front, play.dice.uniform(0.2, 1))
    await asyncio.sleep(1)


async def _cut(play):
    """One store is cut off from the others; fronts that start meanwhile reach all."""
    world = play.world
    victim = play.dice.choice(world.stores())
    others = [host.ip for host in world.stores() if host is not victim]
    pairs = world.cut([victim.ip], others) + world.cut(others, [victim.ip])
    for _ in range(3):
        await play.wait(0.5, 3)
        world.kill(play.dice.choice(world.fronts()), play.dice.uniform(0.1, 1))
    world.join(pairs)
