"""Estimates the memory of the values that a JSON text consists of, before it is parsed.

A short text may consist of many values: `[]` takes three bytes with its comma, and an empty list over sixty.
"""

VALUE_BYTES = 64
"""An element of an array or object: its reference, and a small value or empty array."""
NAME_BYTES = 64
"""The name of an object's member."""
OBJECT_BYTES = 240
BASE_BYTES = 2048
"""A text of any length: the parser's buffers."""
TEXT_COPIES = 2
"""Copies of the text: decoded, and the contents of its strings."""


def parsed_bytes(text: bytes) -> int:
    """Return the approximate memory for parsing `text`, in bytes; punctuation inside strings counts, too."""
    values = text.count(b",") + text.count(b"[") + text.count(b"{")
    names = text.count(b":")
    objects = text.count(b"{")
    copied = BASE_BYTES + TEXT_COPIES * len(text)
    return copied + VALUE_BYTES * values + NAME_BYTES * names + OBJECT_BYTES * objects
