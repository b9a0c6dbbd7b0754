"""The only reader of the environment and of the file that LB_CONFIG names.

It owns the checks, the defaults and the messages that name a faulty key; it is asked at the start and at each SIGHUP,
keeps nothing in between, and decides nothing: the module picks what it needs out of `module`, a plain map.
"""
import json
from dataclasses import dataclass

MB = 1_000_000.0


class Faulty(Exception):
    """One sentence that names the key at fault."""


@dataclass
class Deployment:
    name: str
    listen: tuple           # (host, port)
    agent: tuple            # (host, port) of the platform's agent
    state: str              # the folder that lasts
    seed: int
    memory: float           # bytes
    sockets: int            # descriptors
    disk: float             # bytes
    known: dict             # the list of receivers as last known, in the agent's form
    module: dict            # what the decision module is told
    stop_sends: float       # ms after a request to stop in which connects still start
    stop_ends: float        # ms after it at which the program ends


def address(text, key):
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise Faulty(f"{key}: expected host:port, got {text!r}")
    return host.strip("[]"), int(port)


def _number(held, name, default, least, key):
    value = held.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not value >= least:
        raise Faulty(f"{key}.{name}: expected a number of {least} or more, got {value!r}")
    return value


def _map(held, name, default=None):
    value = held.get(name, default)
    if not isinstance(value, dict):
        raise Faulty(f"LB_CONFIG {name}: expected an object, got {type(value).__name__}")
    return value


def read(environment):
    path = environment.get("LB_CONFIG")
    if not path:
        raise Faulty("LB_CONFIG: expected the path of a JSON file, it is not set")
    try:
        with open(path, "rb") as file:
            held = json.load(file)
    except (OSError, ValueError) as error:
        raise Faulty(f"LB_CONFIG: {path}: {error}") from None
    if not isinstance(held, dict):
        raise Faulty("LB_CONFIG: expected a JSON object")

    def told(variable, name):
        value = held.get(name) or environment.get(variable)     # the file first: it alone can change under SIGHUP
        if not isinstance(value, str) or not value:
            raise Faulty(f"{variable}: expected text, and the file has no {name!r} either")
        return value

    seed = held.get("seed", "0")
    try:
        seed = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError):
        raise Faulty(f"LB_CONFIG seed: expected a number in hexadecimal, got {seed!r}") from None
    limits, module = _map(held, "limits", {}), _map(held, "settings")
    known = _map(held, "known", {"revision": 0, "complete": True, "members": []})
    if not isinstance(known.get("members", []), list):
        raise Faulty("LB_CONFIG known.members: expected a list")
    for part in ("Services", "Allowed", "Rules", "FamilyInfo", "FleetSize", "Tick"):
        if part not in module:
            raise Faulty(f"LB_CONFIG settings.{part}: it is missing")
    for at, one in enumerate(module["Services"]):
        if not isinstance(one, dict) or not isinstance(one.get("Name"), str):
            raise Faulty(f"LB_CONFIG settings.Services[{at}].Name: expected text")
    stop = _map(held, "stop", {})
    return Deployment(
        name=told("LB_NAME", "name"),
        listen=address(told("LB_LISTEN", "listen"), "LB_LISTEN"),
        agent=address(told("LB_DISCOVERY", "discovery"), "LB_DISCOVERY"),
        state=told("LB_STATE", "state"),
        seed=seed & 0xFFFFFFFFFFFFFFFF,
        memory=_number(limits, "memory_mb", 192, 32, "LB_CONFIG limits") * MB,
        sockets=int(_number(limits, "sockets", 1024, 128, "LB_CONFIG limits")),
        disk=_number(limits, "disk_mb", 3, 0.5, "LB_CONFIG limits") * MB,
        known=known,
        module=module,
        stop_sends=_number(stop, "sends_ms", 2000.0, 0, "LB_CONFIG stop"),
        stop_ends=_number(stop, "ends_ms", 3500.0, 0, "LB_CONFIG stop"))
