"""Point 3: programs pause while every store loses its disk or its machine in turn, and then use up their budgets."""

import asyncio

from ..hosts import StoreHost

WORLD = {"stores": 3, "fronts": 2}
PROGRAMS = 6
MAX_TURNS = 40
EDGE_S = 0.3
FRONT_DOWNTIME_S = 0.3


async def run_scenario(context):
    world, rng = context.world, context.rng
    programs = [context.clients.add_program(rng.choice((40, 100)), rng.randint(4, 6)) for _ in range(PROGRAMS)]
    for program in programs:
        await _spend_budget(context, program, rng.randint(4, 8))
    await context.wait(0, 2)
    for host in rng.sample(world.stores(), len(world.stores())):
        rng.choice((_wipe, _wipe, _replace))(context, host)
        await context.wait(world.bounds["catch_up_s"], world.bounds["catch_up_s"] + EDGE_S)
    for front in world.fronts():
        world.kill(front, FRONT_DOWNTIME_S)
    await asyncio.sleep(FRONT_DOWNTIME_S + world.bounds["catch_up_s"])
    await asyncio.gather(*[_spend_budget(context, program, MAX_TURNS) for program in programs])


async def _spend_budget(context, program, turns):
    """Run up to `turns` turns one after the other, at any front, until the budget is spent."""
    previous = max(program.turns, key=lambda turn: program.turns[turn][2], default=None)
    for _ in range(turns):
        turn, status = await context.clients.take_turn(context.rng.choice(context.world.fronts()), program, previous)
        if status == "budget_spent":
            return
        if status == "done":
            previous = turn


def _wipe(context, host):
    context.world.wipe(host, context.rng.uniform(0.1, 0.3))


def _replace(context, host):
    """Replace the machine at once by an empty one with the same name."""
    context.world.remove(host)
    context.world.boot(context.world.add(StoreHost, host.name, host.zone))
