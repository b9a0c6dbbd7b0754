"""Who of the senders is there: SWIM with suspicion and Lifeguard's local health. Free of I/O.

It owns the list of members and what is told of them: messages, where they came from and the time (ms, of a clock that
never steps) go in, messages with where they go come out. It never says that a member is lost on its own word alone
without having asked others, and it must stay harmless when the process itself was the one that stood still. What it
says is an opinion: whoever needs to be the only one takes a lease. docs/peers.md has the sources and the measurements.
"""
import random
import zlib
from collections.abc import Sequence
from heapq import heappop, heappush
from math import ceil, log, log2, log10

import msgspec

from .member_messages import (
    ALIVE,
    LEFT,
    LOST,
    NAME,
    ROOM,
    SUSPECT,
    Ack,
    Address,
    Entry,
    Nack,
    Out,
    Page,
    Ping,
    Pull,
    Said,
    Try,
    bytes_of,
)
from .member_news import News

HELPERS = 3             # members asked to try one that did not answer
CONFIRMS = 3            # further accusers that make a suspicion as short as it gets
HEALTH = 8              # steps of doubt in oneself, at most
TELLS = 4.0             # times log2 of the members that a piece of news is sent on
ALPHA, BETA = 4.0, 6.0  # a suspicion's least time, in periods times log10 of the members; its longest, in least ones
MOST = 1000             # members that are kept, lost ones included; further names are left out and counted
KEEPS = 60.0            # periods that a lost member is remembered, and tried again now and then
PULLS = 30.0            # periods between two looks at another's whole list
RELAYS = 64             # tries for others at a time


class Member:
    def __init__(self, entry: Entry, now: float) -> None:
        self.entry, self.since = entry, now
        self.accusers: set[str] = set()
        self.suspected_at = self.ends_at = 0.0


class Trial:
    """The ping that is out."""

    def __init__(self, seq: int, name: str, now: float) -> None:
        self.seq, self.name, self.sent_at = seq, name, now
        self.answered = self.helped = False
        self.nacks, self.helpers = 0, 0


