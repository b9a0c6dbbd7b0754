"""The type of decoded JSON objects."""

from typing import Any

Json = dict[str, Any]
"""A JSON object."""
