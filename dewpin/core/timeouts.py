"""How long an attempt may take."""

from __future__ import annotations

from .destination_limits import MIN_STUCK_MS, DestinationLimits
from .model import Message
from .sender_state import SenderState
from .settings import DispatcherSettings, Effect

FIRST_TIMEOUT_MS = 10000.0
"""The time-out before anything was learned, and the longest one."""
TIMEOUT_CALL_TIMES = 6.0
"""Usual call times that a learned time-out allows; calls differ in how long they take."""


def attempt_timeout_ms(
    limits: DestinationLimits, message: Message, sender: SenderState, settings: DispatcherSettings
) -> float:
    """The time-out that was learned for a destination, twice as long where running into it ends the message.

    For a destination that has answered nothing yet it is the latency target at least. That guards against senders that
    each give up a slow one at their first call: it would work for callers that are gone, and for nobody else.
    """
    # one that has answered nothing yet is taken to be like the others
    usual_ms = limits.usual_call_ms or sender.usual_call_ms
    if usual_ms is None:
        return FIRST_TIMEOUT_MS
    queue_class = settings.classes[message.queue_class]
    factor = 2.0 if queue_class.effect is Effect.UNSAFE else 1.0
    learned_ms = max(MIN_STUCK_MS, TIMEOUT_CALL_TIMES * usual_ms)
    if limits.usual_call_ms is None:
        learned_ms = max(learned_ms, queue_class.target_ms)
    return float(min(FIRST_TIMEOUT_MS, learned_ms * factor * 2.0**limits.timeouts))
