"""A CPU quota: a process runs at full speed until the quota is used up, then is paused until the period ends."""

import asyncio

PERIOD_S = 0.1
QUOTA_SHARES = 0.172, 0.516


async def limit_processor(world, host, share, busy):
    """Pause a machine's process for the rest of each period in which it uses up its share, until cancelled.

    `busy`: the share of periods in which it does.
    """
    world.record_event(f"quota {share} of a core", host)
    while True:
        await asyncio.sleep(share * PERIOD_S)
        machine = host.machine if host.is_responsive and world.loop.random.random() < busy else None
        if machine is not None:
            machine.pause()
        await asyncio.sleep((1 - share) * PERIOD_S)
        if machine is not None and machine.alive and machine is host.machine and machine.paused:
            machine.resume()
