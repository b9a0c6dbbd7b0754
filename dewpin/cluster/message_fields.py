"""Reading the fields of a message that was received: each has the type that it has to have, or MalformedMessageError is
raised. Unknown fields are ignored: a newer release may send them.

Every function here returns a field of the message and raises MalformedMessageError if it is missing or of another type.
"""

from __future__ import annotations

from typing import Any

from .errors import DewpinError

Message = dict[str, Any]


class MalformedMessageError(DewpinError, ValueError):
    """A field of a message is missing or of another type.

    `field`: its name.
    `expected`: what it has to be.
    """

    def __init__(self, field: str, expected: str) -> None:
        super().__init__(f"{field}: expected {expected}")
        self.field = field
        self.expected = expected


def text(message: Message, field: str) -> str:
    """Return a field that holds text."""
    value = message.get(field)
    if not isinstance(value, str):
        raise MalformedMessageError(field, "text")
    return value


def text_or_none(message: Message, field: str) -> str | None:
    """Return a field that holds text or null; it has to be there."""
    return None if _present(message, field) is None else text(message, field)


def integer(message: Message, field: str) -> int:
    """Return a field that holds a whole number."""
    value = message.get(field)
    if type(value) is not int:
        raise MalformedMessageError(field, "a whole number")
    return value


def boolean(message: Message, field: str) -> bool:
    """Return a field that holds true or false."""
    value = message.get(field)
    if not isinstance(value, bool):
        raise MalformedMessageError(field, "true or false")
    return value


def octets(message: Message, field: str) -> bytes:
    """Return the bytes that a field holds as latin-1 text."""
    try:
        return text(message, field).encode("latin-1")
    except UnicodeEncodeError:
        raise MalformedMessageError(field, "bytes as latin-1 text") from None


def object_or_none(message: Message, field: str) -> Message | None:
    """Return a field that holds an object or null; it has to be there."""
    value = _present(message, field)
    if value is not None and not isinstance(value, dict):
        raise MalformedMessageError(field, "an object or null")
    return value


def mapping(message: Message, field: str) -> Message:
    """Return a field that holds an object."""
    value = message.get(field)
    if not isinstance(value, dict):
        raise MalformedMessageError(field, "an object")
    return value


def objects(message: Message, field: str) -> list[Message]:
    """Return a field that holds a list of objects."""
    values = message.get(field)
    if not isinstance(values, list) or not all(isinstance(value, dict) for value in values):
        raise MalformedMessageError(field, "a list of objects")
    return values


def texts(message: Message, field: str) -> list[str]:
    """Return a field that holds a list of texts."""
    values = message.get(field)
    if not isinstance(values, list) or not all(isinstance(value, str) for value in values):
        raise MalformedMessageError(field, "a list of texts")
    return values


def ballot(message: Message, field: str) -> tuple[int, str]:
    """Return a field that holds the number of a proposal: a counter and its proposer."""
    match message.get(field):
        case [int(counter), str(proposer)] if not isinstance(counter, bool):
            return counter, proposer
        case _:
            raise MalformedMessageError(field, "a ballot")


def ballot_or_none(message: Message, field: str) -> tuple[int, str] | None:
    """Return a field that holds a ballot or null; it has to be there."""
    return None if _present(message, field) is None else ballot(message, field)


def check_type(message: Message, expected: str) -> None:
    """Raise MalformedMessageError unless the message is of this type."""
    if message.get("type") != expected:
        raise MalformedMessageError("type", expected)


def _present(message: Message, field: str) -> Any:
    if field not in message:
        raise MalformedMessageError(field, "a value or null")
    return message[field]
