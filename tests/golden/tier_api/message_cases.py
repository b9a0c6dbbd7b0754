"""A case for each message between the tier's processes, in all its forms."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from golden.tier_api.json_types import Json
from golden.tier_api.message_samples import (
    BALLOT,
    COLD_RECEIVER,
    FIRST_TURN,
    LEDGER,
    MINIMAL_PEER,
    MINIMAL_PEER_RECORD,
    MINIMAL_RECEIVER,
    MINIMAL_STATE,
    NEXT_BALLOT,
    NO_VERSION,
    PEER,
    STABLE_VIEW,
    STATE,
    TURN,
    VERSION,
    VIEW,
    ZERO_BALLOT,
)

from dewpin.cluster.body_messages import RELAY_BODY, BodyPage, BodyRequest
from dewpin.cluster.netstring import Decoder
from dewpin.cluster.relay_messages import LeaseGrant, RelayUpdate, RenewRequest, WatchRequest
from dewpin.cluster.rpc import error_message
from dewpin.cluster.rpc_frames import ReplyFrame, RequestFrame
from dewpin.cluster.store_messages import HistoryPage
from dewpin.cluster.store_messages import request as store_request
from dewpin.cluster.store_requests import (
    HistoryRequest,
    LedgerAcceptRequest,
    LedgerPrepareRequest,
    PutTurnsReply,
    PutTurnsRequest,
    RequestHeader,
)
from dewpin.cluster.store_view import StoreView
from dewpin.consensus import Accepted, Ballot, Conflict, Promise
from dewpin.consensus.messages import decode_reply, encode_reply
from dewpin.controlplane.membership.heartbeat_messages import ChosenState, Heartbeat, HeartbeatReply
from dewpin.controlplane.register.change_history import AcceptedChange, ChangeHistoryPage, ChangeHistoryRequest
from dewpin.controlplane.register.messages import BODY, AcceptRequest, PrepareRequest
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


@dataclass(frozen=True)
class MessageCase:
    """A message: object, wire form and decoder. `is_answer`: whether it is sent in a reply frame."""

    name: str
    value: Any
    message: Json
    decode: Callable[[Json], Any]
    is_answer: bool


def encode_frame(case: MessageCase) -> bytes:
    """Return the bytes of a message on its connection, with its frame."""
    frame = ReplyFrame if case.is_answer else RequestFrame
    return frame(7, case.message).encode()


def decode_frame(data: bytes, is_answer: bool) -> tuple[int, Json]:
    """Return the number and the message of the only frame in `data`."""
    (frame,) = Decoder().feed(data)
    decoded = (ReplyFrame if is_answer else RequestFrame).decode(frame)
    return decoded.number, decoded.message


def _self_encoded(name: str, value: Any, is_answer: bool) -> MessageCase:
    """Return the case of a message that its class encodes and decodes."""
    return MessageCase(name, value, value.encode(), type(value).decode, is_answer)


def _to_store(name: str, value: Any, view: StoreView | None) -> MessageCase:
    """Return the case of a sender's request to a store."""
    header = RequestHeader(5, "m1", view)
    message = header.encode(value.kind, value.fields())
    return MessageCase(
        name,
        (header, value),
        message,
        lambda message: (RequestHeader.decode(message), type(value).decode(message)),
        False,
    )


def _between_stores(name: str, kind: str, value: Any, **more: Any) -> MessageCase:
    """Return the case of a store's request to another store."""
    message = store_request(kind, VIEW, "m2", **more, **value.fields())
    header = RequestHeader(5, "m2", VIEW if more else None)
    return MessageCase(
        name,
        (header, value),
        message,
        lambda message: (RequestHeader.decode(message), type(value).decode(message)),
        False,
    )


def _reply(name: str, value: Any) -> MessageCase:
    return MessageCase(name, value, encode_reply(value), decode_reply, True)


def _error(name: str, kind: str, detail: str, **fields: Any) -> MessageCase:
    message = error_message(kind, detail, **fields)
    return MessageCase(name, message, message, lambda message: message, True)


def all_cases() -> list[MessageCase]:
    """Return a message of each type with all its fields, and one with the fewest fields."""
    return [*_cluster_cases(), *_store_cases(), *_control_cases(), *_transfer_cases(), *_error_cases()]


