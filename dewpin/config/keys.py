"""Metadata of the keys in `sections`, for reading, validation and documentation."""

from collections.abc import Iterator
from typing import Any

import msgspec

from . import units
from .sections import Deployment

FORMAT_VERSION = 1  # of the operator's file; a file with a higher version requires a newer program


class Key(msgspec.Struct, frozen=True):
    """One configuration key.

    Attributes:
        path: section and name in the operator's file, such as "limits.memory".
        attribute_path: section and attribute in Deployment.
        annotation: type and limits, as msgspec validates them.
        description: purpose of the key.
        default: default value.
        unit: "duration", "size", "address", "hexadecimal" or "".
        applies_at_reload: whether a change takes effect at SIGHUP; otherwise at the next start.
        is_secret: whether the value must not be shown.
        platform_name: path in the platform's file, or "".
        variable: environment variable, or "".
    """

    path: str
    attribute_path: tuple[str, str]
    annotation: Any
    description: str
    default: Any
    unit: str
    applies_at_reload: bool
    is_secret: bool
    platform_name: str
    variable: str

    @property
    def value_type(self) -> Any:
        """The type of the value: str, int, float or a Literal."""
        return self.annotation.__origin__

    @property
    def limits(self) -> msgspec.Meta:
        """The limits that msgspec validates."""
        meta: msgspec.Meta = self.annotation.__metadata__[0]
        return meta

    @property
    def choices(self) -> tuple[str, ...]:
        """The allowed values of an enumerated key, or ()."""
        return getattr(self.value_type, "__args__", ()) if self.value_type not in (str, int, float) else ()

    @property
    def kind_name(self) -> str:
        """The name of the kind of value: "duration", "size", "whole number", "address", "hexadecimal" or "text"."""
        return self.unit or {int: "whole number", float: "number"}.get(self.value_type, "text")

    def get(self, deployment: Deployment) -> Any:
        """Return the key's value in a deployment."""
        section, attribute = self.attribute_path
        return getattr(getattr(deployment, section), attribute)

    def set(self, deployment: Deployment, value: Any) -> None:
        """Set the key's value in a deployment."""
        section, attribute = self.attribute_path
        setattr(getattr(deployment, section), attribute, value)

    def format(self, value: Any) -> str:
        """Return a value as written in the operator's file, without quotes."""
        return units.format_quantity(self.unit, value) if self.unit in units.UNITS else str(value)

    def range_text(self) -> str:
        """Return a description of the range with its unit, or "" if every value of the type is allowed."""
        limits, parts = self.limits, []
        if limits.ge is not None and not (limits.ge == 0 and limits.le is None):
            parts.append(f"at least {self._format_limit(limits.ge)}")
        if limits.le is not None:
            parts.append(f"at most {self._format_limit(limits.le)}")
        if limits.min_length:
            parts.append("not empty")
        if limits.max_length:
            parts.append(f"at most {limits.max_length} characters")
        if self.choices:
            parts.append("one of " + ", ".join(self.choices))
        return ", ".join(parts)

    def _format_limit(self, limit: float) -> str:
        return units.format_quantity(self.unit, limit) if self.unit in units.UNITS else f"{limit:.12g}"


def _all_keys() -> Iterator[Key]:
    for section in msgspec.structs.fields(Deployment):
        for field in msgspec.structs.fields(section.type):
            meta = field.type.__metadata__[0]
            path = f"{section.encode_name}.{field.encode_name}"
            attribute_path = (section.name, field.name)
            yield Key(path, attribute_path, field.type, meta.description, field.default, **meta.extra)


KEYS = {key.path: key for key in _all_keys()}
SECTIONS = {section.encode_name: section.type.__doc__ for section in msgspec.structs.fields(Deployment)}
