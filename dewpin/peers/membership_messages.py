"""Messages between members, and the member record that they contain. Does no I/O.

The attributes use the terms of SWIM and Lifeguard. The names passed to `tag` and `field` are the wire format and must
not change with the attribute names.
"""

from typing import NamedTuple

import msgspec

Address = tuple[str, int]
"""Host and port."""

MAX_NAME_CHARACTERS = 64
"""Maximum length of a member's name or host."""
MAX_UPDATE_BYTES = 1100
"""Maximum estimated size of the updates in one datagram."""


class MemberState:
    """States of a member. Of records with equal incarnation and refutations the greater state takes precedence.

    Plain integers, because they are part of datagrams and of the digest that members compare."""

    ALIVE = 0
    SUSPECT = 1
    LOST = 2
    LEFT = 3


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """State of one member.

    `incarnation`: chosen at its start, greater after each restart. `refutations`: number of suspicions that it has
    refuted since. `suspected_by`: the member that raised the suspicion."""

    name: str
    host: str
    port: int
    incarnation: int
    refutations: int
    state: int
    suspected_by: str = ""

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Sort key: of two records of a member the greater one replaces the other."""
        return self.incarnation, self.refutations, self.state

    @property
    def address(self) -> Address:
        """The address at which the member receives datagrams."""
        return self.host, self.port


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """A direct probe, with piggybacked updates."""

    sequence: int = msgspec.field(name="seq")
    updates: tuple[MemberRecord, ...] = msgspec.field(name="news")


class Ack(msgspec.Struct, frozen=True, tag="ack"):
    """The response to a ping, with piggybacked updates."""

    sequence: int = msgspec.field(name="seq")
    updates: tuple[MemberRecord, ...] = msgspec.field(name="news")


class PingRequest(msgspec.Struct, frozen=True, tag="try"):
    """Requests an indirect probe: the recipient pings `name` and forwards the ack, or sends a nack if there is none."""

    sequence: int = msgspec.field(name="seq")
    name: str
    host: str
    port: int
    updates: tuple[MemberRecord, ...] = msgspec.field(name="news")


class Nack(msgspec.Struct, frozen=True, tag="nack"):
    """An indirect probe received no ack in time."""

    sequence: int = msgspec.field(name="seq")


class SyncRequest(msgspec.Struct, frozen=True, tag="pull"):
    """Requests the part of the member list that follows the name `after`.

    A member whose list has the same digest responds with an empty page."""

    after: str
    digest: int
    sender: MemberRecord = msgspec.field(name="me")


class SyncPage(msgspec.Struct, frozen=True, tag="page"):
    """A page of the member list, sorted by name."""

    records: tuple[MemberRecord, ...] = msgspec.field(name="entries")
    has_more: bool = msgspec.field(name="more")


MembershipMessage = Ping | Ack | PingRequest | Nack | SyncRequest | SyncPage


class MembershipEnvelope(NamedTuple):
    """A message and its destination; `peer` is empty if the member's name is not known yet."""

    peer: str
    address: Address
    message: MembershipMessage


def estimated_bytes(record: MemberRecord) -> int:
    """Return the approximate size of a record in a datagram."""
    return len((record.name + record.host + record.suspected_by).encode()) + 32
