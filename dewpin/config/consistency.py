"""Checks a configuration as a whole: required settings, and values that contradict each other.

A contradiction is an issue if the program would behave differently from what the file says, else a warning. This
module reads no files.
"""

from collections.abc import Iterator
from typing import Any

from . import units
from .errors import ConfigurationIssue, shorten
from .keys import KEYS
from .sections import Deployment

# Recognized values of enumerated settings. An unknown value is treated as the first one; an unknown key scope as the
# last one, the narrowest.
KNOWN_SETTING_VALUES = {
    "RegistryMode": ("pushed", "on_request"),
    "FamilyInfo.Decay": ("line", "halves"),
    "Services[].KeyScope": ("all", "zone", "cell"),
}
KEY_SCOPE_PATH = "Services[].KeyScope"
REQUIRED_SETTINGS = ("Services", "Allowed", "Rules", "FamilyInfo", "FleetSize", "Tick")
MAX_LOG_MEMORY_SHARE = 1.0 / 16.0
MAX_DEFAULT_IDLE_CONNECTIONS = 128
RESERVED_DESCRIPTORS = 64  # besides calls and idle connections; includes 8 for clients


def check_platform_settings(document: dict[str, Any], file: str) -> list[ConfigurationIssue]:
    """Return issues in the parts of the platform's file that no key covers: `settings` and `known`."""
    issues: list[ConfigurationIssue] = []

    def add(key: str, message: str) -> None:
        issues.append(ConfigurationIssue(file, key, message))

    decision_settings = document.get("settings")
    if not isinstance(decision_settings, dict):
        add("settings", f"expected an object, got {shorten(decision_settings)}")
        decision_settings = {name: {} for name in REQUIRED_SETTINGS}
    for name in REQUIRED_SETTINGS:
        if name not in decision_settings:
            add(f"settings.{name}", "the setting is missing")
    services = decision_settings.get("Services", [])
    if not isinstance(services, (list, dict)) or decision_settings.get("Services") == []:
        add("settings.Services", f"expected a list of queue classes, got {shorten(services)}")
        services = []
    for position, service in enumerate(services):
        if not isinstance(service, dict) or not isinstance(service.get("Name"), str):
            add(f"settings.Services[{position}].Name", "expected text")
    for name in ("Allowed", "Rules", "FamilyInfo"):
        if not isinstance(decision_settings.get(name, {}), dict):
            add(f"settings.{name}", f"expected an object, got {shorten(decision_settings[name])}")
    known = document.get("known", {})
    if not isinstance(known, dict):
        add("known", f"expected an object, got {shorten(known)}")
    elif not isinstance(known.get("members", []), list):
        add("known.members", f"expected a list, got {shorten(known['members'])}")
    return issues


def check_consistency(deployment: Deployment, origins: dict[str, str]) -> list[ConfigurationIssue]:
    """Return contradictions between sections, each reported at a key that the operator can change.

    Contradictions among values that the platform set are accepted, as only the platform knows the resources that it
    provides.
    """
    issues = []
    for path, other_path, message in _contradictions(deployment):
        operator_path = path if _is_set_by_operator(origins.get(path)) else other_path
        if _is_set_by_operator(origins.get(operator_path)):
            file, _, line = origins[operator_path].partition(":")
            line_number = int(line) if line.isdigit() else None
            source = "--set" if file == "flag" else file
            issues.append(ConfigurationIssue(source, operator_path, message, line_number))
    return issues


