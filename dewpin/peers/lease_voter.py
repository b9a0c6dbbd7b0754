"""A voter of the lease protocol, free of I/O: which candidate may hold the lease on a role, under which fencing token.

Messages and the time (ms of a clock that never steps and goes on while the machine sleeps) go in, messages come out. A
voter never grants what may still be held by another. docs/peers.md has the argument.
"""

from collections.abc import Sequence

from .lease_messages import (
    LeaseEnvelope,
    LeaseFreed,
    LeaseMessage,
    LeaseRelease,
    LeaseReply,
    LeaseRequest,
    RecoveryReply,
    RecoveryRequest,
    majority,
)

MAX_WAITING_CANDIDATES = 16
"""Candidates that a voter remembers to tell that a lease is free."""
NO_VOTE = (0, "")
Votes = dict[str, tuple[int, str]]
"""Role: (fencing token, holder). The holder is the peer's name and incarnation, or empty after a release."""


class LeaseVoter:
    """One voter.

    `votes` must be stored before the messages of the call that changed it leave (`has_unsaved_votes`). After a start
    the voter grants nothing new for `term_ms`: what it granted before may still hold, and it can't know since when.
    Without stored votes (`votes` None) it is recovering and grants nothing at all until enough others reported their
    grants: one of them is in every majority that this voter was part of."""

    def __init__(self, name: str, voters: Sequence[str], term_ms: float, now_ms: float, votes: Votes | None) -> None:
        self.name = name
        self.other_voters = [voter for voter in voters if voter != name]
        self.term_ms = term_ms
        self.votes: Votes = dict(votes or {})
        self.granted_until_ms: dict[str, float] = {}  # what was granted since the start, by role
        self.grants_nothing_until_ms = now_ms + term_ms
        self.waiting_candidates: dict[str, dict[str, None]] = {}  # by role, in order
        self.recovery_replies_needed = len(voters) - majority(len(voters)) + 1 if votes is None else 0
        self.recovered_tokens: dict[str, dict[str, int]] = {}  # by voter: what it granted, by role
        self.has_unsaved_votes = False

    @property
    def is_recovering(self) -> bool:
        """Whether it lost its votes and has not heard enough of the others' yet."""
        return len(self.recovered_tokens) < self.recovery_replies_needed

    def start_recovery(self) -> list[LeaseEnvelope]:
        """What a recovering voter asks the others; to be sent again until it has recovered."""
        if not self.is_recovering:
            return []
        return [LeaseEnvelope(voter, RecoveryRequest(0)) for voter in self.other_voters]

    def receive(self, peer: str, message: LeaseMessage, now_ms: float) -> list[LeaseEnvelope]:
        """Handles a message of a peer; the messages that follow from it."""
        if isinstance(message, LeaseRequest):
            return self._handle_request(peer, message, now_ms)
        if isinstance(message, LeaseRelease):
            return self._handle_release(peer, message)
        if isinstance(message, RecoveryRequest):
            return self._handle_recovery_request(peer, message)
        if isinstance(message, RecoveryReply):
            self._handle_recovery_reply(peer, message, now_ms)
        return []

    def _handle_request(self, peer: str, request: LeaseRequest, now_ms: float) -> list[LeaseEnvelope]:
        role = request.role
        granted_token, holder = self.votes.get(role, NO_VOTE)
        free_at_ms = max(self.grants_nothing_until_ms, self.granted_until_ms.get(role, 0.0) if holder else 0.0)
        candidate = f"{peer}/{request.incarnation}"
        # a renewal: nobody else was granted the lease since; a higher token only for a candidate that receives our
        # replies, since one that is heard and hears nobody would keep the lease from the others for good
        is_renewal = candidate == holder and (
            request.fencing_token == granted_token
            or request.fencing_token > granted_token == request.acknowledged_token
        )
        is_free = request.fencing_token > granted_token and now_ms >= free_at_ms
        is_granted = not self.is_recovering and (is_renewal or is_free)
        if is_granted:
            self.has_unsaved_votes = self.has_unsaved_votes or self.votes.get(role) != (
                request.fencing_token,
                candidate,
            )
            self.votes[role] = request.fencing_token, candidate
            self.granted_until_ms[role] = now_ms + self.term_ms
            self.waiting_candidates.get(role, {}).pop(peer, None)
        else:
            waiting = self.waiting_candidates.setdefault(role, {})
            if len(waiting) < MAX_WAITING_CANDIDATES:
                waiting[peer] = None
        highest_token = self.votes.get(role, NO_VOTE)[0]
        wait_ms = 0.0 if is_granted else max(0.0, free_at_ms - now_ms)
        return [LeaseEnvelope(peer, LeaseReply(role, request.round, is_granted, highest_token, wait_ms))]

    def _handle_release(self, peer: str, release: LeaseRelease) -> list[LeaseEnvelope]:
        if self.votes.get(release.role) != (release.fencing_token, f"{peer}/{release.incarnation}"):
            return []
        self.votes[release.role] = release.fencing_token, ""
        self.has_unsaved_votes = True
        waiting = self.waiting_candidates.pop(release.role, {})
        return [LeaseEnvelope(candidate, LeaseFreed(release.role)) for candidate in waiting if candidate != peer]

    def _handle_recovery_request(self, peer: str, request: RecoveryRequest) -> list[LeaseEnvelope]:
        if self.is_recovering:
            return []
        highest_tokens = {role: token for role, (token, _) in self.votes.items()}
        return [LeaseEnvelope(peer, RecoveryReply(request.round, highest_tokens))]

    def _handle_recovery_reply(self, peer: str, reply: RecoveryReply, now_ms: float) -> None:
        if not self.is_recovering or peer not in self.other_voters:
            return
        self.recovered_tokens[peer] = reply.highest_tokens
        if self.is_recovering:
            return
        self.grants_nothing_until_ms = now_ms + self.term_ms
        for highest_tokens in self.recovered_tokens.values():
            for role, token in highest_tokens.items():
                if token > self.votes.get(role, NO_VOTE)[0]:
                    self.votes[role] = token, ""
        self.has_unsaved_votes = True
