"""What no key can tell by itself: parts that must be there, and values that contradict each other.

It owns the faults and the notes about a configuration as a whole, over all layers. A contradiction that the program
can live with is a note; a fault is what would make it do something else than the file says. It reads no file.
"""
from typing import Any

from . import units
from .faults import Fault, shown
from .keys import KEYS, Deployment, written

# words of the settings that are told apart; any other is taken as the first, of a scope as the last, the narrowest
WORDS = {"RegistryMode": ("pushed", "on_request"), "FamilyInfo.Decay": ("line", "halves"),
         "Services[].KeyScope": ("all", "zone", "cell")}
PARTS = ("Services", "Allowed", "Rules", "FamilyInfo", "FleetSize", "Tick")     # of what the decision module is told


def missing(held: dict[str, Any], file: str) -> list[Fault]:
    """Faults of the platform's parts that no key covers: `settings` and `known`."""
    module, known, faults = held.get("settings"), held.get("known", {}), []
    if not isinstance(module, dict):
        faults.append(Fault(file, "settings", f"expected an object, got {shown(module)}"))
        module = {part: {} for part in PARTS}
    for part in PARTS:
        if part not in module:
            faults.append(Fault(file, f"settings.{part}", "it is missing"))
    services = module.get("Services", [])
    if not isinstance(services, (list, dict)) or module.get("Services") == []:
        faults.append(Fault(file, "settings.Services", f"expected a list of queue classes, got {shown(services)}"))
        services = []
    for at, one in enumerate(services):
        if not isinstance(one, dict) or not isinstance(one.get("Name"), str):
            faults.append(Fault(file, f"settings.Services[{at}].Name", "expected text"))
    for part in ("Allowed", "Rules", "FamilyInfo"):
        if not isinstance(module.get(part, {}), dict):
            faults.append(Fault(file, f"settings.{part}", f"expected an object, got {shown(module[part])}"))
    if not isinstance(known, dict):
        faults.append(Fault(file, "known", f"expected an object, got {shown(known)}"))
    elif not isinstance(known.get("members", []), list):
        faults.append(Fault(file, "known.members", f"expected a list, got {shown(known['members'])}"))
    return faults


def contradictions(deployment: Deployment, origins: dict[str, str]) -> list[Fault]:
    """Faults between sections, each told at the key that an operator can change."""
    faults = []

    def against(path: str, other: str, words: str) -> None:
        place = path if _operators(origins.get(path)) else other
        if _operators(origins.get(place)):      # the platform's own values are taken as they come
            file, _, line = origins[place].partition(":")
            faults.append(Fault("--set" if file == "flag" else file, place, words,
                                int(line) if line.isdigit() else None))

    d, write = deployment, units.write
    if d.stop.sends > d.stop.ends:
        against("stop.sends", "stop.ends", f"connects would start for {write('duration', d.stop.sends)}, after the "
                f"end at stop.ends = {write('duration', d.stop.ends)}; expected stop.sends <= stop.ends")
    if d.door.rest > d.door.idle:
        against("door.rest", "door.idle", f"a connection closes at door.idle = {write('duration', d.door.idle)}, "
                f"before door.rest = {write('duration', d.door.rest)}; expected door.rest <= door.idle")
    if d.door.clients + d.calls.idle >= d.limits.sockets:
        against("door.clients", "calls.idle", f"door.clients + calls.idle = {d.door.clients + d.calls.idle} leave none "
                f"of limits.sockets = {d.limits.sockets}; expected their sum below it")
    if d.log.held > d.limits.memory / 16.0:
        against("log.held", "limits.memory", f"log.held = {write('size', d.log.held)} is over a sixteenth of "
                f"limits.memory = {write('size', d.limits.memory)}")
    if d.control.token and not d.control.socket:
        against("control.token", "control.socket", "a token is set and control.socket is not: nothing would ask for "
                "it")
    if d.sender.listen == d.agent.address:
        against("sender.listen", "agent.address", "the sender would be its own agent; expected two addresses")
    return faults


def notes(deployment: Deployment, module: dict[str, Any]) -> list[str]:
    """What is allowed and most likely not meant."""
    found, d = [], deployment
    for path in ("limits.memory", "limits.sockets", "limits.disk"):
        least, held = KEYS[path].kind.__metadata__[0].ge, getattr(d.limits, path.partition(".")[2])
        if held < least:
            found.append(f"{path} = {written(KEYS[path], held)} is under the {written(KEYS[path], least)} that a "
                         "sender is made for; it does what it can")
    try:
        slots = int(module["FamilyInfo"]["CallSlots"])
    except (KeyError, TypeError, ValueError):
        slots = 0           # the module's own check names it
    if 2 * slots + (d.calls.idle or min(128, d.limits.sockets // 8)) + 64 > d.limits.sockets:
        found.append(f"limits.sockets = {d.limits.sockets} leaves fewer than 8 descriptors for clients beside "
                     f"{slots} calls at once; 8 are kept for them")
    for path, words in WORDS.items():
        for place, word in _told(module, path):
            if word not in words:
                found.append(f"settings.{place} = {shown(word)} is not one of {', '.join(words)}; it is taken as "
                             f"{words[0] if path != 'Services[].KeyScope' else words[-1]}")
    if d.log.level == "debug" and d.log.debug_rate == 0:
        found.append("log.level = debug tells several lines for each mail; log.debug_rate bounds them")
    return found


def _told(module: dict[str, Any], path: str) -> list[tuple[str, Any]]:
    """(place, value) wherever the module is told something at this path."""
    part, _, name = path.rpartition(".")
    if part == "Services[]":
        held = module.get("Services", ())
        rows = [(f"Services[{at}].{name}", one) for at, one in enumerate(held if isinstance(held, list) else ())]
    else:
        rows = [(path, module.get(part) if part else module)]
    return [(place, one[name]) for place, one in rows if isinstance(one, dict) and name in one]


def _operators(origin: str | None) -> bool:
    """Whether a flag or the operator's file set it."""
    return origin is not None and (origin == "flag" or ".toml" in origin or ":" in origin)
