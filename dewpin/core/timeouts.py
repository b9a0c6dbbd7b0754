"""The time-out of an attempt."""

from __future__ import annotations

from .destination_limits import MIN_STUCK_MS, DestinationLimits
from .model import Message
from .sender_state import SenderState
from .settings import DispatcherSettings, Effect

MAX_TIMEOUT_MS = 10000.0
"""The time-out before any call time is known, and the maximum time-out."""
TIMEOUT_FACTOR = 6.0
"""Ratio of a learned time-out to the average call time; call times vary."""


def attempt_timeout_ms(
    limits: DestinationLimits, message: Message, sender: SenderState, settings: DispatcherSettings
) -> float:
    """Return the learned time-out for a destination, doubled if a time-out would end the message.

    For a destination without a success so far it is at least the latency target. Otherwise each sender would give up a
    slow destination at its first call, and the destination would only process calls that were already abandoned.
    """
    # without a success, assume the average over all destinations
    usual_ms = limits.usual_call_ms or sender.usual_call_ms
    if usual_ms is None:
        return MAX_TIMEOUT_MS
    queue_class = settings.classes[message.queue_class]
    factor = 2.0 if queue_class.effect is Effect.UNSAFE else 1.0
    learned_ms = max(MIN_STUCK_MS, TIMEOUT_FACTOR * usual_ms)
    if limits.usual_call_ms is None:
        learned_ms = max(learned_ms, queue_class.target_ms)
    return float(min(MAX_TIMEOUT_MS, learned_ms * factor * 2.0**limits.timeouts))
