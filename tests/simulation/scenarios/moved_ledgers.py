"""Point 3: programs rest while every store loses its disk or its machine in turn, and then spend the rest."""

import asyncio

from ..hosts import StoreHost

WORLD = {"stores": 3, "fronts": 2}
PROGRAMS = 6
MOST_TURNS = 40
EDGE_S = 0.3
FRONTS_AWAY_S = 0.3


async def play(play):
    world, dice = play.world, play.dice
    programs = [play.clients.add_program(dice.choice((40, 100)), dice.randint(4, 6)) for _ in range(PROGRAMS)]
    for program in programs:
        await _spend(play, program, dice.randint(4, 8))
    await play.wait(0, 2)
    for host in dice.sample(world.stores(), len(world.stores())):
        dice.choice((_wipe, _wipe, _replace))(play, host)
        await play.wait(world.bounds["catch_up_s"], world.bounds["catch_up_s"] + EDGE_S)
    for front in world.fronts():
        world.kill(front, FRONTS_AWAY_S)
    await asyncio.sleep(FRONTS_AWAY_S + world.bounds["catch_up_s"])
    await asyncio.gather(*[_spend(play, program, MOST_TURNS) for program in programs])


async def _spend(play, program, turns):
    """Turns one after the other, at any front, until the budget is spent."""
    previous = max(program.turns, key=lambda turn: program.turns[turn][2], default=None)
    for _ in range(turns):
        turn, status = await play.clients.take_turn(play.dice.choice(play.world.fronts()), program, previous)
        if status == "budget_spent":
            return
        if status == "done":
            previous = turn


def _wipe(play, host):
    play.world.wipe(host, play.dice.uniform(0.1, 0.3))


def _replace(play, host):
    """The machine is gone at once, and an empty one in its place under its name."""
    play.world.remove(host)
    play.world.boot(play.world.add(StoreHost, host.name, host.zone))
