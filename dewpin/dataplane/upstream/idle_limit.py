"""How long a connection to the receivers of a service may be idle and then carry a call.

A receiver tells for how many whole seconds it keeps an idle connection, but may forget one sooner and without a word;
the next thing sent on it is reset. That proves nothing of the request, so a request that must not be repeated is lost
by it. It is sent only on a connection that was used lately; after such a reset was met at any receiver of the service,
only on one that was used more lately still.

A connection that is seen to have ended before it is used teaches nothing: that happens where a receiver ends as well.
"""

LONGEST_UNREPEATABLE_IDLE_S = 2.0
UNREPEATABLE_SHARE = 0.85
"""The part of the time told in which a connection may carry a request that must not be repeated."""
EARLY_END_SHARE = 0.5
"""After an early end, connections that were idle for more than this part of that one's time count as lost."""
EARLY_END_MEMORY_S = 30.0
FORGOTTEN_WITHIN_S = 0.02
"""A connection that was forgotten is reset as soon as something is sent on it; a later reset has another cause."""


class IdleLimit:
    """The limit for one service. It is used from many threads; each method reads or replaces one value."""

    def __init__(self) -> None:
        self._early_end: tuple[float, float] | None = None

    def allows(self, idle_s: float, kept_s: float, repeatable: bool, now: float) -> bool:
        """Tell whether a connection that the receiver says it keeps for `kept_s` may carry a call."""
        if repeatable:
            return idle_s < kept_s
        return idle_s < min(kept_s * UNREPEATABLE_SHARE, self.unrepeatable_idle_s(now))

    def unrepeatable_idle_s(self, now: float) -> float:
        """Return how long a connection may be idle for a call that must not be repeated."""
        early_end = self._early_end
        if early_end is None or now >= early_end[1]:
            return LONGEST_UNREPEATABLE_IDLE_S
        return early_end[0]

    def remembers_early_end(self, now: float) -> bool:
        """Tell whether receivers of the service have forgotten a connection lately."""
        early_end = self._early_end
        return early_end is not None and now < early_end[1]

    def count_forgotten(self, idle_s: float, now: float) -> None:
        """Take in that a connection which had been idle for so long was forgotten by its receiver."""
        limit_s = min(self.unrepeatable_idle_s(now), idle_s * EARLY_END_SHARE)
        self._early_end = (limit_s, now + EARLY_END_MEMORY_S)