def _contradictions(deployment: Deployment) -> Iterator[tuple[str, str, str]]:
    """Yield (key, other key, message) for each pair of values that contradict each other."""
    limits, stop, clients, calls = deployment.limits, deployment.stop, deployment.client_connections, deployment.calls
    if stop.start_attempts_ms > stop.end_ms:
        yield (
            "stop.sends",
            "stop.ends",
            f"attempts would be started until {_format_duration(stop.start_attempts_ms)} after the signal, later than "
            f"the exit at stop.ends = {_format_duration(stop.end_ms)}; expected stop.sends <= stop.ends",
        )
    if clients.min_idle_ms > clients.max_idle_ms:
        yield (
            "door.rest",
            "door.idle",
            f"connections are closed after door.idle = {_format_duration(clients.max_idle_ms)}, which is less than "
            f"door.rest = {_format_duration(clients.min_idle_ms)}; expected door.rest <= door.idle",
        )
    if clients.max_connections + calls.max_idle_connections >= limits.max_descriptors:
        yield (
            "door.clients",
            "calls.idle",
            f"door.clients + calls.idle = {clients.max_connections + calls.max_idle_connections} use up "
            f"limits.sockets = {limits.max_descriptors}; expected a smaller sum",
        )
    if deployment.log.max_held_bytes > limits.memory_bytes * MAX_LOG_MEMORY_SHARE:
        yield (
            "log.held",
            "limits.memory",
            f"log.held = {_format_size(deployment.log.max_held_bytes)} is more than a sixteenth of limits.memory = "
            f"{_format_size(limits.memory_bytes)}",
        )
    if deployment.control.token and not deployment.control.socket_path:
        message = "a token is set but control.socket is not, so the token would never be used"
        yield "control.token", "control.socket", message
    if deployment.sender.listen_address == deployment.agent.address:
        yield (
            "sender.listen",
            "agent.address",
            "the sender and the agent have the same address; expected two different addresses",
        )


def find_warnings(deployment: Deployment, decision_settings: dict[str, Any]) -> list[str]:
    """Return a warning for each value that is allowed but probably unintended."""
    warnings = []
    for path in ("limits.memory", "limits.sockets", "limits.disk"):
        key = KEYS[path]
        minimum, value = key.limits.ge, key.get(deployment)
        if minimum is not None and value < minimum:
            warnings.append(
                f"{path} = {key.format(value)} is below the minimum of {key.format(minimum)} for which a sender is "
                "designed; the sender runs with reduced capacity"
            )
    warnings += _descriptor_warnings(deployment, decision_settings)
    for path, known_values in KNOWN_SETTING_VALUES.items():
        for value_path, value in _values_at(decision_settings, path):
            if value not in known_values:
                default = known_values[-1] if path == KEY_SCOPE_PATH else known_values[0]
                warnings.append(
                    f"settings.{value_path} = {shorten(value)} is not one of {', '.join(known_values)}; "
                    f"it is treated as {default}"
                )
    if deployment.log.level == "debug" and deployment.log.max_debug_lines_per_second == 0:
        warnings.append("log.level = debug logs several lines per message; log.debug_rate can limit them")
    return warnings


def _descriptor_warnings(deployment: Deployment, decision_settings: dict[str, Any]) -> list[str]:
    try:
        call_slots = int(decision_settings["FamilyInfo"]["CallSlots"])
    except (KeyError, TypeError, ValueError):
        call_slots = 0  # the dispatcher's own check reports it
    max_descriptors = deployment.limits.max_descriptors
    idle = deployment.calls.max_idle_connections or min(MAX_DEFAULT_IDLE_CONNECTIONS, max_descriptors // 8)
    if 2 * call_slots + idle + RESERVED_DESCRIPTORS <= max_descriptors:
        return []
    return [
        f"limits.sockets = {max_descriptors} leaves fewer than 8 descriptors for clients besides {call_slots} "
        "concurrent calls; 8 are reserved for clients"
    ]


def _values_at(decision_settings: dict[str, Any], path: str) -> list[tuple[str, Any]]:
    """Return (path, value) of every value that matches `path`; "Services[]" matches each service."""
    parent, _, name = path.rpartition(".")
    if parent == "Services[]":
        services = decision_settings.get("Services", ())
        candidates = [
            (f"Services[{position}].{name}", service)
            for position, service in enumerate(services if isinstance(services, list) else ())
        ]
    else:
        candidates = [(path, decision_settings.get(parent) if parent else decision_settings)]
    return [(value_path, table[name]) for value_path, table in candidates if isinstance(table, dict) and name in table]


def _is_set_by_operator(origin: str | None) -> bool:
    """Return whether a value with this origin was set by a flag or by the operator's file."""
    return origin is not None and (origin == "flag" or ".toml" in origin or ":" in origin)


def _format_duration(duration_ms: float) -> str:
    return units.format_quantity("duration", duration_ms)


def _format_size(size_bytes: float) -> str:
    return units.format_quantity("size", size_bytes)
