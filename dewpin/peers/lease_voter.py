"""Voter side of the lease protocol, without I/O: grants the lease on a role to one candidate with a fencing token.

The inputs are messages and the time, in ms of a clock that never steps and continues while the machine is suspended;
the outputs are messages. A voter never grants a lease that another candidate may still hold. docs/peers.md has the
proof.
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
"""Maximum number of candidates per role that a voter notifies when the lease is released."""
NO_VOTE = (0, "")
Votes = dict[str, tuple[int, str]]
"""By role: (fencing token, holder). The holder is "name/incarnation" of a peer, or empty after a release."""


class LeaseVoter:
    """One voter.

    If a call sets `has_unsaved_votes`, `votes` must be stored before the messages that it returned are sent. After a
    start the voter makes no new grants for `term_ms`, because earlier grants may still be in force and their times are
    not stored. Without stored votes (`votes` None) it is recovering: it grants nothing until enough other voters have
    reported their grants. Every majority that included this voter must contain at least one of them."""

    def __init__(self, name: str, voters: Sequence[str], term_ms: float, now_ms: float, votes: Votes | None) -> None:
        self.name = name
        self.other_voters = [voter for voter in voters if voter != name]
        self.term_ms = term_ms
        self.votes: Votes = dict(votes or {})
        self.granted_until_ms: dict[str, float] = {}  # grants since the start, by role
        self.no_grants_until_ms = now_ms + term_ms
        self.waiting_candidates: dict[str, dict[str, None]] = {}  # by role, in order of arrival
        self.recovery_replies_needed = len(voters) - majority(len(voters)) + 1 if votes is None else 0
        self.recovered_tokens: dict[str, dict[str, int]] = {}  # by voter: the tokens that it granted, by role
        self.has_unsaved_votes = False

    @property
    def is_recovering(self) -> bool:
        """Whether its votes are lost and too few other voters have reported their grants."""
        return len(self.recovered_tokens) < self.recovery_replies_needed

    def start_recovery(self) -> list[LeaseEnvelope]:
        """Return a recovering voter's requests to the others; to be repeated until it has recovered."""
        if not self.is_recovering:
            return []
        return [LeaseEnvelope(voter, RecoveryRequest(0)) for voter in self.other_voters]

    def receive(self, peer: str, message: LeaseMessage, now_ms: float) -> list[LeaseEnvelope]:
        """Handle a message from a peer; return the messages to send."""
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
        free_at_ms = max(self.no_grants_until_ms, self.granted_until_ms.get(role, 0.0) if holder else 0.0)
        candidate = f"{peer}/{request.incarnation}"
        # A renewal: no other candidate was granted the lease in the meantime. A higher token is granted only to a
        # candidate that has acknowledged the last one: otherwise a candidate that can send but not receive would block
        # the lease indefinitely.
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
        self.no_grants_until_ms = now_ms + self.term_ms
        for highest_tokens in self.recovered_tokens.values():
            for role, token in highest_tokens.items():
                if token > self.votes.get(role, NO_VOTE)[0]:
                    self.votes[role] = token, ""
        self.has_unsaved_votes = True
