"""The configuration of the local tier: one route to a plain service and one to a stream service."""

from .operator_client import JsonObject

HOST = "tier.example"
PLAIN_PATH = "/lookup/"
STREAM_PATH = "/chat/"
PLAIN_SERVICE = "lookup"
STREAM_SERVICE = "chat"
TOKENS_PER_EVENT = 10


def sample_configuration(generation: int, plain_path: str = PLAIN_PATH) -> JsonObject:
    """Return a configuration; `plain_path` is the prefix of the plain service's route."""
    return {
        "generation": generation,
        "routes": [_plain_route(plain_path), _stream_route()],
        "services": [_plain_service(), _stream_service()],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 1_048_576,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
    }


def _plain_route(path: str) -> JsonObject:
    return {
        "name": PLAIN_SERVICE,
        "hostname": HOST,
        "path_prefix": path,
        "kind": "idempotent",
        "timeout_ms": 4_000,
        "target_ms": 1_000,
        "priority": 0,
        "backend": PLAIN_SERVICE,
        "retries": 2,
    }


def _stream_route() -> JsonObject:
    return {
        "name": STREAM_SERVICE,
        "hostname": HOST,
        "path_prefix": STREAM_PATH,
        "kind": "stream",
        "timeout_ms": 20_000,
        "target_ms": 1_000,
        "priority": 1,
        "backend": STREAM_SERVICE,
        "retries": 2,
        "retained": True,
        "retain_s": 300.0,
        "sticky": True,
    }


def _plain_service() -> JsonObject:
    return {"name": PLAIN_SERVICE, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": False}


def _stream_service() -> JsonObject:
    engine = {"capacity": 4, "kv_capacity": 100_000, "chunk_size": TOKENS_PER_EVENT, "models": [{"name": "m"}]}
    return {**_plain_service(), "name": STREAM_SERVICE, "engine": engine}
