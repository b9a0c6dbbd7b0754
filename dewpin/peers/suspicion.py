"""Suspicion timeouts and local health, after SWIM and Lifeguard."""

from math import log, log10

from .membership_messages import MemberRecord, MemberState

MAX_CONFIRMATIONS = 3
"""Number of accusers beyond the first at which the suspicion timeout reaches its minimum."""
MAX_LOCAL_HEALTH_SCORE = 8
MIN_TIMEOUT_FACTOR = 4.0
"""Lifeguard's alpha: the minimum suspicion timeout, in periods times log10 of the number of members."""
MAX_TIMEOUT_FACTOR = 6.0
"""Lifeguard's beta: the maximum suspicion timeout, as a multiple of the minimum."""


class KnownMember:
    """Another member: its latest record, the time of its last change, and the suspicion if there is one."""

    def __init__(self, record: MemberRecord, now_ms: float) -> None:
        self.record = record
        self.changed_at_ms = now_ms
        self.accusers: set[str] = set()
        self.suspected_at_ms = 0.0
        self.suspicion_ends_at_ms = 0.0

    @property
    def is_active(self) -> bool:
        """Whether it is considered alive, which includes a suspected member."""
        return self.record.state <= MemberState.SUSPECT

    def start_suspicion(self, now_ms: float) -> None:
        """Start a suspicion without accusers."""
        self.accusers = set()
        self.suspected_at_ms = now_ms

    def add_accuser(self, name: str, active_count: int, period_ms: float) -> bool:
        """Add an accuser, which shortens the suspicion; return False if it has no effect.

        `active_count`: number of other active members."""
        if name in self.accusers or len(self.accusers) > MAX_CONFIRMATIONS:
            return False
        self.accusers.add(name)
        timeout_ms = suspicion_timeout_ms(len(self.accusers), active_count, period_ms)
        self.suspicion_ends_at_ms = self.suspected_at_ms + timeout_ms
        return True


def suspicion_timeout_ms(accusers: int, active_count: int, period_ms: float) -> float:
    """Return the time in ms after which a suspected member is declared lost."""
    shortest_ms = MIN_TIMEOUT_FACTOR * max(1.0, log10(max(1, active_count))) * period_ms
    confirmations_needed = min(MAX_CONFIRMATIONS, max(0, active_count - 2))
    share = log(accusers) / log(confirmations_needed + 1) if confirmations_needed else 1.0
    return max(shortest_ms, MAX_TIMEOUT_FACTOR * shortest_ms - (MAX_TIMEOUT_FACTOR - 1.0) * shortest_ms * share)


class LocalHealth:
    """Lifeguard's local health score: 0 is healthy, higher scores slow down this member's own probes."""

    def __init__(self) -> None:
        self.score = 0

    @property
    def multiplier(self) -> int:
        """Factor applied to the period and the ack timeout of this member's probes."""
        return 1 + self.score

    def adjust(self, change: int) -> None:
        """Add to the score, within its bounds."""
        self.score = min(MAX_LOCAL_HEALTH_SCORE, max(0, self.score + change))
