"""Points 1 to 3: the counted machines are cut into two halves for some seconds; all others reach both halves.

Operators order and read at both halves meanwhile; one disk may be lost, fronts and processes are restarted.
"""

import asyncio

WORLD = {"stores": 4, "fronts": 3}
ROUNDS = 4
LONGEST_CUT_S = 12.0
READ_EVERY_S = 0.3


async def play(play):
    play.begin(play.operators.change_for_ever(3.0))
    play.begin(play.operators.read_everywhere_for_ever(READ_EVERY_S))
    play.begin(play.clients.programs_for_ever(1.0))
    for _ in range(ROUNDS):
        await play.wait(0.5, 4)
        disk_is_lost = await _halves(play)
        bounds = play.world.bounds
        await asyncio.sleep(bounds["recovery_s"] if disk_is_lost else bounds["catch_up_s"])


async def _halves(play):
    """Cut into halves, let something befall them, and join them. Returns whether a disk was lost."""
    world, dice = play.world, play.dice
    lasts_s = dice.uniform(1, LONGEST_CUT_S)
    one, other = _two_halves(play)
    pairs = world.cut(_addresses(one), _addresses(other)) + world.cut(_addresses(other), _addresses(one))
    play.begin(_orders_at_both(play, one, other))
    befalls = dice.choice((None, _restart_fronts, _kill, _power_off, _wipe, _freeze))
    back_s = 0.0
    if befalls is not None:
        await play.wait(0, lasts_s / 2)
        back_s = world.loop.now + befalls(play, dice.choice([*one, *other]))
    await asyncio.sleep(lasts_s / 2)
    world.join(pairs)
    await asyncio.sleep(max(0.0, back_s - world.loop.now))
    return befalls is _wipe


def _two_halves(play):
    """Two and two mostly, or one and three."""
    stores = play.dice.sample(play.world.stores(), len(play.world.stores()))
    middle = play.dice.choice((len(stores) // 2, len(stores) // 2, 1))
    return stores[:middle], stores[middle:]


def _addresses(hosts):
    return [host.ip for host in hosts]


async def _orders_at_both(play, one, other):
    """Two operators, each with an order of their own for one base at a half of their own."""
    operators, dice = play.operators, play.dice
    base = await operators.current()
    first = operators.new_order(base)
    second = operators.new_order(base, dice.choice((None, first.generation)))
    await asyncio.gather(
        operators.put(first, first=dice.choice(one)),
        operators.put(second, first=dice.choice(other)),
    )


# What befalls a machine meanwhile; returns after how long it is back


def _restart_fronts(play, _):
    back_s = play.dice.uniform(0.2, 2)
    for front in play.dice.sample(play.world.fronts(), play.dice.randint(1, len(play.world.fronts()))):
        play.world.kill(front, back_s)
    return back_s


def _kill(play, victim):
    back_s = play.dice.uniform(0.2, 2)
    play.world.kill(victim, back_s)
    return back_s


def _power_off(play, victim):
    back_s = play.dice.uniform(0.3, 8)
    play.world.power_off(victim, back_s)
    return back_s


def _wipe(play, victim):
    back_s = play.dice.uniform(0.3, 8)
    play.world.wipe(victim, back_s)
    return back_s


def _freeze(play, victim):
    back_s = play.dice.uniform(0.5, 8)
    play.world.freeze(victim)
    play.world.loop.call_at(play.world.loop.now + back_s, play.world.thaw, victim)
    return back_s
