"""Messages of the lease protocol.

The names passed to `tag` and `field` are the wire format and must not change with the attribute names.
"""

from typing import NamedTuple

import msgspec


class LeaseRequest(msgspec.Struct, frozen=True, tag="ask"):
    """A candidate's request to acquire or renew the lease on a role.

    `fencing_token`: the token requested. `round`: copied into the replies to this request. `incarnation`: chosen at the
    candidate's start; a restarted candidate is a different holder, because the earlier process may only be suspended.
    `acknowledged_token`: the last token that the candidate knows this voter to have granted it."""

    role: str = msgspec.field(name="duty")
    fencing_token: int = msgspec.field(name="number")
    round: int
    incarnation: int = msgspec.field(name="life")
    acknowledged_token: int = msgspec.field(name="heard", default=0)


class LeaseReply(msgspec.Struct, frozen=True, tag="answer"):
    """A voter's reply. `highest_token`: the highest token it has granted, which the next request has to exceed.
    `wait_ms`: remaining time for which an earlier grant may be in force."""

    role: str = msgspec.field(name="duty")
    round: int
    is_granted: bool = msgspec.field(name="granted")
    highest_token: int = msgspec.field(name="seen")
    wait_ms: float


class LeaseRelease(msgspec.Struct, frozen=True, tag="release"):
    """A candidate releases a voter's grant."""

    role: str = msgspec.field(name="duty")
    fencing_token: int = msgspec.field(name="number")
    incarnation: int = msgspec.field(name="life")


class LeaseFreed(msgspec.Struct, frozen=True, tag="free"):
    """Notifies candidates with rejected requests that the lease was released."""

    role: str = msgspec.field(name="duty")


class RecoveryRequest(msgspec.Struct, frozen=True, tag="recall"):
    """A voter without stored votes asks the other voters for their grants."""

    round: int


class RecoveryReply(msgspec.Struct, frozen=True, tag="recalled"):
    """The highest fencing token that a voter has granted, by role."""

    round: int
    highest_tokens: dict[str, int] = msgspec.field(name="seen")


LeaseMessage = LeaseRequest | LeaseReply | LeaseRelease | LeaseFreed | RecoveryRequest | RecoveryReply


class LeaseEnvelope(NamedTuple):
    """A message and its destination peer."""

    peer: str
    message: LeaseMessage


def majority(voters: int) -> int:
    """Return the size of a majority of `voters` voters."""
    return voters // 2 + 1
