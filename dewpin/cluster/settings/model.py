"""The validated settings of a process, as used by the rest of the program.

Durations are in milliseconds where a name ends in `_ms`, in seconds where it ends in `_s`.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from types import MappingProxyType

from ..placement import replica_count

FRONT = "front"
STORE = "store"
CONTROL = "control"
READY = "ready"

REQUIRED_LISTEN_ENTRIES: Mapping[str, tuple[str, ...]] = MappingProxyType(
    {FRONT: (FRONT, READY), CONTROL: (CONTROL,), STORE: ()}
)
"""The `listen` entries required for each service that a process runs."""


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """The resource limits of the process on its machine; 0 for a limit that the file omits."""

    cpu_share: float = 0.0
    cpus: float = 0.0
    memory_mb: float = 0.0
    max_fds: int = 0
    link_mbps: float = 0.0
    disk_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class FaultTolerance:
    """How many machines that count for the quorum, how many zones or how many regions may fail at the same time."""

    machines: int = 1
    zones: int = 0
    regions: int = 0

    @property
    def replica_count(self) -> int:
        """The number of replicas of each record that is needed to tolerate these failures."""
        return replica_count(self.machines, self.zones, self.regions)


@dataclass(frozen=True, slots=True)
class Bounds:
    """The time bounds that the system must meet, with defaults for those that the file omits.

    The tier uses these bounds:

    `config_apply_ms`: maximum time until an acknowledged configuration is in force everywhere.
    `downgrade_ms`: maximum time for which an older configuration may still be in force.
    `ack_ms`: time for which a change requested by the operator is retried.
    `contact_ms`: time after which a machine that receives nothing counts as disconnected.
    `catch_up_s`: time granted to a machine after its start or its reconnection.
    `recovery_s`: maximum time until turns stored before a failure are served again.
    `drain_ms`: time for which a draining receiver keeps running.
    `grace_s`: time between SIGTERM and SIGKILL.
    `finish_s`: time granted to programs after the end of traffic.
    `seed_lag_s`: maximum time by which lists of seeds may be outdated.
    `addr_reuse_s`: time after which the address of a receiver may be reassigned.
    `skew_ms`: maximum difference between the clocks of machines.
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
    """Address of the platform's list of receivers, rate limit for reading it and maximum age of its content."""

    address: str
    rate_per_s: float
    max_lag_ms: float


@dataclass(frozen=True, slots=True)
class PortRange:
    """The ports available for traffic between processes, both ends included."""

    first: int
    last: int

    def __contains__(self, port: int) -> bool:
        """Return whether `port` is in the range."""
        return self.first <= port <= self.last


@dataclass(frozen=True, slots=True)
class Settings:
    """The validated settings of a process."""

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
        """Return the region of a zone; a zone that the file does not list forms a region of its own."""
        return self.zones.get(zone, zone)
