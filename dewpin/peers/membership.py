"""Membership of the senders: SWIM with suspicion and Lifeguard's local health. Does no I/O.

The inputs are messages with their source addresses and the time, in ms of a clock that never steps; the outputs are
messages with their destinations. No member is declared lost before others were asked to probe it, and a process that
was suspended itself must not declare others lost. The member list is only eventually consistent: exclusive roles need a
lease. docs/peers.md has the references (SWIM: Das, Gupta, Motivala; Lifeguard: Dadgar, Phillips, Currey) and
measurements.
"""

import random
import zlib
from collections.abc import Sequence
from heapq import heappop, heappush
from math import ceil, log2

import msgspec

from .dissemination import UpdateQueue
from .membership_messages import (
    MAX_NAME_CHARACTERS,
    MAX_UPDATE_BYTES,
    Ack,
    Address,
    MemberRecord,
    MembershipEnvelope,
    MembershipMessage,
    MemberState,
    Nack,
    Ping,
    PingRequest,
    SyncPage,
    SyncRequest,
    estimated_bytes,
)
from .probing import INDIRECT_PROBE_MEMBERS, Prober
from .suspicion import KnownMember, LocalHealth

RETRANSMIT_FACTOR = 4.0
"""Transmissions of an update, as a multiple of log2 of the number of members."""
MAX_MEMBERS = 1000
"""Maximum size of the member list, including lost members; further names are rejected and counted."""
LOST_MEMBER_PERIODS = 60.0
"""Periods for which a lost member is kept in the list and occasionally pinged."""
SYNC_PERIODS = 30.0
"""Periods between two comparisons of the whole list with another member."""
REJOIN_PERIODS = 10.0
"""Periods between two pings of lost members and seeds."""


