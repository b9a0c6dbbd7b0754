"""Encodes replica replies as JSON objects and decodes them."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from .replica import Accepted, Ballot, Conflict, Promise, Reply

PROMISE = "ballot.promise"
ACCEPTED = "ballot.accepted"
CONFLICT = "ballot.conflict"


def ballot_from_json(pair: Sequence[Any]) -> Ballot:
    """Decode a ballot from a JSON pair of counter and proposer. Raises TypeError or ValueError if it is malformed."""
    counter, proposer = pair
    return Ballot(int(counter), str(proposer))


def encode_reply(reply: Reply) -> dict[str, Any]:
    """Encode a replica's reply as a message."""
    if isinstance(reply, Promise):
        return {"type": PROMISE, "accepted": list(reply.accepted), "value": reply.value, "copied": reply.copied}
    if isinstance(reply, Accepted):
        return {"type": ACCEPTED, "ballot": list(reply.ballot)}
    return {"type": CONFLICT, "promised": list(reply.promised)}


def decode_reply(message: dict[str, Any]) -> Reply:
    """Decode a replica's reply. Raises KeyError, TypeError or ValueError if it is malformed."""
    if message["type"] == PROMISE:
        return Promise(ballot_from_json(message["accepted"]), message["value"], bool(message.get("copied", False)))
    if message["type"] == ACCEPTED:
        return Accepted(ballot_from_json(message["ballot"]))
    if message["type"] == CONFLICT:
        return Conflict(ballot_from_json(message["promised"]))
    raise ValueError(f"unknown type of replica reply: {message['type']}")
