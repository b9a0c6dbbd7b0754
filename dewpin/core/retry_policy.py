"""Whether a message is sent again after an attempt, when, and how it ends if not."""

from __future__ import annotations

from typing import NamedTuple

from .message_state import MessageState
from .model import Decision, Message, Outcome
from .random_source import RandomSource
from .settings import DispatcherSettings, Effect

# Bound once: a look-up of a member on its class costs ten times as much in Python 3.11.
SAFE, KEYED, UNSAFE = Effect.SAFE, Effect.KEYED, Effect.UNSAFE

FIRST_BACKOFF_MS = 250.0
"""Before the first retry; it doubles with each further one."""
BACKOFF_JITTER = (0.5, 1.5)
RETRY_AFTER_JITTER = (1.0, 1.5)


class Verdict(NamedTuple):
    """What follows an outcome: `Decision.NOT_YET` with the pause before the next attempt, or how the message ends."""

    decision: Decision
    pause_ms: float = 0.0


class RetryPolicy:
    """Classifies outcomes first and only then decides on a retry."""

    def __init__(self, settings: DispatcherSettings, random: RandomSource) -> None:
        self.settings = settings
        self.random = random
        self.margin_ms = settings.deadline_margin_ms

    def classify(self, message: Message, outcome: Outcome, now: float) -> Verdict:
        """What an outcome proves about a message, and so what may follow."""
        if outcome == Outcome.DELIVERED:
            return Verdict(Decision.RELAYED)
        state = message.dispatch_state
        if self.settings.classes[message.queue_class].effect is UNSAFE and state.executed_at is not None:
            return Verdict(Decision.BOUNCED)  # whether it was executed is not known
        if outcome == Outcome.REJECTED and message.retry_after_ms > 0:
            pause_ms = message.retry_after_ms
        else:
            pause_ms = self._backoff_ms(state)
        if now + pause_ms >= self.give_up_at(message):
            return Verdict(self.ending(message))  # a retry would come too late
        return Verdict(Decision.NOT_YET, pause_ms)

    def ending(self, message: Message) -> Decision:
        """How a message ends that is given up: deferred if it is harmless to submit it again, else bounced."""
        if message.dispatch_state.executed_at is None or self.settings.classes[message.queue_class].effect is SAFE:
            return Decision.DEFERRED
        return Decision.BOUNCED

    def give_up_at(self, message: Message) -> float:
        """When a message that is not in flight must be given up; 0, that is at once, without attempts left.

        It guards against a restart: a message that may be sent only once and that was in flight, or one without
        attempts left, is not sent again.
        """
        if message.dispatch_state.attempts < self.settings.max_attempts:
            return self.last_byte_at(message)
        return 0.0

    def last_byte_at(self, message: Message) -> float:
        """When the last byte of an attempt must have left: at the end of its lifetime or of its retry window."""
        state, queue_class = message.dispatch_state, self.settings.classes[message.queue_class]
        end_at = message.expires_at - self.margin_ms
        if state.executed_at is None or queue_class.effect is SAFE:
            return end_at
        window_ms = queue_class.retry_window_ms if queue_class.effect is KEYED else 0.0
        return min(end_at, state.executed_at + window_ms - self.margin_ms)

    def client_retry_after_ms(self, asked_wait_ms: float) -> float:
        """How long a client should wait before it submits again, given the longest wait that limits ask for."""
        wait_ms = max(asked_wait_ms, FIRST_BACKOFF_MS) * self.random.uniform(*RETRY_AFTER_JITTER)
        return min(wait_ms, self.settings.max_retry_after_ms)

    def _backoff_ms(self, state: MessageState) -> float:
        """Exponential backoff with jitter."""
        doubled_ms = FIRST_BACKOFF_MS * 2.0 ** (state.attempts - 1)
        return max(doubled_ms, 2.0 * state.waited_ms) * self.random.uniform(*BACKOFF_JITTER)
