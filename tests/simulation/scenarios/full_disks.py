"""Points 2 and 3: disks that are full for long, as many as may be lost and then most, and room that comes back.

A full disk takes no write that it can't sync: it answers no ballot and keeps no turn, and what it has acknowledged
stays. While a majority is full, service may rest.
"""

import asyncio

from ..recovery import read_back, take_an_order, turns_are_taken

WORLD = {"stores": 3, "fronts": 3}
READ_EVERY_S = 0.4


async def play(play):
    world, dice = play.world, play.dice
    play.begin(play.operators.change_for_ever(1.5))
    play.begin(play.operators.read_everywhere_for_ever(READ_EVERY_S))
    play.begin(play.clients.programs_for_ever(0.6))
    for _ in range(2):
        await play.wait(0.5, 3)
        await _one_is_full(play)
        await asyncio.sleep(world.bounds["catch_up_s"])
    world.oracle.contact.rest_began()
    full = dice.sample(world.stores(), dice.randint(2, 3))
    _fill(play, full)
    await play.wait(1, 8)
    if dice.random() < 0.5:
        world.kill(dice.choice(full), dice.uniform(0.2, 1))
    await play.wait(1, 4)
    _make_room(play, full)
    await asyncio.sleep(world.bounds["recovery_s"])
    world.oracle.contact.rest_ended()
    await take_an_order(play)
    await read_back(play)
    await turns_are_taken(play)


async def _one_is_full(play):
    """Turns and orders are taken while one disk is full, whatever happens to its process."""
    host = play.dice.choice(play.world.stores())
    _fill(play, [host])
    await play.wait(2, 8)
    if play.dice.random() < 0.4:
        play.world.kill(host, play.dice.uniform(0.2, 1))
        await play.wait(1, 3)
    await turns_are_taken(play)
    _make_room(play, [host])


def _fill(play, hosts):
    for host in hosts:
        play.world.note("disk full", host)
        play.world.oracle.slowed(host.ip, True)
        host.disk.full = True


def _make_room(play, hosts):
    for host in hosts:
        play.world.note("room on the disk", host)
        host.disk.full = False
        play.world.oracle.slowed(host.ip, False)
