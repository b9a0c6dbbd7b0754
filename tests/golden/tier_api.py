"""Everything of the serving tier that the golden tests use; the only module of theirs that imports its internals.

Objects are built by position, so that a renamed field changes nothing here; a renamed or moved class changes the
imports alone. What the tests compare (bytes on a wire, rows of a database) has to stay as it is in `tier/`.
"""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from dewpin.cluster.body_messages import RELAY_BODY, BodyPage, BodyRequest, digest_of, patch_digest_of
from dewpin.cluster.compression import CompressedOutput, IncomingBytes
from dewpin.cluster.errors import ANSWERS, ErrorKind
from dewpin.cluster.netstring import Decoder
from dewpin.cluster.receivers import DirectoryVersion, Receiver, receiver_from_platform
from dewpin.cluster.relay_messages import LeaseGrant, RelayNews, RenewRequest, WatchRequest
from dewpin.cluster.rpc import RpcError, RpcServer, error_message
from dewpin.cluster.rpc_frames import AnswerFrame, RequestFrame
from dewpin.cluster.sender_requests import LedgerAccept, LedgerPrepare, RequestHeader, TurnChain, TurnPut, TurnStored
from dewpin.cluster.store_messages import ChainLinks, TurnRecord
from dewpin.cluster.store_messages import request as store_request
from dewpin.cluster.store_view import Member, StoreView
from dewpin.consensus import Accepted, Ballot, Conflict, Promise
from dewpin.consensus.messages import decode_reply, encode_reply
from dewpin.controlplane.heartbeat_messages import ChosenState, Heartbeat, HeartbeatAnswer
from dewpin.controlplane.ledger_replica import LedgerRecord
from dewpin.controlplane.order_history import OrderPage, OrdersRequest, TakenOrder
from dewpin.controlplane.register_messages import BODY, AcceptCall, PrepareCall
from dewpin.controlplane.transfer_messages import (
    IndexPage,
    IndexRequest,
    LedgersPage,
    LedgersRequest,
    TurnsAnswer,
    TurnsRequest,
)
from dewpin.controlplane.turn_table import IndexEntry

Json = dict[str, Any]

# Messages between dewpin's processes


@dataclass(frozen=True)
class MessageCase:
    """One message: the object, its form on the wire and the way back. `is_answer`: which of the two frames it is in."""

    name: str
    value: Any
    message: Json
    decode: Callable[[Json], Any]
    is_answer: bool


def encode_frame(case: MessageCase) -> bytes:
    """The bytes of a message on its connection, the frame included."""
    frame = AnswerFrame if case.is_answer else RequestFrame
    return frame(7, case.message).encode()


def decode_frame(data: bytes, is_answer: bool) -> tuple[int, Json]:
    """The number and the message of the only frame in `data`."""
    (frame,) = Decoder().feed(data)
    decoded = (AnswerFrame if is_answer else RequestFrame).decode(frame)
    return decoded.number, decoded.message


