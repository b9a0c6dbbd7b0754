"""Requests of senders to stores: their form on the wire, and rejection of invalid messages."""

import json

import pytest

from dewpin.cluster.message_fields import MalformedMessageError
from dewpin.cluster.store_messages import HistoryPage, TurnRecord
from dewpin.cluster.store_requests import (
    HistoryRequest,
    LedgerAcceptRequest,
    LedgerPrepareRequest,
    PutTurnsReply,
    PutTurnsRequest,
    RequestHeader,
)
from dewpin.cluster.store_view import Member, StoreView
from dewpin.consensus import Accepted, Ballot, Conflict
from dewpin.consensus.messages import ACCEPTED, encode_reply
from dewpin.dataplane.programs.ledger_ballot import ledger_reply

TURN = TurnRecord("t1", "p", None, 60_000, b"\xe4", b"out")
TURN_JSON = r'{"turn": "t1", "program": "p", "previous": null, "retain_ms": 60000, "input": "\u00e4", "output": "out"}'
PAGE = HistoryPage((TURN,), "t0", False, frozenset({"t1"}))
VIEW = StoreView(7, (Member("a-1", "a:1"),))
VIEW_JSON = '{"epoch": 7, "stable": {"a-1": "a:1"}, "next": null, "locations": {"a-1": ""}}'

REQUESTS = [
    (PutTurnsRequest((TURN,)), f'{{"turns": [{TURN_JSON}]}}'),
    (
        PutTurnsRequest((TURN,), LedgerAcceptRequest("p", (5, "s"), {"spent": 1, "open": {}}, None)),
        f'{{"turns": [{TURN_JSON}], "accept": '
        '{"program": "p", "ballot": [5, "s"], "value": {"spent": 1, "open": {}}, "next_ballot": null}}',
    ),
    (HistoryRequest("p", "t1"), '{"program": "p", "previous": "t1"}'),
    (LedgerPrepareRequest("p", (5, "s")), '{"program": "p", "ballot": [5, "s"]}'),
    (
        LedgerAcceptRequest("p", (5, "s"), {"spent": 1, "open": {}}, (6, "s")),
        '{"program": "p", "ballot": [5, "s"], "value": {"spent": 1, "open": {}}, "next_ballot": [6, "s"]}',
    ),
    (
        LedgerAcceptRequest("p", (5, "s"), None, None),
        '{"program": "p", "ballot": [5, "s"], "value": null, "next_ballot": null}',
    ),
]
NOT_STRINGS = [None, 5, ["x"], {}, True]
NOT_INTEGERS = [None, "5", 5.5, 5.0, True, [5], {}]
NOT_BALLOTS = [None, 5, "5s", [], [5], [5, "s", 1], ["5", "s"], [5, 5], [5.0, "s"], [True, "s"], {"counter": 5}]
NOT_LATIN_1_STRINGS = [*NOT_STRINGS, "\u2028"]

INVALID_FIELDS = [
    *[(PutTurnsRequest, ("turns",), value) for value in (None, "t", {}, ["t"], [None], 5)],
    *[(PutTurnsRequest, ("turns", 0, field), value) for field in ("turn", "program") for value in NOT_STRINGS],
    *[(PutTurnsRequest, ("turns", 0, "previous"), value) for value in NOT_STRINGS if value is not None],
    *[(PutTurnsRequest, ("turns", 0, "retain_ms"), value) for value in NOT_INTEGERS],
    *[(PutTurnsRequest, ("turns", 0, field), value) for field in ("input", "output") for value in NOT_LATIN_1_STRINGS],
    *[(PutTurnsRequest, ("accept",), value) for value in (5, "x", [], True)],
    *[(HistoryRequest, (field,), value) for field in ("program", "previous") for value in NOT_STRINGS],
    *[(LedgerPrepareRequest, ("program",), value) for value in NOT_STRINGS],
    *[(LedgerPrepareRequest, ("ballot",), value) for value in NOT_BALLOTS],
    *[(LedgerAcceptRequest, ("program",), value) for value in NOT_STRINGS],
    *[(LedgerAcceptRequest, ("ballot",), value) for value in NOT_BALLOTS],
    *[(LedgerAcceptRequest, ("next_ballot",), value) for value in NOT_BALLOTS if value is not None],
    *[(LedgerAcceptRequest, ("value",), value) for value in (5, "x", [], True)],
    *[(RequestHeader, ("epoch",), value) for value in NOT_INTEGERS],
    *[(RequestHeader, ("to",), value) for value in NOT_STRINGS],
    *[(RequestHeader, ("view",), value) for value in (5, "x", [], {}, {"epoch": "x", "stable": {}, "next": None})],
    *[(HistoryPage, ("type",), value) for value in (None, "turn.stored")],
    *[(HistoryPage, ("links",), value) for value in (None, "t", ["t"], [{}])],
    *[(HistoryPage, ("following",), value) for value in NOT_STRINGS if value is not None],
    *[(HistoryPage, ("absent",), value) for value in (None, 0, "no")],
    *[(HistoryPage, ("foreign",), value) for value in (None, "t1", [1], {})],
    *[(PutTurnsReply, ("type",), value) for value in (None, "turn.links", 5)],
    *[(PutTurnsReply, ("reply",), value) for value in (5, "x", [], True)],
    *[(PutTurnsReply, ("missing",), value) for value in (5, [], {}, True)],
]
VALID_MESSAGES = {
    PutTurnsRequest: PutTurnsRequest((TURN,)).fields,
    HistoryRequest: HistoryRequest("p", "t1").fields,
    LedgerPrepareRequest: LedgerPrepareRequest("p", (5, "s")).fields,
    LedgerAcceptRequest: LedgerAcceptRequest("p", (5, "s"), {"spent": 1, "open": {}}, (6, "s")).fields,
    RequestHeader: lambda: RequestHeader(7, "a-1", VIEW).encode("turn.chain", {}),
    HistoryPage: PAGE.to_json,
    PutTurnsReply: PutTurnsReply().encode,
}


