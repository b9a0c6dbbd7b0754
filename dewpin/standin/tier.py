"""The whole tier on one machine: control servers, senders, the platform and receivers.

Each is a separate process with its own loopback address.
"""

import json
import shutil
import socket
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from types import TracebackType

from dewpin.cluster.rpc import split_address

from .addresses import PLATFORM_PORT, RECEIVER_PORT, LoopbackNetwork
from .instances import InstanceEntry
from .machine import Machine
from .machine_settings import PLATFORM_CALLS_PER_S, PLATFORM_LAG_MS, ZONES, write_machine_settings
from .operator_client import OperatorClient
from .polling import wait_until
from .processes import ManagedProcess, terminate_all
from .sample_configuration import PLAIN_SERVICE, STREAM_SERVICE, TOKENS_PER_EVENT
from .settings_file import SettingsTable
from .system_view import SystemView, read_system_view

CONTROL_SERVER_COUNT = 3
SENDER_COUNT = 2
RECEIVERS_PER_SERVICE = 2
RECEIVER_SLOTS = 4
READY_TIMEOUT_S = 20.0
CONNECT_TIMEOUT_S = 1.0
SETTLED_TIMEOUT_S = 20.0
SETTINGS_PATH_VARIABLE = "DEWPIN_BOOT"
STANDIN_MODULE = "dewpin.standin"


def is_listening(address: str) -> bool:
    """Return whether a process accepts connections at an address."""
    try:
        socket.create_connection(split_address(address), timeout=CONNECT_TIMEOUT_S).close()
    except OSError:
        return False
    return True


