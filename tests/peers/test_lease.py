"""The lease protocol: messages lost, doubled and late in any order, with restarts, in a small world."""

import copy
import random

import pytest

from dewpin.peers.fencing import FencingGuard
from dewpin.peers.lease_candidate import NEVER_MS, LeaseCandidate
from dewpin.peers.lease_messages import LeaseFreed, LeaseReply, LeaseRequest, RecoveryReply, RecoveryRequest
from dewpin.peers.lease_voter import NO_VOTE, LeaseVoter

VOTERS, TERM_MS = ("x", "y", "z"), 2.0
COPIED_ATTRIBUTES = ("votes", "granted_until_ms", "waiting_candidates", "recovered_tokens", "grants", "granted_tokens")


class World:
    """Three voters, two candidates. Sent messages stay for good: each may be received at any time, again or never."""

    def __init__(self, voter, candidate):
        self.now_ms = 0.0
        self.voters = {name: voter(name, VOTERS, TERM_MS, -TERM_MS, {}) for name in VOTERS}
        self.candidates = {
            name: candidate(name, at, 2, "d", VOTERS, TERM_MS, 0, drift=0.0) for at, name in enumerate("ab")
        }
        self.sent, self.held_tokens, self.restarts = {}, (), 0

    def key(self):
        return (
            self.now_ms,
            frozenset(self.sent),
            self.held_tokens,
            self.restarts,
            tuple(
                (tuple(one.votes.items()), tuple(one.granted_until_ms.items()), one.grants_nothing_until_ms)
                for one in self.voters.values()
            ),
            tuple(
                (
                    one.fencing_token,
                    one.highest_token,
                    one.round,
                    one.holds_until_ms,
                    frozenset(one.grants),
                    one.wants_lease,
                    tuple(one.granted_tokens.items()),
                )
                for one in self.candidates.values()
            ),
        )

    def fork(self):
        other = copy.copy(self)
        other.voters, other.candidates = dict(self.voters), dict(self.candidates)
        return other

    def own(self, parties, name):
        """A copy of one party, to be changed."""
        one = parties[name] = copy.copy(parties[name])
        for attribute in COPIED_ATTRIBUTES:
            if isinstance(getattr(one, attribute, None), (dict, set)):
                setattr(one, attribute, copy.copy(getattr(one, attribute)))
        return one

    def send(self, name, envelopes):
        self.sent = self.sent | {
            (name, to, without_wait(message)): None for to, message in envelopes if not isinstance(message, LeaseFreed)
        }

    def check(self):
        """Notes who holds the lease at this moment; None once two do, or a fencing token did not grow."""
        holding = {one.held_token(self.now_ms) for one in self.candidates.values()} - {None}
        for token in sorted(holding - set(self.held_tokens)):
            if self.held_tokens and token < max(self.held_tokens):
                return None
            self.held_tokens += (token,)
        holders = [1 for one in self.candidates.values() if one.held_token(self.now_ms) is not None]
        return None if len(holders) > 1 else self

    def steps(self, rounds, end_ms, restarts, voter):
        """What may happen next, each as a function and its arguments, which gives the world after it."""
        if self.now_ms < end_ms:
            yield (self.after_a_while,)
        for name, one in self.candidates.items():
            if one.round < rounds:
                yield self.after_request, name
        if self.restarts < restarts:
            yield self.after_restart, voter
        for one in self.sent:
            yield self.after_receipt, one

    def after_a_while(self):
        other = self.fork()
        other.now_ms += 1.0
        return other

    def after_request(self, name):
        other = self.fork()
        mine = other.own(other.candidates, name)
        mine.wants_lease, mine.next_request_at_ms = True, NEVER_MS
        other.send(name, mine.tick(self.now_ms))
        return other

    def after_restart(self, voter):
        """Of the first voter: all are alike. What it granted is on disk."""
        other = self.fork()
        other.voters["x"] = voter("x", VOTERS, TERM_MS, self.now_ms, self.voters["x"].votes)
        other.restarts += 1
        return other

    def after_receipt(self, one):
        sender, to, message = one
        other = self.fork()
        mine = other.own(other.voters if to in other.voters else other.candidates, to)
        other.send(to, mine.receive(sender, message, self.now_ms))
        return other


def without_wait(message):
    if isinstance(message, LeaseReply):
        return LeaseReply(message.role, message.round, message.is_granted, message.highest_token, 0.0)
    return message


