"""What a sender knows of the work of one receiver, and for how long it leaves it alone. Times are in seconds."""

import math
from dataclasses import dataclass, field

HEARD_LOAD_HALF_LIFE_S = 0.25
"""How fast what was heard of other senders' calls fades."""
FIRST_CALL_TIME_S = 0.1
CALL_TIME_WEIGHT = 0.2
LEAST_CALL_TIME_RISE = 0.02
"""How fast the least call time follows calls that took longer."""
ERROR_WEIGHT = 0.1
ERROR_HALF_LIFE_S = 5.0
"""How fast errors are forgotten, so that a receiver that failed is tried again."""
LEAST_FULL_WAIT_S = 0.005
MOST_FULL_WAIT_S = 0.5
FIRST_FAILURE_WAIT_S = 0.25
MOST_FAILURE_WAIT_S = 2.0
MOST_DOUBLINGS = 16
LEAST_SILENCE_S = 0.3
SILENCE_TIMES = 4.0
"""A receiver is silent once its oldest unanswered call waits for so many usual times, with no answer since."""


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """What a receiver tells of its work: requests running and waiting, and slots."""

    running: int
    waiting: int
    slots: int


def parse_server_load(value: str | None) -> ServerLoad | None:
    """Read `X-Dewpin-Server-Load`; None if it is absent or not readable."""
    if value is None:
        return None
    parts = [part.strip() for part in value.split(",")]
    if len(parts) != 3 or not all(part.isascii() and part.isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return ServerLoad(running, waiting, slots)


@dataclass(slots=True)
class ReceiverLoad:
    """The calls at one receiver: this sender's own, and those of others as last heard, which fade with time."""

    own_calls: int = 0
    others_calls: float = 0.0
    heard_at: float = 0.0
    blocked_until: float = 0.0
    refusals: int = 0
    failures: int = 0
    call_time_s: float = FIRST_CALL_TIME_S
    least_call_time_s: float = FIRST_CALL_TIME_S
    answer_time_s: float = FIRST_CALL_TIME_S
    _errors: float = 0.0
    _error_at: float = 0.0
    _unanswered: list[float] = field(default_factory=list)
    _answered_at: float = 0.0

    def total(self, now: float) -> float:
        """Return the estimated number of requests running and waiting at the receiver."""
        if not self.others_calls:
            return self.own_calls
        return self.own_calls + self.others_calls * math.exp2((self.heard_at - now) / HEARD_LOAD_HALF_LIFE_S)

    def hear(self, load: ServerLoad, now: float) -> None:
        """Take in what the receiver told in an answer, while that call still counts as one's own."""
        self.others_calls = max(0.0, float(load.running + load.waiting - self.own_calls))
        self.heard_at = now

    def count_sent(self, now: float) -> None:
        """Take in that a call was given to the receiver."""
        self._unanswered.append(now)

    def count_answered(self, sent_at: float, now: float) -> None:
        """Take in that the receiver began to answer a call, in whatever way."""
        self.forget_call(sent_at)
        self._answered_at = now
        self.answer_time_s += CALL_TIME_WEIGHT * (now - sent_at - self.answer_time_s)

    def forget_call(self, sent_at: float) -> None:
        """Take in that a call that was not answered has ended."""
        if sent_at in self._unanswered:
            self._unanswered.remove(sent_at)

    def is_silent(self, now: float) -> bool:
        """Tell whether calls wait for long at the receiver without any answer from it."""
        if not self._unanswered:
            return False
        silence_s = now - max(min(self._unanswered), self._answered_at)
        return silence_s > max(LEAST_SILENCE_S, SILENCE_TIMES * self.answer_time_s)

    def count_begun(self) -> None:
        """Take in that the receiver has begun to answer a call."""
        self.refusals = 0
        self.failures = 0

    def count_served(self, call_time_s: float) -> None:
        """Take in how long a served call took."""
        self.count_begun()
        self.call_time_s += CALL_TIME_WEIGHT * (call_time_s - self.call_time_s)
        rise_s = call_time_s - self.least_call_time_s
        self.least_call_time_s += rise_s if rise_s < 0 else LEAST_CALL_TIME_RISE * rise_s
        self._errors *= 1 - ERROR_WEIGHT

    def count_error(self, now: float) -> None:
        """Take in that a call failed after it was sent."""
        self._errors = self.error_share(now) * (1 - ERROR_WEIGHT) + ERROR_WEIGHT
        self._error_at = now

    def error_share(self, now: float) -> float:
        """Return the share of recent calls that failed after they were sent."""
        if not self._errors:
            return 0.0
        return self._errors * math.exp2((self._error_at - now) / ERROR_HALF_LIFE_S)

    def block_full(self, now: float, capacity: int, told_wait_s: float | None, jitter: float) -> None:
        """Leave a full receiver alone for the wait that it told, or for one derived from the time a slot takes."""
        doublings = min(self.refusals, MOST_DOUBLINGS)
        self.refusals += 1
        derived_s = self.call_time_s / max(1, capacity) * 2.0**doublings
        wait_s = min(MOST_FULL_WAIT_S, max(LEAST_FULL_WAIT_S, derived_s)) * jitter
        self._block(now + (wait_s if told_wait_s is None else told_wait_s))

    def block_failed(self, now: float, jitter: float) -> None:
        """Leave a receiver alone that could not be reached."""
        doublings = min(self.failures, MOST_DOUBLINGS)
        self.failures += 1
        self._block(now + min(MOST_FAILURE_WAIT_S, FIRST_FAILURE_WAIT_S * 2.0**doublings) * jitter)

    def _block(self, until: float) -> None:
        self.blocked_until = max(self.blocked_until, until)
