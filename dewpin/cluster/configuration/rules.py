"""The rules between the fields of a configuration, beyond the shape of each."""

from typing import cast

from ..validation import Fault, JsonObject, check_shape, expected
from .model import normal_host
from .schema import NamedService, RawRoute, RawSplit


def check_rules(raw: JsonObject, shape_faults: list[Fault]) -> list[Fault]:
    """Check the rules between fields, on every part whose shape is sound."""
    known_services = _service_names(raw)
    faults: list[Fault] = []
    first_places: dict[tuple[str, str], str] = {}
    routes = raw.get("routes")
    for index, route in enumerate(routes if isinstance(routes, list) else []):
        place = f"routes[{index}]"
        if any(fault.is_within(place) for fault in shape_faults):
            continue
        sound_route = cast(RawRoute, route)
        faults += _check_route(sound_route, place, known_services)
        key = normal_host(sound_route["hostname"]), sound_route["path_prefix"]
        first = first_places.setdefault(key, place)
        if first != place:
            faults.append(Fault(place, f"has the same host and prefix as {first}"))
    return faults


def _service_names(raw: JsonObject) -> set[str] | None:
    """Return the names of all services, or None where one of them cannot be told."""
    services = raw.get("services")
    if check_shape(services, list[NamedService]):
        return None
    return {service["name"] for service in cast(list[NamedService], services)}


def _check_route(route: RawRoute, place: str, known_services: set[str] | None) -> list[Fault]:
    faults: list[Fault] = []
    timeout_ms = route.get("timeout_ms")
    if timeout_ms is not None and timeout_ms <= 0:
        faults.append(expected("more than 0", timeout_ms, f"{place}.timeout_ms"))
    backend, split = route.get("backend"), route.get("split")
    if backend is None and split is None:
        faults.append(Fault(place, "names no service: expected `backend` or `split`"))
    if backend is not None:
        faults += _check_service(backend, f"{place}.backend", known_services)
    if split is not None:
        faults += _check_split(split, f"{place}.split", known_services)
    return faults


def _check_split(split: list[RawSplit], place: str, known_services: set[str] | None) -> list[Fault]:
    faults: list[Fault] = []
    for index, share in enumerate(split):
        share_place = f"{place}[{index}]"
        faults += _check_service(share["backend"], f"{share_place}.backend", known_services)
        if share["weight"] < 0:
            faults.append(expected("0 or more", share["weight"], f"{share_place}.weight"))
    if not any(share["weight"] for share in split):
        faults.append(Fault(place, "the weights add up to 0"))
    return faults


def _check_service(name: str, place: str, known_services: set[str] | None) -> list[Fault]:
    if known_services is None or name in known_services:
        return []
    return [Fault(place, f"there is no service {name!r}")]
