"""Points 3 and 4: links of 15 Mbit/s, on which a store is copied and long configurations travel beside the traffic."""

import asyncio

from ..hosts import StoreHost

WORLD = {"stores": 3, "fronts": 4}
RATE_MBIT = 15.0
SPEECH_BYTES = 20_000
"""Of a turn that is said at the beginning, so that a copy takes seconds of a link."""
PROGRAMS, TURNS = 12, 8
FILLING = 0, 30_000, 100_000


async def play(play):
    world, dice = play.world, play.dice
    await _talk(play)
    for host in [*world.stores(), *world.fronts()]:
        world.limit_rate(host, RATE_MBIT)
    play.begin(play.clients.programs_for_ever(0.8))
    for _ in range(3):
        copying = asyncio.ensure_future(dice.choice((_wipe, _add, _replace))(play))
        for _ in range(2):
            order = play.operators.new_order(await play.operators.current(), filling=dice.choice(FILLING))
            await play.operators.put(order, tries_s=6.0)
            await play.wait(0.5, 2)
        await copying
        await asyncio.sleep(world.bounds["catch_up_s"])


async def _talk(play):
    """Programs whose turns are long, before the links are slow."""
    for _ in range(PROGRAMS):
        program = play.clients.add_program(most=SPEECH_BYTES, turns_in_budget=2 * TURNS)
        previous = None
        for _ in range(TURNS):
            turn, status = await play.clients.take_turn(play.dice.choice(play.world.fronts()), program, previous)
            previous = turn if status == "done" else previous


async def _wipe(play):
    back_s = play.dice.uniform(0.3, 2)
    play.world.wipe(play.dice.choice(play.world.stores()), back_s)
    await asyncio.sleep(back_s)


async def _add(play):
    host = play.world.add(StoreHost)
    play.world.limit_rate(host, RATE_MBIT)
    play.world.boot(host)


async def _replace(play):
    victim = play.dice.choice(play.world.stores())
    play.world.remove(victim)
    await play.wait(0.1, 2)
    host = play.world.add(StoreHost, victim.name, victim.zone)
    play.world.limit_rate(host, RATE_MBIT)
    play.world.boot(host)
