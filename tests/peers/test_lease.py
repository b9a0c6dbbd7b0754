"""The lease protocol: messages lost, doubled and late in any order, with restarts, in a small world."""

import copy
import random

import pytest

from dewpin.peers import lease
from dewpin.peers.lease import Answer, Candidate, Fence, Recalled, Voter
from dewpin.peers.wire import MOST, pack, unpack

VOTERS, TERM = ("x", "y", "z"), 2.0


class World:
    """Three voters, two candidates. Messages stay in `soup` for good: each may be taken at any time, again or never."""

    def __init__(self, voter, candidate):
        self.now = 0.0
        self.voters = {name: voter(name, VOTERS, TERM, -TERM, {}) for name in VOTERS}
        self.candidates = {
            name: candidate(name, at, 2, "d", VOTERS, TERM, 0, drift=0.0) for at, name in enumerate("ab")
        }
        self.soup, self.held, self.restarts = {}, (), 0

    def key(self):
        return (
            self.now,
            frozenset(self.soup),
            self.held,
            self.restarts,
            tuple((tuple(one.votes.items()), tuple(one.until.items()), one.quiet) for one in self.voters.values()),
            tuple(
                (one.number, one.seen, one.round, one.until, frozenset(one.grants), one.wants, tuple(one.heard.items()))
                for one in self.candidates.values()
            ),
        )

    def fork(self):
        other = copy.copy(self)
        other.voters, other.candidates = dict(self.voters), dict(self.candidates)
        return other

    def own(self, held, name):
        """A copy of one party, to be changed."""
        one = held[name] = copy.copy(held[name])
        for field in ("votes", "until", "waiting", "told", "grants", "heard"):
            if isinstance(getattr(one, field, None), (dict, set)):
                setattr(one, field, copy.copy(getattr(one, field)))
        return one

    def send(self, name, sent):
        self.soup = self.soup | {
            (name, to, plain(message)): None for to, message in sent if not isinstance(message, lease.Free)
        }

    def note(self):
        """Who holds at this moment; None once two do, or a number did not grow."""
        holding = {one.holds(self.now) for one in self.candidates.values()} - {None}
        for number in sorted(holding - set(self.held)):
            if self.held and number < max(self.held):
                return None
            self.held += (number,)
        return None if len([1 for one in self.candidates.values() if one.holds(self.now) is not None]) > 1 else self

    def ways(self, rounds, end, restarts, kind):
        """What may happen next, each as a function and its arguments: the world after it."""
        if self.now < end:
            yield (self.later,)
        for name, one in self.candidates.items():
            if one.round < rounds:
                yield self.asks, name
        if self.restarts < restarts:
            yield self.restart, kind
        for one in self.soup:
            yield self.hears, one

    def later(self):
        other = self.fork()
        other.now += 1.0
        return other

    def asks(self, name):
        other = self.fork()
        mine = other.own(other.candidates, name)
        mine.wants, mine.next_at = True, -1e18
        other.send(name, mine.tick(self.now))
        return other

    def restart(self, kind):
        """Of the first voter: all are alike. What it granted is on disk."""
        other = self.fork()
        other.voters["x"] = kind("x", VOTERS, TERM, self.now, self.voters["x"].votes)
        other.restarts += 1
        return other

    def hears(self, one):
        sender, to, message = one
        other = self.fork()
        mine = other.own(other.voters if to in other.voters else other.candidates, to)
        other.send(to, mine.hear(sender, message, self.now))
        return other


def plain(message):
    if isinstance(message, Answer):
        return Answer(message.duty, message.round, message.granted, message.seen, 0.0)
    return message


def explored(voter=Voter, candidate=Candidate, rounds=1, end=2.0, restarts=1, most=6000):
    """The nearest state that two hold in, or a number doesn't grow; None if the first `most` have none."""
    first = World(voter, candidate)
    seen, queue = {first.key()}, [first]
    for world in queue:
        for step, *given in world.ways(rounds, end, restarts, voter):
            other = step(*given)
            if other.key() not in seen:
                seen.add(other.key())
                if other.note() is None:
                    return other
                if len(seen) >= most:
                    return None
                queue.append(other)
    return None


