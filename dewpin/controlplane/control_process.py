"""The process of a control server: start, signals, settings and end."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random

from dewpin.cluster.logs import Event, log_event, log_unexpected
from dewpin.cluster.memory_budget import MemoryBudget
from dewpin.cluster.process.exit_codes import ExitCode, ProgramEndError
from dewpin.cluster.process.program import log_started
from dewpin.cluster.process.signals import ProcessSignals
from dewpin.cluster.process.start_steps import StartSteps
from dewpin.cluster.rpc import RpcClient, RpcServer, internal_connection_limit, split_address
from dewpin.cluster.settings import BOOT_VARIABLE, CONTROL, STORE, Settings
from dewpin.cluster.settings_watch import POLL_PERIOD_S, SettingsWatch
from dewpin.controlplane.control_server import ControlServer
from dewpin.controlplane.local_store import LocalStore
from dewpin.controlplane.operator_api import OperatorApi
from dewpin.controlplane.operator_http import serve_operator
from dewpin.controlplane.storage import SchemaTooNewError, Storage, StorageDamagedError, StorageError

LEAVE_NOTICE_S = 0.3
INTERNAL_DESCRIPTOR_SHARE = 0.6
"""Maximum share of the process's descriptors for connections of other processes of the tier."""


class ControlProcess:
    """The parts of a control server's process: its servers and, if configured, its store."""

    def __init__(self, settings: Settings, storage: Storage) -> None:
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._budget = MemoryBudget.for_process(settings.limits.memory_mb)
        client = RpcClient(MemoryBudget(self._budget.limit_bytes))
        self._control_server = ControlServer(settings, storage, client, random.Random())
        max_connections = internal_connection_limit(settings.limits, INTERNAL_DESCRIPTOR_SHARE)
        self._rpc_server = RpcServer(self._control_server.handlers, self._budget, max_connections)
        self._store: LocalStore | None = None
        if STORE in settings.serves:
            self._store = LocalStore(
                settings, storage, client, self._control_server.record_synced_epoch, budget=self._budget
            )

    async def start(self, steps: StartSteps) -> None:
        """Load the state from disk, then serve senders, other control servers and the operator."""
        control_server = self._control_server
        if self._store is not None:
            await steps.run_async("store", self._store.start, is_storage_failure)
            control_server.attach_store(self._store)
            self._rpc_server.handlers.update(self._store.handlers)
        await steps.run_async("register", control_server.load, is_storage_failure)
        host, port = split_address(control_server.address)
        await steps.run_async("internal_address", lambda: self._rpc_server.start(host, port))
        control_server.start()
        if CONTROL in self._settings.listen:
            await steps.run_async("operator_address", self._serve_operator)

    async def _serve_operator(self) -> None:
        min_stores = self._settings.fault_tolerance.replica_count
        api = OperatorApi(self._control_server.register, self._loop, min_stores)
        serve_operator(split_address(self._settings.listen[CONTROL]), api, self._budget)

    async def follow_settings(self, watch: SettingsWatch, hangup: asyncio.Event) -> None:
        """Apply changes of the settings file: immediately when `hangup` is set, otherwise at the next poll."""
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(hangup.wait(), POLL_PERIOD_S)
            hangup.clear()
            try:
                settings = watch.poll()
                if settings is not None:
                    self._control_server.apply_settings(settings)
            except Exception as error:  # the file may change again
                log_unexpected(error)

    async def stop(self) -> None:
        """Announce the shutdown to the other control servers, then stop all servers and tasks."""
        self._control_server.leave()
        await asyncio.sleep(LEAVE_NOTICE_S)
        await self._control_server.stop()
        await self._rpc_server.stop()
        if self._store is not None:
            await self._store.stop()


class ProcessEnd:
    """Why the process ends: a stop signal, or a damaged database."""

    def __init__(self, signals: ProcessSignals, hangup: asyncio.Event) -> None:
        """Observe the signals on the running event loop; SIGHUP sets `hangup`."""
        self._signals = signals
        self._hangup = hangup
        self._loop = asyncio.get_running_loop()
        self._is_damaged = False
        self._has_come = asyncio.Event()
        self._loop.add_reader(signals.fileno(), self._handle_signals)
        self._handle_signals()

    def report_damage(self) -> None:
        """End the process, since its database is damaged; may be called on any thread."""
        self._is_damaged = True
        self._loop.call_soon_threadsafe(self._has_come.set)

    async def wait(self) -> None:
        """Wait until the process should end."""
        await self._has_come.wait()

    def raise_damage(self) -> None:
        """Raise ProgramEndError if the database is damaged."""
        if self._is_damaged:
            raise ProgramEndError(ExitCode.DAMAGED_DATABASE, "the database is damaged; the next start quarantines it")

    def _handle_signals(self) -> None:
        self._signals.clear()
        if self._signals.take_reload_request():
            self._hangup.set()
        if self._signals.stop_signal is not None:
            self._has_come.set()


def is_storage_failure(error: Exception) -> bool:
    """Return whether the database or its disk cannot be used now; damage does not pass."""
    return isinstance(error, (StorageError, OSError)) and not isinstance(error, StorageDamagedError)


async def serve(settings: Settings, signals: ProcessSignals, steps: StartSteps) -> None:
    """Run the control server until a stop signal. Raises StartInterruptedError and ProgramEndError."""
    hangup = asyncio.Event()
    end = ProcessEnd(signals, hangup)
    storage = await steps.run_async("database", lambda: open_storage(settings, end), is_storage_failure)
    process = ControlProcess(settings, storage)
    await start_until(end, process, steps)
    watch = SettingsWatch(os.environ[BOOT_VARIABLE], settings)
    settings_task = asyncio.ensure_future(process.follow_settings(watch, hangup))
    await end.wait()
    log_event(Event.STOPPING)
    settings_task.cancel()
    await process.stop()
    end.raise_damage()


async def start_until(end: ProcessEnd, process: ControlProcess, steps: StartSteps) -> None:
    """Start the process; cancel the start if the process should end before it has started."""
    starting = asyncio.ensure_future(process.start(steps))
    ending = asyncio.ensure_future(end.wait())
    await asyncio.wait((starting, ending), return_when=asyncio.FIRST_COMPLETED)
    ending.cancel()
    if not starting.done():
        starting.cancel()
        return
    end.raise_damage()
    await starting
    log_started(steps)


async def open_storage(settings: Settings, end: ProcessEnd) -> Storage:
    """Open the database of the data folder. Raises StorageError and ProgramEndError."""
    assert settings.data_dir is not None
    try:
        return Storage(settings.data_dir, on_damaged=end.report_damage)
    except SchemaTooNewError as error:
        raise ProgramEndError(ExitCode.NEWER_DATABASE, str(error)) from error


def run_control_server(settings: Settings, signals: ProcessSignals, steps: StartSteps) -> None:
    """Run a control server until a stop signal. Raises StartInterruptedError and ProgramEndError."""
    asyncio.run(serve(settings, signals, steps))
