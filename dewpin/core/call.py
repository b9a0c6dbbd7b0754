"""A call to a receiver: it takes one slot of the sender and carries one message or a batch of them."""

from __future__ import annotations

from dataclasses import dataclass

from .model import Receiver


@dataclass(slots=True, eq=False)
class Call:
    """A call that is in flight, or was.

    receiver: where it went.
    sent_at: when it left.
    follows_unanswered: the call before it at this receiver got no answer.
    message_count: messages of its batch.
    open_count: those of them whose outcome is not known yet; 0: the call is over.
    is_failure_counted: its failure was taken into account. The messages of a batch share one fate.
    """

    receiver: Receiver
    sent_at: float
    follows_unanswered: bool
    message_count: int = 1
    open_count: int = 1
    is_failure_counted: bool = False
