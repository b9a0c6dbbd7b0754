"""Validation rules across the fields of a configuration, in addition to the shape of each."""

from typing import cast

from ..validation import Fault, JsonObject, check_shape, expected
from .model import normal_host
from .schema import NamedService, RawRoute, RawSplit


def check_rules(raw: JsonObject, shape_faults: list[Fault]) -> list[Fault]:
    """Check the rules across fields, on every part whose shape is valid."""
    known_services = _service_names(raw)
    faults: list[Fault] = []
    first_paths: dict[tuple[str, str], str] = {}
    routes = raw.get("routes")
    for index, route in enumerate(routes if isinstance(routes, list) else []):
        path = f"routes[{index}]"
        if any(fault.is_within(path) for fault in shape_faults):
            continue
        valid_route = cast(RawRoute, route)
        faults += _check_route(valid_route, path, known_services)
        key = normal_host(valid_route["hostname"]), valid_route["path_prefix"]
        first_path = first_paths.setdefault(key, path)
        if first_path != path:
            faults.append(Fault(path, f"has the same host and prefix as {first_path}"))
    return faults


def _service_names(raw: JsonObject) -> set[str] | None:
    """Return the names of all services, or None if any of them is invalid."""
    services = raw.get("services")
    if check_shape(services, list[NamedService]):
        return None
    return {service["name"] for service in cast(list[NamedService], services)}


def _check_route(route: RawRoute, path: str, known_services: set[str] | None) -> list[Fault]:
    faults: list[Fault] = []
    timeout_ms = route.get("timeout_ms")
    if timeout_ms is not None and timeout_ms <= 0:
        faults.append(expected("more than 0", timeout_ms, f"{path}.timeout_ms"))
    backend, split = route.get("backend"), route.get("split")
    if backend is None and split is None:
        faults.append(Fault(path, "names no service: expected `backend` or `split`"))
    if backend is not None:
        faults += _check_service(backend, f"{path}.backend", known_services)
    if split is not None:
        faults += _check_split(split, f"{path}.split", known_services)
    return faults


def _check_split(split: list[RawSplit], path: str, known_services: set[str] | None) -> list[Fault]:
    faults: list[Fault] = []
    for index, share in enumerate(split):
        share_path = f"{path}[{index}]"
        faults += _check_service(share["backend"], f"{share_path}.backend", known_services)
        if share["weight"] < 0:
            faults.append(expected("0 or more", share["weight"], f"{share_path}.weight"))
    if not any(share["weight"] for share in split):
        faults.append(Fault(path, "the weights add up to 0"))
    return faults


def _check_service(name: str, path: str, known_services: set[str] | None) -> list[Fault]:
    if known_services is None or name in known_services:
        return []
    return [Fault(path, f"there is no service {name!r}")]
