"""Documentation of the keys: the example file, the reference page, the JSON schema and the output of `dewpin config`.

All of it is generated from the keys, so that it always agrees with the program.
"""

from typing import Any

from .keys import FORMAT_VERSION, KEYS, SECTIONS, Key
from .loading import Configuration
from .units import UNITS

SECRET_TEXT = "(set, not shown)"
EXAMPLE_WIDTH = 106


def example_file() -> str:
    """Return an operator's file with every key at its default, as written by `dewpin config init`."""
    lines = [
        "# Configuration of dewpin. Every key is set to its default; keys that you do not change can be omitted.",
        "# Flags and the platform's file and variables override this file. See also `dewpin config explain KEY`.",
        f"format = {FORMAT_VERSION}",
    ]
    current_section = None
    for key in KEYS.values():
        section, _, name = key.path.partition(".")
        if section != current_section:
            current_section = section
            lines += ["", f"[{section}]", f"# {SECTIONS[section]}"]
        lines += [f"# {line}" for line in _wrap(_key_comment(key), EXAMPLE_WIDTH)]
        lines.append(f"{name} = {_default_as_toml(key)}")
    lines += [
        "",
        "# Marks the end of the file. After a file with this table, one without it is rejected as incomplete.",
    ]
    return "\n".join([*lines, "[end]", ""])


def configuration_page() -> str:
    """Return the content of docs/configuration.md."""
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
                "| key | kind, range | default | platform's name | SIGHUP | description |",
                "| --- | --- | --- | --- | --- | --- |",
            ]
        platform_names = ", ".join(f"`{source}`" for source in (key.platform_name, key.variable) if source)
        description = key.description + (" Never shown." if key.is_secret else "")
        lines.append(
            f"| `{name}` | {_kind_and_range(key)} | `{_default_as_toml(key)}` | {platform_names} | "
            f"{_reload_effect(key)} | {description} |"
        )
    return "\n".join([*lines, ""])


def _page_introduction() -> list[str]:
    quantities = "; ".join(
        f"a {kind} in {', '.join(f'`{name}`' for name in unit.factors)}, as in {unit.examples}"
        for kind, unit in UNITS.items()
    )
    return [
        "# Configuration",
        "",
        "Generated from the keys in the program by `dewpin config schema --as page`; a test checks that it is current.",
        "",
        "The value of a key is taken from the first of these sources that sets it: a flag (`--set KEY=VALUE`), the",
        "platform's file (`LB_CONFIG`, or `--platform FILE`), the platform's variables, the operator's TOML file",
        "(`--config FILE` or `DEWPIN_CONFIG`), the default. `dewpin config show --origin` shows the source of each",
        "value; `dewpin config check` reports all errors with file, line and key, and exits with 2 if there are any.",
        "",
        f"Quantities require a unit: {quantities}.",
        "A number without a required unit is an error, and so is an unknown key.",
        "",
        f"`format = {FORMAT_VERSION}` at the top is the version of the file format; a file with a higher version is "
        "rejected as a whole.",
        "The table `[end]` marks the end of the file: after a file with it, one without it is rejected as",
        "incomplete.",
        "",
        "At SIGHUP all layers are read again (the flags stay the same), validated completely, and applied in one",
        "iteration of the event loop. An invalid file, or one that keeps changing while it is read, has no effect.",
        "Keys marked *next start* and the platform's `settings` take effect at the next start; the log lists them.",
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
            "format": {"type": "integer", "minimum": 1, "maximum": FORMAT_VERSION},
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
    """Return the properties of a key by name, with its current value and origin if a configuration is given."""
    properties = {
        "key": key.path,
        "about": key.description,
        "kind": key.kind_name,
        "range": key.range_text() or "any",
        "default": key.format(key.default),
        "platform's name": key.platform_name or "none",
        "variable": key.variable or "none",
        "at SIGHUP": _reload_effect(key),
    }
    if configuration:
        properties |= {"value": value_text(key, configuration), "origin": configuration.origins[key.path]}
    return properties


def value_rows(configuration: Configuration) -> list[tuple[str, str, str]]:
    """Return (path, formatted value, origin) of every key. Values of secrets are not included."""
    return [(key.path, value_text(key, configuration), configuration.origins[key.path]) for key in KEYS.values()]


def value_text(key: Key, configuration: Configuration) -> str:
    """Return the value of a key as written in the operator's file; for a secret, only whether it is set."""
    value = key.get(configuration.deployment)
    if key.is_secret:
        return SECRET_TEXT if value else ""
    return key.format(value)


def _key_comment(key: Key) -> str:
    parts = [key.description, f"({_kind_and_range(key)}; SIGHUP: {_reload_effect(key)})"]
    if key.platform_name:
        parts.append(f"Name in the platform's file: {key.platform_name}.")
    return " ".join(parts)


def _kind_and_range(key: Key) -> str:
    return ", ".join(filter(None, (key.kind_name, key.range_text())))


def _reload_effect(key: Key) -> str:
    return "swapped" if key.applies_at_reload else "next start"


def _default_as_toml(key: Key) -> str:
    return str(key.default) if key.value_type is int else f'"{key.format(key.default)}"'


def _wrap(text: str, width: int) -> list[str]:
    from textwrap import wrap

    return wrap(text, width)
