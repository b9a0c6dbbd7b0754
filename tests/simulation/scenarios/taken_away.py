"""Points 1 and 3: control machines are taken away for good, with and without notice, and replaced at other addresses.

The victim is the one whose disk has lasted longest, the one that reads the platform's list, or any. With two tolerated
losses the next one goes before the first replacement has caught up.
"""

import asyncio

from ..hosts import StoreHost
from ..recovery import turns_are_taken

WORLD = {"stores": 3, "fronts": 3}
WORLD_OF_TWO = {"stores": 5, "fronts": 3, "losses": 2}
LEAVES_WITHIN_S = 0.8
NOTICED_WITHIN_S = 3.0


def world_of(seed):
    """With odd seeds one machine may be lost at once, with even ones two."""
    return WORLD if seed % 2 else WORLD_OF_TWO


async def play(play):
    world, dice = play.world, play.dice
    play.begin(play.operators.change_for_ever(2.0))
    play.begin(play.clients.programs_for_ever(0.8))
    await play.wait(1, 4)
    for _ in range(3):
        losses = dice.randint(1, world.losses)
        for number in range(losses):
            await _take_away(play, dice.choice((_oldest, _reader, _any))(play))
            if number + 1 < losses:
                await play.wait(0, world.bounds["catch_up_s"])
        await play.wait(world.bounds["catch_up_s"], world.bounds["catch_up_s"] + dice.choice((0.3, 4.0)))
    await turns_are_taken(play)


async def _take_away(play, victim):
    """Take a machine away, with notice or without, and put up an empty one at another address."""
    world, dice = play.world, play.dice
    world.note("taken away", victim)
    if dice.random() < 0.5:
        world.stop(victim, None)
        await asyncio.sleep(LEAVES_WITHIN_S)
    world.remove(victim)
    await play.wait(0.1, NOTICED_WITHIN_S)
    world.boot(world.add(StoreHost, dice.choice((victim.name, None)), victim.zone))


def _oldest(play):
    return min(play.world.stores(), key=lambda host: host.first_started_s)


def _reader(play):
    """The machine whose process reads the platform's list, as far as any does."""
    readers = [
        host
        for host in play.world.stores()
        if host.serves and host.control_server is not None and host.control_server._is_assigned_reader()
    ]
    return play.dice.choice(readers or play.world.stores())


def _any(play):
    return play.dice.choice(play.world.stores())
