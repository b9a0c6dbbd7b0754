"""The state of a sender, apart from that of its destinations, receivers and messages."""

from __future__ import annotations

from .model import Receiver

MIN_LOSSY_RECOVERY_SHARE = 0.3
"""The network path counts as lossy if at least this share of the calls after an unanswered one succeeds."""


class SenderState:
    """The state of one sender that covers all destinations.

    started_at: when its first message arrived; None before.
    usual_call_ms: moving average of the call time over all destinations; None before the first success.
    recovery_share: moving average of the share of calls that succeed after an unanswered call.
    full_table_kinds: kinds of receivers that refused a connection because their connection table was full.
    failed_connection_shares: per kind of receiver, moving average of the share of calls that found no connection.
    ejected_receivers: receivers whose circuit breaker is open.
    calls_in_flight: number of calls in flight; each occupies a slot.
    pending_messages: number of messages that were accepted and are not finished.
    """

    __slots__ = (
        "started_at",
        "usual_call_ms",
        "recovery_share",
        "full_table_kinds",
        "failed_connection_shares",
        "ejected_receivers",
        "calls_in_flight",
        "pending_messages",
    )

    def __init__(self) -> None:
        self.started_at: float | None = None
        self.usual_call_ms: float | None = None
        self.recovery_share = 0.0
        self.full_table_kinds: set[int] = set()
        self.failed_connection_shares: dict[int, float] = {}
        self.ejected_receivers: set[Receiver] = set()
        self.calls_in_flight = 0
        self.pending_messages = 0

    def usual_ms(self, destination_usual_ms: float | None) -> float:
        """Return the average call time of a destination, or of all if unknown; 0 before the first success."""
        return destination_usual_ms or self.usual_call_ms or 0.0

    @property
    def is_path_lossy(self) -> bool:
        """Whether calls after an unanswered one often succeed; consecutive failures are then not an outage.

        This covers packet loss, lost responses and faults of the sender itself, where everything else works.
        """
        return self.recovery_share >= MIN_LOSSY_RECOVERY_SHARE
