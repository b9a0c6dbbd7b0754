"""Type-checked access to the fields of received messages.

Every accessor returns one field of a message and raises MalformedMessageError if it is missing or of the wrong type.
Unknown fields are ignored, since a newer release may send them.
"""

from __future__ import annotations

from typing import Any

from .errors import DewpinError

Message = dict[str, Any]


class MalformedMessageError(DewpinError, ValueError):
    """A field of a message is missing or of the wrong type.

    `field`: name of the field.
    `expected`: description of a valid value.
    """

    def __init__(self, field: str, expected: str) -> None:
        super().__init__(f"{field}: expected {expected}")
        self.field = field
        self.expected = expected


def text(message: Message, field: str) -> str:
    """Return a string field."""
    value = message.get(field)
    if not isinstance(value, str):
        raise MalformedMessageError(field, "text")
    return value


def text_or_none(message: Message, field: str) -> str | None:
    """Return a field that is a string or null; it has to be present."""
    return None if _required(message, field) is None else text(message, field)


def integer(message: Message, field: str) -> int:
    """Return an integer field."""
    value = message.get(field)
    if type(value) is not int:
        raise MalformedMessageError(field, "a whole number")
    return value


def boolean(message: Message, field: str) -> bool:
    """Return a boolean field."""
    value = message.get(field)
    if not isinstance(value, bool):
        raise MalformedMessageError(field, "true or false")
    return value


def octets(message: Message, field: str) -> bytes:
    """Return the bytes of a field that encodes them as a latin-1 string."""
    try:
        return text(message, field).encode("latin-1")
    except UnicodeEncodeError:
        raise MalformedMessageError(field, "bytes as latin-1 text") from None


def object_or_none(message: Message, field: str) -> Message | None:
    """Return a field that is an object or null; it has to be present."""
    value = _required(message, field)
    if value is not None and not isinstance(value, dict):
        raise MalformedMessageError(field, "an object or null")
    return value


def mapping(message: Message, field: str) -> Message:
    """Return an object field."""
    value = message.get(field)
    if not isinstance(value, dict):
        raise MalformedMessageError(field, "an object")
    return value


def objects(message: Message, field: str) -> list[Message]:
    """Return a field that is a list of objects."""
    values = message.get(field)
    if not isinstance(values, list) or not all(isinstance(value, dict) for value in values):
        raise MalformedMessageError(field, "a list of objects")
    return values


def texts(message: Message, field: str) -> list[str]:
    """Return a field that is a list of strings."""
    values = message.get(field)
    if not isinstance(values, list) or not all(isinstance(value, str) for value in values):
        raise MalformedMessageError(field, "a list of texts")
    return values


def ballot(message: Message, field: str) -> tuple[int, str]:
    """Return a ballot field: a counter and the id of the proposer."""
    match message.get(field):
        case [int(counter), str(proposer)] if not isinstance(counter, bool):
            return counter, proposer
        case _:
            raise MalformedMessageError(field, "a ballot")


def ballot_or_none(message: Message, field: str) -> tuple[int, str] | None:
    """Return a field that is a ballot or null; it has to be present."""
    return None if _required(message, field) is None else ballot(message, field)


def check_type(message: Message, expected: str) -> None:
    """Raise MalformedMessageError unless the message is of type `expected`."""
    if message.get("type") != expected:
        raise MalformedMessageError("type", expected)


def _required(message: Message, field: str) -> Any:
    if field not in message:
        raise MalformedMessageError(field, "a value or null")
    return message[field]
