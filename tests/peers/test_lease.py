"""Lease protocol: lost, duplicated, delayed and reordered messages, with restarts, in a small state space."""

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
    """Three voters and two candidates. A sent message is kept: it may be delivered at any time, repeatedly or never."""

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
                (tuple(voter.votes.items()), tuple(voter.granted_until_ms.items()), voter.no_grants_until_ms)
                for voter in self.voters.values()
            ),
            tuple(
                (
                    candidate.fencing_token,
                    candidate.highest_token,
                    candidate.round,
                    candidate.lease_expires_at_ms,
                    frozenset(candidate.grants),
                    candidate.wants_lease,
                    tuple(candidate.granted_tokens.items()),
                )
                for candidate in self.candidates.values()
            ),
        )

    def fork(self):
        other = copy.copy(self)
        other.voters, other.candidates = dict(self.voters), dict(self.candidates)
        return other

    def copy_participant(self, participants, name):
        """Replaces one participant by a copy, which may be changed, and returns it."""
        participant = participants[name] = copy.copy(participants[name])
        for attribute in COPIED_ATTRIBUTES:
            if isinstance(getattr(participant, attribute, None), (dict, set)):
                setattr(participant, attribute, copy.copy(getattr(participant, attribute)))
        return participant

    def send(self, name, envelopes):
        self.sent = self.sent | {
            (name, to, without_wait(message)): None for to, message in envelopes if not isinstance(message, LeaseFreed)
        }

    def check(self):
        """Records the tokens held now; returns None on two holders or a token lower than an earlier one."""
        current_tokens = {candidate.held_token(self.now_ms) for candidate in self.candidates.values()} - {None}
        for token in sorted(current_tokens - set(self.held_tokens)):
            if self.held_tokens and token < max(self.held_tokens):
                return None
            self.held_tokens += (token,)
        holders = [1 for candidate in self.candidates.values() if candidate.held_token(self.now_ms) is not None]
        return None if len(holders) > 1 else self

    def steps(self, rounds, end_ms, restarts, voter):
        """Yields the possible next steps, each as a function that returns the resulting world, and its arguments."""
        if self.now_ms < end_ms:
            yield (self.after_time_step,)
        for name, candidate in self.candidates.items():
            if candidate.round < rounds:
                yield self.after_request, name
        if self.restarts < restarts:
            yield self.after_restart, voter
        for sent_message in self.sent:
            yield self.after_delivery, sent_message

    def after_time_step(self):
        other = self.fork()
        other.now_ms += 1.0
        return other

    def after_request(self, name):
        other = self.fork()
        candidate = other.copy_participant(other.candidates, name)
        candidate.wants_lease, candidate.next_request_at_ms = True, NEVER_MS
        other.send(name, candidate.tick(self.now_ms))
        return other

    def after_restart(self, voter):
        """Restarts the first voter, which stands for any of them; its votes are stored on disk."""
        other = self.fork()
        other.voters["x"] = voter("x", VOTERS, TERM_MS, self.now_ms, self.voters["x"].votes)
        other.restarts += 1
        return other

    def after_delivery(self, sent_message):
        sender, to, message = sent_message
        other = self.fork()
        recipient = other.copy_participant(other.voters if to in other.voters else other.candidates, to)
        other.send(to, recipient.receive(sender, message, self.now_ms))
        return other


def without_wait(message):
    if isinstance(message, LeaseReply):
        return LeaseReply(message.role, message.round, message.is_granted, message.highest_token, 0.0)
    return message


def explore(voter=LeaseVoter, candidate=LeaseCandidate, rounds=1, end_ms=2.0, restarts=1, max_states=6000):
    """Breadth-first search; returns the first state that violates an invariant, None if `max_states` have none."""
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
    """Checks the same on long random walks; also returns the total number of leases held."""
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
    """Does not keep its votes over a restart."""

    def __init__(self, name, voters, term_ms, now_ms, votes):
        super().__init__(name, voters, term_ms, -1e9, {})


class GrantsAtOnceAfterRestart(LeaseVoter):
    """Assumes after a restart that its earlier grants have expired."""

    def __init__(self, name, voters, term_ms, now_ms, votes):
        super().__init__(name, voters, term_ms, -1e9, votes)


class GrantsTokenTwice(LeaseVoter):
    """Grants a token that another candidate was already granted."""

    def _handle_request(self, peer, request, now_ms):
        granted_token = self.votes.get(request.role, NO_VOTE)[0]
        if granted_token >= request.fencing_token and now_ms >= self.granted_until_ms.get(request.role, 0.0):
            self.votes[request.role] = request.fencing_token - 1, ""
        return super()._handle_request(peer, request, now_ms)


class ReadsClockAtEventsOnly(LeaseCandidate):
    """Checks the expiry of its lease only when it receives a message."""

    def held_token(self, now_ms):
        return self.fencing_token if self.fencing_token and self.lease_expires_at_ms > 0.0 else None


class CountsTermFromReply(LeaseCandidate):
    """Counts the lease from the receipt of the reply instead of the sending of the request."""

    def receive(self, peer, message, now_ms):
        self.sent_at_ms = now_ms
        return super().receive(peer, message, now_ms)


