"""Construction of `Settings` from validated fields, with defaults for absent ones."""

from collections.abc import Mapping
from dataclasses import fields
from pathlib import Path
from types import MappingProxyType
from typing import cast

from ..validation import value_or
from .model import Bounds, Cloud, FaultTolerance, MachineLimits, PortRange, Settings
from .schema import RawBounds, RawCloud, RawFaultTolerance, RawLimits, RawSettings

DEFAULT_HEARTBEAT_MS = 1_000.0
DEFAULT_LOG_LEVEL = "notice"
DEFAULT_CLOUD_RATE_PER_S = 10.0
DEFAULT_CLOUD_LAG_MS = 1_000.0


def build_settings(raw: RawSettings) -> Settings:
    """Build the settings from the validated fields of a file."""
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
    values = cast(Mapping[str, float], raw)
    return Bounds(**{bound.name: float(values[bound.name]) for bound in fields(Bounds) if bound.name in values})


def _build_cloud(raw: RawCloud | None) -> Cloud | None:
    if raw is None:
        return None
    return Cloud(
        address=raw["address"],
        rate_per_s=float(raw.get("rate_per_s", DEFAULT_CLOUD_RATE_PER_S)),
        max_lag_ms=float(raw.get("max_lag_ms", DEFAULT_CLOUD_LAG_MS)),
    )
