"""Decides when idle connections to a receiver should be closed."""

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
    """Return whether idle connections to a receiver should be closed.

    Some receivers accept few connections, including idle ones. With many senders, the connections would stay idle at
    senders that sent last or that delay messages because of a rate limit, and calls of other senders would be refused.
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
