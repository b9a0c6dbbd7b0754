"""Point 4: hundreds of changes, large bodies, members that are away for long; then restarts of some and of all."""

import asyncio

WORLD = {"stores": 3, "fronts": 2}
CHANGES = 150
BODIES = (0, 0, 0, 4_000, 30_000)


async def play(play):
    world, dice = play.world, play.dice
    play.begin(play.clients.programs_for_ever(3.0))
    away = play.begin(_members_away(play))
    base = await play.operators.current()
    for _ in range(CHANGES):
        order = play.operators.new_order(base, filling=dice.choice(BODIES))
        if await play.operators.put(order) == 200:
            base = order.generation
        else:
            base = await play.operators.current()
    away.cancel()
    world.heal()
    await asyncio.sleep(world.bounds["catch_up_s"])
    await _restarts(play)


async def _members_away(play):
    """One member after the other is away, some of them without their disk."""
    world, dice = play.world, play.dice
    while True:
        victim = dice.choice(world.stores())
        back_s = dice.uniform(1, 12)
        dice.choice((world.kill, world.power_off, world.wipe))(victim, back_s)
        await asyncio.sleep(back_s + world.bounds["catch_up_s"])


async def _restarts(play):
    """All at once, or one after the other; a disk is lost right after."""
    world, dice = play.world, play.dice
    if dice.random() < 0.5:
        for host in [*world.stores(), *world.fronts()]:
            world.power_off(host, dice.uniform(0.2, 1.0))
    else:
        for host in world.stores():
            world.kill(host, dice.uniform(0.2, 2.0))
            await play.wait(2.5, world.bounds["catch_up_s"] + 2.5)
    await asyncio.sleep(1.0 + world.bounds["catch_up_s"])
    world.wipe(dice.choice(world.stores()), 0.5)
    await asyncio.sleep(0.5 + world.bounds["catch_up_s"])
