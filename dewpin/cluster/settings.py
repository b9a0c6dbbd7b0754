"""The settings file of a process: where it runs, what it serves and what it has to keep to.

The file is TOML and its path is in the environment variable `DEWPIN_BOOT`. `load_settings` reads and checks it whole
and reports every fault at once, each with its key and what was expected there; unknown keys are ignored. A process
that cannot use its settings ends with exit code 2 and one line per fault (`settings_or_exit`). Durations are in
milliseconds where a name ends in `_ms`, in seconds where it ends in `_s`.
"""

import os
import socket
import sys
import tomllib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, fields
from pathlib import Path
from types import MappingProxyType
from typing import NoReturn, NotRequired, TypedDict, cast

from . import logs
from .checking import Fault, JsonObject, check_shape, expected, value_or
from .placement import replica_count

BOOT_VARIABLE = "DEWPIN_BOOT"
FAULTY_SETTINGS_EXIT_CODE = 2

FRONT = "front"
STORE = "store"
CONTROL = "control"
READY = "ready"

LISTEN_ADDRESSES_OF_SERVICE: Mapping[str, tuple[str, ...]] = MappingProxyType(
    {FRONT: (FRONT, READY), CONTROL: (CONTROL,), STORE: ()}
)
"""The `listen` entries that a process needs for each service that it serves."""

DEFAULT_HEARTBEAT_MS = 1_000.0
DEFAULT_LOG_LEVEL = "notice"
DEFAULT_CLOUD_RATE_PER_S = 10.0
DEFAULT_CLOUD_LAG_MS = 1_000.0

_HIGHEST_PORT = 65_535


class RawLimits(TypedDict):
    """What the machine grants the process, as the file has it."""

    cpu_share: NotRequired[float]
    cpus: NotRequired[float]
    memory_mb: NotRequired[float]
    max_fds: NotRequired[int]
    link_mbps: NotRequired[float]
    disk_mb: NotRequired[float]


class RawFaultTolerance(TypedDict):
    """What may be lost at once, as the file has it."""

    machines: NotRequired[int]
    zones: NotRequired[int]
    regions: NotRequired[int]


class RawBounds(TypedDict):
    """The figures of the rules in force, as the file has them."""

    seed_lag_s: NotRequired[float]
    addr_reuse_s: NotRequired[float]
    contact_ms: NotRequired[float]
    ack_ms: NotRequired[float]
    catch_up_s: NotRequired[float]
    drain_ms: NotRequired[float]
    grace_s: NotRequired[float]
    loss_slack_ms: NotRequired[float]
    config_apply_ms: NotRequired[float]
    downgrade_ms: NotRequired[float]
    skew_ms: NotRequired[float]
    recovery_s: NotRequired[float]
    pass_ms: NotRequired[float]
    again_s: NotRequired[float]
    finish_s: NotRequired[float]
    settle_ms: NotRequired[float]


class RawCloud(TypedDict):
    """The platform's list of receivers, as the file has it."""

    address: str
    rate_per_s: NotRequired[float]
    max_lag_ms: NotRequired[float]


class RawSettings(TypedDict):
    """The whole settings file."""

    node_name: str
    role: NotRequired[str]
    machine_class: NotRequired[str]
    serves: list[str]
    ip: str
    zone: str
    region: NotRequired[str]
    port_range: list[int]
    seeds: NotRequired[list[str]]
    bootstrap: NotRequired[bool]
    counts_for_quorum: NotRequired[bool]
    data_dir: NotRequired[str]
    heartbeat_ms: NotRequired[float]
    contracts: NotRequired[list[str]]
    log_level: NotRequired[str]
    zones: NotRequired[dict[str, str]]
    listen: NotRequired[dict[str, str]]
    limits: NotRequired[RawLimits]
    fault_tolerance: NotRequired[RawFaultTolerance]
    bounds: NotRequired[RawBounds]
    cloud: NotRequired[RawCloud]


