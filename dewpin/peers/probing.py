"""Failure detection after SWIM: each period one member is pinged, by itself and then through others. Free of I/O."""

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
"""Members that are asked to ping one that did not answer."""
MAX_INDIRECT_PROBES = 64
"""Indirect probes for others at a time."""
NACK_SHARE = 0.8
"""Of the time-out: when a nack is sent for an indirect probe without an ack."""


class Probe:
    """The probe of this period. `helpers`: members asked for an indirect probe; `nacks`: those that got no ack
    either."""

    def __init__(self, sequence: int, name: str, now_ms: float) -> None:
        self.sequence = sequence
        self.name = name
        self.sent_at_ms = now_ms
        self.is_acknowledged = False
        self.has_asked_helpers = False
        self.helpers = 0
        self.nacks = 0


class IndirectProbe(NamedTuple):
    """A probe for another member: who asked for it, and under which sequence number."""

    requester: str
    address: Address
    sequence: int


class ProbingMember(Protocol):
    """What the probes need of the member that makes them: see `Membership`."""

    random: Random
    period_ms: float
    timeout_ms: float
    local_health: LocalHealth
    members: dict[str, KnownMember]

    def updates_for(self, name: str) -> tuple[MemberRecord, ...]:
        """The updates that a message to a member takes along."""

    def envelope_to(self, name: str, message: MembershipMessage) -> MembershipEnvelope:
        """A message with a member's address."""

    def random_members(self, count: int, excluding: str = "") -> list[str]:
        """Some active members."""

    def suspect(self, name: str, now_ms: float) -> None:
        """Takes a member for suspect."""


class Prober:
    """The probes of one member.

    `probe`: the one that is out. `next_probe_at_ms`: when the next period begins. `indirect_probes`: those that others
    asked for, by our sequence number."""

    def __init__(self, membership: ProbingMember, now_ms: float) -> None:
        self._membership = membership
        self.probe: Probe | None = None
        self.next_probe_at_ms = now_ms + membership.random.uniform(0.0, membership.period_ms)
        self.indirect_probes: dict[int, IndirectProbe] = {}
        self._indirect_deadlines: list[tuple[float, int]] = []
        self._probe_order: list[str] = []  # drawn anew for each round over all members
        self._sequence = 0

    def next_sequence(self) -> int:
        """A new sequence number for a ping."""
        self._sequence += 1
        return self._sequence

    def schedule(self, name: str) -> None:
        """Inserts a new member into this round at a place drawn by chance."""
        self._probe_order.insert(self._membership.random.randint(0, len(self._probe_order)), name)

    def postpone(self, delay_ms: float) -> None:
        """Moves all deadlines: the process itself stood still for so long."""
        self.next_probe_at_ms += delay_ms
        if self.probe:
            self.probe.sent_at_ms += delay_ms
        self._indirect_deadlines = [(at_ms + delay_ms, sequence) for at_ms, sequence in self._indirect_deadlines]

    def tick(self, now_ms: float) -> list[MembershipEnvelope]:
        """What is due: nacks for others, the end of a period and the next one's ping, requests for indirect probes."""
        membership = self._membership
        envelopes = self._expire_indirect_probes(now_ms)
        if now_ms >= self.next_probe_at_ms:
            self._finish_probe(now_ms)
            return envelopes + self._start_probe(now_ms)
        probe = self.probe
        if probe and not probe.is_acknowledged and not probe.has_asked_helpers:
            if now_ms >= probe.sent_at_ms + membership.timeout_ms * membership.local_health.multiplier:
                envelopes += self._request_indirect_probes(probe)
        return envelopes

    def handle_ack(self, sequence: int) -> list[MembershipEnvelope]:
        """An ack for our probe, or for one that another member asked for, which it is passed on to."""
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
        """A member that was asked for an indirect probe got no ack."""
        if self.probe and sequence == self.probe.sequence:
            self.probe.nacks += 1

    def handle_ping_request(
        self, requester: str, address: Address, request: PingRequest, now_ms: float
    ) -> list[MembershipEnvelope]:
        """Pings a member for another one."""
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
        if not probe.has_asked_helpers:  # the loop was late and never came to ask others: it can't say
            local_health.adjust(1)
            return
        # helpers that are not heard either: it may be this member that is cut off
        local_health.adjust(max(1, probe.helpers - probe.nacks))
        self._membership.suspect(probe.name, now_ms)

    def _request_indirect_probes(self, probe: Probe) -> list[MembershipEnvelope]:
        membership = self._membership
        probe.has_asked_helpers = True
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
        """Round robin in an order that is drawn anew for each round: each member is pinged in bounded time."""
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
