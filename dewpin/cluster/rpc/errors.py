"""The exception of a failed call and the error message."""

from __future__ import annotations

from typing import Any

from ..errors import DewpinError
from ..rpc_frames import Message

ERROR_FIELDS = frozenset({"type", "kind", "detail"})
"""The fields common to all error messages; any others are specific to the kind."""


class RpcError(DewpinError):
    """A call that got no reply, or whose reply is an error message.

    `kind`: the `kind` of the error message, or one of `timeout`, `connect`, `closed`, `too_large`.
    `detail`: text for logs; may be empty.
    `message`: the complete error message if one was received, else empty.
    """

    def __init__(self, kind: str, detail: str = "", message: Message | None = None) -> None:
        """In an RpcError raised by a handler, `message` may have additional fields for the error message."""
        super().__init__(f"{kind}: {detail}" if detail else kind)
        self.kind = kind
        self.detail = detail
        self.message = message or {}


def error_message(kind: str, detail: str = "", **fields: Any) -> Message:
    """Return the error message that raises `RpcError` at the caller."""
    return {"type": "error", "kind": kind, "detail": detail, **fields}
