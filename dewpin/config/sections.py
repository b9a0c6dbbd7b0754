"""Every key of a deployment, by section: type, unit, range, default, what it is for, and when a change takes effect.

A key's name in the operator's file is `name` of its field, where that differs from the attribute; the attribute has
the unit in its name. The descriptions here are what the example file, the page, the schema and `config explain` show.
"""

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, field


def key(
    description: str,
    *,
    unit: str = "",
    applies_at_reload: bool = True,
    is_secret: bool = False,
    platform_name: str = "",
    variable: str = "",
    **limits: Any,
) -> Meta:
    """Describe a key: `limits` are checked by msgspec, the rest is kept beside them.

    `unit`: "duration", "size", "address", "hexadecimal" or "" for plain values; `platform_name`: path in the platform's
    file; `variable`: environment variable.
    """
    extra = {
        "unit": unit,
        "applies_at_reload": applies_at_reload,
        "is_secret": is_secret,
        "platform_name": platform_name,
        "variable": variable,
    }
    return Meta(description=description, extra=extra, **limits)


def duration(description: str, **more: Any) -> Meta:
    """Describe a key whose value is a time in milliseconds."""
    return key(description, unit="duration", **({"ge": 0.0} | more))


def size(description: str, **more: Any) -> Meta:
    """Describe a key whose value is a number of bytes."""
    return key(description, unit="size", **({"ge": 0.0} | more))


class Sender(msgspec.Struct, forbid_unknown_fields=True):
    """Who this sender is, and where it keeps what lasts."""

    name: Annotated[
        str,
        key(
            "The sender's name in logs and status, the same after a restart.",
            applies_at_reload=False,
            platform_name="name",
            variable="LB_NAME",
            min_length=1,
        ),
    ] = "dewpin"
    listen_address: Annotated[
        str,
        key(
            "host:port where clients connect; port 0 lets the system choose.",
            applies_at_reload=False,
            platform_name="listen",
            variable="LB_LISTEN",
            unit="address",
        ),
    ] = field(name="listen", default="127.0.0.1:9000")
    state_folder: Annotated[
        str,
        key(
            "The folder that outlives the process: the journal of pending messages. An empty one is valid; one that "
            "is missing is made.",
            applies_at_reload=False,
            platform_name="state",
            variable="LB_STATE",
            min_length=1,
        ),
    ] = field(name="state", default="state")
    seed: Annotated[
        str,
        key(
            "Seed of the decision module's random numbers, in hexadecimal.",
            applies_at_reload=False,
            platform_name="seed",
            unit="hexadecimal",
            pattern="^[0-9a-fA-F]{1,64}$",
        ),
    ] = "0"


class Platform(msgspec.Struct, forbid_unknown_fields=True):
    """The platform's own file, which stays as the platform writes it."""

    file: Annotated[
        str,
        key(
            "Path of the platform's JSON file: `settings` for the decision module, `known` receivers, and values "
            "that take precedence over this file. It is read again at SIGHUP.",
            variable="LB_CONFIG",
        ),
    ] = ""


class Agent(msgspec.Struct, forbid_unknown_fields=True):
    """The platform's agent: the list of receivers comes from it, notices go to it."""

    address: Annotated[
        str,
        key(
            "host:port of the agent. After SIGHUP the watch and pending notices move to the new one.",
            platform_name="discovery",
            variable="LB_DISCOVERY",
            unit="address",
        ),
    ] = "127.0.0.1:8500"


class Limits(msgspec.Struct, forbid_unknown_fields=True):
    """What the process may use. Full means 503 to clients, never a crash."""

    memory_bytes: Annotated[
        float,
        size(
            "Memory that the process may use; a quarter of it is the limit for incomplete requests.",
            ge=32e6,
            platform_name="limits.memory_mb",
        ),
    ] = field(name="memory", default=192e6)
    max_descriptors: Annotated[
        int,
        key(
            "Descriptors that the process may hold, shared out among clients, calls and files.",
            ge=128,
            le=1_048_576,
            platform_name="limits.sockets",
        ),
    ] = field(name="sockets", default=1024)
    disk_bytes: Annotated[
        float,
        size("Space for the journal and its compacted copy together.", ge=5e5, platform_name="limits.disk_mb"),
    ] = field(name="disk", default=3e6)