def _cluster_cases() -> list[MessageCase]:
    return [
        _self_encoded("lease.renew/full", RenewRequest("sender-a", "10.1.0.30:7390", "east", VERSION), False),
        _self_encoded("lease.renew/least", RenewRequest("sender-a", "", "", NO_VERSION), False),
        _self_encoded(
            "lease.granted/full",
            LeaseGrant(3.4, 9, VERSION, 0.25, ("10.1.0.31:7390",), ("10.0.0.1:8144", "10.0.0.2:8144"), 17, 0.125),
            True,
        ),
        _self_encoded("lease.granted/least", LeaseGrant(1.0, -1, NO_VERSION, 0.0, (), (), 0), True),
        _self_encoded("relay.watch/full", WatchRequest(9, VERSION, True, 7), False),
        _self_encoded("relay.watch/least", WatchRequest(-1, NO_VERSION, False), False),
        _self_encoded(
            "relay.news/full", RelayUpdate(VERSION, 0.25, 0.125, STATE, (COLD_RECEIVER, MINIMAL_RECEIVER)), True
        ),
        _self_encoded("relay.news/least", RelayUpdate(NO_VERSION, 0.0, 0.0), True),
        _self_encoded("relay.news/unconfirmed", RelayUpdate(NO_VERSION, math.inf), True),
        _self_encoded(
            "relay.body/full", BodyRequest(RELAY_BODY, "0123456789abcdef01234567", 65536, "10.1.0.30:7390"), False
        ),
        _self_encoded("relay.body/least", BodyRequest(RELAY_BODY, "0123456789abcdef01234567", 0), False),
        _self_encoded("register.body", BodyRequest(BODY, "0123456789abcdef01234567", 131072), False),
        _self_encoded("body.page/full", BodyPage('{"a":"\u00e4\u20ac\U0001f600"}', 70000), True),
        _self_encoded("body.page/least", BodyPage("", 0), True),
    ]


def _store_cases() -> list[MessageCase]:
    accept = LedgerAcceptRequest("p-1", tuple(BALLOT), LEDGER, tuple(NEXT_BALLOT))
    minimal_accept = LedgerAcceptRequest("p-1", tuple(BALLOT), None, None)
    return [
        _to_store("turn.put/full", PutTurnsRequest((TURN, FIRST_TURN), accept), VIEW),
        _to_store("turn.put/least", PutTurnsRequest(()), None),
        _to_store("turn.put/least-ballot", PutTurnsRequest((FIRST_TURN,), minimal_accept), STABLE_VIEW),
        _self_encoded("turn.stored/full", PutTurnsReply(encode_reply(Accepted(BALLOT))), True),
        _self_encoded("turn.stored/least", PutTurnsReply(), True),
        _to_store("turn.chain/full", HistoryRequest("p-1", "t-2"), VIEW),
        _to_store("turn.chain/least", HistoryRequest("p-1", "t-2"), None),
        _history_page("turn.links/full", HistoryPage((TURN, FIRST_TURN), "t-0", True, frozenset({"t-2", "t-1"}))),
        _history_page("turn.links/least", HistoryPage((), None, False, frozenset())),
        _to_store("ledger.prepare/full", LedgerPrepareRequest("p-1", tuple(BALLOT)), VIEW),
        _to_store("ledger.prepare/least", LedgerPrepareRequest("p-1", tuple(ZERO_BALLOT)), None),
        _to_store("ledger.accept/full", accept, VIEW),
        _to_store("ledger.accept/least", minimal_accept, None),
        _reply("ballot.promise/full", Promise(BALLOT, LEDGER, True)),
        _reply("ballot.promise/least", Promise(ZERO_BALLOT, None)),
        _reply("ballot.accepted", Accepted(BALLOT)),
        _reply("ballot.conflict", Conflict(NEXT_BALLOT)),
    ]


def _history_page(name: str, value: HistoryPage) -> MessageCase:
    return MessageCase(name, value, value.to_json(), HistoryPage.from_json, True)


def _control_cases() -> list[MessageCase]:
    chosen = ChosenState(STATE, BALLOT)
    return [
        _self_encoded("keeper.hello/full", Heartbeat(PEER, VERSION, ("0123456789abcdef01234567",)), False),
        _self_encoded("keeper.hello/least", Heartbeat(MINIMAL_PEER, NO_VERSION), False),
        _self_encoded(
            "keeper.hello.answer/full",
            HeartbeatReply(PEER, VERSION, 0.25, 9, chosen, (COLD_RECEIVER, MINIMAL_RECEIVER)),
            is_answer=True,
        ),
        _self_encoded(
            "keeper.hello.answer/least",
            HeartbeatReply(MINIMAL_PEER, NO_VERSION, 0.0),
            is_answer=True,
        ),
        _self_encoded(
            "register.prepare/full",
            PrepareRequest("m2", BALLOT, NEXT_BALLOT, ("0123456789abcdef01234567", "89")),
            False,
        ),
        _self_encoded("register.prepare/least", PrepareRequest("m2", ZERO_BALLOT), False),
        _self_encoded("register.accept/full", AcceptRequest("m2", BALLOT, STATE, "10.0.0.1:8144"), False),
        _self_encoded("register.accept/least", AcceptRequest("m2", ZERO_BALLOT, MINIMAL_STATE), False),
        _self_encoded("register.orders/request", ChangeHistoryRequest(3, 900), False),
        _self_encoded(
            "register.orders/full",
            ChangeHistoryPage((AcceptedChange(4, 6, "89abcdef"), AcceptedChange(5, 7, "01234567"))),
            is_answer=True,
        ),
        _self_encoded("register.orders/least", ChangeHistoryPage(()), is_answer=True),
    ]


