"""The sources of updates and configuration bodies: first the parents in the relay tree, then the control servers."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from dewpin.dataplane.membership.control_server_list import ControlServerList


class UpdateSources:
    """The parents listed in the last grant, and the control servers; `clock` returns the monotonic time in seconds."""

    def __init__(self, control_servers: ControlServerList, clock: Callable[[], float]) -> None:
        self._control_servers = control_servers
        self._clock = clock
        self._parents: list[str] = []

    def set_parents(self, parents: Iterable[str]) -> None:
        """Set the parents in the relay tree, nearest first."""
        self._parents = list(parents)

    def parents(self) -> list[str]:
        """Return the parents in the relay tree, nearest first."""
        return self._parents

    def control_servers(self) -> list[str]:
        """Return the usable control servers, followed by all of them."""
        return [*self._control_servers.usable(self._clock()), *self._control_servers.all()]
