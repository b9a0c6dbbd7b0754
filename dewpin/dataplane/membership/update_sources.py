"""Where a sender gets updates and configuration bodies from: parents in the relay tree, then control servers."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from dewpin.dataplane.membership.control_server_list import ControlServerList


class UpdateSources:
    """The parents that the last lease named, and the list of control servers. `clock` is monotonic, in seconds."""

    def __init__(self, control_servers: ControlServerList, clock: Callable[[], float]) -> None:
        self._control_servers = control_servers
        self._clock = clock
        self._parents: list[str] = []

    def set_parents(self, parents: Iterable[str]) -> None:
        """Use these senders as parents, the nearest first."""
        self._parents = list(parents)

    def parents(self) -> list[str]:
        """Return the senders above this one in the relay tree, the nearest first."""
        return self._parents

    def control_servers(self) -> list[str]:
        """Return the control servers: the usable ones first, then all of them."""
        return [*self._control_servers.usable(self._clock()), *self._control_servers.all()]