COLD = Receiver("i-1", "engines", "10.1.0.9:8081", "east", 16, True, 812.5, "v2")
PLAIN = Receiver("i-2", "plain", "10.1.0.10:8081", "", 1)
VERSION = DirectoryVersion(12, "keeper-a")
NO_VERSION = DirectoryVersion(0, "")
BALLOT = Ballot(1700000000123, "sender-a")
NEXT_BALLOT = Ballot(1700000000124, "sender-a")
ZERO = Ballot(0, "")
TURN = TurnRecord("t-2", "p-1", "t-1", 60000, b"in \x00\xff\xe4\n", b"out\n")
FIRST_TURN = TurnRecord("t-1", "p-1", None, 0, b"", b"")
VIEW = StoreView(
    5,
    (Member("m1", "10.0.0.1:8144", "north/east"), Member("m2", "10.0.0.2:8144", "north/west")),
    (Member("m2", "10.0.0.2:8144", "north/west"), Member("m3", "10.0.0.3:8144", "south/east")),
)
STABLE_VIEW = StoreView(1, (Member("m1", "10.0.0.1:8144"),))
LEDGER = {"spent": 40, "open": {"t-2": 25}}
STATE: Json = {
    "version": 9,
    "members": {"m1": "10.0.0.1:8144", "m2": "10.0.0.2:8144"},
    "former_members": {"m1": "10.0.0.1:8144"},
    "names": {"m1": "control-1", "m2": "control-2"},
    "stores": VIEW.to_json(),
    "retiring": ["store-1"],
    "retired": ["store-0"],
    "configuration": {
        "generation": 7,
        "digest": "0123456789abcdef01234567",
        "body": '{"generation":7,"note":"\u00e4"}',
    },
    "accepted": [[6, "89abcdef0123456789abcdef"], [7, "0123456789abcdef01234567"]],
    "orders_taken": 31,
    "note": "by hand",
}
BARE_STATE: Json = {
    "version": 0,
    "members": {},
    "former_members": {},
    "names": {},
    "stores": {"epoch": 0, "stable": {}, "next": None},
    "retiring": [],
    "retired": [],
    "configuration": None,
    "accepted": [],
}
PEER: Json = {
    "id": "m1",
    "name": "control-1",
    "address": "10.0.0.1:8144",
    "control": True,
    "store": False,
    "version": 9,
    "synced_epoch": 5,
    "leaving": False,
    "bootstrap": True,
    "list_fails": False,
    "location": "north/east",
    "reaches_majority": True,
}
BARE_PEER = {name: value for name, value in PEER.items() if name not in ("location", "reaches_majority")}


def _whole(name: str, value: Any, is_answer: bool) -> MessageCase:
    """A message that its class encodes and decodes."""
    return MessageCase(name, value, value.encode(), type(value).decode, is_answer)


def _to_store(name: str, value: Any, view: StoreView | None) -> MessageCase:
    """A sender's request to a store."""
    header = RequestHeader(5, "m1", view)
    message = header.encode(value.kind, value.fields())
    return MessageCase(
        name, (header, value), message, lambda got: (RequestHeader.decode(got), type(value).decode(got)), False
    )


def _between_stores(name: str, kind: str, value: Any, **more: Any) -> MessageCase:
    """A store's request to another one."""
    message = store_request(kind, VIEW, "m2", **more, **value.fields())
    header = RequestHeader(5, "m2", VIEW if more else None)
    return MessageCase(
        name, (header, value), message, lambda got: (RequestHeader.decode(got), type(value).decode(got)), False
    )


def _reply(name: str, value: Any) -> MessageCase:
    return MessageCase(name, value, encode_reply(value), decode_reply, True)


def _error(name: str, kind: str, detail: str, **fields: Any) -> MessageCase:
    message = error_message(kind, detail, **fields)
    return MessageCase(name, message, message, lambda got: got, True)


def message_cases() -> list[MessageCase]:
    """One message of each type with all its fields, and one with the fewest."""
    return [*_cluster_cases(), *_store_cases(), *_control_cases(), *_transfer_cases(), *_error_cases()]


def _cluster_cases() -> list[MessageCase]:
    return [
        _whole("lease.renew/full", RenewRequest("sender-a", "10.1.0.30:7390", "east", VERSION), False),
        _whole("lease.renew/least", RenewRequest("sender-a", "", "", NO_VERSION), False),
        _whole(
            "lease.granted/full",
            LeaseGrant(3.4, 9, VERSION, 0.25, ("10.1.0.31:7390",), ("10.0.0.1:8144", "10.0.0.2:8144"), 17, 0.125),
            True,
        ),
        _whole("lease.granted/least", LeaseGrant(1.0, -1, NO_VERSION, 0.0, (), (), 0), True),
        _whole("relay.watch/full", WatchRequest(9, VERSION, True, 7), False),
        _whole("relay.watch/least", WatchRequest(-1, NO_VERSION, False), False),
        _whole("relay.news/full", RelayNews(VERSION, 0.25, 0.125, STATE, (COLD, PLAIN)), True),
        _whole("relay.news/least", RelayNews(NO_VERSION, 0.0, 0.0), True),
        _whole("relay.news/unconfirmed", RelayNews(NO_VERSION, math.inf), True),
        _whole("relay.body/full", BodyRequest(RELAY_BODY, "0123456789abcdef01234567", 65536, "10.1.0.30:7390"), False),
        _whole("relay.body/least", BodyRequest(RELAY_BODY, "0123456789abcdef01234567", 0), False),
        _whole("register.body", BodyRequest(BODY, "0123456789abcdef01234567", 131072), False),
        _whole("body.page/full", BodyPage('{"a":"\u00e4\u20ac\U0001f600"}', 70000), True),
        _whole("body.page/least", BodyPage("", 0), True),
    ]


