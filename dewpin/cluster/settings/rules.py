"""Validation rules across the fields of a settings file, in addition to the shape of each."""

from dataclasses import fields

from .. import logs
from ..addresses import MAX_PORT, is_address, is_ipv4
from ..validation import Fault, JsonObject, expected
from .model import REQUIRED_LISTEN_ENTRIES, STORE, Bounds, FaultTolerance, MachineLimits


def check_rules(raw: JsonObject, shape_faults: list[Fault]) -> list[Fault]:
    """Check the rules across fields, on every field whose shape is valid."""

    def is_valid(key: str) -> bool:
        return key in raw and not any(fault.is_within(key) for fault in shape_faults)

    faults: list[Fault] = []
    if is_valid("node_name") and not raw["node_name"]:
        faults.append(expected("a name", raw["node_name"], "node_name"))
    if is_valid("ip") and not is_ipv4(raw["ip"]):
        faults.append(expected("an IPv4 address", raw["ip"], "ip"))
    if is_valid("port_range"):
        faults += _check_port_range(raw["port_range"])
    if is_valid("log_level") and raw["log_level"] not in logs.LEVELS:
        faults.append(expected(f"one of {', '.join(logs.LEVELS)}", raw["log_level"], "log_level"))
    faults += _check_addresses(raw, is_valid("seeds"), is_valid("listen"), is_valid("cloud"))
    if is_valid("serves"):
        faults += _check_serves(raw)
    for table in ("bounds", "limits", "fault_tolerance"):
        if is_valid(table):
            faults += _check_not_negative(raw[table], table)
    return faults


def _check_port_range(ports: list[int]) -> list[Fault]:
    if len(ports) == 2 and 0 < ports[0] <= ports[1] <= MAX_PORT:
        return []
    return [expected(f"the first and the last port, from 1 to {MAX_PORT}", ports, "port_range")]


def _check_addresses(raw: JsonObject, check_seeds: bool, check_listen: bool, check_cloud: bool) -> list[Fault]:
    addresses: list[tuple[str, str]] = []
    if check_seeds:
        addresses += [(f"seeds[{index}]", seed) for index, seed in enumerate(raw["seeds"])]
    if check_listen:
        addresses += [(f"listen.{name}", address) for name, address in raw["listen"].items()]
    if check_cloud:
        addresses.append(("cloud.address", raw["cloud"]["address"]))
    return [expected("IP:PORT", address, path) for path, address in addresses if not is_address(address)]


def _check_serves(raw: JsonObject) -> list[Fault]:
    """Check that the services of the process have their listen addresses and data folder; ignore unknown services."""
    listen = raw.get("listen")
    entries = listen if isinstance(listen, dict) else {}
    faults = [
        Fault(f"listen.{name}", f"is missing: the process serves {service}")
        for service in raw["serves"]
        for name in REQUIRED_LISTEN_ENTRIES.get(service, ())
        if name not in entries
    ]
    if STORE in raw["serves"] and not raw.get("data_dir"):
        faults.append(Fault("data_dir", f"is missing: the process serves {STORE}"))
    return faults


def _check_not_negative(table: JsonObject, path: str) -> list[Fault]:
    table_class = {"bounds": Bounds, "limits": MachineLimits, "fault_tolerance": FaultTolerance}[path]
    return [
        expected("0 or more", table[field.name], f"{path}.{field.name}")
        for field in fields(table_class)
        if field.name in table and table[field.name] < 0
    ]
