"""Wire format of the messages with which stores copy from each other."""

import json

import pytest

from dewpin.cluster.netstring import Decoder, encode
from dewpin.cluster.store_messages import TurnRecord
from dewpin.consensus import Ballot
from dewpin.controlplane.store.ledger_replica import LedgerRecord
from dewpin.controlplane.store.transfer_messages import (
    IndexPage,
    IndexRequest,
    LedgersPage,
    LedgersRequest,
    TurnsReply,
    TurnsRequest,
)
from dewpin.controlplane.store.turn_table import IndexEntry

ENTRIES = [IndexEntry("t1", "p", 60_000), IndexEntry("t2", "q", 1)]
ENTRIES_TEXT = '[["t1", "p", 60000], ["t2", "q", 1]]'
TURN = TurnRecord("t1", "p", None, 60_000, b"\xe4", b"out")
TURN_TEXT = r'{"turn": "t1", "program": "p", "previous": null, "retain_ms": 60000, "input": "\u00e4", "output": "out"}'
LEDGER = LedgerRecord("p", Ballot(3, "a"), Ballot(2, "b"), {"spent": 1})

REQUESTS = [
    (IndexRequest("m", ("t1", "p"), 2000), '{"member": "m", "after": ["t1", "p"], "most": 2000}'),
    (TurnsRequest([("t1", "p"), ("t2", "q")], 9), '{"keys": [["t1", "p"], ["t2", "q"]], "most_bytes": 9}'),
    (
        TurnsRequest([("t1", "p")], 9, wants_raw_bodies=True),
        '{"keys": [["t1", "p"]], "most_bytes": 9, "raw_bodies": true}',
    ),
    (LedgersRequest("m", "p", 500), '{"member": "m", "after": "p", "most": 500}'),
]
REPLIES = [
    (
        IndexPage(ENTRIES, ("t2", "q")),
        f'{{"type": "store.pulled", "entries": {ENTRIES_TEXT}, "after": ["t2", "q"], "newest": 0}}',
    ),
    (IndexPage([], None), '{"type": "store.pulled", "entries": [], "after": null, "newest": 0}'),
    (
        TurnsReply([TURN], [("t2", "q")]),
        f'{{"type": "store.pulled", "turns": [{TURN_TEXT}], "unread": [["t2", "q"]]}}',
    ),
    (LedgersPage([], None), '{"type": "store.pulled", "ledgers": [], "after": null}'),
]


@pytest.mark.parametrize(("request_", "text"), REQUESTS, ids=lambda value: type(value).__name__)
def test_request_round_trips_through_recorded_fields(request_, text):
    assert json.dumps(request_.fields()) == text
    assert type(request_).decode(json.loads(text)) == request_


@pytest.mark.parametrize(("answer", "text"), REPLIES, ids=lambda value: type(value).__name__)
def test_reply_round_trips_through_recorded_text(answer, text):
    assert json.dumps(answer.encode()) == text
    assert type(answer).decode(json.loads(text)) == answer


def test_ledgers_page_round_trips():
    page = LedgersPage([LEDGER], "p")
    assert page.encode() == {"type": "store.pulled", "ledgers": [LEDGER.to_json()], "after": "p"}
    assert LedgersPage.decode(json.loads(json.dumps(page.encode()))) == page


EVERY_BYTE = bytes(range(256))
TURNS = [
    TURN,
    TurnRecord("t2", "ü", "t1", 1, b"", EVERY_BYTE),
    TurnRecord("t3", "p", "t2", 2, EVERY_BYTE, b""),
]


def test_raw_bodies_of_every_byte_round_trip():
    message = TurnsReply(TURNS, [("t4", "q")]).encode_with_raw_bodies()
    assert message["raw"] == b"\xe4out" + EVERY_BYTE + EVERY_BYTE
    (read,) = Decoder().feed(encode(message))
    assert TurnsReply.decode(read) == TurnsReply(TURNS, [("t4", "q")])


@pytest.mark.parametrize(
    ("rows", "raw"),
    [
        ([["t1", "p", None, 1, 2, 3]], b"1234"),
        ([["t1", "p", None, 1, 2, 3]], b"123456"),
        ([["t1", "p", None, 1, -2, 7]], b"12345"),
        ([["t1", "p", None, 1, 7, -2]], b"12345"),
        ([["t1", "p", None, 1, 5]], b"12345"),
        ([["t1", "p", None, 1, "2", "3"]], b"12345"),
        ([], b"1"),
    ],
)
def test_rows_that_do_not_match_the_raw_bytes_are_rejected(rows, raw):
    with pytest.raises((TypeError, ValueError)):
        TurnsReply.decode({"type": "store.pulled", "rows": rows, "unread": [], "raw": raw})
