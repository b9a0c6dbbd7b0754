"""The store in the process of a control server, updated from the store view in the system state."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from dewpin.cluster.configuration import longest_retain_s
from dewpin.cluster.memory_budget import MemoryBudget
from dewpin.cluster.rpc import Handler, RpcClient
from dewpin.cluster.settings import Settings
from dewpin.cluster.store_view import StoreView
from dewpin.controlplane.register.system_state import SystemState
from dewpin.controlplane.storage import Storage
from dewpin.controlplane.store.replica_sync import StoreSync
from dewpin.controlplane.store.store import Store, unix_time_ms


class LocalStore:
    """The store of one process. `on_synced` is called with each view epoch for which all records have been copied."""

    def __init__(
        self,
        settings: Settings,
        storage: Storage,
        client: RpcClient,
        on_synced: Callable[[int], None],
        wall_clock_ms: Callable[[], int] = unix_time_ms,
        budget: MemoryBudget | None = None,
    ) -> None:
        replica_count = settings.fault_tolerance.replica_count
        self._store = Store(storage, storage.incarnation, replica_count, wall_clock_ms, budget=budget)
        self._sync = StoreSync(self._store, client, on_synced)
        self._configuration_digest = ""
        self._purge_task: asyncio.Task[None] | None = None

    @property
    def handlers(self) -> dict[str, Handler]:
        """Message handlers of the store, by message type."""
        return self._store.handlers

    async def start(self) -> None:
        """Load the store from disk and start the purging of expired records."""
        await self._store.load()
        self._purge_task = asyncio.ensure_future(self._store.purge_forever())

    async def stop(self) -> None:
        """Stop the purging."""
        if self._purge_task is not None:
            self._purge_task.cancel()
            await asyncio.gather(self._purge_task, return_exceptions=True)

    def adopt(self, state: SystemState) -> None:
        """Apply the ledger retention and the store view of a newly chosen state."""
        self._adopt_configuration(state)
        view = StoreView.from_json(dict(state["stores"]))
        self._store.adopt(view)
        if view.stable:
            self._sync.start(view)

    def _adopt_configuration(self, state: SystemState) -> None:
        configuration = state["configuration"]
        if configuration is not None and configuration["digest"] != self._configuration_digest:
            self._configuration_digest = configuration["digest"]
            self._store.set_ledger_retention(longest_retain_s(configuration["body"]))
