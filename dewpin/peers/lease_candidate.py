"""Candidate side of the lease protocol, without I/O: acquires, renews and releases the lease on one role.

A candidate counts a lease from the time at which it sent the request, less the allowed clock drift. Its lease therefore
never outlasts the grant of any voter in the majority. docs/peers.md has the proof.
"""

import random
from collections.abc import Sequence

from .lease_messages import LeaseEnvelope, LeaseFreed, LeaseMessage, LeaseRelease, LeaseReply, LeaseRequest, majority

NEVER_MS = -1e18
RENEWAL_SHARES = (0.25, 0.35)
"""Renewal delay as a share of the lease duration, drawn uniformly from this range."""
RETRY_SHARES = (0.3, 0.6)
"""Retry delay of a candidate without the lease, as above; doubled after each round without a majority of replies."""
MAX_RETRY_DOUBLINGS = 3
MAX_SPREAD_DOUBLINGS = 4


class LeaseCandidate:
    """One peer's candidacy for the lease on one role.

    `index` and `candidates`: its index and the number of candidates, which make its fencing tokens unique. `drift`:
    maximum relative drift of two clocks over a term. `wants_lease`: set to True to request the lease.
    `next_request_at_ms`: time of the next request. `fencing_token`: token of the current request or lease; 0: none."""

    def __init__(
        self,
        name: str,
        index: int,
        candidates: int,
        role: str,
        voters: Sequence[str],
        term_ms: float,
        incarnation: int,
        drift: float = 0.02,
    ) -> None:
        self.name = name
        self.index = index
        self.token_step = max(1, candidates)
        self.role = role
        self.voters = list(voters)
        self.term_ms = term_ms
        self.lease_duration_ms = term_ms * (1.0 - 2.0 * drift)
        self.incarnation = incarnation
        self._random = random.Random(f"{name} {role} {incarnation}")
        self.wants_lease = False
        self.fencing_token = 0
        self.highest_token = 0  # of all replies
        self.round = 0
        self.sent_at_ms = NEVER_MS
        self.lease_expires_at_ms = NEVER_MS
        self.grants: set[str] = set()  # voters that granted the request of this round
        self.granted_tokens: dict[str, int] = {}  # by voter: the last token that it granted
        self.repliers: set[str] = set()  # voters that replied in this round
        self.rounds_without_majority = 0
        self.round_trip_ms = 0.0  # recent maximum, decaying
        self.split_votes = 0  # consecutive requests granted by some voters and rejected by others
        self.next_request_at_ms = NEVER_MS
        self.longest_wait_ms = 0.0  # of the replies in this round

    def held_token(self, now_ms: float) -> int | None:
        """Return the token if the lease is held at `now_ms` by the local clock; to be checked before each action."""
        return self.fencing_token if self.fencing_token and now_ms < self.lease_expires_at_ms else None

    def tick(self, now_ms: float) -> list[LeaseEnvelope]:
        """Return the requests that are due."""
        if not self.wants_lease or now_ms < self.next_request_at_ms:
            return []
        is_holder = self.held_token(now_ms) is not None
        if not is_holder:
            known_token = max(self.highest_token, self.fencing_token)
            self.fencing_token = (known_token // self.token_step + 1) * self.token_step + self.index
        self.round += 1
        self.sent_at_ms, self.longest_wait_ms = now_ms, 0.0
        self.grants.clear()
        self.repliers.clear()
        if is_holder:
            share = self._random.uniform(*RENEWAL_SHARES)
        else:
            doublings = min(self.rounds_without_majority, MAX_RETRY_DOUBLINGS)
            share = self._random.uniform(*RETRY_SHARES) * 2.0**doublings
        self.next_request_at_ms = now_ms + self.lease_duration_ms * share
        self.rounds_without_majority += 1
        return [LeaseEnvelope(voter, self._request_for(voter)) for voter in self.voters]

    def receive(self, peer: str, message: LeaseMessage, now_ms: float) -> list[LeaseEnvelope]:
        """Handle a message from a peer; return the messages to send."""
        if isinstance(message, LeaseFreed) and message.role == self.role:
            if self.wants_lease and self.held_token(now_ms) is None:  # random delay: not all candidates at once
                self.next_request_at_ms = min(self.next_request_at_ms, now_ms + self._random_delay_ms(0.02))
        if not isinstance(message, LeaseReply) or message.role != self.role or peer not in self.voters:
            return []
        return self._handle_reply(peer, message, now_ms)

    def release(self, now_ms: float) -> list[LeaseEnvelope]:
        """Release the lease, which is no longer held when this returns; return the messages to send."""
        token, self.wants_lease, self.lease_expires_at_ms = self.fencing_token, False, NEVER_MS
        self.round += 1
        return self._release_envelopes(self.voters, token) if token else []

    def _request_for(self, voter: str) -> LeaseRequest:
        acknowledged_token = self.granted_tokens.get(voter, 0)
        return LeaseRequest(self.role, self.fencing_token, self.round, self.incarnation, acknowledged_token)

    def _release_envelopes(self, voters: Sequence[str] | set[str], token: int) -> list[LeaseEnvelope]:
        return [LeaseEnvelope(voter, LeaseRelease(self.role, token, self.incarnation)) for voter in voters]

    def _handle_reply(self, voter: str, reply: LeaseReply, now_ms: float) -> list[LeaseEnvelope]:
        self.highest_token = max(self.highest_token, reply.highest_token)
        if reply.is_granted:
            self.granted_tokens[voter] = reply.highest_token
        if reply.round == self.round:
            self.round_trip_ms = max(now_ms - self.sent_at_ms, 0.9 * self.round_trip_ms)
            self.repliers.add(voter)
            if len(self.repliers) >= majority(len(self.voters)):
                self.rounds_without_majority = 0
        if reply.round != self.round or not self.wants_lease:
            # A grant of an abandoned request is released, so that the voter can grant the lease to others.
            is_abandoned_grant = reply.is_granted and reply.highest_token != self.fencing_token
            return self._release_envelopes([voter], reply.highest_token) if is_abandoned_grant else []
        if reply.is_granted:
            self._count_grant(voter)
            return []
        return self._handle_rejection(reply, now_ms)

    def _count_grant(self, voter: str) -> None:
        self.grants.add(voter)
        if len(self.grants) >= majority(len(self.voters)):
            self.lease_expires_at_ms = max(self.lease_expires_at_ms, self.sent_at_ms + self.lease_duration_ms)
            self.split_votes = 0

    def _handle_rejection(self, reply: LeaseReply, now_ms: float) -> list[LeaseEnvelope]:
        if self.held_token(now_ms) is not None:
            return []
        self.longest_wait_ms = max(self.longest_wait_ms, reply.wait_ms)
        self.split_votes += bool(self.grants)
        earliest_at_ms = now_ms + self.longest_wait_ms + self._random_delay_ms(0.2)
        self.next_request_at_ms = max(self.next_request_at_ms, earliest_at_ms)
        if not self.grants:
            return []
        # A split vote must not block voters for a term. The request is abandoned: later grants of it do not count.
        releases = self._release_envelopes(self.grants, self.fencing_token)
        self.highest_token = max(self.highest_token, self.fencing_token)
        self.fencing_token, self.round = 0, self.round + 1
        return releases

    def _random_delay_ms(self, share: float) -> float:
        """Return a random delay that spreads the requests of competing candidates.

        The upper bound is a share of the term, or two round trips if that is longer. It doubles with each split vote,
        up to half a term plus two round trips. Without the delay candidates can repeatedly split the vote."""
        spread_ms = max(share * self.term_ms, 2.0 * self.round_trip_ms)
        spread_ms *= 2.0 ** min(self.split_votes, MAX_SPREAD_DOUBLINGS)
        return self._random.uniform(0.0, min(spread_ms, 0.5 * self.term_ms + 2.0 * self.round_trip_ms))
