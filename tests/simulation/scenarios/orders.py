"""Point 2: racing operators, lost replies, a killed winner, eight concurrent changes, repeated changes."""

import asyncio

WORLD = {"stores": 3, "fronts": 2}
ROUNDS = 10


async def run_scenario(context):
    context.operators.reply_loss = context.rng.choice((0.0, 0.2, 0.5))
    context.start(context.clients.run_programs_forever(3.0))
    for _ in range(ROUNDS):
        await context.wait(0.0, 3.0)
        await context.rng.choice(
            (_race, _race, _race_in_a_cut, _eight_at_once, _sent_twice, _power_lost_after_the_answer)
        )(context)


async def _race(context):
    """Two operators on one base: different bodies with one generation or two, or the same change of both."""
    operators, rng = context.operators, context.rng
    base = await operators.current()
    first = operators.new_change(base, padding_bytes=rng.choice((0, 0, 4000, 60_000)))
    kind = rng.choice(("same generation", "same generation", "different generations", "same change"))
    second = first if kind == "same change" else operators.new_change(base, first.generation)
    if kind == "different generations":
        second = operators.new_change(base)
    one, other = rng.sample(context.world.stores(), 2)
    killer = _killer(context) if rng.random() < 0.5 else None
    await asyncio.gather(
        operators.put(first, first_host=one, on_attempt=killer),
        _delayed(rng.uniform(0, 0.02), operators.put(second, first_host=other)),
    )
    if rng.random() < 0.5:
        await _resend(context, first)
        await _resend(context, second)


async def _delayed(wait_s, work):
    await asyncio.sleep(wait_s)
    return await work


def _killer(context):
    """A callback that kills the called process, or cuts its power, at a random point of its message exchange."""
    world, rng = context.world, context.rng
    pending = [True]

    def on_attempt(host):
        if pending and rng.random() < 0.7:
            pending.clear()
            stop = rng.choice((world.kill, world.power_off))
            world.loop.call_at(world.loop.now + rng.uniform(0, 0.03), stop, host, rng.uniform(0.2, 1.5))

    return on_attempt


async def _race_in_a_cut(context):
    """Each operator calls one side of a partition that ends while they retry."""
    world, operators, rng = context.world, context.operators, context.rng
    base = await operators.current()
    victim = rng.choice(world.stores())
    others = [host for host in world.stores() if host is not victim]
    first = operators.new_change(base)
    second = operators.new_change(base, rng.choice((None, first.generation)))
    pairs = world.cut_links([victim.ip], [host.ip for host in others])
    if rng.random() < 0.7:
        pairs += world.cut_links([host.ip for host in others], [victim.ip])
    world.loop.call_at(world.loop.now + rng.uniform(0.05, 6), world.restore_links, pairs)
    await asyncio.gather(
        operators.put(first, first_host=victim),
        operators.put(second, first_host=rng.choice(others)),
        return_exceptions=True,
    )
    world.restore_links(pairs)


async def _eight_at_once(context):
    operators = context.operators
    base = await operators.current()
    changes = [operators.new_change(base) for _ in range(8)]
    await asyncio.gather(*[operators.put(change, first_host=operators.any_store()) for change in changes])


async def _power_lost_after_the_answer(context):
    """Every store loses power the moment that a change is acknowledged; the disks are slow."""
    world = context.world
    for host in world.stores():
        host.disk.slow_s = 0.05
    await context.operators.make_change()
    for host in world.stores():
        world.power_off(host, context.rng.uniform(0.2, 1.0))
        host.disk.slow_s = 0.0
    await context.wait(1.0, 3.0)


async def _sent_twice(context):
    change, _ = await context.operators.make_change()
    await context.wait(0, 2)
    await _resend(context, change)


async def _resend(context, change):
    """Send the same change once more to each process, whatever its outcome was."""
    for host in context.world.stores():
        await context.operators.put(change, first_host=host, retry_for_s=0.01)
