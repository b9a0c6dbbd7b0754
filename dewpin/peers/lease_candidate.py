"""A candidate of the lease protocol, free of I/O: it acquires, renews and releases the lease on one role.

A lease counts from when its request left, less the drift allowed between clocks, so a candidate never believes to hold
it a moment longer than any voter does. docs/peers.md has the argument.
"""

import random
from collections.abc import Sequence

from .lease_messages import LeaseEnvelope, LeaseFreed, LeaseMessage, LeaseRelease, LeaseReply, LeaseRequest, majority

NEVER_MS = -1e18
RENEWAL_SHARES = (0.25, 0.35)
"""Of the time that a lease holds: when its holder asks again, between these by chance."""
RETRY_SHARES = (0.3, 0.6)
"""The same for a candidate that does not hold it, doubled after each round without a majority of replies."""
MAX_RETRY_DOUBLINGS = 3
MAX_SPREAD_DOUBLINGS = 4


class LeaseCandidate:
    """One peer's candidacy for the lease on one role.

    `index` and `candidates`: its place among the candidates, which makes its fencing tokens its own. `drift`: how far
    two clocks may part over a term, as a share. `wants_lease`: set it to start asking. `next_request_at_ms`: when it
    asks again. `fencing_token`: that of the current request or lease, 0 for none."""

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
        self.holds_for_ms = term_ms * (1.0 - 2.0 * drift)
        self.incarnation = incarnation
        self._random = random.Random(f"{name} {role} {incarnation}")
        self.wants_lease = False
        self.fencing_token = 0
        self.highest_token = 0  # of all that voters reported
        self.round = 0
        self.sent_at_ms = NEVER_MS
        self.holds_until_ms = NEVER_MS
        self.grants: set[str] = set()  # voters that granted this round's request
        self.granted_tokens: dict[str, int] = {}  # by voter: the token that it granted last
        self.repliers: set[str] = set()  # voters that replied in this round
        self.rounds_without_majority = 0
        self.round_trip_ms = 0.0  # the longest lately
        self.split_votes = 0  # requests in a row that some voters granted and some rejected
        self.next_request_at_ms = NEVER_MS
        self.longest_wait_ms = 0.0  # of this round's replies

    def held_token(self, now_ms: float) -> int | None:
        """The fencing token under which it may act at this moment, by its own clock; to be asked before each act."""
        return self.fencing_token if self.fencing_token and now_ms < self.holds_until_ms else None

    def tick(self, now_ms: float) -> list[LeaseEnvelope]:
        """The requests that are due."""
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
        self.next_request_at_ms = now_ms + self.holds_for_ms * share
        self.rounds_without_majority += 1
        return [LeaseEnvelope(voter, self._request_for(voter)) for voter in self.voters]

    def receive(self, peer: str, message: LeaseMessage, now_ms: float) -> list[LeaseEnvelope]:
        """Handles a message of a peer; the messages that follow from it."""
        if isinstance(message, LeaseFreed) and message.role == self.role:
            if self.wants_lease and self.held_token(now_ms) is None:  # those who wait come one after the other
                self.next_request_at_ms = min(self.next_request_at_ms, now_ms + self._random_delay_ms(0.02))
        if not isinstance(message, LeaseReply) or message.role != self.role or peer not in self.voters:
            return []
        return self._handle_reply(peer, message, now_ms)

    def release(self, now_ms: float) -> list[LeaseEnvelope]:
        """Gives the lease up at once: it is no longer held when this returns."""
        token, self.wants_lease, self.holds_until_ms = self.fencing_token, False, NEVER_MS
        self.round += 1
        return self._releases(self.voters, token) if token else []

    def _request_for(self, voter: str) -> LeaseRequest:
        acknowledged_token = self.granted_tokens.get(voter, 0)
        return LeaseRequest(self.role, self.fencing_token, self.round, self.incarnation, acknowledged_token)

    def _releases(self, voters: Sequence[str] | set[str], token: int) -> list[LeaseEnvelope]:
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
            # granted to a request that was given up: the voter is to be free for others
            is_stray_grant = reply.is_granted and reply.highest_token != self.fencing_token
            return self._releases([voter], reply.highest_token) if is_stray_grant else []
        if reply.is_granted:
            self._count_grant(voter)
            return []
        return self._handle_rejection(reply, now_ms)

    def _count_grant(self, voter: str) -> None:
        self.grants.add(voter)
        if len(self.grants) >= majority(len(self.voters)):
            self.holds_until_ms = max(self.holds_until_ms, self.sent_at_ms + self.holds_for_ms)
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
        # a split vote must not bind anyone for a term; from here on this request counts no more, whoever grants it
        releases = self._releases(self.grants, self.fencing_token)
        self.highest_token = max(self.highest_token, self.fencing_token)
        self.fencing_token, self.round = 0, self.round + 1
        return releases

    def _random_delay_ms(self, share: float) -> float:
        """How much later to ask, by chance, so that candidates come one after the other: over a share of the term, or
        two round trips where that is longer; twice as far after each split vote, half a term at most.

        Guards against candidates that take votes from each other again and again."""
        spread_ms = max(share * self.term_ms, 2.0 * self.round_trip_ms)
        spread_ms *= 2.0 ** min(self.split_votes, MAX_SPREAD_DOUBLINGS)
        return self._random.uniform(0.0, min(spread_ms, 0.5 * self.term_ms + 2.0 * self.round_trip_ms))
