"""Point 3: a loss, its repair, and the next loss at the edge of `catch_up_s`; replacements, retirement, wiped disks."""

import asyncio

from ..hosts import StoreHost

WORLD = {"stores": 3, "fronts": 3}
ROUNDS = 3
EDGE_S = 0.3


async def play(play):
    play.begin(play.clients.programs_for_ever(0.8))
    play.begin(play.operators.change_for_ever(4.0))
    await play.wait(2, 5)
    for _ in range(ROUNDS):
        loss = play.dice.choice(LOSSES)
        victim = play.dice.choice(play.world.stores())
        play.world.note(loss.__name__, victim)
        await loss(play, victim)
        catch_up_s = play.world.bounds["catch_up_s"]
        await play.wait(catch_up_s, catch_up_s + play.dice.choice((EDGE_S, 4.0)))


async def _wipe(play, victim):
    back_s = play.dice.choice((play.dice.uniform(0.3, 3), play.dice.uniform(18, 24)))
    play.world.wipe(victim, back_s)
    await asyncio.sleep(back_s)


async def _power_off(play, victim):
    back_s = play.dice.choice((play.dice.uniform(0.3, 3), play.dice.uniform(18, 24)))
    play.world.power_off(victim, back_s)
    await asyncio.sleep(back_s)


async def _freeze(play, victim):
    play.world.freeze(victim)
    await play.wait(0.5, 23)
    play.world.thaw(victim)


async def _cut(play, victim):
    others = [ip for ip in play.world.everyone() if ip != victim.ip]
    pairs = play.world.cut([victim.ip], others) + play.world.cut(others, [victim.ip])
    await play.wait(0.5, 23)
    play.world.join(pairs)


async def _replace(play, victim):
    """The machine is gone; an empty one takes its place at another address, under its name or another."""
    world, dice = play.world, play.dice
    name = dice.choice((victim.name, None))
    world.remove(victim)
    await play.wait(0.1, 3)
    world.boot(world.add(StoreHost, name, victim.zone))


async def _replace_planned(play, victim):
    """The new machine comes first, and the old one is stopped for good a while after."""
    world, dice = play.world, play.dice
    world.boot(world.add(StoreHost, dice.choice((victim.name, None)), victim.zone))
    await asyncio.sleep(world.bounds["catch_up_s"] + dice.uniform(0, 3))
    world.stop(victim, None)
    await asyncio.sleep(1.0)
    world.remove(victim)


async def _retire(play, victim):
    """A machine more comes, and another one is emptied and taken away."""
    world = play.world
    world.boot(world.add(StoreHost))
    await asyncio.sleep(world.bounds["catch_up_s"] + play.dice.uniform(0, 3))
    await play.operators.retire(victim, within_s=20.0)


LOSSES = (_wipe, _wipe, _power_off, _freeze, _replace, _replace_planned, _retire, _cut)
