"""The whole tier on one machine: control servers, senders, the platform and receivers, each a process at its own
address."""

import json
import shutil
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType

from .addresses import (
    CONTROL_PORT,
    FIRST_INTERNAL_PORT,
    FRONT_PORT,
    LAST_INTERNAL_PORT,
    PLATFORM_PORT,
    READY_PORT,
    RECEIVER_PORT,
    LoopbackNetwork,
)
from .instances import InstanceEntry
from .operator import Operator
from .platform import is_ready
from .processes import ManagedProcess, end_all
from .sample_configuration import PLAIN_SERVICE, STREAM_SERVICE, TOKENS_PER_EVENT
from .settings_file import SettingsTable, SettingsValue, write_settings
from .system_view import SystemView, read_system_view
from .waiting import WaitFailed, wait_until

CONTROL_SERVER_COUNT = 3
SENDER_COUNT = 2
RECEIVERS_OF_SERVICE = 2
RECEIVER_SLOTS = 4
ZONES = ("zone-a", "zone-b", "zone-c")
REGION = "local"
READY_TIMEOUT_S = 20.0
SETTLED_TIMEOUT_S = 20.0
PLATFORM_CALLS_PER_S = 50.0
PLATFORM_LAG_MS = 100
BOOT_VARIABLE = "DEWPIN_BOOT"
STANDIN_MODULE = "dewpin.standin"

