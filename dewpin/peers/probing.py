"""SWIM failure detection: each period one member is probed directly, then indirectly through others. Does no I/O."""

from heapq import heappop, heappush
from random import Random
from typing import NamedTuple, Protocol

from .membership_messages import (
    Ack,
    Address,
    MemberRecord,
    MembershipEnvelope,
    MembershipMessage,
    Nack,
    Ping,
    PingRequest,
)
from .suspicion import KnownMember, LocalHealth

INDIRECT_PROBE_MEMBERS = 3
"""Number of members that are asked for an indirect probe."""
MAX_INDIRECT_PROBES = 64
"""Maximum number of concurrent indirect probes for others."""
NACK_SHARE = 0.8
"""Share of the ack timeout after which an indirect probe without an ack is answered with a nack."""


class Probe:
    """The probe of the current period.

    `helpers`: number of members asked for an indirect probe; `nacks`: number of them that responded with a nack."""

    def __init__(self, sequence: int, name: str, now_ms: float) -> None:
        self.sequence = sequence
        self.name = name
        self.sent_at_ms = now_ms
        self.is_acknowledged = False
        self.has_requested_indirect_probes = False
        self.helpers = 0
        self.nacks = 0


class IndirectProbe(NamedTuple):
    """A probe on behalf of another member: the requester, its address and its sequence number."""

    requester: str
    address: Address
    sequence: int


class ProbingMember(Protocol):
    """The part of `Membership` that the prober uses."""

    random: Random
    period_ms: float
    timeout_ms: float
    local_health: LocalHealth
    members: dict[str, KnownMember]

    def updates_for(self, name: str) -> tuple[MemberRecord, ...]:
        """Return the updates to piggyback on a message to a member."""

    def envelope_to(self, name: str, message: MembershipMessage) -> MembershipEnvelope:
        """Address a message to a member."""

    def random_members(self, count: int, excluding: str = "") -> list[str]:
        """Return up to `count` randomly chosen active members."""

    def suspect(self, name: str, now_ms: float) -> None:
        """Mark a member as suspected."""


