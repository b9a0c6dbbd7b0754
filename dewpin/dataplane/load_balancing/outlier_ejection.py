"""Outlier ejection: a receiver whose calls fail by its own fault gets no requests for a while, except single probes.

A call that is never answered, or whose response exceeds a limit, costs its client the request, and often the whole time
until its deadline. Such a receiver has few calls in progress, so that by load alone it would be the first choice.

A receiver is ejected

* by a response that exceeds a limit (`response_limits`), or by several malformed responses in a row;
* by a call that ended without a complete response, if that took long and no call to the receiver has succeeded since
  it was sent; a call that takes long by itself does not eject a receiver that answers others.

The time of ejection grows exponentially, with jitter, until a call succeeds. At its end one request is sent to the
receiver as a probe, and the next one only after the same time again, unless a call has succeeded meanwhile.

All times are seconds of one monotonic clock.
"""

from dataclasses import dataclass
from enum import Enum, unique

INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
MAX_DOUBLINGS = 3
MALFORMED_UNTIL_EJECTION = 2
"""Malformed responses in a row; a single one may be a late response to a call of another process."""


@unique
class ReceiverFault(Enum):
    """What a receiver did wrong in a call; the values are those of the log."""

    LIMIT_EXCEEDED = "limit_exceeded"
    """The response exceeded a limit."""
    MALFORMED = "malformed"
    """The response was malformed."""
    UNANSWERED = "unanswered"
    """The call ended without a complete response, by its deadline or by its client."""


@dataclass(frozen=True, slots=True)
class CallFailure:
    """A call that failed.

    Attributes:
        sent_at, ended_at: start and end of the call.
        patience_s: time until which a working receiver may be expected to respond.
    """

    sent_at: float
    ended_at: float
    patience_s: float

    @property
    def was_long(self) -> bool:
        """Return whether the call took longer than a working receiver takes."""
        return self.ended_at - self.sent_at > self.patience_s


@dataclass(slots=True)
class OutlierEjection:
    """Whether one receiver is ejected.

    Attributes:
        ejected_until: until when the receiver gets no requests.
    """

    ejected_until: float = 0.0
    _ejected_at: float = float("-inf")
    _count: int = 0
    _malformed_count: int = 0
    _last_success_at: float = float("-inf")

    @property
    def is_in_doubt(self) -> bool:
        """Return whether no call has succeeded since the receiver was last ejected."""
        return self._count > 0

    def is_ejected(self, now: float) -> bool:
        """Return whether the receiver gets no requests now."""
        return now < self.ejected_until

    def record_success(self, now: float) -> None:
        """Record a complete, valid response: the receiver is sound."""
        self._last_success_at = now
        self._count = 0
        self._malformed_count = 0
        self.ejected_until = 0.0

    def record_probe(self, now: float, jitter: float) -> None:
        """Record that a request was sent to a receiver in doubt; it gets no other one for the present time-out."""
        self.ejected_until = now + self._duration_s() * jitter

    def record_fault(self, fault: ReceiverFault, failure: CallFailure, jitter: float) -> bool:
        """Record a fault in a call; return whether it ejects the receiver. `jitter` is a factor of the time."""
        if fault is ReceiverFault.MALFORMED:
            self._malformed_count += 1
        if not self._is_sufficient(fault, failure) or failure.sent_at < self._ejected_at:
            return False
        self._count += 1
        self._ejected_at = failure.ended_at
        self.ejected_until = failure.ended_at + self._duration_s() * jitter
        return True

    def _is_sufficient(self, fault: ReceiverFault, failure: CallFailure) -> bool:
        """Return whether a fault is sufficient for an ejection."""
        if fault is ReceiverFault.MALFORMED:
            return self._malformed_count >= MALFORMED_UNTIL_EJECTION
        if fault is ReceiverFault.UNANSWERED:
            return failure.was_long and self._last_success_at < failure.sent_at
        return True

    def _duration_s(self) -> float:
        doublings = min(max(0, self._count - 1), MAX_DOUBLINGS)
        return min(MAX_EJECTION_S, INITIAL_EJECTION_S * 2.0**doublings)
