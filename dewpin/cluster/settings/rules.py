"""The rules between the fields of a settings file, beyond the shape of each."""

from dataclasses import fields

from .. import logs
from ..addresses import HIGHEST_PORT, is_address, is_ipv4
from ..validation import Fault, JsonObject, expected
from .model import LISTEN_ADDRESSES_OF_SERVICE, STORE, Bounds, FaultTolerance, MachineLimits


def check_rules(raw: JsonObject, shape_faults: list[Fault]) -> list[Fault]:
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
    if len(ports) == 2 and 0 < ports[0] <= ports[1] <= HIGHEST_PORT:
        return []
    return [expected(f"the first and the last port, from 1 to {HIGHEST_PORT}", ports, "port_range")]


def _check_addresses(raw: JsonObject, check_seeds: bool, check_listen: bool, check_cloud: bool) -> list[Fault]:
    named: list[tuple[str, str]] = []
    if check_seeds:
        named += [(f"seeds[{index}]", seed) for index, seed in enumerate(raw["seeds"])]
    if check_listen:
        named += [(f"listen.{name}", address) for name, address in raw["listen"].items()]
    if check_cloud:
        named.append(("cloud.address", raw["cloud"]["address"]))
    return [expected("IP:PORT", address, path) for path, address in named if not is_address(address)]


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


def _check_not_negative(table: JsonObject, path: str) -> list[Fault]:
    known = {"bounds": Bounds, "limits": MachineLimits, "fault_tolerance": FaultTolerance}[path]
    return [
        expected("0 or more", table[one.name], f"{path}.{one.name}")
        for one in fields(known)
        if one.name in table and table[one.name] < 0
    ]