BOUNDS: SettingsTable = {
    "config_apply_ms": 2_000,
    "contact_ms": 3_000,
    "ack_ms": 4_000,
    "catch_up_s": 4.0,
    "drain_ms": 3_000,
    "grace_s": 8,
    "recovery_s": 12,
}


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine of the tier: its address and its process."""

    name: str
    ip: str
    zone: str
    process: ManagedProcess
    settings_path: Path
    data_dir: Path | None = None

    @property
    def control(self) -> str:
        """Return the address at which the operator calls a control server."""
        return f"{self.ip}:{CONTROL_PORT}"

    @property
    def front(self) -> str:
        """Return the address at which clients call a sender."""
        return f"{self.ip}:{FRONT_PORT}"

    @property
    def ready(self) -> str:
        """Return the address at which the platform asks a sender."""
        return f"{self.ip}:{READY_PORT}"

    def is_ready(self) -> bool:
        """Tell whether a sender calls itself ready; raises WaitFailed if its process has ended."""
        if not self.process.is_running:
            raise WaitFailed(f"{self.name} has ended:\n{self.process.last_lines()}")
        return is_ready(self.ready)


class LocalTier:
    """Everything in one folder; `stop` ends every process that was started. Usable as a context manager."""

    def __init__(self, folder: Path) -> None:
        """Choose addresses and write the settings files; nothing is started yet."""
        self.folder = folder
        self._network = LoopbackNetwork()
        self.platform_address = f"{self._network.take_address()}:{PLATFORM_PORT}"
        for name in ("settings", "data", "logs"):
            (folder / name).mkdir(parents=True, exist_ok=True)
        self.control_servers = [
            self._machine(f"control-server-{number + 1}", number) for number in range(CONTROL_SERVER_COUNT)
        ]
        self.senders = [self._machine(f"sender-{number + 1}", number) for number in range(SENDER_COUNT)]
        self.operator = Operator([control_server.control for control_server in self.control_servers])
        self.receivers = self._receiver_entries()
        self._receiver_processes = [self._receiver_process(entry) for entry in self.receivers]
        self._platform = self._platform_process()
        for machine in (*self.control_servers, *self.senders):
            self.write_settings(machine, first_start=True)

    @property
    def processes(self) -> list[ManagedProcess]:
        """Return all processes."""
        machines = [machine.process for machine in (*self.control_servers, *self.senders)]
        return [self._platform, *self._receiver_processes, *machines]

    def start(self) -> None:
        """Start every process; none has to wait for another."""
        for process in self.processes:
            process.start()

    def stop(self) -> None:
        """End every process that is still running and give the addresses back."""
        end_all(self.processes)
        self._network.close()

    def __enter__(self) -> "LocalTier":
        """Start every process; all are ended behind the block."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """End every process."""
        self.stop()

    def wait_until_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Return once every sender calls itself ready; raises WaitFailed, also for one that has ended."""
        for sender in self.senders:
            wait_until(sender.is_ready, timeout_s, f"{sender.name} is ready")

    def settled_view(self) -> SystemView | None:
        """Return the state that every running control server holds and takes part in; None while they differ or
        change it."""
        running = [control_server for control_server in self.control_servers if control_server.process.is_running]
        views = [read_system_view(control_server.ip) for control_server in running]
        first = views[0] if views else None
        if first is None or not first.settled or any(view != first for view in views):
            return None
        return first if all(first.has_member(control_server.name) for control_server in running) else None

    def wait_until_settled(self, timeout_s: float = SETTLED_TIMEOUT_S) -> SystemView:
        """Return the state once no running control server has anything to catch up with; raises WaitFailed."""
        return wait_until(self.settled_view, timeout_s, "the control servers' members and stores are settled")

    def wait_until_replaced(
        self, control_server: Machine, incarnation: str, timeout_s: float = SETTLED_TIMEOUT_S
    ) -> None:
        """Return once a control server takes part as another incarnation than the one named; raises WaitFailed."""

        def is_replaced() -> bool:
            view = self.settled_view()
            return view is not None and view.has_member(control_server.name, other_than=incarnation)

        wait_until(is_replaced, timeout_s, f"{control_server.name} takes part as another incarnation")

    def restart(self, control_servers: Sequence[Machine]) -> None:
        """Start control servers that have ended, on the data that they left."""
        for control_server in control_servers:
            self.write_settings(control_server, first_start=False)
            control_server.process.start()

    def wipe(self, control_server: Machine) -> None:
        """Remove the data of a control server that has ended."""
        assert control_server.data_dir is not None
        shutil.rmtree(control_server.data_dir)

    def receivers_of(self, service: str) -> list[InstanceEntry]:
        """Return the receivers of a service."""
        return [entry for entry in self.receivers if entry["backend"] == service]

    def logs(self) -> str:
        """Return the last lines of every log that is not empty."""
        said = [(process.name, process.last_lines()) for process in self.processes]
        return "\n".join(f"== {name}\n{lines}" for name, lines in said if lines)

    def _machine(self, name: str, number: int) -> Machine:
        is_control_server = name.startswith("control-server")
        settings_path = self.folder / "settings" / f"{name}.toml"
        process = ManagedProcess(
            name,
            "dewpin.controlplane" if is_control_server else "dewpin.dataplane",
            [],
            self.folder / "logs" / f"{name}.log",
            {BOOT_VARIABLE: str(settings_path)},
        )
        data_dir = self.folder / "data" / name if is_control_server else None
        zone = ZONES[number % len(ZONES)]
        return Machine(name, self._network.take_address(), zone, process, settings_path, data_dir)

    def write_settings(self, machine: Machine, first_start: bool) -> None:
        """Write a machine's settings; `first_start` is that of the whole tier, when all data folders are empty."""
        is_control_server = machine.data_dir is not None
        fields: dict[str, SettingsValue] = {
            "node_name": machine.name,
            "role": "control_server" if is_control_server else "sender",
            "machine_class": "store" if is_control_server else "front",
            "serves": ["store", "control"] if is_control_server else ["front"],
            "ip": machine.ip,
            "zone": machine.zone,
            "region": REGION,
            "port_range": [FIRST_INTERNAL_PORT, LAST_INTERNAL_PORT],
            "seeds": [control_server.control for control_server in self.control_servers],
            "bootstrap": first_start,
            "counts_for_quorum": is_control_server,
        }
        if is_control_server:
            fields["data_dir"] = str(machine.data_dir)
        listen = {"control": machine.control} if is_control_server else {"front": machine.front, "ready": machine.ready}
        cloud: SettingsTable = {
            "address": self.platform_address,
            "rate_per_s": PLATFORM_CALLS_PER_S,
            "max_lag_ms": PLATFORM_LAG_MS,
        }
        tables: dict[str, SettingsTable] = {
            "zones": dict.fromkeys(ZONES, REGION),
            "listen": listen,
            "fault_tolerance": {"machines": (CONTROL_SERVER_COUNT - 1) // 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "cloud": cloud,
        }
        write_settings(machine.settings_path, fields, tables)

    def _receiver_entries(self) -> list[InstanceEntry]:
        names = [
            (service, number) for service in (PLAIN_SERVICE, STREAM_SERVICE) for number in range(RECEIVERS_OF_SERVICE)
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
        return ManagedProcess(entry["id"], STANDIN_MODULE, arguments, self.folder / "logs" / f"{entry['id']}.log", {})

    def _platform_process(self) -> ManagedProcess:
        instances = self.folder / "instances.json"
        instances.write_text(json.dumps(self.receivers), encoding="utf-8")
        arguments = ["platform", "--listen", self.platform_address, "--instances", str(instances)]
        arguments += ["--lag-ms", str(PLATFORM_LAG_MS), "--rate", str(PLATFORM_CALLS_PER_S)]
        for sender in self.senders:
            arguments += ["--sender", sender.ready]
        return ManagedProcess("platform", STANDIN_MODULE, arguments, self.folder / "logs" / "platform.log", {})
