"""Leases by majority: who may act for a duty, until when on its own clock, under which fencing number. Free of I/O.

It owns the rules of voters and candidates: messages and the time (ms, of a clock that never steps and that goes on
while a machine sleeps) go in, messages come out. It must never grant what it can't know to be free, and never say that
a lease holds a moment longer than the slowest clock allows. docs/peers.md has the argument.
"""
import random
from collections.abc import Sequence

import msgspec

MOST_WAITING = 16       # candidates that a voter remembers to tell that a duty is free


class Ask(msgspec.Struct, frozen=True, tag="ask"):
    """A candidate wants a duty, or to keep it: `number` its fencing number, `round` marks the answers, `life` is drawn
    at its start: one that is started anew is another, since the one before may only have been stopped. `heard`: the
    number that it knows this voter to have granted it."""
    duty: str
    number: int
    round: int
    life: int
    heard: int = 0


class Answer(msgspec.Struct, frozen=True, tag="answer"):
    """A voter's. `seen`: the highest number it has granted, so that the next ask goes over it; `wait_ms`: how long what
    it granted before may hold."""
    duty: str
    round: int
    granted: bool
    seen: int
    wait_ms: float


class Release(msgspec.Struct, frozen=True, tag="release"):
    duty: str
    number: int
    life: int


class Free(msgspec.Struct, frozen=True, tag="free"):
    """To candidates that asked in vain: the duty was released."""
    duty: str


class Recall(msgspec.Struct, frozen=True, tag="recall"):
    """A voter that lost its folder asks the others what they granted."""
    round: int


class Recalled(msgspec.Struct, frozen=True, tag="recalled"):
    round: int
    seen: dict[str, int]


Message = Ask | Answer | Release | Free | Recall | Recalled
Sent = list[tuple[str, Message]]        # (peer, message)


def majority(voters: int) -> int:
    return voters // 2 + 1


class Voter:
    """One voter. `votes` {duty: (number, holder)} must be on disk before messages leave of the call that changed it.

    After a start it grants nothing new for `term`: what it granted before may still hold, and it can't know since when.
    Without its folder it is blank and grants nothing at all until enough others told what they granted: one of them
    is in every majority that it was part of."""

    def __init__(self, name: str, voters: Sequence[str], term: float, now: float,
                 votes: dict[str, tuple[int, str]] | None) -> None:
        self.name, self.others, self.term = name, [one for one in voters if one != name], term
        self.votes = dict(votes or {})
        self.until: dict[str, float] = {}           # what was granted since the start
        self.quiet = now + term
        self.waiting: dict[str, dict[str, None]] = {}
        self.needs = len(voters) - majority(len(voters)) + 1 if votes is None else 0
        self.told: dict[str, dict[str, int]] = {}   # of a blank one: what the others granted
        self.changed = False

    @property
    def blank(self) -> bool:
        return len(self.told) < self.needs

    def start(self) -> Sent:
        """What a blank one asks, also again after a while."""
        return [(one, Recall(0)) for one in self.others] if self.blank else []

    def hear(self, peer: str, message: Message, now: float) -> Sent:
        if isinstance(message, Ask):
            return self._asked(peer, message, now)
        if isinstance(message, Release):
            return self._released(peer, message)
        if isinstance(message, Recall):
            return [] if self.blank else [(peer, Recalled(message.round, {
                duty: number for duty, (number, _) in self.votes.items()}))]
        if isinstance(message, Recalled) and self.blank and peer in self.others:
            self.told[peer] = message.seen
            if not self.blank:
                self.quiet = now + self.term
                for seen in self.told.values():
                    for duty, number in seen.items():
                        if number > self.votes.get(duty, (0, ""))[0]:
                            self.votes[duty] = number, ""
                self.changed = True
        return []

    def _asked(self, peer: str, ask: Ask, now: float) -> Sent:
        number, holder = self.votes.get(ask.duty, (0, ""))
        free_at = max(self.quiet, self.until.get(ask.duty, 0.0) if holder else 0.0)
        asker = f"{peer}/{ask.life}"
        # nobody was granted it since; a higher number only for one that hears us: one that is heard and hears nobody
        # would keep a duty from the others for good
        again = asker == holder and (ask.number == number or ask.number > number == ask.heard)
        granted = not self.blank and (again or ask.number > number and now >= free_at)
        if granted:
            self.changed = self.changed or self.votes.get(ask.duty) != (ask.number, asker)
            self.votes[ask.duty] = ask.number, asker
            self.until[ask.duty] = now + self.term
            self.waiting.get(ask.duty, {}).pop(peer, None)
        else:
            waiting = self.waiting.setdefault(ask.duty, {})
            if len(waiting) < MOST_WAITING:
                waiting[peer] = None
        seen = self.votes.get(ask.duty, (0, ""))[0]
        return [(peer, Answer(ask.duty, ask.round, granted, seen, 0.0 if granted else max(0.0, free_at - now)))]

    def _released(self, peer: str, release: Release) -> Sent:
        if self.votes.get(release.duty) != (release.number, f"{peer}/{release.life}"):
            return []
        self.votes[release.duty] = release.number, ""
        self.changed = True
        waiting = self.waiting.pop(release.duty, {})
        return [(one, Free(release.duty)) for one in waiting if one != peer]


