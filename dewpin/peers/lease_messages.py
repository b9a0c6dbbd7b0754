"""The messages of the lease protocol. The attributes have the field's terms, the datagrams keep the names given
here."""

from typing import NamedTuple

import msgspec


class LeaseRequest(msgspec.Struct, frozen=True, tag="ask"):
    """A candidate wants to acquire or to renew the lease on a role.

    `fencing_token`: the token that it wants the lease under. `round`: marks the replies to this request.
    `incarnation`: drawn at the candidate's start; after a restart it is another holder, since the one before may only
    have been stopped. `acknowledged_token`: the token that it knows this voter to have granted it."""

    role: str = msgspec.field(name="duty")
    fencing_token: int = msgspec.field(name="number")
    round: int
    incarnation: int = msgspec.field(name="life")
    acknowledged_token: int = msgspec.field(name="heard", default=0)


class LeaseReply(msgspec.Struct, frozen=True, tag="answer"):
    """A voter's reply. `highest_token`: the highest that it has granted, so that the next request can exceed it.
    `wait_ms`: how long its earlier grant may still hold."""

    role: str = msgspec.field(name="duty")
    round: int
    is_granted: bool = msgspec.field(name="granted")
    highest_token: int = msgspec.field(name="seen")
    wait_ms: float


class LeaseRelease(msgspec.Struct, frozen=True, tag="release"):
    """A candidate gives back what a voter granted it."""

    role: str = msgspec.field(name="duty")
    fencing_token: int = msgspec.field(name="number")
    incarnation: int = msgspec.field(name="life")


class LeaseFreed(msgspec.Struct, frozen=True, tag="free"):
    """Tells candidates whose requests were rejected that the lease was released."""

    role: str = msgspec.field(name="duty")


class RecoveryRequest(msgspec.Struct, frozen=True, tag="recall"):
    """A voter that lost its stored votes asks the others what they granted."""

    round: int


class RecoveryReply(msgspec.Struct, frozen=True, tag="recalled"):
    """The highest fencing token that a voter granted for each role."""

    round: int
    highest_tokens: dict[str, int] = msgspec.field(name="seen")


LeaseMessage = LeaseRequest | LeaseReply | LeaseRelease | LeaseFreed | RecoveryRequest | RecoveryReply


class LeaseEnvelope(NamedTuple):
    """A message and the peer that it goes to."""

    peer: str
    message: LeaseMessage


def majority(voters: int) -> int:
    """How many of so many voters are a majority."""
    return voters // 2 + 1
