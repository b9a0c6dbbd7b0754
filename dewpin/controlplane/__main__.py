"""`python3 -m dewpin.controlplane`: the control plane's process, told by the settings file under DEWPIN_BOOT."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import signal
import sys

from dewpin.cluster.rpc import RpcClient, RpcServer, split_address
from dewpin.cluster.settings import Settings, SettingsInvalid, load_settings

from .keeper import Keeper
from .operator_api import OperatorApi, serve_operator
from .storage import Storage

EXIT_BAD_SETTINGS = 2
LEAVE_NOTICE_S = 0.3


async def run(settings: Settings) -> None:
    """Serves until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    assert settings.data_dir is not None
    storage = Storage(settings.data_dir)
    client = RpcClient()
    keeper = Keeper(settings, storage, client, random.Random())
    server = RpcServer(keeper.handlers)
    host, port = split_address(keeper.address)
    await server.start(host, port)
    await keeper.start()
    if "control" in settings.listen:
        least_stores = 2 * settings.fault_tolerance.machines + 1
        api = OperatorApi(keeper.register, loop, least_stores)
        serve_operator(split_address(settings.listen["control"]), api)
    await stopping.wait()
    keeper.leave()
    await asyncio.sleep(LEAVE_NOTICE_S)
    await keeper.stop()
    await server.stop()


def main() -> int:
    """Runs the process; returns its exit code."""
    logging.basicConfig(level=os.environ.get("DEWPIN_LOG", "WARNING"), stream=sys.stderr, format="%(message)s")
    try:
        settings = load_settings(os.environ["DEWPIN_BOOT"])
    except SettingsInvalid as invalid:
        print(invalid, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    asyncio.run(run(settings))
    os._exit(0)


if __name__ == "__main__":
    sys.exit(main())