def explore(voter=LeaseVoter, candidate=LeaseCandidate, rounds=1, end_ms=2.0, restarts=1, max_states=6000):
    """The nearest state that breaks a rule; None if the first `max_states` have none."""
    first = World(voter, candidate)
    seen, queue = {first.key()}, [first]
    for world in queue:
        for step, *arguments in world.steps(rounds, end_ms, restarts, voter):
            other = step(*arguments)
            if other.key() not in seen:
                seen.add(other.key())
                if other.check() is None:
                    return other
                if len(seen) >= max_states:
                    return None
                queue.append(other)
    return None


def walk(voter=LeaseVoter, candidate=LeaseCandidate, walks=2000, length=60, rounds=4, end_ms=8.0, restarts=2, seed=1):
    """The same on long random walks, with how many leases were held on them all."""
    random_source, leases = random.Random(seed), 0
    for _ in range(walks):
        world = World(voter, candidate)
        for _ in range(length):
            steps = list(world.steps(rounds, end_ms, restarts, voter))
            step, *arguments = random_source.choice(steps[-3:] if random_source.random() < 0.5 else steps)
            world = step(*arguments)
            if world.check() is None:
                return world, leases
        leases += len(world.held_tokens)
    return None, leases


class ForgetsVotes(LeaseVoter):
    """Its votes don't outlive it."""

    def __init__(self, name, voters, term_ms, now_ms, votes):
        super().__init__(name, voters, term_ms, -1e9, {})


class GrantsAtOnceAfterRestart(LeaseVoter):
    """Restarted, it takes what it granted for over."""

    def __init__(self, name, voters, term_ms, now_ms, votes):
        super().__init__(name, voters, term_ms, -1e9, votes)


class GrantsTokenTwice(LeaseVoter):
    """Grants a token again that another candidate had."""

    def _handle_request(self, peer, request, now_ms):
        granted_token = self.votes.get(request.role, NO_VOTE)[0]
        if granted_token >= request.fencing_token and now_ms >= self.granted_until_ms.get(request.role, 0.0):
            self.votes[request.role] = request.fencing_token - 1, ""
        return super()._handle_request(peer, request, now_ms)


class ReadsClockAtEventsOnly(LeaseCandidate):
    """Reads its clock only when it receives something."""

    def held_token(self, now_ms):
        return self.fencing_token if self.fencing_token and self.holds_until_ms > 0.0 else None


class CountsTermFromReply(LeaseCandidate):
    """Counts the lease from when it received the reply."""

    def receive(self, peer, message, now_ms):
        self.sent_at_ms = now_ms
        return super().receive(peer, message, now_ms)


class CountsAbandonedRequest(LeaseCandidate):
    """Counts grants of a request that it gave up."""

    def receive(self, peer, message, now_ms):
        token, round_, grants = self.fencing_token, self.round, set(self.grants)
        envelopes = super().receive(peer, message, now_ms)
        if self.round > round_:
            self.fencing_token, self.round, self.grants = token, round_, grants
        return envelopes


class HoldsWithMinority(LeaseCandidate):
    """One grant is enough for it."""

    def receive(self, peer, message, now_ms):
        envelopes = super().receive(peer, message, now_ms)
        if self.grants:
            self.holds_until_ms = max(self.holds_until_ms, self.sent_at_ms + self.holds_for_ms)
        return envelopes


def test_never_two_holders_and_tokens_only_grow_in_near_states_and_on_long_walks():
    assert explore() is None
    broken, leases = walk()
    assert broken is None and leases > 300


@pytest.mark.parametrize(
    "kinds",
    [
        {"voter": ForgetsVotes},
        {"voter": GrantsAtOnceAfterRestart},
        {"voter": GrantsTokenTwice},
        {"candidate": ReadsClockAtEventsOnly},
        {"candidate": CountsTermFromReply},
        {"candidate": CountsAbandonedRequest},
        {"candidate": HoldsWithMinority},
    ],
)
def test_each_broken_variant_is_caught(kinds):
    assert walk(**kinds, walks=20000)[0] is not None