class Candidate:
    """One sender's part for one duty: it asks while it wants it, keeps it, and says at each moment whether it holds.

    `drift`: how far two clocks may part over a term, as a share; `at`: its place among the candidates, which makes its
    numbers its own. A lease counts from when its ask left."""

    def __init__(self, name: str, at: int, candidates: int, duty: str, voters: Sequence[str], term: float,
                 life: int, drift: float = 0.02) -> None:
        self.name, self.at, self.step, self.duty, self.voters = name, at, max(1, candidates), duty, list(voters)
        self.term, self.holds_for = term, term * (1.0 - 2.0 * drift)
        self.life, self.dice = life, random.Random(f"{name} {duty} {life}")
        self.wants, self.number, self.seen, self.round = False, 0, 0, 0
        self.sent_at = self.until = -1e18
        self.grants: set[str] = set()
        self.heard: dict[str, int] = {}     # voter: the number that it granted last
        self.silent = 0                     # rounds that no majority answered
        self.answered: set[str] = set()     # who did, of this round
        self.trip = 0.0                     # the longest answer lately, ms
        self.beaten = 0                     # asks in a row that some granted and some not
        self.next_at = -1e18            # of the next ask
        self.longest = 0.0              # of the waits that this round's answers told

    def holds(self, now: float) -> int | None:
        """The fencing number under which it may act at this moment, by its own clock; asked before each act."""
        return self.number if self.number and now < self.until else None

    def tick(self, now: float) -> Sent:
        """What is due now; `next_at` says when to ask again."""
        if not self.wants or now < self.next_at:
            return []
        kept = self.holds(now) is not None
        if not kept:
            self.number = (max(self.seen, self.number) // self.step + 1) * self.step + self.at
        self.round += 1
        self.sent_at, self.longest = now, 0.0
        self.grants.clear()
        self.answered.clear()
        # a holder asks again after a third of its time; who hears nobody ever more seldom
        rest = self.dice.uniform(0.25, 0.35) if kept else self.dice.uniform(0.3, 0.6) * 2.0 ** min(self.silent, 3)
        self.next_at = now + self.holds_for * rest
        self.silent += 1
        return [(one, Ask(self.duty, self.number, self.round, self.life, self.heard.get(one, 0)))
                for one in self.voters]

    def hear(self, peer: str, message: Message, now: float) -> Sent:
        if isinstance(message, Free) and message.duty == self.duty:
            if self.wants and self.holds(now) is None:      # those who wait come one after the other
                self.next_at = min(self.next_at, now + self._apart(0.02))
        if not isinstance(message, Answer) or message.duty != self.duty or peer not in self.voters:
            return []
        self.seen = max(self.seen, message.seen)
        if message.granted:
            self.heard[peer] = message.seen
        if message.round == self.round:
            self.trip = max(now - self.sent_at, 0.9 * self.trip)
            self.answered.add(peer)
            if len(self.answered) >= majority(len(self.voters)):
                self.silent = 0
        if message.round != self.round or not self.wants:
            stray = message.granted and message.seen != self.number     # granted to an ask that was given up
            return [(peer, Release(self.duty, message.seen, self.life))] if stray else []
        if message.granted:
            self.grants.add(peer)
            if len(self.grants) >= majority(len(self.voters)):
                self.until, self.beaten = max(self.until, self.sent_at + self.holds_for), 0
            return []
        if self.holds(now) is None:
            self.longest = max(self.longest, message.wait_ms)
            self.beaten += bool(self.grants)
            self.next_at = max(self.next_at, now + self.longest + self._apart(0.2))
            if self.grants:         # a split vote is to bind nobody for a term; from here on this ask counts no more
                sent: Sent = [(one, Release(self.duty, self.number, self.life)) for one in self.grants]
                self.seen, self.number, self.round = max(self.seen, self.number), 0, self.round + 1
                return sent
        return []

    def _apart(self, share: float) -> float:
        """How much later to ask, by chance, so that those who wait come one after the other: over a share of the term,
        or two answers' time where that is longer, twice as far after each ask that met another's, half a term at most.

        Guards against candidates that take votes from each other again and again."""
        span = max(share * self.term, 2.0 * self.trip) * 2.0 ** min(self.beaten, 4)
        return self.dice.uniform(0.0, min(span, 0.5 * self.term + 2.0 * self.trip))

    def release(self, now: float) -> Sent:
        """Gives the duty up at once, by intent: it no longer holds when this returns."""
        held, self.wants, self.until = self.number, False, -1e18
        self.round += 1
        return [(one, Release(self.duty, held, self.life)) for one in self.voters] if held else []


class Fence:
    """The side that takes a duty's effects: one under an older number than it has seen is refused."""

    def __init__(self, seen: int = 0) -> None:
        self.seen, self.refused = seen, 0

    def takes(self, number: int) -> bool:
        if number < self.seen:
            self.refused += 1
            return False
        self.seen = number
        return True
