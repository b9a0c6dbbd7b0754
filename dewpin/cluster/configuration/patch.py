"""Changes of single items of a configuration: `upsert` adds items or replaces them by name, `delete` removes them.

A patch is checked in two steps: its own shape when it is read, and what it makes of the configuration that it builds
on, by the same rules as a configuration that is sent whole.
"""

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, NotRequired, TypedDict, cast

from ..validation import Fault, JsonObject, check_shape, value_or
from .reading import InvalidConfigurationError, parse_configuration, read_object


class NamedItem(TypedDict):
    """What each item of `upsert` has."""

    name: str


class RawPatch(TypedDict):
    """A patch as the operator writes it: by list of the configuration, items to put and names to remove."""

    generation: int
    upsert: NotRequired[dict[str, list[NamedItem]] | None]
    delete: NotRequired[dict[str, list[str]] | None]


Items = list[JsonObject]


@dataclass(frozen=True, slots=True)
class ConfigurationPatch:
    """A checked patch. Lists are named as in a configuration, such as `routes` and `services`."""

    generation: int
    upsert: Mapping[str, Sequence[JsonObject]]
    delete: Mapping[str, Sequence[str]]

    def apply(self, body: str) -> bytes:
        """Return the body of the configuration that this patch makes of the one in `body`.

        Raises InvalidConfigurationError with every fault of the result. Items that are replaced keep their position,
        new ones follow the others; deleting a name that is not there changes nothing.
        """
        configuration = cast(JsonObject, json.loads(body))
        for list_name in {**self.delete, **self.upsert}:
            kept = _without(_list_of(configuration, list_name), self.delete.get(list_name, ()))
            configuration[list_name] = _with(kept, self.upsert.get(list_name, ()))
        configuration["generation"] = self.generation
        patched = json.dumps(configuration, separators=(",", ":"), ensure_ascii=False).encode("utf-8")
        parse_configuration(patched)
        return patched


def parse_patch(body: bytes) -> ConfigurationPatch:
    """Read a patch and check its shape. Raises InvalidConfigurationError with every fault."""
    raw = read_object(body)
    faults = check_shape(raw, RawPatch)
    if not faults:
        faults = _check_names(cast(RawPatch, raw))
    if faults:
        raise InvalidConfigurationError(faults)
    checked = cast(RawPatch, raw)
    upsert = cast(dict[str, list[JsonObject]], value_or(checked.get("upsert"), {}))
    return ConfigurationPatch(checked["generation"], upsert, value_or(checked.get("delete"), {}))


def _check_names(patch: RawPatch) -> list[Fault]:
    """Check that no name comes twice in a list."""
    faults: list[Fault] = []
    for list_name, items in value_or(patch.get("upsert"), {}).items():
        seen: set[str] = set()
        for index, item in enumerate(items):
            if item["name"] in seen:
                faults.append(Fault(f"upsert.{list_name}[{index}]", f"names {item['name']!r} a second time"))
            seen.add(item["name"])
    return faults


def _list_of(configuration: JsonObject, list_name: str) -> Items:
    """Return a list of the configuration; empty if it has none. Raises InvalidConfigurationError if it is no list."""
    items = value_or(configuration.get(list_name), [])
    faults = check_shape(items, list[dict[str, object]], list_name)
    if faults:
        raise InvalidConfigurationError(faults)
    return cast(Items, items)


def _without(items: Items, names: Sequence[str]) -> Items:
    """Return the items whose names are not among `names`."""
    removed = frozenset(names)
    return [item for item in items if _name_of(item) not in removed]


def _with(items: Items, changed: Sequence[JsonObject]) -> Items:
    """Return the items with those of the same name replaced, and the new ones behind."""
    replacing = {_name_of(item): item for item in changed}
    merged = [replacing.pop(_name_of(item), item) for item in items]
    return [*merged, *replacing.values()]


def _name_of(item: JsonObject) -> Any:
    return item.get("name")
