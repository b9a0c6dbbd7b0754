"""When idle connections to a receiver should close."""

from __future__ import annotations

from .message_ranking import MessageRanking
from .model import Receiver
from .outcome_recorder import FULL_TABLE_REFUSAL_SHARE
from .receiver_health import health_of
from .receiver_selection import ReceiverSelector
from .sender_state import SenderState


def should_close_idle_connections(
    receiver: Receiver, now: float, sender: SenderState, ranking: MessageRanking, selector: ReceiverSelector
) -> bool:
    """Whether idle connections to a receiver should close.

    It guards against receivers that take few connections, idle ones counted: with many senders these stand idle at the
    senders that sent last, or that hold messages back for a rate limit, and the calls of others are turned away.
    """
    queue = receiver.destination.queue
    if health_of(receiver).in_flight or receiver.kind not in sender.full_table_kinds:
        return False
    if not queue.waiting:
        return True
    if sender.failed_connection_shares.get(receiver.kind, 0.0) <= FULL_TABLE_REFUSAL_SHARE:
        return False
    message = ranking.next_message(queue, now)
    assert message is not None  # the queue is not empty
    return now < selector.available_at(receiver, message, now)
