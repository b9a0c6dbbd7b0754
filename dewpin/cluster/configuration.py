"""The operator's configuration: routes, services and limits.

`parse_configuration` reads a request body and checks it whole; it reports every fault at once. What is rejected is
only what makes a configuration impossible to follow: a body that cannot be read, a route without a known service, two
routes at one host and prefix, weights that add up to nothing, a time-out of zero. Absent optional fields get defaults
and unknown fields are kept in `Configuration.raw`. Whether a generation may follow the current one is decided by the
register, not here. Times are in milliseconds where a name ends in `_ms`, in seconds where it ends in `_s`.
"""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any, Literal, NotRequired, TypedDict, cast

from .checking import Fault, JsonObject, check_shape, expected, value_or

IDEMPOTENT: Literal["idempotent"] = "idempotent"
NON_IDEMPOTENT: Literal["non_idempotent"] = "non_idempotent"
STREAM: Literal["stream"] = "stream"

DEFAULT_TIMEOUT_MS = 30_000.0
DEFAULT_PRIORITY = 5
DEFAULT_RETRIES = 1
DEFAULT_RETAIN_S = 60.0
DEFAULT_HEALTH_PATH = "/health"
DEFAULT_MAX_CONNECTIONS = 64
DEFAULT_PROTOCOL = "h1"
DEFAULT_CHUNK_SIZE = 1
DEFAULT_MAX_HEADER_BYTES = 16 * 1024
DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_HEADER_TIMEOUT_MS = 3_000.0
DEFAULT_IDLE_TIMEOUT_MS = 15_000.0


class RawSplit(TypedDict):
    """One share of a route's requests, as the operator writes it."""

    backend: str
    weight: float


class RawRoute(TypedDict):
    """A route as the operator writes it; it has either `backend` or `split`."""

    name: NotRequired[str | None]
    hostname: str
    path_prefix: str
    kind: NotRequired[str | None]
    timeout_ms: NotRequired[float | None]
    target_ms: NotRequired[float | None]
    priority: NotRequired[int | None]
    backend: NotRequired[str | None]
    split: NotRequired[list[RawSplit] | None]
    retries: NotRequired[int | None]
    retained: NotRequired[bool | None]
    retain_s: NotRequired[float | None]
    sticky: NotRequired[bool | None]
    resumable: NotRequired[bool | None]
    gap_aim_ms: NotRequired[float | None]


class RawModel(TypedDict):
    """A model that an engine serves."""

    name: str


class RawEngine(TypedDict):
    """The inference engine of a service's receivers, as the operator writes it."""

    capacity: NotRequired[int | None]
    kv_capacity: NotRequired[int | None]
    kv_bytes: NotRequired[float | None]
    link_mbps: NotRequired[float | None]
    chunk_size: NotRequired[int | None]
    models: NotRequired[list[RawModel] | None]


class NamedService(TypedDict):
    """What routes refer to of a service."""

    name: str


class RawService(NamedService):
    """A service as the operator writes it."""

    health_path: NotRequired[str | None]
    max_conns: NotRequired[int | None]
    protocol: NotRequired[str | None]
    tls: NotRequired[bool | None]
    engine: NotRequired[RawEngine | None]


class RawLimits(TypedDict):
    """The bounds on what clients may send, as the operator writes them."""

    max_header_bytes: NotRequired[int | None]
    max_body_bytes: NotRequired[int | None]
    header_timeout_ms: NotRequired[float | None]
    idle_timeout_ms: NotRequired[float | None]


class RawConfiguration(TypedDict):
    """A whole configuration as the operator writes it."""

    generation: int
    routes: list[RawRoute]
    services: list[RawService]
    limits: NotRequired[RawLimits | None]


