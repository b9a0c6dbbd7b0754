"""Point 1: control processes cut off for 1 to 30 s, in every way; fronts restarted beside them; freezes and thaws."""

import asyncio

from ..world import OPERATOR_IP, PLATFORM_IP

WORLD = {"stores": 3, "fronts": 4}
ROUNDS = 3


async def play(play):
    world = play.world
    play.begin(play.operators.change_for_ever(1.5))
    play.begin(play.clients.programs_for_ever(1.5))
    for _ in range(ROUNDS):
        await play.wait(world.bounds["catch_up_s"], world.bounds["catch_up_s"] + 3)
        await _trouble(play)


async def _trouble(play):
    world, dice = play.world, play.dice
    victim = dice.choice(world.stores())
    if dice.random() < 0.25:
        await _freeze(play, victim)
        return
    lasts_s = dice.choice((dice.uniform(1, 30), dice.uniform(18, 22)))
    pairs = _cut(play, victim)
    if dice.random() < 0.7:
        play.begin(_restart_fronts(play, lasts_s))
    if dice.random() < 0.5:
        play.begin(play.operators.change(tries_s=4.0, first=victim))
    if dice.random() < 0.3:
        play.begin(_freeze_within(play, victim, lasts_s))
    await asyncio.sleep(lasts_s)
    world.join(pairs)


def _cut(play, victim):
    """Cut a control process off: from the others, from all, with its zone, or one way only."""
    world, dice = play.world, play.dice
    stores = [host.ip for host in world.stores()]
    fronts = [host.ip for host in world.fronts()]
    zone = [ip for ip in stores + fronts if world.zone_of[ip] == victim.zone]
    inside, outside = dice.choice(
        (
            ([victim.ip], stores),
            ([victim.ip], stores + fronts),
            ([victim.ip], [*stores, *fronts, OPERATOR_IP, PLATFORM_IP]),
            (zone, [ip for ip in stores + fronts if ip not in zone]),
            ([victim.ip], [ip for ip in stores if ip != victim.ip][:1]),
            ([victim.ip], dice.sample(fronts, 2)),
        )
    )
    way = dice.choice(("both", "both", "out", "in"))
    pairs = world.cut(inside, outside) if way != "in" else []
    return pairs + (world.cut(outside, inside) if way != "out" else [])


async def _restart_fronts(play, within_s):
    """Kill fronts at once or one by one, so that some start beside a process that is cut off."""
    world, dice = play.world, play.dice
    await play.wait(0, within_s)
    for front in dice.sample(world.fronts(), dice.randint(1, len(world.fronts()))):
        if front.runs:
            world.kill(front, dice.uniform(0.2, 2))


async def _freeze(play, victim):
    play.world.freeze(victim)
    await play.wait(0.5, 25)
    play.world.thaw(victim)


async def _freeze_within(play, victim, within_s):
    await play.wait(0, within_s)
    await _freeze(play, victim)
