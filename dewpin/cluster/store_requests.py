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
"""Counter and proposer of a ballot."""
LedgerValue = Mapping[str, Any]
"""The value of a ledger's register; stores do not interpret it."""


class SenderRequest(Protocol):
    """One of the requests below.

    `kind`: the message type on the wire.
    """

    kind: ClassVar[str]

    def fields(self) -> Message:
        """Return the request's own fields on the wire."""


@dataclass(frozen=True, slots=True)
class RequestHeader:
    """The fields that every request to a store begins with.

    `epoch`: epoch of the caller's view.
    `member`: id of the store that is meant; field `to` on the wire.
    `view`: the caller's view, where the store may not know it yet.
    """

    epoch: int
    member: str
    view: StoreView | None = None

    def encode(self, request_kind: str, fields: Message) -> Message:
        """Return the message of a request of this kind with these fields of its own."""
        message = {"type": request_kind, "epoch": self.epoch, "to": self.member, **fields}
        if self.view is not None:
            message["view"] = self.view.to_json()
        return message

    @classmethod
    def decode(cls, message: Message) -> RequestHeader:
        """Return the header of a message. Raises MalformedMessageError if there is none."""
        epoch, member = read.integer(message, "epoch"), read.text(message, "to")
        return cls(epoch, member, _view(message) if message.get("view") is not None else None)


@dataclass(frozen=True, slots=True)
class HistoryRequest:
    """Requests the history that ends with a turn, as far as the store has it and it fits one reply.

    `program`: the program that reads; turns that only other programs hold are marked in the reply.
    `last_turn`: id of the newest turn of the history; field `previous` on the wire.
    """

    kind: ClassVar[str] = wire.TURN_HISTORY
    program: str
    last_turn: str

    def fields(self) -> Message:
        """Return the request's own fields on the wire."""
        return {"program": self.program, "previous": self.last_turn}

    @classmethod
    def decode(cls, message: Message) -> HistoryRequest:
        """Return the request of a message. Raises MalformedMessageError if it is none."""
        return cls(read.text(message, "program"), read.text(message, "previous"))


@dataclass(frozen=True, slots=True)
class LedgerPrepareRequest:
    """First phase of a ballot for the budget ledger of `program`."""

    kind: ClassVar[str] = wire.LEDGER_PREPARE
    program: str
    ballot: BallotPair

    def fields(self) -> Message:
        """Return the request's own fields on the wire."""
        return {"program": self.program, "ballot": list(self.ballot)}

    @classmethod
    def decode(cls, message: Message) -> LedgerPrepareRequest:
        """Return the request of a message. Raises MalformedMessageError if it is none."""
        return cls(read.text(message, "program"), read.ballot(message, "ballot"))


@dataclass(frozen=True, slots=True)
class LedgerAcceptRequest:
    """Second phase of a ballot for the budget ledger of `program`.

    `value`: the ledger's value to accept.
    `next_ballot`: to be promised with it, for the sender's next change; None for none.
    """

    kind: ClassVar[str] = wire.LEDGER_ACCEPT
    program: str
    ballot: BallotPair
    value: LedgerValue | None
    next_ballot: BallotPair | None

    def fields(self) -> Message:
        """Return the request's own fields on the wire."""
        next_ballot = None if self.next_ballot is None else list(self.next_ballot)
        return {
            "program": self.program,
            "ballot": list(self.ballot),
            "value": self.value,
            "next_ballot": next_ballot,
        }

    @classmethod
    def decode(cls, message: Message) -> LedgerAcceptRequest:
        """Return the request of a message. Raises MalformedMessageError if it is none."""
        return cls(
            read.text(message, "program"),
            read.ballot(message, "ballot"),
            read.object_or_none(message, "value"),
            read.ballot_or_none(message, "next_ballot"),
        )


@dataclass(frozen=True, slots=True)
class PutTurnsRequest:
    """Requests that turns be stored, and optionally participation in the second phase of a ballot in the same
    transaction.

    Earlier releases know turns only: they store them and ignore the ballot.
    """

    kind: ClassVar[str] = wire.TURN_PUT
    turns: tuple[TurnRecord, ...]
    accept: LedgerAcceptRequest | None = None

    def fields(self) -> Message:
        """Return the request's own fields on the wire."""
        fields: Message = {"turns": [turn.to_json() for turn in self.turns]}
        if self.accept is not None:
            fields["accept"] = self.accept.fields()
        return fields

    @classmethod
    def decode(cls, message: Message) -> PutTurnsRequest:
        """Return the request of a message. Raises MalformedMessageError if it is none."""
        turns = tuple(TurnRecord.from_json(turn) for turn in read.objects(message, "turns"))
        if message.get("accept") is None:
            return cls(turns)
        return cls(turns, LedgerAcceptRequest.decode(read.mapping(message, "accept")))


@dataclass(frozen=True, slots=True)
class PutTurnsReply:
    """Acknowledges that the turns are on disk.

    `reply`: the reply to the ballot of the request, if it had one, as encoded by `dewpin.consensus.messages`.
    """

    reply: Message | None = None

    def encode(self) -> Message:
        """Return the message."""
        if self.reply is None:
            return {"type": wire.TURN_STORED}
        return {"type": wire.TURN_STORED, "reply": self.reply}

    @classmethod
    def decode(cls, message: Message) -> PutTurnsReply:
        """Return the reply of a message. Raises MalformedMessageError if it is none."""
        read.check_type(message, wire.TURN_STORED)
        if message.get("reply") is None:
            return cls()
        return cls(read.mapping(message, "reply"))


def _view(message: Message) -> StoreView:
    try:
        return StoreView.from_json(message["view"])
    except ValueError as error:
        raise read.MalformedMessageError("view", "a view of stores") from error
