"""The validated configuration, as used by the rest of the program.

Times are in milliseconds where a name ends in `_ms`, in seconds where it ends in `_s`.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Literal

from ..validation import JsonObject

IDEMPOTENT: Literal["idempotent"] = "idempotent"
NON_IDEMPOTENT: Literal["non_idempotent"] = "non_idempotent"
STREAM: Literal["stream"] = "stream"


@dataclass(frozen=True, slots=True)
class Share:
    """The share of a route's requests that go to one service; weights are relative to each other."""

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
        """Return whether the responses of this route are event streams."""
        return self.kind == STREAM

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may be executed more than once; an unknown kind counts as not idempotent."""
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
    """A group of interchangeable receivers."""

    name: str
    health_path: str
    max_conns: int
    protocol: str
    tls: bool
    engine: Engine | None


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size of clients' requests, on the time for sending headers and on idle time."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@dataclass(frozen=True)
class Configuration:
    """A validated configuration; `raw` is the operator's original object, which can be read back unchanged."""

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
        """Return the route of `host` with the longest matching prefix of `path`; a port and a query are ignored."""
        routes = self._index.get(normal_host(host))
        return routes.longest_match(path.partition("?")[0]) if routes else None


class _HostRoutes:
    """The routes of one host, indexed by prefix."""

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
    """Return the value of a `Host` header in lower case and without its port."""
    host = host.strip().lower()
    if host.startswith("["):
        return host.partition("]")[0] + "]"
    return host.partition(":")[0]