class ConfigurationFault(ValueError):
    """One fault of a configuration; `place` names the field, `message` says what is wrong with it."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(str(fault))
        self.place = fault.place
        self.message = fault.message


class ConfigurationInvalid(ExceptionGroup[ConfigurationFault]):
    """Every fault of a rejected configuration."""

    def __new__(cls, faults: Iterable[Fault]) -> "ConfigurationInvalid":
        """Group the faults; there has to be at least one."""
        return super().__new__(cls, "invalid configuration", [ConfigurationFault(fault) for fault in faults])

    def lines(self) -> list[str]:
        """Return one line per fault, each with its place."""
        return [str(fault) for fault in self.exceptions]


@dataclass(frozen=True, slots=True)
class Share:
    """The share of a route's requests that goes to one service; weights are relative to each other."""

    backend: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How the requests of one host and path prefix are handled."""

    name: str
    hostname: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_ms: float
    priority: int
    split: tuple[Share, ...]
    retries: int
    retained: bool
    retain_s: float
    sticky: bool
    resumable: bool
    gap_aim_ms: float | None

    @property
    def is_stream(self) -> bool:
        """Tell whether the answers of this route are series of events."""
        return self.kind == STREAM

    @property
    def may_repeat(self) -> bool:
        """Tell whether a request may run more than once; an unknown kind counts as not repeatable."""
        return self.kind == IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Engine:
    """The inference engine of a service's receivers."""

    capacity: int
    kv_capacity: int
    kv_bytes: float
    link_mbps: float
    chunk_size: int
    models: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Service:
    """A group of receivers that do the same work."""

    name: str
    health_path: str
    max_conns: int
    protocol: str
    tls: bool
    engine: Engine | None


@dataclass(frozen=True, slots=True)
class Limits:
    """What a client may send, and how long it may take or sit idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@dataclass(frozen=True)
class Configuration:
    """A checked configuration; `raw` is the operator's own object, to be read back exactly."""

    generation: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: Limits
    raw: JsonObject
    _index: Mapping[str, "_HostRoutes"] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Build the index of routes by host."""
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(normal_host(route.hostname), []).append(route)
        index = {host: _HostRoutes(routes) for host, routes in by_host.items()}
        object.__setattr__(self, "_index", index)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path` at `host`; a port and a query are left out."""
        routes = self._index.get(normal_host(host))
        return routes.longest_match(path.partition("?")[0]) if routes else None


