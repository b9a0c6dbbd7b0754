"""Operations of a running sender for the console: readiness, metrics, detaching and attaching of receivers.

Each call is delegated to the component that owns the state. The HTTP requests are defined in `console.calls`.
"""

from ..console.calls import ReceiverChange, SenderMetrics
from ..net.connection_pool import ConnectionPool
from ..relay.message_lifecycle import DetachmentResult, Relay

RECEIVER_CHANGES = {
    DetachmentResult.APPLIED: ReceiverChange.DONE,
    DetachmentResult.UNKNOWN_RECEIVER: ReceiverChange.UNKNOWN_RECEIVER,
    DetachmentResult.NOT_RECORDED: ReceiverChange.UNAVAILABLE,
}


class OperatorActions:
    """Operations for the console, unavailable until `serve` is called.

    Attributes:
        relay: life cycle of messages; None while the process is starting.
        pool: connections to receivers; None while the process is starting.
    """

    def __init__(self) -> None:
        self.relay: Relay | None = None
        self.pool: ConnectionPool | None = None

    def serve(self, relay: Relay, pool: ConnectionPool) -> None:
        """Use these components from now on; called when clients are accepted."""
        self.relay = relay
        self.pool = pool

    def is_ready(self) -> bool:
        """Return whether this process accepts messages."""
        return self.relay is not None and not self.relay.is_draining and not self.relay.handover_log

    def metrics(self) -> SenderMetrics | None:
        """Return the metrics, or None while the process is starting."""
        if self.relay is None or self.pool is None:
            return None
        facade = self.relay.facade
        return SenderMetrics(
            endings=self.relay.end_counts,
            sent=self.pool.sent_requests,
            pending=len(self.relay.record_store.pending),
            listed_receivers=facade.endpoints.listed_count,
            avoided_receivers=facade.endpoints.avoided_count(),
        )

    def detach(self, receiver_id: bytes) -> ReceiverChange:
        """Stop sending messages to a receiver."""
        return RECEIVER_CHANGES[self.relay.detach(receiver_id)] if self.relay else ReceiverChange.UNAVAILABLE

    def attach(self, receiver_id: bytes) -> ReceiverChange:
        """Resume sending messages to a receiver."""
        return RECEIVER_CHANGES[self.relay.attach(receiver_id)] if self.relay else ReceiverChange.UNAVAILABLE
