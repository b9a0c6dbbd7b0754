"""Checks of a configuration as a whole: parts that must be there, and values that contradict each other.

A contradiction that the program can live with is a warning; an issue is what would make it do something else than the
file says. No file is read here.
"""

from collections.abc import Iterator
from typing import Any

from . import units
from .errors import ConfigurationIssue, shorten
from .keys import KEYS
from .sections import Deployment

# Words of the settings that are told apart. Any other is taken as the first; of a scope as the last, the narrowest.
KNOWN_WORDS = {
    "RegistryMode": ("pushed", "on_request"),
    "FamilyInfo.Decay": ("line", "halves"),
    "Services[].KeyScope": ("all", "zone", "cell"),
}
SCOPE_PATH = "Services[].KeyScope"
REQUIRED_SETTINGS = ("Services", "Allowed", "Rules", "FamilyInfo", "FleetSize", "Tick")
MAX_LOG_MEMORY_SHARE = 1.0 / 16.0
MAX_DEFAULT_IDLE_CONNECTIONS = 128
OTHER_DESCRIPTORS = 64  # beside calls and idle connections, with 8 for clients


def check_platform_settings(document: dict[str, Any], file: str) -> list[ConfigurationIssue]:
    """Return issues with the parts of the platform's file that no key covers: `settings` and `known`."""
    issues: list[ConfigurationIssue] = []

    def add(key: str, message: str) -> None:
        issues.append(ConfigurationIssue(file, key, message))

    module = document.get("settings")
    if not isinstance(module, dict):
        add("settings", f"expected an object, got {shorten(module)}")
        module = {name: {} for name in REQUIRED_SETTINGS}
    for name in REQUIRED_SETTINGS:
        if name not in module:
            add(f"settings.{name}", "it is missing")
    services = module.get("Services", [])
    if not isinstance(services, (list, dict)) or module.get("Services") == []:
        add("settings.Services", f"expected a list of queue classes, got {shorten(services)}")
        services = []
    for position, service in enumerate(services):
        if not isinstance(service, dict) or not isinstance(service.get("Name"), str):
            add(f"settings.Services[{position}].Name", "expected text")
    for name in ("Allowed", "Rules", "FamilyInfo"):
        if not isinstance(module.get(name, {}), dict):
            add(f"settings.{name}", f"expected an object, got {shorten(module[name])}")
    known = document.get("known", {})
    if not isinstance(known, dict):
        add("known", f"expected an object, got {shorten(known)}")
    elif not isinstance(known.get("members", []), list):
        add("known.members", f"expected a list, got {shorten(known['members'])}")
    return issues


def check_consistency(deployment: Deployment, origins: dict[str, str]) -> list[ConfigurationIssue]:
    """Return issues between sections, each at the key that an operator can change.

    Contradictions within the platform's own values are accepted: the platform alone knows what it gives.
    """
    issues = []
    for path, other_path, message in _contradictions(deployment):
        changeable_path = path if _is_set_by_operator(origins.get(path)) else other_path
        if _is_set_by_operator(origins.get(changeable_path)):
            file, _, line = origins[changeable_path].partition(":")
            line_number = int(line) if line.isdigit() else None
            source = "--set" if file == "flag" else file
            issues.append(ConfigurationIssue(source, changeable_path, message, line_number))
    return issues