class SettingsFault(ValueError):
    """One fault of a settings file; `key` names the field, `message` says what is wrong with it."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(str(fault))
        self.key = fault.place
        self.message = fault.message


class SettingsInvalid(ExceptionGroup[SettingsFault]):
    """Every fault of a settings file."""

    def __new__(cls, faults: Iterable[Fault]) -> "SettingsInvalid":
        """Group the faults; there has to be at least one."""
        return super().__new__(cls, "invalid settings", [SettingsFault(fault) for fault in faults])

    def lines(self) -> list[str]:
        """Return one line per fault, each with its key."""
        return [str(fault) for fault in self.exceptions]


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """What the machine grants the process; 0 stands for a figure that the file leaves out."""

    cpu_share: float = 0.0
    cpus: float = 0.0
    memory_mb: float = 0.0
    max_fds: int = 0
    link_mbps: float = 0.0
    disk_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class FaultTolerance:
    """How many machines that count for the quorum, or zones, or regions may be lost at once."""

    machines: int = 1
    zones: int = 0
    regions: int = 0

    @property
    def replica_count(self) -> int:
        """How many replicas of everything bear these losses."""
        return replica_count(self.machines, self.zones, self.regions)


@dataclass(frozen=True, slots=True)
class Bounds:
    """The figures of the rules in force, with the defaults for those that the file leaves out.

    The ones that the tier acts on: `config_apply_ms` until an acknowledged configuration is in force everywhere,
    `downgrade_ms` for which an older one may still be, `ack_ms` for which an order is repeated, `contact_ms` after
    which a machine that hears nothing is out of touch, `catch_up_s` granted to a machine after its start or return,
    `recovery_s` until turns of before a fault are served again, `drain_ms` for which a receiver that is leaving goes
    on, `grace_s` between SIGTERM and SIGKILL, `finish_s` for programs after the end of traffic, `seed_lag_s` by which
    lists of seeds are old, `addr_reuse_s` after which a receiver's address may be handed on, `skew_ms` between the
    clocks of machines.
    """

    seed_lag_s: float = 3.0
    addr_reuse_s: float = 2.0
    contact_ms: float = 3_000.0
    ack_ms: float = 4_000.0
    catch_up_s: float = 4.0
    drain_ms: float = 3_000.0
    grace_s: float = 8.0
    loss_slack_ms: float = 200.0
    config_apply_ms: float = 2_000.0
    downgrade_ms: float = 250.0
    skew_ms: float = 5_000.0
    recovery_s: float = 12.0
    pass_ms: float = 120.0
    again_s: float = 0.0
    finish_s: float = 10.0
    settle_ms: float = 1_000.0


@dataclass(frozen=True, slots=True)
class Cloud:
    """Where the platform lists its receivers, how often it may be asked and how old its answers may be."""

    address: str
    rate_per_s: float
    max_lag_ms: float


@dataclass(frozen=True, slots=True)
class PortRange:
    """The ports that are free for traffic between processes, both ends included."""

    first: int
    last: int

    def __contains__(self, port: int) -> bool:
        """Tell whether `port` lies in the range."""
        return self.first <= port <= self.last


@dataclass(frozen=True, slots=True)
class Settings:
    """The checked settings of a process."""

    node_name: str
    role: str
    machine_class: str
    serves: frozenset[str]
    ip: str
    zone: str
    region: str
    port_range: PortRange
    seeds: tuple[str, ...]
    bootstrap: bool
    counts_for_quorum: bool
    data_dir: Path | None
    heartbeat_ms: float
    contracts: frozenset[str]
    log_level: str
    zones: Mapping[str, str] = field(default_factory=dict)
    listen: Mapping[str, str] = field(default_factory=dict)
    limits: MachineLimits = MachineLimits()
    fault_tolerance: FaultTolerance = FaultTolerance()
    bounds: Bounds = Bounds()
    cloud: Cloud | None = None

    def region_of(self, zone: str) -> str:
        """Return the region of a zone; a zone that the file does not list is a region of its own."""
        return self.zones.get(zone, zone)


def load_settings(path: str | Path) -> Settings:
    """Read and check a settings file; raises SettingsInvalid with every fault, also when it cannot be read."""
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsInvalid([Fault("", f"cannot read {path}: {error.strerror}")]) from None
    except ValueError as error:
        raise SettingsInvalid([Fault("", f"cannot read {path}: {error}")]) from None
    return parse_settings(raw)


def parse_settings(raw: JsonObject) -> Settings:
    """Check the content of a settings file; raises SettingsInvalid with every fault."""
    faults = check_shape(raw, RawSettings)
    faults += _check_rules(raw, faults)
    if faults:
        raise SettingsInvalid(faults)
    return _build(cast(RawSettings, raw))


def settings_or_exit(environment: Mapping[str, str] = os.environ) -> Settings:
    """Load the settings named by the environment; on a fault, print one line per fault and exit with code 2."""
    path = environment.get(BOOT_VARIABLE)
    if not path:
        _exit_with([f"{BOOT_VARIABLE}: expected the path of a settings file, got nothing"])
    try:
        return load_settings(path)
    except SettingsInvalid as invalid:
        _exit_with([f"{path}: {line}" for line in invalid.lines()])


def _exit_with(lines: list[str]) -> NoReturn:
    print("\n".join(lines), file=sys.stderr)
    raise SystemExit(FAULTY_SETTINGS_EXIT_CODE)


def is_address(text: str) -> bool:
    """Tell whether `text` is an IPv4 address and a port, as `10.0.0.1:8080`."""
    host, colon, port = text.rpartition(":")
    return bool(colon) and is_ipv4(host) and port.isascii() and port.isdigit() and 0 < int(port) <= _HIGHEST_PORT


def is_ipv4(text: str) -> bool:
    """Tell whether `text` is an IPv4 address in its four-part form."""
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):
        return False
    return True


def _check_rules(raw: JsonObject, shape_faults: list[Fault]) -> list[Fault]:
    """Check the rules between fields, on every field whose shape is sound."""

    def is_sound(key: str) -> bool:
        return key in raw and not any(fault.is_within(key) for fault in shape_faults)

    faults: list[Fault] = []
    if is_sound("node_name") and not raw["node_name"]:
        faults.append(expected("a name", raw["node_name"], "node_name"))
    if is_sound("ip") and not is_ipv4(raw["ip"]):
        faults.append(expected("an IPv4 address", raw["ip"], "ip"))
    if is_sound("port_range"):
        faults += _check_port_range(raw["port_range"])
    if is_sound("log_level") and raw["log_level"] not in logs.LEVELS:
        faults.append(expected(f"one of {', '.join(logs.LEVELS)}", raw["log_level"], "log_level"))
    faults += _check_addresses(raw, is_sound("seeds"), is_sound("listen"), is_sound("cloud"))
    if is_sound("serves"):
        faults += _check_serves(raw)
    for table in ("bounds", "limits", "fault_tolerance"):
        if is_sound(table):
            faults += _check_not_negative(raw[table], table)
    return faults


def _check_port_range(ports: list[int]) -> list[Fault]:
    if len(ports) == 2 and 0 < ports[0] <= ports[1] <= _HIGHEST_PORT:
        return []
    return [expected(f"the first and the last port, from 1 to {_HIGHEST_PORT}", ports, "port_range")]


def _check_addresses(raw: JsonObject, check_seeds: bool, check_listen: bool, check_cloud: bool) -> list[Fault]:
    named: list[tuple[str, str]] = []
    if check_seeds:
        named += [(f"seeds[{index}]", seed) for index, seed in enumerate(raw["seeds"])]
    if check_listen:
        named += [(f"listen.{name}", address) for name, address in raw["listen"].items()]
    if check_cloud:
        named.append(("cloud.address", raw["cloud"]["address"]))
    return [expected("IP:PORT", address, place) for place, address in named if not is_address(address)]


def _check_serves(raw: JsonObject) -> list[Fault]:
    """Check that what the process serves has its addresses and its folder; unknown services are left alone."""
    listen = raw.get("listen")
    names = listen if isinstance(listen, dict) else {}
    faults = [
        Fault(f"listen.{name}", f"is missing: the process serves {service}")
        for service in raw["serves"]
        for name in LISTEN_ADDRESSES_OF_SERVICE.get(service, ())
        if name not in names
    ]
    if STORE in raw["serves"] and not raw.get("data_dir"):
        faults.append(Fault("data_dir", f"is missing: the process serves {STORE}"))
    return faults


def _check_not_negative(table: JsonObject, place: str) -> list[Fault]:
    known = {"bounds": Bounds, "limits": MachineLimits, "fault_tolerance": FaultTolerance}[place]
    return [
        expected("0 or more", table[one.name], f"{place}.{one.name}")
        for one in fields(known)
        if one.name in table and table[one.name] < 0
    ]


def _build(raw: RawSettings) -> Settings:
    zones = raw.get("zones", {})
    data_dir = raw.get("data_dir")
    first_port, last_port = raw["port_range"]
    return Settings(
        node_name=raw["node_name"],
        role=raw.get("role", ""),
        machine_class=raw.get("machine_class", ""),
        serves=frozenset(raw["serves"]),
        ip=raw["ip"],
        zone=raw["zone"],
        region=value_or(raw.get("region"), zones.get(raw["zone"], raw["zone"])),
        port_range=PortRange(int(first_port), int(last_port)),
        seeds=tuple(raw.get("seeds", ())),
        bootstrap=raw.get("bootstrap", False),
        counts_for_quorum=raw.get("counts_for_quorum", False),
        data_dir=Path(data_dir) if data_dir else None,
        heartbeat_ms=float(raw.get("heartbeat_ms", DEFAULT_HEARTBEAT_MS)),
        contracts=frozenset(raw.get("contracts", ())),
        log_level=raw.get("log_level", DEFAULT_LOG_LEVEL),
        zones=MappingProxyType(dict(zones)),
        listen=MappingProxyType(dict(raw.get("listen", {}))),
        limits=_build_limits(raw.get("limits", RawLimits())),
        fault_tolerance=_build_fault_tolerance(raw.get("fault_tolerance", RawFaultTolerance())),
        bounds=_build_bounds(raw.get("bounds", RawBounds())),
        cloud=_build_cloud(raw.get("cloud")),
    )


def _build_limits(raw: RawLimits) -> MachineLimits:
    defaults = MachineLimits()
    return MachineLimits(
        cpu_share=float(raw.get("cpu_share", defaults.cpu_share)),
        cpus=float(raw.get("cpus", defaults.cpus)),
        memory_mb=float(raw.get("memory_mb", defaults.memory_mb)),
        max_fds=int(raw.get("max_fds", defaults.max_fds)),
        link_mbps=float(raw.get("link_mbps", defaults.link_mbps)),
        disk_mb=float(raw.get("disk_mb", defaults.disk_mb)),
    )


def _build_fault_tolerance(raw: RawFaultTolerance) -> FaultTolerance:
    defaults = FaultTolerance()
    return FaultTolerance(
        machines=int(raw.get("machines", defaults.machines)),
        zones=int(raw.get("zones", defaults.zones)),
        regions=int(raw.get("regions", defaults.regions)),
    )


def _build_bounds(raw: RawBounds) -> Bounds:
    named = cast(Mapping[str, float], raw)
    return Bounds(**{one.name: float(named[one.name]) for one in fields(Bounds) if one.name in named})


def _build_cloud(raw: RawCloud | None) -> Cloud | None:
    if raw is None:
        return None
    return Cloud(
        address=raw["address"],
        rate_per_s=float(raw.get("rate_per_s", DEFAULT_CLOUD_RATE_PER_S)),
        max_lag_ms=float(raw.get("max_lag_ms", DEFAULT_CLOUD_LAG_MS)),
    )
