"""Suspicion of members, after SWIM and Lifeguard: how long a suspicion lasts, and how much a member trusts itself."""

from math import log, log10

from .membership_messages import MemberRecord, MemberState

MAX_CONFIRMATIONS = 3
"""Further accusers that make a suspicion as short as it gets."""
MAX_LOCAL_HEALTH_SCORE = 8
MIN_TIMEOUT_FACTOR = 4.0
"""Lifeguard's alpha: a suspicion's shortest time, in periods times log10 of the members."""
MAX_TIMEOUT_FACTOR = 6.0
"""Lifeguard's beta: its longest time, in shortest ones."""


class KnownMember:
    """Another member: its record, since when it holds, and the suspicion of it if there is one."""

    def __init__(self, record: MemberRecord, now_ms: float) -> None:
        self.record = record
        self.changed_at_ms = now_ms
        self.accusers: set[str] = set()
        self.suspected_at_ms = 0.0
        self.suspicion_ends_at_ms = 0.0

    @property
    def is_active(self) -> bool:
        """Whether it is alive as far as is known; a suspected member is."""
        return self.record.state <= MemberState.SUSPECT

    def start_suspicion(self, now_ms: float) -> None:
        """Begins a suspicion without accusers."""
        self.accusers = set()
        self.suspected_at_ms = now_ms

    def add_accuser(self, name: str, active_count: int, period_ms: float) -> bool:
        """Counts an accuser, which shortens the suspicion; False for one that changes nothing.

        `active_count`: other members that are active."""
        if name in self.accusers or len(self.accusers) > MAX_CONFIRMATIONS:
            return False
        self.accusers.add(name)
        timeout_ms = suspicion_timeout_ms(len(self.accusers), active_count, period_ms)
        self.suspicion_ends_at_ms = self.suspected_at_ms + timeout_ms
        return True


def suspicion_timeout_ms(accusers: int, active_count: int, period_ms: float) -> float:
    """How long a suspicion lasts before the member counts as lost."""
    shortest_ms = MIN_TIMEOUT_FACTOR * max(1.0, log10(max(1, active_count))) * period_ms
    confirmations_needed = min(MAX_CONFIRMATIONS, max(0, active_count - 2))
    share = log(accusers) / log(confirmations_needed + 1) if confirmations_needed else 1.0
    return max(shortest_ms, MAX_TIMEOUT_FACTOR * shortest_ms - (MAX_TIMEOUT_FACTOR - 1.0) * shortest_ms * share)


class LocalHealth:
    """Lifeguard's local health: how much a member doubts its own view. `score` 0: healthy."""

    def __init__(self) -> None:
        self.score = 0

    @property
    def multiplier(self) -> int:
        """Factor of period and time-out of the own probes."""
        return 1 + self.score

    def adjust(self, change: int) -> None:
        """Moves the score, within its bounds."""
        self.score = min(MAX_LOCAL_HEALTH_SCORE, max(0, self.score + change))
