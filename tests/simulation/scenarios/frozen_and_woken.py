"""Points 1 to 3: processes stand still for up to half a minute and wake with all that they held before.

Leases, ballots, copies, reservations and connections of theirs are old then, and the others have gone on. Fronts that
start anew just before may reach only the one that wakes.
"""

import asyncio

WORLD = {"stores": 4, "fronts": 4}
ROUNDS = 4
READ_EVERY_S = 0.3


async def play(play):
    world, dice = play.world, play.dice
    play.begin(play.operators.change_for_ever(1.0))
    play.begin(play.operators.read_everywhere_for_ever(READ_EVERY_S))
    play.begin(play.clients.programs_for_ever(0.6))
    for _ in range(ROUNDS):
        await play.wait(0.2, 3)
        fronts = dice.sample(world.fronts(), dice.randint(0, 3))
        frozen = [dice.choice(world.stores()), *fronts]
        for host in frozen:
            world.freeze(host)
        await play.wait(0.5, dice.choice((3.0, 8.0, 28.0)))
        pairs = _lure(play, frozen[0]) if dice.random() < 0.5 else ()
        await play.wait(0.2, 0.6)
        for host in dice.sample(frozen, len(frozen)):
            world.thaw(host)
            await play.wait(0, 0.5)
        world.join(pairs)
        await asyncio.sleep(world.bounds["catch_up_s"])


def _lure(play, woken):
    """Start some fronts anew that reach no store but the one that stands still. Returns what `join` takes."""
    world = play.world
    others = [host.ip for host in world.stores() if host is not woken]
    fronts = play.dice.sample(world.fronts(), play.dice.randint(1, 2))
    for front in fronts:
        world.kill(front, play.dice.uniform(0.01, 0.2))
    addresses = [front.ip for front in fronts]
    return world.cut(addresses, others) + world.cut(others, addresses)
