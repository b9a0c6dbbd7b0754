"""The keys for people and programs: the example file, the page, the schema, one key explained, all values shown.

All of it is made of the keys alone, so that none of it can say anything else than the program does.
"""

from typing import Any

from .keys import FORMAT, KEYS, SECTIONS, Key
from .loading import Configuration
from .units import UNITS

SECRET_TEXT = "(set, not shown)"
EXAMPLE_WIDTH = 106


def example_file() -> str:
    """Return the operator's file with every key at its default: what `dewpin config init` writes."""
    lines = [
        "# dewpin's own file. Every key stands here at its default; leave out what you don't change.",
        "# Flags and the platform's file and variables outrank it. `dewpin config explain KEY` tells more.",
        f"format = {FORMAT}",
    ]
    current_section = None
    for key in KEYS.values():
        section, _, name = key.path.partition(".")
        if section != current_section:
            current_section = section
            lines += ["", f"[{section}]", f"# {SECTIONS[section]}"]
        lines += [f"# {line}" for line in _wrap(_facts(key), EXAMPLE_WIDTH)]
        lines.append(f"{name} = {_default_as_toml(key)}")
    lines += ["", "# Closes the file: once a file that had it was taken, one without it is taken for half written."]
    return "\n".join([*lines, "[end]", ""])


def configuration_page() -> str:
    """Return docs/configuration.md."""
    lines = [*_page_introduction()]
    current_section = None
    for key in KEYS.values():
        section, _, name = key.path.partition(".")
        if section != current_section:
            current_section = section
            lines += [
                "",
                f"## `[{section}]`",
                "",
                SECTIONS[section] or "",
                "",
                "| key | kind, range | default | platform's name | SIGHUP | what it is for |",
                "| --- | --- | --- | --- | --- | --- |",
            ]
        platform_names = ", ".join(f"`{one}`" for one in (key.platform_name, key.variable) if one)
        description = key.description + (" Never shown." if key.is_secret else "")
        lines.append(
            f"| `{name}` | {_kind_and_range(key)} | `{_default_as_toml(key)}` | {platform_names} | {_effect(key)} | "
            f"{description} |"
        )
    return "\n".join([*lines, ""])


def _page_introduction() -> list[str]:
    quantities = "; ".join(
        f"a {kind} one of {', '.join(f'`{name}`' for name in unit.factors)}, as in {unit.examples}"
        for kind, unit in UNITS.items()
    )
    return [
        "# Configuration",
        "",
        "Made of the program's own keys by `dewpin config schema --as page`; a test holds it current.",
        "",
        "One order for every key: a flag (`--set KEY=VALUE`), the platform's file (`LB_CONFIG`, or `--platform FILE`),",
        "the platform's variables, the operator's TOML file (`--config FILE` or `DEWPIN_CONFIG`), the default.",
        "`dewpin config show --origin` tells which of them each value came from, `dewpin config check` names every",
        "error at once with file, line and key, and ends with 2 if there is one.",
        "",
        f"Quantities carry their unit: {quantities}.",
        "A bare number where a unit is needed is an error, and so is a key that is not known.",
        "",
        f"`format = {FORMAT}` at the top says for which program the file is written; one of a higher format is "
        "rejected as a whole.",
        "A last table `[end]` closes the file: once a file with it was taken, one without it is taken for half",
        "written.",
        "",
        "At SIGHUP all layers are read anew (the flags stay as given), checked completely, and swapped in",
        "one turn of the loop; an invalid file, or one that still changes while it is read, changes nothing. Keys",
        "marked *next start* wait for it, as do the platform's `settings`; the log names what waits.",
        "",
    ]


def json_schema() -> dict[str, Any]:
    """Return the JSON schema (2020-12) of the operator's file."""
    sections: dict[str, Any] = {}
    for key in KEYS.values():
        section, _, name = key.path.partition(".")
        schema = _key_schema(key)
        table = sections.setdefault(
            section,
            {
                "type": "object",
                "description": SECTIONS[section],
                "properties": {},
                "additionalProperties": False,
            },
        )
        default = key.default if schema.get("type") == "integer" else key.format(key.default)
        table["properties"][name] = schema | {"description": key.description, "default": default}
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "dewpin",
        "type": "object",
        "properties": {
            "format": {"type": "integer", "minimum": 1, "maximum": FORMAT},
            **sections,
            "end": {"type": "object", "maxProperties": 0},
        },
        "additionalProperties": False,
    }


def _key_schema(key: Key) -> dict[str, Any]:
    if key.unit in UNITS:
        names = "|".join(UNITS[key.unit].factors)
        return {"type": "string", "pattern": rf"^\d+(\.\d+)?\s*({names})$"}
    if key.choices:
        return {"enum": list(key.choices)}
    limits = key.limits
    bounds = (
        ("minimum", limits.ge),
        ("maximum", limits.le),
        ("minLength", limits.min_length),
        ("maxLength", limits.max_length),
        ("pattern", limits.pattern),
    )
    value_type = "integer" if key.value_type is int else "string"
    return {"type": value_type} | {name: bound for name, bound in bounds if bound is not None}


def explain_key(key: Key, configuration: Configuration | None = None) -> dict[str, Any]:
    """Return what a key is, as a map of words, with its value in force where a configuration could be read."""
    facts = {
        "key": key.path,
        "about": key.description,
        "kind": key.kind_name,
        "range": key.range_text() or "any",
        "default": key.format(key.default),
        "platform's name": key.platform_name or "none",
        "variable": key.variable or "none",
        "at SIGHUP": _effect(key),
    }
    if configuration:
        facts |= {"value": value_text(key, configuration), "origin": configuration.origins[key.path]}
    return facts


def value_rows(configuration: Configuration) -> list[tuple[str, str, str]]:
    """Return (path, value as text, origin) of every key. A secret's value is never in it."""
    return [(key.path, value_text(key, configuration), configuration.origins[key.path]) for key in KEYS.values()]


def value_text(key: Key, configuration: Configuration) -> str:
    """Return a key's value as the operator's file would write it; of a secret only whether it is set."""
    value = key.get(configuration.deployment)
    if key.is_secret:
        return SECRET_TEXT if value else ""
    return key.format(value)


def _facts(key: Key) -> str:
    parts = [key.description, f"({_kind_and_range(key)}; SIGHUP: {_effect(key)})"]
    if key.platform_name:
        parts.append(f"The platform's file: {key.platform_name}.")
    return " ".join(parts)


def _kind_and_range(key: Key) -> str:
    return ", ".join(filter(None, (key.kind_name, key.range_text())))


def _effect(key: Key) -> str:
    return "swapped" if key.applies_at_reload else "next start"


def _default_as_toml(key: Key) -> str:
    return str(key.default) if key.value_type is int else f'"{key.format(key.default)}"'


def _wrap(text: str, width: int) -> list[str]:
    from textwrap import wrap

    return wrap(text, width)
