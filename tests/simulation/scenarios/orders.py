"""Point 2: operators who race, answers that get lost, the winner killed, eight orders under way, orders sent again."""

import asyncio

WORLD = {"stores": 3, "fronts": 2}
ROUNDS = 10


async def play(play):
    play.operators.answers_lost = play.dice.choice((0.0, 0.2, 0.5))
    play.begin(play.clients.programs_for_ever(3.0))
    for _ in range(ROUNDS):
        await play.wait(0.0, 3.0)
        await play.dice.choice((_race, _race, _race_in_a_cut, _eight_at_once, _sent_again))(play)


async def _race(play):
    """Two operators on one base: other bodies under one number or under two, or the same order of both."""
    operators, dice = play.operators, play.dice
    base = await operators.current()
    first = operators.new_order(base, filling=dice.choice((0, 0, 4000, 60_000)))
    kind = dice.choice(("same number", "same number", "other numbers", "same order"))
    second = first if kind == "same order" else operators.new_order(base, first.generation)
    if kind == "other numbers":
        second = operators.new_order(base)
    one, other = dice.sample(play.world.stores(), 2)
    killer = _killer(play) if dice.random() < 0.5 else None
    await asyncio.gather(
        operators.put(first, first=one, on_try=killer),
        _later(dice.uniform(0, 0.02), operators.put(second, first=other)),
    )
    if dice.random() < 0.5:
        await _again(play, first)
        await _again(play, second)


async def _later(wait_s, work):
    await asyncio.sleep(wait_s)
    return await work


def _killer(play):
    """Kills the process that was asked, somewhere between its messages; loses its power at times."""
    world, dice = play.world, play.dice
    kills = [True]

    def on_try(host):
        if kills and dice.random() < 0.7:
            kills.clear()
            end = dice.choice((world.kill, world.power_off))
            world.loop.call_at(world.loop.now + dice.uniform(0, 0.03), end, host, dice.uniform(0.2, 1.5))

    return on_try


async def _race_in_a_cut(play):
    """Each operator speaks to one side of a cut, which is joined again while they go on."""
    world, operators, dice = play.world, play.operators, play.dice
    base = await operators.current()
    victim = dice.choice(world.stores())
    others = [host for host in world.stores() if host is not victim]
    first = operators.new_order(base)
    second = operators.new_order(base, dice.choice((None, first.generation)))
    pairs = world.cut([victim.ip], [host.ip for host in others])
    if dice.random() < 0.7:
        pairs += world.cut([host.ip for host in others], [victim.ip])
    world.loop.call_at(world.loop.now + dice.uniform(0.05, 6), world.join, pairs)
    await asyncio.gather(
        operators.put(first, first=victim), operators.put(second, first=dice.choice(others)), return_exceptions=True
    )
    world.join(pairs)


async def _eight_at_once(play):
    operators = play.operators
    base = await operators.current()
    orders = [operators.new_order(base) for _ in range(8)]
    await asyncio.gather(*[operators.put(order, first=operators.any_store()) for order in orders])


async def _sent_again(play):
    order, _ = await play.operators.change()
    await play.wait(0, 2)
    await _again(play, order)


async def _again(play, order):
    """Send the same order once more to each process, whatever became of it."""
    for host in play.world.stores():
        await play.operators.put(order, first=host, tries_s=0.01)