def _store_cases() -> list[MessageCase]:
    accept = LedgerAccept("p-1", tuple(BALLOT), LEDGER, tuple(NEXT_BALLOT))
    bare_accept = LedgerAccept("p-1", tuple(BALLOT), None, None)
    return [
        _to_store("turn.put/full", TurnPut((TURN, FIRST_TURN), accept), VIEW),
        _to_store("turn.put/least", TurnPut(()), None),
        _to_store("turn.put/least-ballot", TurnPut((FIRST_TURN,), bare_accept), STABLE_VIEW),
        _whole("turn.stored/full", TurnStored(encode_reply(Accepted(BALLOT))), True),
        _whole("turn.stored/least", TurnStored(), True),
        _to_store("turn.chain/full", TurnChain("p-1", "t-2"), VIEW),
        _to_store("turn.chain/least", TurnChain("p-1", "t-2"), None),
        _links("turn.links/full", ChainLinks((TURN, FIRST_TURN), "t-0", True, frozenset({"t-2", "t-1"}))),
        _links("turn.links/least", ChainLinks((), None, False, frozenset())),
        _to_store("ledger.prepare/full", LedgerPrepare("p-1", tuple(BALLOT)), VIEW),
        _to_store("ledger.prepare/least", LedgerPrepare("p-1", tuple(ZERO)), None),
        _to_store("ledger.accept/full", accept, VIEW),
        _to_store("ledger.accept/least", bare_accept, None),
        _reply("ballot.promise/full", Promise(BALLOT, LEDGER, True)),
        _reply("ballot.promise/least", Promise(ZERO, None)),
        _reply("ballot.accepted", Accepted(BALLOT)),
        _reply("ballot.conflict", Conflict(NEXT_BALLOT)),
    ]


def _links(name: str, value: ChainLinks) -> MessageCase:
    return MessageCase(name, value, value.to_json(), ChainLinks.from_json, True)


def _control_cases() -> list[MessageCase]:
    chosen = ChosenState(STATE, BALLOT)
    return [
        _whole("keeper.hello/full", Heartbeat(PEER, VERSION, ("0123456789abcdef01234567",)), False),
        _whole("keeper.hello/least", Heartbeat(BARE_PEER, NO_VERSION), False),
        _whole(
            "keeper.hello.answer/full", HeartbeatAnswer(PEER, VERSION, 0.25, 9, chosen, (COLD, PLAIN)), is_answer=True
        ),
        _whole("keeper.hello.answer/least", HeartbeatAnswer(BARE_PEER, NO_VERSION, 0.0), is_answer=True),
        _whole(
            "register.prepare/full", PrepareCall("m2", BALLOT, NEXT_BALLOT, ("0123456789abcdef01234567", "89")), False
        ),
        _whole("register.prepare/least", PrepareCall("m2", ZERO), False),
        _whole("register.accept/full", AcceptCall("m2", BALLOT, STATE, "10.0.0.1:8144"), False),
        _whole("register.accept/least", AcceptCall("m2", ZERO, BARE_STATE), False),
        _whole("register.orders/request", OrdersRequest(3, 900), False),
        _whole(
            "register.orders/full",
            OrderPage((TakenOrder(4, 6, "89abcdef"), TakenOrder(5, 7, "01234567"))),
            is_answer=True,
        ),
        _whole("register.orders/least", OrderPage(()), is_answer=True),
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
        _whole(
            "store.pulled.index/full",
            IndexPage([IndexEntry("t-1", "p-1", 59000), IndexEntry("t-2", "p-1", -3)], ("t-2", "p-1")),
            True,
        ),
        _whole("store.pulled.index/least", IndexPage([], None), True),
        _whole("store.pulled.turns/full", TurnsAnswer([TURN, FIRST_TURN], [("t-3", "p-2")]), True),
        _whole("store.pulled.turns/least", TurnsAnswer([], []), True),
        _raw_turns("store.pulled.raw_turns/full", TurnsAnswer([TURN, FIRST_TURN], [("t-3", "p-2")])),
        _raw_turns("store.pulled.raw_turns/least", TurnsAnswer([], [])),
        _whole("store.pulled.ledgers/full", LedgersPage([record, LedgerRecord("p-2", ZERO, ZERO, None)], "p-2"), True),
        _whole("store.pulled.ledgers/least", LedgersPage([], None), True),
    ]


