"""The register's requests between control servers. Replies to both rounds are those of `dewpin.consensus`.

`encode` and `decode` map attributes to wire fields, which are compatible with earlier releases.
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
"""A system state on the wire. If its configuration has no body, the recipient already has the body or fetches it."""


@dataclass(frozen=True, slots=True)
class PrepareRequest:
    """Request of the first round of a ballot.

    Attributes:
        member: the id of the addressed member; another incarnation at its address rejects the request.
        ballot: the ballot to promise.
        known_ballot: the ballot of the proposer's value; the promise omits a value that is not newer.
        body_digests: digests of the bodies that the proposer has; the promise omits these bodies.
    """

    member: str
    ballot: Ballot
    known_ballot: Ballot | None = None
    body_digests: tuple[str, ...] = ()

    def encode(self) -> Message:
        """Encode the message for the wire."""
        return {
            "type": PREPARE,
            "to": self.member,
            "ballot": list(self.ballot),
            "known": None if self.known_ballot is None else list(self.known_ballot),
            "held": list(self.body_digests),
        }

    @classmethod
    def decode(cls, message: Message) -> PrepareRequest:
        """Decode a request. Raises KeyError, TypeError or ValueError if the message is malformed."""
        known = message.get("known")
        return cls(
            member=str(message["to"]),
            ballot=ballot_from_json(message["ballot"]),
            known_ballot=None if known is None else ballot_from_json(known),
            body_digests=digests_from_json(message.get("held", ())),
        )


@dataclass(frozen=True, slots=True)
class AcceptRequest:
    """Request of the second round of a ballot.

    Attributes:
        member: the id of the addressed member; another incarnation at its address rejects the request.
        ballot: the ballot of the value.
        value: the state to accept, possibly without the body of its configuration.
        body_source: the address of a process that has this body.
    """

    member: str
    ballot: Ballot
    value: WireState
    body_source: str = ""

    def encode(self) -> Message:
        """Encode the message for the wire."""
        return {
            "type": ACCEPT,
            "to": self.member,
            "ballot": list(self.ballot),
            "value": self.value,
            "source": self.body_source,
        }

    @classmethod
    def decode(cls, message: Message) -> AcceptRequest:
        """Decode a request. Raises KeyError, TypeError or ValueError if the message is malformed."""
        value = message["value"]
        if not isinstance(value, dict):
            raise ValueError("the field value is not an object")
        return cls(str(message["to"]), ballot_from_json(message["ballot"]), value, str(message.get("source", "")))


def digests_from_json(values: Iterable[object]) -> tuple[str, ...]:
    """Decode a list of digests from a message field."""
    return tuple(str(value) for value in values)
