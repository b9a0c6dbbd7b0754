"""The messages between members, and a member's record as it is sent. Free of I/O.

The attributes have the terms of SWIM and Lifeguard, the datagrams keep the names given here.
"""

from typing import NamedTuple

import msgspec

Address = tuple[str, int]
"""Host and port."""

MAX_NAME_CHARACTERS = 64
"""Of a member's name or host."""
MAX_UPDATE_BYTES = 1100
"""Of updates in one datagram."""


class MemberState:
    """A member's state; of the same incarnation and refutations the greater one holds.

    Plain integers, since they stand in datagrams and in the digest that members compare."""

    ALIVE = 0
    SUSPECT = 1
    LOST = 2
    LEFT = 3


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is known of one member.

    `incarnation`: drawn at its start, a later start has a greater one. `refutations`: how often it has refuted a
    suspicion since. `suspected_by`: the member that made the suspicion."""

    name: str
    host: str
    port: int
    incarnation: int
    refutations: int
    state: int
    suspected_by: str = ""

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Of two records of a member the one with the greater precedence holds."""
        return self.incarnation, self.refutations, self.state

    @property
    def address(self) -> Address:
        """Where the member receives datagrams."""
        return self.host, self.port


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """A probe, with updates."""

    sequence: int = msgspec.field(name="seq")
    updates: tuple[MemberRecord, ...] = msgspec.field(name="news")


class Ack(msgspec.Struct, frozen=True, tag="ack"):
    """The answer to a ping, with updates."""

    sequence: int = msgspec.field(name="seq")
    updates: tuple[MemberRecord, ...] = msgspec.field(name="news")


class PingRequest(msgspec.Struct, frozen=True, tag="try"):
    """Asks a member for an indirect probe: to ping `name` and to pass the ack on, or to send a nack if none comes."""

    sequence: int = msgspec.field(name="seq")
    name: str
    host: str
    port: int
    updates: tuple[MemberRecord, ...] = msgspec.field(name="news")


class Nack(msgspec.Struct, frozen=True, tag="nack"):
    """An indirect probe got no ack in time."""

    sequence: int = msgspec.field(name="seq")


class SyncRequest(msgspec.Struct, frozen=True, tag="pull"):
    """Asks for the member list from behind a name on. A member whose list has the same digest answers with an empty
    page."""

    after: str
    digest: int
    sender: MemberRecord = msgspec.field(name="me")


class SyncPage(msgspec.Struct, frozen=True, tag="page"):
    """A part of the member list, in order of names."""

    records: tuple[MemberRecord, ...] = msgspec.field(name="entries")
    has_more: bool = msgspec.field(name="more")


MembershipMessage = Ping | Ack | PingRequest | Nack | SyncRequest | SyncPage


class MembershipEnvelope(NamedTuple):
    """A message and where it goes; `peer` is empty where the member's name is not known yet."""

    peer: str
    address: Address
    message: MembershipMessage


def estimated_bytes(record: MemberRecord) -> int:
    """About how many bytes a record takes in a datagram."""
    return len((record.name + record.host + record.suspected_by).encode()) + 32
