"""Point 1: control processes are isolated for 1 to 30 s in various ways or frozen, while fronts are restarted."""

import asyncio

from ..world import OPERATOR_IP, PLATFORM_IP

WORLD = {"stores": 3, "fronts": 4}
ROUNDS = 3


async def run_scenario(context):
    world = context.world
    context.start(context.operators.make_changes_forever(1.5))
    context.start(context.clients.run_programs_forever(1.5))
    for _ in range(ROUNDS):
        await context.wait(world.bounds["catch_up_s"], world.bounds["catch_up_s"] + 3)
        await _inject_fault(context)


async def _inject_fault(context):
    world, rng = context.world, context.rng
    victim = rng.choice(world.stores())
    if rng.random() < 0.25:
        await _freeze(context, victim)
        return
    duration_s = rng.choice((rng.uniform(1, 30), rng.uniform(18, 22)))
    pairs = _cut(context, victim)
    if rng.random() < 0.7:
        context.start(_restart_fronts(context, duration_s))
    if rng.random() < 0.5:
        context.start(context.operators.make_change(retry_for_s=4.0, first_host=victim))
    if rng.random() < 0.3:
        context.start(_freeze_during(context, victim, duration_s))
    await asyncio.sleep(duration_s)
    world.restore_links(pairs)


def _cut(context, victim):
    """Isolate a control process: from the others, from all, together with its zone, or in one direction only."""
    world, rng = context.world, context.rng
    stores = [host.ip for host in world.stores()]
    fronts = [host.ip for host in world.fronts()]
    zone = [ip for ip in stores + fronts if world.zone_of[ip] == victim.zone]
    inside, outside = rng.choice(
        (
            ([victim.ip], stores),
            ([victim.ip], stores + fronts),
            ([victim.ip], [*stores, *fronts, OPERATOR_IP, PLATFORM_IP]),
            (zone, [ip for ip in stores + fronts if ip not in zone]),
            ([victim.ip], [ip for ip in stores if ip != victim.ip][:1]),
            ([victim.ip], rng.sample(fronts, 2)),
        )
    )
    direction = rng.choice(("both", "both", "out", "in"))
    pairs = world.cut_links(inside, outside) if direction != "in" else []
    return pairs + (world.cut_links(outside, inside) if direction != "out" else [])


async def _restart_fronts(context, within_s):
    """Kill some fronts, so that they start while a control process is isolated."""
    world, rng = context.world, context.rng
    await context.wait(0, within_s)
    for front in rng.sample(world.fronts(), rng.randint(1, len(world.fronts()))):
        if front.is_running:
            world.kill(front, rng.uniform(0.2, 2))


async def _freeze(context, victim):
    context.world.freeze(victim)
    await context.wait(0.5, 25)
    context.world.unfreeze(victim)


async def _freeze_during(context, victim, within_s):
    await context.wait(0, within_s)
    await _freeze(context, victim)
