"""Points 2 to 4: any share of all processes is lost in one moment, by kill or by power, also twice within `catch_up_s`.

All disks come back. More may be lost than `fault_tolerance` says: service may rest until `recovery_s` after all are
back, and then everything that was acknowledged is there.
"""

import asyncio

from ..recovery import read_back, take_an_order, turns_are_taken

WORLD = {"stores": 3, "fronts": 3}
WORLD_OF_TWO = {"stores": 5, "fronts": 3, "losses": 2}
ROUNDS = 3
READ_EVERY_S = 0.4
SLOW_DISK_S = 0.05


def world_of(seed):
    """With odd seeds one machine may be lost by the rules, with even ones two."""
    return WORLD if seed % 2 else WORLD_OF_TWO


async def play(play):
    world = play.world
    play.begin(play.operators.change_for_ever(2.0))
    play.begin(play.operators.read_everywhere_for_ever(READ_EVERY_S))
    play.begin(play.clients.programs_for_ever(0.8))
    for _ in range(ROUNDS):
        await play.wait(0.5, 4)
        world.oracle.contact.rest_began()
        back_s = world.loop.now
        for _ in range(play.dice.choice((1, 2, 2))):
            back_s = max(back_s, world.loop.now + await _strike(play))
            await play.wait(0, play.dice.choice((0.3, world.bounds["catch_up_s"])))
        await asyncio.sleep(max(0.0, back_s - world.loop.now) + world.bounds["recovery_s"])
        world.oracle.contact.rest_ended()
        await take_an_order(play)
        await read_back(play)
    await turns_are_taken(play)


async def _strike(play):
    """Lose a share of all processes in one moment, mostly right after an order was acknowledged.

    Returns after how long all are back.
    """
    world, dice = play.world, play.dice
    disks = [host.disk for host in world.stores()]
    for disk in disks:
        disk.slow_s = dice.choice((0.0, SLOW_DISK_S))
    if dice.random() < 0.6:
        await play.operators.change(tries_s=2.0)
    hosts = [*world.stores(), *world.fronts()]
    victims = dice.sample(hosts, dice.randint(2, len(hosts)))
    lose = dice.choice((world.kill, world.power_off))
    times_s = [dice.uniform(0.2, dice.choice((1.0, 6.0))) for _ in victims]
    for victim, back_s in zip(victims, times_s, strict=True):
        lose(victim, back_s)
    for disk in disks:
        disk.slow_s = 0.0
    return max(times_s)
