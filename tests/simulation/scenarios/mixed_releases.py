"""Points 1 to 5: machines are upgraded one by one from an earlier release's messages, and some are downgraded.

An earlier release sends and reads none of the fields that were added later (`release_messages.py`). Changes, turns and
a store's copy continue meanwhile; a store is added, killed or loses its disk.
"""

import asyncio

from ..hosts import StoreHost

WORLD = {"stores": 3, "fronts": 3}
STOP_DURATION_S = 0.6
PADDING_BYTES = 100_000
"""Size of some configurations: current senders fetch them by pages, those of an earlier release get them whole."""


async def run_scenario(context):
    world, rng = context.world, context.rng
    context.start(_change_configuration_forever(context))
    context.start(context.clients.run_programs_forever(0.8))
    hosts = [*world.stores(), *world.fronts()]
    for host in rng.sample(hosts, rng.randint(1, len(hosts))):
        await _change_release(context, host, is_earlier=True)
    await context.wait(0.5, 3)
    await rng.choice((_add_store, _wipe, _kill))(context)
    for host in rng.sample(world.stores() + world.fronts(), rng.randint(2, 4)):
        await _change_release(context, host, is_earlier=not host.is_earlier_release)
    for host in world.stores() + world.fronts():
        if host.is_earlier_release:
            await _change_release(context, host, is_earlier=False)


async def _change_release(context, host, is_earlier):
    """Stop a machine's process and start it with the other release."""
    context.world.record_event("earlier release" if is_earlier else "release of today", host)
    context.world.stop(host, STOP_DURATION_S)
    await asyncio.sleep(STOP_DURATION_S / 2)
    host.is_earlier_release = is_earlier
    await asyncio.sleep(context.world.bounds["catch_up_s"])


async def _change_configuration_forever(context):
    """Make changes one after the other, some with large configurations."""
    operators = context.operators
    while True:
        change = operators.new_change(
            await operators.current(), padding_bytes=context.rng.choice((0, 0, PADDING_BYTES))
        )
        await operators.put(change, retry_for_s=6.0)
        await context.wait(0.5, 3)


async def _add_store(context):
    context.world.boot(context.world.add(StoreHost))
    await asyncio.sleep(context.world.bounds["catch_up_s"])


async def _wipe(context):
    downtime_s = context.rng.uniform(0.3, 2)
    context.world.wipe(context.rng.choice(context.world.stores()), downtime_s)
    await asyncio.sleep(downtime_s + context.world.bounds["catch_up_s"])


async def _kill(context):
    context.world.kill(context.rng.choice(context.world.stores()), context.rng.uniform(0.2, 2))
    await asyncio.sleep(2 + context.world.bounds["catch_up_s"])
