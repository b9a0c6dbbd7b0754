"""Decides whether and when a message is retried after an attempt, and how it ends otherwise."""

from __future__ import annotations

from typing import NamedTuple

from .message_state import MessageState
from .model import Decision, Message, Outcome
from .random_source import RandomSource
from .settings import DispatcherSettings, Effect

# Bound once: looking up an enum member on its class costs ten times as much in Python 3.11.
SAFE, KEYED, UNSAFE = Effect.SAFE, Effect.KEYED, Effect.UNSAFE

FIRST_BACKOFF_MS = 250.0
"""Backoff before the first retry; it doubles with each further retry."""
BACKOFF_JITTER = (0.5, 1.5)
RETRY_AFTER_JITTER = (1.0, 1.5)


class Classification(NamedTuple):
    """The next step after an outcome: `Decision.NOT_YET` with the pause before the retry, or how the message ends."""

    decision: Decision
    pause_ms: float = 0.0


class RetryPolicy:
    """Decides what follows an outcome, from what the outcome proves about the message."""

    def __init__(self, settings: DispatcherSettings, random: RandomSource) -> None:
        self.settings = settings
        self.random = random
        self.margin_ms = settings.deadline_margin_ms

    def classify(self, message: Message, outcome: Outcome, now: float) -> Classification:
        """Determine what an outcome proves about a message, and from that the next step."""
        if outcome == Outcome.DELIVERED:
            return Classification(Decision.RELAYED)
        state = message.dispatch_state
        if self.settings.classes[message.queue_class].effect is UNSAFE and state.executed_at is not None:
            return Classification(Decision.BOUNCED)  # it may have been executed
        if outcome == Outcome.REJECTED and message.retry_after_ms > 0:
            pause_ms = message.retry_after_ms
        else:
            pause_ms = self._backoff_ms(state)
        if now + pause_ms >= self.give_up_at(message):
            return Classification(self.ending(message))  # too late for a retry
        return Classification(Decision.NOT_YET, pause_ms)

    def ending(self, message: Message) -> Decision:
        """Return how an abandoned message ends: deferred if it is safe to submit it again, else bounced."""
        if message.dispatch_state.executed_at is None or self.settings.classes[message.queue_class].effect is SAFE:
            return Decision.DEFERRED
        return Decision.BOUNCED

    def give_up_at(self, message: Message) -> float:
        """Return when a message that is not in flight must be given up; 0, which means now, if no attempts are left.

        This also holds after a restart: a message that may be sent only once and that was in flight, or one without
        attempts left, is not sent again.
        """
        if message.dispatch_state.attempts < self.settings.max_attempts:
            return self.last_byte_at(message)
        return 0.0

    def last_byte_at(self, message: Message) -> float:
        """Return the deadline for the last byte of an attempt: the end of the lifetime or of the retry window."""
        state, queue_class = message.dispatch_state, self.settings.classes[message.queue_class]
        end_at = message.expires_at - self.margin_ms
        if state.executed_at is None or queue_class.effect is SAFE:
            return end_at
        window_ms = queue_class.retry_window_ms if queue_class.effect is KEYED else 0.0
        return min(end_at, state.executed_at + window_ms - self.margin_ms)

    def suggested_retry_after_ms(self, requested_wait_ms: float) -> float:
        """Return how long a client should wait before resubmission, given the longest wait requested by receivers."""
        wait_ms = max(requested_wait_ms, FIRST_BACKOFF_MS) * self.random.uniform(*RETRY_AFTER_JITTER)
        return min(wait_ms, self.settings.max_retry_after_ms)

    def _backoff_ms(self, state: MessageState) -> float:
        """Return the exponential backoff with jitter."""
        exponential_ms = FIRST_BACKOFF_MS * 2.0 ** (state.attempts - 1)
        return max(exponential_ms, 2.0 * state.waited_ms) * self.random.uniform(*BACKOFF_JITTER)
