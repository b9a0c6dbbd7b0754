"""Requests that senders send to stores: turns to store, conversation histories to read, and the two phases of a ballot
for a program's budget ledger.

The replies to a ballot are those of `dewpin.consensus.messages`; the reply to a `HistoryRequest` is a `HistoryPage`. On
the wire a ballot is the pair of its counter and its proposer.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, ClassVar, Protocol

from . import message_fields as read
from . import store_messages as wire
from .store_messages import Message, TurnRecord
from .store_view import StoreView

BallotPair = tuple[int, str]
LedgerValue = Mapping[str, Any]
"""The value of a ledger's register; stores keep it as it is."""


class SenderRequest(Protocol):
    """One of the requests below."""

    kind: ClassVar[str]

    def fields(self) -> Message:
        """The request's own part of its form on the wire."""


@dataclass(frozen=True, slots=True)
class RequestHeader:
    """What every request to a store begins with: the epoch of the caller's view, the member that is meant, and the view
    itself where the store may not know it."""

    epoch: int
    member: str
    view: StoreView | None = None

    def encode(self, request_kind: str, fields: Message) -> Message:
        """The form on the wire of a request with these fields of its own."""
        message = {"type": request_kind, "epoch": self.epoch, "to": self.member, **fields}
        if self.view is not None:
            message["view"] = self.view.to_json()
        return message

    @classmethod
    def decode(cls, message: Message) -> RequestHeader:
        """The header of a message. MalformedMessageError if there is none."""
        epoch, member = read.whole_number(message, "epoch"), read.text(message, "to")
        return cls(epoch, member, _view(message) if message.get("view") is not None else None)


@dataclass(frozen=True, slots=True)
class HistoryRequest:
    """Asks for the chain that ends with the turn `previous`, as far as it is there and fits an answer."""

    kind: ClassVar[str] = wire.TURN_HISTORY
    program: str
    previous: str

    def fields(self) -> Message:
        """The request's own part of its form on the wire."""
        return {"program": self.program, "previous": self.previous}

    @classmethod
    def decode(cls, message: Message) -> HistoryRequest:
        """The request of a message. MalformedMessageError if it is none."""
        return cls(read.text(message, "program"), read.text(message, "previous"))


@dataclass(frozen=True, slots=True)
class LedgerPrepareRequest:
    """First round of a ballot for a program's ledger."""

    kind: ClassVar[str] = wire.LEDGER_PREPARE
    program: str
    ballot: BallotPair

    def fields(self) -> Message:
        """The request's own part of its form on the wire."""
        return {"program": self.program, "ballot": list(self.ballot)}

    @classmethod
    def decode(cls, message: Message) -> LedgerPrepareRequest:
        """The request of a message. MalformedMessageError if it is none."""
        return cls(read.text(message, "program"), read.ballot(message, "ballot"))


@dataclass(frozen=True, slots=True)
class LedgerAcceptRequest:
    """Second round of a ballot. `next_ballot` is to be promised beside, for the sender's next change."""

    kind: ClassVar[str] = wire.LEDGER_ACCEPT
    program: str
    ballot: BallotPair
    value: LedgerValue | None
    next_ballot: BallotPair | None

    def fields(self) -> Message:
        """The request's own part of its form on the wire."""
        following = None if self.next_ballot is None else list(self.next_ballot)
        return {
            "program": self.program,
            "ballot": list(self.ballot),
            "value": self.value,
            "next_ballot": following,
        }

    @classmethod
    def decode(cls, message: Message) -> LedgerAcceptRequest:
        """The request of a message. MalformedMessageError if it is none."""
        return cls(
            read.text(message, "program"),
            read.ballot(message, "ballot"),
            read.object_or_none(message, "value"),
            read.ballot_or_none(message, "next_ballot"),
        )


@dataclass(frozen=True, slots=True)
class PutTurnsRequest:
    """Asks to keep turns, and to take part in the second round of a ballot beside. Earlier releases know turns only:
    they keep them and leave the ballot alone."""

    kind: ClassVar[str] = wire.TURN_PUT
    turns: tuple[TurnRecord, ...]
    accept: LedgerAcceptRequest | None = None

    def fields(self) -> Message:
        """The request's own part of its form on the wire."""
        fields: Message = {"turns": [turn.to_json() for turn in self.turns]}
        if self.accept is not None:
            fields["accept"] = self.accept.fields()
        return fields

    @classmethod
    def decode(cls, message: Message) -> PutTurnsRequest:
        """The request of a message. MalformedMessageError if it is none."""
        turns = tuple(TurnRecord.from_json(turn) for turn in read.objects(message, "turns"))
        if message.get("accept") is None:
            return cls(turns)
        return cls(turns, LedgerAcceptRequest.decode(read.mapping(message, "accept")))


@dataclass(frozen=True, slots=True)
class PutTurnsReply:
    """Tells that the turns are on disk; `reply` is that to the ballot beside them, if there was one, in the form of
    `dewpin.consensus.messages`."""

    reply: Message | None = None

    def encode(self) -> Message:
        """The form on the wire."""
        if self.reply is None:
            return {"type": wire.TURN_STORED}
        return {"type": wire.TURN_STORED, "reply": self.reply}

    @classmethod
    def decode(cls, message: Message) -> PutTurnsReply:
        """The answer of a message. MalformedMessageError if it is none."""
        read.check_type(message, wire.TURN_STORED)
        if message.get("reply") is None:
            return cls()
        return cls(read.mapping(message, "reply"))


def _view(message: Message) -> StoreView:
    try:
        return StoreView.from_json(message["view"])
    except ValueError:
        raise read.MalformedMessageError("view", "a view of stores") from None
