"""Point 5: late, lost and interrupted replies between the system's processes, duplicate messages, disk faults."""

import asyncio

WORLD = {"stores": 4, "fronts": 3}
ROUNDS = 5


async def run_scenario(context):
    world = context.world
    context.operators.reply_loss = 0.2
    context.start(context.operators.make_changes_forever(1.5))
    context.start(context.clients.run_programs_forever(0.6))
    context.start(_resets(context))
    world.duplicate_share = context.rng.choice((0.0, 0.05, 0.2))
    for _ in range(ROUNDS):
        await context.wait(0, 4)
        await context.rng.choice((_delayed_replies, _lossy_links, _disk_fault, _short_cuts, _kill, _clock_step))(
            context
        )


async def _resets(context):
    """Reset random connections between the system's processes."""
    while True:
        await context.wait(0, 4)
        context.world.reset_random_connection()


async def _delayed_replies(context):
    """Delay replies until after their callers have timed out."""
    links = sorted(context.world.links)
    links = context.rng.sample(links, len(links) // 3)
    context.world.impair_links(links, jitter_s=context.rng.uniform(0.1, 1.5))
    await context.wait(1, 6)
    context.world.clear_impairments(links)


async def _lossy_links(context):
    links = sorted(context.world.links)
    links = context.rng.sample(links, len(links) // 2)
    context.world.impair_links(links, loss=context.rng.choice((0.02, 0.2)))
    await context.wait(1, 6)
    context.world.clear_impairments(links)


async def _disk_fault(context):
    """Make a disk slow, full or silent for a while."""
    host = context.rng.choice(context.world.stores())
    context.world.oracle.set_slow(host.ip, True)
    kind = context.rng.choice(("slow", "full", "silent"))
    context.world.record_event(f"disk {kind}", host)
    if kind == "slow":
        host.disk.slow_s = context.rng.uniform(0.05, 1.5)
    elif kind == "full":
        host.disk.full = True
    else:
        host.disk.silent = True
    await context.wait(0.5, 8)
    host.disk.slow_s, host.disk.full, host.disk.silent = 0.0, False, False
    context.world.oracle.set_slow(host.ip, False)


async def _short_cuts(context):
    """Cut single directions between two machines briefly."""
    for _ in range(6):
        one, other = context.rng.sample(list(context.world.hosts), 2)
        pairs = context.world.cut_links([one], [other])
        await context.wait(0.05, 1.5)
        context.world.restore_links(pairs)


async def _kill(context):
    host = context.rng.choice([*context.world.stores(), *context.world.fronts()])
    context.world.kill(host, context.rng.uniform(0.1, 1.0))
    await asyncio.sleep(context.world.bounds["catch_up_s"])


async def _clock_step(context):
    host = context.rng.choice(list(context.world.hosts.values()))
    context.world.step_clock(host, context.rng.choice((-4000, -500, 700, 4000)))
