"""What a running sender tells of itself: facts in plain values, read off the parts that own them.

It owns the shape of the answer and changes nothing. It may be asked while thousands of destinations are known, so it
works in slices and tells only of the lines with most mails.
"""
import os
from collections.abc import Awaitable, Callable
from heapq import nlargest
from typing import Any

from .. import __version__

SLICE = 200             # lines looked at before others have their turn


async def facts(parts: dict[str, Any], most: int, pause: Callable[[], Awaitable[None]]) -> dict[str, Any]:
    """The whole answer; `parts`: the process's parts by name, `most`: lines told of, `pause`: gives others a turn."""
    told, relay, spool, door, pool = (parts[one] for one in ("told", "relay", "spool", "door", "pool"))
    facade, now = relay.facade, relay.clock.now()
    limits = told.deployment.limits
    lines, weights, listed = facade.lines(), [], []
    for at, line in enumerate(lines):
        weights.append((facade.weight(line), -at))
        if at % SLICE == SLICE - 1:
            await pause()
    for weight, at in nlargest(most, weights):      # of equals the one with the older first mail comes first
        listed.append(facade.line(lines[-at], now))
        if len(listed) % SLICE == 0:
            await pause()
    receivers = list(facade.receivers.values())
    healths = {"set aside": 0, "failing": 0, "well": 0, "unknown": 0}
    for at, receiver in enumerate(receivers):
        health = receiver.health
        healths["unknown" if not health else "set aside" if health.trickle else "failing" if health.fails
                else "well"] += 1
        if at % SLICE == SLICE - 1:
            await pause()
    return {
        "name": told.deployment.sender.name, "version": __version__, "pid": os.getpid(),
        "state": "stopping" if relay.refusing else "ready", "up_ms": round(now - parts["since"], 1),
        "mails": {"held": facade.module.held, "most": facade.most, "owed": len(spool.sheets),
                  "notices": len(relay.notices.owed), "behind_notice": sum(map(len, relay.behind.values()))},
        "calls": {"out": facade.module.slots, "slots": int(told.module["FamilyInfo"]["CallSlots"]),
                  "opening": len(pool.opening), "idle": pool.resting, "most_idle": pool.most_idle},
        "clients": {"open": len(door.clients), "most": door.most, "bytes": door.held, "most_bytes": int(door.memory)},
        "spool": {"file_bytes": spool.size, "owed_bytes": spool.live, "room_bytes": int(spool.room),
                  "used": round((max(spool.size, spool.live) + spool.live) / spool.room, 4)},
        "process": {"memory_bytes": memory(), "most_memory_bytes": int(limits.memory),
                    "descriptors": len(os.listdir("/proc/self/fd")), "most_descriptors": limits.sockets},
        "receivers": healths | {"known": len(receivers)},
        "lines_known": len(lines), "lines": listed}


def memory() -> int:
    """Resident bytes of this process."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