class CountsAbandonedRequest(LeaseCandidate):
    """Counts grants of a request that it abandoned."""

    def receive(self, peer, message, now_ms):
        token, round_, grants = self.fencing_token, self.round, set(self.grants)
        envelopes = super().receive(peer, message, now_ms)
        if self.round > round_:
            self.fencing_token, self.round, self.grants = token, round_, grants
        return envelopes


class HoldsWithMinority(LeaseCandidate):
    """Takes the lease with a single grant."""

    def receive(self, peer, message, now_ms):
        envelopes = super().receive(peer, message, now_ms)
        if self.grants:
            self.lease_expires_at_ms = max(self.lease_expires_at_ms, self.sent_at_ms + self.lease_duration_ms)
        return envelopes


def test_never_two_holders_and_tokens_only_grow_in_breadth_first_search_and_on_random_walks():
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


def test_lease_is_acquired_soon_with_a_majority_and_reacquired_soon_after_a_release():
    """Each step takes 10 ms, a message is delivered in the next step; the third voter never responds."""
    voters = {name: LeaseVoter(name, VOTERS, 1000.0, -1000.0, {}) for name in VOTERS}
    candidates = [LeaseCandidate(name, at, 4, "d", VOTERS, 1000.0, at) for at, name in enumerate("abcd")]
    in_flight, now_ms, holders = [], 0.0, []

    def step():
        nonlocal in_flight, now_ms
        now_ms += 10.0
        arriving, in_flight = in_flight, []
        for sender, to, message in arriving:
            recipients = (
                [voters[to]] if to in voters and to != "z" else [each for each in candidates if each.name == to]
            )
            in_flight += [(to, *reply) for each in recipients for reply in each.receive(sender, message, now_ms)]
        for candidate in candidates:
            in_flight += [(candidate.name, *envelope) for envelope in candidate.tick(now_ms)]
        current_holders = [candidate for candidate in candidates if candidate.held_token(now_ms) is not None]
        assert len(current_holders) <= 1
        if current_holders and (
            not holders or holders[-1] != (current_holders[0].name, current_holders[0].fencing_token)
        ):
            holders.append((current_holders[0].name, current_holders[0].fencing_token))
        return current_holders[0] if current_holders else None

    for candidate in candidates:
        candidate.wants_lease = True
    while not (first := step()):
        assert now_ms < 2500.0
    for _ in range(500):  # five terms, in which the holder must not change
        assert step() is first
    in_flight += [(first.name, *envelope) for envelope in first.release(now_ms)]
    assert first.held_token(now_ms) is None
    start_ms = now_ms
    while step() is None:
        assert now_ms < start_ms + 100.0
    crashed = next(candidate for candidate in candidates if candidate.held_token(now_ms) is not None)
    candidates.remove(crashed)  # another candidate acquires the lease after it has expired
    start_ms = now_ms
    while step() is None:
        assert now_ms < start_ms + 2500.0
    assert [token for _, token in holders] == sorted({token for _, token in holders}) and len(holders) == 3


def test_candidate_that_sends_but_receives_nothing_does_not_block_the_lease():
    voter = LeaseVoter("x", VOTERS, 1000.0, -1000.0, {})
    isolated = LeaseCandidate("a", 0, 2, "d", ["x"], 1000.0, 1)
    isolated.wants_lease, now_ms, requests = True, 0.0, 0
    while not voter.receive("b", LeaseRequest("d", 1001, 1, 2), now_ms)[0].message.is_granted:
        now_ms += 10.0
        for _, request in isolated.tick(now_ms):
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
    recovering.receive("a", RecoveryReply(0, {"d": 1}), 5000.0)  # not a voter
    assert recovering.is_recovering and not recovering.receive("a", request, 5000.0)[0].message.is_granted
    recovering.receive("z", RecoveryReply(0, {"d": 12}), 5000.0)
    assert not recovering.is_recovering and not recovering.start_recovery()
    reply = recovering.receive("a", LeaseRequest("d", 14, 2, 0), 5500.0)[0].message
    assert not reply.is_granted and reply.highest_token == 12 and reply.wait_ms == 500.0
    assert not recovering.receive("a", LeaseRequest("d", 11, 2, 0), 6000.0)[0].message.is_granted
    assert recovering.receive("a", LeaseRequest("d", 14, 2, 0), 6000.0)[0].message.is_granted
    assert recovering.has_unsaved_votes
    # a recovering voter does not report grants either
    assert not LeaseVoter("x", VOTERS, 1000.0, 0.0, None).receive("y", RecoveryRequest(0), 0.0)


def test_restarted_candidate_is_another_holder_and_older_tokens_are_rejected():
    voter = LeaseVoter("x", VOTERS, 1000.0, -1000.0, {})
    assert voter.receive("a", LeaseRequest("d", 4, 1, 77), 0.0)[0].message.is_granted
    # the earlier process may only be suspended
    assert not voter.receive("a", LeaseRequest("d", 8, 1, 78), 500.0)[0].message.is_granted
    assert voter.receive("a", LeaseRequest("d", 8, 1, 78), 1000.0)[0].message.is_granted
    guard = FencingGuard()
    assert [guard.accepts(token) for token in (4, 4, 8, 4, 8)] == [True, True, True, False, True]
    assert guard.rejected_count == 1
