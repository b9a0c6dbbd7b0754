"""A call to a receiver: it takes one slot of the sender and carries one message or a batch of them."""

from __future__ import annotations

from .model import Receiver


class Call:
    """A call that is in flight, or was.

    receiver: where it went.
    sent_at: when it left.
    follows_unanswered: the call before it at this receiver got no answer.
    message_count: messages of its batch.
    open_count: those of them whose outcome is not known yet; 0: the call is over.
    is_failure_counted: its failure was taken into account. The messages of a batch share one fate.
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