class Stop(msgspec.Struct, forbid_unknown_fields=True):
    """How a graceful shutdown by SIGTERM or SIGINT goes."""

    start_attempts_ms: Annotated[
        float,
        duration("For so long after the signal attempts are still started.", platform_name="stop.sends_ms"),
    ] = field(name="sends", default=2000.0)
    end_ms: Annotated[
        float,
        duration(
            "So long after the signal the program ends; pending messages stay in the journal.",
            platform_name="stop.ends_ms",
        ),
    ] = field(name="ends", default=3500.0)


class ClientConnections(msgspec.Struct, forbid_unknown_fields=True):
    """Clients' connections."""

    request_timeout_ms: Annotated[
        float,
        duration("For a request to arrive completely; for the first one, from connecting on.", ge=50.0, le=600_000.0),
    ] = field(name="patience", default=2700.0)
    min_idle_ms: Annotated[
        float,
        duration(
            "After so long without a request a connection may be closed to make room for another.",
            ge=50.0,
            le=600_000.0,
        ),
    ] = field(name="rest", default=2000.0)
    max_idle_ms: Annotated[
        float,
        duration("After so long without a request a connection is closed.", ge=50.0, le=3_600_000.0),
    ] = field(name="idle", default=10_000.0)
    max_connections: Annotated[
        int,
        key("Connections of clients at most; 0: what the descriptors leave. Never more than that.", ge=0, le=1_048_576),
    ] = field(name="clients", default=0)


class Calls(msgspec.Struct, forbid_unknown_fields=True):
    """Connections to receivers."""

    max_idle_connections: Annotated[
        int,
        key("Idle connections kept at most; 0: an eighth of the descriptors, 128 at most.", ge=0, le=65_536),
    ] = field(name="idle", default=0)


class Log(msgspec.Struct, forbid_unknown_fields=True):
    """What is logged on standard error. It never blocks: a pipe that nobody reads loses lines, and they are counted."""

    level: Annotated[
        Literal["debug", "info", "warning", "error"],
        key("The least level that is logged; at debug every message can be followed by its id."),
    ] = "info"
    log_format: Annotated[
        Literal["lines", "json"],
        key("Lines for people, or one JSON object a line."),
    ] = field(name="format", default="lines")
    max_lines_per_second: Annotated[
        int,
        key(
            "Lines a second of each event of level info and above; what is left out is counted and reported. "
            "0: no limit.",
            ge=0,
            le=100_000,
        ),
    ] = field(name="rate", default=5)
    max_debug_lines_per_second: Annotated[
        int,
        key(
            "The same for each event of level debug; 0: no limit, as a trace with gaps is of little use.",
            ge=0,
            le=1_000_000,
        ),
    ] = field(name="debug_rate", default=0)
    max_held_bytes: Annotated[
        float,
        size("Bytes held for a pipe that is full, before lines are lost.", le=16e6),
    ] = field(name="held", default=65536.0)


class Control(msgspec.Struct, forbid_unknown_fields=True):
    """The local socket at which `dewpin status` asks. It is off unless a path is named."""

    socket_path: Annotated[
        str,
        key("Path of a Unix socket, made with mode 0600; empty: none.", max_length=100),
    ] = field(name="socket", default="")
    token: Annotated[
        str,
        key(
            "What a caller must send besides, where others may reach the socket; empty: nothing.",
            is_secret=True,
            max_length=256,
        ),
    ] = ""
    listed_destinations: Annotated[
        int,
        key("Destinations listed in one answer, those with most messages waiting first.", ge=1, le=10_000),
    ] = field(name="lines", default=50)


class Console(msgspec.Struct, forbid_unknown_fields=True):
    """The operators' address: readiness, metrics, receivers detached and attached. It is off unless one is named."""

    address: Annotated[
        str,
        key(
            "host:port where operators' calls are answered, docs/console.md; empty: none.",
            applies_at_reload=False,
            platform_name="console",
            variable="LB_CONSOLE",
            unit="address",
        ),
    ] = ""


class Deployment(msgspec.Struct, forbid_unknown_fields=True):
    """All keys of one sender, by section."""

    sender: Sender = field(default_factory=Sender)
    platform: Platform = field(default_factory=Platform)
    agent: Agent = field(default_factory=Agent)
    limits: Limits = field(default_factory=Limits)
    stop: Stop = field(default_factory=Stop)
    client_connections: ClientConnections = field(name="door", default_factory=ClientConnections)
    calls: Calls = field(default_factory=Calls)
    log: Log = field(default_factory=Log)
    control: Control = field(default_factory=Control)
    console: Console = field(default_factory=Console)
