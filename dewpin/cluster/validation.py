"""Validation of untyped values against typed dictionaries.

`check_shape` validates a value read from JSON or TOML against a type annotation and reports every fault with its path,
such as `routes[3].split[0].weight`. It supports the annotations `str`, `bool`, `int`, `float`, `None`, unions,
`list[X]`, `dict[str, X]`, `object` and `TypedDict` classes. Fields that a typed dictionary does not declare are
ignored. An optional field that is `null` counts as absent if its annotation includes `None`. Code that rejects an input
raises an `InvalidInputError` with all faults.
"""

import math
import types
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import cache
from typing import Any, NotRequired, Required, Self, TypeVar, Union, get_args, get_origin, get_type_hints, is_typeddict

from .errors import DewpinError

JsonObject = dict[str, Any]
"""An object as returned by `json.loads` or `tomllib.loads`."""

T = TypeVar("T")

_MAX_SHOWN_CHARACTERS = 60
_SCALAR_DESCRIPTIONS = {
    str: "a string",
    bool: "true or false",
    int: "a whole number",
    float: "a finite number",
    type(None): "null",
}


@dataclass(frozen=True)
class Fault:
    """A validation error of an input.

    `path`: path of the field, such as `routes[3].split`; empty for the whole input.
    `message`: description of the error.
    """

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}" if self.path else self.message

    def is_within(self, path: str) -> bool:
        """Return whether the path of this fault is `path` or inside it."""
        return self.path == path or self.path.startswith((path + ".", path + "["))


class InputFaultError(DewpinError, ValueError):
    """A fault as an exception; attributes as in `Fault`."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(str(fault))
        self.path = fault.path
        self.message = fault.message


class InvalidInputError(DewpinError, ExceptionGroup[InputFaultError]):
    """An input was rejected because of one or more faults.

    Subclasses describe the kind of input in `summary`.
    """

    summary = "invalid input"

    def __new__(cls, faults: Iterable[Fault]) -> Self:
        """Group the faults, of which there must be at least one."""
        return super().__new__(cls, cls.summary, [InputFaultError(fault) for fault in faults])

    def lines(self) -> list[str]:
        """Return one line with path and message per fault."""
        return [str(fault) for fault in self.exceptions]


def check_shape(value: object, annotation: Any, path: str = "") -> list[Fault]:
    """Return every fault of `value` against `annotation`; if there is none, `value` may be cast to that type."""
    if annotation is object or annotation is Any:
        return []
    if is_typeddict(annotation):
        return _check_typed_dictionary(value, annotation, path)
    origin = get_origin(annotation)
    if origin in (Union, types.UnionType):
        return _check_union(value, annotation, path)
    if origin is list:
        return _check_list(value, annotation, path)
    if origin is dict:
        return _check_mapping(value, annotation, path)
    return [] if _is_scalar(value, annotation) else [expected(_SCALAR_DESCRIPTIONS[annotation], value, path)]


def expected(description: str, value: object, path: str) -> Fault:
    """Return the fault that `value` is not the expected `description`."""
    shown = repr(value)
    if len(shown) > _MAX_SHOWN_CHARACTERS:
        shown = shown[:_MAX_SHOWN_CHARACTERS] + "..."
    return Fault(path, f"expected {description}, got {shown}")


def join_path(path: str, field: str) -> str:
    """Return the path of `field` in the object at `path`."""
    return f"{path}.{field}" if path else field


def value_or(value: T | None, default: T) -> T:
    """Return `value`, or `default` if it is None."""
    return default if value is None else value


def _check_typed_dictionary(value: object, annotation: Any, path: str) -> list[Fault]:
    if not isinstance(value, Mapping):
        return [expected("an object", value, path)]
    faults: list[Fault] = []
    for field, (field_annotation, required) in _fields(annotation).items():
        field_path = join_path(path, field)
        if field in value:
            faults += check_shape(value[field], field_annotation, field_path)
        elif required:
            faults.append(Fault(field_path, "is missing"))
    return faults


@cache
def _fields(annotation: Any) -> dict[str, tuple[Any, bool]]:
    """Return the annotation of each field of a typed dictionary and whether the field is required."""
    hints = get_type_hints(annotation, include_extras=True)
    return {
        field: (
            get_args(hint)[0] if get_origin(hint) in (NotRequired, Required) else hint,
            field in annotation.__required_keys__,
        )
        for field, hint in hints.items()
    }


def _check_union(value: object, annotation: Any, path: str) -> list[Fault]:
    options = get_args(annotation)
    attempts = [check_shape(value, option, path) for option in options]
    if not all(attempts):
        return []
    named = [faults for option, faults in zip(options, attempts, strict=True) if option is not type(None)]
    return named[0]


def _check_list(value: object, annotation: Any, path: str) -> list[Fault]:
    if not isinstance(value, list):
        return [expected("a list", value, path)]
    (item_annotation,) = get_args(annotation)
    return [
        fault for index, item in enumerate(value) for fault in check_shape(item, item_annotation, f"{path}[{index}]")
    ]


def _check_mapping(value: object, annotation: Any, path: str) -> list[Fault]:
    if not isinstance(value, dict):
        return [expected("an object", value, path)]
    _, item_annotation = get_args(annotation)
    return [fault for key, item in value.items() for fault in check_shape(item, item_annotation, join_path(path, key))]


def _is_scalar(value: object, annotation: Any) -> bool:
    if annotation is type(None):
        return value is None
    if annotation is bool or annotation is str:
        return isinstance(value, annotation)
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    try:
        number = float(value)
    except OverflowError:
        return False
    return math.isfinite(number) and (annotation is float or number.is_integer())