class Membership:
    """One member's view of the group.

    `seeds`: addresses of arbitrary members, contacted until one responds. `period_ms`: interval between probes.
    `timeout_ms`: timeout of an ack. `own_record`: the record of this member that is sent to others. `members`: all
    other known members. `active_count`: how many of them are alive or suspected. `has_joined`: whether any member has
    responded. `is_replaced`: another process was started under this name, and this one sends nothing more. `has_left`:
    it left voluntarily. `rejected_count`: number of records rejected as invalid or because the list was full."""

    def __init__(
        self,
        name: str,
        address: Address,
        incarnation: int,
        seeds: Sequence[Address],
        now_ms: float,
        period_ms: float = 1000.0,
        timeout_ms: float = 300.0,
    ) -> None:
        self.name = name
        self.seeds = list(seeds)
        self.period_ms = period_ms
        self.timeout_ms = timeout_ms
        self.random = random.Random(f"{name} {incarnation}")
        self.own_record = MemberRecord(name, *address, incarnation, 0, MemberState.ALIVE)
        self.members: dict[str, KnownMember] = {}
        self.active_count = 0
        self.local_health = LocalHealth()
        self.has_joined = not self.seeds
        self.is_replaced = False
        self.has_left = False
        self.rejected_count = 0
        self._updates = UpdateQueue()
        self._updates.add(self.own_record)
        self._prober = Prober(self, now_ms)
        self._suspicion_deadlines: list[tuple[float, str]] = []
        self._last_tick_ms = now_ms
        self._next_sync_at_ms = now_ms
        self._next_rejoin_at_ms = now_ms + REJOIN_PERIODS * period_ms
        self._changes: list[tuple[str, int]] = []

    # -- interface of the process -----------------------------------------------------------------------------

    def active_members(self) -> list[str]:
        """Return the sorted names of all active members, including this one and suspected ones."""
        own = [] if self.has_left or self.is_replaced else [self.name]
        return sorted(own + [name for name, member in self.members.items() if member.is_active])

    def address_of(self, name: str) -> Address | None:
        """Return the address of an active member, or None."""
        member = self.members.get(name)
        return member.record.address if member and member.is_active else None

    def take_changes(self) -> list[tuple[str, int]]:
        """Return the changes since the last call: name and new state (of `MemberState`)."""
        changes, self._changes = self._changes, []
        return changes

    def leave(self) -> list[MembershipEnvelope]:
        """Leave the group; return notifications for some members, which disseminate it. Send nothing afterwards."""
        self.own_record = msgspec.structs.replace(self.own_record, state=MemberState.LEFT)
        self.has_left = True
        self._updates.add(self.own_record)
        return [
            self.envelope_to(name, Ping(self._prober.next_sequence(), self.updates_for(name)))
            for name in self.random_members(INDIRECT_PROBE_MEMBERS)
        ]

    def tick(self, now_ms: float) -> list[MembershipEnvelope]:
        """Return the messages that are due.

        To be called several times per `timeout_ms`: a longer gap is taken for a pause of this process."""
        pause_ms, self._last_tick_ms = now_ms - self._last_tick_ms, now_ms
        if self.has_left or self.is_replaced:
            return []
        if pause_ms > self.timeout_ms:
            self._handle_local_pause(pause_ms)
        self._expire_suspicions(now_ms)
        envelopes = self._prober.tick(now_ms)
        if now_ms >= self._next_sync_at_ms:
            envelopes += self._request_sync(now_ms)
        if now_ms >= self._next_rejoin_at_ms:
            envelopes += self._rejoin(now_ms)
        return envelopes

    def receive(
        self, peer: str, address: Address, message: MembershipMessage, now_ms: float
    ) -> list[MembershipEnvelope]:
        """Handle a message from a peer; return the messages to send."""
        if self.has_left or self.is_replaced:
            return []
        if isinstance(message, Ping):
            self._apply_records(message.updates, now_ms)
            return [MembershipEnvelope(peer, address, Ack(message.sequence, self.updates_for(peer)))]
        if isinstance(message, Ack):
            self._apply_records(message.updates, now_ms)
            return self._prober.handle_ack(message.sequence)
        if isinstance(message, Nack):
            self._prober.handle_nack(message.sequence)
            return []
        if isinstance(message, PingRequest):
            self._apply_records(message.updates, now_ms)
            return self._prober.handle_ping_request(peer, address, message, now_ms)
        if isinstance(message, SyncRequest):
            self._apply_records((message.sender,), now_ms)
            return [MembershipEnvelope(peer, address, self._sync_page(message))]
        return self._handle_sync_page(peer, address, message, now_ms)

    # -- interface of the prober ------------------------------------------------------------------------------

    def updates_for(self, name: str) -> tuple[MemberRecord, ...]:
        """Return the updates to piggyback on a message to this member.

        The first one is the member's own record unless that says alive, so that the member can refute it."""
        member = self.members.get(name)
        is_not_alive = member is not None and member.record.state != MemberState.ALIVE
        first = member.record if member and is_not_alive else None
        return self._updates.take(first, ceil(RETRANSMIT_FACTOR * log2(self.active_count + 2)))

    def envelope_to(self, name: str, message: MembershipMessage) -> MembershipEnvelope:
        """Address a message to a known member."""
        return MembershipEnvelope(name, self.members[name].record.address, message)

    def random_members(self, count: int, excluding: str = "") -> list[str]:
        """Return up to `count` randomly chosen active members."""
        names = [name for name, member in self.members.items() if member.is_active and name != excluding]
        return self.random.sample(names, min(count, len(names)))

    def suspect(self, name: str, now_ms: float) -> None:
        """Handle a failed probe: suspect an active member, or confirm an existing suspicion."""
        member = self.members.get(name)
        if member and member.is_active:
            suspicion = msgspec.structs.replace(member.record, state=MemberState.SUSPECT, suspected_by=self.name)
            self._apply_records((suspicion,), now_ms)

    # -- timeouts ---------------------------------------------------------------------------------------------

    def _handle_local_pause(self, pause_ms: float) -> None:
        """Extend all deadlines by the length of a pause of this process and lower its local health.

        Without this a suspended process would declare all others lost on waking up, before it has read the messages
        that they sent meanwhile."""
        self.local_health.adjust(1)
        self._prober.postpone(pause_ms)
        for member in self.members.values():
            member.suspicion_ends_at_ms += pause_ms
        self._suspicion_deadlines = [(at_ms + pause_ms, name) for at_ms, name in self._suspicion_deadlines]

    def _expire_suspicions(self, now_ms: float) -> None:
        while self._suspicion_deadlines and self._suspicion_deadlines[0][0] <= now_ms:
            _, name = heappop(self._suspicion_deadlines)
            member = self.members.get(name)
            if not member or member.record.state != MemberState.SUSPECT:
                continue
            if member.suspicion_ends_at_ms <= now_ms:
                self._apply_records((msgspec.structs.replace(member.record, state=MemberState.LOST),), now_ms)

    # -- joining and anti-entropy -----------------------------------------------------------------------------

    def _request_sync(self, now_ms: float) -> list[MembershipEnvelope]:
        """Request the whole list: from seeds until one responds, later periodically from a random member.

        This repairs updates that the dissemination missed."""
        periods = SYNC_PERIODS * self.random.uniform(0.8, 1.2) if self.has_joined else 1.0
        self._next_sync_at_ms = now_ms + self.period_ms * periods
        request = SyncRequest("", self._digest(), self.own_record)
        if not self.has_joined:
            return self._to_random_seeds(2, request)
        return [self.envelope_to(name, request) for name in self.random_members(1)]

    def _to_random_seeds(self, count: int, request: SyncRequest) -> list[MembershipEnvelope]:
        seeds = self.random.sample(self.seeds, min(count, len(self.seeds)))
        return [MembershipEnvelope("", seed, request) for seed in seeds if seed != self.own_record.address]

    def _rejoin(self, now_ms: float) -> list[MembershipEnvelope]:
        """Contact a lost member and a seed, so that the sides of a healed partition merge.

        Remove members that have been inactive for `LOST_MEMBER_PERIODS`."""
        self._next_rejoin_at_ms = now_ms + REJOIN_PERIODS * self.period_ms * self.random.uniform(0.8, 1.2)
        inactive = [member for member in self.members.values() if not member.is_active]
        for member in inactive:
            if now_ms - member.changed_at_ms > LOST_MEMBER_PERIODS * self.period_ms:
                del self.members[member.record.name]
        lost = [
            member.record
            for member in inactive
            if member.record.state == MemberState.LOST and member.record.name in self.members
        ]
        envelopes = self._to_random_seeds(1, SyncRequest("", self._digest(), self.own_record))
        if lost:
            record = self.random.choice(lost)
            ping = Ping(self._prober.next_sequence(), (record, self.own_record))
            envelopes.append(self.envelope_to(record.name, ping))
        return envelopes

    def _handle_sync_page(self, peer: str, address: Address, page: SyncPage, now_ms: float) -> list[MembershipEnvelope]:
        self._apply_records(page.records, now_ms)
        self.has_joined = True
        if not page.has_more or not page.records:
            return []
        return [MembershipEnvelope(peer, address, SyncRequest(page.records[-1].name, 0, self.own_record))]

    def _sync_page(self, request: SyncRequest) -> SyncPage:
        if request.digest and request.digest == self._digest():
            return SyncPage((), False)
        records: list[MemberRecord] = []
        size_bytes = 0
        for name in sorted(name for name in [*self.members, self.name] if name > request.after):
            record = self.own_record if name == self.name else self.members[name].record
            size_bytes += estimated_bytes(record)
            if size_bytes > MAX_UPDATE_BYTES:
                return SyncPage(tuple(records), True)
            records.append(record)
        return SyncPage(tuple(records), False)

    def _digest(self) -> int:
        """Return a checksum of the list; never 0, which means no digest."""
        records = {name: member.record for name, member in self.members.items()}
        pairs = sorted([(self.name, self.own_record), *records.items()], key=lambda pair: pair[0])
        text = "".join(f"{name}{record.precedence}" for name, record in pairs)
        return zlib.crc32(text.encode()) or 1

    # -- records ----------------------------------------------------------------------------------------------

    def _apply_records(self, records: Sequence[MemberRecord], now_ms: float) -> None:
        for record in records:
            if record.name == self.name:
                self._handle_own_record(record)
            elif _is_invalid(record):
                self.rejected_count += 1
            else:
                self._merge_record(record, now_ms)

    def _handle_own_record(self, record: MemberRecord) -> None:
        """Handle a record of this member received from others; refute a suspicion."""
        own = self.own_record
        if record.incarnation > own.incarnation:
            self.is_replaced = True
        elif (
            record.incarnation == own.incarnation
            and record.state != MemberState.ALIVE
            and record.refutations >= own.refutations
        ):
            self.local_health.adjust(1)
            self.own_record = msgspec.structs.replace(own, refutations=record.refutations + 1)
            self._updates.add(self.own_record)
        elif record.precedence < own.precedence and record.state != MemberState.ALIVE:
            self._updates.add(own)  # the record is of an earlier incarnation: announce this one

    def _merge_record(self, record: MemberRecord, now_ms: float) -> None:
        member = self.members.get(record.name)
        if member is None:
            if len(self.members) >= MAX_MEMBERS:
                self.rejected_count += 1
                return
            if record.state >= MemberState.LOST:
                return  # otherwise members would re-add lost members to each other's lists forever
            member = self.members[record.name] = KnownMember(record, now_ms)
            self._prober.schedule(record.name)
            previous_state = MemberState.LEFT
        elif record.precedence > member.record.precedence:
            previous_state = member.record.state
            member.record, member.changed_at_ms = record, now_ms
        else:
            if record.precedence == member.record.precedence and record.state == MemberState.SUSPECT:
                self._confirm_suspicion(member, record, now_ms)
            return
        self._apply_change(member, previous_state, now_ms)

    def _apply_change(self, member: KnownMember, previous_state: int, now_ms: float) -> None:
        record = member.record
        self.active_count += member.is_active - (previous_state <= MemberState.SUSPECT)
        self._updates.add(record)
        if record.state != previous_state:
            self._changes.append((record.name, record.state))
        if record.state == MemberState.SUSPECT:
            member.start_suspicion(now_ms)
            self._confirm_suspicion(member, record, now_ms)

    def _confirm_suspicion(self, member: KnownMember, record: MemberRecord, now_ms: float) -> None:
        """Add an accuser, which shortens the suspicion (Lifeguard), and disseminate it if it had an effect."""
        if not member.add_accuser(record.suspected_by, self.active_count, self.period_ms):
            return
        heappush(self._suspicion_deadlines, (max(now_ms, member.suspicion_ends_at_ms), record.name))
        if len(member.accusers) > 1:
            self._updates.add(record)


def _is_invalid(record: MemberRecord) -> bool:
    max_length = max(len(record.name), len(record.host), len(record.suspected_by))
    return max_length > MAX_NAME_CHARACTERS or not MemberState.ALIVE <= record.state <= MemberState.LEFT
