"""How much of a destination's traffic is this sender's, as far as one sender can know."""

from __future__ import annotations

from .model import Receiver
from .settings import DispatcherSettings


class TrafficShare:
    """Estimates this sender's part of the rate that a destination or receiver gets or bears."""

    def __init__(self, settings: DispatcherSettings) -> None:
        self.weights_are_limits = settings.weights_are_limits
        self.fleet_size = settings.fleet_size

    def estimate(self, receiver: Receiver, now: float, cold_receivers: int = 0, count_correction: float = 0.0) -> float:
        """Messages a second: the sender's own rate, drawn towards its part of the limit that is reported or listed.

        Such a limit is late, rough, and one for all senders together. `cold_receivers`: the rate is for one of so many
        receivers that have limits of their own and come back cold; then it is never above the part of the limit.
        `count_correction` is taken off the count of messages (see `DestinationQueue.arrival_rate`).
        """
        listed = receiver.weight if self.weights_are_limits else 0.0
        limit = receiver.load_report.get("limit") or listed
        own = receiver.destination.queue.arrival_rate(now, count_correction) / max(1, cold_receivers)
        if limit <= 0.0:
            return own
        return min(own, limit / self.fleet_size) if cold_receivers else (own + limit / self.fleet_size) / 2.0
