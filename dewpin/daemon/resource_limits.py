"""Distribution of a process's limits on descriptors, memory and disk among its components."""

from ..console.server import MAX_DESCRIPTORS as CONSOLE_DESCRIPTORS
from ..net.connection_table import MAX_ACCEPTED_AT_ONCE, MAX_REJECTED_CONNECTIONS, ServerLimits
from .sender_parts import SenderParts

OTHER_DESCRIPTORS = 16  # descriptors other than connections of clients and to receivers
MIN_CLIENT_CONNECTIONS = 8
MIN_IDLE_CONNECTIONS = 8
MAX_DEFAULT_IDLE_CONNECTIONS = 128
REQUEST_MEMORY_DIVISOR = 4.0  # one fourth of the memory may hold incomplete requests


def apply_limits(application: SenderParts) -> None:
    """Apply the resource limits and the time-outs of client connections, at the start and at a reload."""
    deployment = application.configuration.deployment
    pool, server = application.pool, application.server
    previous_process_descriptors = application.handover_reader.descriptors
    limits, clients = deployment.limits, deployment.client_connections
    pool.max_idle = deployment.calls.max_idle_connections or max(
        MIN_IDLE_CONNECTIONS, min(MAX_DEFAULT_IDLE_CONNECTIONS, limits.max_descriptors // 8)
    )
    if previous_process_descriptors:
        pool.max_idle = max(MIN_IDLE_CONNECTIONS, pool.max_idle // 4)
    call_slots = int(application.configuration.module["FamilyInfo"]["CallSlots"])
    other_descriptors = OTHER_DESCRIPTORS + (CONSOLE_DESCRIPTORS if deployment.console.address else 0)
    max_clients = max(
        MIN_CLIENT_CONNECTIONS,
        limits.max_descriptors
        - 2 * call_slots
        - pool.max_idle
        - MAX_REJECTED_CONNECTIONS
        - 3 * MAX_ACCEPTED_AT_ONCE
        - other_descriptors
        - previous_process_descriptors,
    )
    server.set_limits(
        ServerLimits(
            max_connections=min(max_clients, clients.max_connections) if clients.max_connections else max_clients,
            max_buffered_bytes=limits.memory_bytes / REQUEST_MEMORY_DIVISOR,
            read_timeout_seconds=clients.request_timeout_ms / 1000.0,
            min_idle_seconds=clients.min_idle_ms / 1000.0,
            keep_alive_timeout_seconds=clients.max_idle_ms / 1000.0,
        )
    )
    application.journal.set_disk_limit(limits.disk_bytes)
