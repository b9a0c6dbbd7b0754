"""Point 1: one control process after the other is isolated for about as long as it may still serve its state."""

import asyncio

WORLD = {"stores": 3, "fronts": 4}
ROUNDS = 10


async def run_scenario(context):
    for _ in range(ROUNDS):
        await context.wait(0.5, 2.5)
        await _change_during_isolation(context)
    await asyncio.sleep(context.world.bounds["catch_up_s"])


async def _change_during_isolation(context):
    """Isolate a process while the others change the configuration; senders reach all of them."""
    world, rng = context.world, context.rng
    victim = rng.choice(world.stores())
    others = [host for host in world.stores() if host is not victim]
    pairs = world.cut_links([victim.ip], [host.ip for host in others]) + world.cut_links(
        [host.ip for host in others], [victim.ip]
    )
    changes = context.start(_make_changes(context, others))
    await context.wait(0.5, 1.5)
    changes.cancel()
    world.restore_links(pairs)


async def _make_changes(context, hosts):
    while True:
        await context.operators.make_change(retry_for_s=1.0, first_host=context.rng.choice(hosts))
        await context.wait(0.02, 0.5)
