"""Points 1 to 3: processes are frozen for up to half a minute and resume with the state that they had before.

Their leases, ballots, copies, reservations and connections are outdated then, as the other processes continued. Fronts
that restart just before may reach only the store that resumes.
"""

import asyncio

WORLD = {"stores": 4, "fronts": 4}
ROUNDS = 4
READ_EVERY_S = 0.3


async def run_scenario(context):
    world, rng = context.world, context.rng
    context.start(context.operators.make_changes_forever(1.0))
    context.start(context.operators.read_everywhere_forever(READ_EVERY_S))
    context.start(context.clients.run_programs_forever(0.6))
    for _ in range(ROUNDS):
        await context.wait(0.2, 3)
        fronts = rng.sample(world.fronts(), rng.randint(0, 3))
        frozen = [rng.choice(world.stores()), *fronts]
        for host in frozen:
            world.freeze(host)
        await context.wait(0.5, rng.choice((3.0, 8.0, 28.0)))
        pairs = _restart_fronts_isolated(context, frozen[0]) if rng.random() < 0.5 else ()
        await context.wait(0.2, 0.6)
        for host in rng.sample(frozen, len(frozen)):
            world.unfreeze(host)
            await context.wait(0, 0.5)
        world.restore_links(pairs)
        await asyncio.sleep(world.bounds["catch_up_s"])


def _restart_fronts_isolated(context, frozen):
    """Restart some fronts that reach no store but the frozen one. Returns the cut pairs."""
    world = context.world
    others = [host.ip for host in world.stores() if host is not frozen]
    fronts = context.rng.sample(world.fronts(), context.rng.randint(1, 2))
    for front in fronts:
        world.kill(front, context.rng.uniform(0.01, 0.2))
    addresses = [front.ip for front in fronts]
    return world.cut_links(addresses, others) + world.cut_links(others, addresses)
