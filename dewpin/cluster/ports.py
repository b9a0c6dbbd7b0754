"""Which of a machine's free ports dewpin's own processes listen on.

Ports are alike on all machines, so that an address told as `ip:port` of one interface gives the others.
"""

from __future__ import annotations

from .settings import PortRange

CONTROL_PLANE_OFFSET = 0
DATA_PLANE_OFFSET = 1


def control_plane_address(host: str, port_range: PortRange) -> str:
    """`ip:port` of the control plane process on a machine."""
    return f"{host}:{port_range.first + CONTROL_PLANE_OFFSET}"


def data_plane_address(host: str, port_range: PortRange) -> str:
    """`ip:port` of the sender on a machine."""
    return f"{host}:{port_range.first + DATA_PLANE_OFFSET}"
