"""Point 3: a turn reaches only some of its replicas: its sender is killed, or writes under an outdated view."""

import asyncio

from ..hosts import StoreHost

WORLD = {"stores": 3, "fronts": 3}
PROGRAMS = 5


async def run_scenario(context):
    world, rng = context.world, context.rng
    context.start(context.clients.run_programs_forever(2.0))
    for _ in range(2):
        await context.wait(1, 2)
        await rng.choice((_sender_dies, _sender_dies, _sender_with_an_old_view))(context)
        world.heal()
        await context.wait(world.bounds["catch_up_s"] + 1, world.bounds["catch_up_s"] + 2)


async def _sender_dies(context):
    """The sender loses contact to one or two of the three stores after its reservation and is killed once its client
    has the answer; then a store that may hold the turn loses its disk."""
    world, rng = context.world, context.rng
    front, wiped = rng.choice(world.fronts()), rng.choice(world.stores())
    lost = rng.sample([host.ip for host in world.stores() if host is not wiped], rng.choice((1, 2, 2)))
    programs = [context.clients.add_program(100, 10) for _ in range(PROGRAMS)]
    first = await asyncio.gather(*[context.clients.take_turn(front, program) for program in programs])
    attempts = [
        asyncio.ensure_future(context.clients.take_turn(front, program, turn if status == "done" else None))
        for program, (turn, status) in zip(programs, first, strict=True)
    ]
    await context.wait(0.005, 0.03)
    world.cut_links([front.ip], lost)
    await asyncio.wait(attempts, timeout=rng.uniform(0.1, 0.4))
    world.kill(front, rng.uniform(0.2, 2))
    world.wipe(wiped, rng.uniform(0.2, 2))
    await _continue_from_acknowledged(context, programs, [one for one in world.fronts() if one is not front])
    await asyncio.gather(*attempts)


async def _sender_with_an_old_view(context):
    """A store is isolated and replaced without the knowledge of one sender. That sender then reaches this store and one
    current store, which loses its disk once it may hold turns."""
    world, rng = context.world, context.rng
    front = rng.choice(world.fronts())
    isolated, remaining = rng.sample(world.stores(), 2)
    programs = [context.clients.add_program(100, 10) for _ in range(PROGRAMS)]
    await asyncio.gather(*[context.clients.take_turn(front, program) for program in programs])
    others = [ip for ip in world.all_addresses() if ip not in (front.ip, isolated.ip)]
    newcomer = world.add(StoreHost, None, isolated.zone)
    pairs = _cut_both_ways(context, [front.ip], [*others, newcomer.ip])
    _cut_both_ways(context, [isolated.ip], [*others, newcomer.ip])
    world.boot(newcomer)
    _cut_both_ways(context, [front.ip, isolated.ip], [newcomer.ip])
    await context.wait(world.bounds["catch_up_s"], world.bounds["catch_up_s"] + 2)
    world.restore_links([pair for pair in pairs if remaining.ip in pair])
    attempts = [asyncio.ensure_future(context.clients.take_turn(front, program)) for program in programs]
    await asyncio.wait(attempts, timeout=rng.uniform(0.05, 0.4))
    world.wipe(remaining, rng.uniform(0.2, 2))
    await _continue_from_acknowledged(context, programs, [one for one in world.fronts() if one is not front])
    await asyncio.gather(*attempts)


def _cut_both_ways(context, some, others):
    return context.world.cut_links(some, others) + context.world.cut_links(others, some)


async def _continue_from_acknowledged(context, programs, fronts):
    """Continue each program from every acknowledged turn, at a sender that has not served it."""
    for program in programs:
        for turn in list(program.turns):
            await context.clients.take_turn(context.rng.choice(fronts), program, turn)