def decode(kind, message):
    return kind.from_json(message) if kind is HistoryPage else kind.decode(message)


def container_of(message, path):
    for key in path[:-1]:
        message = message[key]
    return message


@pytest.mark.parametrize(("request_", "text"), REQUESTS, ids=lambda value: type(value).__name__)
def test_request_round_trips_through_recorded_fields(request_, text):
    assert json.dumps(request_.fields()) == text
    assert type(request_).decode(json.loads(text)) == request_


def test_request_header_has_epoch_member_and_optional_view():
    plain = RequestHeader(7, "a-1").encode("turn.chain", {"program": "p"})
    assert json.dumps(plain) == '{"type": "turn.chain", "epoch": 7, "to": "a-1", "program": "p"}'
    assert RequestHeader.decode(plain) == RequestHeader(7, "a-1")
    with_view = RequestHeader(7, "a-1", VIEW).encode("turn.chain", {"program": "p"})
    assert json.dumps(with_view) == json.dumps(plain)[:-1] + f', "view": {VIEW_JSON}}}'
    assert RequestHeader.decode(with_view) == RequestHeader(7, "a-1", VIEW)


def test_replies_have_recorded_form():
    assert PutTurnsReply().encode() == {"type": "turn.stored"}
    assert PutTurnsReply.decode({"type": "turn.stored"}) == PutTurnsReply()


def test_put_turns_reply_names_the_missing_turn():
    message = PutTurnsReply(missing_turn="t").encode()
    assert message == {"type": "turn.stored", "missing": "t"}
    assert PutTurnsReply.decode(message) == PutTurnsReply(None, "t")
    assert HistoryPage.from_json(json.loads(json.dumps(PAGE.to_json()))) == PAGE


@pytest.mark.parametrize("reply", [Accepted(Ballot(5, "s")), Conflict(Ballot(6, "t"))])
def test_put_turns_reply_has_the_reply_to_its_ballot(reply):
    message = PutTurnsReply(encode_reply(reply)).encode()
    ballot_reply = PutTurnsReply.decode(json.loads(json.dumps(message))).reply
    assert ballot_reply is not None
    assert ledger_reply(ballot_reply) == reply


@pytest.mark.parametrize("reply", [{}, {"type": "turn.stored"}, {"type": ACCEPTED}, {"type": ACCEPTED, "ballot": 5}])
def test_invalid_ballot_reply_is_malformed(reply):
    with pytest.raises(MalformedMessageError, match="^reply: "):
        ledger_reply(reply)


@pytest.mark.parametrize("field", ["program", "ballot", "value", "next_ballot"])
def test_put_turns_with_incomplete_ballot_is_rejected(field):
    message = PutTurnsRequest((TURN,), LedgerAcceptRequest("p", (5, "s"), None, None)).fields()
    del message["accept"][field]
    with pytest.raises(MalformedMessageError):
        PutTurnsRequest.decode(message)


def test_unknown_fields_are_ignored():
    for kind, valid in VALID_MESSAGES.items():
        assert decode(kind, {**valid(), "newer": 1}) == decode(kind, valid())


@pytest.mark.parametrize(
    ("kind", "path", "value"), INVALID_FIELDS, ids=lambda value: getattr(value, "__name__", None) or repr(value)
)
def test_field_of_wrong_type_is_rejected_by_name(kind, path, value):
    message = json.loads(json.dumps(VALID_MESSAGES[kind]()))
    container_of(message, path)[path[-1]] = value
    if path == ("view",) or path[0] == "links" or path[-1] == "links":
        with pytest.raises(MalformedMessageError):
            decode(kind, message)
        return
    with pytest.raises(MalformedMessageError, match=f"^{path[-1]}: ") as caught:
        decode(kind, message)
    assert caught.value.field == path[-1]


@pytest.mark.parametrize("kind", VALID_MESSAGES, ids=lambda kind: kind.__name__)
def test_every_field_but_the_view_is_required(kind):
    for field in VALID_MESSAGES[kind]().keys() - {"view"}:
        if kind is RequestHeader and field == "type":
            continue
        message = json.loads(json.dumps(VALID_MESSAGES[kind]()))
        del message[field]
        with pytest.raises(MalformedMessageError):
            decode(kind, message)
