"""What the journal holds of a message, and the kinds of records in it."""

from enum import Enum
from typing import Any

import msgspec


class RecordKind(bytes, Enum):
    """The kinds of records in the journal and in the hand-over log; the value is the byte on disk."""

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
    """Only in a hand-over log: descriptors that its writer still holds."""
    HANDOVER_CONSUMED = b"F"
    """How many bytes of an earlier process's hand-over log the journal's owner has read."""


class Attempt(msgspec.Struct, frozen=True):
    """One attempt to deliver a message: the receiver's id, and when its first byte left (Unix ms)."""

    receiver: bytes
    sent_at_ms: float


class PendingNotice(msgspec.Struct, frozen=True):
    """The notice that the platform is owed for a message that was given up.

    `is_deferred`: the client may submit the message again after `retry_after_ms`; otherwise it has bounced."""

    is_deferred: bool
    retry_after_ms: float


class MessageRecord:
    """What is stored of a message from its acceptance to its end. Texts are the bytes that the client sent.

    Times are Unix ms. `attempts` counts the one in flight too. `possibly_executed` is the first attempt that may have
    been executed by its receiver, the one in flight left aside. `pending_notice` is set from giving up until the
    notice is acknowledged. `stored_bytes` is what the message takes in a compacted journal, at most. `message` is the
    same message as the dispatcher sees it."""

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
        """Ends the attempt in flight, if there is one."""
        if self.in_flight and may_have_executed and self.possibly_executed is None:
            self.possibly_executed = self.in_flight
        self.in_flight = None