def _contradictions(deployment: Deployment) -> Iterator[tuple[str, str, str]]:
    """Yield (key, other key, message) of values that contradict each other."""
    limits, stop, clients, calls = deployment.limits, deployment.stop, deployment.client_connections, deployment.calls
    if stop.start_attempts_ms > stop.end_ms:
        yield (
            "stop.sends",
            "stop.ends",
            f"attempts would start for {_duration(stop.start_attempts_ms)}, after the end at stop.ends = "
            f"{_duration(stop.end_ms)}; expected stop.sends <= stop.ends",
        )
    if clients.min_idle_ms > clients.max_idle_ms:
        yield (
            "door.rest",
            "door.idle",
            f"a connection closes at door.idle = {_duration(clients.max_idle_ms)}, before door.rest = "
            f"{_duration(clients.min_idle_ms)}; expected door.rest <= door.idle",
        )
    if clients.max_connections + calls.max_idle_connections >= limits.max_descriptors:
        yield (
            "door.clients",
            "calls.idle",
            f"door.clients + calls.idle = {clients.max_connections + calls.max_idle_connections} leave none of "
            f"limits.sockets = {limits.max_descriptors}; expected their sum below it",
        )
    if deployment.log.max_held_bytes > limits.memory_bytes * MAX_LOG_MEMORY_SHARE:
        yield (
            "log.held",
            "limits.memory",
            f"log.held = {_size(deployment.log.max_held_bytes)} is over a sixteenth of limits.memory = "
            f"{_size(limits.memory_bytes)}",
        )
    if deployment.control.token and not deployment.control.socket_path:
        message = "a token is set and control.socket is not: nothing would ask for it"
        yield "control.token", "control.socket", message
    if deployment.sender.listen_address == deployment.agent.address:
        yield "sender.listen", "agent.address", "the sender would be its own agent; expected two addresses"


def find_warnings(deployment: Deployment, module: dict[str, Any]) -> list[str]:
    """Return sentences about what is allowed and most likely not meant."""
    warnings = []
    for path in ("limits.memory", "limits.sockets", "limits.disk"):
        key = KEYS[path]
        minimum, value = key.limits.ge, key.get(deployment)
        if minimum is not None and value < minimum:
            warnings.append(
                f"{path} = {key.format(value)} is under the {key.format(minimum)} that a sender is made for; it does "
                "what it can"
            )
    warnings += _descriptor_warnings(deployment, module)
    for path, words in KNOWN_WORDS.items():
        for place, word in _words_at(module, path):
            if word not in words:
                default = words[-1] if path == SCOPE_PATH else words[0]
                warnings.append(
                    f"settings.{place} = {shorten(word)} is not one of {', '.join(words)}; it is taken as {default}"
                )
    if deployment.log.level == "debug" and deployment.log.max_debug_lines_per_second == 0:
        warnings.append("log.level = debug logs several lines for each message; log.debug_rate limits them")
    return warnings


def _descriptor_warnings(deployment: Deployment, module: dict[str, Any]) -> list[str]:
    try:
        call_slots = int(module["FamilyInfo"]["CallSlots"])
    except (KeyError, TypeError, ValueError):
        call_slots = 0  # the decision module's own check names it
    max_descriptors = deployment.limits.max_descriptors
    idle = deployment.calls.max_idle_connections or min(MAX_DEFAULT_IDLE_CONNECTIONS, max_descriptors // 8)
    if 2 * call_slots + idle + OTHER_DESCRIPTORS <= max_descriptors:
        return []
    return [
        f"limits.sockets = {max_descriptors} leaves fewer than 8 descriptors for clients beside {call_slots} calls at "
        "once; 8 are kept for them"
    ]


def _words_at(module: dict[str, Any], path: str) -> list[tuple[str, Any]]:
    """Return (place, value) wherever the module's settings have a value at this path."""
    part, _, name = path.rpartition(".")
    if part == "Services[]":
        services = module.get("Services", ())
        rows = [
            (f"Services[{position}].{name}", service)
            for position, service in enumerate(services if isinstance(services, list) else ())
        ]
    else:
        rows = [(path, module.get(part) if part else module)]
    return [(place, table[name]) for place, table in rows if isinstance(table, dict) and name in table]


def _is_set_by_operator(origin: str | None) -> bool:
    """Return whether a flag or the operator's file set a value of this origin."""
    return origin is not None and (origin == "flag" or ".toml" in origin or ":" in origin)


def _duration(milliseconds: float) -> str:
    return units.format_quantity("duration", milliseconds)


def _size(size_bytes: float) -> str:
    return units.format_quantity("size", size_bytes)
