"""Construction of a `Configuration` from validated fields, with defaults for absent ones."""

from types import MappingProxyType

from ..validation import JsonObject, value_or
from .model import NON_IDEMPOTENT, Configuration, Engine, Limits, Route, Service, Share
from .schema import RawConfiguration, RawEngine, RawLimits, RawRoute, RawService

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


def build_configuration(validated: RawConfiguration, raw: JsonObject) -> Configuration:
    """Build a configuration from validated fields; `raw` is the operator's original object."""
    return Configuration(
        generation=int(validated["generation"]),
        routes=tuple(_build_route(route) for route in validated["routes"]),
        services=MappingProxyType({service["name"]: _build_service(service) for service in validated["services"]}),
        limits=_build_limits(value_or(validated.get("limits"), RawLimits())),
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
    """Return the shares that get requests; `split` takes precedence over `backend`."""
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
