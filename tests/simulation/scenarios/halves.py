"""Points 1 to 3: the stores are partitioned into two halves for some seconds; all other machines reach both halves.

Operators make changes and read at both halves meanwhile; one disk may be lost, fronts and processes are restarted.
"""

import asyncio

WORLD = {"stores": 4, "fronts": 3}
ROUNDS = 4
MAX_PARTITION_S = 12.0
READ_EVERY_S = 0.3


async def run_scenario(context):
    context.start(context.operators.make_changes_forever(3.0))
    context.start(context.operators.read_everywhere_forever(READ_EVERY_S))
    context.start(context.clients.run_programs_forever(1.0))
    for _ in range(ROUNDS):
        await context.wait(0.5, 4)
        disk_is_lost = await _partition(context)
        bounds = context.world.bounds
        await asyncio.sleep(bounds["recovery_s"] if disk_is_lost else bounds["catch_up_s"])


async def _partition(context):
    """Partition the stores, inject a fault, and end the partition. Returns whether a disk was lost."""
    world, rng = context.world, context.rng
    duration_s = rng.uniform(1, MAX_PARTITION_S)
    one, other = _two_halves(context)
    pairs = world.cut_links(_addresses(one), _addresses(other)) + world.cut_links(_addresses(other), _addresses(one))
    context.start(_change_at_both(context, one, other))
    fault = rng.choice((None, _restart_fronts, _kill, _power_off, _wipe, _freeze))
    recovered_at_s = 0.0
    if fault is not None:
        await context.wait(0, duration_s / 2)
        recovered_at_s = world.loop.now + fault(context, rng.choice([*one, *other]))
    await asyncio.sleep(duration_s / 2)
    world.restore_links(pairs)
    await asyncio.sleep(max(0.0, recovered_at_s - world.loop.now))
    return fault is _wipe


def _two_halves(context):
    """Split the stores in the middle mostly, or into one and the rest."""
    stores = context.rng.sample(context.world.stores(), len(context.world.stores()))
    middle = context.rng.choice((len(stores) // 2, len(stores) // 2, 1))
    return stores[:middle], stores[middle:]


def _addresses(hosts):
    return [host.ip for host in hosts]


async def _change_at_both(context, one, other):
    """Two operators each send a different change with the same base to a different half."""
    operators, rng = context.operators, context.rng
    base = await operators.current()
    first = operators.new_change(base)
    second = operators.new_change(base, rng.choice((None, first.generation)))
    await asyncio.gather(
        operators.put(first, first_host=rng.choice(one)),
        operators.put(second, first_host=rng.choice(other)),
    )


# Faults during a partition; each returns the time until the machine is back


def _restart_fronts(context, _):
    downtime_s = context.rng.uniform(0.2, 2)
    for front in context.rng.sample(context.world.fronts(), context.rng.randint(1, len(context.world.fronts()))):
        context.world.kill(front, downtime_s)
    return downtime_s


def _kill(context, victim):
    downtime_s = context.rng.uniform(0.2, 2)
    context.world.kill(victim, downtime_s)
    return downtime_s


def _power_off(context, victim):
    downtime_s = context.rng.uniform(0.3, 8)
    context.world.power_off(victim, downtime_s)
    return downtime_s


def _wipe(context, victim):
    downtime_s = context.rng.uniform(0.3, 8)
    context.world.wipe(victim, downtime_s)
    return downtime_s


def _freeze(context, victim):
    downtime_s = context.rng.uniform(0.5, 8)
    context.world.freeze(victim)
    context.world.loop.call_at(context.world.loop.now + downtime_s, context.world.unfreeze, victim)
    return downtime_s
