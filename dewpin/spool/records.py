"""The kinds of records in the journal, and the stored state of a message."""

from enum import Enum
from typing import Any

import msgspec


class RecordKind(bytes, Enum):
    """The kinds of records in the journal and in the hand-over log. The value is the byte on disk."""

    ACCEPTED = b"T"
    ATTEMPT_STARTED = b"C"
    ATTEMPT_NOT_EXECUTED = b"N"
    GIVEN_UP = b"G"
    FINISHED = b"E"
    ATTEMPT_SUMMARY = b"S"
    """The attempts of a message before a compaction."""
    RECEIVER_DETACHED = b"D"
    RECEIVER_ATTACHED = b"A"
    ATTEMPT_FINISHED = b"H"
    """Only in a hand-over log."""
    DESCRIPTOR_COUNT = b"K"
    """Only in a hand-over log: number of descriptors that its writer still holds."""
    HANDOVER_CONSUMED = b"F"
    """Number of bytes of the previous process's hand-over log that the owner of the journal has read."""


class Attempt(msgspec.Struct, frozen=True):
    """An attempt to deliver a message: the receiver's id, and when its first byte was sent (Unix ms)."""

    receiver: bytes
    sent_at_ms: float


class PendingNotice(msgspec.Struct, frozen=True):
    """The unacknowledged notice to the platform about a message that was given up.

    `is_deferred`: whether the client may submit the message again after `retry_after_ms`; otherwise it has bounced."""

    is_deferred: bool
    retry_after_ms: float


class MessageRecord:
    """The stored state of a message from its acceptance to its end. Text fields contain the bytes as received.

    Times are Unix ms. `attempts`: number of attempts, including one in flight. `possibly_executed`: the first attempt
    that its receiver may have executed, except one in flight. `pending_notice`: set from giving up until the notice is
    acknowledged. `stored_bytes`: maximum size of the message in a compacted journal. `message`: the dispatcher's object
    for the same message."""

    __slots__ = (
        "serial",
        "message_id",
        "queue_class",
        "account",
        "ordering_key",
        "destination",
        "idempotency_key",
        "body",
        "arrived_at_ms",
        "expires_at_ms",
        "attempts",
        "possibly_executed",
        "in_flight",
        "pending_notice",
        "stored_bytes",
        "message",
    )

    def __init__(
        self,
        message_id: bytes,
        queue_class: bytes,
        account: bytes,
        ordering_key: bytes,
        destination: bytes,
        idempotency_key: bytes,
        body: bytes,
        arrived_at_ms: float,
        expires_at_ms: float,
    ) -> None:
        self.serial = 0
        self.message_id = message_id
        self.queue_class = queue_class
        self.account = account
        self.ordering_key = ordering_key
        self.destination = destination
        self.idempotency_key = idempotency_key
        self.body = body
        self.arrived_at_ms = arrived_at_ms
        self.expires_at_ms = expires_at_ms
        self.attempts = 0
        self.possibly_executed: Attempt | None = None
        self.in_flight: Attempt | None = None
        self.pending_notice: PendingNotice | None = None
        self.stored_bytes = 0
        self.message: Any = None

    def finish_attempt(self, may_have_executed: bool) -> None:
        """End the attempt in flight, if any."""
        if self.in_flight and may_have_executed and self.possibly_executed is None:
            self.possibly_executed = self.in_flight
        self.in_flight = None