def walked(voter=Voter, candidate=Candidate, walks=2000, steps=60, rounds=4, end=8.0, restarts=2, seed=1):
    """The same on long walks by chance, with how many leases were held on them all."""
    dice, held = random.Random(seed), 0
    for _ in range(walks):
        world = World(voter, candidate)
        for _ in range(steps):
            ways = list(world.ways(rounds, end, restarts, voter))
            step, *given = dice.choice(ways[-3:] if dice.random() < 0.5 else ways)
            world = step(*given)
            if world.note() is None:
                return world, held
        held += len(world.held)
    return None, held


class Forgets(Voter):
    """Its promises don't outlive it."""

    def __init__(self, name, voters, term, now, votes):
        super().__init__(name, voters, term, -1e9, {})


class Hasty(Voter):
    """Restarted, it takes what it granted for over."""

    def __init__(self, name, voters, term, now, votes):
        super().__init__(name, voters, term, -1e9, votes)


class Repeats(Voter):
    """Grants a number again that another had."""

    def _asked(self, peer, ask, now):
        if self.votes.get(ask.duty, (0, ""))[0] >= ask.number and now >= self.until.get(ask.duty, 0.0):
            self.votes[ask.duty] = ask.number - 1, ""
        return super()._asked(peer, ask, now)


class Timer(Candidate):
    """Asks its clock only when it is told something."""

    def holds(self, now):
        return self.number if self.number and self.until > 0.0 else None


class FromAnswer(Candidate):
    """Counts the lease from when it heard of it."""

    def hear(self, peer, message, now):
        self.sent_at = now
        return super().hear(peer, message, now)


class GoesOn(Candidate):
    """Counts grants of an ask that it gave up."""

    def hear(self, peer, message, now):
        number, round_, grants = self.number, self.round, set(self.grants)
        sent = super().hear(peer, message, now)
        if self.round > round_:
            self.number, self.round, self.grants = number, round_, grants
        return sent


class Minority(Candidate):
    def hear(self, peer, message, now):
        sent = super().hear(peer, message, now)
        if self.grants:
            self.until = max(self.until, self.sent_at + self.holds_for)
        return sent


def test_never_two_hold_and_numbers_only_grow_in_the_nearest_states_and_on_long_walks():
    assert explored() is None
    broken, held = walked()
    assert broken is None and held > 300


@pytest.mark.parametrize(
    "kinds",
    [
        {"voter": Forgets},
        {"voter": Hasty},
        {"voter": Repeats},
        {"candidate": Timer},
        {"candidate": FromAnswer},
        {"candidate": GoesOn},
        {"candidate": Minority},
    ],
)
def test_each_broken_variant_is_caught(kinds):
    assert walked(**kinds, walks=20000)[0] is not None


def test_some_candidate_holds_soon_once_a_majority_talks_and_a_release_hands_over_in_a_round():
    """Time goes on by 10 ms, a message takes one step; the third voter is silent all the time."""
    voters = {name: Voter(name, VOTERS, 1000.0, -1000.0, {}) for name in VOTERS}
    candidates = [Candidate(name, at, 4, "d", VOTERS, 1000.0, at) for at, name in enumerate("abcd")]
    way, now, holders = [], 0.0, []

    def step():
        nonlocal way, now
        now += 10.0
        sent, way = way, []
        for sender, to, message in sent:
            heard = [voters[to]] if to in voters and to != "z" else [one for one in candidates if one.name == to]
            way += [(to, *one) for each in heard for one in each.hear(sender, message, now)]
        for one in candidates:
            way += [(one.name, *each) for each in one.tick(now)]
        holding = [one for one in candidates if one.holds(now) is not None]
        assert len(holding) <= 1
        if holding and (not holders or holders[-1] != (holding[0].name, holding[0].number)):
            holders.append((holding[0].name, holding[0].number))
        return holding[0] if holding else None

    for one in candidates:
        one.wants = True
    while not (first := step()):
        assert now < 2500.0
    for _ in range(500):  # five terms: the same one keeps it
        assert step() is first
    way += [(first.name, *each) for each in first.release(now)]
    assert first.holds(now) is None
    began = now
    while step() is None:
        assert now < began + 100.0
    silent = next(one for one in candidates if one.holds(now) is not None)
    candidates.remove(silent)  # it is lost: the next one holds once its lease is over
    began = now
    while step() is None:
        assert now < began + 2500.0
    assert [number for _, number in holders] == sorted({number for _, number in holders}) and len(holders) == 3


