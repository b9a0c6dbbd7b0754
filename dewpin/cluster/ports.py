"""The ports of a machine that dewpin processes listen on for internal traffic.

The ports are the same on all machines, so one address `ip:port` of a machine yields its others.
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
