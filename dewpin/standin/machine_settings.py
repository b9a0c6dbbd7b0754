"""The settings of the machines of the local tier."""

from collections.abc import Sequence

from .addresses import FIRST_INTERNAL_PORT, LAST_INTERNAL_PORT
from .machine import Machine
from .settings_file import SettingsTable, SettingsValue, write_settings

ZONES = ("zone-a", "zone-b", "zone-c")
REGION = "local"
PLATFORM_CALLS_PER_S = 50.0
PLATFORM_LAG_MS = 100

BOUNDS: SettingsTable = {
    "config_apply_ms": 2_000,
    "contact_ms": 3_000,
    "ack_ms": 4_000,
    "catch_up_s": 4.0,
    "drain_ms": 3_000,
    "grace_s": 8,
    "recovery_s": 12,
}


def write_machine_settings(
    machine: Machine,
    control_servers: Sequence[Machine],
    platform_address: str,
    bootstrap: bool,
    limits: SettingsTable | None = None,
) -> None:
    """Write the settings file of a machine.

    bootstrap: whether this is the first start of the whole tier, with empty data folders.
    limits: the resource limits of the process; None to omit the table.
    """
    seeds = [control_server.operator_address for control_server in control_servers]
    tables: dict[str, SettingsTable] = {
        "zones": dict.fromkeys(ZONES, REGION),
        "listen": _listen_addresses(machine),
        "fault_tolerance": {"machines": (len(control_servers) - 1) // 2, "zones": 0, "regions": 0},
        "bounds": BOUNDS,
        "cloud": {"address": platform_address, "rate_per_s": PLATFORM_CALLS_PER_S, "max_lag_ms": PLATFORM_LAG_MS},
    }
    if limits is not None:
        tables["limits"] = limits
    write_settings(machine.settings_path, _node_fields(machine, seeds, bootstrap), tables)


def _node_fields(machine: Machine, seeds: list[str], bootstrap: bool) -> dict[str, SettingsValue]:
    fields: dict[str, SettingsValue] = {
        "node_name": machine.name,
        "role": "control_server" if machine.is_control_server else "sender",
        "machine_class": "store" if machine.is_control_server else "front",
        "serves": ["store", "control"] if machine.is_control_server else ["front"],
        "ip": machine.ip,
        "zone": machine.zone,
        "region": REGION,
        "port_range": [FIRST_INTERNAL_PORT, LAST_INTERNAL_PORT],
        "seeds": seeds,
        "bootstrap": bootstrap,
        "counts_for_quorum": machine.is_control_server,
    }
    if machine.is_control_server:
        fields["data_dir"] = str(machine.data_dir)
    return fields


def _listen_addresses(machine: Machine) -> SettingsTable:
    if machine.is_control_server:
        return {"control": machine.operator_address}
    return {"front": machine.client_address, "ready": machine.readiness_address}
