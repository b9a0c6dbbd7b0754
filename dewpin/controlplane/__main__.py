"""`python3 -m dewpin.controlplane`: the control plane's process, told by the settings file under DEWPIN_BOOT."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import sys
from collections.abc import Callable

from dewpin.cluster import logs
from dewpin.cluster.configuration import longest_retain_s
from dewpin.cluster.rpc import Handler, RpcClient, RpcServer, split_address
from dewpin.cluster.settings import BOOT_VARIABLE, Settings, settings_or_exit
from dewpin.cluster.settings_watch import POLL_PERIOD_S, SettingsWatch
from dewpin.cluster.store_view import StoreView
from dewpin.controlplane.control_server import ControlServer
from dewpin.controlplane.operator_api import OperatorApi, serve_operator
from dewpin.controlplane.register.system_state import SystemState
from dewpin.controlplane.storage import Storage
from dewpin.controlplane.store.replica_sync import StoreSync
from dewpin.controlplane.store.store import Store, time_of_day_ms

LEAVE_NOTICE_S = 0.3


async def start_store(
    settings: Settings,
    storage: Storage,
    client: RpcClient,
    control_server: ControlServer,
    wall_clock_ms: Callable[[], int] = time_of_day_ms,
) -> dict[str, Handler]:
    """Starts the store of this process, which follows the view in the system state; returns its handlers."""
    synced = 0

    def on_synced(epoch: int) -> None:
        nonlocal synced
        synced = max(synced, epoch)
        control_server.send_heartbeats()

    store = Store(storage, storage.incarnation, settings.fault_tolerance.replica_count, wall_clock_ms)
    sync = StoreSync(store, client, on_synced)
    await store.load()
    known_digest = ""

    def follow_configuration(state: SystemState) -> None:
        nonlocal known_digest
        configuration = state["configuration"]
        if configuration is not None and configuration["digest"] != known_digest:
            known_digest = configuration["digest"]
            store.set_ledger_retention(longest_retain_s(configuration["body"]))

    def on_state(state: SystemState) -> None:
        follow_configuration(state)
        view = StoreView.from_json(dict(state["stores"]))
        store.adopt(view)
        if view.stable:
            sync.start(view)

    control_server.on_state = on_state
    control_server.synced_epoch = lambda: synced
    asyncio.ensure_future(store.purge_forever())
    return store.handlers


def end_from_thread(loop: asyncio.AbstractEventLoop, stopping: asyncio.Event) -> None:
    """Ends the process: the next start sets the damaged database aside."""
    loop.call_soon_threadsafe(stopping.set)


async def follow_settings(control_server: ControlServer, watch: SettingsWatch, hangup: asyncio.Event) -> None:
    """Hands changes of the settings file on, at once after SIGHUP and soon without."""
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(hangup.wait(), POLL_PERIOD_S)
        hangup.clear()
        settings = watch.poll()
        if settings is not None:
            control_server.take_settings(settings)


async def run(settings: Settings) -> None:
    """Serves until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    hangup = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, hangup.set)
    assert settings.data_dir is not None
    storage = Storage(settings.data_dir, on_damaged=lambda: end_from_thread(loop, stopping))
    client = RpcClient()
    control_server = ControlServer(settings, storage, client, random.Random())
    server = RpcServer(control_server.handlers)
    if "store" in settings.serves:
        server.handlers.update(await start_store(settings, storage, client, control_server))
    await control_server.load()
    await server.start(*split_address(control_server.address))
    control_server.start()
    if "control" in settings.listen:
        least_stores = settings.fault_tolerance.replica_count
        api = OperatorApi(control_server.register, loop, least_stores)
        serve_operator(split_address(settings.listen["control"]), api)
    following = asyncio.ensure_future(
        follow_settings(control_server, SettingsWatch(os.environ[BOOT_VARIABLE], settings), hangup)
    )
    await stopping.wait()
    following.cancel()
    control_server.leave()
    await asyncio.sleep(LEAVE_NOTICE_S)
    await control_server.stop()
    await server.stop()


def main() -> int:
    """Runs the process; returns its exit code."""
    settings = settings_or_exit()
    logs.configure(settings.log_level, settings.node_name, settings.role)
    asyncio.run(run(settings))
    os._exit(0)


if __name__ == "__main__":
    sys.exit(main())