def _transfer_cases() -> list[MessageCase]:
    record = LedgerRecord("p-1", NEXT_BALLOT, BALLOT, LEDGER)
    return [
        _between_stores(
            "store.pull_index/full", "store.pull_index", IndexRequest("m3", ("t-2", "p-1"), 2000), view=VIEW.to_json()
        ),
        _between_stores("store.pull_index/least", "store.pull_index", IndexRequest("m3", ("", ""), 1)),
        _between_stores(
            "store.pull_turns/full",
            "store.pull_turns",
            TurnsRequest([("t-1", "p-1"), ("t-2", "p-1")], 524288, True),
            view=VIEW.to_json(),
        ),
        _between_stores("store.pull_turns/least", "store.pull_turns", TurnsRequest([], 0)),
        _between_stores(
            "store.pull_ledgers/full", "store.pull_ledgers", LedgersRequest("m3", "p-1", 500), view=VIEW.to_json()
        ),
        _between_stores("store.pull_ledgers/least", "store.pull_ledgers", LedgersRequest("m3", "", 1)),
        _self_encoded(
            "store.pulled.index/full",
            IndexPage([IndexEntry("t-1", "p-1", 59000), IndexEntry("t-2", "p-1", -3)], ("t-2", "p-1")),
            True,
        ),
        _self_encoded("store.pulled.index/least", IndexPage([], None), True),
        _self_encoded("store.pulled.turns/full", TurnsReply([TURN, FIRST_TURN], [("t-3", "p-2")]), True),
        _self_encoded("store.pulled.turns/least", TurnsReply([], []), True),
        _raw_turns("store.pulled.raw_turns/full", TurnsReply([TURN, FIRST_TURN], [("t-3", "p-2")])),
        _raw_turns("store.pulled.raw_turns/least", TurnsReply([], [])),
        _self_encoded(
            "store.pulled.ledgers/full",
            LedgersPage([record, LedgerRecord("p-2", ZERO_BALLOT, ZERO_BALLOT, None)], "p-2"),
            True,
        ),
        _self_encoded("store.pulled.ledgers/least", LedgersPage([], None), True),
    ]


def _raw_turns(name: str, value: TurnsReply) -> MessageCase:
    return MessageCase(name, value, value.encode_with_raw_bodies(), TurnsReply.decode, True)


def _error_cases() -> list[MessageCase]:
    return [
        _error("error/full", "stale_epoch", "another epoch is in force", view=VIEW.to_json()),
        _error("error/no-view", "stale_epoch", "no view yet", view=None),
        _error("error/least", "timeout", ""),
    ]


def earlier_forms() -> dict[str, tuple[Json, Any, Callable[[Json], Any]]]:
    """Return messages of earlier releases, without the fields added later; they are only decoded."""
    peer = dict(MINIMAL_PEER_RECORD)
    renewed = {
        "type": "lease.granted",
        "duration_s": 3.4,
        "state_version": 9,
        "receivers_version": [12, "keeper-a"],
        "list_age_s": 0.25,
        "parents": [],
        "keepers": ["10.0.0.1:8144"],
        "senders": 17,
    }
    return {
        "lease.granted": (renewed, LeaseGrant(3.4, 9, VERSION, 0.25, (), ("10.0.0.1:8144",), 17), LeaseGrant.decode),
        "relay.watch": (
            {"type": "relay.watch", "state_version": 9, "receivers_version": [12, "keeper-a"]},
            WatchRequest(9, VERSION, True),
            WatchRequest.decode,
        ),
        "relay.news": (
            {"type": "relay.news", "receivers_version": [12, "keeper-a"], "list_age_s": 0.25},
            RelayUpdate(VERSION, 0.25, math.inf),
            RelayUpdate.decode,
        ),
        "relay.body": (
            {"type": "relay.body", "digest": "0123", "offset": 0},
            BodyRequest("relay.body", "0123", 0, ""),
            BodyRequest.decode,
        ),
        "ballot.promise": (
            {"type": "ballot.promise", "accepted": [3, "a"], "value": None},
            Promise(Ballot(3, "a"), None, False),
            decode_reply,
        ),
        "keeper.hello": (
            {"type": "keeper.hello", "from": peer, "receivers": [12, "keeper-a"]},
            Heartbeat(MINIMAL_PEER, VERSION, ()),
            Heartbeat.decode,
        ),
        "keeper.hello.answer": (
            {"type": "keeper.hello", "from": peer, "receivers_version": [12, "keeper-a"], "list_age_s": 0.25},
            HeartbeatReply(MINIMAL_PEER, VERSION, 0.25, None, None, None),
            HeartbeatReply.decode,
        ),
        "register.prepare": (
            {"type": "register.prepare", "to": "m2", "ballot": [3, "a"]},
            PrepareRequest("m2", Ballot(3, "a"), None, ()),
            PrepareRequest.decode,
        ),
        "register.accept": (
            {"type": "register.accept", "to": "m2", "ballot": [3, "a"], "value": MINIMAL_STATE},
            AcceptRequest("m2", Ballot(3, "a"), MINIMAL_STATE, ""),
            AcceptRequest.decode,
        ),
        "store.view": (
            {"epoch": 1, "stable": {"m1": "10.0.0.1:8144"}, "next": None},
            STABLE_VIEW,
            StoreView.from_json,
        ),
    }
