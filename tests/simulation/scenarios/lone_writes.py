"""Point 3: a turn that reaches some of its replicas only: its sender dies then, or writes under a view that is over."""

import asyncio

from ..hosts import StoreHost

WORLD = {"stores": 3, "fronts": 3}
PROGRAMS = 5


async def play(play):
    world, dice = play.world, play.dice
    play.begin(play.clients.programs_for_ever(2.0))
    for _ in range(2):
        await play.wait(1, 2)
        await dice.choice((_sender_dies, _sender_dies, _sender_with_an_old_view))(play)
        world.heal()
        await play.wait(world.bounds["catch_up_s"] + 1, world.bounds["catch_up_s"] + 2)


async def _sender_dies(play):
    """The sender loses one or two of the three stores behind its reservation, and dies when its client has the answer;
    a store that may hold the turn loses its disk then."""
    world, dice = play.world, play.dice
    front, kept = dice.choice(world.fronts()), dice.choice(world.stores())
    lost = dice.sample([host.ip for host in world.stores() if host is not kept], dice.choice((1, 2, 2)))
    programs = [play.clients.add_program(100, 10) for _ in range(PROGRAMS)]
    first = await asyncio.gather(*[play.clients.take_turn(front, program) for program in programs])
    tries = [
        asyncio.ensure_future(play.clients.take_turn(front, program, turn if status == "done" else None))
        for program, (turn, status) in zip(programs, first, strict=True)
    ]
    await play.wait(0.005, 0.03)
    world.cut([front.ip], lost)
    await asyncio.wait(tries, timeout=dice.uniform(0.1, 0.4))
    world.kill(front, dice.uniform(0.2, 2))
    world.wipe(kept, dice.uniform(0.2, 2))
    await _read_on(play, programs, [one for one in world.fronts() if one is not front])
    await asyncio.gather(*tries)


async def _sender_with_an_old_view(play):
    """A store is cut off and replaced, unheard by one sender. That sender then reaches this store and one of the
    present ones, which loses its disk once it may hold turns."""
    world, dice = play.world, play.dice
    front = dice.choice(world.fronts())
    out, left = dice.sample(world.stores(), 2)
    programs = [play.clients.add_program(100, 10) for _ in range(PROGRAMS)]
    await asyncio.gather(*[play.clients.take_turn(front, program) for program in programs])
    others = [ip for ip in world.everyone() if ip not in (front.ip, out.ip)]
    newcomer = world.add(StoreHost, None, out.zone)
    pairs = _cut_both_ways(play, [front.ip], [*others, newcomer.ip])
    _cut_both_ways(play, [out.ip], [*others, newcomer.ip])
    world.boot(newcomer)
    _cut_both_ways(play, [front.ip, out.ip], [newcomer.ip])
    await play.wait(world.bounds["catch_up_s"], world.bounds["catch_up_s"] + 2)
    world.join([pair for pair in pairs if left.ip in pair])
    tries = [asyncio.ensure_future(play.clients.take_turn(front, program)) for program in programs]
    await asyncio.wait(tries, timeout=dice.uniform(0.05, 0.4))
    world.wipe(left, dice.uniform(0.2, 2))
    await _read_on(play, programs, [one for one in world.fronts() if one is not front])
    await asyncio.gather(*tries)


def _cut_both_ways(play, some, others):
    return play.world.cut(some, others) + play.world.cut(others, some)


async def _read_on(play, programs, fronts):
    """Each program goes on from every turn that was acknowledged, at a sender that has seen none of it."""
    for program in programs:
        for turn in list(program.turns):
            await play.clients.take_turn(play.dice.choice(fronts), program, turn)
