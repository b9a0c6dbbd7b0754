"""How a process's limits on descriptors, memory and disk are shared out among its parts."""

from typing import TYPE_CHECKING

from ..console.server import MAX_DESCRIPTORS as CONSOLE_DESCRIPTORS
from ..net.inbound import AT_ONCE, SPARE

if TYPE_CHECKING:
    from .application import SenderApplication

OTHER_DESCRIPTORS = 16  # beside connections of clients and to receivers
MIN_CLIENT_CONNECTIONS = 8
MIN_IDLE_CONNECTIONS = 8
MAX_DEFAULT_IDLE_CONNECTIONS = 128
REQUEST_MEMORY_SHARE = 4.0  # one part in so many of the memory is for requests that are not complete


def apply_limits(application: "SenderApplication") -> None:
    """Put the limits and the time-outs of clients' connections in force, at the start and at a reload."""
    deployment = application.configuration.deployment
    pool, server, follower = application.pool, application.server, application.follower
    limits, door = deployment.limits, deployment.door
    pool.most_idle = deployment.calls.max_idle_connections or max(
        MIN_IDLE_CONNECTIONS, min(MAX_DEFAULT_IDLE_CONNECTIONS, limits.max_descriptors // 8)
    )
    if follower.descriptors:  # the previous process still holds some
        pool.most_idle = max(MIN_IDLE_CONNECTIONS, pool.most_idle // 4)
    call_slots = int(application.configuration.module["FamilyInfo"]["CallSlots"])
    other_descriptors = OTHER_DESCRIPTORS + (CONSOLE_DESCRIPTORS if deployment.console.address else 0)
    max_clients = max(
        MIN_CLIENT_CONNECTIONS,
        limits.max_descriptors
        - 2 * call_slots
        - pool.most_idle
        - SPARE
        - 3 * AT_ONCE
        - other_descriptors
        - follower.descriptors,
    )
    server.most = min(max_clients, door.max_connections) if door.max_connections else max_clients
    server.memory = limits.memory_bytes / REQUEST_MEMORY_SHARE
    server.patience = door.request_timeout_ms / 1000.0
    server.rest = door.min_idle_ms / 1000.0
    server.idle = door.max_idle_ms / 1000.0
    application.spool.set_disk_limit(limits.disk_bytes)
