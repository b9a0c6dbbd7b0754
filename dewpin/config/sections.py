"""Defines all configuration keys by section: type, unit, range, default, description, and when a change takes effect.

Attribute names include the unit. Where the name in the operator's file differs, it is the `name` of the field. The
example file, the reference page, the schema and `config explain` show the descriptions and docstrings of this module.
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
    """Return the metadata of a key. msgspec validates `limits`; the other properties are stored with them.

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


def duration(description: str, **limits: Any) -> Meta:
    """Return the metadata of a key whose value is a duration in milliseconds."""
    return key(description, unit="duration", **({"ge": 0.0} | limits))


def size(description: str, **limits: Any) -> Meta:
    """Return the metadata of a key whose value is a size in bytes."""
    return key(description, unit="size", **({"ge": 0.0} | limits))


class Sender(msgspec.Struct, forbid_unknown_fields=True):
    """Name, listen address and persistent storage of this sender."""

    name: Annotated[
        str,
        key(
            "Name of the sender in logs and status; it should stay the same across restarts.",
            applies_at_reload=False,
            platform_name="name",
            variable="LB_NAME",
            min_length=1,
        ),
    ] = "dewpin"
    listen_address: Annotated[
        str,
        key(
            "host:port on which the sender accepts clients; with port 0 the system chooses the port.",
            applies_at_reload=False,
            platform_name="listen",
            variable="LB_LISTEN",
            unit="address",
        ),
    ] = field(name="listen", default="127.0.0.1:9000")
    state_folder: Annotated[
        str,
        key(
            "Persistent folder for the journal of pending messages. An empty folder is valid; a missing one is "
            "created.",
            applies_at_reload=False,
            platform_name="state",
            variable="LB_STATE",
            min_length=1,
        ),
    ] = field(name="state", default="state")
    seed: Annotated[
        str,
        key(
            "Seed of the decision module's random number generator, in hexadecimal.",
            applies_at_reload=False,
            platform_name="seed",
            unit="hexadecimal",
            pattern="^[0-9a-fA-F]{1,64}$",
        ),
    ] = "0"


class Platform(msgspec.Struct, forbid_unknown_fields=True):
    """The configuration file that the platform writes; it is only read."""

    file: Annotated[
        str,
        key(
            "Path of the platform's JSON file: `settings` of the decision module, `known` receivers, and values "
            "that take precedence over this file. It is read again at SIGHUP.",
            variable="LB_CONFIG",
        ),
    ] = ""


class Agent(msgspec.Struct, forbid_unknown_fields=True):
    """The platform's agent, which provides the receiver list and accepts notices."""

    address: Annotated[
        str,
        key(
            "host:port of the agent. After SIGHUP the watch and pending notices use the new address.",
            platform_name="discovery",
            variable="LB_DISCOVERY",
            unit="address",
        ),
    ] = "127.0.0.1:8500"


class Limits(msgspec.Struct, forbid_unknown_fields=True):
    """Resource limits of the process. At a limit, clients receive 503; the process does not crash."""

    memory_bytes: Annotated[
        float,
        size(
            "Maximum memory of the process; incomplete requests may use a quarter of it.",
            ge=32e6,
            platform_name="limits.memory_mb",
        ),
    ] = field(name="memory", default=192e6)
    max_descriptors: Annotated[
        int,
        key(
            "Maximum number of file descriptors, shared by clients, calls and files.",
            ge=128,
            le=1_048_576,
            platform_name="limits.sockets",
        ),
    ] = field(name="sockets", default=1024)
    disk_bytes: Annotated[
        float,
        size(
            "Maximum disk space for the journal and its compacted copy together.",
            ge=5e5,
            platform_name="limits.disk_mb",
        ),
    ] = field(name="disk", default=3e6)


class Stop(msgspec.Struct, forbid_unknown_fields=True):
    """Timing of the graceful shutdown after SIGTERM or SIGINT."""

    start_attempts_ms: Annotated[
        float,
        duration("Time after the signal during which attempts are still started.", platform_name="stop.sends_ms"),
    ] = field(name="sends", default=2000.0)
    end_ms: Annotated[
        float,
        duration(
            "Time after the signal at which the process exits; pending messages stay in the journal.",
            platform_name="stop.ends_ms",
        ),
    ] = field(name="ends", default=3500.0)


