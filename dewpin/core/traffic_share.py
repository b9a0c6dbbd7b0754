"""Estimates this sender's share of a destination's traffic from what one sender can observe."""

from __future__ import annotations

from .model import Receiver
from .settings import DispatcherSettings


class TrafficShare:
    """Estimates this sender's share of the rate that a destination or receiver gets or can handle."""

    def __init__(self, settings: DispatcherSettings) -> None:
        self.weights_are_limits = settings.weights_are_limits
        self.fleet_size = settings.fleet_size

    def estimate(self, receiver: Receiver, now: float, cold_receivers: int = 0, count_correction: float = 0.0) -> float:
        """Return messages per second: the sender's own rate, averaged with its share of a reported or listed limit.

        Such a limit is delayed, approximate, and applies to all senders together. `cold_receivers`: the rate is for one
        of this many receivers that have limits of their own and return cold; it then never exceeds the share of the
        limit. `count_correction` is subtracted from the count of messages (see `DestinationQueue.arrival_rate`).
        """
        listed_limit = receiver.weight if self.weights_are_limits else 0.0
        limit = receiver.load_report.get("limit") or listed_limit
        own_rate = receiver.destination.queue.arrival_rate(now, count_correction) / max(1, cold_receivers)
        if limit <= 0.0:
            return own_rate
        return min(own_rate, limit / self.fleet_size) if cold_receivers else (own_rate + limit / self.fleet_size) / 2.0
