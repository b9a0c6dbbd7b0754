"""Requests of the register between control servers. The replies of its rounds are those of `dewpin.consensus`.

`encode` and `decode` map the names here to the fields on the wire, which earlier releases read as well.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from dewpin.cluster.rpc import Message
from dewpin.consensus import Ballot
from dewpin.consensus.messages import ballot_from_json

PREPARE = "register.prepare"
ACCEPT = "register.accept"
BODY = "register.body"

WireState = dict[str, Any]
"""A system state on the wire: a configuration without a body is one that the other side has, or fetches."""


@dataclass(frozen=True, slots=True)
class PrepareRequest:
    """First round of a ballot.

    Attributes:
        member: the member that is asked; another incarnation at its address refuses.
        ballot: the ballot to promise.
        known_ballot: the ballot of the proposer's value; the promise tells no value that is not above it.
        body_digests: the bodies that the proposer has; the promise leaves them out.
    """

    member: str
    ballot: Ballot
    known_ballot: Ballot | None = None
    body_digests: tuple[str, ...] = ()

    def encode(self) -> Message:
        """The form on the wire."""
        return {
            "type": PREPARE,
            "to": self.member,
            "ballot": list(self.ballot),
            "known": None if self.known_ballot is None else list(self.known_ballot),
            "held": list(self.body_digests),
        }

    @classmethod
    def decode(cls, message: Message) -> PrepareRequest:
        """The request in a message. KeyError, TypeError or ValueError if it is none."""
        known = message.get("known")
        return cls(
            member=str(message["to"]),
            ballot=ballot_from_json(message["ballot"]),
            known_ballot=None if known is None else ballot_from_json(known),
            body_digests=digests_from_json(message.get("held", ())),
        )


@dataclass(frozen=True, slots=True)
class AcceptRequest:
    """Second round of a ballot.

    Attributes:
        member: the member that is asked; another incarnation at its address refuses.
        ballot: the ballot of the value.
        value: the state to accept, perhaps without the body of its configuration.
        body_source: the address of a process that has this body.
    """

    member: str
    ballot: Ballot
    value: WireState
    body_source: str = ""

    def encode(self) -> Message:
        """The form on the wire."""
        return {
            "type": ACCEPT,
            "to": self.member,
            "ballot": list(self.ballot),
            "value": self.value,
            "source": self.body_source,
        }

    @classmethod
    def decode(cls, message: Message) -> AcceptRequest:
        """The request in a message. KeyError, TypeError or ValueError if it is none."""
        value = message["value"]
        if not isinstance(value, dict):
            raise ValueError("the value is no state")
        return cls(str(message["to"]), ballot_from_json(message["ballot"]), value, str(message.get("source", "")))


def digests_from_json(values: Iterable[object]) -> tuple[str, ...]:
    """The digests in a message's field."""
    return tuple(str(value) for value in values)
