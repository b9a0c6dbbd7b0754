"""Ejects receivers that fail and readmits them by slow start."""

from __future__ import annotations

from .destination_limits import limits_of
from .model import READY, Receiver
from .random_source import RandomSource
from .receiver_health import ReceiverHealth, health_of, is_probing
from .sender_state import SenderState
from .settings import DispatcherSettings
from .slow_start import SlowStart
from .traffic_share import TrafficShare

SUSTAINED_REJECTION_MS = 1500.0
"""A destination that rejects everything for this long is unavailable, not just above its rate limit."""
PROBES_PER_WINDOW = 4.0
"""This many senders of a fleet may each probe a failed destination once per overload window."""
COLD_CAPACITY_USE = 0.8
"""Share of a cold receiver's capacity that the probe calls of all senders may use in total."""
PROBE_JITTER = (0.8, 1.4)
FIRST_PROBE_JITTER = (0.2, 1.0)


class CircuitBreaker:
    """Opens the circuit breakers of receivers; `OutcomeRecorder` closes them."""

    def __init__(
        self, settings: DispatcherSettings, random: RandomSource, sender: SenderState, traffic: TrafficShare
    ) -> None:
        self.settings = settings
        self.random = random
        self.sender = sender
        self.traffic = traffic

    def rejected_recently(self, receiver: Receiver, now: float) -> bool:
        """Return whether the receiver's latest response is a recent rejection.

        A receiver may reject for reasons of its own: it is draining, shut down or gone. A rejection leaves it idle, so
        it would attract all messages, and it would set the rate limit of the whole destination.
        """
        health = health_of(receiver)
        return health.rejected_at > max(health.good_at, now - SUSTAINED_REJECTION_MS)

    def check_new_receiver(self, receiver: Receiver, now: float) -> None:
        """Open the breaker of a new receiver if limits are shared and its destination is failing or being probed.

        During an outage the list may replace receivers. The messages pending at all senders would go at once to a
        receiver that no sender has seen fail, although its destination is cold.
        """
        health = health_of(receiver)
        limits = limits_of(receiver, self.settings.kinds_with_own_limits)
        if limits is receiver.destination.limits and (
            limits.failed_at > limits.good_at
            or any(other.health and is_probing(other) for other in receiver.destination.receivers)
        ):
            self.open(receiver, health, now)

    def open(self, receiver: Receiver, health: ReceiverHealth, now: float, is_sparse: bool = False) -> None:
        """Open a receiver's circuit breaker; the probe calls of all senders together stay below its cold capacity.

        The capacity per overload window is derived from the queue's own traffic, so that the sum over hundreds of
        senders is right. If a call of a sparse queue is rejected (`is_sparse`), the rate is estimated from the earlier
        messages (n - 1 of them, plus 1/2: the Jeffreys estimate), and the gap after a rejected probe is no shorter than
        after a successful one: a sparse queue is always evaluated right after an arrival, which makes its rate look too
        high.
        """
        settings = self.settings
        ready_count = max(1, sum(other.state == READY for other in receiver.destination.receivers))
        has_own_limits = receiver.kind in settings.kinds_with_own_limits  # then outages are per receiver, too
        cold_share = settings.cold_capacity_share
        min_rate = 1000.0 / settings.overload_window_ms / max(1.0, settings.fleet_size / PROBES_PER_WINDOW)
        cold_capacity = cold_share + (1.0 - cold_share) * settings.overload_window_ms / settings.warm_up_ms / 2.0
        share = self.traffic.estimate(receiver, now, ready_count if has_own_limits else 1, 0.5 if is_sparse else 0.0)
        cold_rate = COLD_CAPACITY_USE * settings.overload_factor * cold_capacity * share
        growth_ms = settings.warm_up_ms * cold_capacity / max(0.01, 1.0 - cold_share)
        jitter = PROBE_JITTER if is_sparse and is_probing(receiver) else FIRST_PROBE_JITTER
        slow_start = SlowStart(max(min_rate, cold_rate) / (1 if has_own_limits else ready_count), growth_ms, now)
        health.slow_start = slow_start
        self.sender.ejected_receivers.add(receiver)
        health.failures = 0  # later failures are counted from zero
        start_at = max(now, limits_of(receiver, settings.kinds_with_own_limits).retry_after_until)
        slow_start.next_at = slow_start.time_after(start_at, self.random.uniform(*jitter))
