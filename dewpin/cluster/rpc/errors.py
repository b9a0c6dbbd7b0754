"""The error of a call, and the message that carries it."""

from __future__ import annotations

from typing import Any

from ..errors import DewpinError
from ..rpc_frames import Message

ERROR_FIELDS = frozenset({"type", "kind", "detail"})
"""The fields that every error message has; those beyond belong to its kind."""


class RpcError(DewpinError):
    """A call got no reply, or an error message as its reply.

    `kind`: the `kind` of the error message, or one of `timeout`, `connect`, `closed`, `too_large`.
    `detail`: text for logs; may be empty.
    `message`: the whole error message, if one was received.
    """

    def __init__(self, kind: str, detail: str = "", message: Message | None = None) -> None:
        """`message` may also hold fields for the error message that a handler's RpcError becomes."""
        super().__init__(f"{kind}: {detail}" if detail else kind)
        self.kind = kind
        self.detail = detail
        self.message = message or {}


def error_message(kind: str, detail: str = "", **fields: Any) -> Message:
    """Return the reply that raises `RpcError` at the caller."""
    return {"type": "error", "kind": kind, "detail": detail, **fields}
