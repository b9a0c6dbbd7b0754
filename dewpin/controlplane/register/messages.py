"""Messages of the register between control processes. The replies of its two rounds are those of `dewpin.consensus`."""

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
class PrepareCall:
    """First round, to member `to`. `known`: the ballot of the caller's value; `held`: digests of its bodies."""

    to: str
    ballot: Ballot
    known: Ballot | None = None
    held: tuple[str, ...] = ()

    def encode(self) -> Message:
        """The form on the wire."""
        known = None if self.known is None else list(self.known)
        return {"type": PREPARE, "to": self.to, "ballot": list(self.ballot), "known": known, "held": list(self.held)}

    @classmethod
    def decode(cls, message: Message) -> PrepareCall:
        """The call of a message. KeyError, TypeError or ValueError if it is none."""
        known = message.get("known")
        return cls(
            to=str(message["to"]),
            ballot=ballot_from_json(message["ballot"]),
            known=None if known is None else ballot_from_json(known),
            held=digests(message.get("held", ())),
        )


@dataclass(frozen=True, slots=True)
class AcceptCall:
    """Second round, to member `to`. `source`: the address that has the body of the value's configuration."""

    to: str
    ballot: Ballot
    value: WireState
    source: str = ""

    def encode(self) -> Message:
        """The form on the wire."""
        return {
            "type": ACCEPT,
            "to": self.to,
            "ballot": list(self.ballot),
            "value": self.value,
            "source": self.source,
        }

    @classmethod
    def decode(cls, message: Message) -> AcceptCall:
        """The call of a message. KeyError, TypeError or ValueError if it is none."""
        value = message["value"]
        if not isinstance(value, dict):
            raise ValueError("the value is no state")
        return cls(str(message["to"]), ballot_from_json(message["ballot"]), value, str(message.get("source", "")))


def digests(words: Iterable[object]) -> tuple[str, ...]:
    """The digests of a message's field."""
    return tuple(str(word) for word in words)
