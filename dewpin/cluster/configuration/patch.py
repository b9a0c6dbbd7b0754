"""Changes to single items of a configuration: `upsert` adds items or replaces them by name, `delete` removes them.

A patch is validated in two steps: its own shape when it is parsed, and its result when it is applied, by the same rules
as a complete configuration.
"""

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, NotRequired, TypedDict, cast

from ..validation import Fault, JsonObject, check_shape, value_or
from .reading import InvalidConfigurationError, parse_configuration, read_object


class NamedItem(TypedDict):
    """The required field of each item of `upsert`."""

    name: str


class RawPatch(TypedDict):
    """A patch as the operator writes it: for each list of the configuration, items to upsert and names to delete."""

    generation: int
    upsert: NotRequired[dict[str, list[NamedItem]] | None]
    delete: NotRequired[dict[str, list[str]] | None]


Items = list[JsonObject]


@dataclass(frozen=True, slots=True)
class ConfigurationPatch:
    """A patch of valid shape. Lists are named as in a configuration, such as `routes` and `services`."""

    generation: int
    upsert: Mapping[str, Sequence[JsonObject]]
    delete: Mapping[str, Sequence[str]]

    def apply(self, body: str) -> bytes:
        """Return the body of the configuration that results from applying this patch to the one in `body`.

        Raises InvalidConfigurationError with every fault of the result. Replaced items keep their position and new ones
        are appended; deleting an unknown name has no effect.
        """
        configuration = cast(JsonObject, json.loads(body))
        for list_name in {**self.delete, **self.upsert}:
            remaining = _without(_list_of(configuration, list_name), self.delete.get(list_name, ()))
            configuration[list_name] = _with(remaining, self.upsert.get(list_name, ()))
        configuration["generation"] = self.generation
        patched = json.dumps(configuration, separators=(",", ":"), ensure_ascii=False).encode("utf-8")
        parse_configuration(patched)
        return patched


def parse_patch(body: bytes) -> ConfigurationPatch:
    """Parse a patch and validate its shape. Raises InvalidConfigurationError with every fault."""
    raw = read_object(body)
    faults = check_shape(raw, RawPatch)
    if not faults:
        faults = _check_names(cast(RawPatch, raw))
    if faults:
        raise InvalidConfigurationError(faults)
    valid_patch = cast(RawPatch, raw)
    upsert = cast(dict[str, list[JsonObject]], value_or(valid_patch.get("upsert"), {}))
    return ConfigurationPatch(valid_patch["generation"], upsert, value_or(valid_patch.get("delete"), {}))


def _check_names(patch: RawPatch) -> list[Fault]:
    """Check that the names in each list are unique."""
    faults: list[Fault] = []
    for list_name, items in value_or(patch.get("upsert"), {}).items():
        seen: set[str] = set()
        for index, item in enumerate(items):
            if item["name"] in seen:
                faults.append(Fault(f"upsert.{list_name}[{index}]", f"names {item['name']!r} a second time"))
            seen.add(item["name"])
    return faults


def _list_of(configuration: JsonObject, list_name: str) -> Items:
    """Return a list of the configuration, empty if absent. Raises InvalidConfigurationError if it is not a list of
    objects."""
    items = value_or(configuration.get(list_name), [])
    faults = check_shape(items, list[dict[str, object]], list_name)
    if faults:
        raise InvalidConfigurationError(faults)
    return cast(Items, items)


def _without(items: Items, names: Sequence[str]) -> Items:
    """Return the items whose names are not in `names`."""
    removed = frozenset(names)
    return [item for item in items if _name_of(item) not in removed]


def _with(items: Items, changed: Sequence[JsonObject]) -> Items:
    """Return the items with those in `changed` replaced by name, followed by the new ones."""
    replacements = {_name_of(item): item for item in changed}
    merged = [replacements.pop(_name_of(item), item) for item in items]
    return [*merged, *replacements.values()]


def _name_of(item: JsonObject) -> Any:
    return item.get("name")
