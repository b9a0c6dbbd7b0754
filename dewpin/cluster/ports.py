"""Which of a machine's free ports dewpin's own processes listen on.

The ports are the same on all machines, so the address `ip:port` of one interface gives those of the others.
"""

from __future__ import annotations

from .settings import PortRange

CONTROL_PLANE_OFFSET = 0
DATA_PLANE_OFFSET = 1


def control_plane_address(host: str, port_range: PortRange) -> str:
    """Return the address (`ip:port`) of the control server on a machine."""
    return f"{host}:{port_range.first + CONTROL_PLANE_OFFSET}"


def data_plane_address(host: str, port_range: PortRange) -> str:
    """Return the address (`ip:port`) of the sender on a machine."""
    return f"{host}:{port_range.first + DATA_PLANE_OFFSET}"
