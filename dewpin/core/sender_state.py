"""What a sender knows and holds beside the state of its destinations, receivers and messages."""

from __future__ import annotations

from .model import Receiver

LOSSY_RECOVERY_SHARE = 0.3
"""Loss on the way is assumed where at least this share of the calls after an unanswered one goes well."""


class SenderState:
    """Facts and counts of one sender over all destinations.

    started_at: when its first message came; None before.
    usual_call_ms: a moving average over all destinations; None before the first good answer.
    recovery_share: share of the calls after an unanswered one that go well, a moving average.
    full_table_kinds: kinds of receivers with a full connection table, which turned a connection away.
    failed_connection_shares: by kind of receiver, share of the calls that found no connection, a moving average.
    ejected_receivers: those whose circuit breaker is open.
    calls_in_flight: each takes a slot.
    pending_messages: taken in and not done with yet.
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
        """The usual call time of a destination; where it is not known, that of all; 0 before the first good answer."""
        return destination_usual_ms or self.usual_call_ms or 0.0

    @property
    def is_path_lossy(self) -> bool:
        """Whether calls after an unanswered one mostly go well: then failures in a row are no outage.

        It guards against loss on the way, lost answers, or a fault of the sender's own, where all else is well.
        """
        return self.recovery_share >= LOSSY_RECOVERY_SHARE