class Members:
    """`seeds`: addresses of any members, asked until one answers. `period`: ms between two pings of ours."""

    def __init__(self, name: str, address: Address, life: int, seeds: Sequence[Address], now: float,
                 period: float = 1000.0, timeout: float = 300.0) -> None:
        self.name, self.seeds, self.period, self.timeout = name, list(seeds), period, timeout
        self.dice = random.Random(f"{name} {life}")
        self.me = Entry(name, *address, life, 0, ALIVE)
        self.members: dict[str, Member] = {}        # all others that were heard of
        self.here = 0                               # of these, alive or suspected
        self.news = News()
        self.order: list[str] = []                  # of pings, drawn anew each round
        self.seq = self.doubt = 0                   # doubt: Lifeguard's local health, 0: none
        self.trial: Trial | None = None
        self.relays: dict[int, tuple[str, Address, int]] = {}   # tries for others: our seq: who asked, its seq
        self.due: list[tuple[float, str, int]] = []     # (when, suspected name or "", seq of a relay)
        self.ticked = now
        self.next_at, self.pull_at, self.heal_at = now + self.dice.uniform(0.0, period), now, now + 10.0 * period
        self.joined, self.replaced, self.left = not self.seeds, False, False
        self.told: list[tuple[str, int]] = []       # what changed since it was last taken: (name, state)
        self.refused = 0                            # names or entries that were out of bounds
        self.news.add(self.me)

    # -- what others use ------------------------------------------------------------------------------------

    def alive(self) -> list[str]:
        """All that are there as far as is known, itself and the suspected ones included, in order."""
        own = [] if self.left or self.replaced else [self.name]
        return sorted(own + [name for name, one in self.members.items() if one.entry.state <= SUSPECT])

    def address(self, name: str) -> Address | None:
        one = self.members.get(name)
        return (one.entry.host, one.entry.port) if one and one.entry.state <= SUSPECT else None

    def changes(self) -> list[tuple[str, int]]:
        told, self.told = self.told, []
        return told

    def leave(self) -> Out:
        """By intent: some are told at once, they tell the others. Nothing is said after it."""
        self.me = msgspec.structs.replace(self.me, state=LEFT)
        self.left = True
        self.news.add(self.me)
        return [self._to(name, Ping(self._next(), self._gossip(name))) for name in self._some(HELPERS, "")]

    def tick(self, now: float) -> Out:
        """What is due. To be asked several times a time-out; a gap in that is a standstill of our own."""
        late, self.ticked = now - self.ticked, now
        if self.left or self.replaced:
            return []
        if late > self.timeout:
            self._slept(late)
        out = self._expire(now)
        if now >= self.next_at:
            out += self._close(now) + self._open(now)
        elif (trial := self.trial) and not trial.answered and not trial.helped and (
                now >= trial.sent_at + self.timeout * (1 + self.doubt)):
            out += self._ask_around(trial)
        if now >= self.pull_at:
            out += self._pull(now)
        if now >= self.heal_at:
            out += self._heal(now)
        return out

    def hear(self, peer: str, address: Address, message: Said, now: float) -> Out:
        if self.left or self.replaced:
            return []
        if isinstance(message, Ping):
            self._learn(message.news, now)
            return [(peer, address, Ack(message.seq, self._gossip(peer)))]
        if isinstance(message, Ack):
            self._learn(message.news, now)
            return self._acked(message.seq, now)
        if isinstance(message, Nack):
            if self.trial and message.seq == self.trial.seq:
                self.trial.nacks += 1
            return []
        if isinstance(message, Try):
            return self._help(peer, address, message, now)
        if isinstance(message, Pull):
            self._learn((message.me,), now)
            return [(peer, address, self._page(message))]
        self._learn(message.entries, now)
        self.joined = True
        if message.more and message.entries:
            return [(peer, address, Pull(message.entries[-1].name, 0, self.me))]
        return []

    # -- pings ----------------------------------------------------------------------------------------------

    def _open(self, now: float) -> Out:
        self.next_at = now + self.period * (1 + self.doubt)
        name = self._next_name()
        if name is None:
            return []
        self.trial = Trial(self._next(), name, now)
        return [self._to(name, Ping(self.trial.seq, self._gossip(name)))]

    def _close(self, now: float) -> Out:
        trial, self.trial = self.trial, None
        if trial is None or trial.answered:
            return []
        if not trial.helped:        # the loop was late: it never came to ask others, so it can't say
            self._doubt(1)
            return []
        self._doubt(max(1, trial.helpers - trial.nacks))    # helpers that we don't hear either: it may be us
        one = self.members.get(trial.name)
        if one and one.entry.state <= SUSPECT:      # one that is suspected already: another accuser
            self._learn((msgspec.structs.replace(one.entry, state=SUSPECT, by=self.name),), now)
        return []

    def _ask_around(self, trial: Trial) -> Out:
        trial.helped = True
        to = self.members.get(trial.name)
        if to is None:
            return []
        helpers = self._some(HELPERS, trial.name)
        trial.helpers = len(helpers)
        ask = [self._to(one, Try(trial.seq, trial.name, to.entry.host, to.entry.port, self._gossip(one)))
               for one in helpers]
        return [*ask, self._to(trial.name, Ping(trial.seq, self._gossip(trial.name)))]

    def _acked(self, seq: int, now: float) -> Out:
        if self.trial and seq == self.trial.seq:
            if not self.trial.answered:
                self._doubt(-1)
            self.trial.answered = True
            return []
        asker = self.relays.pop(seq, None)
        return [(asker[0], asker[1], Ack(asker[2], self._gossip(asker[0])))] if asker else []

    def _help(self, peer: str, address: Address, message: Try, now: float) -> Out:
        self._learn(message.news, now)
        if len(self.relays) >= RELAYS:
            return [(peer, address, Nack(message.seq))]
        seq = self._next()
        self.relays[seq] = peer, address, message.seq
        heappush(self.due, (now + 0.8 * self.timeout, "", seq))
        return [(message.name, (message.host, message.port), Ping(seq, self._gossip(message.name)))]

    def _expire(self, now: float) -> Out:
        out: Out = []
        while self.due and self.due[0][0] <= now:
            _, name, seq = heappop(self.due)
            if not name:
                if asker := self.relays.pop(seq, None):
                    out.append((asker[0], asker[1], Nack(asker[2])))
                continue
            one = self.members.get(name)
            if one and one.entry.state == SUSPECT and one.ends_at <= now:
                self._learn((msgspec.structs.replace(one.entry, state=LOST),), now)
        return out

    def _slept(self, late: float) -> None:
        """Guards against a process that stood still and, awake, takes all the others for lost: what they sent is not
        read yet. Its deadlines move by as long, and it doubts itself."""
        self._doubt(1)
        self.next_at += late
        if self.trial:
            self.trial.sent_at += late
        for one in self.members.values():
            one.ends_at += late
        self.due = [(at + late, name, seq) for at, name, seq in self.due]

    def _doubt(self, by: int) -> None:
        self.doubt = min(HEALTH, max(0, self.doubt + by))

    # -- joining, healing -----------------------------------------------------------------------------------

    def _pull(self, now: float) -> Out:
        """The whole list: from seeds until one answers, then now and then from any; it mends what gossip missed."""
        self.pull_at = now + self.period * (PULLS * self.dice.uniform(0.8, 1.2) if self.joined else 1.0)
        ask = Pull("", self._digest(), self.me)
        if not self.joined:
            return [("", seed, ask) for seed in self.dice.sample(self.seeds, min(2, len(self.seeds)))
                    if seed != (self.me.host, self.me.port)]
        return [self._to(name, ask) for name in self._some(1, "")]

    def _heal(self, now: float) -> Out:
        """Tries one that is lost, or a seed: halves that lost each other find together again. Forgets what is long
        gone."""
        self.heal_at = now + 10.0 * self.period * self.dice.uniform(0.8, 1.2)
        gone = [one for one in self.members.values() if one.entry.state > SUSPECT]
        for one in gone:
            if now - one.since > KEEPS * self.period:
                del self.members[one.entry.name]
        lost = [one.entry for one in gone if one.entry.state == LOST and one.entry.name in self.members]
        out: Out = [("", seed, Pull("", self._digest(), self.me)) for seed in self.dice.sample(
            self.seeds, min(1, len(self.seeds))) if seed != (self.me.host, self.me.port)]
        if lost:
            one_lost = self.dice.choice(lost)
            out.append(self._to(one_lost.name, Ping(self._next(), (one_lost, self.me))))
        return out

    def _page(self, message: Pull) -> Page:
        if message.digest and message.digest == self._digest():
            return Page((), False)
        names = sorted(name for name in [*self.members, self.name] if name > message.after)
        entries: list[Entry] = []
        size = 0
        for name in names:
            entry = self.me if name == self.name else self.members[name].entry
            size += bytes_of(entry)
            if size > ROOM:
                return Page(tuple(entries), True)
            entries.append(entry)
        return Page(tuple(entries), False)

    def _digest(self) -> int:
        text = "".join(f"{name}{entry.rank}" for name, entry in sorted(
            [(self.name, self.me), *((name, one.entry) for name, one in self.members.items())]))
        return zlib.crc32(text.encode()) or 1

    # -- what is known --------------------------------------------------------------------------------------

    def _learn(self, news: Sequence[Entry], now: float) -> None:
        for entry in news:
            if entry.name == self.name:
                self._heard_of_me(entry)
            elif max(len(entry.name), len(entry.host), len(entry.by)) > NAME or not 0 <= entry.state <= LEFT:
                self.refused += 1
            else:
                self._take(entry, now)

    def _heard_of_me(self, entry: Entry) -> None:
        if entry.life > self.me.life:
            self.replaced = True            # another was started under our name since
        elif entry.life == self.me.life and entry.state != ALIVE and entry.count >= self.me.count:
            self._doubt(1)
            self.me = msgspec.structs.replace(self.me, count=entry.count + 1)
            self.news.add(self.me)
        elif entry.rank < self.me.rank and entry.state != ALIVE:
            self.news.add(self.me)             # of an earlier life: they have to hear that we are here

    def _take(self, entry: Entry, now: float) -> None:
        one = self.members.get(entry.name)
        if one is None:
            if len(self.members) >= MOST:
                self.refused += 1
                return
            if entry.state >= LOST:
                return                      # who was not here need not be remembered, else it would be for good
            one = self.members[entry.name] = Member(entry, now)
            self.order.insert(self.dice.randint(0, len(self.order)), entry.name)
            before = LEFT
        elif entry.rank > one.entry.rank:
            before = one.entry.state
            one.entry, one.since = entry, now
        else:
            if entry.rank == one.entry.rank and entry.state == SUSPECT:
                self._confirm(one, entry, now)
            return
        self.here += (entry.state <= SUSPECT) - (before <= SUSPECT)
        self.news.add(entry)
        if entry.state != before:
            self.told.append((entry.name, entry.state))
        if entry.state == SUSPECT:
            one.accusers, one.suspected_at = set(), now
            self._confirm(one, entry, now)

    def _confirm(self, one: Member, entry: Entry, now: float) -> None:
        """Each further accuser shortens a suspicion (Lifeguard), and is told on while it does."""
        if entry.by in one.accusers or len(one.accusers) > CONFIRMS:
            return
        one.accusers.add(entry.by)
        least = ALPHA * max(1.0, log10(max(1, self.here))) * self.period
        needs = min(CONFIRMS, max(0, self.here - 2))
        share = log(len(one.accusers)) / log(needs + 1) if needs else 1.0
        one.ends_at = one.suspected_at + max(least, BETA * least - (BETA - 1.0) * least * share)
        heappush(self.due, (max(now, one.ends_at), entry.name, 0))
        if len(one.accusers) > 1:
            self.news.add(entry)

    def _gossip(self, to: str) -> tuple[Entry, ...]:
        """News for one datagram; one that is doubted hears of it first of all."""
        one = self.members.get(to)
        doubted = one.entry if one and one.entry.state != ALIVE else None
        return self.news.take(doubted, ceil(TELLS * log2(self.here + 2)))

    # -- small things ---------------------------------------------------------------------------------------

    def _next(self) -> int:
        self.seq += 1
        return self.seq

    def _next_name(self) -> str | None:
        """Round robin in an order drawn anew each time: each is pinged in bounded time."""
        for _ in range(2):
            while self.order:
                name = self.order.pop()
                one = self.members.get(name)
                if one and one.entry.state <= SUSPECT:
                    return name
            self.order = [name for name, one in self.members.items() if one.entry.state <= SUSPECT]
            self.dice.shuffle(self.order)
        return None

    def _some(self, count: int, other_than: str) -> list[str]:
        names = [name for name, one in self.members.items() if one.entry.state <= SUSPECT and name != other_than]
        return self.dice.sample(names, min(count, len(names)))

    def _to(self, name: str, message: Said) -> tuple[str, Address, Said]:
        entry = self.members[name].entry
        return name, (entry.host, entry.port), message