def test_lease_is_held_soon_once_a_majority_talks_and_a_release_hands_it_over_in_a_round():
    """Time goes on by 10 ms, a message takes one step; the third voter is silent all the time."""
    voters = {name: LeaseVoter(name, VOTERS, 1000.0, -1000.0, {}) for name in VOTERS}
    candidates = [LeaseCandidate(name, at, 4, "d", VOTERS, 1000.0, at) for at, name in enumerate("abcd")]
    in_flight, now_ms, holders = [], 0.0, []

    def step():
        nonlocal in_flight, now_ms
        now_ms += 10.0
        arriving, in_flight = in_flight, []
        for sender, to, message in arriving:
            recipients = [voters[to]] if to in voters and to != "z" else [one for one in candidates if one.name == to]
            in_flight += [(to, *one) for each in recipients for one in each.receive(sender, message, now_ms)]
        for one in candidates:
            in_flight += [(one.name, *each) for each in one.tick(now_ms)]
        holding = [one for one in candidates if one.held_token(now_ms) is not None]
        assert len(holding) <= 1
        if holding and (not holders or holders[-1] != (holding[0].name, holding[0].fencing_token)):
            holders.append((holding[0].name, holding[0].fencing_token))
        return holding[0] if holding else None

    for one in candidates:
        one.wants_lease = True
    while not (first := step()):
        assert now_ms < 2500.0
    for _ in range(500):  # five terms: the same one keeps it
        assert step() is first
    in_flight += [(first.name, *each) for each in first.release(now_ms)]
    assert first.held_token(now_ms) is None
    began_ms = now_ms
    while step() is None:
        assert now_ms < began_ms + 100.0
    silent = next(one for one in candidates if one.held_token(now_ms) is not None)
    candidates.remove(silent)  # it is lost: the next one holds once its lease is over
    began_ms = now_ms
    while step() is None:
        assert now_ms < began_ms + 2500.0
    assert [token for _, token in holders] == sorted({token for _, token in holders}) and len(holders) == 3


def test_candidate_that_is_heard_and_hears_nobody_keeps_the_lease_from_nobody():
    voter = LeaseVoter("x", VOTERS, 1000.0, -1000.0, {})
    deaf = LeaseCandidate("a", 0, 2, "d", ["x"], 1000.0, 1)
    deaf.wants_lease, now_ms, requests = True, 0.0, 0
    while not voter.receive("b", LeaseRequest("d", 1001, 1, 2), now_ms)[0].message.is_granted:
        now_ms += 10.0
        for _, request in deaf.tick(now_ms):
            requests += 1
            voter.receive("a", request, now_ms)
        assert now_ms < 5000.0
    assert requests < 10


def test_voter_without_stored_votes_grants_nothing_until_enough_others_reported_their_grants():
    recovering = LeaseVoter("x", VOTERS, 1000.0, 0.0, None)
    request = LeaseRequest("d", 9, 1, 0)
    assert [peer for peer, _ in recovering.start_recovery()] == ["y", "z"]
    assert not recovering.receive("a", request, 5000.0)[0].message.is_granted
    recovering.receive("y", RecoveryReply(0, {"d": 7}), 5000.0)
    recovering.receive("a", RecoveryReply(0, {"d": 1}), 5000.0)  # no voter
    assert recovering.is_recovering and not recovering.receive("a", request, 5000.0)[0].message.is_granted
    recovering.receive("z", RecoveryReply(0, {"d": 12}), 5000.0)
    assert not recovering.is_recovering and not recovering.start_recovery()
    reply = recovering.receive("a", LeaseRequest("d", 14, 2, 0), 5500.0)[0].message
    assert not reply.is_granted and reply.highest_token == 12 and reply.wait_ms == 500.0
    assert not recovering.receive("a", LeaseRequest("d", 11, 2, 0), 6000.0)[0].message.is_granted
    assert recovering.receive("a", LeaseRequest("d", 14, 2, 0), 6000.0)[0].message.is_granted
    assert recovering.has_unsaved_votes
    # it can't report either
    assert not LeaseVoter("x", VOTERS, 1000.0, 0.0, None).receive("y", RecoveryRequest(0), 0.0)


def test_restarted_candidate_is_another_holder_and_older_tokens_are_rejected():
    voter = LeaseVoter("x", VOTERS, 1000.0, -1000.0, {})
    assert voter.receive("a", LeaseRequest("d", 4, 1, 77), 0.0)[0].message.is_granted
    # the one before may only have been stopped
    assert not voter.receive("a", LeaseRequest("d", 8, 1, 78), 500.0)[0].message.is_granted
    assert voter.receive("a", LeaseRequest("d", 8, 1, 78), 1000.0)[0].message.is_granted
    guard = FencingGuard()
    assert [guard.accepts(token) for token in (4, 4, 8, 4, 8)] == [True, True, True, False, True]
    assert guard.rejected_count == 1