class Prober:
    """Sends and tracks the probes of one member.

    `probe`: the probe of the current period, if any. `next_probe_at_ms`: start of the next period. `indirect_probes`:
    probes on behalf of others, by the local sequence number."""

    def __init__(self, membership: ProbingMember, now_ms: float) -> None:
        self._membership = membership
        self.probe: Probe | None = None
        self.next_probe_at_ms = now_ms + membership.random.uniform(0.0, membership.period_ms)
        self.indirect_probes: dict[int, IndirectProbe] = {}
        self._indirect_deadlines: list[tuple[float, int]] = []
        self._probe_order: list[str] = []  # shuffled for each round over all members
        self._sequence = 0

    def next_sequence(self) -> int:
        """Return a new sequence number for a ping."""
        self._sequence += 1
        return self._sequence

    def schedule(self, name: str) -> None:
        """Insert a new member at a random position of the current round."""
        self._probe_order.insert(self._membership.random.randint(0, len(self._probe_order)), name)

    def postpone(self, delay_ms: float) -> None:
        """Extend all deadlines by the length of a pause of this process."""
        self.next_probe_at_ms += delay_ms
        if self.probe:
            self.probe.sent_at_ms += delay_ms
        self._indirect_deadlines = [(at_ms + delay_ms, sequence) for at_ms, sequence in self._indirect_deadlines]

    def tick(self, now_ms: float) -> list[MembershipEnvelope]:
        """Return the messages that are due: nacks, the ping of a new period, or requests for indirect probes."""
        membership = self._membership
        envelopes = self._expire_indirect_probes(now_ms)
        if now_ms >= self.next_probe_at_ms:
            self._finish_probe(now_ms)
            return envelopes + self._start_probe(now_ms)
        probe = self.probe
        if probe and not probe.is_acknowledged and not probe.has_requested_indirect_probes:
            if now_ms >= probe.sent_at_ms + membership.timeout_ms * membership.local_health.multiplier:
                envelopes += self._request_indirect_probes(probe)
        return envelopes

    def handle_ack(self, sequence: int) -> list[MembershipEnvelope]:
        """Handle an ack of the current probe, or of an indirect probe, which is forwarded to its requester."""
        membership = self._membership
        if self.probe and sequence == self.probe.sequence:
            if not self.probe.is_acknowledged:
                membership.local_health.adjust(-1)
            self.probe.is_acknowledged = True
            return []
        indirect = self.indirect_probes.pop(sequence, None)
        if indirect is None:
            return []
        ack = Ack(indirect.sequence, membership.updates_for(indirect.requester))
        return [MembershipEnvelope(indirect.requester, indirect.address, ack)]

    def handle_nack(self, sequence: int) -> None:
        """Count a nack: a member that was asked for an indirect probe received no ack."""
        if self.probe and sequence == self.probe.sequence:
            self.probe.nacks += 1

    def handle_ping_request(
        self, requester: str, address: Address, request: PingRequest, now_ms: float
    ) -> list[MembershipEnvelope]:
        """Ping a member on behalf of another one."""
        if len(self.indirect_probes) >= MAX_INDIRECT_PROBES:
            return [MembershipEnvelope(requester, address, Nack(request.sequence))]
        sequence = self.next_sequence()
        self.indirect_probes[sequence] = IndirectProbe(requester, address, request.sequence)
        heappush(self._indirect_deadlines, (now_ms + NACK_SHARE * self._membership.timeout_ms, sequence))
        ping = Ping(sequence, self._membership.updates_for(request.name))
        return [MembershipEnvelope(request.name, (request.host, request.port), ping)]

    def _start_probe(self, now_ms: float) -> list[MembershipEnvelope]:
        membership = self._membership
        self.next_probe_at_ms = now_ms + membership.period_ms * membership.local_health.multiplier
        name = self._next_member()
        if name is None:
            return []
        self.probe = Probe(self.next_sequence(), name, now_ms)
        return [membership.envelope_to(name, Ping(self.probe.sequence, membership.updates_for(name)))]

    def _finish_probe(self, now_ms: float) -> None:
        probe, self.probe = self.probe, None
        if probe is None or probe.is_acknowledged:
            return
        local_health = self._membership.local_health
        # The event loop was too late to request indirect probes: the result is inconclusive.
        if not probe.has_requested_indirect_probes:
            local_health.adjust(1)
            return
        # Helpers that sent no nack either: this member itself may be disconnected.
        local_health.adjust(max(1, probe.helpers - probe.nacks))
        self._membership.suspect(probe.name, now_ms)

    def _request_indirect_probes(self, probe: Probe) -> list[MembershipEnvelope]:
        membership = self._membership
        probe.has_requested_indirect_probes = True
        target = membership.members.get(probe.name)
        if target is None:
            return []
        helpers = membership.random_members(INDIRECT_PROBE_MEMBERS, excluding=probe.name)
        probe.helpers = len(helpers)
        record = target.record
        envelopes = []
        for helper in helpers:
            updates = membership.updates_for(helper)
            request = PingRequest(probe.sequence, probe.name, record.host, record.port, updates)
            envelopes.append(membership.envelope_to(helper, request))
        ping = Ping(probe.sequence, membership.updates_for(probe.name))
        return [*envelopes, membership.envelope_to(probe.name, ping)]

    def _expire_indirect_probes(self, now_ms: float) -> list[MembershipEnvelope]:
        envelopes = []
        while self._indirect_deadlines and self._indirect_deadlines[0][0] <= now_ms:
            _, sequence = heappop(self._indirect_deadlines)
            if indirect := self.indirect_probes.pop(sequence, None):
                envelopes.append(MembershipEnvelope(indirect.requester, indirect.address, Nack(indirect.sequence)))
        return envelopes

    def _next_member(self) -> str | None:
        """Return the next member in a round robin that is shuffled each round: each one is probed in bounded time."""
        members = self._membership.members
        for _ in range(2):
            while self._probe_order:
                name = self._probe_order.pop()
                member = members.get(name)
                if member and member.is_active:
                    return name
            self._probe_order = [name for name, member in members.items() if member.is_active]
            self._membership.random.shuffle(self._probe_order)
        return None
