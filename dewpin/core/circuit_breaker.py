"""Ejects receivers that fail and lets them back by slow start."""

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
"""A destination that rejects everything for so long is shut, not just above its limit."""
TRIALS_PER_WINDOW = 4.0
"""So many senders of a fleet may each try a failed destination once within an overload window."""
SAFETY_SHARE = 0.8
"""Of what a cold receiver bears, what the trial calls of all senders add up to."""
TRIAL_JITTER = (0.8, 1.4)
FIRST_TRIAL_JITTER = (0.2, 1.0)


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
        """Whether its latest answer, not long ago, was a rejection.

        It guards against a receiver that rejects on its own account (it drains, is shut or gone): free again at once,
        it would draw in all messages and set the rate of its whole destination.
        """
        health = health_of(receiver)
        return health.rejected_at > max(health.good_at, now - SUSTAINED_REJECTION_MS)

    def check_new_receiver(self, receiver: Receiver, now: float) -> None:
        """The first look at a receiver; where limits are shared, at one of a destination that is known already.

        It guards against an outage in which the list replaces receivers: what all senders hold would go at once to one
        that no sender has seen fail, of a destination that is cold.
        """
        health = health_of(receiver)
        limits = limits_of(receiver, self.settings.kinds_with_own_limits)
        if limits is receiver.destination.limits and (
            limits.failed_at > limits.good_at
            or any(other.health and is_probing(other) for other in receiver.destination.receivers)
        ):
            self.open(receiver, health, now)

    def open(self, receiver: Receiver, health: ReceiverHealth, now: float, is_sparse: bool = False) -> None:
        """Opens a receiver's circuit breaker: trial calls of all senders together stay under what a cold one bears.

        What one bears in an overload window is taken from the queue's own traffic, so that it adds up to the same over
        hundreds of senders. Where a sparse queue is rejected (`is_sparse`), its rate is estimated from the messages
        before (n - 1 + a half of them, the Jeffreys estimate), and a rejected trial is followed by no shorter gap than
        a good one. That guards against queues that are all looked at right after an arrival and so read too high.
        """
        settings = self.settings
        ready = max(1, sum(other.state == READY for other in receiver.destination.receivers))
        has_own_limits = receiver.kind in settings.kinds_with_own_limits  # then the outage is its own as well
        cold_share = settings.cold_capacity_share
        least_rate = 1000.0 / settings.overload_window_ms / max(1.0, settings.fleet_size / TRIALS_PER_WINDOW)
        cold_capacity = cold_share + (1.0 - cold_share) * settings.overload_window_ms / settings.warm_up_ms / 2.0
        share = self.traffic.estimate(receiver, now, ready if has_own_limits else 1, 0.5 if is_sparse else 0.0)
        cold_rate = SAFETY_SHARE * settings.overload_factor * cold_capacity * share
        growth_ms = settings.warm_up_ms * cold_capacity / max(0.01, 1.0 - cold_share)
        jitter = TRIAL_JITTER if is_sparse and is_probing(receiver) else FIRST_TRIAL_JITTER
        slow_start = SlowStart(max(least_rate, cold_rate) / (1 if has_own_limits else ready), growth_ms, now)
        health.slow_start = slow_start
        self.sender.ejected_receivers.add(receiver)
        health.failures = 0  # those after this are weighed anew
        start_at = max(now, limits_of(receiver, settings.kinds_with_own_limits).retry_after_until)
        slow_start.next_at = slow_start.time_after(start_at, self.random.uniform(*jitter))