class LocalTier:
    """A context manager that starts and stops all processes of a tier, with their files in one folder.

    folder: contains the folders `settings`, `data` and `logs`.
    platform_address: address of the stand-in platform.
    platform: its process.
    control_servers, senders: the machines of the tier.
    operator: client of the operator API.
    receivers: the receivers' entries in the platform's list.
    """

    def __init__(self, folder: Path, sender_count: int | None = None, limits: SettingsTable | None = None) -> None:
        """Choose addresses and write the settings files, without starting processes.

        sender_count: number of senders; SENDER_COUNT if it is None.
        limits: the resource limits of each process, as in its settings file; None to omit them.
        """
        self.folder = folder
        self._limits = limits
        senders = SENDER_COUNT if sender_count is None else sender_count
        self._network = LoopbackNetwork()
        self.platform_address = f"{self._network.take_address()}:{PLATFORM_PORT}"
        for name in ("settings", "data", "logs"):
            (folder / name).mkdir(parents=True, exist_ok=True)
        self.control_servers = [self._create_control_server(number) for number in range(CONTROL_SERVER_COUNT)]
        self.senders = [self._create_sender(number) for number in range(senders)]
        self.operator = OperatorClient([control_server.operator_address for control_server in self.control_servers])
        self.receivers = self._receiver_entries()
        self._receiver_processes = [self._receiver_process(entry) for entry in self.receivers]
        self.platform = self._platform_process()
        for machine in (*self.control_servers, *self.senders):
            self.write_settings(machine, bootstrap=True)

    @property
    def processes(self) -> list[ManagedProcess]:
        """Return all processes."""
        machines = [machine.process for machine in (*self.control_servers, *self.senders)]
        return [self.platform, *self._receiver_processes, *machines]

    def start(self) -> None:
        """Start all processes; their order does not matter."""
        for process in self.processes:
            process.start()

    def stop(self) -> None:
        """End all processes that are still running, and release the addresses."""
        terminate_all(self.processes)
        self._network.close()

    def __enter__(self) -> "LocalTier":
        """Start all processes; they end with the block."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(
        self, error_type: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        """End all processes."""
        self.stop()

    def wait_until_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until all receivers listen and all senders are ready.

        Raises ConditionNotMetError, at once if a sender has ended.
        """
        for receiver in self.receivers:
            listens = partial(is_listening, receiver["address"])
            wait_until(listens, timeout_s, f"{receiver['id']} listens")
        for sender in self.senders:
            wait_until(sender.is_ready, timeout_s, f"{sender.name} is ready")

    def settled_view(self) -> SystemView | None:
        """Return the system state if it is the same on all running control servers and each of them is a member.

        Return None while the states differ or a change of members or stores is in progress.
        """
        running = [control_server for control_server in self.control_servers if control_server.process.is_running]
        views = [read_system_view(control_server.ip) for control_server in running]
        first = views[0] if views else None
        if first is None or not first.is_settled or any(view != first for view in views):
            return None
        return first if all(first.has_member(control_server.name) for control_server in running) else None

    def wait_until_settled(self, timeout_s: float = SETTLED_TIMEOUT_S) -> SystemView:
        """Wait until all running control servers are members; return the system state or raise ConditionNotMetError."""
        return wait_until(self.settled_view, timeout_s, "the control servers' members and stores are settled")

    def wait_until_replaced(
        self, control_server: Machine, incarnation: str, timeout_s: float = SETTLED_TIMEOUT_S
    ) -> None:
        """Wait until a control server is a member with a new incarnation. Raises ConditionNotMetError."""

        def is_replaced() -> bool:
            view = self.settled_view()
            return view is not None and view.has_member(control_server.name, other_than=incarnation)

        wait_until(is_replaced, timeout_s, f"{control_server.name} is a member with a new incarnation")

    def restart(self, control_servers: Sequence[Machine]) -> None:
        """Restart control servers that have ended, with their stored data."""
        for control_server in control_servers:
            self.write_settings(control_server, bootstrap=False)
            control_server.process.start()

    def wipe(self, control_server: Machine) -> None:
        """Remove the data of a control server that has ended."""
        assert control_server.data_dir is not None
        shutil.rmtree(control_server.data_dir)

    def write_settings(self, machine: Machine, bootstrap: bool) -> None:
        """Write the settings of a machine; `bootstrap`: whether this is the first start of the whole tier."""
        write_machine_settings(machine, self.control_servers, self.platform_address, bootstrap, self._limits)

    def receivers_of(self, service: str) -> list[InstanceEntry]:
        """Return the receivers of a service."""
        return [entry for entry in self.receivers if entry["backend"] == service]

    def logs(self) -> str:
        """Return the last lines of every log that is not empty."""
        tails = [(process.name, process.log_tail()) for process in self.processes]
        return "\n".join(f"== {name}\n{lines}" for name, lines in tails if lines)

    def _create_control_server(self, number: int) -> Machine:
        name = f"control-server-{number + 1}"
        return self._create_machine(name, "dewpin.controlplane", number, self.folder / "data" / name)

    def _create_sender(self, number: int) -> Machine:
        return self._create_machine(f"sender-{number + 1}", "dewpin.dataplane", number, None)

    def _create_machine(self, name: str, module: str, number: int, data_dir: Path | None) -> Machine:
        settings_path = self.folder / "settings" / f"{name}.toml"
        process = ManagedProcess(name, module, [], self._log_path(name), {SETTINGS_PATH_VARIABLE: str(settings_path)})
        zone = ZONES[number % len(ZONES)]
        return Machine(name, self._network.take_address(), zone, process, settings_path, data_dir)

    def _receiver_entries(self) -> list[InstanceEntry]:
        names = [
            (service, number) for service in (PLAIN_SERVICE, STREAM_SERVICE) for number in range(RECEIVERS_PER_SERVICE)
        ]
        return [
            InstanceEntry(
                id=f"{service}-{number + 1}",
                backend=service,
                address=f"{self._network.take_address()}:{RECEIVER_PORT}",
                zone=ZONES[number % len(ZONES)],
                generation="v1",
                capacity=RECEIVER_SLOTS,
                state="ready",
                cold_left_ms=0.0,
            )
            for service, number in names
        ]

    def _receiver_process(self, entry: InstanceEntry) -> ManagedProcess:
        arguments = ["receiver", "--listen", entry["address"], "--id", entry["id"], "--slots", str(entry["capacity"])]
        if entry["backend"] == STREAM_SERVICE:
            arguments += ["--stream", "--chunk-size", str(TOKENS_PER_EVENT)]
        return ManagedProcess(entry["id"], STANDIN_MODULE, arguments, self._log_path(entry["id"]), {})

    def _platform_process(self) -> ManagedProcess:
        instances = self.folder / "instances.json"
        instances.write_text(json.dumps(self.receivers), encoding="utf-8")
        arguments = ["platform", "--listen", self.platform_address, "--instances", str(instances)]
        arguments += ["--lag-ms", str(PLATFORM_LAG_MS), "--rate", str(PLATFORM_CALLS_PER_S)]
        for sender in self.senders:
            arguments += ["--sender", sender.readiness_address]
        return ManagedProcess("platform", STANDIN_MODULE, arguments, self._log_path("platform"), {})

    def _log_path(self, name: str) -> Path:
        return self.folder / "logs" / f"{name}.log"
