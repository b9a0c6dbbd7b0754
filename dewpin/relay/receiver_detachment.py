"""Detaches receivers on behalf of operators.

A detachment is recorded first; the receiver then gets no new attempts until it is attached again.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING, Protocol

from ..log import events, log_event
from ..ports import Transport
from .endpoint_directory import EndpointDirectory


class DetachmentResult(Enum):
    """The result of detaching or attaching a receiver."""

    APPLIED = "applied"
    UNKNOWN_RECEIVER = "unknown receiver"
    """The receiver has never been in an endpoint list."""
    NOT_RECORDED = "not recorded"
    """The journal is full or cannot be written."""


if TYPE_CHECKING:  # creating a protocol class is expensive and would slow down each start

    class DetachmentRecords(Protocol):
        """Storage of detachments: the journal or the hand-over log."""

        def set_detached(self, receiver: bytes, is_detached: bool) -> bool:
            """Record a detachment or its end; return False if that is not possible."""


class ReceiverDetachment:
    """Detaches and attaches receivers; `records` returns the storage, `on_change` is called after each change."""

    def __init__(
        self,
        endpoints: EndpointDirectory,
        transport: Transport,
        records: Callable[[], DetachmentRecords],
        on_change: Callable[[], None],
    ) -> None:
        self._endpoints = endpoints
        self._transport = transport
        self._records = records
        self._on_change = on_change

    def detach(self, receiver_id: bytes) -> DetachmentResult:
        """Stop new attempts to this receiver, regardless of the endpoint list, until it is attached again."""
        if not self._endpoints.is_known(receiver_id):
            return DetachmentResult.UNKNOWN_RECEIVER
        if not self._records().set_detached(receiver_id, True):
            return DetachmentResult.NOT_RECORDED
        if receiver_id not in self._endpoints.detached_receivers:
            log_event(events.RECEIVER_DETACHED, receiver=receiver_id)
        if address := self._endpoints.detach(receiver_id):
            self._transport.cancel_unsent(address)
            self._transport.close_idle(address)
        self._on_change()
        return DetachmentResult.APPLIED

    def attach(self, receiver_id: bytes) -> DetachmentResult:
        """Apply the state of this receiver in the endpoint list again."""
        if not self._endpoints.is_known(receiver_id):
            return DetachmentResult.UNKNOWN_RECEIVER
        if not self._records().set_detached(receiver_id, False):
            return DetachmentResult.NOT_RECORDED
        if receiver_id in self._endpoints.detached_receivers:
            log_event(events.RECEIVER_ATTACHED, receiver=receiver_id)
            self._endpoints.attach(receiver_id)
        self._on_change()
        return DetachmentResult.APPLIED