class _HostRoutes:
    """The routes of one host, by prefix."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_prefix = {route.path_prefix: route for route in routes}
        self._lengths = sorted({len(prefix) for prefix in self._by_prefix}, reverse=True)

    def longest_match(self, path: str) -> Route | None:
        for length in self._lengths:
            route = self._by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


def normal_host(host: str) -> str:
    """Return a `Host` value in lower case and without its port."""
    host = host.strip().lower()
    if host.startswith("["):
        return host.partition("]")[0] + "]"
    return host.partition(":")[0]


def parse_configuration(body: bytes) -> Configuration:
    """Read and check a configuration; raises ConfigurationInvalid with every fault."""
    raw = _read_object(body)
    faults = check_shape(raw, RawConfiguration)
    faults += _check_rules(raw, faults)
    if faults:
        raise ConfigurationInvalid(faults)
    return _build(cast(RawConfiguration, raw), raw)


def _read_object(body: bytes) -> JsonObject:
    try:
        value = json.loads(body, parse_constant=_reject_constant, object_pairs_hook=_unique_fields)
    except RecursionError:
        raise ConfigurationInvalid([Fault("", "is not readable: nested too deeply")]) from None
    except ValueError as error:
        raise ConfigurationInvalid([Fault("", f"is not readable: {error}")]) from None
    if not isinstance(value, dict):
        raise ConfigurationInvalid([expected("an object", value, "")])
    return value


def _reject_constant(name: str) -> float:
    raise ValueError(f"{name} is not a JSON number")


def _unique_fields(pairs: list[tuple[str, Any]]) -> JsonObject:
    """Build an object; a field that comes twice could not be read back, so the body is not readable whole."""
    built = dict(pairs)
    if len(built) < len(pairs):
        names = [name for name, _ in pairs]
        twice = sorted({name for name in names if names.count(name) > 1})
        raise ValueError(f"fields given twice in one object: {', '.join(twice)}")
    return built


def _check_rules(raw: JsonObject, shape_faults: list[Fault]) -> list[Fault]:
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


def _build(checked: RawConfiguration, raw: JsonObject) -> Configuration:
    return Configuration(
        generation=int(checked["generation"]),
        routes=tuple(_build_route(route) for route in checked["routes"]),
        services=MappingProxyType({service["name"]: _build_service(service) for service in checked["services"]}),
        limits=_build_limits(value_or(checked.get("limits"), RawLimits())),
        raw=raw,
    )


def _build_route(raw: RawRoute) -> Route:
    timeout_ms = float(value_or(raw.get("timeout_ms"), DEFAULT_TIMEOUT_MS))
    gap_aim_ms = raw.get("gap_aim_ms")
    return Route(
        name=value_or(raw.get("name"), ""),
        hostname=raw["hostname"],
        path_prefix=raw["path_prefix"],
        kind=value_or(raw.get("kind"), NON_IDEMPOTENT),
        timeout_ms=timeout_ms,
        target_ms=float(value_or(raw.get("target_ms"), timeout_ms)),
        priority=int(value_or(raw.get("priority"), DEFAULT_PRIORITY)),
        split=_build_split(raw),
        retries=int(value_or(raw.get("retries"), DEFAULT_RETRIES)),
        retained=value_or(raw.get("retained"), False),
        retain_s=float(value_or(raw.get("retain_s"), DEFAULT_RETAIN_S)),
        sticky=value_or(raw.get("sticky"), False),
        resumable=value_or(raw.get("resumable"), False),
        gap_aim_ms=None if gap_aim_ms is None else float(gap_aim_ms),
    )


def _build_split(raw: RawRoute) -> tuple[Share, ...]:
    """Return the shares that get requests; a `split` outranks a `backend`."""
    split = raw.get("split")
    if split is None:
        return (Share(value_or(raw.get("backend"), ""), 1.0),)
    return tuple(Share(share["backend"], float(share["weight"])) for share in split if share["weight"] > 0)


def _build_service(raw: RawService) -> Service:
    engine = raw.get("engine")
    return Service(
        name=raw["name"],
        health_path=value_or(raw.get("health_path"), DEFAULT_HEALTH_PATH),
        max_conns=int(value_or(raw.get("max_conns"), DEFAULT_MAX_CONNECTIONS)),
        protocol=value_or(raw.get("protocol"), DEFAULT_PROTOCOL),
        tls=value_or(raw.get("tls"), False),
        engine=None if engine is None else _build_engine(engine),
    )


def _build_engine(raw: RawEngine) -> Engine:
    return Engine(
        capacity=int(value_or(raw.get("capacity"), 0)),
        kv_capacity=int(value_or(raw.get("kv_capacity"), 0)),
        kv_bytes=float(value_or(raw.get("kv_bytes"), 0.0)),
        link_mbps=float(value_or(raw.get("link_mbps"), 0.0)),
        chunk_size=int(value_or(raw.get("chunk_size"), DEFAULT_CHUNK_SIZE)),
        models=tuple(model["name"] for model in value_or(raw.get("models"), [])),
    )


def _build_limits(raw: RawLimits) -> Limits:
    return Limits(
        max_header_bytes=int(value_or(raw.get("max_header_bytes"), DEFAULT_MAX_HEADER_BYTES)),
        max_body_bytes=int(value_or(raw.get("max_body_bytes"), DEFAULT_MAX_BODY_BYTES)),
        header_timeout_ms=float(value_or(raw.get("header_timeout_ms"), DEFAULT_HEADER_TIMEOUT_MS)),
        idle_timeout_ms=float(value_or(raw.get("idle_timeout_ms"), DEFAULT_IDLE_TIMEOUT_MS)),
    )
