"""Points 1 to 5: machines go one after the other from an earlier release's messages to today's, and some back again.

An earlier release sends and reads none of the fields that came later (`release_messages.py`). Orders, turns and a
store's copy go on meanwhile; machines are killed, and one disk is lost.
"""

import asyncio

from ..hosts import StoreHost

WORLD = {"stores": 3, "fronts": 3}
STOPPED_S = 0.6
FILLING = 100_000
"""Bytes of some configurations: senders of today fetch them by pages, those of an earlier release get them whole."""


async def play(play):
    world, dice = play.world, play.dice
    play.begin(_orders_for_ever(play))
    play.begin(play.clients.programs_for_ever(0.8))
    hosts = [*world.stores(), *world.fronts()]
    for host in dice.sample(hosts, dice.randint(1, len(hosts))):
        await _change_release(play, host, is_earlier=True)
    await play.wait(0.5, 3)
    await dice.choice((_add_store, _wipe, _kill))(play)
    for host in dice.sample(world.stores() + world.fronts(), dice.randint(2, 4)):
        await _change_release(play, host, is_earlier=not host.is_earlier_release)
    for host in world.stores() + world.fronts():
        if host.is_earlier_release:
            await _change_release(play, host, is_earlier=False)


async def _change_release(play, host, is_earlier):
    """Stop a machine's process and start it again with another release."""
    play.world.note("earlier release" if is_earlier else "release of today", host)
    play.world.stop(host, STOPPED_S)
    await asyncio.sleep(STOPPED_S / 2)
    host.is_earlier_release = is_earlier
    await asyncio.sleep(play.world.bounds["catch_up_s"])


async def _orders_for_ever(play):
    """One operator after another, some with long configurations."""
    operators = play.operators
    while True:
        order = operators.new_order(await operators.current(), filling=play.dice.choice((0, 0, FILLING)))
        await operators.put(order, tries_s=6.0)
        await play.wait(0.5, 3)


async def _add_store(play):
    play.world.boot(play.world.add(StoreHost))
    await asyncio.sleep(play.world.bounds["catch_up_s"])


async def _wipe(play):
    back_s = play.dice.uniform(0.3, 2)
    play.world.wipe(play.dice.choice(play.world.stores()), back_s)
    await asyncio.sleep(back_s + play.world.bounds["catch_up_s"])


async def _kill(play):
    play.world.kill(play.dice.choice(play.world.stores()), play.dice.uniform(0.2, 2))
    await asyncio.sleep(2 + play.world.bounds["catch_up_s"])
