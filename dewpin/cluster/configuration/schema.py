"""The fields of a configuration as the operator writes them; `check_shape` validates against these types."""

from typing import NotRequired, TypedDict


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
    """The field of a service that routes refer to."""

    name: str


class RawService(NamedService):
    """A service as the operator writes it."""

    health_path: NotRequired[str | None]
    max_conns: NotRequired[int | None]
    protocol: NotRequired[str | None]
    tls: NotRequired[bool | None]
    engine: NotRequired[RawEngine | None]


class RawLimits(TypedDict):
    """The limits on clients' requests, as the operator writes them."""

    max_header_bytes: NotRequired[int | None]
    max_body_bytes: NotRequired[int | None]
    header_timeout_ms: NotRequired[float | None]
    idle_timeout_ms: NotRequired[float | None]


class RawConfiguration(TypedDict):
    """A complete configuration as the operator writes it."""

    generation: int
    routes: list[RawRoute]
    services: list[RawService]
    limits: NotRequired[RawLimits | None]