class ClientConnections(msgspec.Struct, forbid_unknown_fields=True):
    """Connections from clients."""

    request_timeout_ms: Annotated[
        float,
        duration(
            "Time for a request to arrive completely; for the first request, since the connection was opened.",
            ge=50.0,
            le=600_000.0,
        ),
    ] = field(name="patience", default=2700.0)
    min_idle_ms: Annotated[
        float,
        duration(
            "Idle time after which a connection may be closed to make room for a new one.",
            ge=50.0,
            le=600_000.0,
        ),
    ] = field(name="rest", default=2000.0)
    max_idle_ms: Annotated[
        float,
        duration("Idle time after which a connection is closed.", ge=50.0, le=3_600_000.0),
    ] = field(name="idle", default=10_000.0)
    max_connections: Annotated[
        int,
        key(
            "Maximum number of client connections; 0: as many as the descriptors allow, which is never exceeded.",
            ge=0,
            le=1_048_576,
        ),
    ] = field(name="clients", default=0)


class Calls(msgspec.Struct, forbid_unknown_fields=True):
    """Connections to receivers."""

    max_idle_connections: Annotated[
        int,
        key("Maximum number of idle connections; 0: an eighth of the descriptors, at most 128.", ge=0, le=65_536),
    ] = field(name="idle", default=0)


class Log(msgspec.Struct, forbid_unknown_fields=True):
    """Logging to standard error. It never blocks: lines that a full pipe does not accept are dropped and counted."""

    level: Annotated[
        Literal["debug", "info", "warning", "error"],
        key("Minimum level that is logged; at debug, every message can be traced by its id."),
    ] = "info"
    log_format: Annotated[
        Literal["lines", "json"],
        key("Human-readable lines, or one JSON object per line."),
    ] = field(name="format", default="lines")
    max_lines_per_second: Annotated[
        int,
        key(
            "Maximum lines per second for each event of level info and above; suppressed lines are counted and "
            "reported. 0: no limit.",
            ge=0,
            le=100_000,
        ),
    ] = field(name="rate", default=5)
    max_debug_lines_per_second: Annotated[
        int,
        key(
            "Maximum lines per second for each event of level debug; 0: no limit, as a trace with gaps is of little "
            "use.",
            ge=0,
            le=1_000_000,
        ),
    ] = field(name="debug_rate", default=0)
    max_held_bytes: Annotated[
        float,
        size("Maximum size of the buffer for a full pipe; beyond it, lines are dropped.", le=16e6),
    ] = field(name="held", default=65536.0)


class Control(msgspec.Struct, forbid_unknown_fields=True):
    """The local control socket that `dewpin status` queries. It is disabled unless a path is set."""

    socket_path: Annotated[
        str,
        key("Path of the Unix socket, created with mode 0600; empty: none.", max_length=100),
    ] = field(name="socket", default="")
    token: Annotated[
        str,
        key(
            "Token that callers must send, for a socket that other users can reach; empty: none is required.",
            is_secret=True,
            max_length=256,
        ),
    ] = ""
    listed_destinations: Annotated[
        int,
        key(
            "Maximum number of destinations in a response, those with the most waiting messages first.", ge=1, le=10_000
        ),
    ] = field(name="lines", default=50)


class Console(msgspec.Struct, forbid_unknown_fields=True):
    """HTTP server for operators: readiness, metrics, detaching and attaching receivers. Disabled without an address."""

    address: Annotated[
        str,
        key(
            "host:port that serves operators' requests, see docs/console.md; empty: none.",
            applies_at_reload=False,
            platform_name="console",
            variable="LB_CONSOLE",
            unit="address",
        ),
    ] = ""


class Deployment(msgspec.Struct, forbid_unknown_fields=True):
    """All keys of one sender by section."""

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
