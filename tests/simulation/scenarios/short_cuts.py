"""Point 1: one control process after the other is cut off for about as long as it may still pass on what it knows."""

import asyncio

WORLD = {"stores": 3, "fronts": 4}
ROUNDS = 10


async def play(play):
    for _ in range(ROUNDS):
        await play.wait(0.5, 2.5)
        await _changes_behind_its_back(play)
    await asyncio.sleep(play.world.bounds["catch_up_s"])


async def _changes_behind_its_back(play):
    """The others change the configuration meanwhile; senders reach all of them."""
    world, dice = play.world, play.dice
    victim = dice.choice(world.stores())
    others = [host for host in world.stores() if host is not victim]
    pairs = world.cut([victim.ip], [host.ip for host in others]) + world.cut([host.ip for host in others], [victim.ip])
    changes = play.begin(_change(play, others))
    await play.wait(0.5, 1.5)
    changes.cancel()
    world.join(pairs)


async def _change(play, hosts):
    while True:
        await play.operators.change(tries_s=1.0, first=play.dice.choice(hosts))
        await play.wait(0.02, 0.5)
