"""Points 2 to 4: more machines are lost at once than `fault_tolerance` says, but no more disks.

Service may rest until `recovery_s` after all are back; then everything that was acknowledged is there.
"""

import asyncio

from ..recovery import read_back, take_an_order

WORLD = {"stores": 4, "fronts": 3}
WORLD_OF_TWO = {"stores": 6, "fronts": 3, "losses": 2}
ROUNDS = 3
READ_EVERY_S = 0.3
SPREADS_S = 0.0, 0.0, 0.5, 3.0
SLOW_DISK_S = 0.05
SHORT_S, LONG_S = (0.3, 4.0), (4.0, 24.0)


def world_of(seed):
    """With odd seeds one machine may be lost by the rules, with even ones two."""
    return WORLD if seed % 2 else WORLD_OF_TWO


async def play(play):
    world = play.world
    play.begin(play.operators.change_for_ever(3.0))
    play.begin(play.operators.read_everywhere_for_ever(READ_EVERY_S))
    play.begin(play.clients.programs_for_ever(1.0))
    for _ in range(ROUNDS):
        await play.wait(1, 4)
        if play.dice.random() < 0.4:
            await _order_on_slow_disks(play)
        world.oracle.contact.rest_began()
        await _losses(play)
        await asyncio.sleep(world.bounds["recovery_s"])
        world.oracle.contact.rest_ended()
        await take_an_order(play)
        await read_back(play)


async def _order_on_slow_disks(play):
    """An order that is acknowledged the moment before the losses, while most disks have not written it yet."""
    for host in play.world.stores():
        host.disk.slow_s = SLOW_DISK_S
    await play.operators.change(tries_s=4.0)
    for host in play.world.stores():
        host.disk.slow_s = 0.0


async def _losses(play):
    """Lose two machines or more, one disk at most, and wait until all are back."""
    world, dice = play.world, play.dice
    stores = world.stores()
    victims = dice.sample(stores, dice.randint(world.losses + 1, len(stores)))
    disks_to_lose = dice.randint(0, world.losses)
    losses = [_wipe] * disks_to_lose
    losses += [dice.choice((world.power_off, world.power_off, world.kill, _freeze)) for _ in victims[disks_to_lose:]]
    fronts = dice.sample(world.fronts(), dice.choice((0, 0, 1, len(world.fronts()))))
    befall = [*zip(losses, victims, strict=True), *((world.kill, front) for front in fronts)]
    spread_s = dice.choice(SPREADS_S)
    await asyncio.gather(*[_lose(play, loss, victim, spread_s) for loss, victim in befall])


async def _lose(play, loss, victim, spread_s):
    back_s = play.dice.uniform(*play.dice.choice((SHORT_S, SHORT_S, LONG_S)))
    if spread_s:
        await play.wait(0, spread_s)
    loss(victim, back_s)
    await asyncio.sleep(back_s)


def _wipe(victim, back_s):
    victim.world.wipe(victim, back_s)


def _freeze(victim, back_s):
    world = victim.world
    world.freeze(victim)
    world.loop.call_at(world.loop.now + back_s, world.thaw, victim)
