"""The status of a running sender as plain values, collected from its components without changing them.

There may be thousands of destinations: the status is collected in slices with a pause after each, and lists only the
destinations with the most messages. The keys of the result are those of `dewpin status --json`.
"""

import os
from collections.abc import Awaitable, Callable, Sequence
from heapq import nlargest
from typing import TYPE_CHECKING, Any

from .. import __version__
from ..relay.queue_description import describe_queue, queue_size
from .sender_parts import SenderParts

if TYPE_CHECKING:
    from ..relay.facade import Facade

SLICE_SIZE = 200  # queues or receivers that are read between two pauses

Pause = Callable[[], Awaitable[None]]


async def collect_status(application: SenderParts, max_queues: int, pause: Pause) -> dict[str, Any]:
    """Return the whole status.

    `max_queues`: maximum number of destinations listed; `pause`: yields to other tasks.
    """
    relay, facade = application.relay, application.relay.facade
    now_ms = relay.clock.now_ms()
    queues = list(facade.dispatcher.queues)
    listed_queues = await _largest_queues(facade, queues, max_queues, now_ms, pause)
    receivers = list(facade.endpoints.receivers.values())
    health_counts = await _count_by_health(receivers, pause)
    return {
        "name": application.configuration.deployment.sender.name,
        "version": __version__,
        "pid": os.getpid(),
        "state": "stopping" if relay.is_draining else "ready",
        "up_ms": round(now_ms - application.started_ms, 1),
        "mails": _message_counts(application),
        "calls": _call_counts(application),
        "clients": _client_counts(application),
        "spool": _journal_sizes(application),
        "process": _process_resources(application),
        "receivers": health_counts | {"known": len(receivers)},
        "lines_known": len(queues),
        "lines": listed_queues,
    }


async def _largest_queues(
    facade: "Facade", queues: Sequence[Any], max_queues: int, now_ms: float, pause: Pause
) -> list[dict[str, Any]]:
    """Describe the queues with the most messages; queues of equal size are in the order of their first messages."""
    sizes_and_positions = []
    for position, queue in enumerate(queues):
        sizes_and_positions.append((queue_size(queue), -position))
        if position % SLICE_SIZE == SLICE_SIZE - 1:
            await pause()
    described: list[dict[str, Any]] = []
    for _, negative_position in nlargest(max_queues, sizes_and_positions):
        described.append(describe_queue(queues[-negative_position], now_ms))
        if len(described) % SLICE_SIZE == 0:
            await pause()
    return described


async def _count_by_health(receivers: Sequence[Any], pause: Pause) -> dict[str, int]:
    counts = {"set aside": 0, "failing": 0, "well": 0, "unknown": 0}
    for position, receiver in enumerate(receivers):
        counts[_health_name(receiver.health)] += 1
        if position % SLICE_SIZE == SLICE_SIZE - 1:
            await pause()
    return counts


def _health_name(health: Any) -> str:
    if not health:
        return "unknown"
    if health.slow_start:
        return "set aside"
    return "failing" if health.failures else "well"


def _message_counts(application: SenderParts) -> dict[str, int]:
    relay, facade = application.relay, application.relay.facade
    return {
        "held": facade.dispatcher.pending_messages,
        "most": facade.max_messages,
        "owed": len(application.journal.pending),
        "notices": len(relay.notices.unacknowledged),
        "behind_notice": relay.notice_barrier.postponed_count(),
    }


def _call_counts(application: SenderParts) -> dict[str, int]:
    pool = application.pool
    return {
        "out": application.relay.facade.dispatcher.calls_in_flight,
        "slots": int(application.configuration.module["FamilyInfo"]["CallSlots"]),
        "opening": len(pool.connecting_calls),
        "idle": pool.idle_count,
        "most_idle": pool.max_idle,
    }


def _client_counts(application: SenderParts) -> dict[str, int]:
    server = application.server
    return {
        "open": len(server.clients),
        "most": server.limits.max_connections,
        "bytes": server.connections.buffered_bytes,
        "most_bytes": int(server.limits.max_buffered_bytes),
    }


def _journal_sizes(application: SenderParts) -> dict[str, float]:
    journal = application.journal
    used_bytes = max(journal.size_bytes, journal.live_bytes) + journal.live_bytes
    return {
        "file_bytes": journal.size_bytes,
        "owed_bytes": journal.live_bytes,
        "room_bytes": int(journal.capacity_bytes),
        "used": round(used_bytes / journal.capacity_bytes, 4),
    }


def _process_resources(application: SenderParts) -> dict[str, int]:
    limits = application.configuration.deployment.limits
    return {
        "memory_bytes": resident_bytes(),
        "most_memory_bytes": int(limits.memory_bytes),
        "descriptors": len(os.listdir("/proc/self/fd")),
        "most_descriptors": limits.max_descriptors,
    }


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
