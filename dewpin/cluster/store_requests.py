"""Requests of senders to stores: storing turns, reading conversation histories, and the two phases of a ballot for the
budget ledger of a program.

The replies to a ballot are those of `dewpin.consensus.messages`, the reply to a `HistoryRequest` is a `HistoryPage`. On
the wire a ballot is the pair of its counter and proposer.
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
"""Counter and proposer id of a ballot."""
LedgerValue = Mapping[str, Any]
"""The value of the register that holds a ledger; opaque to stores."""


class SenderRequest(Protocol):
    """Interface of the requests below.

    `kind`: the message type on the wire.
    """

    kind: ClassVar[str]

    def fields(self) -> Message:
        """Return the fields on the wire that are specific to this request."""


@dataclass(frozen=True, slots=True)
class RequestHeader:
    """The common fields of all requests to stores.

    `epoch`: epoch of the caller's view.
    `member`: id of the addressed store; field `to` on the wire.
    `view`: the caller's view, sent if the store may not have it yet.
    """

    epoch: int
    member: str
    view: StoreView | None = None

    def encode(self, request_kind: str, fields: Message) -> Message:
        """Return the message of a request of type `request_kind` with its specific `fields`."""
        message = {"type": request_kind, "epoch": self.epoch, "to": self.member, **fields}
        if self.view is not None:
            message["view"] = self.view.to_json()
        return message

    @classmethod
    def decode(cls, message: Message) -> RequestHeader:
        """Decode the header of a message. Raises MalformedMessageError if it is invalid."""
        epoch, member = read.integer(message, "epoch"), read.text(message, "to")
        return cls(epoch, member, _view(message) if message.get("view") is not None else None)


@dataclass(frozen=True, slots=True)
class HistoryRequest:
    """Requests the history that ends with a turn, as far as the store has it and it fits in one reply.

    `program`: id of the reading program; the reply marks turns that the store has for other programs only.
    `last_turn`: id of the newest turn of the history; field `previous` on the wire.
    """

    kind: ClassVar[str] = wire.TURN_HISTORY
    program: str
    last_turn: str

    def fields(self) -> Message:
        """Return the fields on the wire that are specific to this request."""
        return {"program": self.program, "previous": self.last_turn}

    @classmethod
    def decode(cls, message: Message) -> HistoryRequest:
        """Decode a request. Raises MalformedMessageError if it is invalid."""
        return cls(read.text(message, "program"), read.text(message, "previous"))


@dataclass(frozen=True, slots=True)
class LedgerPrepareRequest:
    """First phase of a ballot for the budget ledger of `program`."""

    kind: ClassVar[str] = wire.LEDGER_PREPARE
    program: str
    ballot: BallotPair

    def fields(self) -> Message:
        """Return the fields on the wire that are specific to this request."""
        return {"program": self.program, "ballot": list(self.ballot)}

    @classmethod
    def decode(cls, message: Message) -> LedgerPrepareRequest:
        """Decode a request. Raises MalformedMessageError if it is invalid."""
        return cls(read.text(message, "program"), read.ballot(message, "ballot"))


@dataclass(frozen=True, slots=True)
class LedgerAcceptRequest:
    """Second phase of a ballot for the budget ledger of `program`.

    `value`: the value of the ledger to accept.
    `next_ballot`: ballot to promise together with the acceptance, for the sender's next change; None if there is none.
    """

    kind: ClassVar[str] = wire.LEDGER_ACCEPT
    program: str
    ballot: BallotPair
    value: LedgerValue | None
    next_ballot: BallotPair | None

    def fields(self) -> Message:
        """Return the fields on the wire that are specific to this request."""
        next_ballot = None if self.next_ballot is None else list(self.next_ballot)
        return {
            "program": self.program,
            "ballot": list(self.ballot),
            "value": self.value,
            "next_ballot": next_ballot,
        }

    @classmethod
    def decode(cls, message: Message) -> LedgerAcceptRequest:
        """Decode a request. Raises MalformedMessageError if it is invalid."""
        return cls(
            read.text(message, "program"),
            read.ballot(message, "ballot"),
            read.object_or_none(message, "value"),
            read.ballot_or_none(message, "next_ballot"),
        )


@dataclass(frozen=True, slots=True)
class PutTurnsRequest:
    """Requests that turns be stored and, optionally, that the second phase of a ballot be performed in the same
    transaction.

    Stores of earlier releases support turns only: they store these and ignore the ballot.
    """

    kind: ClassVar[str] = wire.TURN_PUT
    turns: tuple[TurnRecord, ...]
    accept: LedgerAcceptRequest | None = None

    def fields(self) -> Message:
        """Return the fields on the wire that are specific to this request."""
        fields: Message = {"turns": [turn.to_json() for turn in self.turns]}
        if self.accept is not None:
            fields["accept"] = self.accept.fields()
        return fields

    @classmethod
    def decode(cls, message: Message) -> PutTurnsRequest:
        """Decode a request. Raises MalformedMessageError if it is invalid."""
        turns = tuple(TurnRecord.from_json(turn) for turn in read.objects(message, "turns"))
        if message.get("accept") is None:
            return cls(turns)
        return cls(turns, LedgerAcceptRequest.decode(read.mapping(message, "accept")))


@dataclass(frozen=True, slots=True)
class PutTurnsReply:
    """Acknowledges that the turns are on disk.

    `reply`: the reply to the ballot of the request, if any, as encoded by `dewpin.consensus.messages`.
    `missing_turn`: id of the newest turn that precedes them and that the store lacks, field `missing` on the wire; None
        if it has all of them. Stores of earlier releases do not look.
    """

    reply: Message | None = None
    missing_turn: str | None = None

    def encode(self) -> Message:
        """Return the message to send."""
        message: Message = {"type": wire.TURN_STORED}
        if self.reply is not None:
            message["reply"] = self.reply
        if self.missing_turn is not None:
            message["missing"] = self.missing_turn
        return message

    @classmethod
    def decode(cls, message: Message) -> PutTurnsReply:
        """Decode a reply. Raises MalformedMessageError if it is invalid."""
        read.check_type(message, wire.TURN_STORED)
        reply = None if message.get("reply") is None else read.mapping(message, "reply")
        missing_turn = None if message.get("missing") is None else read.text(message, "missing")
        return cls(reply, missing_turn)


def _view(message: Message) -> StoreView:
    try:
        return StoreView.from_json(message["view"])
    except ValueError as error:
        raise read.MalformedMessageError("view", "a view of stores") from error
