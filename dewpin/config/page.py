"""The keys as people and programs read them: the example file, the page, the schema, one key explained, all shown.

It owns these writings; each is made of the keys alone, so that none can say anything else than the program does.
"""
from typing import Any

from .keys import FORMAT, KEYS, SECTIONS, Key, choices, kind_name, limits, written
from .layers import Reading
from .units import KINDS

SECRET = "(set, not shown)"


def example() -> str:
    """The operator's file with every key at its default: what `dewpin config init` writes."""
    lines = ["# dewpin's own file. Every key stands here at its default; leave out what you don't change.",
             "# Flags and the platform's file and variables outrank it. `dewpin config explain KEY` tells more.",
             f"format = {FORMAT}"]
    section = None
    for key in KEYS.values():
        part, _, name = key.path.partition(".")
        if part != section:
            section = part
            lines += ["", f"[{part}]", f"# {SECTIONS[part]}"]
        lines += [f"# {line}" for line in _wrapped(_facts(key), 106)]
        lines.append(f"{name} = {_toml(key)}")
    lines += ["", "# Closes the file: once a file that had it was taken, one without it is taken for half written."]
    return "\n".join([*lines, "[end]", ""])


def page() -> str:
    """docs/configuration.md."""
    lines = [
        "# Configuration", "",
        "Made of the program's own keys by `dewpin config schema --as page`; a test holds it current.", "",
        "One order for every key: a flag (`--set KEY=VALUE`), the platform's file (`LB_CONFIG`, or `--platform FILE`),",
        "the platform's variables, the operator's TOML file (`--config FILE` or `DEWPIN_CONFIG`), the default.",
        "`dewpin config show --origin` tells which of them each value came from, `dewpin config check` names every",
        "fault at once with file, line and key, and ends with 2 if there is one.", "",
        "Quantities carry their unit: " + "; ".join(
            f"a {kind} one of {', '.join(f'`{unit}`' for unit in found)}, as in {sample}"
            for kind, (found, sample) in KINDS.items()) + ".",
        "A bare number where a unit is needed is a fault, and so is a key that is not known.", "",
        f"`format = {FORMAT}` at the top says for which program the file is written; one of a higher format is refused "
        "whole.",
        "A last table `[end]` closes the file: once a file with it was taken, one without it is taken for half",
        "written.", "", "At SIGHUP all layers are read anew (the flags stay as given), checked whole, and swapped in",
        "one turn of the loop; a faulty file, or one that still changes while it is read, changes nothing. Keys marked",
        "*next start* wait for it, as do the platform's `settings`; the log names what waits.", ""]
    section = None
    for key in KEYS.values():
        part, _, name = key.path.partition(".")
        if part != section:
            section = part
            lines += ["", f"## `[{part}]`", "", SECTIONS[part], "",
                      "| key | kind, range | default | platform's name | SIGHUP | what it is for |",
                      "| --- | --- | --- | --- | --- | --- |"]
        names = ", ".join(f"`{one}`" for one in (key.platform, key.variable) if one)
        kind = ", ".join(filter(None, (kind_name(key), limits(key))))
        about = key.about + (" Never shown." if key.secret else "")
        lines.append(f"| `{name}` | {kind} | `{_toml(key)}` | {names} | {_swap(key)} | {about} |")
    return "\n".join([*lines, ""])


def schema() -> dict[str, Any]:
    """JSON schema (2020-12) of the operator's file, as a map."""
    sections: dict[str, Any] = {}
    for key in KEYS.values():
        part, _, name = key.path.partition(".")
        meta = key.kind.__metadata__[0]
        one: dict[str, Any]
        if key.unit in KINDS:
            units, _ = KINDS[key.unit]
            one = {"type": "string", "pattern": rf"^\d+(\.\d+)?\s*({'|'.join(units)})$"}
        elif choices(key):
            one = {"enum": list(choices(key))}
        else:
            one = {"type": "integer" if key.kind.__origin__ is int else "string"}
            one |= {name: value for name, value in (
                ("minimum", meta.ge), ("maximum", meta.le), ("minLength", meta.min_length),
                ("maxLength", meta.max_length), ("pattern", meta.pattern)) if value is not None}
        held = sections.setdefault(part, {"type": "object", "description": SECTIONS[part], "properties": {},
                                          "additionalProperties": False})
        default = key.default if one.get("type") == "integer" else written(key, key.default)
        held["properties"][name] = one | {"description": key.about, "default": default}
    return {"$schema": "https://json-schema.org/draft/2020-12/schema", "title": "dewpin", "type": "object",
            "properties": {"format": {"type": "integer", "minimum": 1, "maximum": FORMAT}, **sections,
                           "end": {"type": "object", "maxProperties": 0}}, "additionalProperties": False}


def explain(key: Key, reading: Reading | None = None) -> dict[str, Any]:
    """What one key is, in facts: a map of words, with the value in force where a configuration could be read."""
    facts = {"key": key.path, "about": key.about, "kind": kind_name(key), "range": limits(key) or "any",
             "default": written(key, key.default), "platform's name": key.platform or "none",
             "variable": key.variable or "none", "at SIGHUP": _swap(key)}
    if reading:
        facts |= {"value": value(key, reading), "origin": reading.origins[key.path]}
    return facts


def show(reading: Reading) -> list[tuple[str, str, str]]:
    """Every key in force: [(path, value as written, origin)]. A secret's value is never in it."""
    return [(key.path, value(key, reading), reading.origins[key.path]) for key in KEYS.values()]


def value(key: Key, reading: Reading) -> str:
    """A key's value in force as the operator's file would write it; of a secret only whether it is set."""
    section, _, name = key.path.partition(".")
    held = getattr(getattr(reading.deployment, section), name)
    if key.secret:
        return SECRET if held else ""
    return written(key, held)


def _facts(key: Key) -> str:
    parts = [key.about, f"({', '.join(filter(None, (kind_name(key), limits(key))))}; SIGHUP: {_swap(key)})"]
    if key.platform:
        parts.append(f"The platform's file: {key.platform}.")
    return " ".join(parts)


def _swap(key: Key) -> str:
    return "swapped" if key.swaps else "next start"


def _toml(key: Key) -> str:
    return str(key.default) if key.kind.__origin__ is int else f'"{written(key, key.default)}"'


def _wrapped(words: str, width: int) -> list[str]:
    from textwrap import wrap
    return wrap(words, width)