def test_one_that_is_heard_and_hears_nobody_keeps_the_duty_from_nobody():
    voter, deaf = Voter("x", VOTERS, 1000.0, -1000.0, {}), Candidate("a", 0, 2, "d", ["x"], 1000.0, 1)
    deaf.wants, now, asked = True, 0.0, 0
    while not voter.hear("b", lease.Ask("d", 1001, 1, 2), now)[0][1].granted:
        now += 10.0
        for _, ask in deaf.tick(now):
            asked += 1
            voter.hear("a", ask, now)
        assert now < 5000.0
    assert asked < 10


def test_a_voter_without_its_folder_grants_nothing_until_enough_others_told_what_they_granted():
    blank = Voter("x", VOTERS, 1000.0, 0.0, None)
    ask = lease.Ask("d", 9, 1, 0)
    assert [peer for peer, _ in blank.start()] == ["y", "z"]
    assert not blank.hear("a", ask, 5000.0)[0][1].granted
    blank.hear("y", Recalled(0, {"d": 7}), 5000.0)
    blank.hear("a", Recalled(0, {"d": 1}), 5000.0)  # no voter
    assert blank.blank and not blank.hear("a", ask, 5000.0)[0][1].granted
    blank.hear("z", Recalled(0, {"d": 12}), 5000.0)
    assert not blank.blank and not blank.start()
    answer = blank.hear("a", lease.Ask("d", 14, 2, 0), 5500.0)[0][1]
    assert not answer.granted and answer.seen == 12 and answer.wait_ms == 500.0
    assert not blank.hear("a", lease.Ask("d", 11, 2, 0), 6000.0)[0][1].granted
    assert blank.hear("a", lease.Ask("d", 14, 2, 0), 6000.0)[0][1].granted and blank.changed
    assert not Voter("x", VOTERS, 1000.0, 0.0, None).hear("y", lease.Recall(0), 0.0)  # it can't tell either


def test_one_that_was_started_anew_is_another_and_the_taking_side_refuses_older_numbers():
    voter = Voter("x", VOTERS, 1000.0, -1000.0, {})
    assert voter.hear("a", lease.Ask("d", 4, 1, 77), 0.0)[0][1].granted
    assert not voter.hear("a", lease.Ask("d", 8, 1, 78), 500.0)[0][1].granted  # it may only have been stopped
    assert voter.hear("a", lease.Ask("d", 8, 1, 78), 1000.0)[0][1].granted
    fence = Fence()
    assert [fence.takes(number) for number in (4, 4, 8, 4, 8)] == [True, True, True, False, True] and fence.refused == 1


def test_datagrams_that_are_no_message_are_told_apart():
    message = lease.Answer("d", 3, True, 9, 0.0)
    content = pack("a", message)
    packet = unpack(content)
    assert packet.name == "a" and packet.message == message
    dice = random.Random(3)
    for _ in range(300):
        spoilt = bytearray(content)
        spoilt[dice.randrange(len(spoilt))] = dice.randrange(256)
        unpack(bytes(spoilt[: dice.randrange(len(spoilt) + 1)]))
    assert unpack(b"") is None and unpack(content[:-1]) is None and unpack(b"x" * (MOST + 1)) is None
    assert unpack(content.replace(b"\x01", b"\x02", 1)) is None  # another version
    with pytest.raises(ValueError):
        pack("a" * 2000, message)