def _raw_turns(name: str, value: TurnsAnswer) -> MessageCase:
    return MessageCase(name, value, value.encode_raw(), TurnsAnswer.decode, True)


def _error_cases() -> list[MessageCase]:
    return [
        _error("error/full", "stale_epoch", "another epoch is in force", view=VIEW.to_json()),
        _error("error/no-view", "stale_epoch", "no view yet", view=None),
        _error("error/least", "timeout", ""),
    ]


def earlier_forms() -> dict[str, tuple[Json, Any, Callable[[Json], Any]]]:
    """Messages as releases before wrote them, without the fields that came later: only decoded."""
    peer = dict(BARE_PEER)
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
            RelayNews(VERSION, 0.25, math.inf),
            RelayNews.decode,
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
            Heartbeat(BARE_PEER, VERSION, ()),
            Heartbeat.decode,
        ),
        "keeper.hello.answer": (
            {"type": "keeper.hello", "from": peer, "receivers_version": [12, "keeper-a"], "list_age_s": 0.25},
            HeartbeatAnswer(BARE_PEER, VERSION, 0.25, None, None, None),
            HeartbeatAnswer.decode,
        ),
        "register.prepare": (
            {"type": "register.prepare", "to": "m2", "ballot": [3, "a"]},
            PrepareCall("m2", Ballot(3, "a"), None, ()),
            PrepareCall.decode,
        ),
        "register.accept": (
            {"type": "register.accept", "to": "m2", "ballot": [3, "a"], "value": BARE_STATE},
            AcceptCall("m2", Ballot(3, "a"), BARE_STATE, ""),
            AcceptCall.decode,
        ),
        "store.view": (
            {"epoch": 1, "stable": {"m1": "10.0.0.1:8144"}, "next": None},
            STABLE_VIEW,
            StoreView.from_json,
        ),
    }


def digests() -> Json:
    """The digests by which orders and bodies are known on the wire and on disk."""
    body = b'{"generation":7}'
    return {"configuration": digest_of(body, 6), "patch": patch_digest_of(body, 6)}


def compress(frames: list[bytes]) -> bytes:
    """What one side of a compressed connection sends for these frames."""
    output = CompressedOutput()
    return b"".join(output.encode(frame) for frame in frames)


def decompress(data: bytes) -> bytes:
    """The frames of a compressed connection's bytes."""
    return b"".join(IncomingBytes().decode(data))


def error_table() -> Json:
    """How each kind of error is answered, by its word on the wire."""
    return {
        str(kind): [ANSWERS[kind].status, ANSWERS[kind].promises_not_run, ANSWERS[kind].log_level] for kind in ErrorKind
    }


def rpc_answers() -> Json:
    """What a process answers to calls that it cannot serve."""

    async def refusing(message: Json) -> Json:
        raise RpcError("stale_epoch", "another epoch is in force", {"view": None, "type": "error", "kind": "other"})

    async def failing(message: Json) -> Json:
        raise KeyError("epoch")

    async def ask() -> Json:
        server = RpcServer({"refusing": refusing, "failing": failing})
        return {kind: await server.dispatch({"type": kind}) for kind in ("refusing", "failing", "unheard.of")}

    return asyncio.run(ask())


def platform_entry(entry: Json) -> Json:
    """The record that goes round between dewpin's processes for an entry of the platform's list."""
    return dict(receiver_from_platform(entry).record())
