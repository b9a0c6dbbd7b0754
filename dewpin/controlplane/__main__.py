"""`python3 -m dewpin.controlplane`: runs a control server with the settings file named by DEWPIN_BOOT."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import sys

from dewpin.cluster import logs
from dewpin.cluster.rpc import RpcClient, RpcServer, split_address
from dewpin.cluster.settings import BOOT_VARIABLE, Settings, settings_or_exit
from dewpin.cluster.settings_watch import POLL_PERIOD_S, SettingsWatch
from dewpin.controlplane.control_server import ControlServer
from dewpin.controlplane.local_store import LocalStore
from dewpin.controlplane.operator_api import OperatorApi
from dewpin.controlplane.operator_http import serve_operator
from dewpin.controlplane.storage import Storage

LEAVE_NOTICE_S = 0.3


class ControlProcess:
    """The process of a control server: its database, its servers and, if configured, its store.

    `stopping` is set when the database is found to be damaged; the next start quarantines it.
    """

    def __init__(self, settings: Settings, stopping: asyncio.Event) -> None:
        assert settings.data_dir is not None
        self._settings = settings
        self._stopping = stopping
        self._loop = asyncio.get_running_loop()
        self._storage = Storage(settings.data_dir, on_damaged=self._request_stop_threadsafe)
        client = RpcClient()
        self._control_server = ControlServer(settings, self._storage, client, random.Random())
        self._rpc_server = RpcServer(self._control_server.handlers)
        self._store: LocalStore | None = None
        if "store" in settings.serves:
            self._store = LocalStore(settings, self._storage, client, self._control_server.record_synced_epoch)

    async def start(self) -> None:
        """Load the state from disk, then serve senders, other control servers and the operator."""
        control_server = self._control_server
        if self._store is not None:
            await self._store.start()
            control_server.attach_store(self._store)
            self._rpc_server.handlers.update(self._store.handlers)
        await control_server.load()
        await self._rpc_server.start(*split_address(control_server.address))
        control_server.start()
        if "control" in self._settings.listen:
            min_stores = self._settings.fault_tolerance.replica_count
            api = OperatorApi(control_server.register, self._loop, min_stores)
            serve_operator(split_address(self._settings.listen["control"]), api)

    async def follow_settings(self, watch: SettingsWatch, hangup: asyncio.Event) -> None:
        """Apply changes of the settings file: immediately when `hangup` is set, otherwise at the next poll."""
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(hangup.wait(), POLL_PERIOD_S)
            hangup.clear()
            settings = watch.poll()
            if settings is not None:
                self._control_server.apply_settings(settings)

    async def stop(self) -> None:
        """Announce the shutdown to the other control servers, then stop all servers and tasks."""
        self._control_server.leave()
        await asyncio.sleep(LEAVE_NOTICE_S)
        await self._control_server.stop()
        await self._rpc_server.stop()
        if self._store is not None:
            await self._store.stop()

    def _request_stop_threadsafe(self) -> None:
        self._loop.call_soon_threadsafe(self._stopping.set)


async def run(settings: Settings) -> None:
    """Run the control server until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stopping, hangup = asyncio.Event(), asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, hangup.set)
    process = ControlProcess(settings, stopping)
    await process.start()
    watch = SettingsWatch(os.environ[BOOT_VARIABLE], settings)
    settings_task = asyncio.ensure_future(process.follow_settings(watch, hangup))
    await stopping.wait()
    settings_task.cancel()
    await process.stop()


def main() -> int:
    """Run the process; return its exit code."""
    settings = settings_or_exit()
    logs.configure(settings.log_level, settings.node_name, settings.role)
    asyncio.run(run(settings))
    os._exit(0)


if __name__ == "__main__":
    sys.exit(main())
