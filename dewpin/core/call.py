"""A call to a receiver; it occupies one slot of the sender and carries one message or a batch of messages."""

from __future__ import annotations

from .model import Receiver


class Call:
    """A call that is in flight or has finished.

    receiver: the receiver that was called.
    sent_at: when the call started.
    follows_unanswered: whether the previous call to this receiver got no response.
    message_count: number of messages in the batch.
    open_count: number of those whose outcome is still unknown; 0: the call has finished.
    is_failure_counted: whether its failure was recorded; all messages of a batch fail together.
    """

    __slots__ = (
        "receiver",
        "sent_at",
        "follows_unanswered",
        "message_count",
        "open_count",
        "is_failure_counted",
    )

    def __init__(self, receiver: Receiver, sent_at: float, follows_unanswered: bool) -> None:
        self.receiver = receiver
        self.sent_at = sent_at
        self.follows_unanswered = follows_unanswered
        self.message_count = self.open_count = 1
        self.is_failure_counted = False
